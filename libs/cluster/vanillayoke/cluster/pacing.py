"""An instance's share of the store's writes."""

_LONGEST_DEBT = 4.0


class WritePacer:
    """Spaces writes so that all instances together keep to the rate.

    The rate is split evenly over the live instances. A write may always be
    made late; writes that were not made are not saved up.
    """

    def __init__(self, writes_per_second: float, shortest: float) -> None:
        self._rate = writes_per_second
        self._shortest = shortest
        self._live = 1
        self._ready_at = float('-inf')

    @property
    def interval(self) -> float:
        """Return the seconds between two writes of this instance."""
        return max(self._live / self._rate, self._shortest)

    @property
    def ready_at(self) -> float:
        """Return when the next write fits the share."""
        return self._ready_at

    def share_with(self, live: int) -> None:
        """Split the rate over a number of live instances."""
        self._live = max(live, 1)

    def spend(self, now: float, writes: int = 1) -> None:
        """Count writes that are being sent.

        The debt is bounded: urgent writes, such as those of a takeover,
        delay later commits by seconds at most.
        """
        interval = self.interval
        ready = max(now, self._ready_at) + writes * interval
        self._ready_at = min(ready, now + _LONGEST_DEBT * interval)
