"""Tests of budgets while many instances start, leave or fail at once.

Their membership views differ meanwhile. All tokens of a program must be found
at whichever instance holds them, and a budget must not be split.
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
MAX_TOKENS = 100


async def test_program_keeps_its_coordinator_while_all_instances_leave(
    case, site
):
    """Leaving instances must not split a budget among them.

    The parts would be too small for a turn.
    """
    await site.start(3)
    await site.turn(
        'i1', 'first', program='new', budget=320, max_tokens=MAX_TOKENS
    )
    for instance in site.instances.values():
        instance._members.leave()
        instance._reservations.is_leaving = True
    await asyncio.sleep(0.5)
    responses = await asyncio.gather(
        *(
            site.turn(
                f'i{1 + number % 3}',
                f'a{number}',
                program='new',
                budget=320,
                max_tokens=MAX_TOKENS,
            )
            for number in range(5)
        )
    )
    case.assertEqual([200] * 5, [response.status for response in responses])


async def _use_part_of_budget(instance, program):
    """Grant a whole budget to an instance and use a part of it."""
    ledger, deadline = instance._ledger, instance._timers.now() + 1.0
    await ledger.reserve(program, BUDGET, 'first', BUDGET, deadline)
    ledger.settle(program, 'first', 40)


async def _send_turns(site, program):
    """Send turns that fit into the rest of the budget; return responses."""
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


async def test_last_instance_to_leave_releases_its_tokens(case, site):
    """Tokens at the last instance to leave must be found.

    It ranks last for the program, received the tokens of the coordinator and
    has no instance to transfer them to.
    """
    program = site_fixtures.find_program_with_ranking('i1', 'i2', 'i3', 'i4')
    await site.start(4)
    instances = list(site.instances.values())
    await _use_part_of_budget(instances[0], program)
    for leaving in (instances[:3], instances[3:]):
        for instance in leaving:
            instance._members.leave()
            instance._reservations.is_leaving = True
        await asyncio.sleep(0.5)
        for instance in leaving:
            await instance._reservations.hand_over()
    responses = await _send_turns(site, program)
    case.assertEqual([200] * 3, [response.status for response in responses])


async def test_collected_tokens_are_found_again(case, site):
    """Tokens must be found at an instance that has collected them.

    It ranks low for the program and has not written the budget's row.
    """
    program = site_fixtures.find_program_with_ranking('i1', 'i2', 'i3', 'i4')
    await site.start(4)
    await _use_part_of_budget(site.instances['i1'], program)
    deadline = site.timers.now() + 1.0
    for name in ('i2', 'i4'):
        holders = site.instances[name]._reservations._transfers
        case.assertTrue(await holders.collect(program, deadline))
    responses = await _send_turns(site, program)
    case.assertEqual([200] * 3, [response.status for response in responses])


async def test_holder_regarded_as_failed_is_asked(case, site):
    """A holder regarded as failed must be asked before a budget is spent.

    Instances that start at once regard later ones as failed for some seconds.
    """
    program = site_fixtures.find_program_with_ranking('i1', 'i2')
    await site.start(2)
    await asyncio.sleep(reservations_module.JOIN_PERIOD_SECONDS)
    await _use_part_of_budget(site.instances['i2'], program)
    members = site.instances['i1']._members
    failed = [
        peer for peer in members.list_eligible() if peer.instance == 'i2'
    ]
    members.list_reachable = lambda: []
    members.list_lost = lambda: failed
    request = peer_messages.Reserve(program, BUDGET, 'a', 120)
    outcome = await site.instances['i1']._reservations._reserve_from_store(
        request, site.timers.now() + 2.0
    )
    case.assertIs(ledger_module.Outcome.GRANTED, outcome)


async def test_restarted_holder_is_asked_before_its_return_is_known(
    case, site
):
    """A holder that had left and come back must be asked as well.

    While stops overlap, instances learn late that another one has restarted.
    """
    program = site_fixtures.find_program_with_ranking('i1', 'i2')
    await site.start(2)
    await asyncio.sleep(reservations_module.JOIN_PERIOD_SECONDS)
    await site.instances['i2'].stop()
    await asyncio.sleep(0.1)
    site.instances['i1']._peers._on_membership = lambda data, sender: True
    await site.add_instance('i2')
    await asyncio.sleep(0.1)
    await _use_part_of_budget(site.instances['i2'], program)
    request = peer_messages.Reserve(program, BUDGET, 'a', 120)
    outcome = await site.instances['i1']._reservations._reserve_from_store(
        request, site.timers.now() + 2.0
    )
    case.assertIs(ledger_module.Outcome.GRANTED, outcome)


async def test_instances_ask_the_same_next_coordinator(case, site, network):
    """Instances that miss a coordinator must not split the budget.

    Until the coordinator is detected as failed, all have to ask the same next
    instance.
    """
    names = ['i1', 'i2', 'i3', 'i4', 'i5']
    program = site_fixtures.find_program_with_ranking(*names)
    await site.start(5)
    site_fixtures.kill(site, network, 'i1')
    responses = await asyncio.gather(
        *(
            site.turn(name, site.make_request_id(), program=program)
            for name in names[1:]
        )
    )
    case.assertEqual({200}, {response.status for response in responses})
    row = msgspec.msgpack.decode(site.store.list_table('budgets')[program])
    case.assertEqual(['i2'], [name for name, _ in row[4]])


async def test_instances_that_start_together_agree_on_a_coordinator(
    case, site, network
):
    """Instances that start at once must not each take a grant.

    Without contact to each other, each would regard itself as the coordinator.
    """
    names = ['i1', 'i2', 'i3', 'i4', 'i5']
    await site.start(5)
    for name in names:
        site_fixtures.kill(site, network, name)
    await asyncio.sleep(1.0)
    network.unreachable_hosts.clear()
    await asyncio.gather(*(site.add_instance(name) for name in names))
    await asyncio.sleep(0.1)
    responses = await asyncio.gather(
        *(
            site.turn(name, site.make_request_id(), program='p')
            for name in names
        )
    )
    case.assertEqual({200}, {response.status for response in responses})
    row = msgspec.msgpack.decode(site.store.list_table('budgets')['p'])
    case.assertEqual(
        site_fixtures.rank_coordinators('p', names)[:1],
        [name for name, _ in row[4]],
    )


async def test_stop_transfers_nothing_to_an_instance_that_never_started(
    case, site
):
    """Tokens must not be transferred to an instance that never started.

    It is listed in the store and ranks highest for the program.
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
    eligible = site.instances['i1']._members.list_eligible()
    case.assertIn('i9', [peer.instance for peer in eligible])
    await _use_part_of_budget(site.instances['i1'], program)
    await site.instances['i1']._reservations.hand_over()
    case.assertEqual(
        BUDGET - 40, site.instances['i2']._ledger.withdraw(program)
    )


load_tests = fixtures.adapt(__name__, [site_fixtures])
