"""How faults in settings are shown."""

import typing

from vanillayoke.cli import commands
from vanillayoke.settings import faults


def warn_of_faults(
    invocation: commands.Invocation, found: typing.Iterable[faults.Fault]
) -> None:
    """Write each fault on a line of its own."""
    for fault in found:
        invocation.warn(fault.describe())
