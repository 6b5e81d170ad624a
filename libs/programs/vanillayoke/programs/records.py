"""Journal records: every change of a program, in order.

A program's state is the result of applying its records in order; a takeover
replays them. Records are msgspec structs tagged with their class name.
"""

import enum

import msgspec


class CallKind(enum.Enum):
    """What executes a call of a program."""

    MODEL = 'model'
    TOOL = 'tool'
    CHILD = 'child'


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """One message of a conversation, as in the chat completions protocol.

    ``tool_calls`` holds the requests of an assistant message;
    ``tool_call_id`` names the request that a tool message answers.
    """

    role: str
    content: str = ''
    tool_calls: tuple['ToolRequest', ...] = ()
    tool_call_id: str = ''


class ToolRequest(msgspec.Struct, frozen=True):
    """A tool call that a model requests; ``arguments`` is JSON text."""

    id: str
    name: str
    arguments: str


class Budget(msgspec.Struct, frozen=True):
    """The maximum that a program and its sub-agents may use together.

    ``money`` is in millionths of the operator's currency unit; ``seconds`` is
    the execution time of calls.
    """

    tokens: int
    calls: int
    seconds: float
    money: int


class Spend(msgspec.Struct, frozen=True):
    """An amount of each budgeted resource, in the units of ``Budget``."""

    tokens: int = 0
    calls: int = 0
    seconds: float = 0.0
    money: int = 0


class Record(msgspec.Struct, frozen=True, tag=True):
    """Fields that all records share.

    ``epoch`` is the shard's epoch under which the record was written.
    """

    program: str
    epoch: int


class ProgramOpened(Record, frozen=True, tag=True, kw_only=True):
    """A client opened a program, or a program opened a sub-agent.

    ``deadline`` is wall-clock seconds since the epoch, as callers see it.
    """

    client: str
    agent: str
    key: str
    fingerprint: str
    budget: Budget
    deadline: float
    urgent: bool
    opened_at: float
    parent: str = ''
    parent_call: int = 0
    root: str = ''
    config_version: int = 0


class CallAccepted(Record, frozen=True, tag=True, kw_only=True):
    """A call was accepted as the program's next one.

    ``number`` counts the program's calls from 1. ``messages`` are appended
    to the history; ``reserved`` is reserved in the budget. ``run`` is
    the key of the run that the call is a step of, empty for a single call.
    ``max_tokens`` limits a model's answer; 0 applies the agent's limit.
    """

    number: int
    kind: CallKind
    key: str
    fingerprint: str
    idempotent: bool
    name: str
    messages: tuple[Message, ...] = ()
    arguments: str = ''
    tool_call_id: str = ''
    run: str = ''
    reserved: Spend = Spend()
    accepted_at: float = 0.0
    max_tokens: int = 0


class CallIntended(Record, frozen=True, tag=True, kw_only=True):
    """A call is about to be sent to a target.

    For a non-idempotent call, this record is durable before the call is
    sent. If no outcome follows it, the outcome is unknown.
    ``earlier_not_run`` means that all earlier attempts provably did not
    run; otherwise a later refusal does not prove that the call did not run.
    """

    number: int
    attempt: int
    target: str
    earlier_not_run: bool = False


class CallAnswered(Record, frozen=True, tag=True, kw_only=True):
    """A call has its complete answer; the reservation is settled."""

    number: int
    message: Message
    finish_reason: str
    spent: Spend
    target: str


class CallFailed(Record, frozen=True, tag=True, kw_only=True):
    """A call has its final error; ``error`` is a ``failures.Kind`` value.

    ``retry_after`` is the delay that its caller is told, in seconds.
    """

    number: int
    error: str
    reason: str
    spent: Spend = Spend()
    retry_after: float | None = None


class RunEnded(Record, frozen=True, tag=True, kw_only=True):
    """A run ended before its final answer: cancelled, out of budget, ...

    ``error`` is a ``failures.Kind`` value.
    """

    run: str
    error: str
    reason: str


class BudgetDrawn(Record, frozen=True, tag=True, kw_only=True):
    """A sub-agent's reservation against this ancestor's budget changed.

    ``draw`` identifies the sub-agent's call, so that a repeated or late
    message changes nothing. ``settled`` is ``None`` while it is reserved.
    """

    draw: str
    reserved: Spend
    settled: Spend | None = None


class ProgramEnded(Record, frozen=True, tag=True, kw_only=True):
    """A program ended; ``reason`` is ``ended``, ``cancelled``, ..."""

    reason: str
    ended_at: float


class CacheHeld(Record, frozen=True, tag=True, kw_only=True):
    """A target may hold an engine cache for the program."""

    target: str


class CacheReleased(Record, frozen=True, tag=True, kw_only=True):
    """A target confirmed that it holds no engine cache for the program."""

    target: str


class ProgramSnapshot(Record, frozen=True, tag=True, kw_only=True):
    """A program's whole state as of this record; replaces earlier records.

    ``state`` is encoded by ``vanillayoke.programs.snapshots``;
    ``sequence`` counts the records that had an effect on it.
    """

    sequence: int
    state: msgspec.Raw


AnyRecord = (
    ProgramOpened
    | CallAccepted
    | CallIntended
    | CallAnswered
    | CallFailed
    | RunEnded
    | BudgetDrawn
    | ProgramEnded
    | CacheHeld
    | CacheReleased
    | ProgramSnapshot
)


class Segment(msgspec.Struct, frozen=True):
    """The records that one group commit made durable together."""

    instance: str
    number: int
    records: tuple[AnyRecord, ...]


def encode_segment(segment: Segment) -> bytes:
    """Encode a segment to MessagePack."""
    return msgspec.msgpack.encode(segment)


def decode_segment(blob: bytes) -> Segment:
    """Decode a segment; raise ``msgspec.DecodeError`` if it is corrupt."""
    return msgspec.msgpack.decode(blob, type=Segment)
