"""Tests of the learned return times."""

import math
import random

from vanillayoke.scheduling import lifetimes
from vanillayoke.testing import fixtures


def test_quick_tool_is_waited_for(case):
    source = random.Random(1)
    learned = lifetimes.ReturnTimes()
    for _ in range(200):
        learned.observe(source.uniform(0.1, 0.4))
    case.assertGreater(learned.find_limit(1.0), 0.4)


def test_person_is_not_waited_for(case):
    source = random.Random(1)
    learned = lifetimes.ReturnTimes()
    for _ in range(200):
        learned.observe(source.uniform(20.0, 200.0))
    case.assertLess(learned.find_limit(10.0), 1.0)


def test_heavy_tail_is_waited_for_only_at_first(case):
    source = random.Random(1)
    learned = lifetimes.ReturnTimes()
    for _ in range(400):
        long = source.random() < 0.1
        learned.observe(100.0 if long else 0.3)
    limit = learned.find_limit(20.0)
    case.assertGreater(limit, 0.3)
    case.assertLess(limit, 5.0)
    case.assertTrue(math.isinf(learned.find_limit(1000.0)))


load_tests = fixtures.adapt(__name__)
