"""Request counts of targets, aggregated over all instances.

Each target has a coordinator among the instances. The others notify it of
each request that they send to the target and of its end, so its count is more
recent than the load reports that a single instance receives.
"""

import typing

from vanillayoke.scheduling import target_load

# Load reports cover requests whose start was sent to a previous coordinator.
REPORT_HALF_LIFE_SECONDS = 0.2
# Weight of the newest request in the moving average of latency ratios. Some
# ten requests distinguish a target that is four times slower from one that had
# a few long requests.
LATENCY_RATIO_WEIGHT = 0.1
# Without requests the latency ratio decays towards 1, so that a slow target
# is tried again.
LATENCY_RATIO_HALF_LIFE_SECONDS = 2.0
# Lower latency ratios are within the normal variation of requests.
MIN_SLOW_LATENCY_RATIO = 2.0
# Latency ratios of single requests are clipped to this value.
MAX_LATENCY_RATIO = 8.0


class Load(typing.NamedTuple):
    """The load of a target as its coordinator knows it.

    ``latency_ratio`` is the duration of its requests relative to the average
    of such requests; 1 while it is within the normal variation. ``waiting``
    counts the requests that wait for a slot at the coordinator.
    ``performance`` is ``None`` if the target does not report its contention.
    ``silence`` is the time since the last request there began or ended, in
    seconds.
    """

    requests: float
    latency_ratio: float = 1.0
    waiting: int = 0
    performance: target_load.Sample | None = None
    silence: float = 0.0

    @property
    def total(self) -> float:
        """The number of running and waiting requests."""
        return self.requests + self.waiting


class _TargetCounts:
    def __init__(self) -> None:
        # The deadline of each request. It is the end of requests whose end
        # was not reported because an instance failed or a datagram was lost.
        self.running: dict[str, float] = {}
        self.reported = 0.0
        self.reported_at = float('-inf')
        self.average_ratio = 1.0
        self.ratio_updated_at = 0.0
        self.waiting = 0
        self.performance = target_load.TargetPerformance()
        self.notified_at = float('-inf')


class LoadCounts:
    """Counts for the targets that this instance coordinates."""

    def __init__(self) -> None:
        self._targets: dict[str, _TargetCounts] = {}

    def begin(
        self, target: str, request: str, deadline: float, now: float
    ) -> None:
        """Count a request until its end is recorded or its deadline passes."""
        counts = self._get_counts(target)
        counts.notified_at = now
        running = counts.running
        running[request] = deadline
        for expired in [name for name, end in running.items() if end <= now]:
            del running[expired]

    def end(
        self,
        target: str,
        request: str,
        reported: int | None,
        latency_ratio: float | None,
        now: float,
        performance: target_load.Sample | None = None,
    ) -> None:
        """Record the end of a request and the load that its target reported.

        ``reported`` counts the requests at the target, including this one.
        ``latency_ratio`` is the request's duration relative to the average of
        such requests. Both are ``None`` if unknown. ``performance`` is what
        the response told about the target's pace and contention.
        """
        counts = self._get_counts(target)
        counts.notified_at = now
        counts.running.pop(request, None)
        if reported is not None:
            counts.reported = max(0, reported - 1)
            counts.reported_at = now
        if latency_ratio is not None:
            average = _get_average_ratio(counts, now)
            latency_ratio = min(MAX_LATENCY_RATIO, latency_ratio)
            counts.average_ratio = average + LATENCY_RATIO_WEIGHT * (
                latency_ratio - average
            )
            counts.ratio_updated_at = now
        if performance is not None:
            counts.performance.learn(performance, now)

    def set_waiting(self, target: str, count: int) -> None:
        """Set how many requests wait for a slot of a target."""
        self._get_counts(target).waiting = count

    def get_load(self, target: str, now: float) -> Load:
        """Return the load of a target."""
        counts = self._targets.get(target)
        if counts is None:
            return Load(0.0)
        ratio = _get_average_ratio(counts, now)
        latency_ratio = ratio if ratio >= MIN_SLOW_LATENCY_RATIO else 1.0
        return Load(
            self.count(target, now),
            latency_ratio,
            counts.waiting,
            performance=counts.performance.get(now),
            silence=max(0.0, now - counts.notified_at),
        )

    def count(self, target: str, now: float) -> float:
        """Return the estimated number of requests at a target."""
        counts = self._targets.get(target)
        if counts is None:
            return 0.0
        running = sum(deadline > now for deadline in counts.running.values())
        age = max(0.0, now - counts.reported_at)
        reported = counts.reported * 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)
        return max(float(running), reported)

    def retain(self, targets: typing.Container[str]) -> None:
        """Discard the counts of targets that are not in ``targets``."""
        for name in [name for name in self._targets if name not in targets]:
            del self._targets[name]

    def reset(self, target: str) -> None:
        """Discard the counts of a target that has restarted."""
        self._targets.pop(target, None)

    def _get_counts(self, target: str) -> _TargetCounts:
        counts = self._targets.get(target)
        if counts is None:
            counts = self._targets[target] = _TargetCounts()
        return counts


def _get_average_ratio(counts: _TargetCounts, now: float) -> float:
    age = max(0.0, now - counts.ratio_updated_at)
    return 1.0 + (counts.average_ratio - 1.0) * 0.5 ** (
        age / LATENCY_RATIO_HALF_LIFE_SECONDS
    )
