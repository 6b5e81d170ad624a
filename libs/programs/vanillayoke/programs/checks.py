"""Checks that a call must pass to get its place in a program's order."""

import typing

import msgspec

from vanillayoke.core import failures
from vanillayoke.programs import budget
from vanillayoke.programs import calls
from vanillayoke.programs import program as programs
from vanillayoke.programs import records

_STEP_SEPARATOR = '\n'


class CallProposal(typing.NamedTuple):
    """A call that wants its place in a program's order.

    The fields are those of ``records.CallAccepted``.
    """

    kind: records.CallKind
    key: str
    fingerprint: str
    idempotent: bool
    name: str
    messages: tuple[records.Message, ...] = ()
    arguments: str = ''
    tool_call_id: str = ''
    run: str = ''
    reserved: records.Spend = records.Spend(calls=1)
    max_tokens: int = 0


def make_step_key(run: str, number: int) -> str:
    """Return the key of a run's later step; clients cannot send such."""
    return f'{run}{_STEP_SEPARATOR}{number}'


def check_request(
    program: programs.Program, request: CallProposal
) -> failures.Failure | None:
    """Refuse a call that could never be accepted as it is."""
    if not request.key:
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'an idempotency key is needed'
        )
    is_first = request.key == request.run or not request.run
    if is_first and _STEP_SEPARATOR in request.key:
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'the idempotency key has a line break'
        )
    if any(getattr(request.reserved, name) < 0 for name in budget.RESOURCES):
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'a reservation is negative'
        )
    # A tool request of the model stands for one call. A host that lost
    # track, say after a takeover, would else run it under a second key.
    if request.tool_call_id and not _is_pending(program, request):
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'the model has no such open request'
        )
    return None


def _is_pending(program: programs.Program, request: CallProposal) -> bool:
    pending = program.pending_tools
    return any(one.id == request.tool_call_id for one in pending)


def check_state(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    now_wall: float,
) -> failures.Failure | None:
    """Refuse a call of a program that takes no more."""
    if not program.is_active:
        return failures.Failure(
            failures.Kind.PROGRAM_ENDED, f'ended: {program.end_reason}'
        )
    # A caller that lost sight of the programs above would let a sub-agent
    # spend past their budgets, as nothing would be drawn on them.
    above = ancestors[0].id if ancestors else ''
    if program.parent != above:
        return failures.Failure(
            failures.Kind.PROGRAM_ENDED, 'its parent is gone'
        )
    if not all(one.is_active for one in ancestors):
        return failures.Failure(
            failures.Kind.PROGRAM_ENDED, 'an ancestor has ended'
        )
    if now_wall >= program.deadline:
        return failures.Failure(
            failures.Kind.DEADLINE_PASSED, "the program's deadline passed"
        )
    return None


def check_order(
    program: programs.Program, request: CallProposal
) -> failures.Failure | None:
    """Refuse a call out of its turn."""
    running = program.running
    if running is not None:
        return failures.Failure(
            failures.Kind.CALL_IN_PROGRESS, f'call {running.number} is running'
        )
    if program.open_run and program.open_run != request.run:
        return failures.Failure(
            failures.Kind.CALL_IN_PROGRESS, 'a run has not ended'
        )
    is_step = request.run and request.key != request.run
    if is_step and program.open_run != request.run:
        return _explain_closed_run(program, request.run)
    return None


def _explain_closed_run(
    program: programs.Program, run: str
) -> failures.Failure:
    end = program.run_ends.get(run)
    if end is None:
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'the run has ended or never began'
        )
    return failures.Failure(calls.parse_kind(end.error), end.reason)


def repeats_unknown_outcome(
    program: programs.Program, request: CallProposal
) -> bool:
    """Tell whether a model asks again for what may have been done.

    An instance dies while an order is on its way; the model reads that the
    outcome is unknown and simply orders again under a new request id: two
    deliveries, two invoices. A client that knows better can still make the
    call itself, since such a call has no ``tool_call_id``.
    """
    if request.idempotent or not request.tool_call_id:
        return False
    return any(
        call.error == failures.Kind.OUTCOME_UNKNOWN.value
        and not call.idempotent
        and call.name == request.name
        and _are_same(call.arguments, request.arguments)
        for call in program.calls
    )


def _are_same(one: str, other: str) -> bool:
    """Compare arguments by value: a model may space its JSON otherwise."""
    if one == other:
        return True
    try:
        return msgspec.json.decode(one) == msgspec.json.decode(other)
    except msgspec.DecodeError:
        return False


def check_budget(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    reserved: records.Spend,
) -> failures.Failure | None:
    """Refuse a call beyond the program's or an ancestor's budget."""
    for holder in (program, *ancestors):
        shortage = holder.ledger.find_shortage(reserved)
        if shortage is not None:
            return failures.Failure(
                failures.Kind.BUDGET_EXHAUSTED,
                f'the {shortage} left do not cover the call',
            )
    return None
