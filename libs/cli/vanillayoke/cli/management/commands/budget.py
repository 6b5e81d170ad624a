"""Add up a program's budget from the log files of all instances."""

import pathlib

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import log_folders
from vanillayoke.core import budget_logs

ARGUMENTS = ('PROGRAM',)


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    log_folders.define_flag(
        values, '.', 'The folder with the log files of all instances.'
    )


def run(invocation: commands.Invocation) -> int:
    """Show each change of the program's accounts, and their sum."""
    folder = pathlib.Path(invocation.flags.logs)
    lines = log_folders.read_folder(invocation, folder)
    if lines is None:
        return exits.Exit.BAD_INPUT
    [program] = invocation.arguments
    changes = budget_logs.select_changes(lines, program)
    if not changes:
        invocation.warn(f'No log line in {folder} counts tokens of {program}.')
        return exits.Exit.FAILED
    for text in budget_logs.format_account(changes):
        invocation.print(text)
    return exits.Exit.OK
