"""Tests of turns on credit while the store is unavailable."""

import asyncio

import msgspec

from tests.gateway import site_fixtures
from vanillayoke.gateway import exclusivity
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import rendezvous
from vanillayoke.standins import store as store_module
from vanillayoke.testing import fixtures

MAX_TOKENS = 40


def _find_coordinator(site, program):
    members = [
        rendezvous.Peer(name, instance.settings.front)
        for name, instance in site.instances.items()
    ]
    return rendezvous.find_coordinator(program, members).instance


async def _stop_store(site, mode=store_module.Mode.RESET_CONNECTION):
    # An earlier program, as on a site that has been running.
    for name in site.instances:
        await site.turn(name, f'before-{name}', route='plan', program='old')
    site.store.mode = mode
    await asyncio.sleep(1.0)


def _turn(site, name, number, program='new', budget=800):
    return site.turn(
        name, f'a{number}', route='plan', program=program, budget=budget
    )


async def test_program_starts_while_the_store_is_unavailable(case, site):
    """A new program must not wait for the store to recover.

    Its turns are not saved, and its coordinator knows that it has no grants
    elsewhere, so it starts on credit.
    """
    await site.start(3)
    await _stop_store(site)
    began = site.timers.now()
    responses = [await _turn(site, 'i1', number) for number in range(3)]
    case.assertEqual([200] * 3, [response.status for response in responses])
    case.assertLess(site.timers.now() - began, 1.0)


async def test_credit_counts_after_the_store_recovers(case, site):
    await site.start(3)
    await _stop_store(site)
    for number in range(3):
        await _turn(site, 'i1', number)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(2.0)
    for number in range(3, 30):
        await _turn(site, 'i2', number)
    responses = [await _turn(site, 'i3', number) for number in range(30, 33)]
    case.assertEqual([402] * 3, [response.status for response in responses])
    runs = sum(len(site.list_runs(f'a{n}')) for n in range(33))
    case.assertLessEqual(runs * MAX_TOKENS, 800 + MAX_TOKENS)


async def test_credit_is_recorded_after_the_store_recovers(case, site):
    """Credit that stays unrecorded would be lost with its coordinator."""
    await site.start(3)
    await _stop_store(site)
    await _turn(site, 'i1', 1)
    case.assertNotIn('new', site.store.list_table('budgets'))
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(2.0)
    row = msgspec.msgpack.decode(site.store.list_table('budgets')['new'])
    case.assertGreaterEqual(row[1], MAX_TOKENS)


async def test_slow_store_does_not_delay_a_turn(case, site):
    """A turn must start on credit while each store call takes 0.35 s."""
    await site.start(3)
    await _stop_store(site, store_module.Mode.SERVE)
    site.store.response_delay = 0.35
    began = site.timers.now()
    response = await _turn(site, 'i1', 1)
    case.assertEqual(200, response.status)
    case.assertLess(site.timers.now() - began, 0.3)


async def test_budget_holds_when_a_coordinator_fails_with_credit(
    case, site, network
):
    """Unrecorded credit must not let a program exceed its budget.

    The coordinator fails before the store recovers. The next one charges the
    maximum credit, so the program gets at most its budget and one turn.
    """
    await site.start(3)
    await _stop_store(site)
    coordinator = _find_coordinator(site, 'new')
    other = next(name for name in site.instances if name != coordinator)
    number = 0
    for number in range(8):
        await _turn(site, other, number)
    site_fixtures.kill(site, network, coordinator)
    await asyncio.sleep(3.0)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(1.0)
    while (await _turn(site, other, number + 1)).status == 200:
        number += 1
    runs = sum(len(site.list_runs(f'a{n}')) for n in range(number + 2))
    case.assertLessEqual(runs * MAX_TOKENS, 800 + MAX_TOKENS)
    case.assertGreaterEqual(runs * MAX_TOKENS, 800 - 400)


