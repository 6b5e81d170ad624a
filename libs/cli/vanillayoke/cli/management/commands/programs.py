"""List the programs of all instances and what they wait for."""

import typing

from absl import flags

from vanillayoke.cli import access
from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import instances
from vanillayoke.cli import operators
from vanillayoke.cli import queries
from vanillayoke.cli import tables

ARGUMENTS = ()
_COLUMNS = ('program', 'client', 'agent', 'state', 'calls', 'waiting_for')


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_flags(values)
    flags.DEFINE_string(
        'client', '', 'Only programs of this client.', flag_values=values
    )
    flags.DEFINE_string(
        'state', '', 'Only programs in this state.', flag_values=values
    )


async def run(invocation: commands.Invocation) -> int:
    """Query all instances for their programs and merge the responses."""
    options = access.read_access(invocation)
    if options is None:
        return exits.Exit.BAD_INPUT
    async with options.open_client() as client:
        outcomes = await instances.query_instances(
            client, options, 'programs', {}
        )
    if not isinstance(outcomes, instances.InstanceResponses):
        return queries.report_failure(invocation, outcomes)
    merged = merge_programs(outcomes.responses.values())
    response = {'programs': list(_select(invocation, merged))}
    shown = queries.show_response(invocation, response, _format)
    return max(shown, queries.report_failures(invocation, outcomes.failed))


def merge_programs(
    responses: typing.Iterable[operators.Response],
) -> list[dict[str, typing.Any]]:
    """Return each program once, sorted by id."""
    rows = {
        row['program']: row
        for response in responses
        for row in response.get('programs', ())
    }
    return [rows[program] for program in sorted(rows)]


def _select(
    invocation: commands.Invocation,
    rows: typing.Iterable[dict[str, typing.Any]],
) -> typing.Iterator[dict[str, typing.Any]]:
    client, state = invocation.flags.client, invocation.flags.state
    for row in rows:
        if client in ('', row.get('client')) and state in (
            '',
            row.get('state'),
        ):
            yield row


def _format(response: operators.Response) -> str:
    return tables.format_records(_COLUMNS, response['programs'])
