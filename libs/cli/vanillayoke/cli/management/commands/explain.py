"""Explain why a program's calls ran where they did."""

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import lookups
from vanillayoke.cli import operators
from vanillayoke.cli import queries
from vanillayoke.cli import tables

ARGUMENTS = lookups.ARGUMENTS
_WEIGHED = ('target', 'cost', 'cached', 'reason')


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_flags(values)


async def run(invocation: commands.Invocation) -> int:
    """Ask why targets were chosen."""
    return await lookups.run_lookup(invocation, 'explain', format_explanation)


def format_explanation(answer: operators.Answer) -> str:
    """Return placements for people, the chosen target first."""
    parts = [f'Program: {answer["program"]}']
    for placement in answer['placements']:
        title = f'Call {placement["call"]} ran on {placement["target"]}.'
        table = tables.format_records(_WEIGHED, placement['weighed'])
        parts += ['', title, table]
    return '\n'.join(parts)
