"""Connections to one target, retired by age and after a silence."""

import collections.abc
import contextlib
import ssl

import aiohttp

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.targets import answers

# A connection tracker between the two ends forgets idle connections without
# telling either: the next request on one is never answered. Not reusing
# connections beyond these ages (seconds) makes that rare.
IDLE_LIMIT = 15.0
AGE_LIMIT = 300.0


class _Pool:
    """A client session and how many requests use it."""

    def __init__(
        self, now: float, base_url: str, tls: ssl.SSLContext | None
    ) -> None:
        self.made_at = now
        self.users = 0
        self.is_retired = False
        self.session = aiohttp.ClientSession(
            base_url,
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=IDLE_LIMIT, ssl=tls or True
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def close_if_unused(self) -> None:
        if self.is_retired and not self.users:
            await self.session.close()


class TargetConnections:
    """Lends a client session that holds connections of one target.

    Each target has its own, so that a silence of one target retires no
    connection of another.
    """

    def __init__(
        self,
        address: str,
        clock: timers.TimerService,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        scheme = 'https' if tls else 'http'
        self._base_url = f'{scheme}://{address}'
        self._clock = clock
        self._tls = tls
        self._pool: _Pool | None = None
        self.is_closed = False

    @contextlib.asynccontextmanager
    async def borrow(
        self,
    ) -> collections.abc.AsyncIterator[aiohttp.ClientSession]:
        """Lend a session for one request."""
        pool = await self._choose_pool()
        pool.users += 1
        try:
            yield pool.session
        finally:
            pool.users -= 1
            await pool.close_if_unused()

    async def renew(self) -> None:
        """Use new connections from now on; running requests go on.

        Whatever lost track of one connection has often lost the idle ones
        beside it: reusing those would cost a silence each.
        """
        pool, self._pool = self._pool, None
        if pool is not None:
            pool.is_retired = True
            await pool.close_if_unused()

    async def explain_error(self, error: Exception) -> failures.Failure:
        """Return a client error's failure; renew where it was a loss."""
        failure = answers.explain_error(error)
        if failure.kind is failures.Kind.OUTCOME_UNKNOWN:
            await self.renew()
        return failure

    async def close(self) -> None:
        """Lend no more; running requests go on to their end."""
        self.is_closed = True
        await self.renew()

    async def _choose_pool(self) -> _Pool:
        now = self._clock.now()
        if self._pool and now - self._pool.made_at > AGE_LIMIT:
            await self.renew()
        if self._pool is not None:
            return self._pool
        pool = _Pool(now, self._base_url, self._tls)
        # A request made after the target's removal, such as a cancel, must
        # not leave an open session behind it.
        if self.is_closed:
            pool.is_retired = True
        else:
            self._pool = pool
        return pool
