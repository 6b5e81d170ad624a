"""Show one program: its steps, its budget and why it waits."""

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import lookups
from vanillayoke.cli import operators
from vanillayoke.cli import queries
from vanillayoke.cli import tables

ARGUMENTS = lookups.ARGUMENTS
_STEPS = ('number', 'kind', 'name', 'state', 'target', 'error')


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_flags(values)


async def run(invocation: commands.Invocation) -> int:
    """Ask for one program."""
    return await lookups.run_lookup(invocation, 'program', format_program)


def format_program(answer: operators.Answer) -> str:
    """Return a program for people."""
    budget, spent = answer['budget'], answer['spent']
    rows = [(name, spent.get(name), budget[name]) for name in budget]
    parts = [
        f'Program: {answer["program"]}',
        f'Waiting for: {answer.get("waiting_for") or "-"}',
        '',
        tables.format_table(('BUDGET', 'SPENT', 'LIMIT'), rows),
        '',
        tables.format_records(_STEPS, answer['steps']),
    ]
    return '\n'.join(parts)
