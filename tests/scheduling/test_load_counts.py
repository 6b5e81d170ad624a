"""Tests of request counts of targets, aggregated over all instances."""

import heapq
import random

from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import program_slack
from vanillayoke.testing import fixtures

INSTANCES, ENGINES, SLOTS = 82, 22, 6
SERVICE_SECONDS = 0.2
ROUND_TRIP_SECONDS = 0.002


def test_count_follows_starts_and_ends_of_requests(case):
    counter = load_counts.LoadCounts()
    counter.begin('t', 'a', 3.0, 0.0)
    counter.begin('t', 'b', 3.0, 0.1)
    case.assertEqual(2.0, counter.count('t', 0.2))
    counter.end('t', 'a', None, None, 0.3)
    case.assertEqual(1.0, counter.count('t', 0.4))
    case.assertEqual(0.0, counter.count('other', 0.4))


def test_request_whose_end_is_not_reported_expires(case):
    """Its instance failed, or the datagram was lost."""
    counter = load_counts.LoadCounts()
    counter.begin('t', 'a', 5.0, 0.0)
    case.assertEqual(1.0, counter.count('t', 4.9))
    case.assertEqual(0.0, counter.count('t', 5.1))
    counter.begin('t', 'b', 9.0, 5.1)
    counter.end('t', 'a', None, None, 5.2)
    case.assertEqual(1.0, counter.count('t', 5.2))


def test_new_coordinator_uses_the_load_that_targets_report(case):
    """The counts of the previous coordinator are lost."""
    counter = load_counts.LoadCounts()
    counter.end('t', 'unknown', 25, None, 0.0)
    case.assertEqual(24.0, counter.count('t', 0.0))
    case.assertLess(counter.count('t', 1.0), 1.0)


def test_slow_target_is_detected_and_tried_again_later(case):
    """A target that gets no requests must not count as slow for ever."""
    counter = load_counts.LoadCounts()
    for step in range(12):
        now = step * 0.05
        counter.end('t', str(step), None, 4.0, now)
    case.assertGreater(counter.get_load('t', 0.6).latency_ratio, 2.0)
    case.assertEqual(1.0, counter.get_load('t', 8.0).latency_ratio)


def test_average_time_is_not_dominated_by_a_server_that_hangs(case):
    average = program_slack.AverageTime(0.03)
    for step in range(300):
        average.learn(0.5 if step % 10 == 0 else 0.03)
    case.assertLess(average.value, 0.045)


def test_normal_variation_of_durations_does_not_make_a_target_slow(case):
    rng = random.Random(1)
    counter = load_counts.LoadCounts()
    slow = 0
    for step in range(2000):
        now = step * 0.03
        counter.end('t', str(step), None, rng.expovariate(1.0), now)
        slow += counter.get_load('t', now).latency_ratio > 1.0
    case.assertLess(slow, 2000 * 0.01)


class _Simulation:
    """Turns of many instances at a constant load below the total capacity."""

    def __init__(self, load, seed):
        self.rng = random.Random(seed)
        self.candidates = [
            occupancy.Candidate(f'e{n}', SLOTS, f'z{n % 3}')
            for n in range(ENGINES)
        ]
        self.views = [occupancy.Occupancy() for _ in range(INSTANCES)]
        self.counter = load_counts.LoadCounts()
        self.running = dict.fromkeys((one.name for one in self.candidates), 0)
        self.local_choices = 0
        self.rate = load * ENGINES * SLOTS / SERVICE_SECONDS

    def run(self, choose, turns=6000):
        """Return the share of turns that found no free slot."""
        now, full, ends = 0.0, 0, []
        for number in range(turns):
            now += self.rng.expovariate(self.rate)
            while ends and ends[0][0] <= now:
                self._end(*heapq.heappop(ends))
            owner = self.rng.randrange(INSTANCES)
            criteria = occupancy.PlacementCriteria(None, f'z{owner % 3}')
            name = choose(self, self.views[owner], criteria, now).name
            full += self.running[name] >= SLOTS
            self.running[name] += 1
            self.views[owner].begin(name)
            self.counter.begin(name, str(number), now + 60.0, now)
            # Queueing is modelled as a longer duration of this turn.
            excess = max(0, self.running[name] - SLOTS)
            duration = SERVICE_SECONDS * (1 + excess / SLOTS)
            duration *= 0.5 + self.rng.random()
            heapq.heappush(ends, (now + duration, number, name, owner))
        return full / turns

    def _end(self, at, number, name, owner):
        view = self.views[owner]
        load = occupancy.LoadReport(self.running[name], 0, SLOTS)
        view.record_report(name, load, at)
        view.end(name)
        self.running[name] -= 1
        self.counter.end(name, str(number), None, None, at)


def _choose_by_reports(simulation, view, criteria, now):
    return occupancy.choose_by_own_view(
        simulation.candidates, view, criteria, (), now, simulation.rng.random
    )


def _choose_by_counts(simulation, view, criteria, now):
    random_float = simulation.rng.random
    local, remote = occupancy.choose_candidates(
        simulation.candidates, view, criteria, (), now, random_float
    )
    loads = _query_loads(simulation, local, now)
    best = occupancy.choose_least_loaded(
        local, loads, view, criteria, now, random_float
    )
    if best is not None and occupancy.is_lightly_loaded(
        best, loads, view, criteria
    ):
        simulation.local_choices += 1
        return best
    loads |= _query_loads(simulation, remote, now)
    return occupancy.choose_least_loaded(
        [*local, *remote], loads, view, criteria, now, random_float
    )


def _query_loads(simulation, candidates, now):
    return {
        one.name: simulation.counter.get_load(
            one.name, now - ROUND_TRIP_SECONDS
        )
        for one in candidates
    }


def test_most_turns_stay_in_their_zone(case):
    """Needless use of remote targets adds cross-zone traffic."""
    simulation = _Simulation(0.5, 1)
    simulation.run(_choose_by_counts)
    case.assertGreater(simulation.local_choices, 0.95 * 6000)


def test_few_turns_find_no_free_slot_near_capacity(case):
    shares = [
        _Simulation(0.85, seed).run(_choose_by_counts) for seed in range(2)
    ]
    case.assertLess(max(shares), 0.05)


def test_counts_avoid_queues_while_other_engines_have_free_slots(case):
    """Load reports are seconds old when each of many instances gets few."""
    by_reports, by_counts = [], []
    for seed in range(2):
        by_reports.append(_Simulation(0.7, seed).run(_choose_by_reports))
        by_counts.append(_Simulation(0.7, seed).run(_choose_by_counts))
    case.assertLess(max(by_counts), 0.04)
    case.assertGreater(min(by_reports), 3 * max(by_counts))


load_tests = fixtures.adapt(__name__)
