"""What the callers' interface needs of the process that it runs in."""

import abc
import typing

from vanillayoke.core import failures


class EntryAddress(typing.NamedTuple):
    """One address that callers may use."""

    address: str
    instance: str
    zone: str


class AddressList(typing.NamedTuple):
    """Addresses in the order of preference; ``lifetime`` in seconds."""

    addresses: tuple[EntryAddress, ...]
    lifetime: float


class OpenRequest(typing.NamedTuple):
    """A request to open a program, or a sub-agent under ``parent``.

    A budget field of ``None`` takes the agent's. ``deadline`` is seconds
    from now. ``fingerprint`` is a hash of the request, to tell a repeat
    from another request with the same key.
    """

    key: str
    fingerprint: str
    agent: str
    deadline: float
    urgent: bool
    tokens: int | None
    calls: int | None
    seconds: float | None
    money: int | None
    parent: str


class CallRequest(typing.NamedTuple):
    """A request to run a program on.

    ``mode`` is ``call`` for one model or tool call or ``run`` to drive
    the program to its next final answer. ``tool`` is empty for a model
    call, and ``arguments`` is the tool's JSON text. ``text`` is the user's
    message, may be empty. ``max_tokens`` ``None`` takes the agent's.
    """

    key: str
    fingerprint: str
    mode: str
    text: str
    tool: str
    arguments: str
    max_tokens: int | None


class TextPiece(typing.NamedTuple):
    """Streamed text; ``offset`` is that of its first character."""

    offset: int
    text: str


class TextReset(typing.NamedTuple):
    """Text from this offset on is void and will be streamed anew.

    It comes where a model call had to be run again after a failure.
    """

    offset: int


class StepNote(typing.NamedTuple):
    """A step of a run began or ended: ``tool`` and what became of it."""

    offset: int
    number: int
    name: str
    state: str


class FinalAnswer(typing.NamedTuple):
    """The durable end of a call or run.

    ``offset`` is the length of the text streamed before it; ``usage`` the
    tokens of all its model calls.
    """

    offset: int
    number: int
    text: str
    tool_calls: tuple[dict[str, str], ...]
    finish_reason: str
    usage: dict[str, int]


StreamItem = TextPiece | TextReset | StepNote | FinalAnswer | failures.Failure


class CallStream(abc.ABC):
    """A running or ended call that any number of readers may follow."""

    @property
    @abc.abstractmethod
    def number(self) -> int:
        """Return the number of the call or run's first call."""

    @abc.abstractmethod
    def follow(self, offset: int) -> typing.AsyncIterator[StreamItem]:
        """Give text from a character offset to the final item.

        A reader that goes away does not stop the call.
        """


class ProgramView(typing.TypedDict):
    """A program as its client sees it."""

    program: str
    agent: str
    state: str
    parent: str
    deadline: float
    calls: int
    running: int
    budget: dict[str, float]
    spent: dict[str, float]
    instance: str


class HistoryEntry(typing.TypedDict, total=False):
    """One message or call of a program's history."""

    number: int
    kind: str
    name: str
    state: str
    role: str
    content: str
    tool_calls: list[dict[str, str]]
    tool_call_id: str
    error: str


class Elsewhere(typing.NamedTuple):
    """A program belongs to another instance, reached at ``address``."""

    instance: str
    address: str


class Host(abc.ABC):
    """The process behind the callers' interface.

    A client is named by its id from the configuration. A program of
    another client gives the same failure as an absent one.
    """

    @abc.abstractmethod
    def find_client(self, key: str) -> str | failures.Failure:
        """Return the client that a key belongs to."""

    @abc.abstractmethod
    def list_addresses(self, program: str) -> AddressList:
        """Return entry addresses, best first; ``program`` may be empty."""

    @abc.abstractmethod
    async def locate(
        self, program: str
    ) -> Elsewhere | None | failures.Failure:
        """Say where a program runs; ``None`` means here."""

    @abc.abstractmethod
    async def open_program(
        self, client: str, request: OpenRequest
    ) -> ProgramView | failures.Failure:
        """Open a program durably, or return the one opened by this key."""

    @abc.abstractmethod
    async def start_call(
        self, client: str, program: str, request: CallRequest
    ) -> CallStream | failures.Failure:
        """Start a call, or join the one started by this key."""

    @abc.abstractmethod
    async def find_call(
        self, client: str, program: str, number: int
    ) -> CallStream | failures.Failure:
        """Return a running or ended call, for resuming its stream."""

    @abc.abstractmethod
    async def view_program(
        self, client: str, program: str
    ) -> ProgramView | failures.Failure:
        """Return a program's state."""

    @abc.abstractmethod
    async def read_history(
        self, client: str, program: str, after: int, limit: int
    ) -> list[HistoryEntry] | failures.Failure:
        """Return history entries of calls numbered above ``after``."""

    @abc.abstractmethod
    async def cancel_call(
        self, client: str, program: str
    ) -> ProgramView | failures.Failure:
        """Cancel the running call; harmless where there is none."""

    @abc.abstractmethod
    async def end_program(
        self, client: str, program: str, key: str
    ) -> ProgramView | failures.Failure:
        """End a program and its sub-agents; repeating it is harmless."""

    @abc.abstractmethod
    async def run_operator_command(
        self, key: str, command: str, arguments: dict[str, str]
    ) -> dict[str, typing.Any] | failures.Failure:
        """Answer an operator: ``status``, ``programs``, ``timeline``, ..."""
