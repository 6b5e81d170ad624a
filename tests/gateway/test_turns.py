"""Tests of turns: their stream, history and budget, with what may fail."""

import asyncio

import msgspec

from tests.gateway import site_fixtures
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers
from vanillayoke.gateway import rendezvous
from vanillayoke.standins import calls
from vanillayoke.standins import store as store_module
from vanillayoke.standins import targets
from vanillayoke.testing import fixtures


def _make_text(request, events=4):
    return b''.join(b'%s:%d\n' % (request, n) for n in range(1, events + 1))


async def test_turn_streams_the_servers_events(case, site):
    await site.start()
    answer = await site.turn('i1', 'a')
    case.assertEqual(200, answer.status)
    case.assertIn(b'id: 4\ndata: a:4\n\n', answer.body)
    [run] = site.list_runs('a')
    case.assertEqual(b'hello', run.body)


async def test_history_is_rebuilt_byte_for_byte_elsewhere(case, site):
    """A conversation goes on at another instance.

    The caller sends only what is new; the server has to get all that was
    said, each turn's input and then the data of its events.
    """
    await site.start()
    await site.turn('i1', 'a', b'one')
    await site.turn('i2', 'b', b'two', previous='a')
    await site.turn('i1', 'c', b'three', previous='b')
    [run] = site.list_runs('c')
    expected = b'one' + _make_text(b'a') + b'two' + _make_text(b'b')
    case.assertEqual(expected + b'three', run.body)


async def test_long_history_keeps_whole_over_many_rows(case, site):
    """A long conversation outgrows what one row of the store holds."""
    await site.start()
    expected = b''
    previous = None
    for number in range(4):
        name = f'turn{number}'
        body = bytes([65 + number]) * 60_000
        await site.turn('i1', name, body, previous=previous, budget=9999)
        expected += body + _make_text(name.encode())
        previous = name
    await site.turn('i2', 'last', b'!', previous=previous, budget=9999)
    [run] = site.list_runs('last')
    case.assertEqual(expected + b'!', run.body)


async def test_turn_of_another_program_is_found_by_its_id(case, site):
    """After all machines lost power new programs go on from old turns.

    Their names say nothing of the part that the old turn's row lies in.
    """
    await site.start()
    for number in range(6):
        await site.turn('i1', f'a{number}', b'old', program=f'p{number}')
    for number in range(6):
        answer = await site.turn(
            'i2', f'b{number}', b'new', program=f'q{number}',
            previous=f'a{number}',
        )  # fmt: skip
        case.assertEqual(200, answer.status)


async def test_unknown_turn_is_404_and_does_not_run(case, site):
    await site.start()
    answer = await site.turn('i1', 'a', previous='nowhere')
    case.assertEqual(404, answer.status)
    case.assertEqual([], site.list_runs('a'))


async def test_turn_is_not_called_unknown_while_the_store_is_away(case, site):
    await site.start()
    await site.turn('i1', 'a')
    site.store.mode = store_module.Mode.UNAVAILABLE
    answer = await site.turn('i2', 'b', previous='a')
    case.assertEqual(503, answer.status)
    case.assertIn(b'retry-after', answer.headers)
    case.assertEqual([], site.list_runs('b'))


async def test_turn_is_durable_before_its_response_ends(case, site):
    """Power fails right after the end of a response.

    What the caller has seen whole has to be found again, so the end of the
    response waits for the store.
    """
    await site.start()
    await site.turn('i1', 'warm', b'old')
    site.store.response_delay = 0.2
    task = asyncio.ensure_future(site.turn('i1', 'a', previous='warm'))
    while 'a' not in site.store.list_table('turns'):
        case.assertFalse(task.done())
        await asyncio.sleep(0.01)
    answer = await task
    case.assertEqual(200, answer.status)


