"""Whether the store serves this instance, from how its calls end. Pure.

The store may fail as a whole, for some instances, or for some of the parts
of its tables. Calls to the parts that work must go on in the last case, so
what counts is how many parts fail with no success between.
"""

import collections

# So many parts have to fail in a row before the store counts as away. While
# a third of the parts are down, one sequence in thirty of calls to three of
# them fails; a probe then finds one that works within milliseconds.
AWAY_PARTS = 3
# A part that failed is asked last for this long, where another part will
# do. Seconds.
SUSPICION = 0.5
# A part that failed while others worked says nothing new of the whole store
# when it fails again, until it has been left in peace for so long. Seconds.
KNOWN_BAD = 3.0
# Two parts that fail within this time show a disturbance, where one may have
# had a call lost on the way. Seconds.
AGREEMENT = 1.0
# Outages of which the length is remembered.
MOST_OUTAGES = 8


class Availability:
    """Takes how calls end and says what may be expected of the next."""

    def __init__(self) -> None:
        self.is_unavailable = False
        self.unavailable_since = float('-inf')
        self.recovered_at = float('-inf')
        # When a call was last answered.
        self._answered_at = float('-inf')
        # When parts were last seen to fail together.
        self.correlated_failure_at = float('-inf')
        # How long the last outages lasted, in seconds.
        self.outage_durations: collections.deque[float] = collections.deque(
            maxlen=MOST_OUTAGES
        )
        # The parts that failed since the last success, and those that did
        # before it, with the time of their last failure.
        self._failed: set[str] = set()
        self._known_bad: dict[str, float] = {}
        self._failed_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_success(self, part: str, now: float) -> bool:
        """Take that a part answered; say if the store is back with it."""
        self._answered_at = now
        self._known_bad.update(dict.fromkeys(self._failed, now))
        self._known_bad.pop(part, None)
        self._failed.clear()
        self._failed_at.pop(part, None)
        if not self.is_unavailable:
            return False
        self.is_unavailable = False
        self.recovered_at = now
        self.outage_durations.append(now - self.unavailable_since)
        return True

    def record_failure(
        self,
        part: str,
        now: float,
        is_rate_limited: bool = False,
        began: float | None = None,
    ) -> bool:
        """Take that a part failed; say if the store is away with it.

        ``is_rate`` says that it refused for too many calls: that is no
        disturbance for those who write there. ``began`` is when the call was
        sent, now if it is left out.
        """
        if not is_rate_limited:
            self._note_part(part, now)
        if began is not None and began < self._answered_at:
            # Calls into a silence run out of patience for seconds behind the
            # store's return. An instance with little to do has no answers
            # between them: it would take the store for gone once more.
            return False
        if now - self._known_bad.get(part, float('-inf')) < KNOWN_BAD:
            self._known_bad[part] = now
            return False
        self._failed.add(part)
        if self.is_unavailable or len(self._failed) < AWAY_PARTS:
            return False
        self.is_unavailable = True
        self.unavailable_since = now
        return True

    def has_recent_failure(self, part: str, now: float) -> bool:
        """Say whether a part failed a moment ago."""
        return now - self._failed_at.get(part, float('-inf')) < SUSPICION

    def get_outage_duration(self, now: float) -> float:
        """Return for how long the store has been away, 0 if it is not."""
        return now - self.unavailable_since if self.is_unavailable else 0.0

    def _note_part(self, part: str, now: float) -> None:
        self._failed_at[part] = now
        self._failed_at.move_to_end(part)
        while now - next(iter(self._failed_at.values())) > AGREEMENT:
            self._failed_at.popitem(last=False)
        if len(self._failed_at) > 1:
            self.correlated_failure_at = now
