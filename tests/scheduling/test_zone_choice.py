"""Tests of the choice of the zone in which a program begins."""

import random

from tests.scheduling import zone_simulation
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import zone_choice
from vanillayoke.scheduling import zone_loads
from vanillayoke.testing import fixtures

SECONDS = 30.0
SLOTS = 33


def _make_loads(now=0.0, **utilisations):
    return {
        zone: zone_loads.ZoneLoad(
            SLOTS, utilisation * SLOTS, 0.0, float(SLOTS), now
        )
        for zone, utilisation in utilisations.items()
    }


def _decide(choice, count=2000):
    """Return the part of programs that begin in each zone."""
    rng = random.Random(1)
    zones = [choice.choose(rng.random) for _ in range(count)]
    return {zone: zones.count(zone) / count for zone in set(zones)}


def _simulate(demand, **options):
    """Return the results of three seeds, with and without the choice."""
    return [
        [
            zone_simulation.Simulation(
                demand, has_choice=has_choice, seed=seed, **options
            ).run(SECONDS)
            for seed in range(3)
        ]
        for has_choice in (True, False)
    ]


def _count_late(results):
    late = sum(
        result.count_late(zone_choice.BEARABLE_DELAY_SECONDS)
        for result in results
    )
    return late / sum(result.count for result in results)


def _max_moved(results):
    return max(result.moved_ratio for result in results)


def test_oscillating_demand_is_levelled_without_swaps(case):
    """Demand oscillates by 55% with a period of 17 s, out of phase.

    Loads are up to 1 s old and all instances decide at once, so zones could
    send their programs to each other back and forth.
    """
    results, without = _simulate(zone_simulation.oscillate(0.7, 0.55))
    case.assertGreater(_count_late(without), 0.1)
    case.assertLess(_count_late(results), 0.3 * _count_late(without))
    case.assertLess(_max_moved(results), 0.15)
    for result in results:
        case.assertLess(result.swapped_ratio, 0.02)


def test_few_programs_move_while_all_zones_have_capacity(case):
    """Demand oscillates by 55% around half of the capacity.

    Bytes between zones are expensive, and moving would gain nothing.
    """
    results, _ = _simulate(zone_simulation.oscillate(0.5, 0.55))
    case.assertLess(_max_moved(results), 0.03)


def test_zone_at_two_and_a_half_times_its_demand_is_relieved(case):
    """One zone has 2.5 times its demand for 15 s; the others have room."""

    def demand(zone, now):
        return 0.5 * (2.5 if zone == 'a' and 5 < now < 20 else 1.0)

    results, without = _simulate(demand)
    case.assertGreater(_count_late(without), 0.2)
    case.assertLess(_count_late(results), 0.06)
    for result in results:
        elsewhere = [move for move in result.moves if move[1] != 'a']
        case.assertLess(len(elsewhere), 0.25 * len(result.moves))
        highest = max(max(result.utilisations[zone]) for zone in 'bcd')
        case.assertLess(highest, 1.5)


def test_calm_demand_near_the_capacity_is_not_made_worse(case):
    """All zones are at 0.85, so their random differences are no reason."""
    results, without = _simulate(lambda zone, now: 0.85)
    case.assertLess(_max_moved(results), 0.1)
    case.assertLess(_count_late(results), _count_late(without) + 0.02)


def test_nothing_moves_while_all_zones_are_overloaded(case):
    """All zones have 1.3 times their capacity; moving helps nobody."""
    results, _ = _simulate(lambda zone, now: 1.3 if now > 2 else 0.6)
    case.assertLess(_max_moved(results), 0.05)


def test_no_program_begins_in_a_zone_whose_engines_crashed(case):
    """A zone's engines crash at 10 s and return at 20 s."""

    def get_slots(zone, now):
        return 0 if zone == 'a' and 10 <= now < 20 else SLOTS

    results, _ = _simulate(lambda zone, now: 0.6, slots=get_slots)
    for result in results:
        seconds = [second for second, own, _ in result.moves if own == 'a']
        programs = (
            0.6
            * SLOTS
            / (zone_simulation.TURNS * zone_simulation.TURN_SECONDS)
        )
        during = sum(12 <= second < 20 for second in seconds)
        case.assertAlmostEqual(8 * programs, during, delta=40)
        after = sum(second >= 22 for second in seconds)
        case.assertLess(after, 0.1 * 8 * programs)
        into = [second for second, _, other in result.moves if other == 'a']
        case.assertFalse([second for second in into if 12 <= second < 20])


