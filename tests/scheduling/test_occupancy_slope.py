"""Tests of where work goes when engines have far more slots than they like."""

from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.testing import fixtures

SLOTS = 64
# Twice as slow with 22 requests.
SLOPE = 0.046


@fixtures.fixture
def view():
    return occupancy.Occupancy()


def _choose(view, loads, slope=SLOPE):
    places = [occupancy.Candidate('near', SLOTS, 'z1')]
    places += [occupancy.Candidate(f'far{n}', SLOTS, 'z2') for n in range(2)]
    wish = occupancy.PlacementCriteria(None, 'z1', slope)
    near, far = occupancy.choose_candidates(
        places, view, wish, (), 0.0, lambda: 0.5
    )
    counted = {name: load_counts.Load(count) for name, count in loads.items()}
    best = occupancy.choose_least_loaded(
        near, counted, view, wish, 0.0, lambda: 0.5
    )
    if occupancy.is_lightly_loaded(best, counted, view, wish):
        return best.name
    return occupancy.choose_least_loaded(
        [*near, *far], counted, view, wish, 0.0, lambda: 0.5
    ).name


def test_zone_with_one_engine_sends_what_slows_it_to_others(case, view):
    """One zone has a single engine and a quarter of the callers.

    With 24 of 64 slots taken it is twice as slow as those of the other
    zones, which have four each; its programs all end late, while by slots
    it looks as good as empty.
    """
    loads = {'near': 24.0, 'far0': 4.0, 'far1': 4.0}
    case.assertNotEqual('near', _choose(view, loads))


def test_few_requests_stay_in_their_zone(case, view):
    loads = {'near': 4.0, 'far0': 0.0, 'far1': 0.0}
    case.assertEqual('near', _choose(view, loads))


def test_engine_that_is_not_slowed_keeps_its_zones_work(case, view):
    """Bytes between zones cost; where slots are all that counts, it stays."""
    loads = {'near': 24.0, 'far0': 4.0, 'far1': 4.0}
    case.assertEqual('near', _choose(view, loads, slope=0.001))


load_tests = fixtures.adapt(__name__)
