"""Choice of the instances that callers connect to."""

import typing

from vanillayoke.cluster import messages as cluster_messages

# Callers accept no more addresses.
MAX_ADDRESSES = 64
# With fewer local addresses those of other zones are added. Traffic between
# zones costs, and after a failure at least two should be left.
MIN_LOCAL_ADDRESSES = 3
# How long callers may cache the addresses. They leave a stopping instance only
# when they resolve again.
TTL_SECONDS = 1.0


def choose_addresses(
    members: typing.Sequence[cluster_messages.Member],
    region: str,
    zone: str,
    shuffle: typing.Callable[[list], None],
) -> list[str]:
    """Return the addresses for a caller, those of its own zone first."""
    groups: list[list[str]] = [[], [], []]
    for member in members:
        distance = 2
        if member.zone == zone:
            distance = 0
        elif member.region == region:
            distance = 1
        groups[distance].append(member.entry_address)
    addresses: list[str] = []
    for group in groups:
        if len(addresses) >= MIN_LOCAL_ADDRESSES:
            break
        shuffle(group)
        addresses += group
    return addresses[:MAX_ADDRESSES]
