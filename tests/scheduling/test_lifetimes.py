"""Tests of learning the durations of tool calls."""

import math
import random

from vanillayoke.scheduling import lifetimes
from vanillayoke.testing import fixtures


def test_prefix_is_kept_during_calls_of_a_fast_tool(case):
    rng = random.Random(1)
    durations = lifetimes.ReturnTimes()
    for _ in range(200):
        durations.observe(rng.uniform(0.1, 0.4))
    case.assertGreater(durations.find_limit(1.0), 0.4)


def test_prefix_is_not_kept_during_calls_of_a_slow_tool(case):
    rng = random.Random(1)
    durations = lifetimes.ReturnTimes()
    for _ in range(200):
        durations.observe(rng.uniform(20.0, 200.0))
    case.assertLess(durations.find_limit(10.0), 1.0)


def test_prefix_is_kept_for_a_limited_time_with_a_heavy_tail(case):
    rng = random.Random(1)
    durations = lifetimes.ReturnTimes()
    for _ in range(400):
        is_long = rng.random() < 0.1
        durations.observe(100.0 if is_long else 0.3)
    limit = durations.find_limit(20.0)
    case.assertGreater(limit, 0.3)
    case.assertLess(limit, 5.0)
    case.assertTrue(math.isinf(durations.find_limit(1000.0)))


load_tests = fixtures.adapt(__name__)
