"""Tests of turns: streaming, history and budgets, also under failures."""

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


async def test_turn_streams_events_of_target(case, site):
    await site.start()
    response = await site.turn('i1', 'a')
    case.assertEqual(200, response.status)
    case.assertIn(b'id: 4\ndata: a:4\n\n', response.body)
    [run] = site.list_runs('a')
    case.assertEqual(b'hello', run.body)


async def test_history_is_complete_at_another_instance(case, site):
    """A conversation continues at another instance.

    The caller sends only the new input; the target must receive the whole
    history: the input of each turn followed by the data of its events.
    """
    await site.start()
    await site.turn('i1', 'a', b'one')
    await site.turn('i2', 'b', b'two', previous='a')
    await site.turn('i1', 'c', b'three', previous='b')
    [run] = site.list_runs('c')
    expected = b'one' + _make_text(b'a') + b'two' + _make_text(b'b')
    case.assertEqual(expected + b'three', run.body)


async def test_long_history_spans_several_rows(case, site):
    """The text of a long conversation exceeds one row of the store."""
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


async def test_turn_of_another_program_is_found(case, site):
    """New programs continue from turns of other programs.

    The partition of a turn must not depend on its program.
    """
    await site.start()
    for number in range(6):
        await site.turn('i1', f'a{number}', b'old', program=f'p{number}')
    for number in range(6):
        response = await site.turn(
            'i2', f'b{number}', b'new', program=f'q{number}',
            previous=f'a{number}',
        )  # fmt: skip
        case.assertEqual(200, response.status)


async def test_unknown_turn_returns_404_and_does_not_run(case, site):
    await site.start()
    response = await site.turn('i1', 'a', previous='nowhere')
    case.assertEqual(404, response.status)
    case.assertEqual([], site.list_runs('a'))


async def test_turn_is_not_unknown_while_store_is_unavailable(case, site):
    await site.start()
    await site.turn('i1', 'a')
    site.store.mode = store_module.Mode.UNAVAILABLE
    response = await site.turn('i2', 'b', previous='a')
    case.assertEqual(503, response.status)
    case.assertIn(b'retry-after', response.headers)
    case.assertEqual([], site.list_runs('b'))


async def test_turn_is_durable_before_its_response_ends(case, site):
    """A complete response must not be lost in a power failure.

    So the end of the response waits until the turn is stored.
    """
    await site.start()
    await site.turn('i1', 'warm', b'old')
    site.store.response_delay = 0.2
    task = asyncio.ensure_future(site.turn('i1', 'a', previous='warm'))
    while 'a' not in site.store.list_table('turns'):
        case.assertFalse(task.done())
        await asyncio.sleep(0.01)
    response = await task
    case.assertEqual(200, response.status)


async def test_lost_response_of_store_does_not_lose_turn(case, site):
    """The store commits a turn, but its response is lost.

    The repeated write must recognise the existing row as its own.
    """
    await site.start()
    await site.turn('i1', 'warm')
    site.store.lost_replies = 1
    response = await site.turn('i1', 'a', previous='warm')
    case.assertEqual(200, response.status)
    case.assertIn('a', site.store.list_table('turns'))


async def test_budget_is_enforced_across_instances(case, site):
    """Turns of one program run at all instances concurrently.

    Each turn reserves and uses 40 tokens; the budget of 100 allows two.
    """
    await site.start(3)
    responses = await asyncio.gather(
        *(
            site.turn(f'i{1 + n % 3}', f'a{n}', route='plan', budget=100)
            for n in range(6)
        )
    )
    statuses = sorted(response.status for response in responses)
    case.assertEqual([200, 200, 402, 402, 402, 402], statuses)
    ran = sum(len(site.list_runs(f'a{n}')) for n in range(6))
    case.assertEqual(2, ran)


async def test_unused_reserved_tokens_are_returned(case, site):
    await site.start()
    statuses = []
    for number in range(5):
        response = await site.turn(
            'i1', f'a{number}', route='plan', budget=200, max_tokens=100
        )
        statuses.append(response.status)
        await site_fixtures.wait_for_background_work()
    # Each turn uses 40 of its 100 reserved tokens.
    case.assertEqual([200, 200, 200, 402, 402], statuses)


