"""Tests of the configuration version in force."""

from vanillayoke.cluster import versions
from vanillayoke.testing import fixtures


@fixtures.fixture
def tracker():
    return versions.VersionTracker(in_force=3)


def test_newer_version_is_fetched_and_adopted(case, tracker):
    case.assertTrue(tracker.hear(5))
    case.assertEqual(5, tracker.missing)
    case.assertTrue(tracker.adopt(5))
    case.assertIsNone(tracker.missing)


def test_accepted_configuration_never_reverts(case, tracker):
    """A replaced configuration is back in force on one instance.

    It had fetched a version from a slow peer, and a newer one came into
    force before the answer was there.
    """
    tracker.adopt(5)
    case.assertFalse(tracker.hear(4))
    case.assertFalse(tracker.adopt(4))
    case.assertFalse(tracker.adopt(5))
    case.assertEqual(5, tracker.in_force)


def test_version_between_is_adopted_and_the_highest_still_missing(
    case, tracker
):
    tracker.hear(6)
    case.assertTrue(tracker.adopt(5))
    case.assertEqual(6, tracker.missing)
    case.assertEqual(6, tracker.highest)


load_tests = fixtures.adapt(__name__)
