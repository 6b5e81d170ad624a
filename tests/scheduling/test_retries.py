"""Tests of the retry budget and of what may be sent again."""

import random

from tests.scheduling import samples
from vanillayoke.core import failures
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import retries
from vanillayoke.testing import fixtures


@fixtures.fixture
def budget():
    return retries.RetryBudget(0.1, random.Random(1))


def _outcome(state: str) -> calls.Outcome:
    return calls.Outcome('c', 'e1', state, 0.0, 0, 0, 0)


def test_an_order_that_may_have_run_is_not_repeated(case, budget):
    demand = samples.make_demand('c', idempotent=False)
    for state in ('failed', 'unknown'):
        planned = budget.plan(demand, _outcome(state), 1, 0.0)
        case.assertEqual(failures.Kind.OUTCOME_UNKNOWN, planned.kind)
    planned = budget.plan(demand, _outcome('refused'), 1, 0.0)
    case.assertEqual(frozenset(('e1',)), planned.demand.avoid)
    case.assertFalse(budget.may_hedge(demand))


def test_retries_stay_a_fraction_of_the_calls(case, budget):
    """Engines that are slow to come back are kept down by retries.

    All calls fail for a while, and each is sent four times. Cause: retries
    are bounded for each call, not over all of them.
    """
    demand = samples.make_demand('c')
    retried = 0
    for _ in range(1000):
        budget.note_call()
        for attempt in range(1, 4):
            planned = budget.plan(demand, _outcome('failed'), attempt, 0.0)
            retried += isinstance(planned, retries.Retry)
    case.assertLessEqual(retried, 120)
    case.assertGreaterEqual(retried, 100)


def test_no_retry_beyond_the_deadline(case, budget):
    demand = samples.make_demand('c', deadline=5.0)
    planned = budget.plan(demand, _outcome('refused'), 1, 5.0)
    case.assertEqual(failures.Kind.TARGET_REFUSED, planned.kind)


load_tests = fixtures.adapt(__name__)
