"""Show a folder's merged settings and the origin of each value."""

import json
import os

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import queries
from vanillayoke.cli import reports
from vanillayoke.settings import differences
from vanillayoke.settings import faults
from vanillayoke.settings import loading
from vanillayoke.settings import origins
from vanillayoke.settings import sources

ARGUMENTS = ('FOLDER',)


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_json_flag(values)


def run(invocation: commands.Invocation) -> int:
    """Show the merged settings of a folder, even if it has faults."""
    loaded = loading.load_configuration(invocation.arguments[0])
    reports.warn_of_faults(invocation, loaded.faults)
    found = origins.list_origins(loaded.tree)
    if invocation.flags.json:
        _show_json(invocation, loaded.tree, found)
    else:
        _show_lines(invocation, found)
    if faults.has_errors(loaded.faults):
        return exits.Exit.BAD_INPUT
    return exits.Exit.OK


def _show_lines(
    invocation: commands.Invocation, found: list[origins.Origin]
) -> None:
    for origin in found:
        path = faults.format_path(origin.path)
        value = differences.format_value(origin.value)
        invocation.print(f'{path} = {value}  // {_format_place(origin)}')


def _show_json(
    invocation: commands.Invocation,
    tree: sources.MapNode,
    found: list[origins.Origin],
) -> None:
    places = {
        faults.format_path(origin.path): _format_place(origin)
        for origin in found
    }
    merged = sources.to_builtins(tree)
    document = {'settings': merged, 'origins': places}
    invocation.print(json.dumps(document, ensure_ascii=False, indent=2))


def _format_place(origin: origins.Origin) -> str:
    place = origin.place
    return f'{os.path.basename(place.file)}:{place.line}'
