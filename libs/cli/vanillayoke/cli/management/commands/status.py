"""Show instances, targets, configuration version and store state."""

import typing

from absl import flags

from vanillayoke.cli import access
from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import instances
from vanillayoke.cli import queries
from vanillayoke.cli import responses
from vanillayoke.cli import tables

ARGUMENTS = ()
_INSTANCE_COLUMNS = (
    'instance',
    'zone',
    'state',
    'config_version',
    'shards',
    'programs',
)
_TARGET_COLUMNS = ('target', 'kind', 'state', 'running', 'waiting', 'leaving')


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_flags(values)


async def run(invocation: commands.Invocation) -> int:
    """Query one instance for the overview and all for their own rows."""
    options = access.read_access(invocation)
    if options is None:
        return exits.Exit.BAD_INPUT
    async with options.open_client() as client:
        first = await queries.query_first_reachable(
            client, options.entries, 'status', {}
        )
        if not isinstance(first, dict):
            return queries.report_failure(invocation, first)
        outcomes = await instances.query_instances(
            client, options, 'status', {}
        )
    if not isinstance(outcomes, instances.InstanceResponses):
        return queries.report_failure(invocation, outcomes)
    merged = merge_statuses(first, outcomes.responses.values())
    shown = queries.show_response(invocation, merged, format_status)
    return max(shown, queries.report_failures(invocation, outcomes.failed))


def merge_statuses(
    first: responses.Status, others: typing.Iterable[responses.Status]
) -> responses.Status:
    """Return the first status with the rows that instances give of themselves.

    Only the row of an instance in its own response has its configuration
    version, shards and programs.
    """
    rows = {row['instance']: row for row in first['instances']}
    for other in others:
        for row in other['instances']:
            if 'config_version' in row:
                rows[row['instance']] = row
    return {**first, 'instances': [rows[name] for name in sorted(rows)]}


def format_status(response: responses.Status) -> str:
    """Return the status as text."""
    parts = [
        f'Configuration version: {response["version"]}',
        f'Store: {_format_store(response.get("store", {}))}',
        '',
        tables.format_records(_INSTANCE_COLUMNS, response['instances']),
        '',
        tables.format_records(_TARGET_COLUMNS, response['targets']),
    ]
    return '\n'.join(parts)


def _format_store(store: dict[str, typing.Any]) -> str:
    return tables.format_fields(store).replace('\n', ', ') or '-'