async def test_saved_turn_does_not_hide_lost_credit(case, site, network):
    """Lost credit must be charged although the next turn can't have credit.

    The first turn at the next coordinator is saved, so that it gets no
    credit; the former coordinator gave credit to earlier turns.
    """
    await site.start(3)
    await _stop_store(site)
    coordinator = _find_coordinator(site, 'new')
    other = next(name for name in site.instances if name != coordinator)
    for number in range(8):
        await _turn(site, other, number)
    site_fixtures.kill(site, network, coordinator)
    await asyncio.sleep(3.0)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(1.0)
    number = 8
    await site.turn(other, 'a8', route='chat', program='new', budget=800)
    while (await _turn(site, other, number + 1)).status == 200:
        number += 1
    runs = sum(len(site.list_runs(f'a{n}')) for n in range(number + 2))
    case.assertLessEqual(runs * MAX_TOKENS, 800 + MAX_TOKENS)


async def test_credit_does_not_repeat_an_unconfirmed_grant(case, site):
    """Credit must not repeat a grant whose write may have taken effect.

    The store applies the write, its response is lost, and the store becomes
    unavailable.
    """
    await site.start(1)
    await site.turn('i1', 'before', route='plan', program='old')
    ledger = site.instances['i1']._ledger
    number = 0
    while True:
        number += 1
        await _turn(site, 'i1', number)
        account = ledger._accounts['new']
        if account.granted == 600 and account.allotment.free == 40:
            break
    site.store.lost_replies = 1
    task = asyncio.ensure_future(_turn(site, 'i1', number + 1))
    while site.store.lost_replies:
        case.assertFalse(task.done())
        await asyncio.sleep(0.001)
    site.store.mode = store_module.Mode.RESET_CONNECTION
    await task
    await asyncio.sleep(3.0)
    for n in range(number + 2, number + 10):
        await _turn(site, 'i1', n)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(4.0)
    for n in range(number + 10, number + 40):
        await _turn(site, 'i1', n)
    runs = sum(len(site.list_runs(f'a{n}')) for n in range(number + 40))
    case.assertLessEqual(runs * MAX_TOKENS, 800 + MAX_TOKENS)


async def test_spent_program_gets_no_credit_from_a_new_coordinator(
    case, site, network
):
    """A new coordinator must not regard a spent program as a new one.

    The former coordinator has failed, and the row can't be read while the
    store is unavailable.
    """
    await site.start(3)
    status = 200
    number = 0
    while status == 200:
        number += 1
        status = (await _turn(site, 'i1', number)).status
    case.assertEqual(402, status)
    coordinator = _find_coordinator(site, 'new')
    site_fixtures.kill(site, network, coordinator)
    await asyncio.sleep(3.0)
    site.store.mode = store_module.Mode.RESET_CONNECTION
    await asyncio.sleep(1.0)
    other = next(iter(site.instances))
    response = await _turn(site, other, number + 1)
    case.assertIn(response.status, (402, 503))
    case.assertEqual([], site.list_runs(f'a{number + 1}'))


async def test_interrupted_coordinator_gives_no_credit(case, site):
    """A coordinator that was interrupted must not give credit.

    Others may have granted tokens meanwhile. The request comes from another
    instance while the store is unreachable for the coordinator.
    """
    await site.start(3)
    await _stop_store(site)
    for instance in site.instances.values():
        instance._exclusivity.record_interruption(site.timers.now())
    for name, instance in site.instances.items():
        # The store is unreachable, both directly and through relays.
        instance._store.availability.is_unavailable = True
        instance._store._relays.pause()
        program = _find_program_coordinated_by(site, name)
        request = peer_messages.Reserve(
            program, 800, 'turn', MAX_TOKENS, allow_credit=True
        )
        case.assertEqual(
            peer_messages.Unavailable(True),
            instance._reservations.handle_request(request),
        )
        case.assertEqual([], site.list_events(name, 'budget_on_credit'))


def _find_program_coordinated_by(site, coordinator):
    names = (f'new{number}' for number in range(100))
    return next(
        name for name in names if _find_coordinator(site, name) == coordinator
    )


async def test_saved_turn_gets_no_credit(case, site):
    """A turn that must be saved does not run without the store."""
    await site.start(3)
    await _stop_store(site)
    response = await site.turn('i1', 'kept', program='new')
    case.assertEqual(503, response.status)
    case.assertEqual([], site.list_runs('kept'))


def _make_exclusivity(is_first_start=True):
    tracker = exclusivity.Exclusivity('i1', 0.0)
    if is_first_start:
        tracker.record_first_start()
    tracker.record_joined(-exclusivity.SETTLING_SECONDS)
    tracker.record_program()
    tracker.update_members(['i1', 'i2'], 0.0)
    tracker.tick(0.0, 0.0, 0.25)
    return tracker


