"""Show the version of this program."""

from importlib import metadata

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import exits

ARGUMENTS = ()
SOURCE_VERSION = '0.1.0'


def add_flags(values: flags.FlagValues) -> None:
    """Define no flags."""


def run(invocation: commands.Invocation) -> int:
    """Show the version of the installed package or the source tree."""
    try:
        version = metadata.version('vanillayoke-cli')
    except metadata.PackageNotFoundError:
        version = SOURCE_VERSION
    invocation.print(f'vanillayoke {version}')
    return exits.Exit.OK
