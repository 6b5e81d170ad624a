"""Tasks that wait for a count to reach their position."""

import asyncio
import collections
import typing

from vanillayoke.core import failures
from vanillayoke.core import timers

Outcome = None | failures.Failure


class _Waiter(typing.NamedTuple):
    position: int
    future: asyncio.Future[Outcome]


class PositionWaiters:
    """Futures by position; positions are added in order."""

    def __init__(self) -> None:
        self._waiting: collections.deque[_Waiter] = collections.deque()

    @property
    def highest(self) -> int:
        """Return the highest position waited for; 0 without a waiter."""
        return self._waiting[-1].position if self._waiting else 0

    def add(self, position: int) -> asyncio.Future[Outcome]:
        """Return a future that is done once the position is reached."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiter(position, future))
        return future

    def reach(self, position: int) -> None:
        """Resolve those that wait for a position or less."""
        while self._waiting and self._waiting[0].position <= position:
            resolve(self._waiting.popleft().future, None)

    def fail(self, failure: failures.Failure) -> None:
        """Give a failure to all that wait."""
        while self._waiting:
            resolve(self._waiting.popleft().future, failure)


def resolve(future: asyncio.Future[Outcome], outcome: Outcome) -> None:
    """Give a future its outcome unless it has one or was cancelled."""
    if not future.done():
        future.set_result(outcome)


async def wait_patiently(
    service: timers.TimerService,
    future: asyncio.Future[Outcome],
    patience: float,
    failure: failures.Failure,
) -> Outcome:
    """Wait for a future; give it a failure where that takes too long."""
    subscription = service.call_after(
        patience, lambda: resolve(future, failure)
    )
    try:
        return await future
    finally:
        subscription.cancel()
