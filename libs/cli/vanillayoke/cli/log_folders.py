"""Folders with the log files of all instances."""

import pathlib

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.core import request_logs


def read_folder(
    invocation: commands.Invocation, folder: pathlib.Path
) -> list[request_logs.LogLine] | None:
    """Return the lines of all files; ``None`` if it is not a folder.

    Warn of what can't be read.
    """
    if not folder.is_dir():
        invocation.warn(f'{folder} is not a folder.')
        return None
    lines = []
    for path in sorted(folder.iterdir()):
        if path.is_file():
            text = path.read_text(errors='replace')
            parsed = request_logs.parse_log(text.splitlines())
            lines += parsed.lines
            if parsed.unreadable:
                count = len(parsed.unreadable)
                noun = 'line' if count == 1 else 'lines'
                invocation.warn(
                    f'{path}: {count} {noun} could not be read, the first one '
                    f'is line {parsed.unreadable[0]}.'
                )
    return lines


def define_flag(values: flags.FlagValues, default: str, text: str) -> None:
    """Define the flag that names the folder."""
    flags.DEFINE_string('logs', default, text, flag_values=values)
