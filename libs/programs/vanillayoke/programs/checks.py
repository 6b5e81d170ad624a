"""Checks that a call must pass to be accepted by a program."""

import typing

import msgspec

from vanillayoke.core import failures
from vanillayoke.programs import budget
from vanillayoke.programs import calls
from vanillayoke.programs import program as programs
from vanillayoke.programs import records

_STEP_SEPARATOR = '\n'


class CallProposal(typing.NamedTuple):
    """A call to be accepted; the fields are those of ``CallAccepted``."""

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
    """Return the key of a run's later step, which clients can't send."""
    return f'{run}{_STEP_SEPARATOR}{number}'


def check_request(
    program: programs.Program, request: CallProposal
) -> failures.Failure | None:
    """Reject a call that is invalid in any state of the program."""
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
    # Each tool request of the model allows one call. After a takeover, the
    # new owner might otherwise run it again under another key.
    if request.tool_call_id and not _is_pending(program, request):
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'the model has no such open request'
        )
    return None


def _is_pending(program: programs.Program, request: CallProposal) -> bool:
    pending = program.pending_tools
    return any(tool.id == request.tool_call_id for tool in pending)


def check_state(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    now_wall: float,
) -> failures.Failure | None:
    """Reject a call if the program or an ancestor takes no calls."""
    if not program.is_active:
        return failures.Failure(
            failures.Kind.PROGRAM_ENDED, f'ended: {program.end_reason}'
        )
    # Without all ancestors, a sub-agent could exceed their budgets, as
    # nothing would be drawn on them.
    parent = ancestors[0].id if ancestors else ''
    if program.parent != parent:
        return failures.Failure(
            failures.Kind.PROGRAM_ENDED, 'its parent is gone'
        )
    if not all(ancestor.is_active for ancestor in ancestors):
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
    """Reject a call while another call or run is in progress."""
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
    """Return whether a model repeats a call whose outcome is unknown.

    A model that reads that the outcome is unknown may request the same call
    under a new id, and a non-idempotent call might then run twice. Clients
    can still make the call themselves, without a ``tool_call_id``.
    """
    if request.idempotent or not request.tool_call_id:
        return False
    return any(
        call.error == failures.Kind.OUTCOME_UNKNOWN.value
        and not call.idempotent
        and call.name == request.name
        and _are_equal(call.arguments, request.arguments)
        for call in program.calls
    )


def _are_equal(left: str, right: str) -> bool:
    """Compare arguments by value: the whitespace of JSON may differ."""
    if left == right:
        return True
    try:
        return msgspec.json.decode(left) == msgspec.json.decode(right)
    except msgspec.DecodeError:
        return False


def check_budget(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    reserved: records.Spend,
) -> failures.Failure | None:
    """Reject a call beyond the program's or an ancestor's budget."""
    for member in (program, *ancestors):
        shortage = member.ledger.find_shortage(reserved)
        if shortage is not None:
            return failures.Failure(
                failures.Kind.BUDGET_EXHAUSTED,
                f'not enough {shortage} left for the call',
            )
    return None
