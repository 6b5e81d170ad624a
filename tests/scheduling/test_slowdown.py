"""Tests of learning how much engines slow down with their load."""

import random

from vanillayoke.scheduling import slowdown
from vanillayoke.testing import fixtures


def _learn(slope, slots, count=300, max_load=None, noise=0.3):
    rng = random.Random(3)
    learned = slowdown.Slowdown(slots)
    for _ in range(count):
        load = rng.randrange(max_load or slots)
        interval = (
            0.02 * (1 + slope * load) * rng.uniform(1 - noise, 1 + noise)
        )
        learned.learn(load, interval)
    return learned.slope


def test_slope_is_learned_within_a_third(case):
    """One engine is twice as slow with 22 requests, another hardly slower."""
    steep = _learn(0.046, 64)
    flat = _learn(0.004, 64)
    case.assertTrue(0.03 < steep < 0.062, steep)
    case.assertLess(flat, 0.01)


def test_initial_slope_is_used_until_loads_differ(case):
    initial = slowdown.INITIAL_SLOWDOWN / 12
    case.assertEqual(initial, slowdown.Slowdown(12).slope)
    case.assertAlmostEqual(initial, _learn(0.05, 12, max_load=1))


def test_slope_stays_in_bounds_with_few_noisy_samples(case):
    case.assertLessEqual(_learn(0.0, 12, count=6, noise=0.9), 0.2)
    case.assertGreaterEqual(_learn(0.0, 12, count=6, noise=0.9), 0.0)


load_tests = fixtures.adapt(__name__)
