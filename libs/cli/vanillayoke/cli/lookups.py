"""Commands about one program, wherever it runs."""

from vanillayoke.cli import access
from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import instances
from vanillayoke.cli import operators
from vanillayoke.cli import queries
from vanillayoke.core import failures

ARGUMENTS = ('PROGRAM',)
_ELSEWHERE = (
    failures.Kind.NOT_FOUND.value,
    failures.Kind.NOT_OWNER.value,
)


async def run_lookup(
    invocation: commands.Invocation, command: str, render: queries.Render
) -> int:
    """Ask the entry, then all instances, about a program; show it."""
    reached = access.read_access(invocation)
    if reached is None:
        return exits.Exit.BAD_INPUT
    arguments = {'program': invocation.arguments[0]}
    async with reached.open_client() as client:
        answer = await queries.ask_first(
            client, reached.entries, command, arguments
        )
        if _is_elsewhere(answer):
            answer = await _ask_others(
                client, reached, command, arguments, answer
            )
    if not isinstance(answer, dict):
        return queries.report_failure(invocation, answer)
    return queries.show_answer(invocation, answer, render)


def _is_elsewhere(reply: instances.Reply) -> bool:
    return isinstance(reply, operators.Refused) and reply.kind in _ELSEWHERE


async def _ask_others(
    client: operators.OperatorClient,
    reached: access.Access,
    command: str,
    arguments: dict[str, str],
    refused: operators.Refused,
) -> instances.Reply:
    """Return the owner's answer, else the most telling failure."""
    replies = await instances.ask_everywhere(
        client, reached, command, arguments
    )
    if not isinstance(replies, instances.Replies):
        return replies
    for answer in replies.answers.values():
        return answer
    # An instance that cannot be reached may be the program's owner, so
    # that its absence must not be reported as the program's.
    for failed in replies.failed:
        if not _is_elsewhere(failed):
            return failed
    return refused
