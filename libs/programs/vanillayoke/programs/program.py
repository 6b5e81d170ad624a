"""A program's state: the result of applying its journal records in order."""

import dataclasses
import enum

import msgspec

from vanillayoke.core import ids
from vanillayoke.programs import budget
from vanillayoke.programs import calls as call_types
from vanillayoke.programs import conversations
from vanillayoke.programs import records


class ProgramState(enum.StrEnum):
    """Whether a program takes calls."""

    ACTIVE = 'active'
    ENDED = 'ended'


class RunEnd(msgspec.Struct, frozen=True):
    """Why a run was ended before its final answer."""

    error: str
    reason: str


@dataclasses.dataclass(slots=True)
class Program:
    """A program as of the last applied record.

    The first fields are those of ``ProgramOpened``; ``epoch`` is the
    highest one seen and ``sequence`` counts the records that had an
    effect. ``cache_targets`` names the targets that may hold an engine cache
    for it. ``open_run`` is the key of the run in progress, empty for none.
    """

    program: str
    epoch: int
    client: str
    agent: str
    key: str
    fingerprint: str
    budget: records.Budget
    deadline: float
    urgent: bool
    opened_at: float
    parent: str
    parent_call: int
    root: str
    config_version: int
    ledger: budget.Ledger
    sequence: int = 0
    state: ProgramState = ProgramState.ACTIVE
    end_reason: str = ''
    ended_at: float = 0.0
    calls: list[call_types.Call] = dataclasses.field(default_factory=list)
    cache_targets: set[str] = dataclasses.field(default_factory=set)
    open_run: str = ''
    run_ends: dict[str, RunEnd] = dataclasses.field(default_factory=dict)
    conversation: conversations.Conversation = dataclasses.field(
        default_factory=conversations.Conversation
    )
    _numbers: dict[str, int] = dataclasses.field(default_factory=dict)

    @classmethod
    def from_opened(cls, record: records.ProgramOpened) -> 'Program':
        """Make a program from the record that opened it."""
        fields = msgspec.structs.asdict(record)
        fields['root'] = record.root or ids.find_root(record.program)
        return cls(**fields, ledger=budget.Ledger(record.budget))

    @property
    def id(self) -> str:
        """Return the program's id."""
        return self.program

    @property
    def is_active(self) -> bool:
        """Return whether the program takes calls."""
        return self.state is ProgramState.ACTIVE

    @property
    def running(self) -> call_types.Call | None:
        """Return the call without a final outcome; only the last can be."""
        if self.calls and not self.calls[-1].is_final:
            return self.calls[-1]
        return None

    @property
    def pending_tools(self) -> tuple[records.ToolRequest, ...]:
        """Return the last answer's tool requests that have no call yet."""
        return tuple(self.conversation.pending)

    @property
    def committed(self) -> records.Spend:
        """Return what the program and its sub-agents have spent."""
        return self.ledger.committed

    @property
    def reserved(self) -> records.Spend:
        """Return what running calls have reserved of the budget."""
        return self.ledger.reserved

    def remaining(self) -> records.Spend:
        """Return what is neither spent nor reserved."""
        return self.ledger.remaining()

    def history(self) -> list[records.Message]:
        """Return a copy of the list of messages, in order."""
        return list(self.conversation.messages)

    @property
    def text_length(self) -> int:
        """Return the number of characters of the whole conversation."""
        return self.conversation.text_length

    def find_call(self, number: int) -> call_types.Call | None:
        """Return a call by its number."""
        if 1 <= number <= len(self.calls):
            return self.calls[number - 1]
        return None

    def find_key(self, key: str) -> call_types.Call | None:
        """Return the call that was accepted under an idempotency key."""
        return self.find_call(self._numbers.get(key, 0))

    def apply(self, record: records.AnyRecord) -> bool:
        """Apply a record; return whether it had an effect.

        A record has none if it is repeated, is from an earlier epoch or
        follows a final outcome. Snapshots are applied by ``replay``.
        """
        # An owner that was paused past its lease may still write a segment
        # after its successor, which has already settled the calls. Its
        # records have an earlier epoch.
        if record.epoch < self.epoch or not self._apply(record):
            return False
        self.epoch = record.epoch
        self.sequence += 1
        return True

    def _apply(self, record: records.AnyRecord) -> bool:
        match record:
            case records.CallAccepted():
                return self._accept(record)
            case records.CallIntended():
                return self._intend(record)
            case records.CallAnswered():
                return self._answer(record)
            case records.CallFailed():
                return self._fail(record)
            case records.BudgetDrawn():
                return self._draw(record)
            case records.RunEnded():
                return self._end_run(record)
            case records.ProgramEnded():
                return self._end(record)
            case records.CacheHeld():
                return self._hold(record.target)
            case records.CacheReleased():
                return self._release(record.target)
        return False

    def restore_call(self, call: call_types.Call) -> None:
        """Append a call of a snapshot and its messages."""
        self._append_call(call)
        if call.is_final:
            self.conversation.add_result(call)

    def _append_call(self, call: call_types.Call) -> None:
        self.calls.append(call)
        self._numbers[call.key] = call.number
        self.conversation.add_call(call)

    def _accept(self, record: records.CallAccepted) -> bool:
        if not self.is_active or record.number != len(self.calls) + 1:
            return False
        self._append_call(call_types.Call.from_accepted(record))
        self.open_run = record.run
        self.ledger.reserve(
            budget.make_key(self.program, record.number), record.reserved
        )
        return True

    def _intend(self, record: records.CallIntended) -> bool:
        call = self.find_call(record.number)
        if call is None or call.is_final or record.attempt <= call.attempts:
            return False
        if call.attempts and not record.earlier_not_run:
            call.in_doubt = True
        call.state = call_types.CallState.INTENDED
        call.attempts = record.attempt
        call.target = record.target
        if call.kind is records.CallKind.MODEL:
            self.cache_targets.add(record.target)
        return True

    def _answer(self, record: records.CallAnswered) -> bool:
        call = self.find_call(record.number)
        if call is None or call.is_final:
            return False
        call.state = call_types.CallState.ANSWERED
        call.message = record.message
        call.finish_reason = record.finish_reason
        call.target = record.target
        self._finish(call, record.spent)
        return True

    def _fail(self, record: records.CallFailed) -> bool:
        call = self.find_call(record.number)
        if call is None or call.is_final:
            return False
        call.state = call_types.CallState.FAILED
        call.error = record.error
        call.reason = record.reason
        call.retry_after = record.retry_after
        self._finish(call, record.spent)
        return True

    def _finish(self, call: call_types.Call, spent: records.Spend) -> None:
        call.spent = spent
        self.conversation.add_result(call)
        self.ledger.settle(budget.make_key(self.program, call.number), spent)
        if call.kind is records.CallKind.MODEL and not self.pending_tools:
            self.open_run = ''

    def _draw(self, record: records.BudgetDrawn) -> bool:
        if record.settled is None:
            return self.ledger.reserve(record.draw, record.reserved)
        return self.ledger.settle(record.draw, record.settled)

    def _end_run(self, record: records.RunEnded) -> bool:
        if not self.open_run or record.run != self.open_run:
            return False
        self.open_run = ''
        self.run_ends[record.run] = RunEnd(record.error, record.reason)
        return True

    def _end(self, record: records.ProgramEnded) -> bool:
        if not self.is_active:
            return False
        self.state = ProgramState.ENDED
        self.end_reason = record.reason
        self.ended_at = record.ended_at
        self.open_run = ''
        return True

    def _hold(self, target: str) -> bool:
        if target in self.cache_targets:
            return False
        self.cache_targets.add(target)
        return True

    def _release(self, target: str) -> bool:
        if target not in self.cache_targets:
            return False
        self.cache_targets.remove(target)
        return True
