"""Run one instance until it is stopped."""

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import reports
from vanillayoke.settings import loading

ARGUMENTS = ()


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    flags.DEFINE_string(
        'settings',
        '',
        'The process settings file, JSON with comments.',
        flag_values=values,
    )


def run(invocation: commands.Invocation) -> int:
    """Check the settings and run the instance."""
    if not invocation.flags.settings:
        invocation.warn('Give --settings=FILE.')
        return exits.Exit.BAD_INPUT
    loaded = loading.inspect_process_settings(invocation.flags.settings)
    reports.warn_of_faults(invocation, loaded.faults)
    if loaded.settings is None:
        return exits.Exit.BAD_INPUT
    # Imported here, as the other commands do not need the server.
    from vanillayoke.node import process

    return process.run(loaded.settings)
