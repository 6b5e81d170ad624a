"""Estimation of target load and selection of a target for a request.

Each response carries a load report: the running and waiting requests of the
target. Other instances send to the same target, so the weight of a report
decays with its age. Requests sent by this instance are counted exactly.
"""

import collections
import typing

from vanillayoke.scheduling import health
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import prefixes
from vanillayoke.scheduling import shared_health as shared_health_module

REPORT_HALF_LIFE_SECONDS = 0.5
SHED_PAUSE_SECONDS = 0.05
# A single failure within this time of a success is not reported to other
# instances: one lost response among good ones does not make a target
# unhealthy.
RECENT_SUCCESS_SECONDS = 2.0


class LoadReport(typing.NamedTuple):
    """A target's load as reported in a response."""

    running: int
    waiting: int
    slots: int


class Candidate(typing.NamedTuple):
    """A target that a request may be sent to."""

    name: str
    slots: int
    zone: str


class _State:
    def __init__(self) -> None:
        self.in_flight = 0
        self.reported = 0.0
        self.reported_at = float('-inf')
        self.own_at_report = 0
        self.slots: int | None = None
        self.shed_until = float('-inf')
        self.health = health.Health()
        self.last_success_at = float('-inf')


class Occupancy:
    """One instance's view of the load and health of its targets.

    ``shared_health`` holds the health states that the instances agree on;
    ``publish`` is called with each state that this instance changes.
    ``count_instances`` returns the number of live instances.
    """

    def __init__(
        self,
        shared_health: shared_health_module.SharedHealth | None = None,
        count_instances: typing.Callable[[], int] = lambda: 1,
        publish: typing.Callable[
            [shared_health_module.HealthState], None
        ] = lambda state: None,
    ) -> None:
        self._states: dict[str, _State] = {}
        self.shared_health = (
            shared_health or shared_health_module.SharedHealth('', lambda: 0.5)
        )
        self._count_instances = count_instances
        self._publish = publish

    def begin(self, name: str) -> None:
        """Record that a request is sent to a target."""
        self._get_state(name).in_flight += 1

    def end(self, name: str) -> None:
        """Record that a request has ended, successfully or not."""
        self._get_state(name).in_flight -= 1

    def record_report(self, name: str, report: LoadReport, now: float) -> None:
        """Store the load report from a response."""
        state = self._get_state(name)
        state.reported = report.running + report.waiting
        state.reported_at = now
        state.own_at_report = state.in_flight
        state.slots = report.slots

    def record_shed(self, name: str, now: float) -> None:
        """Record that a target shed a request because it was full."""
        self._get_state(name).shed_until = now + SHED_PAUSE_SECONDS

    def record_unreachable(self, name: str, now: float) -> None:
        """Record that a target refused a connection or did not respond."""
        self._get_state(name).health.record_unreachable(now)
        self._report_failure(name, now)

    def record_outcome(self, name: str, is_success: bool, now: float) -> None:
        """Record whether a request that a target accepted succeeded."""
        state = self._get_state(name)
        is_paused = state.health.record_outcome(is_success, now)
        if is_success:
            state.last_success_at = now
            self._publish_change(self.shared_health.record_success(name, now))
        elif is_paused or now - state.last_success_at > RECENT_SUCCESS_SECONDS:
            self._report_failure(name, now)

    def record_probe(self, name: str, now: float) -> None:
        """Record a sent request, which probes a target if it is unhealthy."""
        self.shared_health.record_probe(name, now, self._count_instances())

    def _report_failure(self, name: str, now: float) -> None:
        count = self._count_instances()
        self._publish_change(
            self.shared_health.report_failure(name, now, count)
        )

    def _publish_change(
        self, state: shared_health_module.HealthState | None
    ) -> None:
        if state is not None:
            self._publish(state)

    def retain(self, names: typing.Container[str]) -> None:
        """Discard the state of targets that are not in ``names``.

        Load and local health are kept while requests are in flight.
        """
        for name, state in list(self._states.items()):
            if name not in names and state.in_flight <= 0:
                del self._states[name]
        self.shared_health.retain(names)

    def handle_restart(self, name: str) -> None:
        """Discard what is known of a target's previous process.

        Requests in flight stay counted until they end.
        """
        state = self._states.pop(name, None)
        if state is not None and state.in_flight > 0:
            self._get_state(name).in_flight = state.in_flight
        self.shared_health.handle_restart(name)

    def estimate_requests(self, name: str, now: float) -> float:
        """Return the estimated number of requests at a target."""
        state = self._states.get(name)
        if state is None:
            return 0.0
        age = max(0.0, now - state.reported_at)
        others = max(0.0, state.reported - state.own_at_report)
        return state.in_flight + others * 0.5 ** (
            age / REPORT_HALF_LIFE_SECONDS
        )

    def get_utilisation(self, candidate: Candidate, now: float) -> float:
        """Return requests per slot; above 1 means that some are queued."""
        return self.estimate_requests(candidate.name, now) / self.get_slots(
            candidate
        )

    def get_slots(self, candidate: Candidate) -> int:
        """Return how many requests a target runs concurrently."""
        state = self._states.get(candidate.name)
        if state is not None and state.slots:
            return state.slots
        return max(1, candidate.slots)

    def should_avoid(self, name: str, now: float) -> bool:
        """Return whether no request should be sent to a target now."""
        if self.shared_health.is_unhealthy(name, self._count_instances()):
            return not self.shared_health.may_probe(name, now)
        state = self._states.get(name)
        if state is None:
            return False
        return state.health.should_avoid(now, state.in_flight)

    def is_unhealthy(self, name: str, now: float) -> bool:
        """Return whether a target is unhealthy, also while it is probed."""
        return self.shared_health.is_unhealthy(
            name, self._count_instances()
        ) or self.should_avoid(name, now)

    def has_recently_shed(self, name: str, now: float) -> bool:
        """Return whether a target shed within ``SHED_PAUSE_SECONDS``."""
        state = self._states.get(name)
        return state is not None and now < state.shed_until

    def _get_state(self, name: str) -> _State:
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = _State()
        return state


