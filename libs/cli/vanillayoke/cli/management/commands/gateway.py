"""Run one instance on a platform that keeps all state, until told to stop."""

from absl import flags

from vanillayoke.cli import commands

ARGUMENTS = ()


def add_flags(values: flags.FlagValues) -> None:
    """This command takes its settings from the platform alone."""


def run(invocation: commands.Invocation) -> int:
    """Run the instance that the platform's settings describe."""
    # Imported late: the other commands need no server.
    from vanillayoke.adapter import process

    return process.run()
