"""Confirms on demand that what is known of the store's tables is current."""

import asyncio
import typing


class Confirmation:
    """Reads what has changed; one read serves all that wait for it.

    ``read`` returns whether it succeeded.
    """

    def __init__(
        self, read: typing.Callable[[], typing.Awaitable[bool]]
    ) -> None:
        self._read = read
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
