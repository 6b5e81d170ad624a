"""Tracks from the results of calls whether the store serves this instance.

This is pure logic without I/O. The store may fail as a whole, for some
instances, or for some partitions of its tables. Calls to the partitions that
work must go on in the last case, so the store counts as unavailable when
several partitions fail without a success in between.
"""

import collections

# Different partitions that fail without a success in between before the store
# counts as unavailable. While a third of the partitions are down, calls to
# three of them fail in one case of thirty. A wrong result while only some
# partitions are down is corrected by the next probe that meets a working one.
UNAVAILABLE_PARTITION_COUNT = 3
# A partition that failed is the last choice for this time.
RECENT_FAILURE_SECONDS = 0.5
# A partition that failed while others worked does not count towards an outage
# until it has not failed for this time.
KNOWN_FAILURE_SECONDS = 3.0
# Failures of two partitions within this time are correlated; a single failure
# may be one lost call.
CORRELATION_SECONDS = 1.0
MAX_OUTAGE_COUNT = 8


class Availability:
    """Records the results of calls to the store and detects outages."""

    def __init__(self) -> None:
        self.is_unavailable = False
        self.unavailable_since = float('-inf')
        self.recovered_at = float('-inf')
        # When the last successful call ended.
        self._succeeded_at = float('-inf')
        # When several partitions last failed within a short time.
        self.correlated_failure_at = float('-inf')
        # In seconds, the latest last.
        self.outage_durations: collections.deque[float] = collections.deque(
            maxlen=MAX_OUTAGE_COUNT
        )
        # The partitions that failed since the last success, and those that
        # failed before it, with the times of their last failures.
        self._failed_partitions: set[str] = set()
        self._known_failures: dict[str, float] = {}
        self._failed_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_success(self, partition: str, now: float) -> bool:
        """Record a success; return whether it ends an outage."""
        self._succeeded_at = now
        self._known_failures.update(
            dict.fromkeys(self._failed_partitions, now)
        )
        self._known_failures.pop(partition, None)
        self._failed_partitions.clear()
        self._failed_at.pop(partition, None)
        if not self.is_unavailable:
            return False
        self.is_unavailable = False
        self.recovered_at = now
        self.outage_durations.append(now - self.unavailable_since)
        return True

    def record_failure(
        self,
        partition: str,
        now: float,
        is_rate_limited: bool = False,
        sent_at: float | None = None,
    ) -> bool:
        """Record a failure; return whether an outage starts with it.

        ``is_rate_limited`` says that the call was refused for the rate of
        calls; this sets neither ``has_recent_failure`` nor
        ``correlated_failure_at``. ``sent_at`` is when the call was sent, by
        default now.
        """
        if not is_rate_limited:
            self._record_partition_failure(partition, now)
        if sent_at is not None and sent_at < self._succeeded_at:
            # Calls sent during an outage time out up to seconds after its end.
            # They must not count as another outage, even if no call succeeds
            # in between.
            return False
        if (
            now - self._known_failures.get(partition, float('-inf'))
            < KNOWN_FAILURE_SECONDS
        ):
            self._known_failures[partition] = now
            return False
        self._failed_partitions.add(partition)
        if (
            self.is_unavailable
            or len(self._failed_partitions) < UNAVAILABLE_PARTITION_COUNT
        ):
            return False
        self.is_unavailable = True
        self.unavailable_since = now
        return True

    def has_recent_failure(self, partition: str, now: float) -> bool:
        """Return whether a partition has failed recently."""
        return (
            now - self._failed_at.get(partition, float('-inf'))
            < RECENT_FAILURE_SECONDS
        )

    def get_outage_duration(self, now: float) -> float:
        """Return the seconds since the outage began, 0 if there is none."""
        return now - self.unavailable_since if self.is_unavailable else 0.0

    def _record_partition_failure(self, partition: str, now: float) -> None:
        self._failed_at[partition] = now
        self._failed_at.move_to_end(partition)
        while now - next(iter(self._failed_at.values())) > CORRELATION_SECONDS:
            self._failed_at.popitem(last=False)
        if len(self._failed_at) > 1:
            self.correlated_failure_at = now
