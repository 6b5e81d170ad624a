"""Tests of how the changes of a table are followed."""

import asyncio

from vanillayoke.core import timers
from vanillayoke.gateway import feeds
from vanillayoke.gateway import messages
from vanillayoke.testing import fixtures

CALL_SECONDS = 0.01


class _Store:
    """Answers each call for changes with the removal of the same row."""

    def __init__(self, clock) -> None:
        self._clock = clock

    async def read(self, table, partition, timeout_seconds):
        return messages.Page((), 1, False, 0.0)

    async def follow(self, table, after, wait, timeout_seconds):
        await self._clock.sleep(CALL_SECONDS)
        where = messages.RowKey(table, '', 'a')
        row = messages.Row(where, None, 5)
        return messages.Page((row,), 5, False, 0.0)


@fixtures.fixture
def clock(loop):
    return timers.LoopTimers(loop)


async def test_change_that_two_calls_tell_is_applied_once(case, clock):
    """A removal told again looked like that of a target never seen."""
    applied = []
    feed = feeds.TableFeed(
        _Store(clock),
        'servers',
        lambda page: None,
        applied.append,
        lambda row, error: None,
        1.0,
        clock,
    )
    await feed.read()
    await asyncio.gather(feed.catch_up(5), feed.catch_up(5))
    case.assertEqual(1, len(applied))


load_tests = fixtures.adapt(__name__)
