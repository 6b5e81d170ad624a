"""A simulation of engines of unequal speed on machines with contention."""

import collections
import heapq
import random
import typing

from vanillayoke.scheduling import completion
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import target_load

SLOTS = 6
ZONES = 4
INSTANCES = 20
EVENTS = 4
EVENT_SECONDS = 0.0386
# The relative time that each other running request adds.
SLOPE = 0.04
# Contention changes at these intervals.
EPOCH_SECONDS = 0.6


class Setting(typing.NamedTuple):
    """The engines, their load, and how the instances see it.

    ``load`` is relative to the capacity without contention. Notifications
    reach the coordinator together every ``view_age`` seconds; ``None`` means
    that it does not respond.
    """

    speeds: tuple[float, ...]
    load: float
    contended: float = 0.0
    contention: float = 2.5
    view_age: float | None = 0.0
    zones: int = 1


class Result(typing.NamedTuple):
    """What the requests got after the estimates had settled.

    ``stretch`` is sorted and holds the duration of each request relative to
    that on an idle engine of mean speed. ``needless_waits`` is the share of
    requests that waited while an engine in question had a free slot.
    """

    stretch: list[float]
    counts: dict[str, int]
    needless_waits: float
    contended_share: float
    remote_share: float

    def get_quantile(self, share: float) -> float:
        """Return a quantile of the stretch."""
        return self.stretch[int(share * (len(self.stretch) - 1))]

    def get_mean(self) -> float:
        """Return the mean stretch."""
        return sum(self.stretch) / len(self.stretch)


class Simulation:
    """Engines, their coordinator and the views of the instances."""

    def __init__(self, setting: Setting, seed: int = 1) -> None:
        self.setting = setting
        self.rng = random.Random(seed)
        self.candidates = [
            occupancy.Candidate(f'e{n}', SLOTS, f'z{n % setting.zones}')
            for n in range(len(setting.speeds))
        ]
        self.speeds = dict(
            zip(
                (one.name for one in self.candidates),
                setting.speeds,
                strict=True,
            )
        )
        self.running = dict.fromkeys(self.speeds, 0)
        self.queues = {name: collections.deque() for name in self.speeds}
        self.counts = load_counts.LoadCounts()
        self.views = [occupancy.Occupancy() for _ in range(INSTANCES)]
        self.performance = [
            target_load.PerformanceView() for _ in range(INSTANCES)
        ]
        self.events: list = []
        self._delayed: list[tuple[typing.Callable, tuple]] = []
        self._delivered_at = 0.0
        self._epochs: dict[int, set[str]] = {}

    def get_contention(self, name: str, now: float) -> float:
        """Return the true contention on an engine's machine."""
        epoch = int(now / EPOCH_SECONDS)
        if epoch not in self._epochs:
            count = round(self.setting.contended * len(self.speeds))
            rng = random.Random(epoch)
            self._epochs[epoch] = set(rng.sample(sorted(self.speeds), count))
        return self.setting.contention if name in self._epochs[epoch] else 1.0

    def run(
        self, choose: typing.Callable, turns: int = 6000, settle: int = 2000
    ) -> Result:
        """Serve requests; the first ones only serve to settle."""
        capacity = sum(SLOTS / speed for speed in self.speeds.values())
        duration = EVENTS * EVENT_SECONDS * (1 + SLOPE * (SLOTS - 1))
        rate = self.setting.load * capacity / duration
        now, needless, contended, remote = 0.0, 0, 0, 0
        placed: collections.Counter[str] = collections.Counter()
        self.stretches: list[float] = []
        for number in range(turns):
            now += self.rng.expovariate(rate)
            self._advance(now)
            owner = self.rng.randrange(INSTANCES)
            zone = f'z{owner % self.setting.zones}'
            one = choose(self, owner, zone, now)
            name = one.name
            if number >= settle:
                placed[name] += 1
                contended += self.get_contention(name, now) > 1.0
                remote += one.zone != zone
                if self.running[name] >= SLOTS:
                    needless += min(self.running.values()) < SLOTS
            self.views[owner].begin(name)
            self._notify(self.counts.begin, name, str(number), now + 3.0, now)
            self.queues[name].append((now, number, owner, number >= settle))
            self._start(name, now)
        self._advance(float('inf'))
        total = turns - settle
        return Result(
            sorted(self.stretches),
            placed,
            needless / total,
            contended / total,
            remote / total,
        )

    def query(self, names: typing.Iterable[str], now: float) -> dict:
        """Return the loads that the coordinators respond with."""
        if self.setting.view_age is None:
            return {}
        return {name: self.counts.get_load(name, now) for name in names}

    def _notify(self, receive: typing.Callable, *values: object) -> None:
        if self.setting.view_age:
            self._delayed.append((receive, values))
        else:
            receive(*values)

    def _deliver(self, now: float) -> None:
        if now - self._delivered_at >= (self.setting.view_age or 0.0):
            self._delivered_at = now
            for receive, values in self._delayed:
                receive(*values)
            self._delayed.clear()

    def _start(self, name: str, now: float) -> None:
        while self.queues[name] and self.running[name] < SLOTS:
            arrived, number, owner, counts = self.queues[name].popleft()
            others = self.running[name]
            self.running[name] += 1
            work = EVENTS * EVENT_SECONDS * self.speeds[name]
            work *= (1 + SLOPE * others) * self.rng.uniform(0.85, 1.15)
            end = self._compute_end(name, now, work)
            reported = self.get_contention(name, now)
            self.performance[owner].record_report('s', name, reported, now)
            early = target_load.Sample(reported)
            self._notify(self.counts.end, name, '', None, None, now, early)
            event = (end, number, name, owner, arrived, now, others)
            heapq.heappush(self.events, (*event, reported, counts))

    def _compute_end(self, name: str, now: float, work: float) -> float:
        while True:
            slowness = self.get_contention(name, now)
            until = (int(now / EPOCH_SECONDS) + 1) * EPOCH_SECONDS + 1e-9
            if work * slowness <= until - now:
                return now + work * slowness
            work -= (until - now) / slowness
            now = until

    def _advance(self, now: float) -> None:
        self._deliver(now)
        while self.events and self.events[0][0] <= now:
            event = heapq.heappop(self.events)
            end, number, name, owner, arrived, started, others = event[:7]
            reported, counts = event[7:]
            pace = (end - started) / EVENTS / reported / (1 + SLOPE * others)
            sample = target_load.Sample(reported, end - started, pace)
            self.running[name] -= 1
            self._notify(
                self.counts.end, name, str(number), None, None, end, sample
            )
            view = self.views[owner]
            waiting = len(self.queues[name])
            report = occupancy.LoadReport(self.running[name], waiting, SLOTS)
            view.record_report(name, report, end)
            view.end(name)
            if counts:
                ideal = EVENTS * EVENT_SECONDS
                self.stretches.append((end - arrived) / ideal)
            self._start(name, end)


