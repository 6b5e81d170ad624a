"""Write the JSON Schema of settings files, for editors."""

import json

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.settings import schema

ARGUMENTS = ()
_SCHEMA_FACTORIES = {
    'folder': schema.make_folder_schema,
    'process': schema.make_process_schema,
}


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    flags.DEFINE_enum(
        'kind',
        'folder',
        list(_SCHEMA_FACTORIES),
        'Kind of files: those of a settings folder or process settings.',
        flag_values=values,
    )


def run(invocation: commands.Invocation) -> int:
    """Write a schema."""
    schema_document = _SCHEMA_FACTORIES[invocation.flags.kind]()
    invocation.print(json.dumps(schema_document, indent=2))
    return exits.Exit.OK
