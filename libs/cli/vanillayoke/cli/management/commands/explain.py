"""Explain what became of a program, from an instance or from log files."""

import pathlib

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import lookups
from vanillayoke.cli import operators
from vanillayoke.cli import queries
from vanillayoke.cli import tables
from vanillayoke.core import request_logs

ARGUMENTS = lookups.ARGUMENTS
_WEIGHED = ('target', 'cost', 'cached', 'reason')


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_flags(values)
    flags.DEFINE_string(
        'logs',
        '',
        'A folder with the log files of all instances: tells the story of '
        'one request or program from them and asks no instance.',
        flag_values=values,
    )


async def run(invocation: commands.Invocation) -> int:
    """Tell a story from logs, or ask why targets were chosen."""
    if invocation.flags.logs:
        return _tell(invocation)
    return await lookups.run_lookup(invocation, 'explain', format_explanation)


def _tell(invocation: commands.Invocation) -> int:
    folder = pathlib.Path(invocation.flags.logs)
    if not folder.is_dir():
        invocation.warn(f'{folder} is no folder.')
        return exits.Exit.BAD_INPUT
    lines = []
    for path in sorted(folder.iterdir()):
        if path.is_file():
            text = path.read_text(errors='replace')
            lines += request_logs.parse_lines(text.splitlines())
    [wanted] = invocation.arguments
    story = request_logs.select_lines(lines, wanted)
    if not story:
        invocation.warn(f'No line in {folder} names {wanted}.')
        return exits.Exit.FAILED
    for text in request_logs.format_lines(story):
        invocation.print(text)
    return exits.Exit.OK


def format_explanation(answer: operators.Answer) -> str:
    """Return placements for people, the chosen target first."""
    parts = [f'Program: {answer["program"]}']
    for placement in answer['placements']:
        title = f'Call {placement["call"]} ran on {placement["target"]}.'
        table = tables.format_records(_WEIGHED, placement['weighed'])
        parts += ['', title, table]
    return '\n'.join(parts)
