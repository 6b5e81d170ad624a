"""Commands that ask one instance and show its answer."""

import json
import typing

from absl import flags

from vanillayoke.cli import access
from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import operators

# What reading an answer raises where an instance of another release gives
# it in another shape.
SHAPE_ERRORS = (KeyError, TypeError, AttributeError, ValueError)

Render = typing.Callable[[operators.Answer], str]


class Query(typing.NamedTuple):
    """What to ask and how to show the answer to people."""

    command: str
    arguments: dict[str, str]
    render: Render


def add_flags(values: flags.FlagValues) -> None:
    """Define the flags of a command that asks an instance."""
    access.add_flags(values)
    add_json_flag(values)


def add_json_flag(values: flags.FlagValues) -> None:
    """Define the flag for output to scripts."""
    flags.DEFINE_bool(
        'json', False, 'Write JSON for scripts.', flag_values=values
    )


async def run_query(invocation: commands.Invocation, query: Query) -> int:
    """Ask the first instance that answers and show what it says."""
    reached = access.read_access(invocation)
    if reached is None:
        return exits.Exit.BAD_INPUT
    async with reached.open_client() as client:
        answer = await ask_first(
            client, reached.entries, query.command, query.arguments
        )
    if not isinstance(answer, dict):
        return report_failure(invocation, answer)
    return show_answer(invocation, answer, query.render)


async def ask_first(
    client: operators.OperatorClient,
    entries: typing.Sequence[str],
    command: str,
    arguments: dict[str, str],
) -> operators.Answer | operators.Refused | operators.Unreachable:
    """Return the answer of the first entry that can be reached."""
    for entry in entries:
        answer = await client.ask(entry, command, arguments)
        if not isinstance(answer, operators.Unreachable):
            return answer
    return answer


def report_failure(
    invocation: commands.Invocation,
    failed: operators.Refused | operators.Unreachable,
) -> int:
    """Say why there is no answer; return the exit status."""
    match failed:
        case operators.Unreachable(address, reason):
            invocation.warn(f'{address} cannot be reached: {reason}')
            return exits.Exit.NOT_REACHABLE
        case operators.Refused(address, kind, text):
            invocation.warn(f'{address} refused: {kind}: {text}')
    if operators.is_bad_input(failed):
        return exits.Exit.BAD_INPUT
    return exits.Exit.FAILED


def show_answer(
    invocation: commands.Invocation, answer: operators.Answer, render: Render
) -> int:
    """Write an answer as JSON or for people."""
    if invocation.flags.json:
        invocation.print(json.dumps(answer, ensure_ascii=False, indent=2))
        return exits.Exit.OK
    try:
        text = render(answer)
    except SHAPE_ERRORS as error:
        return report_shape(invocation, error)
    invocation.print(text)
    return exits.Exit.OK


def report_failures(
    invocation: commands.Invocation,
    failed: typing.Iterable[operators.Refused | operators.Unreachable],
) -> int:
    """Say what is missing from a merged answer; return the exit status."""
    statuses = [report_failure(invocation, one) for one in failed]
    return max(statuses, default=exits.Exit.OK)


def report_shape(invocation: commands.Invocation, error: Exception) -> int:
    """Say that an answer is not understood; return the exit status."""
    invocation.warn(f'The answer is not understood: {error!r}')
    return exits.Exit.FAILED
