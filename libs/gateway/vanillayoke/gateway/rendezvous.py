"""Rendezvous hashing: each key has the instance with the highest score.

Keys are programs, organisations, targets and partitions of tables.
"""

import functools
import heapq
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

    Candidates may become coordinators. Live ones are the candidates that have
    been in contact. Reachable ones are alive, suspected or leaving; those
    that are leaving are no candidates any more. Failed ones do not respond.
    """

    list_eligible: ListPeers
    list_live_eligible: ListPeers
    list_reachable: ListPeers
    list_failed: ListPeers


@functools.lru_cache(maxsize=4096)
def _seed(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(instance.encode())


def compute_score(program: str, instance: str) -> int:
    """Return the score of an instance for a key."""
    return xxhash.xxh3_64_intdigest(program.encode(), _seed(instance))


def find_highest(program: str, instances: typing.Iterable[str]) -> str | None:
    """Return the name with the highest score."""
    return max(
        instances, key=lambda peer: compute_score(program, peer), default=None
    )


def find_coordinator(
    program: str, members: typing.Sequence[Peer]
) -> Peer | None:
    """Return the instance with the highest score, the key's coordinator."""
    return max(
        members,
        key=lambda peer: compute_score(program, peer.instance),
        default=None,
    )


def list_highest(
    program: str, members: typing.Iterable[Peer], count: int
) -> list[Peer]:
    """Return the instances with the highest scores in descending order."""
    return heapq.nlargest(
        count, members, key=lambda peer: compute_score(program, peer.instance)
    )
