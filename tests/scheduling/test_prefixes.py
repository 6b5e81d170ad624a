"""Tests of which engines hold which shared prefixes."""

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
MEMORY = 282_000


def _make_places(count=ENGINES):
    return [occupancy.Candidate(f'm{n}', SLOTS, 'z1') for n in range(count)]


def _choose(view, places, loads, shared, step, draw):
    wish = occupancy.PlacementCriteria(None, 'z1', 0.02, shared, step)
    near, far = occupancy.choose_candidates(places, view, wish, (), 0.0, draw)
    counted = {
        place.name: load_counts.Load(loads[place.name]) for place in places
    }
    best = occupancy.choose_least_loaded(near, counted, view, wish, 0.0, draw)
    if occupancy.is_lightly_loaded(best, counted, view, wish):
        return best.name
    return occupancy.choose_least_loaded(
        [*near, *far], counted, view, wish, 0.0, draw
    ).name


def _find_holders(step, running):
    """Return how many engines each prefix goes to with so many running."""
    source = random.Random(1)
    view = occupancy.Occupancy()
    places = _make_places()
    in_flight = collections.deque()
    loads = collections.Counter()
    holders = collections.defaultdict(collections.Counter)
    most = 0
    for _ in range(4000):
        shared = f'p{source.randrange(PREFIXES)}'
        name = _choose(view, places, loads, shared, step, source.random)
        holders[shared][name] += 1
        loads[name] += 1
        in_flight.append(name)
        if len(in_flight) > running:
            loads[in_flight.popleft()] -= 1
        most = max(most, max(loads.values()))
    # Engines that get more than one in twenty of a prefix's turns.
    counts = [
        sum(count > sum(one.values()) / 20 for count in one.values())
        for one in holders.values()
    ]
    return sum(counts) / len(counts), most


def test_each_prefix_is_held_by_few_engines(case):
    """Sixteen parts that would fill most of each engine's memory.

    Spread over all engines, the rarer ones are pushed out between two of
    their turns and read again each time.
    """
    seen = prefixes.RecentPrefixes()
    for number in range(PREFIXES):
        seen.record(prefixes.SharedPrefix(f'p{number}', TOKENS), 0.0)
    step = seen.get_rank_cost(MEMORY)
    spread, _ = _find_holders(0.0, 28)
    held, most = _find_holders(step, 28)
    case.assertGreater(spread, 6)
    case.assertLess(held, 4)
    case.assertLessEqual(most, SLOTS)


def test_more_engines_hold_a_prefix_under_load(case):
    """No engine may have a queue while others have free slots."""
    calm, _ = _find_holders(0.2, 14)
    busy, most = _find_holders(0.2, 63)
    case.assertGreater(busy, calm)
    case.assertLessEqual(most, SLOTS + 1)


def test_step_follows_what_was_seen_against_the_memory(case):
    seen = prefixes.RecentPrefixes()
    case.assertEqual(0.0, seen.get_rank_cost(MEMORY))
    for number in range(PREFIXES):
        seen.record(prefixes.SharedPrefix(f'p{number}', TOKENS), number / 10)
    tight = seen.get_rank_cost(MEMORY)
    ample = seen.get_rank_cost(100 * MEMORY)
    case.assertGreater(tight, 0.15)
    case.assertLess(ample, 0.01)
    case.assertEqual(0.0, seen.get_rank_cost(0))
    seen.record(prefixes.SharedPrefix('p0', TOKENS), 60.0)
    case.assertLess(seen.get_rank_cost(MEMORY), tight / 8)


def test_order_changes_little_when_an_engine_leaves(case):
    """A release replaces engines one after another: the others keep theirs."""
    names = [f'm{number}' for number in range(ENGINES)]
    moved = 0
    for number in range(200):
        before = prefixes.rank_targets(f'p{number}', names)[0]
        after = prefixes.rank_targets(f'p{number}', names[1:])[0]
        moved += before != after
        case.assertTrue(before == after or before == 'm0')
    case.assertLess(moved, 200 / ENGINES * 1.5)


def test_last_part_of_a_prompt_is_its_own(case):
    parts = (('a', 800), ('b', 410), ('c', 250))
    case.assertEqual(
        prefixes.SharedPrefix('a', 800), prefixes.get_shared_prefix(parts)
    )
    case.assertIsNone(prefixes.get_shared_prefix(parts[:1]))
    case.assertIsNone(prefixes.get_shared_prefix(()))


def test_long_session_stays_where_its_prompt_is(case):
    """Nine turns of history are held by an engine that is half full.

    At the emptiest one 23,000 tokens would be read again, while all its
    other requests wait for them.
    """
    parts = [('shared', TOKENS), ('history', 9000), ('own', 1400)]
    view = occupancy.Occupancy()
    places = _make_places()
    own = prefixes.estimate_affinity_value(parts, MEMORY, SLOTS)
    wish = occupancy.PlacementCriteria('m3', 'z1', 0.05, 'shared', 0.4, own)
    loads = {place.name: load_counts.Load(0.0) for place in places}
    loads['m3'] = load_counts.Load(8.0)
    best = occupancy.choose_least_loaded(
        places, loads, view, wish, 0.0, lambda: 0.5
    )
    case.assertEqual('m3', best.name)
    loads['m3'] = load_counts.Load(13.0)
    best = occupancy.choose_least_loaded(
        places, loads, view, wish, 0.0, lambda: 0.5
    )
    case.assertNotEqual('m3', best.name)


def test_own_part_is_worth_its_share_of_a_requests_memory(case):
    case.assertEqual(0.0, prefixes.estimate_affinity_value((), MEMORY, SLOTS))
    parts = (('shared', TOKENS), ('own', 2350))
    case.assertAlmostEqual(
        0.1, prefixes.estimate_affinity_value(parts, MEMORY, SLOTS)
    )
    parts = (('shared', TOKENS), ('own', 50_000))
    case.assertEqual(
        1.0, prefixes.estimate_affinity_value(parts, MEMORY, SLOTS)
    )
    case.assertEqual(0.0, prefixes.estimate_affinity_value(parts, 0, SLOTS))


load_tests = fixtures.adapt(__name__)
