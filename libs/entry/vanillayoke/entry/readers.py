"""The requests in progress that draining waits for."""

import asyncio
import contextlib
import typing

from vanillayoke.core import failures
from vanillayoke.core import timers as core_timers

STOPPED = failures.Failure(
    failures.Kind.LEASE_LOST, 'the instance is stopping', 0.0
)

_Result = typing.TypeVar('_Result')


class Readers:
    """Tasks of callers that wait for an answer or read a stream."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()
        self._empty = asyncio.Event()
        self._empty.set()
        self._is_cut = False

    def __len__(self) -> int:
        return len(self._tasks)

    @contextlib.contextmanager
    def join(self) -> typing.Iterator[None]:
        """Count the current task as a reader."""
        task = asyncio.current_task()
        self._tasks.add(task)
        self._empty.clear()
        try:
            yield
        finally:
            self._tasks.discard(task)
            if not self._tasks:
                self._empty.set()

    async def wait(
        self, timers: core_timers.TimerService, grace: float
    ) -> None:
        """Wait until no reader is left, but no longer than the grace."""
        guard = timers.call_after(grace, self._empty.set)
        try:
            await self._empty.wait()
        finally:
            guard.cancel()

    def cut(self) -> None:
        """Cancel all readers; each tells its caller why."""
        self._is_cut = True
        for task in self._tasks:
            task.cancel()

    def take_cut(self) -> bool:
        """Tell whether the current task was cancelled by ``cut``.

        It then goes on as if it had not been cancelled.
        """
        if self._is_cut:
            asyncio.current_task().uncancel()
        return self._is_cut


class Effects:
    """Work that goes on when the caller that asked for it hangs up.

    aiohttp cancels the handler of a lost connection. Where that hit the
    middle of an open or a start, the program would be left half made.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    async def run(
        self, work: typing.Coroutine[typing.Any, typing.Any, _Result]
    ) -> _Result:
        """Run to the end, whether or not the caller stays."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def finish(self) -> None:
        """Wait for all that runs."""
        if self._tasks:
            await asyncio.wait(self._tasks)
