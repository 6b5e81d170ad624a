"""Estimates of how fast targets work at present.

The time that work takes at a target is the usual time of its service,
multiplied by the long-term speed of the target (1.0 is the mean of the
service's targets, 2.0 takes twice as long), by the momentary contention on its
machine (1.0 is as usual), and by the slow-down with its requests, see
``slowdown``.

The coordinator of a target keeps its pace: the time for one unit of work,
corrected for contention and load. For engines, the unit is one event, so that
all coordinators measure in seconds. For other services it is the usual request
of a route. Each instance divides the pace by the mean of the service's targets
to get the speed.
"""

import math
import statistics
import typing

# A report decays to 1.0 with this half-life. The contention of a machine
# changes about every 0.6 s, so half of the reports are outdated after 0.3 s.
CONTENTION_HALF_LIFE_SECONDS = 0.3
# Reports are clipped to this range. A target that is eight times slower is
# avoided like one that is slower still, and a wrong report has decayed below
# 1.1 after 2 s.
MIN_CONTENTION, MAX_CONTENTION = 0.25, 8.0
# A report is unexpected if it differs from the view by this share of it. Most
# reports of unchanged machines are within it, so that they need no
# notification of their own.
MAX_EXPECTED_CHANGE = 0.2
# Weight of the newest sample in the moving average of the pace. Contention
# that changes during a response falsifies about one sample in ten by a factor
# of 2.5; this weight keeps the resulting error of the average below 5%.
PACE_WEIGHT = 0.03
# Samples are clipped to the average multiplied or divided by this factor.
MAX_PACE_CHANGE = 4.0
# A pace without samples for this time is forgotten, so that a target that was
# once slow is tried again.
MAX_PACE_AGE_SECONDS = 60.0
# Speeds are clipped to this range.
MIN_SPEED, MAX_SPEED = 0.2, 5.0
# How long an instance uses the mean pace of a service before it computes it
# again.
MEAN_LIFETIME_SECONDS = 0.25


class Sample(typing.NamedTuple):
    """What a response told about its target.

    ``contention`` was reported ``age`` seconds ago. ``pace`` is the time for
    one unit of work, corrected for contention and load. Both are ``None`` if
    unknown.
    """

    contention: float | None = None
    age: float = 0.0
    pace: float | None = None


class Contention:
    """The momentary contention on the machine of a target."""

    def __init__(self) -> None:
        self.reported: float | None = None
        self.reported_at = -math.inf

    def record(self, value: float, at: float) -> None:
        """Record a report; older ones than the last are ignored."""
        if at < self.reported_at or not math.isfinite(value):
            return
        self.reported = min(MAX_CONTENTION, max(MIN_CONTENTION, value))
        self.reported_at = at

    def get(self, now: float) -> float:
        """Return the expected contention, which decays to 1.0."""
        if self.reported is None:
            return 1.0
        age = max(0.0, now - self.reported_at)
        return 1.0 + (self.reported - 1.0) * 0.5 ** (
            age / CONTENTION_HALF_LIFE_SECONDS
        )


class Pace:
    """The average time for one unit of work at a target."""

    def __init__(self) -> None:
        self._average = 0.0
        self._count = 0
        self._learned_at = -math.inf

    def learn(self, sample: float, now: float) -> None:
        """Add a sample."""
        if not math.isfinite(sample) or sample <= 0.0:
            return
        if self.get(now) is None:
            self._count = 0
        if self._count:
            lowest = self._average / MAX_PACE_CHANGE
            highest = self._average * MAX_PACE_CHANGE
            sample = min(highest, max(lowest, sample))
        self._count += 1
        weight = max(PACE_WEIGHT, 1.0 / self._count)
        self._average += weight * (sample - self._average)
        self._learned_at = now

    def get(self, now: float) -> float | None:
        """Return the average, ``None`` without recent samples."""
        is_recent = now - self._learned_at <= MAX_PACE_AGE_SECONDS
        return self._average if self._count and is_recent else None


