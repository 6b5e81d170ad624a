"""Tests of the decision whether turns wait for an unavailable store."""

from vanillayoke.scheduling import outages
from vanillayoke.testing import fixtures

TURN_TIMEOUT, RESPONSE_TIMEOUT, SERVICE_TIME = 4.0, 3.0, 0.5


def _decide(age, time_left=TURN_TIMEOUT, previous=()):
    turn = outages.PendingTurn(time_left, RESPONSE_TIMEOUT, SERVICE_TIME)
    return outages.decide(outages.Outage(age, previous), turn)


def test_turn_waits_while_it_can_be_served_in_time(case):
    case.assertEqual(outages.Wait(2.5), _decide(0.1))
    case.assertEqual(outages.Wait(2.5), _decide(7.0))
    case.assertEqual(outages.Wait(0.5), _decide(1.0, time_left=1.0))


def test_turn_that_is_unlikely_to_be_served_is_refused_at_once(case):
    """The pause is long, so that the caller uses its remaining time."""
    match _decide(60.0):
        case outages.Refuse(retry_after):
            case.assertAlmostEqual(TURN_TIMEOUT * 0.32, retry_after)
        case _:
            case.fail('turn waits')


def test_turn_without_time_to_be_served_is_refused_at_once(case):
    for age in (0.0, 1.0, 60.0):
        match _decide(age, time_left=0.4):
            case outages.Refuse(retry_after):
                case.assertLessEqual(retry_after, outages.MIN_PAUSE_SECONDS)
            case _:
                case.fail('turn waits')


def test_completed_turn_waits_until_its_caller_gives_up(case):
    """A refusal would make the caller run the turn again."""
    for age in (0.1, 5.0, 300.0):
        wait = outages.decide(outages.Outage(age), outages.CompletedTurn(2.2))
        case.assertEqual(outages.Wait(2.2), wait)


def test_return_probability_falls_with_age_and_grows_with_time(case):
    by_age = [
        outages.estimate_return_probability(outages.Outage(age), 2.0)
        for age in range(10)
    ]
    case.assertEqual(sorted(by_age, reverse=True), by_age)
    by_time = [
        outages.estimate_return_probability(outages.Outage(3.0), time / 2)
        for time in range(10)
    ]
    case.assertEqual(sorted(by_time), by_time)


def test_previous_outages_influence_the_return_probability(case):
    short = outages.Outage(3.0, (4.0, 4.1, 3.9, 4.2))
    long = outages.Outage(3.0, (60.0, 61.0, 59.0, 58.0))
    first = outages.Outage(3.0)
    probabilities = [
        outages.estimate_return_probability(outage, 1.5)
        for outage in (long, first, short)
    ]
    case.assertEqual(sorted(probabilities), probabilities)
    case.assertGreater(probabilities[2], 0.7)
    case.assertLess(probabilities[0], 0.15)


def test_turn_survives_an_outage_of_seven_seconds(case):
    """Immediate refusals would exhaust the caller's retries earlier."""
    bridged = outages.compute_bridged_outage(
        3, 2, TURN_TIMEOUT, RESPONSE_TIMEOUT, SERVICE_TIME
    )
    case.assertGreaterEqual(bridged, 7.5)
    if_refused = 3 * 0.32 * TURN_TIMEOUT
    case.assertLess(if_refused, 5.0)


load_tests = fixtures.adapt(__name__)
