"""Datagrams between instances: membership, gossip, requests and responses.

Datagrams need no connections, which could become unresponsive. A request whose
response does not arrive is sent again.
"""

import asyncio
import collections
import typing

import msgspec

from vanillayoke.core import decoding
from vanillayoke.core import figures
from vanillayoke.core import timers
from vanillayoke.gateway import peer_messages
from vanillayoke.scheduling import shared_health

# Kinds of datagrams: the first byte of each.
MEMBERSHIP = b'm'
REQUEST = b'q'
RESPONSE = b'a'
HEALTH_STATE = b'v'
NOTIFICATION = b'n'
VERSION = b'c'
# As in the metric of dropped datagrams.
_KIND_NAMES = {
    MEMBERSHIP: 'membership',
    REQUEST: 'request',
    RESPONSE: 'response',
    HEALTH_STATE: 'health_state',
    NOTIFICATION: 'notification',
    VERSION: 'version',
}
UNKNOWN_KIND = 'unknown'
KIND_NAMES = (*_KIND_NAMES.values(), UNKNOWN_KIND)
# How long each copy of a request waits for a response. A round trip between
# zones takes two or three milliseconds; a busy peer takes some tens.
RETRY_TIMEOUTS_SECONDS = (0.02, 0.05, 0.08)
# For requests whose loss would strand tokens, such as settlements and
# transfers. They reach a peer that was unresponsive for seconds.
LONG_RETRY_TIMEOUTS_SECONDS = (
    *RETRY_TIMEOUTS_SECONDS,
    0.2,
    0.4,
    0.8,
    1.6,
    3.0,
)
# Requests that must take effect once only, although they may be repeated.
_NON_IDEMPOTENT = (
    peer_messages.Settle,
    peer_messages.Transfer,
    peer_messages.HandOver,
    peer_messages.UsageReport,
)
# Responses to these are kept for repeated requests: for longer than copies of
# a request are sent, unless there are too many.
KEPT_SECONDS = 2 * sum(LONG_RETRY_TIMEOUTS_SECONDS)
MAX_KEPT_RESPONSES = 20_000


class _KeptResponse(typing.NamedTuple):
    response: peer_messages.Response
    kept_at: float


class _RequestEnvelope(msgspec.Struct, frozen=True, array_like=True):
    number: figures.Ordinal
    request: peer_messages.Request


class _ResponseEnvelope(msgspec.Struct, frozen=True, array_like=True):
    number: figures.Ordinal
    response: peer_messages.Response


_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: dict[bytes, decoding.Decoder] = {
    kind: decoding.Decoder.for_msgpack(message_type)
    for kind, message_type in (
        (REQUEST, _RequestEnvelope),
        (RESPONSE, _ResponseEnvelope),
        (HEALTH_STATE, shared_health.HealthState),
        (NOTIFICATION, peer_messages.Notification),
        (VERSION, peer_messages.ConfigurationVersion),
    )
}


class Sender(typing.Protocol):
    """Sends datagrams."""

    def send(self, address: str, data: bytes) -> None:
        """Send data to ``IP:PORT``."""


Handler = typing.Callable[
    [peer_messages.Request],
    peer_messages.Response
    | typing.Coroutine[typing.Any, typing.Any, peer_messages.Response],
]