async def test_lost_reply_of_the_store_does_not_lose_the_turn(case, site):
    """The store keeps the turn but its reply is lost on the way.

    The repeated write finds the row there already and has to know it for
    its own.
    """
    await site.start()
    await site.turn('i1', 'warm')
    site.store.lost_replies = 1
    answer = await site.turn('i1', 'a', previous='warm')
    case.assertEqual(200, answer.status)
    case.assertIn('a', site.store.list_table('turns'))


async def test_budget_holds_over_instances(case, site):
    """Turns of one program run through all instances at once.

    Each turn makes 40 tokens and may make 40; a budget of 100 holds two.
    """
    await site.start(3)
    answers = await asyncio.gather(
        *(
            site.turn(f'i{1 + n % 3}', f'a{n}', route='plan', budget=100)
            for n in range(6)
        )
    )
    statuses = sorted(answer.status for answer in answers)
    case.assertEqual([200, 200, 402, 402, 402, 402], statuses)
    ran = sum(len(site.list_runs(f'a{n}')) for n in range(6))
    case.assertEqual(2, ran)


async def test_unused_part_of_a_reservation_is_given_back(case, site):
    await site.start()
    statuses = []
    for number in range(5):
        answer = await site.turn(
            'i1', f'a{number}', route='plan', budget=200, max_tokens=100
        )
        statuses.append(answer.status)
        await site_fixtures.wait_for_background_work()
    # 40 of 100 reserved tokens are used each time; 100 left hold one more.
    case.assertEqual([200, 200, 200, 402, 402], statuses)


async def test_budget_survives_the_death_of_its_home(case, site, network):
    """The instance that keeps a program's budget loses power.

    What it had been granted stays spent: the program gets less, never more.
    """
    await site.start(3)
    homes = site.instances['i1']._members.list_eligible()
    home = rendezvous.find_coordinator('p1', homes).instance
    other = next(name for name in ('i1', 'i2', 'i3') if name != home)
    for number in range(3):
        await site.turn(other, f'a{number}', route='plan', budget=400)
    site_fixtures.kill(site, network, home)
    await asyncio.sleep(4.0)
    tokens = 120
    for number in range(12):
        answer = await site.turn(other, f'b{number}', route='plan', budget=400)
        tokens += 40 if answer.status == 200 else 0
        await site_fixtures.wait_for_background_work()
    case.assertLessEqual(tokens, 400)
    case.assertGreater(tokens, 200)


async def test_stream_that_broke_off_is_never_said_not_to_have_run(case, site):
    """A planner's stream breaks off before its first event; its server ends.

    The second try finds nobody listening there, and all other servers are
    full. The first try may have run, so the caller is not told "not run".
    """
    await site.start(1)
    site.targets['m2'].stop()
    site.store.put('servers', 'm2', None)
    await asyncio.sleep(0.2)
    site.targets['m1'].faults.append(targets.Fault.LOSE_ANSWER)
    task = asyncio.ensure_future(site.turn('i1', 'a', route='plan'))
    # The first try has begun there by then, and not yet broken off.
    await asyncio.sleep(0.015)
    case.assertEqual(1, len(site.list_runs('a')))
    for listener in site.targets['m1']._server._servers:
        listener.close()
    await asyncio.sleep(0.5)
    site.store.put('servers', 'm1', None)
    answer = await task
    case.assertEqual(1, len(site.list_runs('a')))
    case.assertNotIn(answer.status, (402, 408, 421, 429, 503))


