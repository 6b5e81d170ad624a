"""A watch on streams that go silent or last too long."""

import aiohttp

from vanillayoke.core import timers


class StreamWatch:
    """Closes a response once it was silent or has lasted for too long.

    A connection that something between the two ends has lost track of
    gives neither bytes nor an error: the reader would wait for ever. Only
    the time that the reader waits counts as silence, so a slow caller is
    not taken for a silent target.

    The client library could do this by a timer that it sets anew for each
    read; at thousands of reads a second those timers cost more than this
    one, which looks at the time of the last read.
    """

    def __init__(
        self,
        clock: timers.TimerService,
        response: aiohttp.ClientResponse,
        progress_timeout: float,
        deadline: float,
    ) -> None:
        self._clock = clock
        self._response = response
        self._progress_timeout = progress_timeout
        self._deadline = deadline
        self._waiting_since: float | None = None
        self._is_expired = False
        self._timer = clock.call_after(0.0, self._check)

    async def read(self) -> bytes:
        """Return the bytes that have arrived; empty at the end.

        Raises ``TimeoutError`` where the watch closed the response.
        """
        self._waiting_since = self._clock.now()
        try:
            data = await self._response.content.readany()
        except aiohttp.ClientError:
            if self._is_expired:
                raise TimeoutError from None
            raise
        self._waiting_since = None
        return data

    def close(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _check(self) -> None:
        now = self._clock.now()
        waiting_since = self._waiting_since
        if waiting_since is None:
            waiting_since = now
        end = min(waiting_since + self._progress_timeout, self._deadline)
        if now < end:
            self._timer = self._clock.call_after(end - now, self._check)
            return
        self._is_expired = True
        self._response.close()
