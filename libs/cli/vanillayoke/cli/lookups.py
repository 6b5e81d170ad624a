"""Commands about one program, on whichever instance it runs."""

from vanillayoke.cli import access
from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import instances
from vanillayoke.cli import operators
from vanillayoke.cli import queries
from vanillayoke.core import failures

ARGUMENTS = ('PROGRAM',)
_NOT_OWNER_KINDS = (
    failures.Kind.NOT_FOUND.value,
    failures.Kind.NOT_OWNER.value,
)


async def run_lookup(
    invocation: commands.Invocation, command: str, render: queries.Render
) -> int:
    """Query the entry, then all instances, for a program."""
    options = access.read_access(invocation)
    if options is None:
        return exits.Exit.BAD_INPUT
    arguments = {'program': invocation.arguments[0]}
    async with options.open_client() as client:
        response = await queries.query_first_reachable(
            client, options.entries, command, arguments
        )
        if _is_not_owner(response):
            response = await _query_instances(
                client, options, command, arguments, response
            )
    if not isinstance(response, dict):
        return queries.report_failure(invocation, response)
    return queries.show_response(invocation, response, render)


def _is_not_owner(outcome: instances.Outcome) -> bool:
    return (
        isinstance(outcome, operators.Refused)
        and outcome.kind in _NOT_OWNER_KINDS
    )


async def _query_instances(
    client: operators.OperatorClient,
    options: access.AccessOptions,
    command: str,
    arguments: dict[str, str],
    refused: operators.Refused,
) -> instances.Outcome:
    """Return the owner's response.

    Without one, prefer a failure other than "not found" or "not owner".
    """
    outcomes = await instances.query_instances(
        client, options, command, arguments
    )
    if not isinstance(outcomes, instances.InstanceResponses):
        return outcomes
    for response in outcomes.responses.values():
        return response
    # An unreachable instance may own the program, so the program must not
    # be reported as not found.
    for failed in outcomes.failed:
        if not _is_not_owner(failed):
            return failed
    return refused
