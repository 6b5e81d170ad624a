"""The requests in flight, which draining waits for."""

import asyncio
import contextlib
import typing

from vanillayoke.core import failures
from vanillayoke.core import timers as core_timers

STOPPED = failures.Failure(
    failures.Kind.LEASE_LOST, 'the instance is stopping', 0.0
)

_Result = typing.TypeVar('_Result')


class Requests:
    """Tasks that work for callers, or go on after their caller left."""

    def __init__(self) -> None:
        self._waiting: set[asyncio.Task] = set()
        self._detached: set[asyncio.Task] = set()
        self._empty = asyncio.Event()
        self._empty.set()
        self._is_cut = False

    def __len__(self) -> int:
        return len(self._waiting)

    async def run(
        self, work: typing.Awaitable[_Result]
    ) -> _Result | failures.Failure:
        """Wait for work, but no longer than until ``cut``."""
        with self._count(asyncio.current_task(), self._waiting):
            try:
                return await work
            except asyncio.CancelledError:
                if not self._is_cut:
                    raise
                asyncio.current_task().uncancel()
                return STOPPED

    async def run_detached(
        self, work: typing.Coroutine[typing.Any, typing.Any, _Result]
    ) -> _Result | failures.Failure:
        """Wait for work that goes on even if its caller hangs up.

        aiohttp cancels the handler of a lost connection. Where that hit the
        middle of an open or a start, the program would be left half made.
        """
        task = asyncio.ensure_future(self._detach(work))
        return await self.run(asyncio.shield(task))

    async def _detach(self, work: typing.Awaitable[_Result]) -> _Result:
        with self._count(asyncio.current_task(), self._detached):
            return await work

    @contextlib.contextmanager
    def _count(
        self, task: asyncio.Task, tasks: set[asyncio.Task]
    ) -> typing.Iterator[None]:
        tasks.add(task)
        self._empty.clear()
        try:
            yield
        finally:
            tasks.discard(task)
            if not self._waiting and not self._detached:
                self._empty.set()

    async def wait(
        self, timers: core_timers.TimerService, grace: float
    ) -> None:
        """Wait until nothing is in flight, but no longer than the grace."""
        guard = timers.call_after(grace, self._empty.set)
        try:
            await self._empty.wait()
        finally:
            guard.cancel()

    def cut(self) -> None:
        """End all waiting; each caller is told why."""
        self._is_cut = True
        for task in self._waiting:
            task.cancel()
