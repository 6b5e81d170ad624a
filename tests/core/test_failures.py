"""Tests of the table from error kind to answer."""

from vanillayoke.core import failures
from vanillayoke.testing import fixtures


def test_every_kind_has_an_answer(case):
    case.assertEqual(set(failures.Kind), set(failures.ANSWERS))


def test_work_that_may_have_run_is_only_retried_where_harmless(case):
    retried = {
        kind
        for kind, answer in failures.ANSWERS.items()
        if answer.may_retry and answer.ran is not failures.Ran.NO
    }
    # Both are answered by the program's owner from its journal when the
    # caller repeats its idempotency key; neither sends the call again.
    case.assertEqual(
        {failures.Kind.STORE_UNCERTAIN, failures.Kind.LEASE_LOST}, retried
    )


load_tests = fixtures.adapt(__name__)