async def test_small_budget_outlives_the_death_of_its_home(
    case, site, network
):
    """A program of two turns loses its home between them.

    The home was granted most of the budget for the first turn and dies with
    what that did not use. The second turn has to run all the same; a program
    that goes on without end gets one turn more than its budget at the most.
    """
    await site.start(3)
    answer = await site.turn(
        'i1', 'a0', route='plan', budget=160, max_tokens=100, program='small'
    )
    case.assertEqual(200, answer.status)
    members = [rendezvous.Peer(name, '') for name in sorted(site.instances)]
    home = rendezvous.find_coordinator('small', members).instance
    site_fixtures.kill(site, network, home)
    await asyncio.sleep(3.0)
    other = next(iter(site.instances))
    statuses = []
    for number in range(1, 8):
        answer = await site.turn(
            other, f'a{number}', route='plan', budget=160, max_tokens=100,
            program='small',
        )  # fmt: skip
        statuses.append(answer.status)
    case.assertEqual(200, statuses[0])
    runs = sum(len(site.list_runs(f'a{n}')) for n in range(8))
    case.assertLessEqual(runs * 40, 160 + 100)
    case.assertEqual(402, statuses[-1])


async def test_roll_while_the_store_is_away_keeps_budgets(case, site):
    """Instances are stopped in turn while the store is down.

    What they were granted goes to the programs' next homes directly, so the
    programs go on though nothing can be asked of the store.
    """
    await site.start(3)
    for number in range(6):
        await site.turn(
            'i1', f'a{number}', route='plan', program=f'p{number}', budget=800
        )
    site.store.mode = store_module.Mode.RESET_CONNECTION
    await asyncio.sleep(0.5)
    await site.instances['i2'].stop()
    await site.instances['i3'].stop()
    for number in range(6):
        answer = await site.turn(
            'i1', f'b{number}', route='plan', program=f'p{number}', budget=800
        )
        case.assertEqual(200, answer.status)


async def test_new_instance_takes_over_what_the_former_home_has(case, site):
    """An instance joins and becomes the home of programs under way.

    A budget of 160 was granted in whole; the new home needs what is left of
    it at the old one, not a grant that the row has no room for.
    """
    await site.start(1)
    programs = [f'p{number}' for number in range(8)]
    for name in programs:
        await site.turn(
            'i1', f'a{name}', route='plan', program=name, budget=80
        )
        await site_fixtures.wait_for_background_work()
    await site.add_instance('i2')
    await asyncio.sleep(2.0)
    for name in programs:
        answer = await site.turn(
            'i2', f'b{name}', route='plan', program=name, budget=80
        )
        case.assertEqual(200, answer.status)


async def test_transfer_that_is_repeated_counts_once(case, site):
    """The answer to a transfer is lost and the transfer comes again."""
    await site.start(1)
    front = site.instances['i1']
    transfer = peer_messages.Transfer('p1', 100)
    data = peers.REQUEST + msgspec.msgpack.encode([7, transfer])
    front._peers.receive(data, '10.1.0.9:7380')
    front._peers.receive(data, '10.1.0.9:7380')
    case.assertEqual(100, front._ledger.withdraw('p1'))


async def test_program_under_way_goes_on_while_the_store_is_away(case, site):
    """The store is down for some seconds in the middle of a program.

    Its budget was granted before, so its turns need no store.
    """
    await site.start()
    await site.turn('i1', 'a', route='plan')
    site.store.mode = store_module.Mode.RESET_CONNECTION
    await asyncio.sleep(1.0)
    for number in range(3):
        answer = await site.turn('i2', f'b{number}', route='plan')
        case.assertEqual(200, answer.status)


async def test_new_program_is_refused_truly_while_the_store_is_away(
    case, site
):
    """Its home is not sure to be its first one: it was taken for gone once.

    Another instance may have granted the whole budget, so it does not run.
    """
    await site.start()
    for front in site.instances.values():
        front._exclusivity.record_program()
        front._exclusivity.record_interruption(site.timers.now())
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(1.0)
    began = site.timers.now()
    answer = await site.turn('i1', 'a', route='plan', program='new')
    case.assertEqual(503, answer.status)
    case.assertIn(b'retry-after', answer.headers)
    case.assertEqual([], site.list_runs('a'))
    case.assertLess(site.timers.now() - began, 3.0)


