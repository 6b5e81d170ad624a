"""A hybrid logical clock: wall time that respects causality.

A time is one integer with wall milliseconds in the upper bits and a counter in
the lower bits, so that times compare as integers.
"""

from vanillayoke.core import timers

COUNTER_BITS = 16
MAX_SKEW_MS = 600_000


def pack_time(wall_ms: int, counter: int = 0) -> int:
    """Return the hybrid time of wall milliseconds and a counter."""
    return (wall_ms << COUNTER_BITS) + counter


def get_wall_ms(hybrid: int) -> int:
    """Return the wall milliseconds of a hybrid time."""
    return hybrid >> COUNTER_BITS


def get_counter(hybrid: int) -> int:
    """Return the counter of a hybrid time."""
    return hybrid & ((1 << COUNTER_BITS) - 1)


class HybridClock:
    """Returns strictly increasing times, later than all merged ones."""

    def __init__(
        self, timer_service: timers.TimerService, max_skew_ms=MAX_SKEW_MS
    ) -> None:
        self._timers = timer_service
        self._max_skew_ms = max_skew_ms
        self._last = 0

    def read(self) -> int:
        """Return a new time for an event or an outgoing message."""
        wall = int(self._timers.wall() * 1000) << COUNTER_BITS
        last = self._last + 1
        self._last = wall if wall > last else last
        return self._last

    def merge(self, remote: int) -> bool:
        """Advance the clock past a received time; return whether it was valid.

        A time beyond the maximum skew is ignored, and the sender's event is
        not ordered. Otherwise a single wrong clock would permanently advance
        the clocks of all instances.
        """
        limit = int(self._timers.wall() * 1000) + self._max_skew_ms
        if remote < 0 or get_wall_ms(remote) > limit:
            return False
        self._last = max(self._last, remote)
        return True
