"""Tests of the estimates of targets' speed and contention."""

import math
import random

from tests.scheduling import engine_simulation
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import target_load
from vanillayoke.testing import fixtures

EPOCH_SECONDS = engine_simulation.EPOCH_SECONDS


def test_contention_decays_while_it_is_not_reported(case):
    """15% of the machines are 2.5 times slower for 600 ms.

    A target that is avoided gets no requests and so sends no reports.
    """
    contention = target_load.Contention()
    case.assertEqual(1.0, contention.get(0.0))
    contention.record(2.5, 10.0)
    case.assertEqual(2.5, contention.get(10.0))
    # Half of the reports are outdated by then.
    half = contention.get(10.0 + EPOCH_SECONDS / 2)
    case.assertAlmostEqual(1.75, half)
    case.assertLess(contention.get(10.0 + 3 * EPOCH_SECONDS), 1.03)


def test_older_report_does_not_replace_a_newer_one(case):
    """Reports arrive at the end of responses, which take different times."""
    performance = target_load.TargetPerformance()
    performance.learn(target_load.Sample(1.0, 0.05), 1.0)
    performance.learn(target_load.Sample(2.5, 0.4), 1.1)
    estimate = performance.get(1.1)
    case.assertEqual(1.0, estimate.contention)
    case.assertAlmostEqual(0.15, estimate.age)


def test_absurd_contention_is_bounded_and_decays(case):
    """A single wrong report would keep work away from a target for long."""
    contention = target_load.Contention()
    contention.record(10.0**9, 0.0)
    case.assertEqual(target_load.MAX_CONTENTION, contention.get(0.0))
    case.assertLess(contention.get(2.0), 1.1)
    for wrong in (math.inf, -math.inf, math.nan):
        contention.record(wrong, 3.0)
    case.assertLess(contention.get(3.0), 1.1)


def test_pace_ignores_samples_that_are_no_durations(case):
    pace = target_load.Pace()
    for wrong in (0.0, -1.0, math.inf, math.nan):
        pace.learn(wrong, 0.0)
    case.assertIsNone(pace.get(0.0))


def test_pace_is_learned_despite_contention_that_changes_meanwhile(case):
    """15% of the machines are 2.5 times slower, changing during responses.

    Such samples are wrong by a factor of 2.5 in either direction.
    """
    rng = random.Random(1)
    for speed in (0.7, 1.0, 1.7):
        pace = target_load.Pace()
        estimates = []
        for step in range(400):
            factor = rng.choices((1.0, 2.5, 0.4), (0.9, 0.05, 0.05))[0]
            pace.learn(speed * factor * rng.uniform(0.85, 1.15), step * 0.05)
            estimates.append(pace.get(step * 0.05))
        settled = estimates[100:]
        case.assertLess(max(settled), speed * 1.25)
        case.assertGreater(min(settled), speed * 0.8)


def test_pace_without_samples_is_forgotten(case):
    """A target that was slow would never be tried again."""
    pace = target_load.Pace()
    pace.learn(0.5, 0.0)
    case.assertEqual(0.5, pace.get(target_load.MAX_PACE_AGE_SECONDS))
    case.assertIsNone(pace.get(target_load.MAX_PACE_AGE_SECONDS + 1.0))


def test_speeds_are_relative_to_the_mean_of_the_service(case):
    """Unequal engines: 0.7, 0.7 and 1.7 times the usual time."""
    view = target_load.PerformanceView()
    paces = {'e1': 0.7, 'e2': 0.7, 'e3': 1.7}
    for name, pace in paces.items():
        estimate = target_load.Sample(pace=pace * 0.0386)
        view.record_estimate('s', name, estimate, 0.0)
    mean = sum(paces.values()) / 3
    for pace in paces.values():
        speed = view.compute_speed('s', pace * 0.0386, 1.0)
        case.assertAlmostEqual(pace / mean, speed)
    case.assertEqual(1.0, view.compute_speed('s', None, 1.0))
    case.assertEqual(1.0, view.compute_speed('other', 0.05, 1.0))
    for wrong in (0.0, -1.0):
        view.record_estimate('s', 'e1', target_load.Sample(pace=wrong), 2.0)
        case.assertEqual(1.0, view.compute_speed('s', wrong, 2.0))


