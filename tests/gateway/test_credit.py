"""Tests of turns on credit: programs go on while the store is away."""

import asyncio

import msgspec

from tests.gateway import site_fixtures
from vanillayoke.gateway import exclusivity
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import rendezvous
from vanillayoke.standins import store as store_module
from vanillayoke.testing import fixtures

MOST = 40


def _find_home(site, program):
    members = [
        rendezvous.Peer(name, front.settings.front)
        for name, front in site.instances.items()
    ]
    return rendezvous.find_coordinator(program, members).instance


async def _go_away(site, mode=store_module.Mode.RESET_CONNECTION):
    # One program before, as on any site that has been up for a while.
    for name in site.instances:
        await site.turn(name, f'before-{name}', route='plan', program='old')
    site.store.mode = mode
    await asyncio.sleep(1.0)


def _turn(site, name, number, program='new', budget=800):
    return site.turn(
        name, f'a{number}', route='plan', program=program, budget=budget
    )


async def test_program_starts_while_the_store_is_away(case, site):
    """The store is away for seconds; a planner's program begins meanwhile.

    Nothing of it is kept, so all it needs from the store is a grant. Its
    home knows that it can't have run before and lets it begin at once.
    """
    await site.start(3)
    await _go_away(site)
    began = site.timers.now()
    answers = [await _turn(site, 'i1', number) for number in range(3)]
    case.assertEqual([200] * 3, [answer.status for answer in answers])
    case.assertLess(site.timers.now() - began, 1.0)


async def test_credit_is_counted_when_the_store_is_back(case, site):
    await site.start(3)
    await _go_away(site)
    for number in range(3):
        await _turn(site, 'i1', number)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(2.0)
    for number in range(3, 30):
        await _turn(site, 'i2', number)
    answers = [await _turn(site, 'i3', number) for number in range(30, 33)]
    case.assertEqual([402] * 3, [answer.status for answer in answers])
    runs = sum(len(site.list_runs(f'a{n}')) for n in range(33))
    case.assertLessEqual(runs * MOST, 800 + MOST)


async def test_credit_is_written_down_soon_after_the_return(case, site):
    """The home may die at any moment; what it gave must be known by then."""
    await site.start(3)
    await _go_away(site)
    await _turn(site, 'i1', 1)
    case.assertNotIn('new', site.store.list_table('budgets'))
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(2.0)
    row = msgspec.msgpack.decode(site.store.list_table('budgets')['new'])
    case.assertGreaterEqual(row[1], MOST)


async def test_slow_store_does_not_hold_a_turn_up(case, site):
    """Each call takes a third of a second; the turn need not wait for it."""
    await site.start(3)
    await _go_away(site, store_module.Mode.SERVE)
    site.store.response_delay = 0.35
    began = site.timers.now()
    answer = await _turn(site, 'i1', 1)
    case.assertEqual(200, answer.status)
    case.assertLess(site.timers.now() - began, 0.3)


async def test_budget_holds_when_a_home_dies_with_credit(case, site, network):
    """The home gives credit and loses power before the store is back.

    What it gave stands nowhere. The next home counts the credit as used, so
    a program that never stops gets its budget and one turn at the most.
    """
    await site.start(3)
    await _go_away(site)
    home = _find_home(site, 'new')
    other = next(name for name in site.instances if name != home)
    number = 0
    for number in range(8):
        await _turn(site, other, number)
    site_fixtures.kill(site, network, home)
    await asyncio.sleep(3.0)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(1.0)
    while (await _turn(site, other, number + 1)).status == 200:
        number += 1
    runs = sum(len(site.list_runs(f'a{n}')) for n in range(number + 2))
    case.assertLessEqual(runs * MOST, 800 + MOST)
    case.assertGreaterEqual(runs * MOST, 800 - 400)


async def test_kept_turn_does_not_hide_credit_of_a_home_that_died(
    case, site, network
):
    """A program has turns of both kinds, and its home dies with its credit.

    The first turn at the next home is kept, so it never had credit itself;
    what the former home gave to the others still counts.
    """
    await site.start(3)
    await _go_away(site)
    home = _find_home(site, 'new')
    other = next(name for name in site.instances if name != home)
    for number in range(8):
        await _turn(site, other, number)
    site_fixtures.kill(site, network, home)
    await asyncio.sleep(3.0)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(1.0)
    number = 8
    await site.turn(other, 'a8', route='chat', program='new', budget=800)
    while (await _turn(site, other, number + 1)).status == 200:
        number += 1
    runs = sum(len(site.list_runs(f'a{n}')) for n in range(number + 2))
    case.assertLessEqual(runs * MOST, 800 + MOST)


