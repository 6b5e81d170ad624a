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
    """Look up the address of the instance and send it a drain request."""
    options = access.read_access(invocation)
    if options is None:
        return exits.Exit.BAD_INPUT
    name = invocation.arguments[0]
    async with options.open_client() as client:
        live = await instances.find_instances(client, options)
        if not isinstance(live, instances.LiveInstances):
            return queries.report_failure(invocation, live)
        address = live.addresses.get(name)
        if address is None:
            invocation.warn(
                f'No live instance "{name}" has a known address; known: '
                f'{", ".join(sorted(live.addresses)) or "none"}.'
            )
            return exits.Exit.BAD_INPUT
        # With the name, an instance that has since taken over the address
        # refuses the request instead of stopping.
        response = await client.send_command(
            address, 'drain', {'instance': name}
        )
    if not isinstance(response, dict):
        return queries.report_failure(invocation, response)
    return queries.show_response(invocation, response, _format)


def _format(response: operators.Response) -> str:
    return tables.format_fields(response) or 'The instance is draining.'
