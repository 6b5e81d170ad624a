"""Whether this instance has been the only coordinator of a program.

While the store is unavailable, a coordinator may let a program generate some
tokens on credit if no other instance can have done so before. That holds once
it has been the program's coordinator for the retention period, without an
interruption in which another instance may have replaced it.
"""

import collections
import typing

from vanillayoke.gateway import rendezvous

# Changes older than this affect no running program. A program that was stopped
# may continue within a minute.
RETENTION_SECONDS = 120.0
# After a longer lag of the event loop, requests of other instances may have
# timed out, and these reserve elsewhere.
MAX_LAG_SECONDS = 0.1
# The time in which instances that start together discover one another.
SETTLING_SECONDS = 3.0


class Exclusivity:
    """Tracks interruptions of this instance and changes of membership."""

    def __init__(self, instance: str, now: float) -> None:
        self._instance = instance
        self._exclusive_since = now
        self._members: frozenset[str] = frozenset()
        self._removed: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._ticked_at: float | None = None
        # The wall time minus the monotonic time, at the last tick.
        self._wall_offset: float | None = None
        self._incarnation: int | None = None
        self._is_active = False
        self._joined_at = float('inf')

    def record_program(self) -> None:
        """Record that there are programs.

        Instances that start together regard one another as failed until all
        run; before the first program that has no consequences.
        """
        self._is_active = True

    def record_first_start(self) -> None:
        """Record that the whole system starts for the first time.

        There was no former coordinator.
        """
        self._exclusive_since = float('-inf')

    def record_joined(self, now: float) -> None:
        """Record that this instance has started to serve."""
        self._joined_at = now

    def record_interruption(self, now: float) -> None:
        """Record that others may have replaced this instance until now."""
        if self._is_active:
            self._exclusive_since = now

    def tick(self, now: float, wall: float, interval: float) -> None:
        """Record that the event loop runs; called every ``interval`` seconds.

        ``wall`` is the wall time, which advances while the machine is
        suspended; the monotonic clock does not. A step of the wall clock can
        only cause a needless interruption.
        """
        self._check_wall_clock(now, wall, interval)
        previous_tick, self._ticked_at = self._ticked_at, now
        self._wall_offset = wall - now
        if now - self._joined_at > SETTLING_SECONDS:
            self._is_active = True
        if (
            previous_tick is not None
            and now - previous_tick > interval + MAX_LAG_SECONDS
        ):
            self.record_interruption(now)

    def _check_wall_clock(
        self, now: float, wall: float, interval: float
    ) -> None:
        offset = self._wall_offset
        if (
            offset is not None
            and wall - now > offset + interval + MAX_LAG_SECONDS
        ):
            self.record_interruption(now)

    def update_incarnation(self, incarnation: int, now: float) -> None:
        """Record this instance's incarnation in the membership.

        A new one means that others had regarded this instance as failed.
        """
        if self._incarnation not in (None, incarnation):
            self.record_interruption(now)
        self._incarnation = incarnation

    def update_members(
        self, instances: typing.Iterable[str], now: float
    ) -> None:
        """Record the instances that may currently be coordinators."""
        current = frozenset(instances)
        if current == self._members:
            return
        for name in self._members - current if self._is_active else ():
            self._removed[name] = now
            self._removed.move_to_end(name)
        self._members = current
        while self._removed:
            name, removed_at = next(iter(self._removed.items()))
            if now - removed_at < RETENTION_SECONDS:
                break
            del self._removed[name]

    def is_exclusive(
        self, program: str, now: float, wall: float, interval: float
    ) -> bool:
        """Return whether no other instance can have been coordinator."""
        self._check_wall_clock(now, wall, interval)
        if (
            self._ticked_at is None
            or now - self._exclusive_since < RETENTION_SECONDS
            or now - self._joined_at < SETTLING_SECONDS
        ):
            return False
        if now - self._ticked_at > interval + MAX_LAG_SECONDS:
            # The process has just resumed and has no recent membership view.
            return False
        candidates = {self._instance, *self._members, *self._removed}
        return rendezvous.find_highest(program, candidates) == self._instance
