"""Decisions about ending: a running call, a run, a program, a takeover."""

import typing

from vanillayoke.core import failures
from vanillayoke.programs import calls
from vanillayoke.programs import decisions
from vanillayoke.programs import opening
from vanillayoke.programs import program as programs
from vanillayoke.programs import records


def cancel_call(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    failure: failures.Failure,
    epoch: int,
) -> list[records.AnyRecord]:
    """Fail the running call and end the open run, where there are such."""
    found = []
    running = program.running
    if running is not None:
        found += _stop_call(program, ancestors, running, failure, epoch)
    if program.open_run:
        found += end_run(program, failure, epoch)
    return found


def _stop_call(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    running: calls.Call,
    failure: failures.Failure,
    epoch: int,
) -> list[records.AnyRecord]:
    if running.is_intended and not running.idempotent:
        failure = failures.Failure(
            failures.Kind.OUTCOME_UNKNOWN, failure.reason
        )
    return decisions.fail_call(
        program, ancestors, running.number, failure, epoch
    )


def end_run(
    program: programs.Program, failure: failures.Failure, epoch: int
) -> list[records.AnyRecord]:
    """End the open run between two steps, with what its caller is told."""
    if not program.open_run:
        return []
    ended = records.RunEnded(
        program.id,
        epoch,
        run=program.open_run,
        error=failure.kind.value,
        reason=failure.reason,
    )
    return [ended]


def end_program(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    reason: str,
    epoch: int,
    now_wall: float,
) -> list[records.AnyRecord]:
    """End a program; no records where it has ended.

    A call that was accepted and never sent did not run; of one that was
    sent this is not claimed.
    """
    if not program.is_active:
        return []
    found = []
    running = program.running
    if running is not None:
        failure = failures.Failure(
            _find_end_kind(running, epoch), f'the program ended: {reason}'
        )
        found += _stop_call(program, ancestors, running, failure, epoch)
    ended = records.ProgramEnded(
        program.id, epoch, reason=reason, ended_at=now_wall
    )
    return [*found, ended]


def _find_end_kind(running: calls.Call, epoch: int) -> failures.Kind:
    if running.is_unsent(epoch):
        return failures.Kind.PROGRAM_ENDED
    return failures.Kind.CANCELLED


def end_tree(
    programs_by_id: typing.Mapping[str, programs.Program],
    program: programs.Program,
    reason: str,
    epoch: int,
    now_wall: float,
) -> list[records.AnyRecord]:
    """End a program and its sub-agents, those farthest down first.

    ``programs_by_id`` holds at least all programs of the same root.
    """
    family = []
    for one in programs_by_id.values():
        above = opening.list_ancestors(programs_by_id, one.parent)
        if one is program or program in above:
            family.append((one, above))
    family.sort(key=_count_ancestors, reverse=True)
    found = []
    for one, above in family:
        found += end_program(one, above, reason, epoch, now_wall)
    return found


def _count_ancestors(
    member: tuple[programs.Program, typing.Sequence[programs.Program]],
) -> int:
    return len(member[1])


def recover_program(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    epoch: int,
) -> list[records.AnyRecord]:
    """Settle what a takeover cannot know.

    A non-idempotent call with an intent and no outcome fails as unknown
    and its whole reservation counts as spent, since it may have been. All
    other running calls are left to run: idempotent ones may be sent again,
    and one without an intent was never sent. Where the target can be asked
    what became of the call, ask first and record its word instead.
    """
    running = program.running
    if running is None or running.idempotent or not running.is_intended:
        return []
    failure = failures.Failure(
        failures.Kind.OUTCOME_UNKNOWN,
        'the instance that sent the call was lost before its answer',
    )
    return decisions.fail_call(
        program, ancestors, running.number, failure, epoch
    )