async def test_late_write_of_a_grant_is_not_counted_twice(case, site):
    """The store takes a grant over two seconds after it fell silent.

    The repeated write and the late one must not both count, nor may the
    program get tokens that no row holds.
    """
    await site.start()
    site.store.late_writes = 1
    answer = await site.turn('i1', 'a', route='plan', budget=100)
    case.assertEqual(200, answer.status)
    await asyncio.sleep(3.0)
    statuses = []
    for number in range(4):
        answer = await site.turn('i1', f'b{number}', route='plan', budget=100)
        statuses.append(answer.status)
        await site_fixtures.wait_for_background_work()
    case.assertEqual([200, 402, 402, 402], statuses)


async def test_stream_cut_within_an_event_does_not_look_complete(case, site):
    await site.start()
    for target in site.targets.values():
        target.faults.append(targets.Fault.TRUNCATE_ANSWER)
    answer = await site_fixtures.call_or_error(
        site, 'i1', 'chat', request='a', program_id='p1', session_id='s'
    )
    case.assertIsInstance(answer, Exception)
    case.assertEqual(1, len(site.list_runs('a')))
    case.assertNotIn('a', site.store.list_table('turns'))


async def test_stream_that_may_be_resumed_goes_on_with_each_event_once(
    case, site
):
    """A server breaks a stream off within an event.

    The request goes on at that server behind the last whole event; the
    caller sees one answer with every event once.
    """
    await site.start()
    site.store.put('servers', 'm2', None)
    site.targets['m1'].faults.append(targets.Fault.TRUNCATE_ANSWER)
    await asyncio.sleep(0.1)
    answer = await site.turn('i1', 'a', route='plan')
    expected = b''.join(
        b'id: %d\ndata: a:%d\n\n' % (n, n) for n in (1, 2, 3, 4)
    )
    case.assertEqual(expected, answer.body)
    runs = site.list_runs('a')
    case.assertEqual(2, len(runs))
    case.assertEqual(b'2', runs[1].headers[b'last-event-id'])


async def test_stream_that_may_have_run_is_never_called_not_run(case, site):
    """A server takes a stream, breaks off, and leaves; no other is there.

    It may have run, so the answer must not promise that it did not.
    """
    await site.start()
    site.store.put('servers', 'm2', None)
    site.targets['m1'].faults.append(targets.Fault.LOSE_ANSWER)
    site.targets['m1'].service_time = 0.5
    await asyncio.sleep(0.1)
    task = asyncio.ensure_future(site.turn('i1', 'a', route='plan'))
    await asyncio.sleep(0.2)
    site.store.put('servers', 'm1', None)
    answer = await task
    case.assertEqual(1, len(site.list_runs('a')))
    case.assertEqual(502, answer.status)


async def test_resumable_stream_stays_at_the_servers_it_may_run_at(case, site):
    await site.start()
    route = calls.make_route('plan', 'models', 'stream', resumable=True)
    site.store.put('op', 'config', calls.make_configuration(2, [route]))
    await asyncio.sleep(0.1)
    for name in ('m1', 'm2'):
        site.targets[name].faults.append(targets.Fault.TRUNCATE_ANSWER)
    answer = await site.turn('i1', 'a', route='plan')
    case.assertEqual(200, answer.status)
    ran_at = [name for name in ('m1', 'm2') if site.targets[name].executions]
    case.assertEqual(1, len(ran_at))


async def test_client_that_leaves_ends_the_work_at_the_server(case, site):
    await site.start()
    for target in site.targets.values():
        target.event_interval = 1.0
    task = asyncio.ensure_future(site.turn('i1', 'a'))
    await asyncio.sleep(0.5)
    task.cancel()
    await asyncio.sleep(0.1)
    cancelled = [t.cancelled for t in site.targets.values() if t.cancelled]
    case.assertEqual([['a']], cancelled)


load_tests = fixtures.adapt(__name__, [site_fixtures])
