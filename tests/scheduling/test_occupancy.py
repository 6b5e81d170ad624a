"""Tests of choosing places from reports that age."""

import random

from vanillayoke.scheduling import occupancy
from vanillayoke.testing import fixtures

PLACES = [
    occupancy.Candidate('near', 10, 'z1'),
    occupancy.Candidate('far', 10, 'z2'),
    occupancy.Candidate('farther', 10, 'z3'),
]


@fixtures.fixture
def view():
    return occupancy.Occupancy()


def _choose(view, affinity_target=None, excluded=(), now=0.0):
    wish = occupancy.PlacementCriteria(affinity_target, 'z1')
    found = occupancy.choose_by_own_view(
        PLACES, view, wish, excluded, now, random.Random(1).random
    )
    return None if found is None else found.name


def test_light_load_stays_in_its_zone(case, view):
    """At night few requests come; bytes between zones cost all the same.

    Load alone would spread them over all zones.
    """
    for _ in range(3):
        view.begin('near')
    case.assertEqual('near', _choose(view))


def test_heavy_load_goes_where_there_is_room(case, view):
    for _ in range(9):
        view.begin('near')
    case.assertNotEqual('near', _choose(view))


def test_session_goes_back_to_its_cache_unless_that_is_full(case, view):
    case.assertEqual('far', _choose(view, affinity_target='far'))
    for _ in range(12):
        view.begin('far')
    case.assertNotEqual('far', _choose(view, affinity_target='far'))


def test_old_report_counts_for_less(case, view):
    view.record_report('near', occupancy.LoadReport(10, 10, 10), 0.0)
    case.assertAlmostEqual(20.0, view.estimate_requests('near', 0.0))
    case.assertLess(view.estimate_requests('near', 2.0), 2.0)


def test_own_requests_are_not_counted_twice(case, view):
    for _ in range(4):
        view.begin('near')
    view.record_report('near', occupancy.LoadReport(4, 0, 10), 0.0)
    case.assertAlmostEqual(4.0, view.estimate_requests('near', 0.0))


def test_place_that_shed_is_passed_over_for_a_moment(case, view):
    view.record_shed('near', 0.0)
    case.assertNotEqual('near', _choose(view, now=0.01))
    case.assertEqual('near', _choose(view, now=0.1))


def test_no_place_is_left_when_all_were_tried(case, view):
    case.assertIsNone(_choose(view, excluded=('near', 'far', 'farther')))


load_tests = fixtures.adapt(__name__)
