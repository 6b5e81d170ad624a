"""Tests of the slack of programs and the urgency levels derived from it."""

from vanillayoke.scheduling import program_slack
from vanillayoke.scheduling import urgency
from vanillayoke.testing import fixtures


def test_program_without_delay_keeps_its_slack(case):
    tracker = program_slack.DelayTracker('main', 0.0, 4.0)
    case.assertAlmostEqual(1.6, tracker.estimate_slack('main', 0.0, 0.6).left)
    tracker.start_turn('main', 2.0, 2.0)
    case.assertAlmostEqual(1.6, tracker.estimate_slack('main', 2.0, 0.6).left)


def test_delay_reduces_slack(case):
    tracker = program_slack.DelayTracker('main', 0.0, 4.0)
    tracker.record_delay('main', 1.0, 1.5)
    case.assertAlmostEqual(0.6, tracker.estimate_slack('main', 1.5, 0.6).left)
    tracker.record_delay('main', 1.0, 3.0)
    case.assertLess(tracker.estimate_slack('main', 3.0, 0.6).left, 0)


def test_delays_of_parallel_sub_agents_count_once(case):
    """Five sub-agents run in parallel, each delayed by half a second."""
    tracker = program_slack.DelayTracker('main', 0.0, 4.0)
    for number in range(5):
        tracker.start_turn(f's{number}', 1.0, 3.0)
        tracker.record_delay(f's{number}', 0.5, 1.6)
    tracker.start_turn('main', 2.0, 2.0)
    case.assertAlmostEqual(1.1, tracker.estimate_slack('main', 2.0, 0.6).left)


def test_late_programs_are_less_urgent_than_those_on_time(case):
    ample = program_slack.Slack(2.0, -3.0, 4.0)
    tight = program_slack.Slack(0.1, -1.0, 4.0)
    late = program_slack.Slack(-0.1, -0.5, 4.0)
    overdue = program_slack.Slack(-6.0, 5.0, 4.0)
    levels = [
        urgency.get_level(slack, 0) for slack in (tight, ample, late, overdue)
    ]
    case.assertEqual(sorted(levels), levels)
    case.assertEqual(4, len(set(levels)))


def test_route_priority_decides_at_equal_slack(case):
    slack = program_slack.Slack(0.35, -1.0, 4.0)
    case.assertLess(urgency.get_level(slack, 0), urgency.get_level(slack, 1))


def test_idle_time_ratio_is_learned(case):
    ratio = program_slack.IdleTimeRatio()
    for _ in range(400):
        tracker = program_slack.DelayTracker('main', 0.0, 10.0)
        tracker.start_turn('main', 7.5, 2.5)
        ratio.learn(tracker)
    case.assertAlmostEqual(0.75, ratio.value, delta=0.03)


load_tests = fixtures.adapt(__name__)
