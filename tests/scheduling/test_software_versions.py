"""Tests of which versions may have begun the streams that callers resume."""

from vanillayoke.scheduling import software_versions
from vanillayoke.testing import fixtures

WINDOW = 6.0


@fixtures.fixture
def versions():
    """Return a record of a service with v1, read at second 0."""
    versions = software_versions.SoftwareVersions()
    versions.record_routes({'plan': 'models'}, 0.0)
    versions.record_read(0.0)
    versions.record_use('models', 'v1', 0.0)
    return versions


def _follow(versions, since, until):
    for second in range(int(since), int(until) + 1):
        versions.record_news(float(second))


def _find(versions, now, present=('v1',)):
    found = versions.list_versions('plan', 'models', present, WINDOW, now)
    if found is None or len(found) != 1:
        return None
    return next(iter(found))


def test_version_is_known_once_the_window_was_followed(case, versions):
    """A version that came and went before the start would be missed."""
    _follow(versions, 1, 7)
    case.assertIsNone(_find(versions, 5.5))
    case.assertEqual('v1', _find(versions, 7.0))


def test_first_start_has_no_unknown_past(case):
    for is_known_before in (True, False):
        versions = software_versions.SoftwareVersions()
        if is_known_before:
            versions.record_first_start()
        versions.record_read(0.0)
        versions.record_use('models', 'v1', 0.0)
        if not is_known_before:
            case.assertIsNone(_find(versions, 1.0))
            versions.record_first_start()
        case.assertEqual('v1', _find(versions, 1.0))


def test_late_news_of_the_first_start_hides_no_gap(case):
    """A target that came and went may have begun a stream."""
    versions = software_versions.SoftwareVersions()
    versions.record_read(0.0)
    versions.record_use('models', 'v1', 0.0)
    versions.record_missed(0.5)
    versions.record_first_start()
    case.assertIsNone(_find(versions, 1.0))


def test_reading_the_table_again_keeps_the_record(case, versions):
    """The store drops its history while the table is followed.

    All instances read the table again; none would know the only version.
    """
    _follow(versions, 1, 9)
    versions.record_read(11.0)
    case.assertEqual('v1', _find(versions, 11.0))


def test_reading_the_table_after_an_outage_begins_a_new_record(case, versions):
    """The store has dropped its history; a version may have been missed."""
    _follow(versions, 1, 9)
    versions.record_read(19.0)
    _follow(versions, 20, 25)
    case.assertIsNone(_find(versions, 24.5))
    case.assertEqual('v1', _find(versions, 25.5))


def test_changes_after_an_outage_keep_the_record(case, versions):
    """All instances have followed the table up to an outage of the store."""
    _follow(versions, 1, 10)
    _follow(versions, 20, 21)
    case.assertEqual('v1', _find(versions, 21.0))


def test_missed_target_begins_a_new_record(case, versions):
    """A target has come and gone in an outage; its version is not known."""
    _follow(versions, 1, 10)
    versions.record_missed(20.0)
    _follow(versions, 20, 26)
    case.assertIsNone(_find(versions, 25.5))
    case.assertEqual('v1', _find(versions, 26.5))


def test_old_news_are_not_trusted(case, versions):
    """An instance is cut off from the store while a version appears."""
    _follow(versions, 1, 10)
    case.assertEqual('v1', _find(versions, 12.0))
    case.assertIsNone(_find(versions, 13.5))


def test_second_version_counts_for_the_window_after_its_last_use(
    case, versions
):
    """Its streams may still be resumed when its targets have left."""
    _follow(versions, 1, 30)
    versions.record_use('models', 'v2', 20.0)
    case.assertIsNone(_find(versions, 25.0))
    case.assertEqual('v1', _find(versions, 26.5))


def test_present_versions_count_without_a_recent_use(case, versions):
    """Targets do not write their rows while the store is unavailable."""
    _follow(versions, 1, 30)
    case.assertIsNone(_find(versions, 30.0, ('v1', 'v2')))
    case.assertIsNone(_find(versions, 30.0, ()))


def test_version_is_unknown_after_a_route_has_moved(case, versions):
    """Its streams began at another service."""
    _follow(versions, 1, 30)
    versions.record_routes({'plan': 'models', 'chat': 'models'}, 25.0)
    case.assertEqual('v1', _find(versions, 26.0))
    versions.record_routes({'plan': 'other', 'chat': 'models'}, 28.0)
    case.assertIsNone(_find(versions, 30.0))


def test_record_of_former_versions_is_bounded(case, versions):
    """An instance outlives many releases of its targets."""
    for number in range(1000):
        versions.record_use('models', f'v{number}', float(number))
        versions.record_use(f'service{number}', 'v1', float(number))
        versions.prune(float(number))
    retained = int(software_versions.RETENTION_SECONDS)
    case.assertEqual(retained, len(versions._used_at['models']))
    case.assertEqual(retained + 1, len(versions._used_at))


load_tests = fixtures.adapt(__name__)
