"""Tests of grants that nobody can use any more: they must not end a program.

What an instance is granted of a program's budget counts as granted in the
store, whether it is used or not. A budget that holds one turn and three
quarters of another shows soonest what is lost on the way.
"""

import asyncio

import msgspec

from tests.gateway import site_fixtures
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers
from vanillayoke.gateway import store as store_client
from vanillayoke.testing import fixtures

BUDGET = 175
MOST = 100


def _turn(site, instance, request, program):
    return site.turn(
        instance,
        request,
        program=program,
        budget=BUDGET,
        max_tokens=MOST,
        previous='before',
    )


async def _lose_all(site, network):
    """Let all instances lose power, after a turn that is kept."""
    await site.start(1)
    answer = await site.turn('i1', 'before', program='old')
    site_fixtures.kill(site, network, 'i1')
    await asyncio.sleep(1.0)
    return answer


async def _set_engines(site, are_leaving):
    state = 'draining' if are_leaving else 'ready'
    for name in ('m1', 'm2'):
        host = 10 + int(name[1:])
        site.register(name, f'10.8.0.{host - 10}:8080', state)
    await asyncio.sleep(0.2)


async def test_new_program_goes_on_after_its_home_changed_often(
    case, site, network
):
    """A conversation is picked up again after all instances lost power.

    Callers saw each try answered "budget spent" for as long as they came
    back, though not a token had been generated. Instances came back one by
    one while no engine took work yet: each try was reserved at the home of
    its moment and then refused. Instances that join ask the best of the
    others for what it has; where two had joined between two tries that was
    one that had never heard of the program, and the grants before stayed
    where they were, until the budget had no room for a further one.
    """
    program = site_fixtures.find_program_with_ranking(
        'i6', 'i5', 'i4', 'i3', 'i2'
    )
    await _lose_all(site, network)
    await _set_engines(site, are_leaving=True)
    await site.add_instance('i2')
    await asyncio.sleep(1.0)
    answer = await _turn(site, 'i2', 'a1', program)
    case.assertEqual(503, answer.status)
    for number, joining in enumerate((('i3', 'i4'), ('i5', 'i6')), 2):
        for name in joining:
            await site.add_instance(name)
        await asyncio.sleep(2.0)
        answer = await _turn(site, joining[0], f'a{number}', program)
        case.assertEqual(503, answer.status)
    await _set_engines(site, are_leaving=False)
    answer = await _turn(site, 'i5', 'a4', program)
    case.assertEqual(200, answer.status)


async def test_kept_program_is_not_charged_for_credit(case, site, network):
    """A store that was slow at the start costs a new program its budget.

    Homes that see trouble of the store count what their predecessor may have
    given on credit. Turns that are kept never get any, yet each new home
    charged them anew. Seen in a whole play of a large deployment: programs
    behind a loss of all power were told "spent" for ten seconds, by rows of
    four turns of which none had run.
    """
    program = site_fixtures.find_program_with_ranking('i3', 'i2')
    await _lose_all(site, network)
    site.store.response_delay = 0.2
    await site.add_instance('i2')
    await asyncio.sleep(2.0)
    site.store.response_delay = 0.004
    await _set_engines(site, are_leaving=True)
    answer = await _turn(site, 'i2', 'a1', program)
    case.assertEqual(503, answer.status)
    # What the first home has is out of reach: it loses power.
    site.store.response_delay = 0.2
    await site.add_instance('i3')
    await asyncio.sleep(2.0)
    site_fixtures.kill(site, network, 'i2')
    await asyncio.sleep(2.0)
    site.store.response_delay = 0.004
    await _set_engines(site, are_leaving=False)
    answer = await _turn(site, 'i3', 'a2', program)
    case.assertEqual(200, answer.status)


