"""Adapter to plain services over HTTP."""

import ssl
import typing
import urllib.parse

import aiohttp

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.settings import configuration
from vanillayoke.targets import answers
from vanillayoke.targets import connections
from vanillayoke.targets import control
from vanillayoke.targets import ports

LARGEST_ANSWER = 4 * 1024 * 1024
_QUERY_TIMEOUT = 5.0
_ACCEPTED = 202
_NOT_FOUND = 404


class HttpService(ports.Service):
    """A plain service over HTTP."""

    def __init__(
        self, held: connections.TargetConnections, has_query: bool
    ) -> None:
        self._connections = held
        self._has_query = has_query
        self._control = control.ControlClient(held)

    @classmethod
    def from_config(
        cls,
        settings: configuration.TargetSettings,
        clock: timers.TimerService,
        tls: ssl.SSLContext | None = None,
    ) -> 'HttpService':
        """Build from a target's settings."""
        held = connections.TargetConnections(settings.address, clock, tls)
        return cls(held, settings.query)

    async def call(
        self, request: ports.ServiceRequest
    ) -> ports.ServiceAnswer | failures.Failure:
        """Run a tool call; see the port."""
        return await self._ask(
            'POST',
            request.path,
            request.timeout,
            data=request.arguments.encode(),
            headers={
                'Idempotency-Key': request.key,
                'Content-Type': 'application/json',
            },
        )

    async def query(
        self, key: str
    ) -> ports.ServiceAnswer | None | failures.Failure:
        """Ask what became of a call; see the port."""
        if not self._has_query:
            return failures.Failure(
                failures.Kind.OUTCOME_UNKNOWN, 'the service has no query'
            )
        path = f'/v1/calls/{urllib.parse.quote(key, safe="")}'
        return await self._ask('GET', path, _QUERY_TIMEOUT)

    async def _ask(
        self, method: str, path: str, limit: float, **options: typing.Any
    ) -> ports.ServiceAnswer | None | failures.Failure:
        limits = aiohttp.ClientTimeout(
            total=limit, sock_connect=control.CONNECT_TIMEOUT
        )
        try:
            async with (
                self._connections.borrow() as session,
                session.request(
                    method,
                    path,
                    timeout=limits,
                    allow_redirects=False,
                    **options,
                ) as response,
            ):
                if method == 'GET':
                    return await _read_query(response)
                return await _read_answer(response)
        except (aiohttp.ClientError, OSError) as error:
            return await self._connections.explain_error(error)

    async def report_load(self) -> ports.LoadReport | failures.Failure:
        """Return the last load report; see the port."""
        return await self._control.report_load()

    async def close(self) -> None:
        """Take no new requests; running ones go on to their end."""
        await self._connections.close()


async def _read_query(
    response: aiohttp.ClientResponse,
) -> ports.ServiceAnswer | None | failures.Failure:
    """Return what a query's answer says of the call.

    A bare 404 may come from a gateway or an older service that has no such
    path; taken for "never ran" it would run an order twice. So the service
    has to say so in a header of its own.
    """
    if response.status == _NOT_FOUND and answers.is_not_run(response):
        return None
    failure = answers.check_status(response)
    if failure is not None or response.status == _ACCEPTED:
        return failures.Failure(
            failures.Kind.OUTCOME_UNKNOWN, 'the service does not know yet'
        )
    return await _read_answer(response)


async def _read_answer(
    response: aiohttp.ClientResponse,
) -> ports.ServiceAnswer | failures.Failure:
    failure = answers.check_status(response)
    if failure is not None:
        return failure
    body = await answers.read_bounded(response, LARGEST_ANSWER)
    if isinstance(body, failures.Failure):
        return body
    try:
        return ports.ServiceAnswer(body.decode())
    except UnicodeDecodeError:
        return answers.fail_malformed('an answer that is no text')
