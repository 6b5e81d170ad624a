"""Tests of what programs may still lose, and the order that follows."""

from vanillayoke.scheduling import program_slack
from vanillayoke.scheduling import urgency
from vanillayoke.testing import fixtures


def test_program_without_waiting_keeps_its_slack(case):
    clock = program_slack.DelayTracker('main', 0.0, 4.0)
    case.assertAlmostEqual(1.6, clock.estimate_slack('main', 0.0, 0.6).left)
    clock.start_turn('main', 2.0, 2.0)
    case.assertAlmostEqual(1.6, clock.estimate_slack('main', 2.0, 0.6).left)


def test_waiting_takes_slack_away(case):
    clock = program_slack.DelayTracker('main', 0.0, 4.0)
    clock.record_delay('main', 1.0, 1.5)
    case.assertAlmostEqual(0.6, clock.estimate_slack('main', 1.5, 0.6).left)
    clock.record_delay('main', 1.0, 3.0)
    case.assertLess(clock.estimate_slack('main', 3.0, 0.6).left, 0)


def test_sub_agents_that_wait_together_cost_their_program_once(case):
    """Five sub-agents run in parallel and each waits half a second."""
    clock = program_slack.DelayTracker('main', 0.0, 4.0)
    for number in range(5):
        clock.start_turn(f's{number}', 1.0, 3.0)
        clock.record_delay(f's{number}', 0.5, 1.6)
    clock.start_turn('main', 2.0, 2.0)
    case.assertAlmostEqual(1.1, clock.estimate_slack('main', 2.0, 0.6).left)


def test_late_program_goes_behind_all_that_can_make_it(case):
    fine = program_slack.Slack(2.0, -3.0, 4.0)
    tight = program_slack.Slack(0.1, -1.0, 4.0)
    late = program_slack.Slack(-0.1, -0.5, 4.0)
    worthless = program_slack.Slack(-6.0, 5.0, 4.0)
    levels = [
        urgency.get_level(slack, 0) for slack in (tight, fine, late, worthless)
    ]
    case.assertEqual(sorted(levels), levels)
    case.assertEqual(4, len(set(levels)))


def test_more_important_route_goes_first_with_the_same_slack(case):
    slack = program_slack.Slack(0.35, -1.0, 4.0)
    case.assertLess(urgency.get_level(slack, 0), urgency.get_level(slack, 1))


def test_share_of_idle_time_is_learned(case):
    share = program_slack.IdleTimeRatio()
    for _ in range(400):
        clock = program_slack.DelayTracker('main', 0.0, 10.0)
        clock.start_turn('main', 7.5, 2.5)
        share.learn(clock)
    case.assertAlmostEqual(0.75, share.value, delta=0.03)


load_tests = fixtures.adapt(__name__)
