"""Tests with a store that is unavailable or slow, entirely or in part."""

import asyncio

from tests.gateway import site as site_module
from tests.gateway import site_fixtures
from vanillayoke.gateway import histories
from vanillayoke.gateway import partitions
from vanillayoke.standins import calls
from vanillayoke.standins import store as store_module
from vanillayoke.testing import fixtures


async def test_turn_waits_for_store_to_recover(case, site):
    """A program that starts in a short outage waits until it ends.

    It must not fail after a few refusals.
    """
    await site.start()
    site.store.mode = store_module.Mode.RESET_CONNECTION
    await asyncio.sleep(1.0)
    task = asyncio.ensure_future(
        site.turn('i1', 'a', route='plan', program='new')
    )
    await asyncio.sleep(1.2)
    site.store.mode = store_module.Mode.SERVE
    response = await task
    case.assertEqual(200, response.status)


async def test_turn_is_refused_at_once_in_long_outage(case, site):
    """In a long outage, callers must not wait until their deadline."""
    await site.start()
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(40.0)
    for number in range(3):
        started_at = site.timers.now()
        response = await site.turn('i1', f'a{number}', program=f'p{number}')
        case.assertEqual(503, response.status)
        case.assertGreater(float(response.headers[b'retry-after']), 0.5)
        case.assertLess(site.timers.now() - started_at, 0.5)
        case.assertEqual([], site.list_runs(f'a{number}'))


async def test_turn_waits_in_short_outage(case, site):
    """A short outage is likely to end before the deadline.

    Immediate refusals would use up the caller's retries before that.
    """
    await site.start()
    await site.turn('i1', 'a')
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(4.0)
    tasks = [
        asyncio.ensure_future(
            site.turn('i2', f'b{number}', previous='a', program=f'p{number}')
        )
        for number in range(4)
    ]
    await asyncio.sleep(1.0)
    case.assertFalse(any(task.done() for task in tasks))
    site.store.mode = store_module.Mode.SERVE
    responses = await asyncio.gather(*tasks)
    case.assertEqual([200] * 4, [response.status for response in responses])


async def test_turn_that_waited_in_vain_may_retry_at_once(case, site):
    """An outage lasts longer than the caller waits for the first byte.

    The refusal must arrive before the caller gives up, and allow an immediate
    retry, because the retry waits for the store again.
    """
    await site.start()
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(4.0)
    started_at = site.timers.now()
    response = await site.turn('i1', 'a', program='new')
    case.assertEqual(503, response.status)
    case.assertLess(site.timers.now() - started_at, 2.0)
    case.assertLess(float(response.headers[b'retry-after']), 0.1)
    case.assertEqual([], site.list_runs('a'))


async def test_completed_turn_waits_to_be_stored(case, site):
    """The store fails while a turn's response is streamed.

    The end of the response is delayed until the turn is stored.
    """
    await site.start()
    for target in site.targets.values():
        target.event_interval = 0.1
    task = asyncio.ensure_future(site.turn('i1', 'a'))
    await asyncio.sleep(0.2)
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(2.5)
    site.store.mode = store_module.Mode.SERVE
    response = await task
    case.assertEqual(200, response.status)
    case.assertEqual(1, len(site.list_runs('a')))
    case.assertIn('a', site.store.list_table('turns'))


async def test_turns_continue_while_some_partitions_are_unavailable(
    case, site
):
    """A third of the store's partitions are unavailable.

    Turns are stored in other partitions and found there by every instance.
    The store as a whole must not be considered unavailable.
    """
    await site.start(3)
    for number in range(6):
        await site.turn('i1', f'z{number}', program=f'q{number}')
    names = [
        partitions.name_partition(number)
        for number in range(partitions.PARTITION_COUNT)
    ]
    site.store.unavailable_partitions = set(names[::3])
    for number in range(60):
        turns = (f'a{number}', f'b{number}')
        if any(_is_unavailable(site, turn) for turn in turns):
            continue
        if (
            partitions.find_partition(f'p{number}')
            in site.store.unavailable_partitions
        ):
            # The budget cannot be granted; the next test covers this.
            continue
        first = await site.turn(
            'i1', f'a{number}', b'one', program=f'p{number}'
        )
        second = await site.turn(
            f'i{number % 2 + 2}',
            f'b{number}',
            b'two',
            program=f'p{number}',
            previous=f'a{number}',
        )
        case.assertEqual((200, 200), (first.status, second.status))
        [run] = site.list_runs(f'b{number}')
        case.assertTrue(run.body.startswith(b'one'))
    for name in site.instances:
        lost = site.list_events(name, 'store_lost')
        case.assertLess(len(lost), 8)


