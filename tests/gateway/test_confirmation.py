"""Tests of reads of the store that confirm what is known."""

import asyncio

from vanillayoke.core import timers
from vanillayoke.gateway import confirmation
from vanillayoke.testing import fixtures

INTERVAL_SECONDS = 0.3
READ_SECONDS = 0.01


class _Reads:
    """Counts reads; they fail while ``has_failed``."""

    def __init__(self, clock) -> None:
        self.began_at = []
        self.has_failed = False
        self._clock = clock

    async def read(self) -> bool:
        self.began_at.append(self._clock.now())
        await self._clock.sleep(READ_SECONDS)
        return not self.has_failed


@fixtures.fixture
def clock(loop):
    return timers.LoopTimers(loop)


@fixtures.fixture
def reads(clock):
    return _Reads(clock)


@fixtures.fixture
def confirming(reads, clock):
    return confirmation.Confirmation(
        reads.read, lambda: INTERVAL_SECONDS, clock
    )


async def test_read_under_way_confirms_nothing_that_came_later(
    case, reads, confirming, clock
):
    """It may have been answered before the change that matters."""
    first = asyncio.ensure_future(confirming.confirm(1.0))
    await clock.sleep(READ_SECONDS / 2)
    asked_at = clock.now()
    case.assertTrue(await confirming.confirm(1.0))
    case.assertTrue(await first)
    case.assertEqual(2, len(reads.began_at))
    case.assertGreaterEqual(reads.began_at[1], asked_at)


async def test_crowd_reads_no_more_often_than_allowed(
    case, reads, confirming, clock
):
    """All instances together would exceed the rate of the store."""
    started_at = clock.now()
    while clock.now() < started_at + 2.0:
        await asyncio.gather(*(confirming.confirm(1.0) for _ in range(20)))
    began = [at for at in reads.began_at if at < started_at + 2.0]
    case.assertLessEqual(len(began), 2.0 / INTERVAL_SECONDS + 1)


async def test_failure_and_timeout_confirm_nothing(
    case, reads, confirming, clock
):
    reads.has_failed = True
    case.assertFalse(await confirming.confirm(1.0))
    reads.has_failed = False
    # The next read may not begin before this has passed.
    case.assertFalse(await confirming.confirm(INTERVAL_SECONDS / 2))
    case.assertTrue(await confirming.confirm(1.0))


load_tests = fixtures.adapt(__name__)