async def test_turn_given_up_at_its_home_is_settled(case, site):
    """The answer of a home is lost, or the caller leaves before it comes.

    The home had reserved for a turn that never ran, and kept that for as
    long as it lived: the program's next turn was refused for good.
    """
    await site.start(3)
    program = 'new'
    home = site_fixtures.rank_coordinators(program, site.instances)[0]
    other = next(name for name in site.instances if name != home)
    site.store.response_delay = 0.3
    front = site.instances[other]
    question = peer_messages.Reserve(program, MOST, 'lost', MOST)
    until = site.timers.now() + 0.1
    task = asyncio.ensure_future(front._reservations.reserve(question, until))
    await asyncio.sleep(0.15)
    task.cancel()
    await asyncio.sleep(2.0)
    site.store.response_delay = 0.004
    answer = await site.turn(
        other, 'a1', program=program, budget=MOST, max_tokens=MOST
    )
    case.assertEqual(200, answer.status)


async def test_grant_of_a_caller_that_left_is_not_lost(case, site):
    """The caller leaves while its grant is being written.

    The store took the row and its reply was lost: the row said that all was
    granted, and no instance had it.
    """
    await site.start(1)
    front = site.instances['i1']
    question = peer_messages.Reserve('new', MOST, 'lost', MOST)
    site.store.lost_replies = 1
    until = site.timers.now() + 2.0
    task = asyncio.ensure_future(front._reservations.reserve(question, until))
    # The row is written by then, and the next try is not made yet.
    await asyncio.sleep(0.015)
    case.assertIn('new', site.store.list_table('budgets'))
    case.assertFalse(task.done())
    task.cancel()
    await asyncio.sleep(2.0)
    answer = await site.turn(
        'i1', 'a1', program='new', budget=MOST, max_tokens=MOST
    )
    case.assertEqual(200, answer.status)


async def test_budget_is_not_said_spent_while_a_holder_is_silent(case, site):
    """What is left of a budget lies at an instance that does not answer.

    The instance still counts as a member. "Spent" would end the program for
    good; the caller is told to come again, and served once it answers.
    """
    program = site_fixtures.find_program_with_ranking('i2', 'i1')
    await site.start(2)
    await _set_engines(site, are_leaving=True)
    answer = await site.turn(
        'i2', 'a1', program=program, budget=BUDGET, max_tokens=MOST
    )
    case.assertEqual(503, answer.status)
    sender = site.instances['i2']._sender
    receive = sender._receive

    def hear_members_only(data, address):
        if data[:1] == peers.MEMBERSHIP:
            receive(data, address)

    sender._receive = hear_members_only
    stand_in = site.instances['i1']._reservations
    question = peer_messages.Reserve(program, BUDGET, 'under-way', MOST)
    await stand_in.reserve(question, site.timers.now() + 1.0)
    await _set_engines(site, are_leaving=False)
    answer = await site.turn(
        'i1', 'a2', program=program, budget=BUDGET, max_tokens=MOST
    )
    case.assertEqual(503, answer.status)
    sender._receive = receive
    answer = await site.turn(
        'i1', 'a3', program=program, budget=BUDGET, max_tokens=MOST
    )
    case.assertEqual(200, answer.status)


async def test_turn_waits_for_what_another_one_has_reserved(case, site):
    """Two sub-agents of a program near the end of its budget ask at once.

    The first reserves the most that a turn may make, and makes less than
    half of it. The second was told "spent", though it still fits.
    """
    await site.start(2)
    answers = await asyncio.gather(
        *(
            site.turn(
                'i1', f'a{number}', program='new', budget=150, max_tokens=MOST
            )
            for number in range(2)
        )
    )
    case.assertEqual([200, 200], [answer.status for answer in answers])


async def test_instances_that_leave_give_what_they_hold(case, site):
    """All instances are told to stop at once, in the middle of a program.

    None of them is a home any more, so each reserves for the turns that come
    to it. The program was told "spent" with a third of its budget used.
    """
    await site.start(3)
    for front in list(site.instances.values()):
        front._members.leave()
        front._reservations.is_leaving = True
    await asyncio.sleep(0.5)
    statuses = []
    for number, instance in enumerate(('i1', 'i2', 'i3', 'i3')):
        answer = await site.turn(
            instance, f'a{number}', program='new', budget=400, max_tokens=MOST
        )
        statuses.append(answer.status)
        await site_fixtures.wait_for_background_work()
    case.assertEqual([200] * 4, statuses)


