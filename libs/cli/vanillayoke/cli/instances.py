"""Discovery of all instances and requests to each of them."""

import asyncio
import typing

from vanillayoke.cli import access
from vanillayoke.cli import operators
from vanillayoke.cli import responses

# Instances in these states no longer run and get no requests.
GONE_STATES = frozenset(('failed', 'left'))
_MAX_FAN_OUT = 16

Outcome = operators.Response | operators.Refused | operators.Unreachable


class InstanceResponses(typing.NamedTuple):
    """Responses by address, and the requests that failed."""

    responses: dict[str, operators.Response]
    failed: tuple[operators.Refused | operators.Unreachable, ...]


class LiveInstances(typing.NamedTuple):
    """Live instances: their addresses, where known, and rows, by name."""

    addresses: dict[str, str]
    rows: dict[str, responses.InstanceRow]


async def find_instances(
    client: operators.OperatorClient, options: access.AccessOptions
) -> LiveInstances | operators.Refused | operators.Unreachable:
    """Return the live instances that the first responding entry lists."""
    failed: Outcome | None = None
    for entry in options.entries:
        status = await client.send_command(entry, 'status', {})
        if isinstance(status, dict):
            address_list = await client.list_addresses(entry)
            return _read_live(status, address_list)
        failed = status
    return failed


def _read_live(
    status: operators.Response, address_list: Outcome
) -> LiveInstances:
    rows = {
        row['instance']: row
        for row in status.get('instances', ())
        if row.get('state') not in GONE_STATES
    }
    addresses = {
        name: row['address']
        for name, row in rows.items()
        if row.get('address')
    }
    if isinstance(address_list, dict):
        for row in address_list.get('addresses', ()):
            addresses[row['instance']] = row['address']
    return LiveInstances(addresses, rows)


async def query_all(
    client: operators.OperatorClient,
    addresses: typing.Iterable[str],
    command: str,
    arguments: dict[str, str],
) -> InstanceResponses:
    """Send a command to several instances concurrently."""
    limit = asyncio.Semaphore(_MAX_FAN_OUT)

    async def send(address: str) -> Outcome:
        async with limit:
            return await client.send_command(address, command, arguments)

    unique = list(dict.fromkeys(addresses))
    outcomes = await asyncio.gather(*map(send, unique))
    pairs = list(zip(unique, outcomes, strict=True))
    return InstanceResponses(
        {
            name: outcome
            for name, outcome in pairs
            if isinstance(outcome, dict)
        },
        tuple(
            outcome for outcome in outcomes if not isinstance(outcome, dict)
        ),
    )


async def query_instances(
    client: operators.OperatorClient,
    options: access.AccessOptions,
    command: str,
    arguments: dict[str, str],
) -> InstanceResponses | operators.Refused | operators.Unreachable:
    """Send a command to all live instances.

    Falls back to the entries where no instance has a known address.
    """
    live = await find_instances(client, options)
    if not isinstance(live, LiveInstances):
        return live
    addresses = live.addresses.values() or options.entries
    return await query_all(client, addresses, command, arguments)
