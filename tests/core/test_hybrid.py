"""Tests of the hybrid logical clock."""

from vanillayoke.core import hybrid
from vanillayoke.core import timers
from vanillayoke.testing import fixtures


class Wall:
    """A wall clock that tests set."""

    def __init__(self) -> None:
        self.seconds = 1_700_000_000.0

    def read(self) -> float:
        return self.seconds


@fixtures.fixture
def wall():
    return Wall()


@fixtures.fixture
def clock(loop, wall):
    return hybrid.HybridClock(timers.LoopTimers(loop, wall.read))


def test_times_increase_even_if_the_wall_clock_stops_or_goes_back(
    case, clock, wall
):
    times = [clock.read(), clock.read()]
    wall.seconds -= 3600
    times.append(clock.read())
    wall.seconds += 3601
    times.append(clock.read())
    case.assertEqual(sorted(set(times)), times)
    case.assertEqual(1_700_000_001_000, hybrid.get_wall_ms(times[-1]))


def test_received_time_precedes_the_next_event(case, clock):
    ahead = hybrid.pack_time(1_700_000_060_000, 7)
    case.assertTrue(clock.merge(ahead))
    case.assertGreater(clock.read(), ahead)


def test_time_of_a_clock_far_ahead_is_ignored(case, clock, wall):
    """One wrong clock must not permanently advance those of all instances."""
    year = hybrid.pack_time(1_700_000_000_000 + 365 * 86_400_000)
    case.assertFalse(clock.merge(year))
    case.assertFalse(clock.merge(-1))
    case.assertEqual(1_700_000_000_000, hybrid.get_wall_ms(clock.read()))


def test_counter_overflow_moves_to_the_next_millisecond(case, clock):
    last = hybrid.pack_time(1_700_000_000_000, (1 << 16) - 1)
    clock.merge(last)
    case.assertEqual(hybrid.pack_time(1_700_000_000_001), clock.read())


load_tests = fixtures.adapt(__name__)