async def test_silent_holder_counts_also_beside_one_that_gave(case, site):
    """One instance hands over too little, another one does not answer.

    What the second holds is still open, so the budget is not spent.
    """
    program = site_fixtures.find_program_with_ranking('i3', 'i2', 'i1')
    await site.start(3)
    for name in ('i2', 'i3'):
        site.instances[name]._ledger.deposit(
            program, 10 if name == 'i3' else MOST
        )
    sender = site.instances['i2']._sender
    receive = sender._receive
    sender._receive = lambda data, address: (
        receive(data, address) if data[:1] == peers.MEMBERSHIP else None
    )
    collect = site.instances['i1']._reservations._transfers.collect
    until = site.timers.now() + 2.0
    case.assertTrue(await collect(program, until))
    with case.assertRaises(store_client.StoreRefusedError):
        await collect(program, until)


async def test_tokens_that_come_late_are_taken(case, site):
    """A holder stands still for a second before it hands over.

    It has given the tokens up by then; nobody else would ever have them.
    """
    await site.start(2)
    site.instances['i2']._ledger.deposit('new', MOST)
    sender = site.instances['i2']._sender
    receive, late = sender._receive, []
    sender._receive = lambda data, address: (
        receive(data, address)
        if data[:1] == peers.MEMBERSHIP
        else late.append((data, address))
    )
    collect = site.instances['i1']._reservations._transfers.collect
    with case.assertRaises(store_client.StoreRefusedError):
        await collect('new', site.timers.now() + 2.0)
    sender._receive = receive
    for data, address in late:
        receive(data, address)
    await asyncio.sleep(0.5)
    case.assertEqual(MOST, site.instances['i1']._ledger.withdraw('new'))


async def test_many_that_ask_at_once_search_once(case, site):
    """A program that loops asks fifty times while one holder is silent."""
    await site.start(2)
    asked = []
    sender = site.instances['i2']._sender
    receive = sender._receive

    def count(data, address):
        if data[:1] == peers.MEMBERSHIP:
            receive(data, address)
        else:
            asked.append(data)

    sender._receive = count
    collect = site.instances['i1']._reservations._transfers.collect
    until = site.timers.now() + 2.0
    await asyncio.gather(
        *(collect('new', until) for _ in range(50)), return_exceptions=True
    )
    case.assertLessEqual(len(asked), 10)


async def test_grant_in_doubt_is_found_under_another_ones_row(case, site):
    """The store takes a holder's row, its reply is lost, another one writes.

    The row names the last writer of each holder, so this one finds its grant
    out when it is asked for what it holds.
    """
    program = site_fixtures.find_program_with_ranking('i1', 'i2')
    await site.start(2)
    ledger = site.instances['i1']._ledger
    site.store.lost_replies = 1
    until = site.timers.now() + 0.02
    with case.assertRaises(store_client.StoreError):
        await ledger.reserve(program, BUDGET, 'a', MOST, until)
    other = site.instances['i2']._ledger
    until = site.timers.now() + 1.0
    await other.reserve(program, BUDGET, 'b', MOST, until, MOST)
    collect = site.instances['i2']._reservations._transfers.collect
    case.assertTrue(await collect(program, site.timers.now() + 1.0))
    case.assertEqual(MOST, other.withdraw(program))


async def test_tokens_on_their_way_are_found(case, site):
    """An instance that stops hands its tokens to the next home just now.

    They are at neither of the two when a third one asks both.
    """
    await site.start(3)
    program = site_fixtures.find_program_with_ranking('i1', 'i2', 'i3')
    site.instances['i1']._ledger.deposit(program, MOST)
    tokens = site.instances['i1']._ledger.withdraw(program)
    collect = site.instances['i3']._reservations._transfers.collect
    found = asyncio.ensure_future(collect(program, site.timers.now() + 2.0))
    await asyncio.sleep(0.05)
    site.instances['i2']._ledger.deposit(program, tokens)
    case.assertTrue(await found)


