"""Which instance is a program's home: the highest rendezvous score."""

import functools
import heapq
import typing

import xxhash


class HomeMember(typing.NamedTuple):
    """A live instance and where it takes datagrams."""

    instance: str
    address: str
    zone: str = ''


ListMembers = typing.Callable[[], typing.Sequence[HomeMember]]


class Roster(typing.NamedTuple):
    """Lists the instances as this one sees them now.

    Homes may keep programs; live ones are those of them that were heard of.
    Reachable ones answer, or may do so in a moment; those that leave are no
    homes any more. Failed ones do not answer.
    """

    list_homes: ListMembers
    list_live: ListMembers
    list_reachable: ListMembers
    list_failed: ListMembers


@functools.lru_cache(maxsize=4096)
def _seed(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(instance.encode())


def find_score(program: str, instance: str) -> int:
    """Return the score of an instance for a program."""
    return xxhash.xxh3_64_intdigest(program.encode(), _seed(instance))


def find_first(program: str, instances: typing.Iterable[str]) -> str | None:
    """Return the instance with the highest score."""
    return max(
        instances, key=lambda one: find_score(program, one), default=None
    )


def find_home(
    program: str, members: typing.Sequence[HomeMember]
) -> HomeMember | None:
    """Return the instance that keeps a program's budget."""
    return max(
        members,
        key=lambda one: find_score(program, one.instance),
        default=None,
    )


def list_best(
    program: str, members: typing.Iterable[HomeMember], count: int
) -> list[HomeMember]:
    """Return the best instances for a program, the best one first."""
    return heapq.nlargest(
        count, members, key=lambda one: find_score(program, one.instance)
    )
