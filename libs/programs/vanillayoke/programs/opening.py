"""Decisions about opening programs and sub-agents."""

import typing

import msgspec

from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.programs import budget
from vanillayoke.programs import program as programs
from vanillayoke.programs import records


def list_ancestors(
    programs_by_id: typing.Mapping[str, programs.Program], parent: str
) -> tuple[programs.Program, ...]:
    """Return the program ``parent`` and its ancestors, the root last.

    ``programs_by_id`` holds all programs of the shard, and so the whole tree.
    The result is empty if ``parent`` is.
    """
    ancestors = []
    while parent in programs_by_id:
        ancestors.append(programs_by_id[parent])
        parent = programs_by_id[parent].parent
    return tuple(ancestors)


def clamp_child(
    opened: records.ProgramOpened,
    ancestors: typing.Sequence[programs.Program],
) -> records.ProgramOpened:
    """Return a sub-agent's opening, clamped to its ancestors' limits."""
    budgets = [opened.budget, *(ancestor.budget for ancestor in ancestors)]
    clamped = records.Budget(
        **{
            name: min(getattr(limit, name) for limit in budgets)
            for name in budget.RESOURCES
        }
    )
    deadlines = [
        opened.deadline,
        *(ancestor.deadline for ancestor in ancestors),
    ]
    return msgspec.structs.replace(
        opened, budget=clamped, deadline=min(deadlines)
    )


def open_program(
    existing: programs.Program | None,
    opened: records.ProgramOpened,
    ancestors: typing.Sequence[programs.Program],
    now_wall: float,
) -> list[records.AnyRecord] | programs.Program | failures.Failure:
    """Decide on opening a program; a repeated key returns the existing one.

    ``ancestors`` are ordered from the parent to the root; a root has none.
    ``now_wall`` is wall-clock seconds since the epoch.
    """
    if existing is not None:
        return _check_repeat(existing, opened)
    failure = _check_fields(opened, now_wall) or _check_ancestors(
        opened, ancestors
    )
    return failure or [opened]


def _check_repeat(
    existing: programs.Program, opened: records.ProgramOpened
) -> programs.Program | failures.Failure:
    if existing.client != opened.client:
        return failures.Failure(
            failures.Kind.NOT_FOUND, 'the id belongs to another client'
        )
    if existing.fingerprint != opened.fingerprint:
        return failures.Failure(
            failures.Kind.KEY_REUSED,
            'the program was opened with another request',
        )
    return existing


def _check_fields(
    opened: records.ProgramOpened, now_wall: float
) -> failures.Failure | None:
    if not opened.key:
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'an idempotency key is needed'
        )
    if any(getattr(opened.budget, name) < 0 for name in budget.RESOURCES):
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'a budget is negative'
        )
    if opened.deadline <= now_wall:
        return failures.Failure(
            failures.Kind.DEADLINE_PASSED, 'the deadline lies in the past'
        )
    return None


def _check_ancestors(
    opened: records.ProgramOpened,
    ancestors: typing.Sequence[programs.Program],
) -> failures.Failure | None:
    if not ancestors:
        return _check_root(opened)
    parent = ancestors[0]
    root = ancestors[-1]
    if opened.client != parent.client or opened.parent != parent.id:
        return failures.Failure(
            failures.Kind.NOT_FOUND, 'there is no such parent'
        )
    if root.parent or ids.find_root(opened.program) != root.id:
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'the id names another root'
        )
    if not all(ancestor.is_active for ancestor in ancestors):
        return failures.Failure(
            failures.Kind.PROGRAM_ENDED, 'an ancestor has ended'
        )
    if clamp_child(opened, ancestors) != opened:
        return failures.Failure(
            failures.Kind.BAD_REQUEST,
            "the budget or deadline is beyond an ancestor's",
        )
    return None


def _check_root(opened: records.ProgramOpened) -> failures.Failure | None:
    if opened.parent:
        return failures.Failure(
            failures.Kind.NOT_FOUND, 'there is no such parent'
        )
    if ids.find_root(opened.program) != opened.program:
        return failures.Failure(
            failures.Kind.BAD_REQUEST, "a sub-agent's id needs a parent"
        )
    return None