class TargetPerformance:
    """What the coordinator of a target knows of its pace and contention."""

    def __init__(self) -> None:
        self._contention = Contention()
        self._pace = Pace()

    def learn(self, sample: Sample, now: float) -> None:
        """Add what a response told."""
        if sample.contention is not None:
            at = now - max(0.0, sample.age)
            self._contention.record(sample.contention, at)
        if sample.pace is not None:
            self._pace.learn(sample.pace, now)

    def get(self, now: float) -> Sample | None:
        """Return the present estimate, ``None`` if nothing is known.

        Its contention is the last reported one, with its age.
        """
        pace = self._pace.get(now)
        reported = self._contention.reported
        if pace is None and reported is None:
            return None
        if reported is None:
            return Sample(pace=pace)
        age = max(0.0, now - self._contention.reported_at)
        return Sample(reported, age, pace)


class _ServiceView:
    def __init__(self) -> None:
        # Targets whose last report contained their contention.
        self.reporting: set[str] = set()
        # The latest pace of each target and the time that it was received.
        self.paces: dict[str, tuple[float, float]] = {}
        self.mean_pace: float | None = None
        self.mean_computed_at = -math.inf


class PerformanceView:
    """One instance's view of the speed and contention of all targets.

    It consists of the reports that the instance itself received and of the
    estimates of coordinators. Its size is linear in the number of targets.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceView] = {}
        self._contentions: dict[str, Contention] = {}

    def record_report(
        self, service: str, target: str, contention: float | None, now: float
    ) -> bool:
        """Record a report of a target, ``None`` if without contention.

        Return whether the contention was unexpected.
        """
        if contention is None:
            if service in self._services:
                self._services[service].reporting.discard(target)
            return False
        expected = self.get_contention(target, now)
        self._get_service(service).reporting.add(target)
        self._record_contention(target, contention, now)
        change = abs(contention - expected)
        return change > MAX_EXPECTED_CHANGE * expected

    def record_estimate(
        self, service: str, target: str, estimate: Sample, now: float
    ) -> None:
        """Record the estimate of the target's coordinator."""
        if estimate.contention is not None:
            at = now - max(0.0, estimate.age)
            self._record_contention(target, estimate.contention, at)
        if estimate.pace is not None and estimate.pace > 0.0:
            self._get_service(service).paces[target] = estimate.pace, now

    def reports_contention(self, service: str) -> bool:
        """Return whether targets of a service report their contention."""
        view = self._services.get(service)
        return view is not None and bool(view.reporting)

    def get_contention(self, target: str, now: float) -> float:
        """Return the expected contention on a target's machine."""
        contention = self._contentions.get(target)
        return 1.0 if contention is None else contention.get(now)

    def compute_speed(
        self, service: str, pace: float | None, now: float
    ) -> float:
        """Return the speed of a target with a pace; 1.0 if unknown."""
        view = self._services.get(service)
        if view is None or pace is None or pace <= 0.0:
            return 1.0
        if now - view.mean_computed_at > MEAN_LIFETIME_SECONDS:
            view.mean_pace = _compute_mean(view, now)
            view.mean_computed_at = now
        if view.mean_pace is None:
            return 1.0
        return min(MAX_SPEED, max(MIN_SPEED, pace / view.mean_pace))

    def retain(self, targets: typing.Container[str]) -> None:
        """Discard what is known of targets that are not in ``targets``."""
        known = set(self._contentions)
        for view in self._services.values():
            known |= view.reporting | view.paces.keys()
        for target in known:
            if target not in targets:
                self.reset(target)

    def reset(self, target: str) -> None:
        """Discard what is known of a target that has restarted."""
        self._contentions.pop(target, None)
        for view in self._services.values():
            view.reporting.discard(target)
            view.paces.pop(target, None)

    def _record_contention(
        self, target: str, contention: float, at: float
    ) -> None:
        known = self._contentions.get(target)
        if known is None:
            known = self._contentions[target] = Contention()
        known.record(contention, at)

    def _get_service(self, service: str) -> _ServiceView:
        view = self._services.get(service)
        if view is None:
            view = self._services[service] = _ServiceView()
        return view


def _compute_mean(view: _ServiceView, now: float) -> float | None:
    for target, (_, received_at) in list(view.paces.items()):
        if now - received_at > MAX_PACE_AGE_SECONDS:
            del view.paces[target]
    if not view.paces:
        return None
    # The pace of a target with few samples may be wrong by any factor, for
    # example if an instance stood still while it measured them.
    median = statistics.median_low(pace for pace, _ in view.paces.values())
    lowest, highest = MIN_SPEED * median, MAX_SPEED * median
    total = sum(
        min(highest, max(lowest, pace)) for pace, _ in view.paces.values()
    )
    return total / len(view.paces)