async def test_budget_survives_failure_of_coordinator(case, site, network):
    """A program's coordinator fails.

    The tokens granted to it count as spent, so the program never gets more
    than its budget.
    """
    await site.start(3)
    eligible = site.instances['i1']._members.list_eligible()
    coordinator = rendezvous.find_coordinator('p1', eligible).instance
    other = next(name for name in ('i1', 'i2', 'i3') if name != coordinator)
    for number in range(3):
        await site.turn(other, f'a{number}', route='plan', budget=400)
    site_fixtures.kill(site, network, coordinator)
    await asyncio.sleep(4.0)
    tokens = 120
    for number in range(12):
        response = await site.turn(
            other, f'b{number}', route='plan', budget=400
        )
        tokens += 40 if response.status == 200 else 0
        await site_fixtures.wait_for_background_work()
    case.assertLessEqual(tokens, 400)
    case.assertGreater(tokens, 200)


async def test_failed_stream_is_never_reported_as_not_run(case, site):
    """A stream fails before its first event, and its target ends.

    Other targets are unavailable. The first attempt may have run, so the
    status must not promise that the request did not run.
    """
    await site.start(1)
    site.targets['m2'].stop()
    site.store.put('servers', 'm2', None)
    await asyncio.sleep(0.2)
    site.targets['m1'].faults.append(targets.Fault.LOSE_ANSWER)
    task = asyncio.ensure_future(site.turn('i1', 'a', route='plan'))
    # The first attempt has started and not yet failed.
    await asyncio.sleep(0.015)
    case.assertEqual(1, len(site.list_runs('a')))
    for listener in site.targets['m1']._server._servers:
        listener.close()
    await asyncio.sleep(0.5)
    site.store.put('servers', 'm1', None)
    response = await task
    case.assertEqual(1, len(site.list_runs('a')))
    case.assertNotIn(response.status, (402, 408, 421, 429, 503))


async def test_small_budget_survives_failure_of_coordinator(
    case, site, network
):
    """A program's coordinator fails between two turns.

    Most of the budget was granted to it and is lost. The second turn must
    still run, and the program exceeds its budget by at most one turn.
    """
    await site.start(3)
    response = await site.turn(
        'i1', 'a0', route='plan', budget=160, max_tokens=100, program='small'
    )
    case.assertEqual(200, response.status)
    members = [rendezvous.Peer(name, '') for name in sorted(site.instances)]
    coordinator = rendezvous.find_coordinator('small', members).instance
    site_fixtures.kill(site, network, coordinator)
    await asyncio.sleep(3.0)
    other = next(iter(site.instances))
    statuses = []
    for number in range(1, 8):
        response = await site.turn(
            other, f'a{number}', route='plan', budget=160, max_tokens=100,
            program='small',
        )  # fmt: skip
        statuses.append(response.status)
    case.assertEqual(200, statuses[0])
    runs = sum(len(site.list_runs(f'a{n}')) for n in range(8))
    case.assertLessEqual(runs * 40, 160 + 100)
    case.assertEqual(402, statuses[-1])


async def test_rolling_restart_while_store_is_unavailable_keeps_budgets(
    case, site
):
    """Instances are stopped one by one while the store is unavailable.

    They hand their granted tokens over to the next coordinators directly, so
    that the programs continue.
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
        response = await site.turn(
            'i1', f'b{number}', route='plan', program=f'p{number}', budget=800
        )
        case.assertEqual(200, response.status)


async def test_new_coordinator_takes_over_unused_tokens(case, site):
    """An instance joins and becomes the coordinator of running programs.

    Their budgets are completely granted to the former coordinator; the new
    one must get the unused tokens from there.
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
        response = await site.turn(
            'i2', f'b{name}', route='plan', program=name, budget=80
        )
        case.assertEqual(200, response.status)


async def test_repeated_transfer_counts_once(case, site):
    """The response to a transfer is lost, and the transfer is repeated."""
    await site.start(1)
    instance = site.instances['i1']
    transfer = peer_messages.Transfer('p1', 100)
    data = peers.REQUEST + msgspec.msgpack.encode([7, transfer])
    instance._peers.receive(data, '10.1.0.9:7380')
    instance._peers.receive(data, '10.1.0.9:7380')
    case.assertEqual(100, instance._ledger.withdraw('p1'))


