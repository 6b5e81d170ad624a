"""Adapter to engines that speak the chat completions protocol."""

import asyncio
import contextlib
import ssl
import typing
import urllib.parse

import aiohttp

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.settings import configuration
from vanillayoke.targets import answers
from vanillayoke.targets import chunks
from vanillayoke.targets import connections
from vanillayoke.targets import control
from vanillayoke.targets import credentials
from vanillayoke.targets import pace
from vanillayoke.targets import ports
from vanillayoke.targets import requests
from vanillayoke.targets import silence

_REQUEST_ID = 'X-Request-Id'
# The time of a whole call is bounded by its own watch.
_LIMITS = aiohttp.ClientTimeout(
    total=None, sock_connect=control.CONNECT_TIMEOUT
)
_NOT_FOUND = 404
_STREAM_TYPE = 'text/event-stream'
# Behind the end mark comes at most the body's own end, and at once; a
# connection that is not there by then (seconds) is not reused.
_CLOSING_TIME = 1.0

_Items = typing.AsyncIterator[
    ports.Delta | ports.Completion | failures.Failure
]


class HttpEngine(ports.Engine):
    """A model engine over HTTP."""

    def __init__(
        self,
        name: str,
        held: connections.TargetConnections,
        clock: timers.TimerService,
        key: credentials.SigningKey | None = None,
    ) -> None:
        self._name = name
        self._connections = held
        self._clock = clock
        self._key = key
        self._control = control.ControlClient(held)

    @classmethod
    def from_config(
        cls,
        name: str,
        settings: configuration.TargetSettings,
        clock: timers.TimerService,
        key: credentials.SigningKey | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> 'HttpEngine':
        """Build from a target's settings; ``key`` signs where they say so."""
        held = connections.TargetConnections(settings.address, clock, tls)
        return cls(name, held, clock, key if settings.signed_orders else None)

    def stream(self, request: ports.EngineRequest) -> _Items:
        """Run a model call; see the port."""
        body = requests.encode_request(request)
        return self._run('POST', '/v1/chat/completions', request, body)

    async def resume(
        self, request: ports.EngineRequest, offset: int
    ) -> _Items:
        """Go on with a running call; see the port.

        The engine is asked for the whole answer and what the caller has is
        cut off here: so the completion is whole, and the two need not
        agree on what one character is.
        """
        call_id = urllib.parse.quote(request.call_id, safe='')
        items = self._run('GET', f'/v1/calls/{call_id}', request, None)
        async with contextlib.aclosing(items):
            async for item in items:
                if not isinstance(item, ports.Delta):
                    yield item
                    continue
                rest = item.text[offset:]
                offset = max(0, offset - len(item.text))
                if rest:
                    yield ports.Delta(rest, item.tokens)

    async def _run(
        self,
        method: str,
        path: str,
        request: ports.EngineRequest,
        body: bytes | None,
    ) -> _Items:
        """Yield an answer's pieces, then its completion or a failure."""
        deadline = self._clock.now() + request.timeout
        parser = chunks.AnswerParser()
        try:
            async with (
                self._connections.borrow() as session,
                await _open(session, method, path, request, body) as response,
            ):
                failure = _check_head(response, request)
                if failure is not None:
                    yield failure
                    return
                watch = silence.StreamWatch(
                    self._clock, response, request.progress_timeout, deadline
                )
                rhythm = pace.ReadPace(self._clock, response.content)
                with contextlib.closing(watch):
                    while not parser.is_done:
                        piece = await _read_piece(watch, parser)
                        if isinstance(piece, failures.Failure):
                            yield piece
                            return
                        if piece.tokens:
                            yield piece
                            await rhythm.pause()
                yield parser.complete(requests.estimate_prompt(request))
                await _finish_response(response)
        except (aiohttp.ClientError, OSError) as error:
            yield await self._connections.explain_error(error)

    async def cancel(self, call_id: str) -> failures.Failure | None:
        """Stop a call; see the port."""
        return await self._control.cancel(call_id)

    async def report_load(self) -> ports.LoadReport | failures.Failure:
        """Return the last load report; see the port."""
        return await self._control.report_load()

    async def list_cache_events(
        self, after: int
    ) -> list[ports.CacheEvent] | failures.Failure:
        """Return cache events; see the port."""
        return await self._control.list_cache_events(after)

    async def export_cache(self, session: str) -> str | failures.Failure:
        """Export a session's KV cache; see the port."""
        return await self._control.export_cache(session)

    async def import_cache(
        self, session: str, handle: str
    ) -> int | failures.Failure:
        """Import an exported KV cache; see the port."""
        return await self._control.import_cache(session, handle)

    async def give_order(self, order: ports.Order) -> failures.Failure | None:
        """Give an order, signed where the target wants it; see the port."""
        headers: dict[str, str] = {}
        if self._key is not None:
            signature = credentials.sign_order(
                order, self._name, self._key, self._clock.wall()
            )
            headers = credentials.write_headers(signature)
        return await self._control.give_order(order, headers)

    async def read_state(self) -> ports.EngineState | failures.Failure:
        """Return the engine's own state; see the port."""
        return await self._control.read_state()

    async def close(self) -> None:
        """Take no new requests; running ones go on to their end."""
        await self._connections.close()


async def _open(
    session: aiohttp.ClientSession,
    method: str,
    path: str,
    request: ports.EngineRequest,
    body: bytes | None,
) -> aiohttp.ClientResponse:
    """Return the answer's head; it comes before the first piece.

    So its absence is a silence, too.
    """
    limit = min(request.progress_timeout, request.timeout)
    async with asyncio.timeout(limit):
        return await session.request(
            method,
            path,
            data=body,
            headers={
                _REQUEST_ID: request.call_id,
                'Content-Type': 'application/json',
            },
            timeout=_LIMITS,
            allow_redirects=False,
        )


def _check_head(
    response: aiohttp.ClientResponse, request: ports.EngineRequest
) -> failures.Failure | None:
    """Return what is wrong with an answer before its first piece."""
    if response.status == _NOT_FOUND and response.method == 'GET':
        return failures.Failure(
            failures.Kind.OUTCOME_UNKNOWN, 'the engine forgot the call'
        )
    failure = answers.check_status(response)
    if failure is not None:
        return failure
    # A target that answers a connection's requests out of order would give
    # one program's text to another: the id that it echoes shows it.
    if response.headers.get(_REQUEST_ID, request.call_id) != request.call_id:
        return answers.fail_malformed('the answer to another request')
    if response.content_type != _STREAM_TYPE:
        return answers.fail_malformed('something else than a stream')
    return None


async def _read_piece(
    watch: silence.StreamWatch, parser: chunks.AnswerParser
) -> ports.Delta | failures.Failure:
    data = await watch.read()
    if data:
        return parser.feed(data)
    return failures.Failure(
        failures.Kind.OUTCOME_UNKNOWN, 'the stream ended half-way'
    )


async def _finish_response(response: aiohttp.ClientResponse) -> None:
    """Let a stream's connection be reused where it is at its end.

    Anything but the end, such as a second copy of the answer, closes it.
    The answer is whole by now, so errors change nothing.
    """
    with contextlib.suppress(aiohttp.ClientError, OSError):
        async with asyncio.timeout(_CLOSING_TIME):
            await response.content.readany()
