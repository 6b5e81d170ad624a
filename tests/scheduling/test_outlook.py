"""Tests of what programs may still lose, and the order that follows."""

from vanillayoke.scheduling import outlook
from vanillayoke.scheduling import urgency
from vanillayoke.testing import fixtures


def test_program_without_waiting_keeps_its_slack(case):
    clock = outlook.ProgramClock('main', 0.0, 4.0)
    case.assertAlmostEqual(1.6, clock.estimate('main', 0.0, 0.6).left)
    clock.arrive('main', 2.0, 2.0)
    case.assertAlmostEqual(1.6, clock.estimate('main', 2.0, 0.6).left)


def test_waiting_takes_slack_away(case):
    clock = outlook.ProgramClock('main', 0.0, 4.0)
    clock.lose('main', 1.0, 1.5)
    case.assertAlmostEqual(0.6, clock.estimate('main', 1.5, 0.6).left)
    clock.lose('main', 1.0, 3.0)
    case.assertLess(clock.estimate('main', 3.0, 0.6).left, 0)


def test_sub_agents_that_wait_together_cost_their_program_once(case):
    """Five sub-agents run in parallel and each waits half a second."""
    clock = outlook.ProgramClock('main', 0.0, 4.0)
    for number in range(5):
        clock.arrive(f's{number}', 1.0, 3.0)
        clock.lose(f's{number}', 0.5, 1.6)
    clock.arrive('main', 2.0, 2.0)
    case.assertAlmostEqual(1.1, clock.estimate('main', 2.0, 0.6).left)


def test_late_program_goes_behind_all_that_can_make_it(case):
    fine = outlook.Slack(2.0, -3.0, 4.0)
    tight = outlook.Slack(0.1, -1.0, 4.0)
    late = outlook.Slack(-0.1, -0.5, 4.0)
    worthless = outlook.Slack(-6.0, 5.0, 4.0)
    levels = [
        urgency.rank(slack, 0) for slack in (tight, fine, late, worthless)
    ]
    case.assertEqual(sorted(levels), levels)
    case.assertEqual(4, len(set(levels)))


def test_more_important_route_goes_first_with_the_same_slack(case):
    slack = outlook.Slack(0.35, -1.0, 4.0)
    case.assertLess(urgency.rank(slack, 0), urgency.rank(slack, 1))


def test_share_of_idle_time_is_learned(case):
    share = outlook.IdleShare()
    for _ in range(400):
        clock = outlook.ProgramClock('main', 0.0, 10.0)
        clock.arrive('main', 7.5, 2.5)
        share.learn(clock)
    case.assertAlmostEqual(0.75, share.value, delta=0.03)


load_tests = fixtures.adapt(__name__)
