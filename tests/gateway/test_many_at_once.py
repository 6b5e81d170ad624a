"""Tests of budgets while many instances start, leave or fail at once.

They differ for a moment about who lives and who stays. What each of them was
granted, handed or has collected of a program's budget must be found wherever
it lies, and the budget not be split among them.
"""

import asyncio

import msgspec

from tests.gateway import site_fixtures
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import reservations as reservations_module
from vanillayoke.testing import fixtures

BUDGET = 175
MOST = 100


async def test_program_keeps_one_home_while_all_instances_leave(case, site):
    """All instances are told to stop at once while sub-agents run.

    Each reserved for the turns that came to it, so the budget ended in parts
    that were too small for a turn, and two of five were told "spent".
    """
    await site.start(3)
    await site.turn('i1', 'first', program='new', budget=320, max_tokens=MOST)
    for front in site.instances.values():
        front._members.leave()
        front._reservations.is_leaving = True
    await asyncio.sleep(0.5)
    answers = await asyncio.gather(
        *(
            site.turn(
                f'i{1 + number % 3}',
                f'a{number}',
                program='new',
                budget=320,
                max_tokens=MOST,
            )
            for number in range(5)
        )
    )
    case.assertEqual([200] * 5, [answer.status for answer in answers])


async def _use_a_part(front, program):
    """Grant an instance a whole budget, of which one turn uses some."""
    ledger, until = front._ledger, front._timers.now() + 1.0
    await ledger.reserve(program, BUDGET, 'first', BUDGET, until)
    ledger.settle(program, 'first', 40)


async def _send_turns(site, program):
    """Send turns that the rest of the budget holds; return the answers."""
    return [
        await site.turn(
            name,
            site.make_request_id(),
            program=program,
            budget=BUDGET,
            max_tokens=60,
        )
        for name in ('i2', 'i3', 'i2')
    ]


async def test_last_one_to_leave_gives_what_it_was_handed(case, site):
    """All instances are told to stop, one shortly behind the others.

    A program's sub-agents were told "spent" with half of the budget unused.
    The home handed its tokens to the one that still stayed, which ranked last
    for the program. That one was told to stop too, found nobody who stays and
    kept them, where the next home did not look for them.
    """
    program = site_fixtures.find_program_with_ranking('i1', 'i2', 'i3', 'i4')
    await site.start(4)
    fronts = list(site.instances.values())
    await _use_a_part(fronts[0], program)
    for leaving in (fronts[:3], fronts[3:]):
        for front in leaving:
            front._members.leave()
            front._reservations.is_leaving = True
        await asyncio.sleep(0.5)
        for front in leaving:
            await front._reservations.hand_over()
    answers = await _send_turns(site, program)
    case.assertEqual([200] * 3, [answer.status for answer in answers])


async def test_tokens_that_were_collected_are_found_again(case, site):
    """Instances that all leave collect a budget from one another.

    Each takes itself for the home for a moment. The last one that did had
    never written the budget's row, ranked low, and kept what it collected:
    the others were told "spent" while it had room for three turns.
    """
    program = site_fixtures.find_program_with_ranking('i1', 'i2', 'i3', 'i4')
    await site.start(4)
    await _use_a_part(site.instances['i1'], program)
    until = site.timers.now() + 1.0
    for name in ('i2', 'i4'):
        holders = site.instances[name]._reservations._transfers
        case.assertTrue(await holders.collect(program, until))
    answers = await _send_turns(site, program)
    case.assertEqual([200] * 3, [answer.status for answer in answers])


async def test_holder_that_counts_as_failed_is_asked(case, site):
    """All instances start at once, and one takes another for failed.

    The other one had started a little later. It held the rest of a budget
    that the first called spent without having asked it.
    """
    program = site_fixtures.find_program_with_ranking('i1', 'i2')
    await site.start(2)
    await asyncio.sleep(reservations_module.JOIN_PERIOD_SECONDS)
    await _use_a_part(site.instances['i2'], program)
    members = site.instances['i1']._members
    failed = [one for one in members.list_eligible() if one.instance == 'i2']
    members.list_reachable = lambda: []
    members.list_failed = lambda: failed
    question = peer_messages.Reserve(program, BUDGET, 'a', 120)
    outcome = await site.instances['i1']._reservations._reserve_from_store(
        question, site.timers.now() + 2.0
    )
    case.assertIs(ledger_module.Outcome.GRANTED, outcome)


async def test_all_that_miss_a_home_ask_the_same_next_one(case, site, network):
    """A program's home loses power under a program with sub-agents.

    Until it counted as failed, each instance reserved for the turns that came
    to it: the budget ended in parts too small for a turn.
    """
    names = ['i1', 'i2', 'i3', 'i4', 'i5']
    program = site_fixtures.find_program_with_ranking(*names)
    await site.start(5)
    site_fixtures.kill(site, network, 'i1')
    answers = await asyncio.gather(
        *(
            site.turn(name, site.make_request_id(), program=program)
            for name in names[1:]
        )
    )
    case.assertEqual({200}, {answer.status for answer in answers})
    row = msgspec.msgpack.decode(site.store.list_table('budgets')[program])
    case.assertEqual(['i2'], [name for name, _ in row[4]])


async def test_instances_that_start_together_agree_on_a_home(
    case, site, network
):
    """All instances start again after a loss of power, and callers are there.

    Before they had heard of one another, each was the home of the programs
    that came to it. Ten of a large site took four grants of a program within
    half a second, a quarter of its budget each.
    """
    names = ['i1', 'i2', 'i3', 'i4', 'i5']
    await site.start(5)
    for name in names:
        site_fixtures.kill(site, network, name)
    await asyncio.sleep(1.0)
    network.unreachable_hosts.clear()
    await asyncio.gather(*(site.add_instance(name) for name in names))
    await asyncio.sleep(0.1)
    answers = await asyncio.gather(
        *(
            site.turn(name, site.make_request_id(), program='p')
            for name in names
        )
    )
    case.assertEqual({200}, {answer.status for answer in answers})
    row = msgspec.msgpack.decode(site.store.list_table('budgets')['p'])
    case.assertEqual(
        site_fixtures.rank_coordinators('p', names)[:1],
        [name for name, _ in row[4]],
    )


async def test_stop_hands_nothing_to_one_that_never_started(case, site):
    """An instance stops soon behind its start, beside one that is only listed.

    That one ranked best for a program, was not there, and took its tokens
    with it: the program was told "spent" at its next turn.
    """
    program = site_fixtures.find_program_with_ranking('i9', 'i1', 'i2')
    await site.start(2)
    row = messages.InstanceRow(
        instance='i9',
        incarnation=1,
        zone='z1',
        region='r1',
        front='10.1.0.9:8149',
        peer='10.1.0.9:7380',
    )
    site.instances['i1']._members.put_row('i9', msgspec.json.encode(row))
    homes = site.instances['i1']._members.list_eligible()
    case.assertIn('i9', [one.instance for one in homes])
    await _use_a_part(site.instances['i1'], program)
    await site.instances['i1']._reservations.hand_over()
    case.assertEqual(
        BUDGET - 40, site.instances['i2']._ledger.withdraw(program)
    )


load_tests = fixtures.adapt(__name__, [site_fixtures])
