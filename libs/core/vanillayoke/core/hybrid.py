"""A hybrid logical clock: wall time that never runs against causality.

A time is one integer: wall milliseconds in the upper bits and a counter in
the lower ones, so that times compare as integers.
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
    """Gives strictly growing times, later than all that it was told of."""

    def __init__(
        self, timer_service: timers.TimerService, max_skew_ms=MAX_SKEW_MS
    ) -> None:
        self._timers = timer_service
        self._max_skew_ms = max_skew_ms
        self._last = 0

    def read(self) -> int:
        """Return a new time for an event or a message sent."""
        wall = int(self._timers.wall() * 1000) << COUNTER_BITS
        last = self._last + 1
        self._last = wall if wall > last else last
        return self._last

    def merge(self, remote: int) -> bool:
        """Take a received time over; return whether it was plausible.

        One instance with a clock far ahead would otherwise drag the times of
        all others with it for good, and wall times in logs would be wrong
        everywhere. A time beyond the bound is left out: its order is lost,
        the clock is not.
        """
        limit = int(self._timers.wall() * 1000) + self._max_skew_ms
        if remote < 0 or get_wall_ms(remote) > limit:
            return False
        self._last = max(self._last, remote)
        return True