def test_programs_begin_in_the_own_zone_without_recent_loads(case):
    """The zone's coordinator was lost, so no load of the zone is known."""
    choice = zone_choice.ZoneChoice('a')
    choice.update(_make_loads(a=1.5, b=0.2), 0.0)
    case.assertGreater(_decide(choice)['b'], 0.3)
    choice.update(_make_loads(b=0.2), 0.0)
    case.assertEqual({'a': 1.0}, _decide(choice))
    case.assertFalse(choice.is_known('a'))


def test_nothing_begins_in_zones_whose_load_is_unknown(case):
    """A partition cuts off zone c, whose loads have become too old."""
    choice = zone_choice.ZoneChoice('a')
    choice.update(_make_loads(a=1.5, b=0.2), 0.0)
    case.assertEqual({'a', 'b'}, set(_decide(choice)))


def test_shares_are_in_proportion_to_free_capacity(case):
    """Instances decide at once and would all fill the emptiest zone."""
    choice = zone_choice.ZoneChoice('a')
    loads = _make_loads(a=1.6, b=0.2, c=0.5)
    loads['d'] = loads['b']._replace(capacity=0.5 * SLOTS)
    choice.update(loads, 0.0)
    shares = _decide(choice, 20_000)
    level = zone_choice.compute_thresholds(SLOTS, 0).recovered
    case.assertAlmostEqual(
        (level - 0.2) / (level - 0.5), shares['b'] / shares['c'], delta=0.3
    )
    # The engines of zone d have half the speed.
    case.assertAlmostEqual(2.0, shares['b'] / shares['d'], delta=0.3)


def test_zone_becomes_short_above_one_threshold_and_recovers_below_other(case):
    """The state would change with every load near a single threshold."""
    thresholds = zone_choice.compute_thresholds(SLOTS, 0)
    case.assertLess(thresholds.recovered, thresholds.short - 0.1)
    choice = zone_choice.ZoneChoice('a')
    between = (thresholds.short + thresholds.recovered) / 2
    states = []
    for step, utilisation in enumerate((between, 1.0, between, 0.5, between)):
        choice.update(_make_loads(now=10.0 * step, a=utilisation, b=0.2), 0.0)
        states.append('a' in choice.short)
    case.assertEqual([False, True, True, False, False], states)


def test_thresholds_follow_from_the_delay_that_programs_can_bear(case):
    """A zone with few slots, or slow full engines, delays programs earlier."""
    for slots in (12, 33, 200):
        short, _ = zone_choice.compute_thresholds(slots, 10)
        delay = zone_choice.estimate_delay(slots, short, 0.1)
        with case.subTest(slots):
            case.assertLessEqual(
                delay, 1.01 * zone_choice.BEARABLE_DELAY_SECONDS
            )
    few, many, slow = (
        zone_choice.compute_thresholds(*arguments).short
        for arguments in ((12, 10), (33, 10), (33, 30))
    )
    case.assertLess(few, many)
    case.assertLess(slow, many)


def test_zone_that_is_little_less_utilised_gets_no_programs(case):
    """A difference by chance is no reason to move bytes between zones."""
    choice = zone_choice.ZoneChoice('a')
    choice.update(_make_loads(a=0.95, b=0.8), 0.0)
    case.assertEqual({'a': 1.0}, _decide(choice))


def _make_candidates(zone, count):
    return [
        occupancy.Candidate(f'{zone}{number}', 6, zone)
        for number in range(count)
    ]


def test_other_zones_are_not_asked_while_the_zone_has_capacity(case):
    """Each question crosses zones and would tempt the program to move."""
    choice = zone_choice.ZoneChoice('a')
    local, further, others = (
        _make_candidates('a', 3),
        _make_candidates('a', 5)[3:],
        _make_candidates('b', 3),
    )

    def split(zone='a', local=local, remote=(*further, *others)):
        return zone_choice.split_remote(choice, zone, local, remote)

    case.assertEqual(([*further, *others], []), split())
    choice.update(_make_loads(a=0.5, b=0.2, c=1.5), 0.0)
    case.assertEqual((further, []), split())
    case.assertEqual((others, []), split(local=(), remote=others))
    choice.update(_make_loads(now=10.0, a=1.5, b=0.2, c=1.5), 0.0)
    overloaded = _make_candidates('c', 3)
    case.assertEqual(
        (further, others), split(remote=(*further, *overloaded, *others))
    )


def test_target_without_known_load_has_no_free_slot(case):
    candidates = _make_candidates('a', 2)
    view = occupancy.Occupancy()
    loads = {'a0': load_counts.Load(6.0)}
    case.assertFalse(zone_choice.has_free_slot(candidates, loads, view))
    loads['a1'] = load_counts.Load(5.0)
    case.assertTrue(zone_choice.has_free_slot(candidates, loads, view))


load_tests = fixtures.adapt(__name__)
