"""Ask an instance to stop gracefully."""

from absl import flags

from vanillayoke.cli import access
from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import instances
from vanillayoke.cli import operators
from vanillayoke.cli import queries
from vanillayoke.cli import tables

ARGUMENTS = ('INSTANCE',)


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_flags(values)


async def run(invocation: commands.Invocation) -> int:
    """Find the instance's address and ask it to drain."""
    reached = access.read_access(invocation)
    if reached is None:
        return exits.Exit.BAD_INPUT
    name = invocation.arguments[0]
    async with reached.open_client() as client:
        known = await instances.find_instances(client, reached)
        if not isinstance(known, instances.Known):
            return queries.report_failure(invocation, known)
        address = known.addresses.get(name)
        if address is None:
            invocation.warn(
                f'No live instance "{name}" has a known address; known: '
                f'{", ".join(sorted(known.addresses)) or "none"}.'
            )
            return exits.Exit.BAD_INPUT
        # The name goes along, so that an instance which has taken over the
        # address meanwhile refuses instead of stopping.
        answer = await client.ask(address, 'drain', {'instance': name})
    if not isinstance(answer, dict):
        return queries.report_failure(invocation, answer)
    return queries.show_answer(invocation, answer, _format)


def _format(answer: operators.Answer) -> str:
    return tables.format_fields(answer) or 'The instance is draining.'