class Peers:
    """Exchanges requests, responses and gossip with other instances.

    ``on_membership`` returns whether it could decode the message.
    ``on_dropped`` is called with the kind of each datagram that is dropped,
    the reason and the sender, ``on_failure`` with unexpected errors of
    ``handle``.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        handle: Handler,
        on_membership: typing.Callable[[bytes, str], bool],
        on_health_state: typing.Callable[[shared_health.HealthState], None],
        on_notification: typing.Callable[[peer_messages.Notification], None],
        on_version: typing.Callable[
            [peer_messages.ConfigurationVersion], None
        ],
        first_number: int,
        on_dropped: typing.Callable[[str, decoding.Reason, str], None],
        on_failure: typing.Callable[[BaseException], None],
    ) -> None:
        self._timers = timer_service
        self._handle = handle
        self._on_membership = on_membership
        self._on_health_state = on_health_state
        self._on_notification = on_notification
        self._on_version = on_version
        self._on_dropped = on_dropped
        self._on_failure = on_failure
        self._sender: Sender | None = None
        # Differs from the numbers of a former process at this address, whose
        # responses must not match.
        self._last_number = first_number
        self._waiting: dict[int, asyncio.Queue[peer_messages.Response]] = {}
        self._kept_responses: collections.OrderedDict[
            tuple[str, int], _KeptResponse
        ] = collections.OrderedDict()
        self._running: dict[tuple[str, int], asyncio.Task] = {}

    def set_sender(self, sender: Sender) -> None:
        """Set what sends the datagrams; nothing is sent without it."""
        self._sender = sender

    def send_membership(self, address: str, data: bytes) -> None:
        """Send a membership message."""
        if self._sender is not None:
            self._sender.send(address, MEMBERSHIP + data)

    def send_health_state(
        self,
        addresses: typing.Iterable[str],
        state: shared_health.HealthState,
    ) -> None:
        """Send the health state of a target to other instances."""
        data = HEALTH_STATE + _ENCODER.encode(state)
        if self._sender is not None:
            for address in addresses:
                self._sender.send(address, data)

    def send_version(
        self, address: str, version: peer_messages.ConfigurationVersion
    ) -> None:
        """Send the newest known version of the configuration."""
        if self._sender is not None:
            self._sender.send(address, VERSION + _ENCODER.encode(version))

    def notify(
        self, address: str, notification: peer_messages.Notification
    ) -> None:
        """Send a notification, which has no response."""
        if self._sender is not None:
            self._sender.send(
                address,
                NOTIFICATION
                + _ENCODER.encode(peer_messages.omit_defaults(notification)),
            )

    def receive(self, data: bytes, sender: str) -> None:
        """Handle a datagram; one that can't be decoded is dropped.

        Errors of the handlers are raised.
        """
        kind, payload = data[:1], data[1:]
        if kind == MEMBERSHIP:
            if not self._on_membership(payload, sender):
                self._on_dropped(
                    _KIND_NAMES[kind], decoding.Reason.MALFORMED, sender
                )
            return
        # The others are from an instance of another version, or not from one.
        decoder = _DECODERS.get(kind)
        if decoder is None:
            self._on_dropped(UNKNOWN_KIND, decoding.Reason.MALFORMED, sender)
            return
        try:
            message = decoder.decode(payload)
        except decoding.DecodingError as error:
            self._on_dropped(_KIND_NAMES[kind], error.reason, sender)
            return
        # A DecodingError of these is a failure and must not be taken for a
        # malformed datagram.
        match message:
            case _RequestEnvelope():
                self._handle_request(message, sender)
            case _ResponseEnvelope():
                self._handle_response(message)
            case shared_health.HealthState():
                self._on_health_state(message)
            case peer_messages.ConfigurationVersion():
                self._on_version(message)
            case _:
                self._on_notification(message)

    async def send_request(
        self,
        address: str,
        request: peer_messages.Request,
        deadline: float,
        retry_timeouts: typing.Sequence[float] = RETRY_TIMEOUTS_SECONDS,
    ) -> peer_messages.Response | None:
        """Return the response of a peer, ``None`` if there was none.

        After a ``peer_messages.Pending`` response the final one is awaited
        until the deadline; ``Pending`` is returned if it does not arrive.
        ``retry_timeouts`` are the seconds that each copy of the request waits.
        """
        self._last_number += 1
        number = self._last_number
        queue: asyncio.Queue[peer_messages.Response] = asyncio.Queue()
        self._waiting[number] = queue
        data = REQUEST + _ENCODER.encode(
            (number, peer_messages.omit_defaults(request))
        )
        try:
            return await self._send_until_response(
                address, data, queue, deadline, retry_timeouts
            )
        finally:
            del self._waiting[number]

    async def _send_until_response(
        self,
        address: str,
        data: bytes,
        queue: asyncio.Queue[peer_messages.Response],
        deadline: float,
        retry_timeouts: typing.Sequence[float],
    ) -> peer_messages.Response | None:
        if self._sender is None:
            return None
        for retry_timeout in retry_timeouts:
            self._sender.send(address, data)
            try:
                async with asyncio.timeout(retry_timeout):
                    response = await queue.get()
            except TimeoutError:
                continue
            if not isinstance(response, peer_messages.Pending):
                return response
            return await self._await_final_response(queue, deadline)
        return None

    async def _await_final_response(
        self, queue: asyncio.Queue[peer_messages.Response], deadline: float
    ) -> peer_messages.Response:
        try:
            async with asyncio.timeout(deadline - self._timers.now()):
                while True:
                    response = await queue.get()
                    if not isinstance(response, peer_messages.Pending):
                        return response
        except TimeoutError:
            return peer_messages.Pending()

    def _handle_request(self, envelope: _RequestEnvelope, sender: str) -> None:
        key = (sender, envelope.number)
        if key in self._running:
            self._respond(sender, envelope.number, peer_messages.Pending())
            return
        if key in self._kept_responses:
            kept = self._kept_responses[key]
            self._respond(sender, envelope.number, kept.response)
            return
        response = self._handle(envelope.request)
        is_kept = isinstance(envelope.request, _NON_IDEMPOTENT)
        if not asyncio.iscoroutine(response):
            self._finish(key, response, is_kept)
            return
        self._respond(sender, envelope.number, peer_messages.Pending())
        task = asyncio.get_running_loop().create_task(
            self._run(key, response, is_kept)
        )
        self._running[key] = task

    def _finish(
        self,
        key: tuple[str, int],
        response: peer_messages.Response,
        is_kept: bool,
    ) -> None:
        if is_kept:
            self._keep(key, response)
        self._respond(*key, response)

    def _keep(
        self, key: tuple[str, int], response: peer_messages.Response
    ) -> None:
        now = self._timers.now()
        self._kept_responses[key] = _KeptResponse(response, now)
        while len(self._kept_responses) > MAX_KEPT_RESPONSES or (
            next(iter(self._kept_responses.values())).kept_at
            < now - KEPT_SECONDS
        ):
            self._kept_responses.popitem(last=False)

    async def _run(
        self,
        key: tuple[str, int],
        work: typing.Coroutine[typing.Any, typing.Any, peer_messages.Response],
        is_kept: bool,
    ) -> None:
        try:
            self._finish(key, await work, is_kept)
        except Exception as error:
            self._on_failure(error)
        finally:
            del self._running[key]

    def _respond(
        self, sender: str, number: int, response: peer_messages.Response
    ) -> None:
        if self._sender is not None:
            data = RESPONSE + _ENCODER.encode(
                (number, peer_messages.omit_defaults(response))
            )
            self._sender.send(sender, data)

    def _handle_response(self, envelope: _ResponseEnvelope) -> None:
        queue = self._waiting.get(envelope.number)
        if queue is not None:
            queue.put_nowait(envelope.response)