async def test_no_credit_while_partition_of_budget_is_unavailable(case, site):
    """The partition with a program's budget is unavailable.

    Tokens granted on credit would be lost if all instances failed, and the
    program could then exceed its budget.
    """
    await site.start(3)
    for name in site.instances:
        await site.turn(name, f'before-{name}', program='old')
    site.store.unavailable_partitions = {partitions.find_partition('new')}
    response = await site.turn('i1', 'a', program='new')
    case.assertEqual(503, response.status)
    case.assertEqual([], site.list_runs('a'))
    for name in site.instances:
        case.assertEqual([], site.list_events(name, 'budget_on_credit'))


def _is_unavailable(site, turn):
    """Return whether all candidate partitions of a turn are unavailable."""
    return site.store.unavailable_partitions.issuperset(
        partitions.list_candidates(turn, histories.CANDIDATE_PARTITION_COUNT)
    )


async def test_turn_is_unknown_only_if_absent_in_all_partitions(case, site):
    """The partition that has a turn is unavailable, the others respond.

    A 404 would tell the program that its history is lost.
    """
    await site.start()
    candidates = partitions.list_candidates(
        'a', histories.CANDIDATE_PARTITION_COUNT
    )
    site.store.unavailable_partitions = {candidates[0]}
    await site.turn('i1', 'a', b'one')
    site.store.unavailable_partitions = {candidates[1]}
    response = await site.turn('i2', 'b', previous='a')
    case.assertEqual(503, response.status)
    site.store.unavailable_partitions = set()
    response = await site.turn('i2', 'c', previous='a')
    case.assertEqual(200, response.status)
    response = await site.turn('i2', 'd', previous='never')
    case.assertEqual(404, response.status)


async def test_recovery_of_unresponsive_store_is_detected_quickly(case, site):
    """The store accepts connections but does not respond for a while.

    Calls sent in that time never get a response, so later calls must not
    wait for them.
    """
    await site.start()
    site.store.mode = store_module.Mode.UNRESPONSIVE
    await asyncio.sleep(5.0)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(0.5)
    for name in ('i1', 'i2'):
        response = await site.turn(name, f'a{name}', program=f'p{name}')
        case.assertEqual(200, response.status)


async def test_unavailable_store_gets_few_calls(case, site):
    await site.start()
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(1.0)
    site.store.calls.clear()
    await asyncio.sleep(4.0)
    case.assertLess(site.store.calls.total(), 2 * 4 * 6)


async def test_instance_without_store_access_uses_relays(case, site, network):
    """One instance cannot reach the store, but others can.

    Its reads and writes must be relayed through them.
    """
    await site.start(3)
    network.block_path('10.1.0.1', '10.9.0.1')
    await asyncio.sleep(4.0)
    site.store.put('op', 'config', _add_route())
    first = await site.turn('i1', 'a', b'one')
    second = await site.turn('i1', 'b', b'two', previous='a')
    case.assertEqual((200, 200), (first.status, second.status))
    case.assertIn('b', site.store.list_table('turns'))
    await asyncio.sleep(1.0)
    case.assertEqual(200, (await site.call('i1', 'new')).status)


async def test_relay_without_store_access_is_skipped(case, site, network):
    """A third of the instances cannot reach the store.

    When a relay cannot reach the store either, the call must be relayed
    through another instance instead of failing.
    """
    await site.start(9)
    for number in (1, 2, 3):
        network.block_path(f'10.1.0.{number}', '10.9.0.1')
    await asyncio.sleep(3.0)
    started_at = site.timers.now()
    for number in range(12):
        response = await site.turn('i1', f'a{number}', program=f'p{number}')
        case.assertEqual(200, response.status)
    case.assertLess(site.timers.now() - started_at, 12 * 0.2)


def _add_route():
    route = calls.make_route('new', 'tools', 'safe')
    return calls.make_configuration(2, [*site_module.ROUTES, route])


async def test_isolated_instance_redirects_callers(case, site, network):
    """An instance can reach neither the store nor other instances.

    It cannot serve turns, so it must refuse them at once, so that callers
    use another instance.
    """
    await site.start(4)
    for other in ('10.1.0.2', '10.1.0.3', '10.1.0.4', '10.9.0.1'):
        network.block_path('10.1.0.1', other)
    await asyncio.sleep(4.0)
    case.assertFalse(site.instances['i1'].is_ready)
    case.assertTrue(site.instances['i2'].is_ready)
    started_at = site.timers.now()
    response = await site.turn('i1', 'a', program='new')
    case.assertEqual(503, response.status)
    case.assertEqual(b'close', response.headers[b'connection'])
    case.assertLess(site.timers.now() - started_at, 0.3)
    case.assertEqual(200, (await site.call('i1', 'order')).status)


async def test_slow_store_is_not_called_repeatedly(case, site):
    """A slow store must not be loaded further by early retries."""
    await site.start()
    site.store.response_delay = 0.5
    site.store.calls.clear()
    response = await site.turn('i1', 'a', program='new')
    case.assertEqual(200, response.status)
    case.assertLess(site.store.calls['rows-tx'], 8)


load_tests = fixtures.adapt(__name__, [site_fixtures])
