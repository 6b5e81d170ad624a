"""Tests of the detection of store outages from the results of calls."""

import random

from vanillayoke.gateway import availability
from vanillayoke.testing import fixtures


@fixtures.fixture
def store():
    return availability.Availability()


def test_failures_of_several_partitions_are_an_outage(case, store):
    results = [
        store.record_failure(name, 1.0) for name in ('a', 'b', 'c', 'd')
    ]
    case.assertEqual([False, False, True, False], results)
    case.assertEqual(2.5, store.get_outage_duration(3.5))


def test_failures_of_one_partition_are_no_outage(case, store):
    for number in range(50):
        case.assertFalse(store.record_failure('a', number / 10))
    case.assertTrue(store.has_recent_failure('a', 5.0))
    case.assertFalse(store.has_recent_failure('b', 5.0))
    case.assertFalse(store.has_recent_failure('a', 6.0))


def test_success_of_any_partition_ends_an_outage(case, store):
    for partition in ('a', 'b', 'c'):
        store.record_failure(partition, 1.0)
    case.assertTrue(store.record_success('d', 4.0))
    case.assertFalse(store.is_unavailable)
    case.assertEqual([3.0], list(store.outage_durations))
    case.assertEqual(4.0, store.recovered_at)


def test_timeouts_of_old_calls_are_no_new_outage(case, store):
    """Turns would be refused for seconds after the end of an outage.

    Probes sent while the store was unresponsive time out after its recovery.
    """
    for number in range(3):
        store.record_failure(f'a{number}', 1.0, sent_at=0.5)
    case.assertTrue(store.is_unavailable)
    store.record_success('b', 6.0)
    for number in range(10):
        now = 6.1 + number / 4
        store.record_failure(f'c{number}', now, sent_at=now - 2.5)
    case.assertFalse(store.is_unavailable)
    for number in range(3):
        store.record_failure(f'd{number}', 9.0, sent_at=8.5)
    case.assertTrue(store.is_unavailable)


def test_failure_of_a_third_of_the_partitions_is_rarely_an_outage(case, store):
    """The store must not count as unavailable while most partitions work."""
    rng = random.Random(5)
    outages = 0
    for number in range(3000):
        partition = rng.randrange(256)
        if partition % 3:
            store.record_success(str(partition), number / 100)
        else:
            outages += store.record_failure(str(partition), number / 100)
    case.assertLess(outages, 20)


def test_repeated_failures_of_known_partitions_are_no_outage(case, store):
    """A few partitions are down and retried, and other calls are rare.

    The whole store must not count as unavailable between two of these.
    """
    for number in range(40):
        for partition in ('a', 'b', 'c', 'd'):
            is_outage = store.record_failure(partition, number / 4)
            case.assertFalse(is_outage and number > 0)
        store.record_success('e', number / 4 + 0.1)
    results = [store.record_failure(name, 11.0) for name in ('f', 'g', 'h')]
    case.assertEqual([False, False, True], results)


def test_failures_of_two_partitions_are_correlated(case, store):
    """A single failure is not, nor is a refusal for the rate of calls."""
    store.record_failure('a', 1.0)
    store.record_failure('b', 5.0)
    store.record_failure('c', 5.1, is_rate_limited=True)
    case.assertEqual(float('-inf'), store.correlated_failure_at)
    store.record_failure('d', 5.2)
    case.assertEqual(5.2, store.correlated_failure_at)


load_tests = fixtures.adapt(__name__)
