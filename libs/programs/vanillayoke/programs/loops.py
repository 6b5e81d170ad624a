"""Runaway detection: programs that repeat themselves or burn their budget."""

import typing

from vanillayoke.programs import budget
from vanillayoke.programs import calls
from vanillayoke.programs import program as programs
from vanillayoke.programs import records

MAX_CYCLE_LENGTH = 4


class RunawayLimits(typing.NamedTuple):
    """What a run may do before it is stopped.

    A cycle of steps may not come ``repeats`` times in a row. At most
    ``fraction`` of any budgeted resource may go in ``window`` seconds;
    fewer than ``min_calls`` calls are never too fast.
    """

    repeats: int = 8
    window: float = 60.0
    fraction: float = 0.5
    min_calls: int = 20


class _Step(typing.NamedTuple):
    """What makes two calls the same step; ids and keys do not count."""

    action: str
    arguments: str
    result: str


def find_runaway(
    program: programs.Program, limits: RunawayLimits, now_wall: float
) -> str | None:
    """Return why the open run should be stopped, ``None`` to go on."""
    return find_loop(program, limits.repeats) or find_fast_spending(
        program, limits, now_wall
    )


def find_loop(program: programs.Program, repeats: int) -> str | None:
    """Return which steps of the open run repeat themselves.

    Tool calls count with their arguments and results, model answers with
    their text and tool requests. A cycle of up to ``MAX_CYCLE_LENGTH`` steps
    is seen as well, such as two tools that undo each other.
    """
    for kind in (records.CallKind.TOOL, records.CallKind.MODEL):
        steps = _list_steps(program, kind, repeats * MAX_CYCLE_LENGTH)
        for length in range(1, MAX_CYCLE_LENGTH + 1):
            if _is_cycle(steps, length, repeats):
                return (
                    f'the last {length} {kind.value} step(s) came '
                    f'{repeats} times in a row'
                )
    return None


def _list_steps(
    program: programs.Program, kind: records.CallKind, most: int
) -> list[_Step]:
    """Return the open run's last steps of a kind, the latest first."""
    found = []
    for call in reversed(program.calls):
        if not program.open_run or call.run != program.open_run:
            break
        if len(found) == most:
            break
        if call.kind is kind and call.is_final:
            found.append(_make_step(call))
    return found


def _make_step(call: calls.Call) -> _Step:
    content = call.message.content if call.message else ''
    if call.kind is records.CallKind.MODEL:
        requests = call.message.tool_calls if call.message else ()
        asked = '\n'.join(f'{one.name} {one.arguments}' for one in requests)
        return _Step(content, asked, call.error)
    return _Step(call.name, call.arguments, call.error or content)


def _is_cycle(steps: list[_Step], length: int, repeats: int) -> bool:
    if repeats < 2 or len(steps) < length * repeats:
        return False
    return all(
        steps[index] == steps[index + length]
        for index in range(length * (repeats - 1))
    )


def find_fast_spending(
    program: programs.Program, limits: RunawayLimits, now_wall: float
) -> str | None:
    """Return which resource goes too fast to last to the end."""
    recent = _list_recent(program, now_wall - limits.window)
    if len(recent) < limits.min_calls:
        return None
    used = records.Spend()
    for call in recent:
        amount = call.spent if call.is_final else call.reserved
        used = budget.add_spend(used, amount)
    for name in budget.RESOURCES:
        allowed = limits.fraction * getattr(program.budget, name)
        if getattr(used, name) > allowed:
            return (
                f'{limits.fraction:.0%} of the {name} went in less than '
                f'{limits.window:g} s'
            )
    return None


def _list_recent(program: programs.Program, since: float) -> list[calls.Call]:
    found = []
    for call in reversed(program.calls):
        if call.accepted_at < since:
            break
        found.append(call)
    return found
