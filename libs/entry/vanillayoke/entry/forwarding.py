"""Passing requests on to the instance that owns their program."""

import typing

import aiohttp
from aiohttp import web

from vanillayoke.core import failures
from vanillayoke.core import timers as core_timers
from vanillayoke.entry import events
from vanillayoke.entry import host
from vanillayoke.entry import inflight
from vanillayoke.entry import streams

HOPS = 'Vanillayoke-Forwarded'
MOST_HOPS = 2
CONNECT_TIMEOUT = 1.0
# Connections kept for reuse go before the owner closes them as idle.
IDLE_TIMEOUT = 10.0
RETRY_AFTER = 1.0
# The owner is silent for longer than so many heartbeats only if the
# connection is dead.
SILENT_HEARTBEATS = 3.5

_REQUEST_HEADERS = (
    'Accept',
    'Authorization',
    'Content-Type',
    'Idempotency-Key',
    'Last-Event-ID',
)
_ANSWER_HEADERS = (
    'Cache-Control',
    'Content-Location',
    'Retry-After',
    'WWW-Authenticate',
)
_EVENT_END = b'\n\n'

BROKEN = failures.Failure(
    failures.Kind.LEASE_LOST, "the owner's answer broke off", RETRY_AFTER
)


class Unsent(typing.NamedTuple):
    """The owner was not reached, so it was sent nothing."""

    instance: str


class Forwarder:
    """Passes requests on over HTTP and their answers back."""

    def __init__(
        self,
        timers: core_timers.TimerService,
        slow_reader_timeout: float,
        heartbeat: float,
        requests: inflight.Requests,
    ) -> None:
        self._timers = timers
        self._requests = requests
        self._slow_reader_timeout = slow_reader_timeout
        self._timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT,
            sock_read=heartbeat * SILENT_HEARTBEATS,
        )
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the pool of connections to other instances."""
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=IDLE_TIMEOUT
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=self._timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def finish(self) -> None:
        """Close all connections to other instances."""
        if self._session is not None:
            await self._session.close()

    async def pass_on(
        self, request: web.Request, owner: host.Elsewhere, data: bytes
    ) -> web.StreamResponse | Unsent | failures.Failure:
        """Send a request to its owner and return the owner's answer."""
        hops = read_hops(request)
        if hops >= MOST_HOPS:
            return failures.Failure(
                failures.Kind.NOT_OWNER,
                'instances disagree about the owner',
                RETRY_AFTER,
            )
        headers = _pick(request.headers, _REQUEST_HEADERS)
        headers[HOPS] = str(hops + 1)
        answer = await self._requests.run(
            self._fetch(request, owner, headers, data)
        )
        if not isinstance(answer, aiohttp.ClientResponse):
            return answer
        try:
            return await self._pass_back(request, answer)
        finally:
            answer.release()

    async def _fetch(
        self,
        request: web.Request,
        owner: host.Elsewhere,
        headers: dict[str, str],
        data: bytes,
    ) -> aiohttp.ClientResponse | Unsent | failures.Failure:
        """Return the owner's answer, with its body unless it is a stream."""
        try:
            answer = await self._session.request(
                request.method,
                f'http://{owner.address}{request.path_qs}',
                headers=headers,
                data=data or None,
                allow_redirects=False,
            )
            if answer.content_type != events.CONTENT_TYPE:
                await answer.read()
            return answer
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Unsent(owner.instance)
        except (aiohttp.ClientError, TimeoutError):
            # The owner may have begun the work before the connection
            # broke. It answers a repeat from its journal, so the caller may
            # send the same request again.
            return BROKEN

    async def _pass_back(
        self, request: web.Request, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        headers = _pick(answer.headers, _ANSWER_HEADERS)
        if answer.content_type != events.CONTENT_TYPE:
            return web.Response(
                status=answer.status,
                headers=headers,
                body=await answer.read(),
                content_type=answer.content_type,
            )
        headers['Content-Type'] = events.CONTENT_TYPE
        response = web.StreamResponse(headers=headers)
        writer = await streams.start_body(
            request, response, self._timers, self._slow_reader_timeout
        )
        failure = await self._requests.run(_copy_events(answer, writer))
        if failure:
            writer.add(events.encode(failure))
        writer.flush()
        return response


async def _copy_events(
    answer: aiohttp.ClientResponse, writer: streams.BodyWriter
) -> failures.Failure | None:
    rest = b''
    try:
        async for data in answer.content.iter_any():
            # Only whole events go out: behind half of one, the error
            # event that ends a broken stream would be taken for its
            # second half.
            whole, end, rest = (rest + data).rpartition(_EVENT_END)
            if end:
                writer.add(whole + end)
            if writer.is_full():
                await writer.drain()
    except (aiohttp.ClientError, TimeoutError):
        return BROKEN
    return None


def read_hops(request: web.Request) -> int:
    """Return how often a request was passed on; junk counts as too often."""
    text = request.headers.get(HOPS, '0')
    return int(text) if text in ('0', '1') else MOST_HOPS


def _pick(
    headers: typing.Mapping[str, str], names: typing.Iterable[str]
) -> dict[str, str]:
    return {name: headers[name] for name in names if name in headers}