class PlacementCriteria(typing.NamedTuple):
    """What makes one target preferable to another for a request.

    ``affinity_target`` holds the session's cache; ``zone`` is the instance's
    own zone. ``slope`` is the relative latency that each further request at
    the target adds. ``shared_prefix`` names the prompt prefix shared with
    other programs, and ``rank_cost`` is the cost of each rank in that
    prefix's order of targets. ``affinity_value`` is the value of finding the
    rest of the prompt in the cache. Costs and values are relative to the
    duration of a turn on an idle target.
    """

    affinity_target: str | None
    zone: str
    slope: float = 0.0
    shared_prefix: str | None = None
    rank_cost: float = 0.0
    affinity_value: float = 0.0


# Subtracted from the score of the target with the session's cache. Scores are
# in requests per slot; the lowest score wins. Processing the session's history
# again takes about the time of that much queueing.
AFFINITY_BONUS = 0.25
# Traffic between zones costs.
LOCAL_ZONE_BONUS = 0.08
# Remote targets are considered if other requests slow the best local one
# down by more than this. They have to be faster by about as much to make up
# for the traffic between zones and the queries.
MAX_LOCAL_SLOWDOWN_RATIO = 0.25
# Below this utilisation no request waits for a slot. What other requests cost
# there is covered by the slope, which is learned.
LOW_UTILISATION = 0.4
# If a smaller share of the targets is healthy, health is ignored.
MIN_HEALTHY_RATIO = 0.5
# Random addition to scores, so that instances with the same outdated view do
# not all choose the same target.
MAX_JITTER = 0.05
# Candidates per group (local, remote). Comparing a few random targets avoids
# long queues without all instances choosing the same one.
MAX_CANDIDATES = 3
# Added to the score of a target without a free slot.
FULL_PENALTY = 1.0


class Candidates(typing.NamedTuple):
    """Targets whose current load is to be queried.

    ``local`` holds the target with the session's cache and some of the
    instance's own zone; ``remote`` is needed only if none of these is lightly
    loaded.
    """

    local: list[Candidate]
    remote: list[Candidate]


def choose_candidates(
    candidates: typing.Sequence[Candidate],
    occupancy: Occupancy,
    criteria: PlacementCriteria,
    excluded: typing.Container[str],
    now: float,
    random_float: typing.Callable[[], float],
) -> Candidates:
    """Return the targets whose load is to be queried; may be empty.

    Targets in ``excluded`` are left out. Unhealthy targets are used only if
    too many are unhealthy: the view of one instance must not take a whole
    service out of use.
    """
    available = _list_available(candidates, occupancy, excluded, now)
    available.sort(key=lambda candidate: random_float())
    if criteria.rank_cost > 0:
        ranks = rank_within_zones(available, criteria)
        available.sort(key=lambda candidate: ranks[candidate.name])
    preferred = [
        candidate
        for candidate in available
        if candidate.name == criteria.affinity_target
    ]
    others = [
        candidate
        for candidate in available
        if candidate.name != criteria.affinity_target
    ]
    local = [
        candidate for candidate in others if candidate.zone == criteria.zone
    ]
    remote = [
        candidate for candidate in others if candidate.zone != criteria.zone
    ]
    return Candidates(
        preferred + local[:MAX_CANDIDATES],
        local[MAX_CANDIDATES:] + remote[:MAX_CANDIDATES],
    )


