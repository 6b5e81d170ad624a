"""Tests of the choice of targets by load reports of different age."""

import random

from vanillayoke.scheduling import occupancy
from vanillayoke.testing import fixtures

CANDIDATES = [
    occupancy.Candidate('local', 10, 'z1'),
    occupancy.Candidate('remote1', 10, 'z2'),
    occupancy.Candidate('remote2', 10, 'z3'),
]


@fixtures.fixture
def view():
    return occupancy.Occupancy()


def _choose(view, affinity_target=None, excluded=(), now=0.0):
    criteria = occupancy.PlacementCriteria(affinity_target, 'z1')
    chosen = occupancy.choose_by_own_view(
        CANDIDATES, view, criteria, excluded, now, random.Random(1).random
    )
    return None if chosen is None else chosen.name


def test_local_zone_is_preferred_at_low_load(case, view):
    """Choosing by load alone would cause needless cross-zone traffic."""
    for _ in range(3):
        view.begin('local')
    case.assertEqual('local', _choose(view))


def test_full_local_target_is_not_chosen(case, view):
    for _ in range(9):
        view.begin('local')
    case.assertNotEqual('local', _choose(view))


def test_affinity_target_is_chosen_unless_it_is_full(case, view):
    case.assertEqual('remote1', _choose(view, affinity_target='remote1'))
    for _ in range(12):
        view.begin('remote1')
    case.assertNotEqual('remote1', _choose(view, affinity_target='remote1'))


def test_weight_of_a_report_decays_with_its_age(case, view):
    view.record_report('local', occupancy.LoadReport(10, 10, 10), 0.0)
    case.assertAlmostEqual(20.0, view.estimate_requests('local', 0.0))
    case.assertLess(view.estimate_requests('local', 2.0), 2.0)


def test_own_requests_are_not_counted_twice(case, view):
    for _ in range(4):
        view.begin('local')
    view.record_report('local', occupancy.LoadReport(4, 0, 10), 0.0)
    case.assertAlmostEqual(4.0, view.estimate_requests('local', 0.0))


def test_target_that_shed_is_skipped_during_the_pause(case, view):
    view.record_shed('local', 0.0)
    case.assertNotEqual('local', _choose(view, now=0.01))
    case.assertEqual('local', _choose(view, now=0.1))


def test_no_target_is_chosen_if_all_are_excluded(case, view):
    case.assertIsNone(_choose(view, excluded=('local', 'remote1', 'remote2')))


load_tests = fixtures.adapt(__name__)
