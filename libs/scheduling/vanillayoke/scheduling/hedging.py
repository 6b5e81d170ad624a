"""When to send a request to a second target, and how often.

A call that takes longer than nearly all calls of its route is probably at a
target that hangs or is slow, and a second target can still answer it in time.
Only calls that may run more than once are hedged; the caller of this module
sees to that.
"""

import bisect
import collections
import math

# Only the slowest calls are hedged, about as many as the budget allows.
TAIL_QUANTILE = 0.95
# Latencies of a route that the quantile is computed from. At several calls a
# second it follows a change of the load within seconds.
WINDOW_CALLS = 128
# With fewer calls a quantile of .95 is only the slowest call.
MIN_CALLS = 20
# A second call that is sent later can hardly end within the objective. Until
# enough calls are known, this is also the delay.
MAX_OBJECTIVE_RATIO = 0.5
# Where latencies hardly vary, the quantile is close to the median, and normal
# variation would use up the budget.
MIN_MEDIAN_RATIO = 1.5
# Second calls as a share of the calls within the last seconds. If all targets
# are slow, hedging would otherwise double their load.
BUDGET_RATIO = 0.05
BUDGET_SECONDS = 10


class TailLatency:
    """The latencies of a route's most recent calls."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def learn(self, seconds: float) -> None:
        """Add the latency of a call."""
        self._recent.append(seconds)
        bisect.insort(self._sorted, seconds)
        if len(self._recent) > WINDOW_CALLS:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def compute_delay(self, objective: float) -> float:
        """Return the seconds after which a call is hedged.

        ``objective`` is the latency that calls should be answered in.
        """
        longest = MAX_OBJECTIVE_RATIO * objective
        count = len(self._sorted)
        if count < MIN_CALLS:
            return longest
        tail = self._sorted[math.ceil(TAIL_QUANTILE * count) - 1]
        median = self._sorted[count // 2]
        return min(longest, max(tail, MIN_MEDIAN_RATIO * median))


class HedgingBudget:
    """Bounds second calls to a share of the calls of the last seconds."""

    def __init__(self) -> None:
        # Numbers of first and second calls by whole second.
        self._seconds: collections.deque[list[int]] = collections.deque()
        self._call_count = 0
        self._hedge_count = 0

    def record_call(self, now: float) -> None:
        """Record a first call."""
        self._get_second(now)[1] += 1
        self._call_count += 1

    def allows_call(self, now: float) -> bool:
        """Return whether a second call may be sent."""
        self._get_second(now)
        return self._hedge_count + 1 <= BUDGET_RATIO * self._call_count

    def record_second_call(self, now: float) -> None:
        """Record a second call."""
        self._get_second(now)[2] += 1
        self._hedge_count += 1

    def _get_second(self, now: float) -> list[int]:
        number = int(now)
        while self._seconds and self._seconds[0][0] <= number - BUDGET_SECONDS:
            _, call_count, hedge_count = self._seconds.popleft()
            self._call_count -= call_count
            self._hedge_count -= hedge_count
        if not self._seconds or self._seconds[-1][0] != number:
            self._seconds.append([number, 0, 0])
        return self._seconds[-1]


class RouteHedging:
    """The tail latency and the budget of a route."""

    def __init__(self) -> None:
        self.latency = TailLatency()
        self.budget = HedgingBudget()
