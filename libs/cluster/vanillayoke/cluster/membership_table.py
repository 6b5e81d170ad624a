"""The member records of one instance, and which update of them wins."""

import math
import typing

from vanillayoke.cluster import messages

LEFT_RETENTION_SECONDS = 120.0
FAILED_RETENTION_SECONDS = 600.0
LISTED_INCARNATION = 0

_FAILED_OR_LEFT = (messages.State.FAILED, messages.State.LEFT)


class Entry:
    """The record of one member.

    ``since`` is when it got into its state, ``fails_at`` when an unrefuted
    suspicion becomes a failure, in this process's monotonic seconds. A member
    of incarnation 0 has only been listed by the platform.
    """

    def __init__(self, member: messages.Member, since: float) -> None:
        self.member = member
        self.since = since
        self.fails_at = math.inf

    @property
    def is_confirmed(self) -> bool:
        """Whether an update was received, so that it isn't only listed."""
        return self.member.incarnation > LISTED_INCARNATION

    @property
    def is_alive(self) -> bool:
        """Whether the state is alive or leaving."""
        states = (messages.State.ALIVE, messages.State.LEAVING)
        return self.member.state in states


class Change(typing.NamedTuple):
    """A change of a record; ``before`` is ``None`` for a new member."""

    before: messages.Member | None
    after: messages.Member


def is_newer(update: messages.Member, known: messages.Member) -> bool:
    """Return whether an update of a member overrides the known record.

    The order by incarnation and state is total, so that the records of all
    instances converge in whatever order updates arrive.
    """
    return (update.incarnation, update.state) > (
        known.incarnation,
        known.state,
    )


class Table:
    """The records of all members except this instance.

    ``live`` counts the members that have neither failed nor left,
    ``confirmed`` those of them that are confirmed.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._suspected: dict[str, Entry] = {}
        self._cycle_names: list[str] = []
        self.live = 0
        self.confirmed = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, instance: str) -> Entry | None:
        """Return the entry of an instance, ``None`` if it is unknown."""
        return self._entries.get(instance)

    def list_members(self) -> list[messages.Member]:
        """Return all members, including those that failed or left."""
        return [entry.member for entry in self._entries.values()]

    def list_live(self) -> list[messages.Member]:
        """Return the members that have neither failed nor left."""
        return [
            member
            for member in self.list_members()
            if member.state not in _FAILED_OR_LEFT
        ]

    def merge(self, update: messages.Member, now: float) -> Change | None:
        """Apply an update; return ``None`` if it is not newer."""
        entry = self._entries.get(update.instance)
        if entry is not None and not is_newer(update, entry.member):
            return None
        before = None
        if entry is not None:
            before = entry.member
            self._adjust_counts(entry, -1)
        entry = Entry(update, now)
        self._entries[update.instance] = entry
        self._suspected.pop(update.instance, None)
        self._adjust_counts(entry, 1)
        return Change(before, update)

    def _adjust_counts(self, entry: Entry, change: int) -> None:
        if entry.member.state not in _FAILED_OR_LEFT:
            self.live += change
            self.confirmed += change if entry.is_confirmed else 0

    def suspect(self, entry: Entry, fails_at: float) -> None:
        """Record a suspicion that the member may refute until ``fails_at``."""
        entry.fails_at = fails_at
        self._suspected[entry.member.instance] = entry

    def list_overdue(self, now: float) -> list[Entry]:
        """Return the suspected members that did not refute in time."""
        return [
            entry
            for entry in self._suspected.values()
            if entry.fails_at <= now
        ]

    def find_next_deadline(self) -> float | None:
        """Return when the next suspicion becomes a failure."""
        deadlines = (entry.fails_at for entry in self._suspected.values())
        return min(deadlines, default=None)

    def postpone(self, delay: float) -> None:
        """Postpone the ends of all suspicions."""
        for entry in self._suspected.values():
            entry.fails_at += delay

    def prune(self, now: float, listed: typing.Container[str]) -> list[str]:
        """Drop members that failed or left long ago; return their names.

        Their records must outlive the packets that still report them alive, or
        else these would add them again.
        """
        pruned = [
            instance
            for instance, entry in self._entries.items()
            if _can_prune(entry, now, instance in listed)
        ]
        for instance in pruned:
            del self._entries[instance]
        return pruned

    def cycle(self, count: int) -> list[messages.Member]:
        """Return the next members in a cycle, only those alive or leaving.

        Packets are filled up with these to repair lost updates. Failed members
        are omitted: after a network partition has healed, each side would mark
        the members of the other as failed again.
        """
        chosen: list[messages.Member] = []
        for _ in range(min(count, len(self._entries))):
            if not self._cycle_names:
                self._cycle_names = list(self._entries)
            entry = self._entries.get(self._cycle_names.pop())
            if entry is not None and entry.is_confirmed and entry.is_alive:
                chosen.append(entry.member)
        return chosen


def _can_prune(entry: Entry, now: float, listed: bool) -> bool:
    age = now - entry.since
    match entry.member.state:
        case messages.State.LEFT:
            return age >= LEFT_RETENTION_SECONDS
        case messages.State.FAILED:
            return age >= FAILED_RETENTION_SECONDS and not listed
    return False
