"""The text and the end of a call or run, read from a program's history."""

import typing

from vanillayoke.core import failures
from vanillayoke.entry import host
from vanillayoke.programs import calls
from vanillayoke.programs import program as programs
from vanillayoke.programs import records


def find_first(program: programs.Program, call: calls.Call) -> calls.Call:
    """Return the first call of the run that a call is a step of."""
    if not call.run:
        return call
    return program.find_key(call.run) or call


def list_steps(
    program: programs.Program, first: calls.Call
) -> list[calls.Call]:
    """Return a call, or all calls of the run that it began."""
    if not first.run:
        return [first]
    return [
        call
        for call in program.calls[first.number - 1 :]
        if call.run == first.run
    ]


def is_open(program: programs.Program, first: calls.Call) -> bool:
    """Tell whether a call or the run that it began goes on."""
    if first.run:
        return program.open_run == first.run
    return not first.is_final


def read_text(program: programs.Program, first: calls.Call) -> str:
    """Return the text that all answered model calls streamed."""
    return ''.join(
        call.message.content
        for call in list_steps(program, first)
        if call.message is not None and call.kind is records.CallKind.MODEL
    )


def make_final(
    program: programs.Program, first: calls.Call
) -> host.FinalAnswer | failures.Failure:
    """Return how a call or run that has ended ended."""
    end = program.run_ends.get(first.run) if first.run else None
    if end is not None:
        return failures.Failure(calls.parse_kind(end.error), end.reason)
    steps = list_steps(program, first)
    last = steps[-1]
    if last.message is None:
        return failures.Failure(
            calls.parse_kind(last.error), last.reason, last.retry_after
        )
    return host.FinalAnswer(
        offset=len(read_text(program, first)),
        number=first.number,
        text=last.message.content,
        tool_calls=tuple(
            {'id': one.id, 'name': one.name, 'arguments': one.arguments}
            for one in last.message.tool_calls
        ),
        finish_reason=last.finish_reason,
        usage=_sum_usage(steps),
    )


def _sum_usage(steps: typing.Sequence[calls.Call]) -> dict[str, int]:
    return {
        'tokens': sum(call.spent.tokens for call in steps),
        'calls': sum(call.spent.calls for call in steps),
    }
