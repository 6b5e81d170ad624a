"""Decisions about a call: accept it, send it, settle its outcome.

Each returns records to apply and journal, or a failure. The records of one
decision must go into one segment, so that a sub-agent's call and its draws on
its ancestors' budgets become durable together or not at all.
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
    """The key belongs to call ``number``, which was accepted before."""

    number: int


def accept_call(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    request: checks.CallProposal,
    epoch: int,
    now_wall: float,
) -> list[records.AnyRecord] | DuplicateCall | failures.Failure:
    """Decide on a new call of a program.

    ``ancestors`` are ordered from the parent to the root. The first record is
    the ``CallAccepted``. If a model repeats a call whose outcome is unknown,
    the records accept the call and fail it, so that the model reads why.
    """
    existing = program.find_key(request.key)
    if existing is not None and existing.fingerprint != request.fingerprint:
        return failures.Failure(
            failures.Kind.KEY_REUSED, f'call {existing.number} has this key'
        )
    if existing is not None and not may_restart(program, existing):
        return DuplicateCall(existing.number)
    if existing is not None:
        # The history already contains its messages.
        request = request._replace(messages=())
    failure = (
        checks.check_request(program, request)
        or checks.check_state(program, ancestors, now_wall)
        or checks.check_order(program, request)
    )
    if failure is None and checks.repeats_unknown_outcome(program, request):
        return _reject_repeat(program, request, epoch, now_wall)
    failure = failure or checks.check_budget(
        program, ancestors, request.reserved
    )
    if failure is not None:
        return _explain_rejection(program, existing, failure)
    accepted = _make_accepted(program, request, epoch, now_wall)
    key = budget.make_key(program.id, accepted.number)
    return [accepted, *draw_budget(ancestors, key, accepted.reserved, epoch)]


def may_restart(program: programs.Program, existing: calls.Call) -> bool:
    """Return whether a repeated key starts its failed call or run again.

    A caller that is asked to retry later sends the same key and must not get
    the recorded failure forever. This applies only to the last call, if it
    failed with a retryable error and either provably did not run or is
    idempotent. An open run is never restarted, whatever its last step was:
    its owner may be about to start the next step.
    """
    if program.open_run:
        return False
    last = program.calls[-1]
    is_same = last is existing or (existing.run and last.run == existing.run)
    if not is_same or not last.error or existing.run in program.run_ends:
        return False
    answer = failures.ANSWERS[calls.parse_kind(last.error)]
    is_safe = last.idempotent or answer.ran is failures.Ran.NO
    return answer.may_retry and is_safe


def _explain_rejection(
    program: programs.Program,
    existing: calls.Call | None,
    failure: failures.Failure,
) -> DuplicateCall | failures.Failure:
    """Return the result of a rejected request.

    The repeated key of a call that may have run gets its recorded failure.
    The new one, such as an ended program or an exhausted budget, would say
    that the call did not run.
    """
    if existing is None:
        return failure
    kind = calls.parse_kind(program.calls[-1].error)
    if failures.ANSWERS[kind].ran is failures.Ran.NO:
        return failure
    return DuplicateCall(existing.number)


def _reject_repeat(
    program: programs.Program,
    request: checks.CallProposal,
    epoch: int,
    now_wall: float,
) -> list[records.AnyRecord]:
    unreserved = request._replace(reserved=records.Spend())
    accepted = _make_accepted(program, unreserved, epoch, now_wall)
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
    """Return answers to the tool requests that were never called.

    Engines reject a conversation with an unanswered request, which remains,
    for example, after a run was cancelled.
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
    """Return the records of a sub-agent's call for its ancestors' budgets."""
    return [
        records.BudgetDrawn(
            ancestor.id, epoch, draw=key, reserved=reserved, settled=settled
        )
        for ancestor in ancestors
    ]


def intend_call(
    program: programs.Program,
    number: int,
    attempt: int,
    target: str,
    epoch: int,
    earlier_not_run: bool = False,
) -> list[records.AnyRecord] | failures.Failure:
    """Decide on sending a call to a target; attempts count from 1.

    ``earlier_not_run`` means that all earlier attempts provably did not
    run. Before a non-idempotent call is sent, the record must be durable and
    the lease checked.
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
    # The target may have run the call although its reply was lost. Without
    # proof that it did not, a non-idempotent call must not be sent again.
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
    """Record a call's complete answer.

    Return no records if the call is final: late and duplicate answers have
    no effect.
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
    """Record a call's final error; return no records if it is final already.

    ``not_run`` means that the last attempt provably did not run, which
    ``TARGET_REFUSED`` implies. Without that proof, the failure of a call that
    was sent is recorded as one that may have run. If ``spent`` is ``None``,
    nothing is charged for a call that did not run, and the whole reservation
    for any other, since it may have been used.
    """
    call = program.find_call(number)
    if call is None or call.is_final:
        return []
    refused = not_run or failure.kind is failures.Kind.TARGET_REFUSED
    is_proven = _is_proven_not_run(call, refused, epoch)
    recorded = failure if is_proven else _allow_for_execution(failure)
    if spent is None:
        spent = records.Spend() if is_proven else call.reserved
    failed = records.CallFailed(
        program.id,
        epoch,
        number=number,
        error=recorded.kind.value,
        reason=recorded.reason,
        spent=spent,
        retry_after=recorded.retry_after,
    )
    key = budget.make_key(program.id, number)
    draws = draw_budget(ancestors, key, call.reserved, epoch, spent)
    return [failed, *draws]


def _is_proven_not_run(call: calls.Call, refused: bool, epoch: int) -> bool:
    if call.is_unsent(epoch):
        return True
    is_certain = not call.in_doubt and not call.may_have_lost_intent(epoch)
    return refused and call.is_intended and is_certain


def _allow_for_execution(failure: failures.Failure) -> failures.Failure:
    """Return a failure that leaves open whether the call ran."""
    if failure.answer.ran is not failures.Ran.NO:
        return failure
    if failure.kind is failures.Kind.DEADLINE_PASSED:
        return failure._replace(kind=failures.Kind.DEADLINE_PASSED_RUNNING)
    return failure._replace(kind=failures.Kind.OUTCOME_UNKNOWN)
