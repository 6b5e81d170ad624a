"""Check a settings folder and report every fault."""

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import reports
from vanillayoke.settings import faults
from vanillayoke.settings import loading

ARGUMENTS = ('FOLDER',)


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    flags.DEFINE_bool(
        'strict',
        False,
        'Treat warnings as errors.',
        flag_values=values,
    )


def run(invocation: commands.Invocation) -> int:
    """Report all faults of a folder."""
    loaded = loading.load_configuration(invocation.arguments[0])
    reports.warn_of_faults(invocation, loaded.faults)
    warnings = sum(fault.is_warning for fault in loaded.faults)
    errors = len(loaded.faults) - warnings
    invocation.print(f'Faults: {errors}. Warnings: {warnings}.')
    strict = invocation.flags.strict
    if faults.has_errors(loaded.faults) or (strict and warnings):
        return exits.Exit.BAD_INPUT
    return exits.Exit.OK
