"""Datagrams between instances: membership and questions with answers.

Datagrams need no connections, so none can go silent; what is lost is sent
again by whoever asked.
"""

import asyncio
import collections
import typing

import msgspec

from vanillayoke.core import timers
from vanillayoke.gateway import peer_messages
from vanillayoke.scheduling import shared_health

# Kinds of datagrams, the first byte of each.
MEMBERSHIP = b'm'
REQUEST = b'q'
RESPONSE = b'a'
HEALTH_STATE = b'v'
NOTIFICATION = b'n'
VERSION = b'c'
# When a question is sent again. A round trip takes two or three
# milliseconds between zones; a busy peer some tens. Seconds.
RETRY_TIMEOUTS_SECONDS = (0.02, 0.05, 0.08)
# The same for what would strand tokens where it is lost: a turn's end, and
# tokens that change hands. A peer that stands still for seconds gets it.
LONG_RETRY_TIMEOUTS_SECONDS = (
    *RETRY_TIMEOUTS_SECONDS,
    0.2,
    0.4,
    0.8,
    1.6,
    3.0,
)
# Questions that must not take effect twice when they are repeated.
_ONCE = (
    peer_messages.Settle,
    peer_messages.Transfer,
    peer_messages.HandOver,
    peer_messages.UsageReport,
)
# How many answers to such questions are kept for repetitions.
MOST_KEPT = 2000


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    number: int
    question: peer_messages.Request


class _Reply(msgspec.Struct, frozen=True, array_like=True):
    number: int
    answer: peer_messages.Response


_ENCODER = msgspec.msgpack.Encoder()
_QUESTIONS = msgspec.msgpack.Decoder(_Envelope)
_ANSWERS = msgspec.msgpack.Decoder(_Reply)
_NOTES = msgspec.msgpack.Decoder(peer_messages.Notification)
_VERDICTS = msgspec.msgpack.Decoder(shared_health.HealthState)
_VERSIONS = msgspec.msgpack.Decoder(peer_messages.ConfigurationVersion)


class Sender(typing.Protocol):
    """Whatever sends a datagram."""

    def send(self, address: str, data: bytes) -> None:
        """Send data to ``IP:PORT``."""


Handler = typing.Callable[
    [peer_messages.Request],
    peer_messages.Response
    | typing.Coroutine[typing.Any, typing.Any, peer_messages.Response],
]


