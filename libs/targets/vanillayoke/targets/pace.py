"""The pace at which a stream is read: many tokens by one read."""

import asyncio

import aiohttp

from vanillayoke.core import timers

# Taking a piece through to its readers costs the same whether it holds one
# token or twenty. The first pieces go on at once; then the pauses (seconds)
# grow with the answer, up to what a person reading along does not notice.
PAUSE_SHARE = 0.1
SHORTEST_PAUSE = 0.001
LONGEST_PAUSE = 0.1


class ReadPace:
    """Lets tokens gather between two reads of a stream.

    The end of the stream cuts a pause short, so the answer is complete as
    early as without pauses.
    """

    def __init__(
        self, clock: timers.TimerService, content: aiohttp.StreamReader
    ) -> None:
        self._clock = clock
        self._content = content
        self._began_at = clock.now()
        self._waiter: asyncio.Future | None = None
        content.on_eof(self._wake)

    async def pause(self) -> None:
        """Wait before the next read."""
        lasted = self._clock.now() - self._began_at
        delay = min(lasted * PAUSE_SHARE, LONGEST_PAUSE)
        if delay < SHORTEST_PAUSE or self._content.is_eof():
            return
        self._waiter = asyncio.get_running_loop().create_future()
        timer = self._clock.call_after(delay, self._wake)
        try:
            await self._waiter
        finally:
            timer.cancel()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
