"""Run one instance on a platform that stores all state, until stopped."""

from absl import flags

from vanillayoke.cli import commands

ARGUMENTS = ()


def add_flags(values: flags.FlagValues) -> None:
    """Define no flags; all settings come from the platform."""


def run(invocation: commands.Invocation) -> int:
    """Run the instance that the platform's settings describe."""
    # Imported here, as the other commands do not need the server.
    from vanillayoke.adapter import process

    return process.run()
