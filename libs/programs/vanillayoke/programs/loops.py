"""Runaway detection: programs that loop or spend their budget too fast."""

import typing

from vanillayoke.programs import budget
from vanillayoke.programs import calls
from vanillayoke.programs import program as programs
from vanillayoke.programs import records

MAX_CYCLE_LENGTH = 4


class RunawayLimits(typing.NamedTuple):
    """Limits beyond which a run is stopped as a runaway.

    A cycle of steps must occur fewer than ``repeats`` times in a row. At most
    ``fraction`` of any budgeted resource may be spent in ``window`` seconds,
    unless there were fewer than ``min_calls`` calls in that time.
    """

    repeats: int = 8
    window: float = 60.0
    fraction: float = 0.5
    min_calls: int = 20


class _Step(typing.NamedTuple):
    """What identifies a step; ids and keys are ignored."""

    action: str
    arguments: str
    result: str


def find_runaway(
    program: programs.Program, limits: RunawayLimits, now_wall: float
) -> str | None:
    """Return why the open run should be stopped, or ``None``."""
    return find_loop(program, limits.repeats) or find_fast_spending(
        program, limits, now_wall
    )


def find_loop(program: programs.Program, repeats: int) -> str | None:
    """Return which steps of the open run form a loop, or ``None``.

    Tool calls are compared by arguments and results, model answers by text
    and tool requests. Cycles of up to ``MAX_CYCLE_LENGTH`` steps are found,
    such as two tools that undo each other.
    """
    for kind in (records.CallKind.TOOL, records.CallKind.MODEL):
        steps = _list_steps(program, kind, repeats * MAX_CYCLE_LENGTH)
        for length in range(1, MAX_CYCLE_LENGTH + 1):
            if _is_cycle(steps, length, repeats):
                return (
                    f'the last {length} {kind.value} step(s) occurred '
                    f'{repeats} times in a row'
                )
    return None


def _list_steps(
    program: programs.Program, kind: records.CallKind, max_count: int
) -> list[_Step]:
    """Return the open run's last steps of a kind, the latest first."""
    steps = []
    for call in reversed(program.calls):
        if not program.open_run or call.run != program.open_run:
            break
        if len(steps) == max_count:
            break
        if call.kind is kind and call.is_final:
            steps.append(_make_step(call))
    return steps


def _make_step(call: calls.Call) -> _Step:
    content = call.message.content if call.message else ''
    if call.kind is records.CallKind.MODEL:
        tools = call.message.tool_calls if call.message else ()
        requests = '\n'.join(f'{tool.name} {tool.arguments}' for tool in tools)
        return _Step(content, requests, call.error)
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
    """Return which resource is spent too fast, or ``None``."""
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
                f'{limits.fraction:.0%} of the {name} spent in less than '
                f'{limits.window:g} s'
            )
    return None


def _list_recent(program: programs.Program, since: float) -> list[calls.Call]:
    calls_since = []
    for call in reversed(program.calls):
        if call.accepted_at < since:
            break
        calls_since.append(call)
    return calls_since
