"""Tests of the retry budget."""

import random

from vanillayoke.scheduling import retries
from vanillayoke.testing import fixtures


@fixtures.fixture
def budget():
    return retries.RetryBudget(0.1, random.Random(1))


def test_retries_stay_a_fraction_of_the_calls(case, budget):
    """A limit per call alone would multiply the load on failing engines."""
    retried = 0
    for _ in range(1000):
        budget.record_call()
        retried += sum(budget.take() for _ in range(3))
    case.assertLessEqual(retried, 120)
    case.assertGreaterEqual(retried, 100)


def test_backoffs_grow_and_differ(case, budget):
    """Equal backoffs would make instances retry together."""
    early = [budget.draw_backoff(1) for _ in range(50)]
    late = [budget.draw_backoff(12) for _ in range(50)]
    case.assertLess(max(early), 0.2)
    case.assertGreater(max(late), 1.0)
    case.assertLessEqual(max(late), 2.0)
    case.assertGreater(len(set(early)), 40)


load_tests = fixtures.adapt(__name__)
