"""Show instances, targets, configuration version and store state."""

import typing

from absl import flags

from vanillayoke.cli import answers
from vanillayoke.cli import commands
from vanillayoke.cli import queries
from vanillayoke.cli import tables

ARGUMENTS = ()
_INSTANCES = (
    'instance',
    'zone',
    'state',
    'config_version',
    'shards',
    'programs',
)
_TARGETS = ('target', 'kind', 'state', 'running', 'waiting', 'leaving')


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_flags(values)


async def run(invocation: commands.Invocation) -> int:
    """Ask an instance what it knows of all."""
    query = queries.Query('status', {}, format_status)
    return await queries.run_query(invocation, query)


def format_status(answer: answers.Status) -> str:
    """Return the status for people."""
    parts = [
        f'Configuration version: {answer["version"]}',
        f'Store: {_format_store(answer.get("store", {}))}',
        '',
        tables.format_records(_INSTANCES, answer['instances']),
        '',
        tables.format_records(_TARGETS, answer['targets']),
    ]
    return '\n'.join(parts)


def _format_store(store: dict[str, typing.Any]) -> str:
    return tables.format_fields(store).replace('\n', ', ') or '-'
