"""Tests of how an instance judges the store by how its calls end."""

import random

from vanillayoke.gateway import availability
from vanillayoke.testing import fixtures


@fixtures.fixture
def store():
    return availability.Availability()


def test_store_is_away_when_its_parts_fail_one_after_another(case, store):
    found = [store.record_failure(part, 1.0) for part in ('a', 'b', 'c', 'd')]
    case.assertEqual([False, False, True, False], found)
    case.assertEqual(2.5, store.get_outage_duration(3.5))


def test_one_part_that_fails_is_no_outage(case, store):
    for number in range(50):
        case.assertFalse(store.record_failure('a', number / 10))
    case.assertTrue(store.has_recent_failure('a', 5.0))
    case.assertFalse(store.has_recent_failure('b', 5.0))
    case.assertFalse(store.has_recent_failure('a', 6.0))


def test_success_of_any_part_ends_an_outage(case, store):
    for part in ('a', 'b', 'c'):
        store.record_failure(part, 1.0)
    case.assertTrue(store.record_success('d', 4.0))
    case.assertFalse(store.is_unavailable)
    case.assertEqual([3.0], list(store.outage_durations))
    case.assertEqual(4.0, store.recovered_at)


def test_old_calls_that_fail_are_no_new_outage(case, store):
    """Turns were refused for two seconds behind the end of an outage.

    The store had been silent. Probes sent into the silence ran out of
    patience one after another, seconds behind its return, and an instance
    with little other work took them for the next outage.
    """
    for number in range(3):
        store.record_failure(f'a{number}', 1.0, began=0.5)
    case.assertTrue(store.is_unavailable)
    store.record_success('b', 6.0)
    for number in range(10):
        at = 6.1 + number / 4
        store.record_failure(f'c{number}', at, began=at - 2.5)
    case.assertFalse(store.is_unavailable)
    for number in range(3):
        store.record_failure(f'd{number}', 9.0, began=8.5)
    case.assertTrue(store.is_unavailable)


def test_third_of_the_parts_down_is_seldom_taken_for_an_outage(case, store):
    """Calls go to random parts while a third of them refuse.

    Two failures in a row would count as an outage once in nine calls.
    """
    source = random.Random(5)
    outages = 0
    for number in range(3000):
        part = source.randrange(256)
        if part % 3:
            store.record_success(str(part), number / 100)
        else:
            outages += store.record_failure(str(part), number / 100)
    case.assertLess(outages, 20)


def test_part_known_to_be_down_is_no_sign_of_an_outage(case, store):
    """A few parts are down, and work for them is tried over and over.

    Other calls are rare. The instance must not take the whole store for gone
    between any two of them.
    """
    for number in range(40):
        for part in ('a', 'b', 'c', 'd'):
            is_lost = store.record_failure(part, number / 4)
            case.assertFalse(is_lost and number > 0)
        store.record_success('e', number / 4 + 0.1)
    lost = [store.record_failure(part, 11.0) for part in ('f', 'g', 'h')]
    case.assertEqual([False, False, True], lost)


def test_parts_that_fail_together_show_a_disturbance(case, store):
    """One call lost on the way does not, nor do refusals of too many."""
    store.record_failure('a', 1.0)
    store.record_failure('b', 5.0)
    store.record_failure('c', 5.1, is_rate_limited=True)
    case.assertEqual(float('-inf'), store.correlated_failure_at)
    store.record_failure('d', 5.2)
    case.assertEqual(5.2, store.correlated_failure_at)


load_tests = fixtures.adapt(__name__)
