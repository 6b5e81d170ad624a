"""Tests of target choice when latency rises long before all slots are used."""

from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.testing import fixtures

SLOTS = 64
# The latency doubles with 22 requests.
SLOPE = 0.046


@fixtures.fixture
def view():
    return occupancy.Occupancy()


def _choose(view, loads, slope=SLOPE):
    candidates = [occupancy.Candidate('local', SLOTS, 'z1')]
    candidates += [
        occupancy.Candidate(f'remote{n}', SLOTS, 'z2') for n in range(2)
    ]
    criteria = occupancy.PlacementCriteria(None, 'z1', slope)
    local, remote = occupancy.choose_candidates(
        candidates, view, criteria, (), 0.0, lambda: 0.5
    )
    counted = {name: load_counts.Load(count) for name, count in loads.items()}
    best = occupancy.choose_least_loaded(
        local, counted, view, criteria, 0.0, lambda: 0.5
    )
    if occupancy.is_lightly_loaded(best, counted, view, criteria):
        return best.name
    return occupancy.choose_least_loaded(
        [*local, *remote], counted, view, criteria, 0.0, lambda: 0.5
    ).name


def test_slowed_local_engine_is_not_chosen_though_it_has_free_slots(
    case, view
):
    """With 24 of 64 slots used the engine is twice as slow as remote ones."""
    loads = {'local': 24.0, 'remote0': 4.0, 'remote1': 4.0}
    case.assertNotEqual('local', _choose(view, loads))


def test_lightly_loaded_local_engine_is_chosen(case, view):
    loads = {'local': 4.0, 'remote0': 0.0, 'remote1': 0.0}
    case.assertEqual('local', _choose(view, loads))


def test_local_engine_without_slowdown_is_chosen(case, view):
    """Remote engines would only add cross-zone traffic."""
    loads = {'local': 24.0, 'remote0': 4.0, 'remote1': 4.0}
    case.assertEqual('local', _choose(view, loads, slope=0.001))


load_tests = fixtures.adapt(__name__)
