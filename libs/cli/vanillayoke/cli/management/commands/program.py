"""Show one program: its steps, its budget and what it waits for."""

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import lookups
from vanillayoke.cli import operators
from vanillayoke.cli import queries
from vanillayoke.cli import tables

ARGUMENTS = lookups.ARGUMENTS
_STEP_COLUMNS = ('number', 'kind', 'name', 'state', 'target', 'error')


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_flags(values)


async def run(invocation: commands.Invocation) -> int:
    """Query one program."""
    return await lookups.run_lookup(invocation, 'program', format_program)


def format_program(response: operators.Response) -> str:
    """Return a program as text."""
    budget, spent = response['budget'], response['spent']
    rows = [(name, spent.get(name), budget[name]) for name in budget]
    parts = [
        f'Program: {response["program"]}',
        f'Waiting for: {response.get("waiting_for") or "-"}',
        '',
        tables.format_table(('BUDGET', 'SPENT', 'LIMIT'), rows),
        '',
        tables.format_records(_STEP_COLUMNS, response['steps']),
    ]
    return '\n'.join(parts)
