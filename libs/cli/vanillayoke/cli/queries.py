"""Commands that query one instance and show its response."""

import json
import typing

from absl import flags

from vanillayoke.cli import access
from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import operators

# Raised when a response from an instance of another release has a different
# format.
FORMAT_ERRORS = (KeyError, TypeError, AttributeError, ValueError)

Render = typing.Callable[[operators.Response], str]


class Query(typing.NamedTuple):
    """A command to send, and how to render the response as text."""

    command: str
    arguments: dict[str, str]
    render: Render


def add_flags(values: flags.FlagValues) -> None:
    """Define the flags of a command that queries an instance."""
    access.add_flags(values)
    add_json_flag(values)


def add_json_flag(values: flags.FlagValues) -> None:
    """Define the flag for JSON output."""
    flags.DEFINE_bool(
        'json', False, 'Write JSON for scripts.', flag_values=values
    )


async def run_query(invocation: commands.Invocation, query: Query) -> int:
    """Query the first reachable entry and show its response."""
    options = access.read_access(invocation)
    if options is None:
        return exits.Exit.BAD_INPUT
    async with options.open_client() as client:
        response = await query_first_reachable(
            client, options.entries, query.command, query.arguments
        )
    if not isinstance(response, dict):
        return report_failure(invocation, response)
    return show_response(invocation, response, query.render)


async def query_first_reachable(
    client: operators.OperatorClient,
    entries: typing.Sequence[str],
    command: str,
    arguments: dict[str, str],
) -> operators.Response | operators.Refused | operators.Unreachable:
    """Return the response or refusal of the first reachable entry.

    If none is reachable, return the failure of the last entry.
    """
    for entry in entries:
        response = await client.send_command(entry, command, arguments)
        if not isinstance(response, operators.Unreachable):
            return response
    return response


def report_failure(
    invocation: commands.Invocation,
    failed: operators.Refused | operators.Unreachable,
) -> int:
    """Print why a request failed; return the exit status."""
    match failed:
        case operators.Unreachable(address, reason):
            invocation.warn(f'{address} cannot be reached: {reason}')
            return exits.Exit.NOT_REACHABLE
        case operators.Refused(address, kind, text):
            invocation.warn(f'{address} refused: {kind}: {text}')
    if operators.is_bad_input(failed):
        return exits.Exit.BAD_INPUT
    return exits.Exit.FAILED


def show_response(
    invocation: commands.Invocation,
    response: operators.Response,
    render: Render,
) -> int:
    """Print a response as JSON or as rendered text."""
    if invocation.flags.json:
        invocation.print(json.dumps(response, ensure_ascii=False, indent=2))
        return exits.Exit.OK
    try:
        text = render(response)
    except FORMAT_ERRORS as error:
        return report_unexpected_format(invocation, error)
    invocation.print(text)
    return exits.Exit.OK


def report_failures(
    invocation: commands.Invocation,
    failed: typing.Iterable[operators.Refused | operators.Unreachable],
) -> int:
    """Print the failed requests; return the highest exit status."""
    statuses = [report_failure(invocation, failure) for failure in failed]
    return max(statuses, default=exits.Exit.OK)


def report_unexpected_format(
    invocation: commands.Invocation, error: Exception
) -> int:
    """Print that a response is malformed; return the exit status."""
    invocation.warn(f'Unexpected response format: {error!r}')
    return exits.Exit.FAILED
