"""One call of a program and what it adds to the conversation."""

import dataclasses
import enum

import msgspec

from vanillayoke.core import failures
from vanillayoke.programs import records


class CallState(enum.StrEnum):
    """How far a call has come; the last two are final."""

    ACCEPTED = 'accepted'
    INTENDED = 'intended'
    ANSWERED = 'answered'
    FAILED = 'failed'


FINAL = frozenset((CallState.ANSWERED, CallState.FAILED))


class ToolError(msgspec.Struct, frozen=True):
    """What the model reads in place of a failed tool call's result."""

    error: str
    reason: str


@dataclasses.dataclass(slots=True)
class Call:
    """One call of a program; the fields are those of its records.

    ``epoch`` is that of its acceptance, ``message`` the answer and
    ``spent`` what was settled. ``in_doubt`` tells that an attempt before
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
        """Tell whether the call has its answer or final error."""
        return self.state in FINAL

    @property
    def is_intended(self) -> bool:
        """Tell whether the call has an intent and no outcome."""
        return self.state is CallState.INTENDED

    def is_unsent(self, epoch: int) -> bool:
        """Tell whether no attempt at a running call was ever made.

        ``epoch`` is the present holder's.
        """
        if self.state is not CallState.ACCEPTED:
            return False
        return not self.may_have_lost_intent(epoch)

    def may_have_lost_intent(self, epoch: int) -> bool:
        """Tell whether an earlier holder may have sent the call unseen.

        The intent of an idempotent call does not wait for the journal. The
        holder sends the call and is lost before its next segment: to its
        successor, the call looks as if it was never sent.
        """
        return self.idempotent and self.epoch < epoch

    def list_result(self) -> tuple[records.Message, ...]:
        """Return the messages that a final call adds to the history.

        A tool call that the model did not ask for adds none, as the chat
        completions protocol has no place for it. A failed one adds its
        error: an engine refuses an unanswered tool request.
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
    """Return the kind of a recorded error.

    While instances are replaced one by one, an older one reads records of
    a newer one. A kind that it does not know must not stop it from serving
    the program, and claims nothing about whether the call ran.
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
