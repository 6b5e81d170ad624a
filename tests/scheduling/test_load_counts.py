"""Tests of counting at one place what all instances send to a target."""

import heapq
import random

from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import program_slack
from vanillayoke.testing import fixtures

INSTANCES, ENGINES, SLOTS = 82, 22, 6
SERVICE = 0.2
# Counts are as old as a round trip of datagrams.
ROUND_TRIP = 0.002


def test_count_follows_beginnings_and_ends(case):
    tally = load_counts.LoadCounts()
    tally.begin('t', 'a', 3.0, 0.0)
    tally.begin('t', 'b', 3.0, 0.1)
    case.assertEqual(2.0, tally.count('t', 0.2))
    tally.end('t', 'a', None, None, 0.3)
    case.assertEqual(1.0, tally.count('t', 0.4))
    case.assertEqual(0.0, tally.count('other', 0.4))


def test_request_whose_end_is_lost_is_forgotten(case):
    """The instance that sent it died, or the datagram was lost.

    A request counts for as long as its route allows, five seconds here.
    """
    tally = load_counts.LoadCounts()
    tally.begin('t', 'a', 5.0, 0.0)
    case.assertEqual(1.0, tally.count('t', 4.9))
    case.assertEqual(0.0, tally.count('t', 5.1))
    tally.begin('t', 'b', 9.0, 5.1)
    tally.end('t', 'a', None, None, 5.2)
    case.assertEqual(1.0, tally.count('t', 5.2))


def test_new_home_learns_from_what_targets_report(case):
    """The former home died with its counts; a target that shed says why."""
    tally = load_counts.LoadCounts()
    tally.end('t', 'unknown', 25, None, 0.0)
    case.assertEqual(24.0, tally.count('t', 0.0))
    case.assertLess(tally.count('t', 1.0), 1.0)


def test_slow_target_is_found_and_tried_again_later(case):
    """A server works four times slower for some seconds, then as usual."""
    tally = load_counts.LoadCounts()
    for step in range(12):
        now = step * 0.05
        tally.end('t', str(step), None, 4.0, now)
    case.assertGreater(tally.get_load('t', 0.6).latency_ratio, 2.0)
    case.assertEqual(1.0, tally.get_load('t', 8.0).latency_ratio)


def test_mean_time_is_not_moved_by_a_server_that_hangs(case):
    mean = program_slack.AverageTime(0.03)
    for step in range(300):
        mean.learn(0.5 if step % 10 == 0 else 0.03)
    case.assertLess(mean.value, 0.045)


def test_long_requests_among_usual_ones_are_no_slowness(case):
    """Times of requests differ by themselves, some are five times longer."""
    source = random.Random(1)
    tally = load_counts.LoadCounts()
    slow = 0
    for step in range(2000):
        now = step * 0.03
        tally.end('t', str(step), None, source.expovariate(1.0), now)
        slow += tally.get_load('t', now).latency_ratio > 1.0
    case.assertLess(slow, 2000 * 0.01)


class _Load:
    """Turns of many instances at a steady load below the engines' capacity."""

    def __init__(self, load, seed):
        self.source = random.Random(seed)
        self.places = [
            occupancy.Candidate(f'e{n}', SLOTS, f'z{n % 3}')
            for n in range(ENGINES)
        ]
        self.views = [occupancy.Occupancy() for _ in range(INSTANCES)]
        self.tally = load_counts.LoadCounts()
        self.running = dict.fromkeys((one.name for one in self.places), 0)
        self.near = 0
        self.rate = load * ENGINES * SLOTS / SERVICE

    def play(self, choose, turns=6000):
        """Return the share of turns that found no free slot."""
        now, full, ends = 0.0, 0, []
        for number in range(turns):
            now += self.source.expovariate(self.rate)
            while ends and ends[0][0] <= now:
                self._end(*heapq.heappop(ends))
            owner = self.source.randrange(INSTANCES)
            wish = occupancy.PlacementCriteria(None, f'z{owner % 3}')
            name = choose(self, self.views[owner], wish, now).name
            full += self.running[name] >= SLOTS
            self.running[name] += 1
            self.views[owner].begin(name)
            self.tally.begin(name, str(number), now + 60.0, now)
            # What waits takes longer; which turn waits does not matter here.
            excess = max(0, self.running[name] - SLOTS)
            taken = SERVICE * (1 + excess / SLOTS)
            taken *= 0.5 + self.source.random()
            heapq.heappush(ends, (now + taken, number, name, owner))
        return full / turns

    def _end(self, at, number, name, owner):
        view = self.views[owner]
        load = occupancy.LoadReport(self.running[name], 0, SLOTS)
        view.record_report(name, load, at)
        view.end(name)
        self.running[name] -= 1
        self.tally.end(name, str(number), None, None, at)


def _choose_by_reports(load, view, wish, now):
    return occupancy.choose_by_own_view(
        load.places, view, wish, (), now, load.source.random
    )


def _choose_by_counts(load, view, wish, now):
    draw = load.source.random
    near, far = occupancy.choose_candidates(
        load.places, view, wish, (), now, draw
    )
    loads = _ask(load, near, now)
    best = occupancy.choose_least_loaded(near, loads, view, wish, now, draw)
    if best is not None and occupancy.is_lightly_loaded(
        best, loads, view, wish
    ):
        load.near += 1
        return best
    loads |= _ask(load, far, now)
    return occupancy.choose_least_loaded(
        [*near, *far], loads, view, wish, now, draw
    )


def _ask(load, places, now):
    return {
        one.name: load.tally.get_load(one.name, now - ROUND_TRIP)
        for one in places
    }


def test_most_turns_stay_in_their_zone(case):
    """Bytes between zones cost; at half load there is room everywhere."""
    load = _Load(0.5, 1)
    load.play(_choose_by_counts)
    case.assertGreater(load.near, 0.95 * 6000)


def test_few_turns_find_no_slot_near_capacity(case):
    """At 85 in 100 taken by reports two thirds of the turns find none."""
    shares = [_Load(0.85, seed).play(_choose_by_counts) for seed in range(2)]
    case.assertLess(max(shares), 0.05)


def test_no_queue_stands_at_one_engine_while_others_have_room(case):
    """82 instances, 22 engines of six places, 70 in 100 taken.

    Each instance hears of an engine once in three seconds, so by reports a
    third of the engines have queues while others stand half empty, and a
    program that should take four thirds of its idle time is late.
    """
    by_reports, by_counts = [], []
    for seed in range(2):
        by_reports.append(_Load(0.7, seed).play(_choose_by_reports))
        by_counts.append(_Load(0.7, seed).play(_choose_by_counts))
    case.assertLess(max(by_counts), 0.04)
    case.assertGreater(min(by_reports), 3 * max(by_counts))


load_tests = fixtures.adapt(__name__)
