"""Tests of target health on which the instances agree by gossip."""

import random

import hypothesis
from hypothesis import strategies

from vanillayoke.scheduling import shared_health
from vanillayoke.testing import fixtures

INSTANCES = 82


def _make(count, seed=1):
    rng = random.Random(seed)
    return [
        shared_health.SharedHealth(f'i{n}', rng.random) for n in range(count)
    ]


def _end_episode(view, now):
    view.record_success('t', now)
    return view.record_success('t', now)


def _gossip(views, state, now):
    """Merge a state, and all that follows from it, into all views."""
    pending = [state]
    while pending:
        current = pending.pop()
        for view in views:
            merged = view.merge(current, now, len(views))
            if merged is not None and merged != current:
                pending.append(merged)


def test_target_is_unhealthy_for_all_after_three_reports(case):
    """Without gossip each instance would lose requests of its own."""
    views = _make(INSTANCES)
    for view in views[:3]:
        case.assertFalse(views[50].is_unhealthy('t', INSTANCES))
        _gossip(views, view.report_failure('t', 0.1, INSTANCES), 0.1)
    case.assertTrue(all(view.is_unhealthy('t', INSTANCES) for view in views))


def test_one_instance_alone_does_not_reach_the_quorum(case):
    """The network between it and the server may be at fault."""
    views = _make(INSTANCES)
    for step in range(20):
        state = views[0].report_failure('t', step * 0.1, INSTANCES)
        if state is not None:
            _gossip(views, state, step * 0.1)
    case.assertFalse(any(view.is_unhealthy('t', INSTANCES) for view in views))


def test_occasional_failures_do_not_reach_the_quorum(case):
    views = _make(INSTANCES)
    for step in range(30):
        now = step * 2.0
        _gossip(views, views[step].report_failure('t', now, INSTANCES), now)
    case.assertFalse(any(view.is_unhealthy('t', INSTANCES) for view in views))


def test_total_probe_rate_does_not_grow_with_the_instances(case):
    """Each probe costs a request while the target is unhealthy."""
    views = _make(INSTANCES)
    for view in views[:3]:
        _gossip(views, view.report_failure('t', 0.0, INSTANCES), 0.0)
    probes = 0
    for step in range(700):
        now = step * 0.01
        for view in views:
            if view.may_probe('t', now):
                probes += 1
                view.record_probe('t', now, INSTANCES)
    case.assertGreater(probes, 3)
    case.assertLess(probes, 3 * 7 / shared_health.PROBE_INTERVAL_SECONDS)


def test_recovered_target_is_healthy_for_all(case):
    views = _make(INSTANCES)
    for view in views[:3]:
        _gossip(views, view.report_failure('t', 0.0, INSTANCES), 0.0)
    _gossip(views, _end_episode(views[7], 1.0), 1.0)
    case.assertFalse(any(view.is_unhealthy('t', INSTANCES) for view in views))
    # A late report of the ended episode has no effect.
    late = shared_health.HealthState('t', 1, ('i9',), False)
    case.assertIsNone(views[0].merge(late, 1.1, INSTANCES))


def test_single_successful_probe_does_not_end_the_episode(case):
    """A server may fail every second request."""
    views = _make(INSTANCES)
    for view in views[:3]:
        _gossip(views, view.report_failure('t', 0.0, INSTANCES), 0.0)
    for step in range(5):
        case.assertIsNone(views[0].record_success('t', step * 1.0))
        case.assertTrue(views[0].may_probe('t', step * 1.0))
        views[0].report_failure('t', step * 1.0, INSTANCES)
    case.assertTrue(views[0].is_unhealthy('t', INSTANCES))


def test_second_failure_is_a_new_episode(case):
    views = _make(INSTANCES)
    for now in (0.0, 5.0):
        for view in views[:3]:
            _gossip(views, view.report_failure('t', now, INSTANCES), now)
        case.assertTrue(views[9].is_unhealthy('t', INSTANCES))
        _gossip(views, _end_episode(views[7], now + 1), now + 1)


def test_two_instances_of_two_reach_the_quorum(case):
    views = _make(2)
    _gossip(views, views[0].report_failure('t', 0.0, 2), 0.0)
    case.assertFalse(views[1].is_unhealthy('t', 2))
    _gossip(views, views[1].report_failure('t', 0.0, 2), 0.0)
    case.assertTrue(views[0].is_unhealthy('t', 2))


def test_merge_does_not_depend_on_the_order(case):
    """Datagrams may be lost, duplicated or reordered; views converge."""
    states = strategies.builds(
        shared_health.HealthState,
        strategies.just('t'),
        strategies.integers(1, 3),
        strategies.lists(
            strategies.sampled_from('abcde'), min_size=1, max_size=3
        ).map(lambda names: tuple(sorted(set(names)))),
        strategies.booleans(),
    )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(states, max_size=8), strategies.randoms()
    )
    def check(received, rng):
        results = []
        for _ in range(2):
            view = _make(1)[0]
            for state in received:
                view.merge(state, 0.0, 9)
            is_unhealthy = view.is_unhealthy('t', 9)
            results.append((is_unhealthy, _end_episode(view, 0.0)))
            rng.shuffle(received)
        case.assertEqual(results[0], results[1])

    check()


load_tests = fixtures.adapt(__name__)
