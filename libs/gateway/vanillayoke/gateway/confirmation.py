"""Confirms on demand that what is known of the store's tables is current."""

import asyncio
import typing

from vanillayoke.core import timers


class Confirmation:
    """Reads what has changed; one read serves all that wait for it.

    ``read`` returns whether it succeeded, ``get_interval`` the seconds from
    the beginning of one read to that of the next one at the least.
    """

    def __init__(
        self,
        read: typing.Callable[[], typing.Awaitable[bool]],
        get_interval: typing.Callable[[], float],
        timer_service: timers.TimerService,
    ) -> None:
        self._read = read
        self._get_interval = get_interval
        self._timers = timer_service
        self._read_at = float('-inf')
        self._waiting: list[asyncio.Future[bool]] = []
        self._task: asyncio.Task | None = None

    async def confirm(self, timeout_seconds: float) -> bool:
        """Return whether a read that began after this call has succeeded."""
        done = asyncio.get_running_loop().create_future()
        self._waiting.append(done)
        if self._task is None:
            self._task = asyncio.ensure_future(self._run())
        try:
            async with asyncio.timeout(timeout_seconds):
                return await done
        except TimeoutError:
            return False

    async def _run(self) -> None:
        try:
            while self._waiting:
                next_at = self._read_at + self._get_interval()
                await self._timers.sleep(
                    max(0.0, next_at - self._timers.now())
                )
                self._read_at = self._timers.now()
                waiting, self._waiting = self._waiting, []
                has_succeeded = False
                try:
                    has_succeeded = await self._read()
                finally:
                    for done in waiting:
                        if not done.done():
                            done.set_result(has_succeeded)
        finally:
            self._task = None