async def test_credit_is_not_given_beside_a_grant_in_doubt(case, site):
    """The store takes a grant, its reply is lost, and then it is away.

    The home must not give on credit what the row may have granted already.
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
    case.assertLessEqual(runs * MOST, 800 + MOST)


async def test_spent_program_gets_no_credit_of_a_new_home(case, site, network):
    """A program that was stopped comes back while the store is away.

    Its home has died since. The next one can't read that the budget is
    spent, and must not take it for a new program.
    """
    await site.start(3)
    status = 200
    number = 0
    while status == 200:
        number += 1
        status = (await _turn(site, 'i1', number)).status
    case.assertEqual(402, status)
    home = _find_home(site, 'new')
    site_fixtures.kill(site, network, home)
    await asyncio.sleep(3.0)
    site.store.mode = store_module.Mode.RESET_CONNECTION
    await asyncio.sleep(1.0)
    other = next(iter(site.instances))
    answer = await _turn(site, other, number + 1)
    case.assertIn(answer.status, (402, 503))
    case.assertEqual([], site.list_runs(f'a{number + 1}'))


async def test_home_that_is_not_sure_gives_no_credit_to_anybody(case, site):
    """All homes were taken for gone once, and are back.

    What others granted meanwhile they do not know, so a program may have no
    budget left. Another instance asks its home while that finds every way to
    the store closed.
    """
    await site.start(3)
    await _go_away(site)
    for front in site.instances.values():
        front._exclusivity.record_interruption(site.timers.now())
    for name, front in site.instances.items():
        # As in the moments behind a refusal of all other instances.
        front._store.availability.is_unavailable = True
        front._store._relays.pause()
        program = _find_program_of(site, name)
        question = peer_messages.Reserve(
            program, 800, 'turn', MOST, allow_credit=True
        )
        case.assertEqual(
            peer_messages.Unavailable(True),
            front._reservations.handle_request(question),
        )
        case.assertEqual([], site.list_events(name, 'budget_on_credit'))


def _find_program_of(site, home):
    names = (f'new{number}' for number in range(100))
    return next(name for name in names if _find_home(site, name) == home)


async def test_kept_turn_gets_no_answer_on_credit(case, site):
    """A turn that can't be kept does not run, whatever its budget."""
    await site.start(3)
    await _go_away(site)
    answer = await site.turn('i1', 'kept', program='new')
    case.assertEqual(503, answer.status)
    case.assertEqual([], site.list_runs('kept'))


def _make_tenure(is_first_start=True):
    made = exclusivity.Exclusivity('i1', 0.0, is_first_start)
    made.record_program()
    made.update_members(['i1', 'i2'], 0.0)
    made.tick(0.0, 0.0, 0.25)
    return made


def _find_program(wanted):
    """Return a program whose home is ``wanted`` among two."""
    members = [rendezvous.Peer(name, '') for name in ('i1', 'i2')]
    names = (f'p{number}' for number in range(100))
    return next(
        name
        for name in names
        if rendezvous.find_coordinator(name, members).instance == wanted
    )


def test_home_from_the_first_start_on_is_sure(case):
    made = _make_tenure()
    case.assertTrue(made.is_exclusive(_find_program('i1'), 0.1, 0.1, 0.25))
    case.assertFalse(made.is_exclusive(_find_program('i2'), 0.1, 0.1, 0.25))


def test_restarted_home_is_sure_after_a_while_only(case):
    made = _make_tenure(is_first_start=False)
    program = _find_program('i1')
    case.assertFalse(made.is_exclusive(program, 0.1, 0.1, 0.25))
    made.tick(0.25, 0.25, 0.25)
    for step in range(1, 600):
        made.tick(step * 0.25, step * 0.25, 0.25)
    case.assertTrue(made.is_exclusive(program, 599 * 0.25, 599 * 0.25, 0.25))


def test_home_in_place_of_one_that_went_is_not_sure(case):
    made = _make_tenure()
    made.update_members(['i1'], 1.0)
    made.tick(0.25, 0.25, 0.25)
    case.assertFalse(made.is_exclusive(_find_program('i2'), 0.3, 0.3, 0.25))
    case.assertTrue(made.is_exclusive(_find_program('i1'), 0.3, 0.3, 0.25))


def test_home_that_froze_is_not_sure(case):
    """Others stood in for it; it has not heard so yet."""
    made = _make_tenure()
    case.assertFalse(made.is_exclusive(_find_program('i1'), 3.0, 3.0, 0.25))
    made.tick(3.0, 3.0, 0.25)
    case.assertFalse(made.is_exclusive(_find_program('i1'), 3.1, 3.1, 0.25))


def test_home_whose_machine_was_suspended_is_not_sure(case):
    """Its steady clock stood still; only the time of day shows the gap.

    Others stood in for it meanwhile, and what they granted it does not know.
    """
    made = _make_tenure()
    case.assertFalse(made.is_exclusive(_find_program('i1'), 0.1, 4.1, 0.25))
    made.tick(0.25, 4.25, 0.25)
    case.assertFalse(made.is_exclusive(_find_program('i1'), 0.3, 4.3, 0.25))


def test_clock_step_back_leaves_a_home_sure(case):
    made = _make_tenure()
    made.tick(0.25, -4.75, 0.25)
    case.assertTrue(made.is_exclusive(_find_program('i1'), 0.3, -4.7, 0.25))


def test_home_that_was_taken_for_gone_is_not_sure(case):
    made = _make_tenure()
    made.update_incarnation(5, 0.0)
    made.update_incarnation(6, 0.1)
    case.assertFalse(made.is_exclusive(_find_program('i1'), 0.2, 0.2, 0.25))


load_tests = fixtures.adapt(__name__, [site_fixtures])
