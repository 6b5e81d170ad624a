"""Decisions about a call: accept it, send it, settle its outcome.

Each returns records to apply and journal, or a failure. The records of one
decision belong into one segment: a sub-agent's call and its draws on the
budgets above it become durable together or not at all.
"""

import typing

from vanillayoke.core import failures
from vanillayoke.programs import budget
from vanillayoke.programs import calls
from vanillayoke.programs import checks
from vanillayoke.programs import program as programs
from vanillayoke.programs import records

_NOT_RUN_REASON = 'the conversation went on without it; it did not run'
_REPEAT_REASON = (
    'it did not run: the outcome of an identical earlier call is unknown, '
    'and running it again might do its work twice'
)


class DuplicateCall(typing.NamedTuple):
    """The key is that of an accepted call: give its answer or join it."""

    number: int


def accept_call(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    request: checks.CallProposal,
    epoch: int,
    now_wall: float,
) -> list[records.AnyRecord] | DuplicateCall | failures.Failure:
    """Decide on a new call of a program.

    ``ancestors`` are the program's, the parent first and the root last.
    The first record is the ``CallAccepted``. A model's repeat of a call
    whose outcome is unknown is accepted and failed by the same records, so
    that the model reads why.
    """
    known = program.find_key(request.key)
    if known is not None and known.fingerprint != request.fingerprint:
        return failures.Failure(
            failures.Kind.KEY_REUSED, f'call {known.number} has this key'
        )
    if known is not None and not may_restart(program, known):
        return DuplicateCall(known.number)
    if known is not None:
        # Its question is in the history already.
        request = request._replace(messages=())
    failure = (
        checks.check_request(program, request)
        or checks.check_state(program, ancestors, now_wall)
        or checks.check_order(program, request)
    )
    if failure is None and checks.repeats_unknown_outcome(program, request):
        return _refuse_repeat(program, request, epoch, now_wall)
    failure = failure or checks.check_budget(
        program, ancestors, request.reserved
    )
    if failure is not None:
        return _explain_refusal(program, known, failure)
    accepted = _make_accepted(program, request, epoch, now_wall)
    key = budget.make_key(program.id, accepted.number)
    return [accepted, *draw_budget(ancestors, key, accepted.reserved, epoch)]


def may_restart(program: programs.Program, known: calls.Call) -> bool:
    """Tell whether a repeated key starts anew where its call failed.

    A caller told "overloaded, come back in five seconds" comes back with
    the same key; given the recorded refusal it would never get through.
    Only the last call counts, when it failed in a way that may be retried
    and either provably did not run or is idempotent. A run that goes on is
    joined whatever its last step was: its owner may be about to begin the
    next one, and two would drive it.
    """
    if program.open_run:
        return False
    last = program.calls[-1]
    is_same = last is known or (known.run and last.run == known.run)
    if not is_same or not last.error or known.run in program.run_ends:
        return False
    answer = failures.ANSWERS[calls.parse_kind(last.error)]
    harmless = last.idempotent or answer.ran is failures.Ran.NO
    return answer.may_retry and harmless


def _explain_refusal(
    program: programs.Program,
    known: calls.Call | None,
    failure: failures.Failure,
) -> DuplicateCall | failures.Failure:
    """Return what a refused request is told.

    A repeated key of a call that may have run, idempotent though it is,
    gets its recorded failure: a program that has ended since, or a budget
    that is used up, would say "not run".
    """
    if known is None:
        return failure
    kind = calls.parse_kind(program.calls[-1].error)
    if failures.ANSWERS[kind].ran is failures.Ran.NO:
        return failure
    return DuplicateCall(known.number)


def _refuse_repeat(
    program: programs.Program,
    request: checks.CallProposal,
    epoch: int,
    now_wall: float,
) -> list[records.AnyRecord]:
    free = request._replace(reserved=records.Spend())
    accepted = _make_accepted(program, free, epoch, now_wall)
    failed = records.CallFailed(
        program.id,
        epoch,
        number=accepted.number,
        error=failures.Kind.CONFLICT.value,
        reason=_REPEAT_REASON,
    )
    return [accepted, failed]


def _make_accepted(
    program: programs.Program,
    request: checks.CallProposal,
    epoch: int,
    now_wall: float,
) -> records.CallAccepted:
    fields = request._asdict()
    if request.kind is records.CallKind.MODEL:
        skipped = _answer_skipped(program)
        fields['messages'] = (*skipped, *request.messages)
    return records.CallAccepted(
        program.id,
        epoch,
        number=len(program.calls) + 1,
        accepted_at=now_wall,
        **fields,
    )


