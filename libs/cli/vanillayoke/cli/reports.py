"""Messages about faults in settings and failures of the store."""

import typing

from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.core import failures
from vanillayoke.settings import faults

_STORE_KINDS = (
    failures.Kind.STORE_UNAVAILABLE,
    failures.Kind.STORE_UNCERTAIN,
)


def warn_of_faults(
    invocation: commands.Invocation, found: typing.Iterable[faults.Fault]
) -> None:
    """Write each fault on a line of its own."""
    for fault in found:
        invocation.warn(fault.describe())


def report_store_failure(
    invocation: commands.Invocation, failure: failures.Failure
) -> int:
    """Print a failure of the store; return the exit status."""
    invocation.warn(f'{failure.answer.text} ({failure.reason})')
    if failure.kind is failures.Kind.STORE_UNCERTAIN:
        invocation.warn(
            'The change may still have been accepted: check with diff.'
        )
    if failure.kind in _STORE_KINDS:
        return exits.Exit.NOT_REACHABLE
    return exits.Exit.FAILED
