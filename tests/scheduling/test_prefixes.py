"""Tests of the distribution of shared prefixes over engines."""

import collections
import random

from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import prefixes
from vanillayoke.testing import fixtures

ENGINES = 7
SLOTS = 12
PREFIXES = 16
TOKENS = 12600
CACHE_TOKENS = 282_000


def _make_candidates(count=ENGINES):
    return [occupancy.Candidate(f'm{n}', SLOTS, 'z1') for n in range(count)]


def _choose(view, candidates, loads, prefix, rank_cost, random_float):
    criteria = occupancy.PlacementCriteria(None, 'z1', 0.02, prefix, rank_cost)
    local, remote = occupancy.choose_candidates(
        candidates, view, criteria, (), 0.0, random_float
    )
    counted = {
        candidate.name: load_counts.Load(loads[candidate.name])
        for candidate in candidates
    }
    best = occupancy.choose_least_loaded(
        local, counted, view, criteria, 0.0, random_float
    )
    if occupancy.is_lightly_loaded(best, counted, view, criteria):
        return best.name
    return occupancy.choose_least_loaded(
        [*local, *remote], counted, view, criteria, 0.0, random_float
    ).name


def _simulate(rank_cost, running):
    """Return the average number of engines per prefix and the highest load."""
    rng = random.Random(1)
    view = occupancy.Occupancy()
    candidates = _make_candidates()
    in_flight = collections.deque()
    loads = collections.Counter()
    holders = collections.defaultdict(collections.Counter)
    max_load = 0
    for _ in range(4000):
        prefix = f'p{rng.randrange(PREFIXES)}'
        name = _choose(view, candidates, loads, prefix, rank_cost, rng.random)
        holders[prefix][name] += 1
        loads[name] += 1
        in_flight.append(name)
        if len(in_flight) > running:
            loads[in_flight.popleft()] -= 1
        max_load = max(max_load, max(loads.values()))
    # Only engines that get more than 5% of a prefix's turns.
    counts = [
        sum(
            count > sum(by_engine.values()) / 20
            for count in by_engine.values()
        )
        for by_engine in holders.values()
    ]
    return sum(counts) / len(counts), max_load


def test_each_prefix_is_held_by_few_engines(case):
    """Otherwise rare prefixes are evicted and computed for each turn."""
    recent = prefixes.RecentPrefixes()
    for number in range(PREFIXES):
        recent.record(prefixes.SharedPrefix(f'p{number}', TOKENS), 0.0)
    rank_cost = recent.get_rank_cost(CACHE_TOKENS)
    without_cost, _ = _simulate(0.0, 28)
    with_cost, max_load = _simulate(rank_cost, 28)
    case.assertGreater(without_cost, 6)
    case.assertLess(with_cost, 4)
    case.assertLessEqual(max_load, SLOTS)


def test_more_engines_hold_a_prefix_under_load(case):
    """No engine may have a queue while others have free slots."""
    idle, _ = _simulate(0.2, 14)
    busy, max_load = _simulate(0.2, 63)
    case.assertGreater(busy, idle)
    case.assertLessEqual(max_load, SLOTS + 1)


def test_rank_cost_depends_on_prefix_sizes_and_cache_capacity(case):
    recent = prefixes.RecentPrefixes()
    case.assertEqual(0.0, recent.get_rank_cost(CACHE_TOKENS))
    for number in range(PREFIXES):
        recent.record(prefixes.SharedPrefix(f'p{number}', TOKENS), number / 10)
    tight = recent.get_rank_cost(CACHE_TOKENS)
    ample = recent.get_rank_cost(100 * CACHE_TOKENS)
    case.assertGreater(tight, 0.15)
    case.assertLess(ample, 0.01)
    case.assertEqual(0.0, recent.get_rank_cost(0))
    recent.record(prefixes.SharedPrefix('p0', TOKENS), 60.0)
    case.assertLess(recent.get_rank_cost(CACHE_TOKENS), tight / 8)


def test_order_changes_little_when_an_engine_leaves(case):
    """Prefixes of the remaining engines must not move."""
    names = [f'm{number}' for number in range(ENGINES)]
    moved = 0
    for number in range(200):
        before = prefixes.rank_targets(f'p{number}', names)[0]
        after = prefixes.rank_targets(f'p{number}', names[1:])[0]
        moved += before != after
        case.assertTrue(before == after or before == 'm0')
    case.assertLess(moved, 200 / ENGINES * 1.5)


def test_last_part_of_a_prompt_is_not_shared(case):
    parts = (('a', 800), ('b', 410), ('c', 250))
    case.assertEqual(
        prefixes.SharedPrefix('a', 800), prefixes.get_shared_prefix(parts)
    )
    case.assertIsNone(prefixes.get_shared_prefix(parts[:1]))
    case.assertIsNone(prefixes.get_shared_prefix(()))


def test_long_session_stays_with_its_cache(case):
    """An idle engine would have to compute the long history again."""
    parts = [('shared', TOKENS), ('history', 9000), ('own', 1400)]
    view = occupancy.Occupancy()
    candidates = _make_candidates()
    value = prefixes.estimate_affinity_value(parts, CACHE_TOKENS, SLOTS)
    criteria = occupancy.PlacementCriteria(
        'm3', 'z1', 0.05, 'shared', 0.4, value
    )
    loads = {one.name: load_counts.Load(0.0) for one in candidates}
    loads['m3'] = load_counts.Load(8.0)
    best = occupancy.choose_least_loaded(
        candidates, loads, view, criteria, 0.0, lambda: 0.5
    )
    case.assertEqual('m3', best.name)
    loads['m3'] = load_counts.Load(13.0)
    best = occupancy.choose_least_loaded(
        candidates, loads, view, criteria, 0.0, lambda: 0.5
    )
    case.assertNotEqual('m3', best.name)


def test_affinity_value_is_relative_to_cache_capacity_per_slot(case):
    case.assertEqual(
        0.0, prefixes.estimate_affinity_value((), CACHE_TOKENS, SLOTS)
    )
    parts = (('shared', TOKENS), ('own', 2350))
    case.assertAlmostEqual(
        0.1, prefixes.estimate_affinity_value(parts, CACHE_TOKENS, SLOTS)
    )
    parts = (('shared', TOKENS), ('own', 50_000))
    case.assertEqual(
        1.0, prefixes.estimate_affinity_value(parts, CACHE_TOKENS, SLOTS)
    )
    case.assertEqual(0.0, prefixes.estimate_affinity_value(parts, 0, SLOTS))


load_tests = fixtures.adapt(__name__)