def test_one_absurd_pace_hardly_changes_the_speeds_of_others(case):
    """The first sample at a new coordinator that had stood still for 3 s.

    All other targets would appear twice as fast as they are.
    """
    view = target_load.PerformanceView()
    for number in range(23):
        pace = 3.0 if number == 5 else 0.04
        sample = target_load.Sample(pace=pace)
        view.record_estimate('s', f'e{number}', sample, 0.0)
    speed = view.compute_speed('s', 0.04, 0.0)
    case.assertAlmostEqual(1.0, speed, delta=0.2)
    case.assertEqual(target_load.MAX_SPEED, view.compute_speed('s', 3.0, 0.0))


def test_all_instances_compute_the_same_speeds(case):
    """Each learns other targets' speeds from their coordinators."""
    counts = load_counts.LoadCounts()
    for step in range(100):
        for name, pace in (('e1', 0.7), ('e2', 1.7)):
            sample = target_load.Sample(1.0, 0.1, pace)
            counts.end(name, str(step), None, None, step * 0.05, sample)
    speeds = []
    for names in (('e1', 'e2'), ('e2', 'e1')):
        view = target_load.PerformanceView()
        for name in names:
            load = counts.get_load(name, 5.0)
            view.record_estimate('s', name, load.performance, 5.0)
        paces = [
            counts.get_load(n, 5.0).performance.pace for n in ('e1', 'e2')
        ]
        speeds.append([view.compute_speed('s', one, 5.0) for one in paces])
    case.assertEqual(speeds[0], speeds[1])
    case.assertAlmostEqual(1.7 / 0.7, speeds[0][1] / speeds[0][0])


def test_restarted_target_starts_anew(case):
    """The new process may run on another machine."""
    counts = load_counts.LoadCounts()
    sample = target_load.Sample(2.5, 0.0, 1.7)
    counts.end('e1', 'a', None, None, 0.0, sample)
    counts.reset('e1')
    case.assertEqual(load_counts.Load(0.0), counts.get_load('e1', 0.0))
    view = target_load.PerformanceView()
    view.record_report('s', 'e1', 2.5, 0.0)
    view.record_estimate('s', 'e1', sample, 0.0)
    view.reset('e1')
    case.assertEqual(1.0, view.get_contention('e1', 0.0))
    case.assertFalse(view.reports_contention('s'))
    case.assertEqual(1.0, view.compute_speed('s', 1.7, 0.0))


def test_view_is_bounded_by_the_targets(case):
    """Targets come and go for months."""
    view = target_load.PerformanceView()
    for number in range(100):
        view.record_report('s', f'e{number}', 2.5, 0.0)
        sample = target_load.Sample(2.5, 0.0, 1.0)
        view.record_estimate('s', f'e{number}', sample, 0.0)
    view.retain({'e1'})
    case.assertEqual({'e1'}, set(view._contentions))
    case.assertEqual({'e1'}, set(view._services['s'].paces))
    case.assertEqual({'e1'}, view._services['s'].reporting)


def test_only_services_that_report_contention_are_covered(case):
    """Earlier deployments must be served as before."""
    view = target_load.PerformanceView()
    case.assertFalse(view.record_report('tools', 't1', None, 0.0))
    case.assertFalse(view.reports_contention('tools'))
    view.record_report('models', 'm1', 1.0, 0.0)
    case.assertTrue(view.reports_contention('models'))
    case.assertFalse(view.reports_contention('tools'))
    view.record_report('models', 'm1', None, 1.0)
    case.assertFalse(view.reports_contention('models'))


def test_only_unexpected_reports_are_notified_at_once(case):
    """Each of thousands of responses a second would cost a datagram more."""
    view = target_load.PerformanceView()
    case.assertFalse(view.record_report('s', 'e1', 1.0, 0.0))
    case.assertTrue(view.record_report('s', 'e1', 2.5, 0.1))
    case.assertFalse(view.record_report('s', 'e1', 2.5, 0.15))
    case.assertTrue(view.record_report('s', 'e1', 1.0, 0.2))
    case.assertFalse(view.record_report('s', 'e1', 1.1, 0.3))


def test_coordinator_without_samples_knows_no_performance(case):
    """A response for targets without contention must not grow."""
    counts = load_counts.LoadCounts()
    counts.begin('t', 'a', 3.0, 0.0)
    counts.end('t', 'a', 2, 1.0, 0.1)
    case.assertIsNone(counts.get_load('t', 0.1).performance)


load_tests = fixtures.adapt(__name__)
