"""Waiting until a configuration version is in force on all instances."""

import asyncio
import typing

from vanillayoke.cli import access
from vanillayoke.cli import instances
from vanillayoke.cli import operators

POLL_INTERVAL_SECONDS = 0.5


class Rollout(typing.NamedTuple):
    """The configuration version in force on each live instance.

    The version is 0 where it is not known.
    """

    versions: dict[str, int]

    def list_lagging(self, version: int) -> list[str]:
        """Return the names of the instances below a version."""
        return sorted(
            name
            for name, current in self.versions.items()
            if current < version
        )


async def read_rollout(
    client: operators.OperatorClient, options: access.AccessOptions
) -> Rollout | operators.Refused | operators.Unreachable:
    """Return the versions that live instances report.

    The version that an instance reports itself is used; for an instance
    without a known address, the highest version that others report.
    """
    live = await instances.find_instances(client, options)
    if not isinstance(live, instances.LiveInstances):
        return live
    versions = {
        name: row.get('config_version', 0) for name, row in live.rows.items()
    }
    names = {address: name for name, address in live.addresses.items()}
    outcomes = await instances.query_all(client, names, 'status', {})
    for address, status in outcomes.responses.items():
        for row in status.get('instances', ()):
            name, version = row['instance'], row.get('config_version', 0)
            if name in versions and name not in live.addresses:
                versions[name] = max(versions[name], version)
        versions[names[address]] = status.get('version', 0)
    return Rollout(versions)


async def wait_for_version(
    client: operators.OperatorClient,
    options: access.AccessOptions,
    version: int,
    wait_seconds: float,
) -> list[str] | operators.Refused | operators.Unreachable:
    """Wait until a version is in force everywhere.

    Return the names of the instances that have an older version after
    ``wait_seconds``, an empty list on success.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_seconds
    while True:
        rollout = await read_rollout(client, options)
        lagging = rollout
        if isinstance(rollout, Rollout):
            lagging = rollout.list_lagging(version)
            if rollout.versions and not lagging:
                return []
        elif _is_final(rollout):
            return rollout
        if loop.time() + POLL_INTERVAL_SECONDS > deadline:
            return lagging
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _is_final(
    failed: operators.Refused | operators.Unreachable,
) -> bool:
    return isinstance(failed, operators.Refused) and operators.is_bad_input(
        failed
    )
