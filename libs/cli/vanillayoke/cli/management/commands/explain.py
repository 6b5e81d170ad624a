"""Explain how a program was handled, from an instance or from log files."""

import pathlib

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import log_folders
from vanillayoke.cli import lookups
from vanillayoke.cli import operators
from vanillayoke.cli import queries
from vanillayoke.cli import tables
from vanillayoke.core import request_logs

ARGUMENTS = lookups.ARGUMENTS
_PLACEMENT_COLUMNS = ('target', 'cost', 'cached', 'reason')


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_flags(values)
    log_folders.define_flag(
        values,
        '',
        'A folder with the log files of all instances: shows their lines '
        'about one request or program and queries no instance.',
    )


async def run(invocation: commands.Invocation) -> int:
    """Show matching log lines, or query why targets were chosen."""
    if invocation.flags.logs:
        return _explain_from_logs(invocation)
    return await lookups.run_lookup(invocation, 'explain', format_explanation)


def _explain_from_logs(invocation: commands.Invocation) -> int:
    folder = pathlib.Path(invocation.flags.logs)
    lines = log_folders.read_folder(invocation, folder)
    if lines is None:
        return exits.Exit.BAD_INPUT
    [identifier] = invocation.arguments
    matching_lines = request_logs.select_lines(lines, identifier)
    if not matching_lines:
        invocation.warn(f'No log line in {folder} mentions {identifier}.')
        return exits.Exit.FAILED
    for text in request_logs.format_lines(matching_lines):
        invocation.print(text)
    return exits.Exit.OK


def format_explanation(response: operators.Response) -> str:
    """Return placements as text, each with a table of its candidates."""
    parts = [f'Program: {response["program"]}']
    for placement in response['placements']:
        title = f'Call {placement["call"]} ran on {placement["target"]}.'
        table = tables.format_records(_PLACEMENT_COLUMNS, placement['weighed'])
        parts += ['', title, table]
    return '\n'.join(parts)
