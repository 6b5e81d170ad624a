"""HTTP requests to one service of the platform, over reused connections."""

import ssl
import typing

import aiohttp

from vanillayoke.core import failures
from vanillayoke.core import timers

OK = 200
NOT_FOUND = 404
CONFLICT = 409
_LARGEST_POOL = 16
_CONNECT_SHARE = 0.5


class LinkSettings(typing.NamedTuple):
    """How one service is reached; times in seconds.

    ``address`` is ``IP:PORT`` or a base URL. A connection is closed after
    ``idle`` without use, and none is used for longer than ``age``.
    ``caller`` names this instance to the service.
    """

    address: str
    caller: str = ''
    timeout: float = 2.0
    idle: float = 15.0
    age: float = 300.0
    tls: ssl.SSLContext | None = None


class Reply(typing.NamedTuple):
    """An HTTP reply that was read to its end.

    Without ``has_marked_end``, the end is that of the connection, and the
    service may have ended before it sent all of the body.
    """

    status: int
    body: bytes
    has_marked_end: bool = True


class Link:
    """Sends requests, each within the timeout."""

    def __init__(
        self, settings: LinkSettings, service: timers.TimerService
    ) -> None:
        self._settings = settings
        self._timers = service
        self._base = _find_base(settings)
        self._session: aiohttp.ClientSession | None = None
        self._renew_at = 0.0
        self._users: dict[aiohttp.ClientSession, int] = {}

    async def request(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Reply | failures.Failure:
        """Send a request and read its reply.

        ``STORE_UNAVAILABLE`` means that the request was never sent,
        ``STORE_UNCERTAIN`` that it may have been carried out.
        """
        session = await self._take_session()
        try:
            async with session.request(
                method, self._base + path, params=params, data=body
            ) as response:
                return Reply(
                    response.status,
                    await response.read(),
                    _has_marked_end(response),
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return _fail(failures.Kind.STORE_UNAVAILABLE, error)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._drop(session)
            return _fail(failures.Kind.STORE_UNCERTAIN, error)
        finally:
            await self._give_back(session)

    async def close(self) -> None:
        """Close all connections; a request that still runs fails."""
        sessions = list(self._users)
        if self._session is not None:
            sessions.append(self._session)
        self._session = None
        for session in sessions:
            await session.close()

    async def _take_session(self) -> aiohttp.ClientSession:
        if self._session is None or self._timers.now() >= self._renew_at:
            await self._renew()
        self._users[self._session] = self._users.get(self._session, 0) + 1
        return self._session

    async def _renew(self) -> None:
        old = self._session
        self._session = self._make_session()
        self._renew_at = self._timers.now() + self._settings.age
        if old is not None and old not in self._users:
            await old.close()

    async def _give_back(self, session: aiohttp.ClientSession) -> None:
        self._users[session] -= 1
        if self._users[session]:
            return
        del self._users[session]
        if session is not self._session:
            await session.close()

    def _drop(self, session: aiohttp.ClientSession) -> None:
        # Guards against connections that went silent: something between the
        # two ends has lost track of them, so requests on them are never
        # answered while new connections work. It shows as a timeout. The
        # other idle connections of the pool are likely as dead, so that
        # each later request would wait its whole timeout too: the next
        # request starts with an empty pool and therefore connects anew.
        # Requests still running on the old pool end by their own timeout.
        if session is self._session:
            self._session = None

    def _make_session(self) -> aiohttp.ClientSession:
        settings = self._settings
        connector = aiohttp.TCPConnector(
            limit=_LARGEST_POOL,
            keepalive_timeout=settings.idle,
            ssl=settings.tls if settings.tls is not None else True,
        )
        # The time to connect ends well before the whole time, so that a
        # timeout tells whether the request can have been sent.
        timeout = aiohttp.ClientTimeout(
            total=settings.timeout,
            connect=settings.timeout * _CONNECT_SHARE,
        )
        return aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            headers={'User-Agent': settings.caller or 'vanillayoke'},
        )


def _find_base(settings: LinkSettings) -> str:
    if '://' in settings.address:
        return settings.address.rstrip('/')
    scheme = 'http' if settings.tls is None else 'https'
    return f'{scheme}://{settings.address}'


def _has_marked_end(response: aiohttp.ClientResponse) -> bool:
    coding = response.headers.get('Transfer-Encoding', '')
    return 'Content-Length' in response.headers or 'chunked' in coding.lower()


def _fail(kind: failures.Kind, error: Exception) -> failures.Failure:
    return failures.Failure(kind, type(error).__name__)
