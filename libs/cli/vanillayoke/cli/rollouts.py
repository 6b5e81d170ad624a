"""Waiting until a configuration version is in force on all instances."""

import asyncio
import typing

from vanillayoke.cli import access
from vanillayoke.cli import instances
from vanillayoke.cli import operators

POLL_INTERVAL = 0.5


class Rollout(typing.NamedTuple):
    """Which version each live instance has in force.

    An instance that never answered has version 0.
    """

    versions: dict[str, int]

    def list_lagging(self, version: int) -> list[str]:
        """Return the instances below a version."""
        return sorted(
            name for name, had in self.versions.items() if had < version
        )


async def read_rollout(
    client: operators.OperatorClient, reached: access.Access
) -> Rollout | operators.Refused | operators.Unreachable:
    """Return the versions that live instances report.

    An instance's own word counts; of one that cannot be asked, the highest
    version that others have heard of it.
    """
    known = await instances.find_instances(client, reached)
    if not isinstance(known, instances.Known):
        return known
    heard = {
        name: row.get('config_version', 0) for name, row in known.rows.items()
    }
    names = {address: name for name, address in known.addresses.items()}
    replies = await instances.ask_all(client, names, 'status', {})
    for address, status in replies.answers.items():
        for row in status.get('instances', ()):
            name, version = row['instance'], row.get('config_version', 0)
            if name in heard and name not in known.addresses:
                heard[name] = max(heard[name], version)
        heard[names[address]] = status.get('version', 0)
    return Rollout(heard)


async def wait_for_version(
    client: operators.OperatorClient,
    reached: access.Access,
    version: int,
    wait_seconds: float,
) -> list[str] | operators.Refused | operators.Unreachable:
    """Wait until a version is in force everywhere.

    Return the instances that lag after ``wait_seconds``, empty on
    success.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_seconds
    while True:
        rollout = await read_rollout(client, reached)
        lagging = rollout
        if isinstance(rollout, Rollout):
            lagging = rollout.list_lagging(version)
            if rollout.versions and not lagging:
                return []
        elif _is_final(rollout):
            return rollout
        if loop.time() + POLL_INTERVAL > deadline:
            return lagging
        await asyncio.sleep(POLL_INTERVAL)


def _is_final(
    failed: operators.Refused | operators.Unreachable,
) -> bool:
    return isinstance(failed, operators.Refused) and operators.is_bad_input(
        failed
    )
