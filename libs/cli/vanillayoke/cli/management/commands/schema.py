"""Write the JSON Schema of settings files, for editors."""

import json

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.settings import schema

ARGUMENTS = ()
_MAKERS = {
    'folder': schema.make_folder_schema,
    'process': schema.make_process_schema,
}


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    flags.DEFINE_enum(
        'kind',
        'folder',
        list(_MAKERS),
        'Which files: those of a settings folder or process settings.',
        flag_values=values,
    )


def run(invocation: commands.Invocation) -> int:
    """Write a schema."""
    made = _MAKERS[invocation.flags.kind]()
    invocation.print(json.dumps(made, indent=2))
    return exits.Exit.OK
