"""Tests of the responses to error kinds."""

from vanillayoke.core import failures
from vanillayoke.testing import fixtures


def test_every_kind_has_an_answer(case):
    case.assertEqual(set(failures.Kind), set(failures.ANSWERS))


def test_requests_that_may_have_run_are_only_retried_if_safe(case):
    retried = {
        kind
        for kind, answer in failures.ANSWERS.items()
        if answer.may_retry and answer.ran is not failures.Ran.NO
    }
    # The program's owner answers a repeated idempotency key from its journal
    # without sending the call again. An instance that is not the owner does
    # not know whether an earlier request with the key ran. Only idempotent
    # calls fail with targets_failed.
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
