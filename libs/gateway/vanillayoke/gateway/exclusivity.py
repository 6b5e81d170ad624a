"""Whether this instance has been the only coordinator of a program.

While the store is unavailable, a coordinator may let a program generate some
tokens on credit if no other instance can have done so before. That holds once
it has been the program's coordinator for the retention period, without an
interruption in which another instance may have replaced it.
"""

import collections
import typing

from vanillayoke.gateway import rendezvous

# Changes older than this affect no running program.
MEMORY = 120.0
# How long after a failure of the store a former coordinator may have left
# unrecorded credit: it covers the detection of that coordinator's failure.
TROUBLE_MEMORY = 8.0
# After a longer lag of the event loop, requests of other instances may have
# timed out, and these reserve elsewhere.
LONGEST_LAG = 0.1
# The time in which instances that start together discover one another.
SETTLING_SECONDS = 3.0


class Exclusivity:
    """Tracks interruptions of this instance and changes of membership.

    ``is_first_start`` says that the whole system starts for the first time,
    so there was no former coordinator.
    """

    def __init__(
        self, instance: str, now: float, is_first_start: bool
    ) -> None:
        self._instance = instance
        self._since = float('-inf') if is_first_start else now
        # Failures of the store before the start need not be known: the former
        # coordinators recorded their credit as soon as the store recovered.
        self._trouble_at = float('-inf')
        self._members: frozenset[str] = frozenset()
        self._removed: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._ticked_at: float | None = None
        # The wall time minus the monotonic time, at the last tick.
        self._wall_ahead: float | None = None
        self._incarnation: int | None = None
        self._has_begun = False
        self._joined_at = float('inf')

    def record_program(self) -> None:
        """Record that there are programs.

        Instances that start together regard one another as failed until all
        run; before the first program that has no consequences.
        """
        self._has_begun = True

    def record_joined(self, now: float) -> None:
        """Record that this instance has started to serve."""
        self._joined_at = now

    def record_store_failure(self, now: float) -> None:
        """Record that a call of the store failed or was slow."""
        self._trouble_at = now

    def had_recent_store_failure(self, now: float) -> bool:
        """Return whether a coordinator may recently have given credit."""
        return now - self._trouble_at < TROUBLE_MEMORY

    def record_interruption(self, now: float) -> None:
        """Record that others may have replaced this instance until now."""
        if self._has_begun:
            self._since = now

    def tick(self, now: float, wall: float, interval: float) -> None:
        """Record that the event loop runs; called every ``interval`` seconds.

        ``wall`` is the wall time, which advances while the machine is
        suspended; the monotonic clock does not. A step of the wall clock can
        only cause a needless interruption.
        """
        self._check_wall(now, wall, interval)
        before, self._ticked_at = self._ticked_at, now
        self._wall_ahead = wall - now
        if now - self._joined_at > SETTLING_SECONDS:
            self._has_begun = True
        if before is not None and now - before > interval + LONGEST_LAG:
            self.record_interruption(now)

    def _check_wall(self, now: float, wall: float, interval: float) -> None:
        ahead = self._wall_ahead
        if ahead is not None and wall - now > ahead + interval + LONGEST_LAG:
            self.record_interruption(now)

    def update_incarnation(self, incarnation: int, now: float) -> None:
        """Record this instance's incarnation in the membership.

        A new one means that others had regarded this instance as failed.
        """
        if self._incarnation not in (None, incarnation):
            self.record_interruption(now)
        self._incarnation = incarnation

    def update_members(
        self, members: typing.Iterable[str], now: float
    ) -> None:
        """Record the instances that may currently be coordinators."""
        found = frozenset(members)
        if found == self._members:
            return
        for name in self._members - found if self._has_begun else ():
            self._removed[name] = now
            self._removed.move_to_end(name)
        self._members = found
        while self._removed:
            name, at = next(iter(self._removed.items()))
            if now - at < MEMORY:
                break
            del self._removed[name]

    def is_exclusive(
        self, program: str, now: float, wall: float, interval: float
    ) -> bool:
        """Return whether no other instance can have been coordinator."""
        self._check_wall(now, wall, interval)
        if self._ticked_at is None or now - self._since < MEMORY:
            return False
        if now - self._ticked_at > interval + LONGEST_LAG:
            # The process has just resumed and has no recent membership view.
            return False
        candidates = {self._instance, *self._members, *self._removed}
        return rendezvous.find_highest(program, candidates) == self._instance