async def test_running_program_continues_while_store_is_unavailable(
    case, site
):
    """The store fails while a program runs.

    Its budget is already granted, so its turns do not need the store.
    """
    await site.start()
    await site.turn('i1', 'a', route='plan')
    site.store.mode = store_module.Mode.RESET_CONNECTION
    await asyncio.sleep(1.0)
    for number in range(3):
        response = await site.turn('i2', f'b{number}', route='plan')
        case.assertEqual(200, response.status)


async def test_new_program_is_refused_while_store_is_unavailable(case, site):
    """The coordinator was considered failed once.

    Another instance may have granted the whole budget meanwhile, so a new
    program must not run without the store.
    """
    await site.start()
    for instance in site.instances.values():
        instance._exclusivity.record_program()
        instance._exclusivity.record_interruption(site.timers.now())
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(1.0)
    started_at = site.timers.now()
    response = await site.turn('i1', 'a', route='plan', program='new')
    case.assertEqual(503, response.status)
    case.assertIn(b'retry-after', response.headers)
    case.assertEqual([], site.list_runs('a'))
    case.assertLess(site.timers.now() - started_at, 3.0)


async def test_late_write_of_grant_counts_once(case, site):
    """The store applies the write of a grant after the write timed out.

    The late write and its repetition must count once, and the program must
    not get tokens that are not in the store.
    """
    await site.start()
    site.store.late_writes = 1
    response = await site.turn('i1', 'a', route='plan', budget=100)
    case.assertEqual(200, response.status)
    await asyncio.sleep(3.0)
    statuses = []
    for number in range(4):
        response = await site.turn(
            'i1', f'b{number}', route='plan', budget=100
        )
        statuses.append(response.status)
        await site_fixtures.wait_for_background_work()
    case.assertEqual([200, 402, 402, 402], statuses)


async def test_stream_cut_within_event_is_incomplete(case, site):
    await site.start()
    for target in site.targets.values():
        target.faults.append(targets.Fault.TRUNCATE_ANSWER)
    response = await site_fixtures.call_or_error(
        site, 'i1', 'chat', request='a', program_id='p1', session_id='s'
    )
    case.assertIsInstance(response, Exception)
    case.assertEqual(1, len(site.list_runs('a')))
    case.assertNotIn('a', site.store.list_table('turns'))


async def test_resumed_stream_delivers_each_event_once(case, site):
    """A target aborts a stream within an event.

    The request resumes after the last complete event, and the caller gets
    one response with each event once.
    """
    await site.start()
    site.store.put('servers', 'm2', None)
    site.targets['m1'].faults.append(targets.Fault.TRUNCATE_ANSWER)
    await asyncio.sleep(0.1)
    response = await site.turn('i1', 'a', route='plan')
    expected = b''.join(
        b'id: %d\ndata: a:%d\n\n' % (n, n) for n in (1, 2, 3, 4)
    )
    case.assertEqual(expected, response.body)
    runs = site.list_runs('a')
    case.assertEqual(2, len(runs))
    case.assertEqual(b'2', runs[1].headers[b'last-event-id'])


async def test_aborted_stream_without_targets_is_not_reported_as_not_run(
    case, site
):
    """A target aborts a stream and leaves, and there is no other target.

    The request may have run, so the status must not promise that it did not.
    """
    await site.start()
    site.store.put('servers', 'm2', None)
    site.targets['m1'].faults.append(targets.Fault.LOSE_ANSWER)
    site.targets['m1'].service_time = 0.5
    await asyncio.sleep(0.1)
    task = asyncio.ensure_future(site.turn('i1', 'a', route='plan'))
    await asyncio.sleep(0.2)
    site.store.put('servers', 'm1', None)
    response = await task
    case.assertEqual(1, len(site.list_runs('a')))
    case.assertEqual(502, response.status)


async def test_resumable_stream_stays_at_its_targets(case, site):
    await site.start()
    route = calls.make_route('plan', 'models', 'stream', resumable=True)
    site.store.put('op', 'config', calls.make_configuration(2, [route]))
    await asyncio.sleep(0.1)
    for name in ('m1', 'm2'):
        site.targets[name].faults.append(targets.Fault.TRUNCATE_ANSWER)
    response = await site.turn('i1', 'a', route='plan')
    case.assertEqual(200, response.status)
    ran_at = [name for name in ('m1', 'm2') if site.targets[name].executions]
    case.assertEqual(1, len(ran_at))


async def test_client_disconnect_cancels_work_at_target(case, site):
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
