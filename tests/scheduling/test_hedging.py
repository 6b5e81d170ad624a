"""Tests of when a call is sent to a second target, and how often."""

import random

from vanillayoke.scheduling import hedging
from vanillayoke.testing import fixtures

# A safe urgent call of the first customer: 10 ms of work, objective 82 ms.
OBJECTIVE = 0.082


def _learn(latencies):
    latency = hedging.TailLatency()
    for seconds in latencies:
        latency.learn(seconds)
    return latency.compute_delay(OBJECTIVE)


def _take(budget, now):
    is_allowed = budget.allows_call(now)
    if is_allowed:
        budget.record_second_call(now)
    return is_allowed


def test_delay_is_later_than_nearly_all_calls(case):
    """Calls on idle targets: hedging them would only add load."""
    rng = random.Random(1)
    latencies = [rng.lognormvariate(-4.5, 0.3) for _ in range(400)]
    delay = _learn(latencies)
    later = sum(seconds > delay for seconds in latencies) / len(latencies)
    case.assertLessEqual(later, 0.08)
    case.assertGreaterEqual(later, 0.01)


def test_delay_leaves_time_for_the_second_call(case):
    """A quarter of the targets hangs, so the tail latency is seconds.

    A second call that is sent after 41 ms and takes 10 ms still ends within
    the objective of 82 ms.
    """
    delay = _learn([0.01, 0.01, 0.01, 1.2] * 50)
    case.assertEqual(OBJECTIVE / 2, delay)


def test_delay_is_not_within_the_variation_of_equal_calls(case):
    """Latencies that hardly vary would be hedged because of jitter."""
    case.assertAlmostEqual(0.015, _learn([0.01] * 100))


def test_delay_is_half_the_objective_until_calls_are_known(case):
    """An instance has just started, and its first calls were fast."""
    case.assertEqual(OBJECTIVE / 2, _learn([0.01] * 5))


def test_delay_follows_a_change_of_the_load(case):
    """All targets become three times slower, as under a burst."""
    before = _learn([0.01] * 200)
    after = _learn([0.01] * 200 + [0.03] * hedging.WINDOW_CALLS)
    case.assertLess(before, 0.03)
    case.assertGreater(after, 0.03)


def test_second_calls_stay_within_their_share(case):
    """All targets are slow, so that every call would be hedged."""
    rng = random.Random(2)
    budget = hedging.HedgingBudget()
    now, calls, hedges = 0.0, 0, 0
    while now < 100.0:
        now += rng.expovariate(40.0)
        calls += 1
        budget.record_call(now)
        hedges += _take(budget, now)
    case.assertLessEqual(hedges, hedging.BUDGET_RATIO * calls)
    case.assertGreaterEqual(hedges, 0.8 * hedging.BUDGET_RATIO * calls)


def test_burst_of_second_calls_is_bounded(case):
    """All calls of a second are late at once, because a target hangs."""
    budget = hedging.HedgingBudget()
    for number in range(200):
        budget.record_call(number / 20)
    taken = sum(_take(budget, 10.0) for _ in range(200))
    case.assertLessEqual(taken, 200 * hedging.BUDGET_RATIO)
    case.assertGreaterEqual(taken, 8)


def test_budget_of_earlier_calls_expires(case):
    """A long quiet time must not allow many second calls at once."""
    budget = hedging.HedgingBudget()
    for number in range(1000):
        budget.record_call(number / 100)
    case.assertTrue(budget.allows_call(9.99))
    case.assertFalse(budget.allows_call(40.0))


load_tests = fixtures.adapt(__name__)
