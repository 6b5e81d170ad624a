"""List the programs of all instances, with why they wait."""

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
    """Ask all instances for programs and merge what they say."""
    reached = access.read_access(invocation)
    if reached is None:
        return exits.Exit.BAD_INPUT
    async with reached.open_client() as client:
        replies = await instances.ask_everywhere(
            client, reached, 'programs', {}
        )
    if not isinstance(replies, instances.Replies):
        return queries.report_failure(invocation, replies)
    merged = merge_programs(replies.answers.values())
    answer = {'programs': list(_select(invocation, merged))}
    shown = queries.show_answer(invocation, answer, _format)
    return max(shown, queries.report_failures(invocation, replies.failed))


def merge_programs(
    answers: typing.Iterable[operators.Answer],
) -> list[dict[str, typing.Any]]:
    """Return each program once, in the order of the ids."""
    found = {
        row['program']: row
        for answer in answers
        for row in answer.get('programs', ())
    }
    return [found[program] for program in sorted(found)]


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


def _format(answer: operators.Answer) -> str:
    return tables.format_records(_COLUMNS, answer['programs'])