class Peers:
    """Asks other instances and answers them."""

    def __init__(
        self,
        timer_service: timers.TimerService,
        handle: Handler,
        on_membership: typing.Callable[[bytes, str], None],
        on_verdict: typing.Callable[[shared_health.HealthState], None],
        on_note: typing.Callable[[peer_messages.Notification], None],
        on_version: typing.Callable[
            [peer_messages.ConfigurationVersion], None
        ],
        first_number: int,
    ) -> None:
        self._timers = timer_service
        self._handle = handle
        self._on_membership = on_membership
        self._on_verdict = on_verdict
        self._on_note = on_note
        self._on_version = on_version
        self._sender: Sender | None = None
        # Answers to a former process at this address must not fit.
        self._number = first_number
        self._waiting: dict[int, asyncio.Queue[peer_messages.Response]] = {}
        self._answered: collections.OrderedDict[
            tuple[str, int], peer_messages.Response
        ] = collections.OrderedDict()
        self._working: dict[tuple[str, int], asyncio.Task] = {}

    def set_sender(self, sender: Sender) -> None:
        """Send through this from now on."""
        self._sender = sender

    def send_membership(self, address: str, data: bytes) -> None:
        """Send a message of the membership."""
        if self._sender is not None:
            self._sender.send(address, MEMBERSHIP + data)

    def send_health_state(
        self,
        addresses: typing.Iterable[str],
        verdict: shared_health.HealthState,
    ) -> None:
        """Tell others what is known of a target."""
        data = HEALTH_STATE + _ENCODER.encode(verdict)
        if self._sender is not None:
            for address in addresses:
                self._sender.send(address, data)

    def send_version(
        self, address: str, news: peer_messages.ConfigurationVersion
    ) -> None:
        """Tell another instance a version of the configuration."""
        if self._sender is not None:
            self._sender.send(address, VERSION + _ENCODER.encode(news))

    def notify(self, address: str, note: peer_messages.Notification) -> None:
        """Tell another instance something that needs no answer."""
        if self._sender is not None:
            self._sender.send(address, NOTIFICATION + _ENCODER.encode(note))

    def receive(self, data: bytes, sender: str) -> None:
        """Take a datagram."""
        kind, content = data[:1], data[1:]
        try:
            if kind == MEMBERSHIP:
                self._on_membership(content, sender)
            elif kind == NOTIFICATION:
                self._on_note(_NOTES.decode(content))
            elif kind == HEALTH_STATE:
                self._on_verdict(_VERDICTS.decode(content))
            elif kind == VERSION:
                self._on_version(_VERSIONS.decode(content))
            elif kind == REQUEST:
                self._take_question(_QUESTIONS.decode(content), sender)
            elif kind == RESPONSE:
                self._take_answer(_ANSWERS.decode(content))
        except msgspec.DecodeError:
            # Another version's message, or noise on the port.
            return

    async def send_request(
        self,
        address: str,
        question: peer_messages.Request,
        until: float,
        repeats: typing.Sequence[float] = RETRY_TIMEOUTS_SECONDS,
    ) -> peer_messages.Response | None:
        """Return the answer of a peer; ``None`` if it seems not to be there.

        A peer that says that it is at work is waited for until then; it is
        ``peer_messages.Pending`` if it still is.
        ``repeats`` says for how long each copy of the question waits.
        """
        self._number += 1
        number = self._number
        queue: asyncio.Queue[peer_messages.Response] = asyncio.Queue()
        self._waiting[number] = queue
        data = REQUEST + _ENCODER.encode(_Envelope(number, question))
        try:
            return await self._ask(address, data, queue, until, repeats)
        finally:
            del self._waiting[number]

    async def _ask(
        self,
        address: str,
        data: bytes,
        queue: asyncio.Queue[peer_messages.Response],
        until: float,
        repeats: typing.Sequence[float],
    ) -> peer_messages.Response | None:
        if self._sender is None:
            return None
        for pause in repeats:
            self._sender.send(address, data)
            try:
                async with asyncio.timeout(pause):
                    answer = await queue.get()
            except TimeoutError:
                continue
            if not isinstance(answer, peer_messages.Pending):
                return answer
            return await self._await_work(queue, until)
        return None

    async def _await_work(
        self, queue: asyncio.Queue[peer_messages.Response], until: float
    ) -> peer_messages.Response:
        try:
            async with asyncio.timeout(until - self._timers.now()):
                while True:
                    answer = await queue.get()
                    if not isinstance(answer, peer_messages.Pending):
                        return answer
        except TimeoutError:
            return peer_messages.Pending()

    def _take_question(self, envelope: _Envelope, sender: str) -> None:
        key = (sender, envelope.number)
        if key in self._working:
            self._reply(sender, envelope.number, peer_messages.Pending())
            return
        if key in self._answered:
            self._reply(sender, envelope.number, self._answered[key])
            return
        answer = self._handle(envelope.question)
        is_once = isinstance(envelope.question, _ONCE)
        if not asyncio.iscoroutine(answer):
            self._give(key, answer, is_once)
            return
        self._reply(sender, envelope.number, peer_messages.Pending())
        task = asyncio.get_running_loop().create_task(
            self._work(key, answer, is_once)
        )
        self._working[key] = task

    def _give(
        self,
        key: tuple[str, int],
        answer: peer_messages.Response,
        is_once: bool,
    ) -> None:
        if is_once:
            self._answered[key] = answer
            while len(self._answered) > MOST_KEPT:
                self._answered.popitem(last=False)
        self._reply(*key, answer)

    async def _work(
        self,
        key: tuple[str, int],
        work: typing.Coroutine[typing.Any, typing.Any, peer_messages.Response],
        is_once: bool,
    ) -> None:
        try:
            self._give(key, await work, is_once)
        finally:
            del self._working[key]

    def _reply(
        self, sender: str, number: int, answer: peer_messages.Response
    ) -> None:
        if self._sender is not None:
            data = RESPONSE + _ENCODER.encode(_Reply(number, answer))
            self._sender.send(sender, data)

    def _take_answer(self, reply: _Reply) -> None:
        queue = self._waiting.get(reply.number)
        if queue is not None:
            queue.put_nowait(reply.answer)
