"""Tests of the expected sizes of responses."""

from vanillayoke.scheduling import response_sizes
from vanillayoke.testing import fixtures

LARGE = 1024 * 1024
SMALL = 2000


@fixtures.fixture
def sizes():
    return response_sizes.ResponseSizes()


def test_size_follows_the_responses_of_the_route(case, sizes):
    for _ in range(30):
        sizes.learn('files', LARGE)
        sizes.learn('tools', SMALL)
    case.assertEqual(LARGE, sizes.estimate('files'))
    case.assertEqual(SMALL, sizes.estimate('tools'))
    case.assertEqual(0, sizes.estimate('other'))


def test_route_with_mixed_sizes_is_expected_to_be_small(case, sizes):
    """Refusing its requests early would refuse the small ones as well."""
    for _ in range(30):
        sizes.learn('tools', SMALL)
        for _ in range(5):
            sizes.learn('tools', LARGE)
    case.assertEqual(SMALL, sizes.estimate('tools'))


def test_route_that_becomes_large_is_expected_to_be_large(case, sizes):
    sizes.learn('files', SMALL)
    for _ in range(response_sizes.WINDOW_RESPONSES):
        sizes.learn('files', LARGE)
    case.assertEqual(LARGE, sizes.estimate('files'))


def test_number_of_keys_is_bounded(case, sizes):
    """Organisations come and go."""
    for number in range(2 * response_sizes.MAX_KEYS):
        sizes.learn(number, SMALL)
    case.assertEqual(0, sizes.estimate(0))
    case.assertEqual(SMALL, sizes.estimate(number))


load_tests = fixtures.adapt(__name__)
