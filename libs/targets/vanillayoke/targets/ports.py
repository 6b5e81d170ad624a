"""Ports to targets: model engines and plain services."""

import abc
import typing

from vanillayoke.core import failures


class Usage(typing.NamedTuple):
    """Tokens of one completion.

    ``cached`` is the part of ``prompt`` that the engine found in its cache.
    """

    prompt: int
    cached: int
    completion: int


class ToolCall(typing.TypedDict):
    """A tool call of a message, flattened; ``arguments`` is JSON text."""

    id: str
    name: str
    arguments: str


class ChatMessage(typing.TypedDict, total=False):
    """A message towards an engine."""

    role: str
    content: str
    tool_calls: list[ToolCall]
    tool_call_id: str


class ToolSpec(typing.TypedDict):
    """A tool that the model may ask for; ``parameters`` is JSON Schema."""

    name: str
    description: str
    parameters: dict[str, typing.Any]


class EngineRequest(typing.NamedTuple):
    """A model call.

    ``call_id`` is unique for each attempt; the engine resumes and cancels
    by it. ``session`` names the program for the engine's cache.
    ``priority``: lower numbers run first. ``timeout`` bounds the whole
    call and ``progress_timeout`` the silence between two pieces, seconds.
    """

    call_id: str
    session: str
    model: str
    messages: typing.Sequence[ChatMessage]
    tools: typing.Sequence[ToolSpec]
    max_tokens: int
    priority: int
    timeout: float
    progress_timeout: float


class Delta(typing.NamedTuple):
    """A piece of streamed text; one piece may hold several tokens."""

    text: str
    tokens: int


class Completion(typing.NamedTuple):
    """The end of a model call's stream, with the whole answer."""

    text: str
    tool_calls: tuple[ToolCall, ...]
    finish_reason: str
    usage: Usage


class LoadReport(typing.NamedTuple):
    """An engine's or service's report of its load, late by some seconds.

    ``measured_at`` is the target's own clock, only good for ordering.
    """

    target: str
    measured_at: float
    running: int
    waiting: int
    cache_used: int
    cache_size: int
    models: tuple[str, ...]
    role: str
    leaving: bool


class CacheEvent(typing.NamedTuple):
    """A change of an engine's prefix cache.

    ``number`` counts an engine's events; a jump in it is a gap.
    ``kind`` is ``stored`` or ``evicted``; ``tokens`` is what the session
    has cached after the event.
    """

    number: int
    kind: str
    session: str
    tokens: int


class Order(typing.NamedTuple):
    """A desired state for a target: repeating it changes nothing.

    ``kind``: ``load``, ``unload``, ``role`` or ``release``; ``subject`` is
    the model, the role or the session. ``epoch`` is the fencing number.
    ``number`` grows with each order under one epoch.
    """

    kind: str
    subject: str
    version: str
    epoch: int
    number: int


class EngineState(typing.NamedTuple):
    """What a target reports of itself, for confirming orders.

    ``loaded`` maps each model to its version; ``sessions`` maps each
    session to its cached tokens; ``epoch`` is the highest one seen.
    """

    loaded: dict[str, str]
    loading: dict[str, str]
    role: str
    sessions: dict[str, int]
    epoch: int


class Engine(abc.ABC):
    """A model engine."""

    @abc.abstractmethod
    def stream(
        self, request: EngineRequest
    ) -> typing.AsyncIterator[Delta | Completion | failures.Failure]:
        """Run a model call; the last item is a completion or a failure."""

    @abc.abstractmethod
    def resume(
        self, request: EngineRequest, offset: int
    ) -> typing.AsyncIterator[Delta | Completion | failures.Failure]:
        """Go on with a running call from a character offset."""

    @abc.abstractmethod
    async def cancel(self, call_id: str) -> None | failures.Failure:
        """Stop a call; harmless where it has ended."""

    @abc.abstractmethod
    async def report_load(self) -> LoadReport | failures.Failure:
        """Return the engine's last load report."""

    @abc.abstractmethod
    async def list_cache_events(
        self, after: int
    ) -> list[CacheEvent] | failures.Failure:
        """Return cache events with a number above ``after``."""

    @abc.abstractmethod
    async def export_cache(self, session: str) -> str | failures.Failure:
        """Export a session's KV cache; return a handle for an import."""

    @abc.abstractmethod
    async def import_cache(
        self, session: str, handle: str
    ) -> int | failures.Failure:
        """Import an exported KV cache; return its tokens."""

    @abc.abstractmethod
    async def give_order(self, order: Order) -> None | failures.Failure:
        """Give an order; a refusal of a stale epoch is ``CONFLICT``."""

    @abc.abstractmethod
    async def read_state(self) -> EngineState | failures.Failure:
        """Return the engine's own state."""


class ServiceRequest(typing.NamedTuple):
    """A tool call towards a plain service; ``arguments`` is JSON text.

    ``key`` is the same for all attempts at one call.
    """

    key: str
    path: str
    arguments: str
    timeout: float


class ServiceAnswer(typing.NamedTuple):
    """A service's whole answer, JSON or plain text."""

    body: str


class Service(abc.ABC):
    """A plain service beside the engines."""

    @abc.abstractmethod
    async def call(
        self, request: ServiceRequest
    ) -> ServiceAnswer | failures.Failure:
        """Run a tool call.

        ``TARGET_REFUSED`` only where it provably did not run (no
        connection was made, or the service says so); ``OUTCOME_UNKNOWN``
        where the reply is lost.
        """

    @abc.abstractmethod
    async def query(self, key: str) -> ServiceAnswer | None | failures.Failure:
        """Ask what became of a call; ``None`` where it never ran.

        A service without such a query gives ``OUTCOME_UNKNOWN``.
        """

    @abc.abstractmethod
    async def report_load(self) -> LoadReport | failures.Failure:
        """Return the service's last load report."""
