"""Tests of log lines that are written once for an interval."""

import asyncio

from vanillayoke.core import line_limits
from vanillayoke.core import timers
from vanillayoke.testing import fixtures


async def test_one_line_for_an_interval_tells_the_count(case, loop):
    """A crowd of clients filled the log, one line for each of them."""
    limit = line_limits.LineLimit(timers.LoopTimers(loop))
    case.assertEqual(1, limit.count('a'))
    case.assertEqual([None] * 5, [limit.count('a') for _ in range(5)])
    case.assertEqual(1, limit.count('b'))
    await asyncio.sleep(line_limits.INTERVAL_SECONDS)
    case.assertEqual(6, limit.count('a'))
    await asyncio.sleep(line_limits.INTERVAL_SECONDS)
    case.assertEqual(1, limit.count('a'))


load_tests = fixtures.adapt(__name__)