async def test_tokens_that_were_taken_back_are_searched_again(case, site):
    """Two homes of one program collect its budget from each other.

    The first found some, lost them to the second one in the same moment and
    took its own search for one that had found nothing: "spent" was said a
    few milliseconds later, with all tokens at live instances.
    """
    await site.start(2)
    ledgers = [site.instances[name]._ledger for name in ('i1', 'i2')]
    collect = site.instances['i1']._reservations._transfers.collect
    until = site.timers.now() + 2.0
    for _ in range(2):
        ledgers[1].deposit('new', MOST)
        case.assertTrue(await collect('new', until))
        case.assertEqual(MOST, ledgers[0].withdraw('new'))


async def test_two_that_lack_a_little_do_not_take_it_from_each_other(
    case, site
):
    """Two instances hold a part of what each of them needs, at once.

    Both collect, and both would go on as long as their callers wait.
    """
    program = site_fixtures.find_program_with_ranking('i1', 'i2')
    await site.start(2)
    homes = [site.instances[name]._reservations for name in ('i1', 'i2')]
    ledgers = [site.instances[name]._ledger for name in ('i1', 'i2')]
    until = site.timers.now() + 5.0
    for ledger, turn in zip(ledgers, 'xy', strict=True):
        await ledger.reserve(program, MOST, turn, MOST, until, MOST)
        ledger.settle(program, turn, MOST)
        ledger.deposit(program, MOST * 6 // 10)
    calls = site.instances['i1']._peers._number
    questions = [
        peer_messages.Reserve(program, MOST, turn, MOST) for turn in ('p', 'q')
    ]
    answers = await asyncio.gather(
        *(
            one._reserve_from_store(question, until)
            for one, question in zip(homes, questions, strict=True)
        ),
        return_exceptions=True,
    )
    case.assertLess(site.timers.now(), until - 2.0)
    case.assertLess(site.instances['i1']._peers._number - calls, 30)
    granted = answers.count(ledger_module.Outcome.GRANTED)
    case.assertLessEqual(granted, 1)


async def test_late_copy_of_a_question_reserves_nothing(case, site):
    """The question to reserve comes again when its turn is over.

    Nobody would settle the second reservation.
    """
    await site.start(1)
    homes = site.instances['i1']._reservations
    site.instances['i1']._ledger.deposit('new', MOST)
    question = peer_messages.Reserve('new', MOST, 'a', MOST)
    case.assertIsInstance(
        homes.handle_request(question), peer_messages.Granted
    )
    homes.handle_request(peer_messages.Settle('new', 'a', 0))
    case.assertEqual(
        peer_messages.Unavailable(False), homes.handle_request(question)
    )
    case.assertEqual(MOST, site.instances['i1']._ledger.withdraw('new'))


async def test_returned_tokens_are_returned_once(case, site):
    """An instance gives back at its stop, and the reply is lost.

    Another one is granted some meanwhile; the row must not lose those.
    """
    await site.start(1)
    ledger = site.instances['i1']._ledger
    until = site.timers.now() + 1.0
    await ledger.reserve('new', 400, 'a', MOST, until)
    ledger.settle('new', 'a', 0)
    site.store.lost_replies = 1
    back = asyncio.ensure_future(ledger.return_grants(site.timers.now() + 3.0))
    while site.store.lost_replies:
        case.assertFalse(back.done())
        await asyncio.sleep(0.001)
    await site.add_instance('i2')
    other = site.instances['i2']._ledger
    await other.reserve('new', 400, 'b', MOST, site.timers.now() + 1.0)
    await back
    row = msgspec.msgpack.decode(site.store.list_table('budgets')['new'])
    case.assertGreaterEqual(row[1], MOST)


load_tests = fixtures.adapt(__name__, [site_fixtures])
