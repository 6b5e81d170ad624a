"""Tests of finding sick targets together."""

import random

import hypothesis
from hypothesis import strategies

from vanillayoke.scheduling import shared_health
from vanillayoke.testing import fixtures

INSTANCES = 82


def _make(count, seed=1):
    source = random.Random(seed)
    return [
        shared_health.SharedHealth(f'i{n}', source.random)
        for n in range(count)
    ]


def _clear(view, now):
    view.record_success('t', now)
    return view.record_success('t', now)


def _spread(views, verdict, now):
    """Let all hear of a verdict at once, as over a few hops of datagrams."""
    pending = [verdict]
    while pending:
        one = pending.pop()
        for view in views:
            merged = view.merge(one, now, len(views))
            if merged is not None and merged != one:
                pending.append(merged)


def test_target_that_fails_all_is_left_by_all_after_three_reports(case):
    """Each of 82 instances sends a server one request in three seconds.

    Alone, each would find out by two failures of its own: 160 requests lost.
    """
    views = _make(INSTANCES)
    for view in views[:3]:
        case.assertFalse(views[50].is_unhealthy('t', INSTANCES))
        _spread(views, view.report_failure('t', 0.1, INSTANCES), 0.1)
    case.assertTrue(all(view.is_unhealthy('t', INSTANCES) for view in views))


def test_one_instance_alone_condemns_nobody(case):
    """Its link to a server is cut; the others reach the server well."""
    views = _make(INSTANCES)
    for step in range(20):
        verdict = views[0].report_failure('t', step * 0.1, INSTANCES)
        if verdict is not None:
            _spread(views, verdict, step * 0.1)
    case.assertFalse(any(view.is_unhealthy('t', INSTANCES) for view in views))


def test_failures_far_apart_do_not_agree(case):
    """A server loses one answer in thirty, and is well otherwise."""
    views = _make(INSTANCES)
    for step in range(30):
        now = step * 2.0
        _spread(views, views[step].report_failure('t', now, INSTANCES), now)
    case.assertFalse(any(view.is_unhealthy('t', INSTANCES) for view in views))


def test_trials_of_all_instances_stay_few(case):
    """A server fails for seven seconds; together they try it a few times."""
    views = _make(INSTANCES)
    for view in views[:3]:
        _spread(views, view.report_failure('t', 0.0, INSTANCES), 0.0)
    trials = 0
    for step in range(700):
        now = step * 0.01
        for view in views:
            if view.may_probe('t', now):
                trials += 1
                view.record_probe('t', now, INSTANCES)
    case.assertGreater(trials, 3)
    case.assertLess(trials, 3 * 7 / shared_health.PROBE_INTERVAL_SECONDS)


def test_target_that_works_again_is_used_by_all(case):
    views = _make(INSTANCES)
    for view in views[:3]:
        _spread(views, view.report_failure('t', 0.0, INSTANCES), 0.0)
    _spread(views, _clear(views[7], 1.0), 1.0)
    case.assertFalse(any(view.is_unhealthy('t', INSTANCES) for view in views))
    # A report of before that comes late does not bring it back.
    late = shared_health.HealthState('t', 1, ('i9',), False)
    case.assertIsNone(views[0].merge(late, 1.1, INSTANCES))


def test_one_good_trial_between_failures_clears_nothing(case):
    """A server fails every second request, its health check is good."""
    views = _make(INSTANCES)
    for view in views[:3]:
        _spread(views, view.report_failure('t', 0.0, INSTANCES), 0.0)
    for step in range(5):
        case.assertIsNone(views[0].record_success('t', step * 1.0))
        case.assertTrue(views[0].may_probe('t', step * 1.0))
        views[0].report_failure('t', step * 1.0, INSTANCES)
    case.assertTrue(views[0].is_unhealthy('t', INSTANCES))


def test_second_sickness_is_a_new_episode(case):
    views = _make(INSTANCES)
    for now in (0.0, 5.0):
        for view in views[:3]:
            _spread(views, view.report_failure('t', now, INSTANCES), now)
        case.assertTrue(views[9].is_unhealthy('t', INSTANCES))
        _spread(views, _clear(views[7], now + 1), now + 1)


def test_two_instances_of_two_agree(case):
    views = _make(2)
    _spread(views, views[0].report_failure('t', 0.0, 2), 0.0)
    case.assertFalse(views[1].is_unhealthy('t', 2))
    _spread(views, views[1].report_failure('t', 0.0, 2), 0.0)
    case.assertTrue(views[0].is_unhealthy('t', 2))


def test_merging_comes_to_the_same_end_in_any_order(case):
    """Datagrams are lost, doubled and reordered; views still converge."""
    one = strategies.builds(
        shared_health.HealthState,
        strategies.just('t'),
        strategies.integers(1, 3),
        strategies.lists(
            strategies.sampled_from('abcde'), min_size=1, max_size=3
        ).map(lambda names: tuple(sorted(set(names)))),
        strategies.booleans(),
    )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(one, max_size=8), strategies.randoms())
    def check(found, source):
        ends = []
        for _ in range(2):
            view = _make(1)[0]
            for verdict in found:
                view.merge(verdict, 0.0, 9)
            sick = view.is_unhealthy('t', 9)
            ends.append((sick, _clear(view, 0.0)))
            source.shuffle(found)
        case.assertEqual(ends[0], ends[1])

    check()


load_tests = fixtures.adapt(__name__)
