"""Tests of the choice of targets by expected completion time."""

import collections
import random

from tests.scheduling import engine_simulation as simulation_module
from vanillayoke.scheduling import completion
from vanillayoke.scheduling import occupancy
from vanillayoke.testing import fixtures

Setting = simulation_module.Setting
UNEQUAL = tuple((0.7, 0.7, 1.7)[number % 3] for number in range(23))
EQUAL = (1.0,) * 23
WORK = 0.16
DEMAND = completion.Demand(WORK, 0.17, 0.04)
CRITERIA = occupancy.PlacementCriteria(None, 'z1', 0.04)


def _run(setting, choose=simulation_module.choose_by_completion, seed=1):
    return simulation_module.Simulation(setting, seed).run(choose, 5000, 1500)


def _choose(states, demand=DEMAND, criteria=CRITERIA, zones=None):
    candidates = [
        occupancy.Candidate(name, state.slots, (zones or {}).get(name, 'z1'))
        for name, state in states.items()
    ]
    best = completion.choose(
        candidates, states, demand, criteria, 'z1', lambda: 0.5
    )
    return best.target


def _compute_ratio(result):
    """Return the requests of a fast engine relative to those of a slow one."""
    fast, slow = [], []
    for number, speed in enumerate(UNEQUAL):
        group = fast if speed < 1.0 else slow
        group.append(result.counts[f'e{number}'])
    return (sum(fast) / len(fast)) / (sum(slow) / len(slow))


def test_unequal_engines_are_used_by_their_speed(case):
    """Unequal engines: 0.7, 0.7 and 1.7 times the usual time, 60% full.

    Their whole capacity is not needed, so few requests go to slow ones.
    """
    setting = Setting(UNEQUAL, 0.6, zones=4)
    result = _run(setting)
    before = _run(setting, simulation_module.choose_by_score)
    case.assertLess(result.get_mean(), 0.9 * before.get_mean())
    # Programs may take 1.3 times their time on idle engines.
    case.assertLess(result.get_quantile(0.95), 1.3)
    case.assertGreater(before.get_quantile(0.95), 1.3)


def test_slow_engines_get_their_share_if_they_are_needed(case):
    """Unequal engines, 90% full: the fast ones do not suffice.

    Fast engines serve 2.4 times the requests of slow ones when all are full.
    """
    setting = Setting(UNEQUAL, 0.9, zones=4)
    result = _run(setting)
    before = _run(setting, simulation_module.choose_by_score)
    case.assertGreater(_compute_ratio(result), 2.0)
    case.assertLess(_compute_ratio(result), 6.0)
    case.assertLess(result.get_mean(), before.get_mean())
    case.assertLess(result.get_quantile(0.99), before.get_quantile(0.99))


def test_slow_engine_beside_a_fast_one_does_not_fill_up(case):
    """Two engines, 0.7 and 1.7, nearly full: none has a queue of its own."""
    setting = Setting((0.7, 1.7), 0.85)
    result = _run(setting)
    case.assertLess(result.needless_waits, 0.4)
    ratio = result.counts['e0'] / result.counts['e1']
    case.assertGreater(ratio, 1.7 / 0.7 * 0.8)
    case.assertLess(ratio, 1.7 / 0.7 * 2)
    # A request that waits once and then runs at the slow engine.
    case.assertLess(result.get_quantile(0.99), 1.7 * 1.3 + 1.0)


def test_contended_machines_are_avoided(case):
    """15% of the machines are 2.5 times slower for 600 ms."""
    setting = Setting(EQUAL, 0.5, contended=0.15, zones=4)
    result = _run(setting)
    before = _run(setting, simulation_module.choose_by_score)
    case.assertLess(result.contended_share, 0.03)
    case.assertGreater(before.contended_share, 0.05)
    # Programs may take 1.3 times their time on idle engines, plus 0.5 s.
    case.assertLess(result.get_quantile(0.95), 1.5)
    case.assertGreater(before.get_quantile(0.95), 2.0)


def test_contended_machines_are_used_again(case):
    """A machine must be avoided only while the report is fresh."""
    setting = Setting(EQUAL, 0.7, contended=0.15, zones=4)
    result = _run(setting)
    mean = sum(result.counts.values()) / len(EQUAL)
    case.assertGreater(min(result.counts.values()), 0.5 * mean)


