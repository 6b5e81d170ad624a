"""Finding all instances and asking each of them."""

import asyncio
import typing

from vanillayoke.cli import access
from vanillayoke.cli import answers
from vanillayoke.cli import operators

# States of instances that have gone; nobody waits for these.
GONE_STATES = frozenset(('failed', 'left'))
_LARGEST_FAN_OUT = 16

Reply = operators.Answer | operators.Refused | operators.Unreachable


class Replies(typing.NamedTuple):
    """What the instances said, by address."""

    answers: dict[str, operators.Answer]
    failed: tuple[operators.Refused | operators.Unreachable, ...]


class Known(typing.NamedTuple):
    """Live instances by name, with their addresses where known."""

    addresses: dict[str, str]
    rows: dict[str, answers.InstanceRow]


async def find_instances(
    client: operators.OperatorClient, reached: access.Access
) -> Known | operators.Refused | operators.Unreachable:
    """Return all instances that the first entry to answer knows of."""
    failed: Reply | None = None
    for entry in reached.entries:
        status = await client.ask(entry, 'status', {})
        if isinstance(status, dict):
            listed = await client.list_addresses(entry)
            return _read_known(status, listed)
        failed = status
    return failed


def _read_known(status: operators.Answer, listed: Reply) -> Known:
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
    if isinstance(listed, dict):
        for row in listed.get('addresses', ()):
            addresses[row['instance']] = row['address']
    return Known(addresses, rows)


async def ask_all(
    client: operators.OperatorClient,
    addresses: typing.Iterable[str],
    command: str,
    arguments: dict[str, str],
) -> Replies:
    """Ask several instances at once."""
    limit = asyncio.Semaphore(_LARGEST_FAN_OUT)

    async def ask(address: str) -> Reply:
        async with limit:
            return await client.ask(address, command, arguments)

    asked = list(dict.fromkeys(addresses))
    replies = await asyncio.gather(*map(ask, asked))
    pairs = list(zip(asked, replies, strict=True))
    return Replies(
        {name: reply for name, reply in pairs if isinstance(reply, dict)},
        tuple(reply for reply in replies if not isinstance(reply, dict)),
    )


async def ask_everywhere(
    client: operators.OperatorClient,
    reached: access.Access,
    command: str,
    arguments: dict[str, str],
) -> Replies | operators.Refused | operators.Unreachable:
    """Ask all instances that the entries lead to."""
    known = await find_instances(client, reached)
    if not isinstance(known, Known):
        return known
    addresses = known.addresses.values() or reached.entries
    return await ask_all(client, addresses, command, arguments)
