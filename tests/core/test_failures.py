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
    # All are answered by the program's owner from its journal when the
    # caller repeats its idempotency key; none sends the call again. An
    # instance that is not the owner does not know whether an earlier
    # request with the same key ran, so it must not say "not run". Only
    # idempotent calls fail with targets_failed.
    case.assertEqual(
        {
            failures.Kind.STORE_UNCERTAIN,
            failures.Kind.LEASE_LOST,
            failures.Kind.NOT_OWNER,
            failures.Kind.TARGETS_FAILED,
        },
        retried,
    )


load_tests = fixtures.adapt(__name__)