def choose_by_completion(
    simulation: Simulation, owner: int, zone: str, now: float
) -> occupancy.Candidate:
    """Choose as the gateway does for targets that report contention."""
    random_float = simulation.rng.random
    criteria = occupancy.PlacementCriteria(None, zone, SLOPE)
    first, further = occupancy.choose_candidates(
        simulation.candidates,
        simulation.views[owner],
        criteria,
        (),
        now,
        random_float,
    )
    work = EVENTS * EVENT_SECONDS
    demand = completion.Demand(work, work * 1.1, SLOPE, transfer_bytes=8000)
    considered = first
    for more in ([], completion.limit_further(further, zone)):
        considered = [*considered, *more]
        names = [one.name for one in considered]
        loads = simulation.query(names, now)
        states = {
            one.name: _get_state(simulation, owner, one, loads, now, demand)
            for one in considered
        }
        best = completion.choose(
            considered, states, demand, criteria, zone, random_float
        )
        if best is not None and completion.is_good_enough(best, demand):
            break
    return next(one for one in considered if one.name == best.target)


def choose_by_score(
    simulation: Simulation, owner: int, zone: str, now: float
) -> occupancy.Candidate:
    """Choose as for targets that do not report contention."""
    random_float = simulation.rng.random
    view = simulation.views[owner]
    criteria = occupancy.PlacementCriteria(None, zone, SLOPE)
    first, further = occupancy.choose_candidates(
        simulation.candidates, view, criteria, (), now, random_float
    )
    loads = simulation.query([one.name for one in first], now)
    best = occupancy.choose_least_loaded(
        first, loads, view, criteria, now, random_float
    )
    if best is not None and occupancy.is_lightly_loaded(
        best, loads, view, criteria
    ):
        return best
    considered = [*first, *further]
    loads = simulation.query([one.name for one in considered], now)
    return occupancy.choose_least_loaded(
        considered, loads, view, criteria, now, random_float
    )


def choose_at_random(
    simulation: Simulation, owner: int, zone: str, now: float
) -> occupancy.Candidate:
    """Choose regardless of load."""
    return simulation.rng.choice(simulation.candidates)


def _get_state(
    simulation: Simulation,
    owner: int,
    candidate: occupancy.Candidate,
    loads: typing.Mapping[str, load_counts.Load],
    now: float,
    demand: completion.Demand,
) -> completion.TargetState:
    view = simulation.performance[owner]
    name = candidate.name
    load = loads.get(name)
    performance = None if load is None else load.performance
    speed = 1.0
    if performance is not None:
        view.record_estimate('s', name, performance, now)
        speed = view.compute_speed('s', performance.pace, now)
    own = completion.TargetState(
        simulation.views[owner].estimate_requests(name, now),
        SLOTS,
        speed,
        view.get_contention(name, now),
    )
    if load is None or completion.is_outdated(
        load.requests, load.silence, demand, own.slowness
    ):
        return own
    return own._replace(requests=load.requests)
