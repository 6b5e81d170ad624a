"""Tests of the memory of where streams began."""

from vanillayoke.scheduling import origin_cache
from vanillayoke.testing import fixtures


@fixtures.fixture
def cache():
    return origin_cache.OriginCache(max_streams=3)


def test_origin_is_known_for_its_lifetime(case, cache):
    cache.record('a', 'v1', 10.0, 5.0)
    case.assertEqual('v1', cache.find('a', 14.9))
    case.assertIsNone(cache.find('a', 15.0))
    case.assertIsNone(cache.find('b', 11.0))


def test_newest_stream_of_a_session_is_found(case, cache):
    """A failed turn is sent again from its start, to another version."""
    cache.record('a', 'v1', 10.0, 5.0)
    cache.record('b', 'v1', 10.5, 5.0)
    cache.record('a', 'v2', 11.0, 5.0)
    case.assertEqual('v2', cache.find('a', 15.5))
    case.assertEqual('v1', cache.find('b', 15.4))


def test_oldest_streams_are_forgotten_first(case, cache):
    """A burst of streams must not fill the memory."""
    for number in range(5):
        cache.record(f'a{number}', 'v1', float(number), 100.0)
    case.assertEqual(3, len(cache))
    case.assertIsNone(cache.find('a1', 5.0))
    case.assertEqual('v1', cache.find('a4', 5.0))


def test_expired_streams_take_no_memory(case, cache):
    cache.record('a', 'v1', 0.0, 50.0)
    cache.record('b', 'v1', 1.0, 5.0)
    cache.prune(10.0)
    case.assertEqual(1, len(cache))


load_tests = fixtures.adapt(__name__)
