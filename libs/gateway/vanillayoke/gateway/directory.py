"""Which instances callers are told to connect to."""

import typing

from vanillayoke.cluster import messages as cluster_messages

# Callers take at most so many addresses.
MAX_ADDRESSES = 64
# Instances of the caller's own zone are named alone if there are so many:
# bytes between zones cost, and three leave two when one fails.
ENOUGH_NEAR = 3
# How long callers may keep an answer. Short: an instance that stops is left
# by its callers only when they ask again. Seconds.
TTL_SECONDS = 1.0


def choose_addresses(
    members: typing.Sequence[cluster_messages.Member],
    region: str,
    zone: str,
    shuffle: typing.Callable[[list], None],
) -> list[str]:
    """Return the addresses for a caller, its own zone's first."""
    groups: list[list[str]] = [[], [], []]
    for member in members:
        distance = 2
        if member.zone == zone:
            distance = 0
        elif member.region == region:
            distance = 1
        groups[distance].append(member.entry_address)
    found: list[str] = []
    for group in groups:
        if len(found) >= ENOUGH_NEAR:
            break
        shuffle(group)
        found += group
    return found[:MAX_ADDRESSES]
