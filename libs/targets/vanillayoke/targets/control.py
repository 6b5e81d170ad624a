"""Control requests to a target: one path for each, JSON both ways."""

import typing

import aiohttp
import msgspec

from vanillayoke.core import failures
from vanillayoke.targets import answers
from vanillayoke.targets import connections
from vanillayoke.targets import ports

CONNECT_TIMEOUT = 2.0
_TIMEOUT = 5.0
# Moving a long prefix between engines takes its time.
_TRANSFER_TIMEOUT = 60.0
_LARGEST_ANSWER = 16 * 1024 * 1024
_CONFLICT = 409
_JSON = {'Content-Type': 'application/json'}


def make_struct(named_tuple: type) -> type[msgspec.Struct]:
    """Return the message type with the fields of a ``NamedTuple``.

    Named tuples are arrays in JSON, to which a target could add no field.
    """
    hints = typing.get_type_hints(named_tuple)
    return msgspec.defstruct(named_tuple.__name__, list(hints.items()))


_LoadReport = make_struct(ports.LoadReport)
_CacheEvent = make_struct(ports.CacheEvent)
_EngineState = make_struct(ports.EngineState)


class ControlClient:
    """Sends control requests over a target's connections."""

    def __init__(self, held: connections.TargetConnections) -> None:
        self._connections = held

    async def report_load(self) -> ports.LoadReport | failures.Failure:
        """Ask for the target's load."""
        report = await self._ask('report_load', {}, _LoadReport)
        return _rebuild(ports.LoadReport, report)

    async def read_state(self) -> ports.EngineState | failures.Failure:
        """Ask for an engine's state."""
        state = await self._ask('read_state', {}, _EngineState)
        return _rebuild(ports.EngineState, state)

    async def list_cache_events(
        self, after: int
    ) -> list[ports.CacheEvent] | failures.Failure:
        """Ask for the cache events numbered above ``after``."""
        events = await self._ask(
            'list_cache_events', {'after': after}, list[_CacheEvent]
        )
        if isinstance(events, failures.Failure):
            return events
        return [_rebuild(ports.CacheEvent, event) for event in events]

    async def cancel(self, call_id: str) -> failures.Failure | None:
        """Ask to stop a call."""
        return await self._ask('cancel', {'call_id': call_id}, None)

    async def export_cache(self, session: str) -> str | failures.Failure:
        """Ask to export a session's KV cache."""
        return await self._ask(
            'export_cache', {'session': session}, str, _TRANSFER_TIMEOUT
        )

    async def import_cache(
        self, session: str, handle: str
    ) -> int | failures.Failure:
        """Ask to import an exported KV cache."""
        return await self._ask(
            'import_cache',
            {'session': session, 'handle': handle},
            int,
            _TRANSFER_TIMEOUT,
        )

    async def give_order(
        self, order: ports.Order, headers: dict[str, str]
    ) -> failures.Failure | None:
        """Send an order with the headers of its signature."""
        return await self._ask(
            'give_order', order._asdict(), None, headers=headers
        )

    async def _ask(
        self,
        name: str,
        arguments: dict[str, typing.Any],
        answer_type: typing.Any,
        limit: float = _TIMEOUT,
        headers: dict[str, str] | None = None,
    ) -> typing.Any:
        """Return the decoded answer or a failure."""
        limits = aiohttp.ClientTimeout(
            total=limit, sock_connect=CONNECT_TIMEOUT
        )
        try:
            async with (
                self._connections.borrow() as session,
                session.post(
                    f'/v1/control/{name}',
                    data=msgspec.json.encode(arguments),
                    headers={**_JSON, **(headers or {})},
                    timeout=limits,
                    allow_redirects=False,
                ) as response,
            ):
                return await _read_answer(response, answer_type)
        except (aiohttp.ClientError, OSError) as error:
            return await self._connections.explain_error(error)


async def _read_answer(
    response: aiohttp.ClientResponse, answer_type: typing.Any
) -> typing.Any:
    if response.status == _CONFLICT:
        return failures.Failure(
            failures.Kind.CONFLICT, 'the target has seen a newer epoch'
        )
    failure = answers.check_status(response)
    if failure is not None:
        return failure
    body = await answers.read_bounded(response, _LARGEST_ANSWER)
    if isinstance(body, failures.Failure):
        return body
    try:
        return msgspec.json.decode(body, type=answer_type)
    except msgspec.MsgspecError:
        return answers.fail_malformed('a malformed answer')


def _rebuild(named_tuple: typing.Any, message: typing.Any) -> typing.Any:
    """Turn a message into its named tuple; failures go through."""
    if isinstance(message, failures.Failure):
        return message
    return named_tuple(*msgspec.structs.astuple(message))