def _answer_skipped(
    program: programs.Program,
) -> tuple[records.Message, ...]:
    """Answer the tool requests that the conversation passes over.

    An engine refuses a conversation in which one stays unanswered, as
    after a cancelled run.
    """
    return tuple(
        calls.make_error_message(
            request.id, failures.Kind.CANCELLED.value, _NOT_RUN_REASON
        )
        for request in program.pending_tools
    )


def draw_budget(
    ancestors: typing.Sequence[programs.Program],
    key: str,
    reserved: records.Spend,
    epoch: int,
    settled: records.Spend | None = None,
) -> list[records.AnyRecord]:
    """Return the records of a sub-agent's call for all budgets above it."""
    return [
        records.BudgetDrawn(
            one.id, epoch, draw=key, reserved=reserved, settled=settled
        )
        for one in ancestors
    ]


def intend_call(
    program: programs.Program,
    number: int,
    attempt: int,
    target: str,
    epoch: int,
    earlier_not_run: bool = False,
) -> list[records.AnyRecord] | failures.Failure:
    """Decide on sending a call to a target, as its nth attempt from 1.

    ``earlier_not_run`` tells that all earlier attempts provably did not
    run. The record of a non-idempotent call must be durable, and the lease
    checked, before the call is sent.
    """
    call = program.find_call(number)
    if call is None or call.is_final:
        return failures.Failure(
            failures.Kind.CANCELLED, 'the call has its outcome already'
        )
    if attempt <= call.attempts:
        return failures.Failure(
            failures.Kind.CONFLICT, f'attempt {call.attempts} was made'
        )
    # A reply can be lost after the target did the work. Sending a
    # non-idempotent call again would do it twice, so an intent without
    # proof that it did not run is the last one.
    if call.is_intended and not call.idempotent and not earlier_not_run:
        return failures.Failure(
            failures.Kind.OUTCOME_UNKNOWN, f'attempt {attempt - 1} may run'
        )
    intended = records.CallIntended(
        program.id,
        epoch,
        number=number,
        attempt=attempt,
        target=target,
        earlier_not_run=earlier_not_run,
    )
    return [intended]


def answer_call(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    number: int,
    message: records.Message,
    finish_reason: str,
    spent: records.Spend,
    target: str,
    epoch: int,
) -> list[records.AnyRecord]:
    """Record a call's whole answer.

    There are no records where the call is final: an answer that comes
    late, or twice, changes nothing.
    """
    call = program.find_call(number)
    if call is None or call.is_final:
        return []
    answered = records.CallAnswered(
        program.id,
        epoch,
        number=number,
        message=message,
        finish_reason=finish_reason,
        spent=spent,
        target=target,
    )
    key = budget.make_key(program.id, number)
    draws = draw_budget(ancestors, key, call.reserved, epoch, spent)
    return [answered, *draws]


def fail_call(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    number: int,
    failure: failures.Failure,
    epoch: int,
    spent: records.Spend | None = None,
    not_run: bool = False,
) -> list[records.AnyRecord]:
    """Record a call's final error; no records where it is final already.

    ``not_run`` tells that the last attempt provably did not run, as
    ``TARGET_REFUSED`` does by itself. Without that proof the failure of a
    call that was sent is recorded as one that may have run. ``spent`` of
    ``None`` is nothing for a call that did not run, else the whole
    reservation, since it may have been used.
    """
    call = program.find_call(number)
    if call is None or call.is_final:
        return []
    refused = not_run or failure.kind is failures.Kind.TARGET_REFUSED
    proven = _is_proven_not_run(call, refused, epoch)
    told = failure if proven else _admit_doubt(failure)
    if spent is None:
        spent = records.Spend() if proven else call.reserved
    failed = records.CallFailed(
        program.id,
        epoch,
        number=number,
        error=told.kind.value,
        reason=told.reason,
        spent=spent,
        retry_after=told.retry_after,
    )
    key = budget.make_key(program.id, number)
    draws = draw_budget(ancestors, key, call.reserved, epoch, spent)
    return [failed, *draws]


def _is_proven_not_run(call: calls.Call, refused: bool, epoch: int) -> bool:
    if call.is_unsent(epoch):
        return True
    is_certain = not call.in_doubt and not call.may_have_lost_intent(epoch)
    return refused and call.is_intended and is_certain


def _admit_doubt(failure: failures.Failure) -> failures.Failure:
    """Return a failure that does not claim that the call did not run."""
    if failure.answer.ran is not failures.Ran.NO:
        return failure
    if failure.kind is failures.Kind.DEADLINE_PASSED:
        return failure._replace(kind=failures.Kind.DEADLINE_PASSED_RUNNING)
    return failure._replace(kind=failures.Kind.OUTCOME_UNKNOWN)
