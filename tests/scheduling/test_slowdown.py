"""Tests of how the slowdown of engines by their load is learned."""

import random

from vanillayoke.scheduling import slowdown
from vanillayoke.testing import fixtures


def _learn(slope, slots, count=300, most=None, noise=0.3):
    source = random.Random(3)
    found = slowdown.Slowdown(slots)
    for _ in range(count):
        load = source.randrange(most or slots)
        gap = 0.02 * (1 + slope * load) * source.uniform(1 - noise, 1 + noise)
        found.learn(load, gap)
    return found.slope


def test_slope_is_learned_within_a_third(case):
    """One engine is twice as slow with 22 requests, another hardly slower.

    The same figure for both sends work to crowded places here or across
    zones for nothing there.
    """
    steep = _learn(0.046, 64)
    flat = _learn(0.004, 64)
    case.assertTrue(0.03 < steep < 0.062, steep)
    case.assertLess(flat, 0.01)


def test_guess_holds_until_loads_differ(case):
    guess = slowdown.FIRST_SLOWDOWN / 12
    case.assertEqual(guess, slowdown.Slowdown(12).slope)
    case.assertAlmostEqual(guess, _learn(0.05, 12, most=1))


def test_noise_gives_no_wild_slope(case):
    case.assertLessEqual(_learn(0.0, 12, count=6, noise=0.9), 0.2)
    case.assertGreaterEqual(_learn(0.0, 12, count=6, noise=0.9), 0.0)


load_tests = fixtures.adapt(__name__)
