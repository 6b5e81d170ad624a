"""Show instances, targets, configuration version and store state."""

import typing

from absl import flags

from vanillayoke.cli import access
from vanillayoke.cli import answers
from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import instances
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
    """Ask an instance for the whole, and each for what only it knows."""
    reached = access.read_access(invocation)
    if reached is None:
        return exits.Exit.BAD_INPUT
    async with reached.open_client() as client:
        first = await queries.ask_first(client, reached.entries, 'status', {})
        if not isinstance(first, dict):
            return queries.report_failure(invocation, first)
        replies = await instances.ask_everywhere(client, reached, 'status', {})
    if not isinstance(replies, instances.Replies):
        return queries.report_failure(invocation, replies)
    merged = merge_statuses(first, replies.answers.values())
    shown = queries.show_answer(invocation, merged, format_status)
    return max(shown, queries.report_failures(invocation, replies.failed))


def merge_statuses(
    first: answers.Status, others: typing.Iterable[answers.Status]
) -> answers.Status:
    """Return one instance's view, with what the others say of themselves.

    Only an instance itself gives its configuration version, shards and
    programs.
    """
    rows = {row['instance']: row for row in first['instances']}
    for other in others:
        for row in other['instances']:
            if 'config_version' in row:
                rows[row['instance']] = row
    return {**first, 'instances': [rows[name] for name in sorted(rows)]}


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