def test_contention_of_unequal_engines(case):
    """Unequal engines of which 15% are 2.5 times slower, 60% full."""
    setting = Setting(UNEQUAL, 0.6, contended=0.15, zones=4)
    result = _run(setting)
    before = _run(setting, simulation_module.choose_by_score)
    case.assertLess(result.get_mean(), 0.85 * before.get_mean())
    case.assertLess(result.get_quantile(0.99), 0.7 * before.get_quantile(0.99))


def test_instances_do_not_herd_by_a_view_that_is_old(case):
    """A coordinator hears nothing for 2 s at a time.

    All instances would send their requests to the engines that were idle.
    """
    for zones in (1, 4):
        setting = Setting(EQUAL, 0.6, view_age=2.0, zones=zones)
        result = _run(setting)
        before = _run(setting, simulation_module.choose_by_score)
        # Random choice has a mean of 1.2.
        case.assertLess(result.get_mean(), 1.6)
        case.assertGreater(before.get_mean(), 2.0)
        mean = sum(result.counts.values()) / len(EQUAL)
        case.assertLess(max(result.counts.values()), 1.53 * mean)


def test_instances_with_the_same_view_choose_different_targets(case):
    """84 instances get the same loads, in which one engine is idle."""
    rng = random.Random(1)
    names = [f'e{number}' for number in range(6)]
    candidates = [occupancy.Candidate(name, 6, 'z1') for name in names]
    states = {name: completion.TargetState(3.0, 6) for name in names}
    states['e0'] = completion.TargetState(2.0, 6)
    chosen = collections.Counter()
    for _ in range(84):
        first, _ = occupancy.choose_candidates(
            candidates, occupancy.Occupancy(), CRITERIA, (), 0.0, rng.random
        )
        best = completion.choose(
            first, states, DEMAND, CRITERIA, 'z1', rng.random
        )
        chosen[best.target] += 1
    case.assertLess(chosen['e0'], 0.6 * 84)
    case.assertEqual(6, len(chosen))


def test_only_a_coordinator_that_hears_nothing_is_outdated(case):
    """An idle target has no requests to be told of."""
    typical = DEMAND.hold
    case.assertTrue(completion.is_outdated(3.0, 3 * typical, DEMAND, 1.0))
    case.assertFalse(completion.is_outdated(3.0, typical, DEMAND, 1.0))
    case.assertFalse(completion.is_outdated(3.0, 3 * typical, DEMAND, 2.5))
    case.assertFalse(completion.is_outdated(0.0, 60.0, DEMAND, 1.0))


def test_lost_coordinator_costs_little(case):
    """Each instance uses its own view and a speed of 1.0."""
    result = _run(Setting(EQUAL, 0.6, view_age=None, zones=4))
    case.assertLess(result.get_mean(), 1.3)
    unequal = _run(Setting(UNEQUAL, 0.6, view_age=None, zones=4))
    case.assertLess(unequal.get_mean(), 1.3)


def test_request_waits_for_a_fast_engine_rather_than_use_a_slow_one(case):
    """Engines nearly full: a short wait is better than 2.5 times the work."""
    fast_full = completion.TargetState(6.0, 6)
    contended = completion.TargetState(4.0, 6, contention=2.5)
    queued = completion.TargetState(20.0, 6)
    case.assertEqual('a', _choose({'a': fast_full, 'b': contended}))
    case.assertEqual('b', _choose({'a': queued, 'b': contended}))


def test_expected_time_is_the_sum_of_its_parts(case):
    """Waiting, reading, events at the present speed, and distance."""
    state = completion.TargetState(7.0, 6, 1.7, 2.0)
    demand = completion.Demand(0.2, 0.3, 0.0, 1000, 0, 1e-5, 5000)
    estimate = completion.estimate('a', state, demand, 1000, True)
    wait = 2 / 6 * 0.3 * 3.4
    read, work = 1000 * 1e-5 * 3.4, 0.2 * 3.4
    case.assertAlmostEqual(wait, estimate.wait)
    distance = 0.002 + 0.02
    total = wait + read + work + distance
    case.assertAlmostEqual(total, estimate.seconds)


def test_cached_prompt_is_worth_the_time_to_read_it(case):
    """A long prompt is not read again for a small difference in load."""
    demand = DEMAND._replace(prompt_tokens=4000, read_seconds=1 / 123_000)
    criteria = CRITERIA._replace(affinity_target='a')
    busy, idle = (completion.TargetState(n, 6) for n in (2.0, 1.0))
    case.assertEqual('a', _choose({'a': busy, 'b': idle}, demand, criteria))
    case.assertEqual('b', _choose({'a': busy, 'b': idle}, demand))
    contended = busy._replace(contention=2.5)
    case.assertEqual(
        'b', _choose({'a': contended, 'b': idle}, demand, criteria)
    )


