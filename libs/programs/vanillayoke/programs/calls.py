"""One call of a program and what it adds to the conversation."""

import dataclasses
import enum

import msgspec

from vanillayoke.core import failures
from vanillayoke.programs import records


class CallState(enum.StrEnum):
    """The state of a call; the last two are final."""

    ACCEPTED = 'accepted'
    INTENDED = 'intended'
    ANSWERED = 'answered'
    FAILED = 'failed'


_FINAL_STATES = frozenset((CallState.ANSWERED, CallState.FAILED))


class ToolError(msgspec.Struct, frozen=True):
    """The content that replaces the result of a failed tool call."""

    error: str
    reason: str


@dataclasses.dataclass(slots=True)
class Call:
    """One call of a program; the fields are those of its records.

    ``epoch`` is the one in which it was accepted, ``message`` the answer and
    ``spent`` the settled amount. ``in_doubt`` means that an attempt before
    the last one may have run.
    """

    epoch: int
    number: int
    kind: records.CallKind
    name: str
    key: str
    fingerprint: str
    run: str
    idempotent: bool
    messages: tuple[records.Message, ...]
    arguments: str
    tool_call_id: str
    reserved: records.Spend
    accepted_at: float
    state: CallState = CallState.ACCEPTED
    attempts: int = 0
    target: str = ''
    in_doubt: bool = False
    message: records.Message | None = None
    finish_reason: str = ''
    error: str = ''
    reason: str = ''
    retry_after: float | None = None
    max_tokens: int = 0
    spent: records.Spend = records.Spend()

    @classmethod
    def from_accepted(cls, record: records.CallAccepted) -> 'Call':
        """Make a call from the record that accepted it."""
        return cls(
            epoch=record.epoch,
            number=record.number,
            kind=record.kind,
            name=record.name,
            key=record.key,
            fingerprint=record.fingerprint,
            run=record.run,
            idempotent=record.idempotent,
            messages=record.messages,
            arguments=record.arguments,
            tool_call_id=record.tool_call_id,
            reserved=record.reserved,
            accepted_at=record.accepted_at,
            max_tokens=record.max_tokens,
        )

    @property
    def is_final(self) -> bool:
        """Return whether the call has an answer or a final error."""
        return self.state in _FINAL_STATES

    @property
    def is_intended(self) -> bool:
        """Return whether the call has an intent and no outcome."""
        return self.state is CallState.INTENDED

    def is_unsent(self, epoch: int) -> bool:
        """Return whether no attempt at a running call was ever made.

        ``epoch`` is the current owner's.
        """
        if self.state is not CallState.ACCEPTED:
            return False
        return not self.may_have_lost_intent(epoch)

    def may_have_lost_intent(self, epoch: int) -> bool:
        """Return whether an earlier owner may have sent an unrecorded attempt.

        The intent of an idempotent call need not be durable before the call
        is sent. If the owner fails before its next segment, its successor
        finds no intent although the call was sent.
        """
        return self.idempotent and self.epoch < epoch

    def list_result(self) -> tuple[records.Message, ...]:
        """Return the messages that a final call adds to the history.

        A tool call that the model did not request adds none: the chat
        completions protocol has no message for it. A failed tool call adds
        its error, since engines reject unanswered tool requests.
        """
        is_model = self.kind is records.CallKind.MODEL
        if not is_model and not self.tool_call_id:
            return ()
        if self.state is CallState.ANSWERED:
            return (self.message,)
        if self.state is CallState.FAILED and not is_model:
            return (
                make_error_message(self.tool_call_id, self.error, self.reason),
            )
        return ()


def parse_kind(error: str) -> failures.Kind:
    """Return the kind of a recorded error; ``INTERNAL`` if it is unknown.

    During a rolling upgrade, an older instance may read a kind that only
    newer versions have. ``INTERNAL`` does not say whether the call ran.
    """
    try:
        return failures.Kind(error)
    except ValueError:
        return failures.Kind.INTERNAL


def make_error_message(
    tool_call_id: str, error: str, reason: str
) -> records.Message:
    """Return the message that answers a tool request with an error."""
    content = msgspec.json.encode(ToolError(error, reason)).decode()
    return records.Message(
        role='tool', content=content, tool_call_id=tool_call_id
    )
