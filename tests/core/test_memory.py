"""Tests of the account of bytes that a process holds for others."""

import random

from vanillayoke.core import memory
from vanillayoke.testing import fixtures

CAPACITY = 10_000_000
TARGETS = memory.Kind.TARGETS
MEGABYTE = 1024 * 1024
SMALL = 4096
LARGE = 200_000


@fixtures.fixture
def states():
    return []


@fixtures.fixture
def account(states):
    return memory.Account(CAPACITY, states.append)


def test_smallest_machine_can_hold_two_large_bodies_and_more(case):
    """A body of 4 MB needs 8 MB; machines have 128 MB."""
    capacity = memory.compute_capacity(128 * MEGABYTE)
    bodies = memory.LARGE_RATIOS[memory.Kind.REQUESTS] * capacity
    case.assertGreater(bodies, 2 * 8 * MEGABYTE)
    case.assertLess(capacity + memory.OWN_BYTES, 128 * MEGABYTE)


def test_process_with_less_than_its_own_need_holds_something(case):
    case.assertGreater(memory.compute_capacity(16 * MEGABYTE), 0)


def test_small_bodies_have_room_where_large_ones_have_none(case, account):
    """Slow readers of large responses must not take others' service."""
    while account.has_room(TARGETS, LARGE):
        account.add(memory.Kind.RESPONSES, LARGE)
    case.assertTrue(account.has_room(TARGETS, SMALL))
    while account.has_room(TARGETS, SMALL):
        account.add(memory.Kind.RESPONSES, SMALL)
    case.assertLess(account.total, CAPACITY)


def test_body_above_the_capacity_is_held_when_little_else_is(case, account):
    """A large body must not wait for ever on a small machine."""
    case.assertTrue(account.has_room(TARGETS, 2 * CAPACITY))
    account.add(TARGETS, CAPACITY // 2)
    case.assertFalse(account.has_room(TARGETS, 2 * CAPACITY))


def test_pressure_does_not_flutter(case, account, states):
    account.add(TARGETS, int(0.69 * CAPACITY))
    for _ in range(10):
        account.add(memory.Kind.RESPONSES, CAPACITY // 50)
        account.add(memory.Kind.RESPONSES, -CAPACITY // 50)
    case.assertEqual([True], states)
    account.add(TARGETS, -CAPACITY // 2)
    case.assertEqual([True, False], states)


def test_waiters_are_served_when_there_is_room_small_ones_first(case, account):
    served = []

    def wait(size):
        def take():
            account.add(memory.Kind.REQUESTS, size)
            served.append(size)

        return account.wait(TARGETS, size, take)

    account.add(TARGETS, int(0.74 * CAPACITY))
    wait(4 * LARGE)
    cancelled = wait(3 * LARGE)
    wait(2 * LARGE)
    account.cancel(cancelled)
    case.assertEqual([], served)
    account.add(TARGETS, -2 * LARGE)
    case.assertEqual([2 * LARGE], served)
    account.add(TARGETS, -4 * LARGE)
    case.assertEqual([2 * LARGE, 4 * LARGE], served)
    case.assertFalse(account.has_room(TARGETS, 4 * LARGE))


def test_waiter_is_not_served_while_it_begins_to_wait(case):
    """Caches are cleared when pressure begins, which may make room.

    A caller that is served before it knows its waiter would pause its reading
    for ever.
    """
    served = []

    def clear_caches(is_pressed):
        cached = account.held[memory.Kind.HISTORIES]
        if is_pressed and cached:
            account.add(memory.Kind.HISTORIES, -cached)

    account = memory.Account(CAPACITY, clear_caches)
    account.add(memory.Kind.HISTORIES, CAPACITY // 2)
    size = CAPACITY // 2
    case.assertFalse(account.has_room(TARGETS, size))
    waiter = account.wait(TARGETS, size, lambda: served.append(size))
    case.assertIsNone(waiter)
    case.assertTrue(account.has_room(TARGETS, size))
    case.assertEqual([], served)
    case.assertFalse(account.is_under_pressure)


def test_waiter_is_served_although_caches_made_too_little_room(case):
    """Pressure that ends meanwhile must not make it wait for ever."""
    served = []

    def clear_caches(is_pressed):
        cached = account.held[memory.Kind.HISTORIES]
        if is_pressed and cached:
            account.add(memory.Kind.HISTORIES, -cached)

    account = memory.Account(CAPACITY, clear_caches)
    account.add(memory.Kind.HISTORIES, LARGE)
    account.add(memory.Kind.RESPONSES, CAPACITY // 2)
    size = CAPACITY // 2
    waiter = account.wait(TARGETS, size, lambda: served.append(size))
    case.assertIsNotNone(waiter)
    case.assertTrue(account.is_under_pressure)
    account.add(memory.Kind.RESPONSES, -CAPACITY // 2)
    case.assertEqual([size], served)


def test_bodies_of_requests_leave_memory_for_responses(case, account):
    """Requests that wait with their bodies for responses end late or never."""
    while account.has_room(memory.Kind.REQUESTS, LARGE):
        account.add(memory.Kind.REQUESTS, LARGE)
    responses = 0
    while account.has_room(TARGETS, LARGE):
        account.add(TARGETS, LARGE)
        responses += 1
    case.assertGreater(responses, 10)


def test_request_that_waits_does_not_hold_up_a_response(case, account):
    served = []

    def wait(kind, size):
        def take():
            account.add(kind, size)
            served.append(kind)

        account.wait(kind, size, take)

    account.add(memory.Kind.RESPONSES, int(0.75 * CAPACITY))
    wait(memory.Kind.REQUESTS, LARGE)
    wait(TARGETS, 2 * LARGE)
    account.add(memory.Kind.RESPONSES, -int(0.15 * CAPACITY))
    case.assertEqual([TARGETS], served)


def test_reservation_is_released_once(case, account):
    reservation = account.reserve(memory.Kind.EXPECTED, SMALL)
    reservation.add(SMALL)
    case.assertEqual(2 * SMALL, account.total)
    reservation.release()
    reservation.release()
    case.assertEqual(0, account.total)


def test_many_waiters_and_holders_stay_within_the_bound(case, account):
    """A hundred bodies of up to a tenth of the capacity at the same time."""
    rng = random.Random(3)
    held = []

    def wait(size):
        def take():
            account.add(memory.Kind.REQUESTS, size)
            held.append(size)

        return account.wait(TARGETS, size, take)

    account.add(TARGETS, CAPACITY)
    for _ in range(100):
        wait(rng.randrange(CAPACITY // 10))
    account.add(TARGETS, -CAPACITY)
    count = 0
    while held:
        case.assertLessEqual(account.total, memory.SMALL_RATIO * CAPACITY)
        account.add(memory.Kind.REQUESTS, -held.pop(0))
        count += 1
    case.assertEqual((100, 0), (count, account.total))


load_tests = fixtures.adapt(__name__)