def test_shared_prefixes_keep_to_their_engines_if_caches_are_full(case):
    """Each engine would read all prefixes again and again."""
    names = [f'e{number}' for number in range(4)]
    criteria = CRITERIA._replace(shared_prefix='5c', rank_cost=0.6)
    candidates = [occupancy.Candidate(name, 6, 'z1') for name in names]
    ranks = occupancy.rank_within_zones(candidates, criteria)
    first = next(name for name in names if ranks[name] == 0)
    full = DEMAND._replace(
        prompt_tokens=3000,
        shared_tokens=3000,
        read_seconds=1 / 123_000,
        cache_fullness=1.0,
    )
    states = {name: completion.TargetState(1.0, 6) for name in names}
    states[first] = completion.TargetState(2.0, 6)
    case.assertEqual(first, _choose(states, full, criteria))
    empty = full._replace(cache_fullness=0.05)
    case.assertNotEqual(first, _choose(states, empty, criteria))


def test_other_zones_are_used_only_for_a_gain(case):
    """Bytes between zones are expensive."""
    demand = DEMAND._replace(transfer_bytes=8000)
    zones = {'b': 'z2'}
    busy, idle = (completion.TargetState(n, 6) for n in (1.0, 0.0))
    case.assertEqual('a', _choose({'a': idle, 'b': idle}, demand, zones=zones))
    full = completion.TargetState(6.0, 6)
    case.assertEqual('b', _choose({'a': full, 'b': idle}, demand, zones=zones))
    for state, is_enough in ((busy, True), (full, False)):
        best = completion.estimate('a', state, demand, 0.0, False)
        case.assertEqual(is_enough, completion.is_good_enough(best, demand))


def test_number_of_candidates_is_bounded(case):
    """1,700 targets in 4 zones."""
    candidates = [
        occupancy.Candidate(f'e{n}', 6, f'z{n % 4}') for n in range(1700)
    ]
    first, further = occupancy.choose_candidates(
        candidates, occupancy.Occupancy(), CRITERIA, (), 0.0, random.random
    )
    further = completion.limit_further(further, 'z1')
    case.assertLessEqual(len(first) + len(further), 12)
    case.assertEqual({'z1'}, {one.zone for one in first})
    case.assertTrue(any(one.zone != 'z1' for one in further))


def test_read_time_is_learned_from_the_time_to_the_first_event(case):
    """Engines that read 221, 123 and 20 tokens per ms."""
    for rate in (221_000, 123_000, 20_000):
        rng = random.Random(1)
        read_time = completion.ReadTime()
        for _ in range(400):
            tokens = rng.choice((0, 500, 2000, 4000))
            seconds = 0.04 + tokens / rate
            read_time.learn(tokens, seconds * rng.uniform(0.9, 1.1))
        case.assertAlmostEqual(1.0, read_time.value * rate, delta=0.25)


def test_read_time_stays_plausible_without_information(case):
    """All prompts have the same length, or the first event is late."""
    read_time = completion.ReadTime()
    case.assertEqual(completion.INITIAL_READ_SECONDS, read_time.value)
    for _ in range(100):
        read_time.learn(1000, 3.0)
    case.assertAlmostEqual(
        completion.INITIAL_READ_SECONDS, read_time.value, delta=1e-9
    )
    read_time.learn(100_000, 0.0)
    case.assertGreater(read_time.value, 0.0)


def test_standstill_hardly_changes_the_read_time(case):
    """An instance that stood still for 3 s measures it in a first event."""
    rng = random.Random(4)
    read_time = completion.ReadTime()
    actual = completion.INITIAL_READ_SECONDS
    for _ in range(100):
        tokens = rng.uniform(0.0, 2000.0)
        read_time.learn(tokens, 0.04 + tokens * actual)
    read_time.learn(2000.0, 3.0)
    case.assertLess(read_time.value, 2 * actual)
    # Engines that have become three times slower are still noticed.
    for _ in range(300):
        tokens = rng.uniform(0.0, 2000.0)
        read_time.learn(tokens, 0.04 + 3 * tokens * actual)
    case.assertGreater(read_time.value, 2.5 * actual)


load_tests = fixtures.adapt(__name__)
