"""Decisions that end calls, runs and programs, and recover after takeovers."""

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
    """Fail the running call and end the open run, if there are any."""
    decided = []
    running = program.running
    if running is not None:
        decided += _stop_call(program, ancestors, running, failure, epoch)
    if program.open_run:
        decided += end_run(program, failure, epoch)
    return decided


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
    """End the open run between two steps with a failure for its caller."""
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
    """End a program; return no records if it has ended already.

    Its running call fails as not run only if it was never sent.
    """
    if not program.is_active:
        return []
    decided = []
    running = program.running
    if running is not None:
        failure = failures.Failure(
            _get_end_kind(running, epoch), f'the program ended: {reason}'
        )
        decided += _stop_call(program, ancestors, running, failure, epoch)
    ended = records.ProgramEnded(
        program.id, epoch, reason=reason, ended_at=now_wall
    )
    return [*decided, ended]


def _get_end_kind(running: calls.Call, epoch: int) -> failures.Kind:
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
    """End a program and its sub-agents, the deepest first.

    ``programs_by_id`` holds at least all programs of the same root.
    """
    members = []
    for member in programs_by_id.values():
        ancestors = opening.list_ancestors(programs_by_id, member.parent)
        if member is program or program in ancestors:
            members.append((member, ancestors))
    members.sort(key=_count_ancestors, reverse=True)
    decided = []
    for member, ancestors in members:
        decided += end_program(member, ancestors, reason, epoch, now_wall)
    return decided


def _count_ancestors(
    member: tuple[programs.Program, typing.Sequence[programs.Program]],
) -> int:
    return len(member[1])


def recover_program(
    program: programs.Program,
    ancestors: typing.Sequence[programs.Program],
    epoch: int,
) -> list[records.AnyRecord]:
    """Fail a call whose outcome is unknown after a takeover.

    A non-idempotent call with an intent and no outcome fails as unknown, and
    its whole reservation counts as spent. Other running calls continue:
    idempotent ones may be sent again, and one without an intent was never
    sent. If the target can report the outcome of the call, record that
    instead of calling this.
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