def _find_program(wanted):
    """Return a program that ``wanted`` coordinates, of two instances."""
    members = [rendezvous.Peer(name, '') for name in ('i1', 'i2')]
    names = (f'p{number}' for number in range(100))
    return next(
        name
        for name in names
        if rendezvous.find_coordinator(name, members).instance == wanted
    )


def test_coordinator_since_the_first_start_is_exclusive(case):
    tracker = _make_exclusivity()
    case.assertTrue(tracker.is_exclusive(_find_program('i1'), 0.1, 0.1, 0.25))
    case.assertFalse(tracker.is_exclusive(_find_program('i2'), 0.1, 0.1, 0.25))


def test_coordinator_is_not_exclusive_while_others_may_be_starting(case):
    """Two instances must not both give credit on the first start.

    The one that joins first does not know the coordinator yet, which regards
    itself as the only one from its start on.
    """
    first = exclusivity.Exclusivity('i1', 0.0)
    first.record_first_start()
    first.record_joined(0.0)
    first.update_members(['i1'], 0.0)
    first.tick(0.0, 0.0, 0.25)
    program = _find_program('i2')
    case.assertFalse(first.is_exclusive(program, 0.1, 0.1, 0.25))
    seconds = exclusivity.SETTLING_SECONDS
    first.tick(seconds, seconds, 0.25)
    case.assertTrue(first.is_exclusive(program, seconds, seconds, 0.25))
    first.update_members(['i1', 'i2'], seconds)
    case.assertFalse(first.is_exclusive(program, seconds, seconds, 0.25))


def test_restarted_coordinator_is_exclusive_after_retention(case):
    tracker = _make_exclusivity(is_first_start=False)
    program = _find_program('i1')
    case.assertFalse(tracker.is_exclusive(program, 0.1, 0.1, 0.25))
    tracker.tick(0.25, 0.25, 0.25)
    for step in range(1, 600):
        tracker.tick(step * 0.25, step * 0.25, 0.25)
    case.assertTrue(
        tracker.is_exclusive(program, 599 * 0.25, 599 * 0.25, 0.25)
    )


def test_replacement_coordinator_is_not_exclusive(case):
    tracker = _make_exclusivity()
    tracker.update_members(['i1'], 1.0)
    tracker.tick(0.25, 0.25, 0.25)
    case.assertFalse(tracker.is_exclusive(_find_program('i2'), 0.3, 0.3, 0.25))
    case.assertTrue(tracker.is_exclusive(_find_program('i1'), 0.3, 0.3, 0.25))


def test_frozen_coordinator_is_not_exclusive(case):
    """Others may have replaced it without its knowledge."""
    tracker = _make_exclusivity()
    case.assertFalse(tracker.is_exclusive(_find_program('i1'), 3.0, 3.0, 0.25))
    tracker.tick(3.0, 3.0, 0.25)
    case.assertFalse(tracker.is_exclusive(_find_program('i1'), 3.1, 3.1, 0.25))


def test_suspended_coordinator_is_not_exclusive(case):
    """Only the wall clock shows the gap: the monotonic clock stood still.

    Others may have granted tokens meanwhile.
    """
    tracker = _make_exclusivity()
    case.assertFalse(tracker.is_exclusive(_find_program('i1'), 0.1, 4.1, 0.25))
    tracker.tick(0.25, 4.25, 0.25)
    case.assertFalse(tracker.is_exclusive(_find_program('i1'), 0.3, 4.3, 0.25))


def test_backward_clock_step_keeps_exclusivity(case):
    tracker = _make_exclusivity()
    tracker.tick(0.25, -4.75, 0.25)
    case.assertTrue(tracker.is_exclusive(_find_program('i1'), 0.3, -4.7, 0.25))


def test_coordinator_regarded_as_failed_is_not_exclusive(case):
    tracker = _make_exclusivity()
    tracker.update_incarnation(5, 0.0)
    tracker.update_incarnation(6, 0.1)
    case.assertFalse(tracker.is_exclusive(_find_program('i1'), 0.2, 0.2, 0.25))


load_tests = fixtures.adapt(__name__, [site_fixtures])