def rank_within_zones(
    candidates: typing.Iterable[Candidate], criteria: PlacementCriteria
) -> dict[str, int]:
    """Return the rank of each target within its zone for a shared prefix.

    Targets are ranked per zone, so that each zone has engines that hold the
    prefix.
    """
    ranks: dict[str, int] = {}
    counts: collections.Counter[str] = collections.Counter()
    zones = {candidate.name: candidate.zone for candidate in candidates}
    for name in prefixes.rank_targets(criteria.shared_prefix, zones):
        zone = zones[name]
        ranks[name] = min(counts[zone], prefixes.MAX_RANK)
        counts[zone] += 1
    return ranks


def _list_available(
    candidates: typing.Sequence[Candidate],
    occupancy: Occupancy,
    excluded: typing.Container[str],
    now: float,
) -> list[Candidate]:
    """Return the targets that are healthy and have not just shed requests."""
    allowed = [
        candidate for candidate in candidates if candidate.name not in excluded
    ]
    healthy = [
        candidate
        for candidate in allowed
        if not occupancy.should_avoid(candidate.name, now)
    ]
    if len(healthy) < MIN_HEALTHY_RATIO * len(allowed):
        healthy = allowed
    return [
        candidate
        for candidate in healthy
        if not occupancy.has_recently_shed(candidate.name, now)
    ]


def is_lightly_loaded(
    candidate: Candidate,
    loads: typing.Mapping[str, load_counts.Load],
    occupancy: Occupancy,
    criteria: PlacementCriteria,
) -> bool:
    """Return whether a target is good enough to skip the remote candidates.

    It has a free slot, shows no raised latency, and its other requests slow
    it down by less than ``MAX_LOCAL_SLOWDOWN_RATIO``.
    """
    load = loads.get(candidate.name)
    if load is None or load.latency_ratio != 1.0:
        return False
    is_fast = criteria.slope * load.requests < MAX_LOCAL_SLOWDOWN_RATIO
    return load.total < occupancy.get_slots(candidate) and is_fast


def choose_least_loaded(
    candidates: typing.Sequence[Candidate],
    loads: typing.Mapping[str, load_counts.Load],
    occupancy: Occupancy,
    criteria: PlacementCriteria,
    now: float,
    random_float: typing.Callable[[], float],
) -> Candidate | None:
    """Return the target with the lowest score, ``None`` without targets.

    Targets that are missing in ``loads`` are judged by this instance's own
    view. A target with a latency ratio of n scores like one with n times the
    requests.
    """
    best = None
    lowest = 0.0
    ranks = (
        rank_within_zones(candidates, criteria)
        if criteria.rank_cost > 0
        else {}
    )
    for candidate in candidates:
        slots = occupancy.get_slots(candidate)
        load = loads.get(candidate.name)
        if load is None:
            load = load_counts.Load(
                occupancy.estimate_requests(candidate.name, now)
            )
        score = max(LOW_UTILISATION, load.total / slots)
        score += criteria.slope * load.requests
        if load.total >= slots:
            score += FULL_PENALTY
        score = score * load.latency_ratio + MAX_JITTER * random_float()
        if candidate.name == criteria.affinity_target:
            score -= AFFINITY_BONUS + criteria.affinity_value
        else:
            score += criteria.rank_cost * ranks.get(candidate.name, 0)
        if candidate.zone == criteria.zone:
            score -= LOCAL_ZONE_BONUS
        if best is None or score < lowest:
            best, lowest = candidate, score
    return best


def choose_by_own_view(
    candidates: typing.Sequence[Candidate],
    occupancy: Occupancy,
    criteria: PlacementCriteria,
    excluded: typing.Container[str],
    now: float,
    random_float: typing.Callable[[], float],
) -> Candidate | None:
    """Return the best target by this instance's own view alone."""
    available = _list_available(candidates, occupancy, excluded, now)
    return choose_least_loaded(
        available, {}, occupancy, criteria, now, random_float
    )
