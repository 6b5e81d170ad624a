"""Lease safety without synchronised clocks.

The holder counts its lease from before it sent the renewal, the watcher
from after it first saw the renewal's version. Whatever the delays, the
holder's deadline so comes first, as long as both clocks run alike to within
the margin on both sides.
"""

import typing

from vanillayoke.settings import process


class LeaseHolder:
    """The holder's view of its own lease."""

    def __init__(self, time_to_live: float, margin: float) -> None:
        self._span = time_to_live - margin
        self._deadline: float | None = None
        self._lost = False

    @classmethod
    def from_config(cls, settings: process.LeaseSettings) -> 'LeaseHolder':
        """Build a holder that has no lease yet."""
        return cls(settings.time_to_live, settings.margin)

    @property
    def is_lost(self) -> bool:
        """Tell whether another instance has fenced this one for good."""
        return self._lost

    @property
    def deadline(self) -> float | None:
        """Return until when the holder may act, ``None`` before a lease."""
        return self._deadline

    def renew(self, sent_at: float) -> None:
        """Count the lease from before its renewal was sent.

        The store may have written the renewal, and a watcher seen it, any
        time after ``sent_at``: a later count would let the holder act on
        while a watcher already takes over.
        """
        deadline = sent_at + self._span
        if self._deadline is None or deadline > self._deadline:
            self._deadline = deadline

    def lose(self) -> None:
        """Give the lease up for good."""
        self._lost = True

    def may_act(self, now: float) -> bool:
        """Tell whether the holder may do what cannot be taken back.

        A paused process learns here, at the point of action, that its
        lease lapsed meanwhile; so ask after every await.
        """
        if self._lost or self._deadline is None:
            return False
        return now < self._deadline


class Observation(typing.NamedTuple):
    """A row version and when the watcher first saw it."""

    version: int
    since: float


class LeaseWatch:
    """A watcher's view of another instance's lease."""

    def __init__(
        self, time_to_live: float, margin: float, longest_gap: float
    ) -> None:
        self._span = time_to_live + margin
        self._longest_gap = longest_gap
        self._seen: Observation | None = None
        self._last_read = float('-inf')

    @classmethod
    def from_config(cls, settings: process.LeaseSettings) -> 'LeaseWatch':
        """Build a watch that has seen nothing yet."""
        return cls(
            settings.time_to_live,
            settings.margin,
            find_longest_gap(settings),
        )

    @property
    def version(self) -> int | None:
        """Return the row version under watch."""
        return self._seen.version if self._seen else None

    @property
    def expires_at(self) -> float | None:
        """Return when the lease will have run out unless it is renewed."""
        return self._seen.since + self._span if self._seen else None

    def observe(self, version: int, now: float) -> None:
        """Take in a read of the row; ``now`` is after its reply came.

        A long gap between reads means that this watcher was paused or could
        not reach the store, so the holder may not have either: it gets a
        full time to live again from the first read behind the gap.
        """
        gap = now - self._last_read
        self._last_read = now
        known = self._seen is not None and self._seen.version == version
        if not known or gap > self._longest_gap:
            self._seen = Observation(version, now)

    def restart(self) -> None:
        """Forget what was seen, since the store failed this watcher."""
        self._seen = None

    def is_expired(self, now: float) -> bool:
        """Tell whether the holder's lease has run out by any clock."""
        if self._seen is None or now - self._last_read > self._longest_gap:
            return False
        return now - self._seen.since >= self._span


class StoreEvidence:
    """What this instance's own renewals say of the store.

    In an outage nobody can renew. A watcher that judged leases by it would
    fence live holders the moment the store is back, so it judges only while
    its own renewals get through, and begins anew after a gap in them.
    """

    def __init__(self, longest_gap: float) -> None:
        self._longest_gap = longest_gap
        self._last_sent = float('-inf')

    @classmethod
    def from_config(cls, settings: process.LeaseSettings) -> 'StoreEvidence':
        """Build it for an instance that has not renewed yet."""
        return cls(find_longest_gap(settings))

    def note_renewal(self, sent_at: float) -> bool:
        """Note an own renewal; tell whether all watches must restart."""
        gap = sent_at - self._last_sent
        self._last_sent = max(sent_at, self._last_sent)
        return gap > self._longest_gap

    def may_judge(self, now: float) -> bool:
        """Tell whether the store took a renewal lately."""
        return now - self._last_sent <= self._longest_gap


def find_longest_gap(settings: process.LeaseSettings) -> float:
    """Return the longest time between renewals, or reads, in good health.

    It is above the renewal interval. It is below what a holder has left
    after that interval, so that a watcher notices an outage before any
    lease that could not be renewed in it runs out.
    """
    return settings.time_to_live / 2
