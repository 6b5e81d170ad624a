"""Rendezvous hashing: each key has the instance with the highest score.

Keys are programs, organisations, targets and partitions of tables.
"""

import functools
import heapq
import typing

import xxhash


class HomeMember(typing.NamedTuple):
    """An instance and the address at which it receives datagrams."""

    instance: str
    address: str
    zone: str = ''


ListMembers = typing.Callable[[], typing.Sequence[HomeMember]]


class Roster(typing.NamedTuple):
    """Lists the instances by their state, as this instance sees them.

    Candidates may become coordinators. Live ones are the candidates that have
    been in contact. Reachable ones are alive, suspected or leaving; those
    that are leaving are no candidates any more. Failed ones do not respond.
    """

    list_homes: ListMembers
    list_live: ListMembers
    list_reachable: ListMembers
    list_failed: ListMembers


@functools.lru_cache(maxsize=4096)
def _seed(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(instance.encode())


def find_score(program: str, instance: str) -> int:
    """Return the score of an instance for a key."""
    return xxhash.xxh3_64_intdigest(program.encode(), _seed(instance))


def find_first(program: str, instances: typing.Iterable[str]) -> str | None:
    """Return the name with the highest score."""
    return max(
        instances, key=lambda one: find_score(program, one), default=None
    )


def find_home(
    program: str, members: typing.Sequence[HomeMember]
) -> HomeMember | None:
    """Return the instance with the highest score, the key's coordinator."""
    return max(
        members,
        key=lambda one: find_score(program, one.instance),
        default=None,
    )


def list_best(
    program: str, members: typing.Iterable[HomeMember], count: int
) -> list[HomeMember]:
    """Return the instances with the highest scores in descending order."""
    return heapq.nlargest(
        count, members, key=lambda one: find_score(program, one.instance)
    )
