"""Tests of who waits for a store that is away, and who is refused.

The load: programs whose turns are all kept, callers with four seconds a
turn, three sends and one more try behind a refusal, and outages that last
for seconds.
"""

from vanillayoke.scheduling import outages
from vanillayoke.testing import fixtures

DEADLINE, SILENCE, NEEDED = 4.0, 3.0, 0.5


def _decide(age, time_left=DEADLINE, earlier=()):
    turn = outages.PendingTurn(time_left, SILENCE, NEEDED)
    return outages.decide(outages.Outage(age, earlier), turn)


def test_turn_that_may_be_served_waits_as_long_as_it_can(case):
    case.assertEqual(outages.Wait(2.5), _decide(0.1))
    case.assertEqual(outages.Wait(2.5), _decide(7.0))
    case.assertEqual(outages.Wait(0.5), _decide(1.0, time_left=1.0))


def test_turn_that_hardly_can_be_served_is_refused_at_once(case):
    """Its caller is told to use the time it has, not to hurry."""
    match _decide(60.0):
        case outages.Refuse(retry_after):
            case.assertAlmostEqual(DEADLINE * 0.32, retry_after)
        case _:
            case.fail('it waits')


def test_turn_without_time_to_be_served_is_refused_at_once(case):
    for age in (0.0, 1.0, 60.0):
        match _decide(age, time_left=0.4):
            case outages.Refuse(retry_after):
                case.assertLessEqual(retry_after, outages.MIN_PAUSE_SECONDS)
            case _:
                case.fail('it waits')


def test_turn_that_has_run_waits_as_long_as_its_caller(case):
    """Its answer is there: to give it up would be to run it again."""
    for age in (0.1, 5.0, 300.0):
        wait = outages.decide(outages.Outage(age), outages.CompletedTurn(2.2))
        case.assertEqual(outages.Wait(2.2), wait)


def test_chance_falls_with_age_and_grows_with_time(case):
    ages = [outages.find_chance(outages.Outage(age), 2.0) for age in range(10)]
    case.assertEqual(sorted(ages, reverse=True), ages)
    times = [
        outages.find_chance(outages.Outage(3.0), time / 2)
        for time in range(10)
    ]
    case.assertEqual(sorted(times), times)


def test_earlier_outages_tell_when_this_one_may_end(case):
    """Outages here last four seconds, or a minute."""
    short = outages.Outage(3.0, (4.0, 4.1, 3.9, 4.2))
    long = outages.Outage(3.0, (60.0, 61.0, 59.0, 58.0))
    alone = outages.Outage(3.0)
    chances = [
        outages.find_chance(outage, 1.5) for outage in (long, alone, short)
    ]
    case.assertEqual(sorted(chances), chances)
    case.assertGreater(chances[2], 0.7)
    case.assertLess(chances[0], 0.15)


def test_turn_outlives_an_outage_of_seven_seconds(case):
    """A caller's own tries carry a turn over an outage of some seconds.

    Refused at once each time, as before once an outage was two seconds old,
    they are used up within five.
    """
    bridged = outages.find_bridged(3, 2, DEADLINE, SILENCE, NEEDED)
    case.assertGreaterEqual(bridged, 7.5)
    at_once = 3 * 0.32 * DEADLINE
    case.assertLess(at_once, 5.0)


load_tests = fixtures.adapt(__name__)
