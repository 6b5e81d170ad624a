"""What one instance holds of the others, and which word of them counts."""

import math
import typing

from vanillayoke.cluster import messages

LEFT_RETENTION_SECONDS = 120.0
FAILED_RETENTION_SECONDS = 600.0
LISTED_INCARNATION = 0

_GONE = (messages.State.FAILED, messages.State.LEFT)


class Entry:
    """One member, since when it is in its state, and until when suspected.

    Times are this process's monotonic seconds. A member of incarnation 0 is
    known only from the platform's list and has not been heard of yet.
    """

    def __init__(self, member: messages.Member, since: float) -> None:
        self.member = member
        self.since = since
        self.fails_at = math.inf

    @property
    def is_confirmed(self) -> bool:
        """Whether any instance ever heard of it."""
        return self.member.incarnation > LISTED_INCARNATION

    @property
    def is_alive(self) -> bool:
        """Whether it is held for alive, be it on the point of leaving."""
        states = (messages.State.ALIVE, messages.State.LEAVING)
        return self.member.state in states


class Change(typing.NamedTuple):
    """A member's record changed; ``before`` is ``None`` for a new one."""

    before: messages.Member | None
    after: messages.Member


def is_newer(news: messages.Member, known: messages.Member) -> bool:
    """Tell whether news of a member overrides what is known.

    The order by incarnation and state is total, so that all instances end
    with the same record in whatever order they hear of it.
    """
    return (news.incarnation, news.state) > (known.incarnation, known.state)


class Table:
    """The members that one instance knows, itself left out.

    ``live`` counts those that neither failed nor left, ``heard`` those of
    them that were heard of.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._suspected: dict[str, Entry] = {}
        self._cycle: list[str] = []
        self.live = 0
        self.confirmed = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, instance: str) -> Entry | None:
        """Return the entry of an instance."""
        return self._entries.get(instance)

    def list_members(self) -> list[messages.Member]:
        """Return all members, also those that failed or left."""
        return [entry.member for entry in self._entries.values()]

    def list_live(self) -> list[messages.Member]:
        """Return the members that neither failed nor left."""
        return [
            member
            for member in self.list_members()
            if member.state not in _GONE
        ]

    def merge(self, news: messages.Member, now: float) -> Change | None:
        """Take news of a member over where they are newer."""
        entry = self._entries.get(news.instance)
        if entry is not None and not is_newer(news, entry.member):
            return None
        before = None
        if entry is not None:
            before = entry.member
            self._count(entry, -1)
        entry = Entry(news, now)
        self._entries[news.instance] = entry
        self._suspected.pop(news.instance, None)
        self._count(entry, 1)
        return Change(before, news)

    def _count(self, entry: Entry, change: int) -> None:
        if entry.member.state not in _GONE:
            self.live += change
            self.confirmed += change if entry.is_confirmed else 0

    def suspect(self, entry: Entry, fails_at: float) -> None:
        """Give a suspected member until a time to refute it."""
        entry.fails_at = fails_at
        self._suspected[entry.member.instance] = entry

    def list_overdue(self, now: float) -> list[Entry]:
        """Return the suspected members whose time to refute ran out."""
        return [
            entry
            for entry in self._suspected.values()
            if entry.fails_at <= now
        ]

    def find_next_deadline(self) -> float | None:
        """Return when the next suspicion runs out."""
        deadlines = (entry.fails_at for entry in self._suspected.values())
        return min(deadlines, default=None)

    def postpone(self, delay: float) -> None:
        """Move the ends of all suspicions."""
        for entry in self._suspected.values():
            entry.fails_at += delay

    def forget(self, now: float, listed: typing.Container[str]) -> list[str]:
        """Drop members gone for long; return their names.

        The record of a member that is gone outlives the packets that still
        call it alive; otherwise it would come back to life by them.
        """
        forgotten = [
            instance
            for instance, entry in self._entries.items()
            if _is_forgettable(entry, now, instance in listed)
        ]
        for instance in forgotten:
            del self._entries[instance]
        return forgotten

    def cycle(self, count: int) -> list[messages.Member]:
        """Return the next members, round by round, alive or leaving only.

        Packets are filled up with these so that lost news comes through at
        last. Members that failed are left out: after a partition heals, each
        side would mark the other's members as failed once more.
        """
        chosen: list[messages.Member] = []
        for _ in range(min(count, len(self._entries))):
            if not self._cycle:
                self._cycle = list(self._entries)
            entry = self._entries.get(self._cycle.pop())
            if entry is not None and entry.is_confirmed and entry.is_alive:
                chosen.append(entry.member)
        return chosen


def _is_forgettable(entry: Entry, now: float, listed: bool) -> bool:
    age = now - entry.since
    match entry.member.state:
        case messages.State.LEFT:
            return age >= LEFT_RETENTION_SECONDS
        case messages.State.FAILED:
            return age >= FAILED_RETENTION_SECONDS and not listed
    return False
