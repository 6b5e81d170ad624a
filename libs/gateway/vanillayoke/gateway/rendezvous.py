"""Rendezvous hashing: a key belongs to the instance with the highest score.

Keys are programs, organisations, targets and partitions of tables.
"""

import functools
import heapq
import itertools
import typing

import xxhash


class Peer(typing.NamedTuple):
    """An instance and the address at which it receives datagrams."""

    instance: str
    address: str
    zone: str = ''


ListPeers = typing.Callable[[], typing.Sequence[Peer]]


class MembershipView(typing.NamedTuple):
    """Lists the instances by their state, as this instance sees them.

    Eligible ones may become coordinators; the live ones among these have been
    in contact with this instance. Reachable ones are alive, suspected or
    leaving; those that are leaving are not eligible. Lost ones have failed or
    left, and may have come back.
    """

    list_eligible: ListPeers
    list_live_eligible: ListPeers
    list_reachable: ListPeers
    list_lost: ListPeers


@functools.lru_cache(maxsize=4096)
def _seed(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(instance.encode())


def compute_score(key: str, instance: str) -> int:
    """Return the score of an instance for a key."""
    return xxhash.xxh3_64_intdigest(key.encode(), _seed(instance))


def find_highest(key: str, instances: typing.Iterable[str]) -> str | None:
    """Return the name with the highest score."""
    return max(
        instances,
        key=lambda instance: compute_score(key, instance),
        default=None,
    )


def find_coordinator(key: str, peers: typing.Sequence[Peer]) -> Peer | None:
    """Return the instance with the highest score, the key's coordinator."""
    return max(
        peers,
        key=lambda peer: compute_score(key, peer.instance),
        default=None,
    )


def list_highest(
    key: str, peers: typing.Iterable[Peer], count: int
) -> list[Peer]:
    """Return the ``count`` highest instances in descending order."""
    return heapq.nlargest(
        count, peers, key=lambda peer: compute_score(key, peer.instance)
    )


class ZoneRanking:
    """Ranks instances for a key so that the first ones differ in their zones.

    A large deployment has far fewer zones than instances, so that this takes
    fewer scores than a ranking of all instances.
    """

    def __init__(self) -> None:
        self._peers: typing.Sequence[Peer] = ()
        self._by_zone: dict[str, list[Peer]] = {}

    def list_highest(
        self, key: str, peers: typing.Sequence[Peer], count: int
    ) -> list[Peer]:
        """Return ``count`` instances, of as many zones as possible.

        All instances that know the same peers choose the same ones.
        """
        if peers is not self._peers:
            self._peers = peers
            self._by_zone = {}
            for peer in peers:
                self._by_zone.setdefault(peer.zone, []).append(peer)
        zones = heapq.nlargest(
            count, self._by_zone, key=lambda zone: compute_score(key, zone)
        )
        ranked = [
            list_highest(key, self._by_zone[zone], count) for zone in zones
        ]
        # The first of each zone, then the second of each.
        rounds = itertools.zip_longest(*ranked)
        highest = [peer for peers in rounds for peer in peers if peer]
        return highest[:count]


class Coordinators:
    """The coordinators of many keys, updated when the instances change.

    A change costs one score per key for each instance that was added, instead
    of one for each instance.
    """

    def __init__(self) -> None:
        self._instances: frozenset[str] = frozenset()
        self._coordinators: dict[str, str | None] = {}

    def update(
        self, keys: typing.Iterable[str], instances: frozenset[str]
    ) -> typing.Mapping[str, str | None]:
        """Return the coordinator of each key, ``None`` without instances."""
        added = instances - self._instances
        coordinators: dict[str, str | None] = {}
        for key in keys:
            known = self._coordinators.get(key)
            if known not in instances:
                coordinators[key] = find_highest(key, instances)
            elif added:
                coordinators[key] = find_highest(key, (known, *added))
            else:
                coordinators[key] = known
        self._instances = instances
        self._coordinators = coordinators
        return coordinators
