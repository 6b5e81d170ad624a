"""Tests of a store that is away, slow or away for some only."""

import asyncio

from tests.gateway import site as site_module
from tests.gateway import site_fixtures
from vanillayoke.gateway import histories
from vanillayoke.gateway import partitions
from vanillayoke.standins import calls
from vanillayoke.standins import store as store_module
from vanillayoke.testing import fixtures


async def test_turn_waits_for_the_stores_return(case, site):
    """The store is away for a second and a half.

    A program that starts meanwhile waits and is served when it is back,
    instead of failing after a few refusals.
    """
    await site.start()
    site.store.mode = store_module.Mode.RESET_CONNECTION
    await asyncio.sleep(1.0)
    task = asyncio.ensure_future(
        site.turn('i1', 'a', route='plan', program='new')
    )
    await asyncio.sleep(1.2)
    site.store.mode = store_module.Mode.SERVE
    answer = await task
    case.assertEqual(200, answer.status)


async def test_turn_is_refused_at_once_in_a_long_outage(case, site):
    """The store has been away for long, and stays so.

    Who comes now is told at once to come back later, not held for most of
    the time that it has.
    """
    await site.start()
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(40.0)
    for number in range(3):
        began = site.timers.now()
        answer = await site.turn('i1', f'a{number}', program=f'p{number}')
        case.assertEqual(503, answer.status)
        case.assertGreater(float(answer.headers[b'retry-after']), 0.5)
        case.assertLess(site.timers.now() - began, 0.5)
        case.assertEqual([], site.list_runs(f'a{number}'))


async def test_turn_that_may_be_served_waits_in_an_outage_of_seconds(
    case, site
):
    """The store has been away for four seconds when a program goes on.

    Its callers have but three tries. Told to come back at once, they would
    have used them up before the store is back, two seconds later.
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
    answers = await asyncio.gather(*tasks)
    case.assertEqual([200] * 4, [answer.status for answer in answers])


async def test_turn_that_waited_in_vain_may_come_back_at_once(case, site):
    """The outage outlasts what the caller takes without a byte.

    The refusal comes before the caller gives up, says truly that the turn
    has not run, and asks for no pause: the next try waits in its turn.
    """
    await site.start()
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(4.0)
    began = site.timers.now()
    answer = await site.turn('i1', 'a', program='new')
    case.assertEqual(503, answer.status)
    case.assertLess(site.timers.now() - began, 2.0)
    case.assertLess(float(answer.headers[b'retry-after']), 0.1)
    case.assertEqual([], site.list_runs('a'))


async def test_turn_that_has_run_waits_for_its_row(case, site):
    """The store goes while a turn's answer is on its way to the caller.

    All of it is out but its end. The caller waits on, so the answer is
    whole when the store is back after two and a half seconds.
    """
    await site.start()
    for target in site.targets.values():
        target.event_interval = 0.1
    task = asyncio.ensure_future(site.turn('i1', 'a'))
    await asyncio.sleep(0.2)
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(2.5)
    site.store.mode = store_module.Mode.SERVE
    answer = await task
    case.assertEqual(200, answer.status)
    case.assertEqual(1, len(site.list_runs('a')))
    case.assertIn('a', site.store.list_table('turns'))


async def test_turns_go_on_while_some_parts_of_the_store_are_down(case, site):
    """A third of the store's parts refuse for seconds, the others serve.

    Turns whose row belongs in one of them are kept in another, and are found
    there by every instance. Nobody takes the whole store for gone.
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
        if any(_is_nowhere(site, turn) for turn in turns):
            continue
        if (
            partitions.find_partition(f'p{number}')
            in site.store.unavailable_partitions
        ):
            # Its budget can't be granted meanwhile; see below.
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


async def test_kept_turn_gets_no_credit_while_its_budgets_part_is_down(
    case, site
):
    """One part of the store is down, the one with a program's budget.

    Its home is sure and other parts work. Given on credit, the tokens would
    be forgotten if all instances lost power before the part is back, and the
    program would get them again: one got 2,465 of 1,734 tokens so.
    """
    await site.start(3)
    for name in site.instances:
        await site.turn(name, f'before-{name}', program='old')
    site.store.unavailable_partitions = {partitions.find_partition('new')}
    answer = await site.turn('i1', 'a', program='new')
    case.assertEqual(503, answer.status)
    case.assertEqual([], site.list_runs('a'))
    for name in site.instances:
        case.assertEqual([], site.list_events(name, 'budget_on_credit'))


def _is_nowhere(site, turn):
    """Return whether all places of a turn are down: one in 27 has to wait."""
    return site.store.unavailable_partitions.issuperset(
        partitions.list_candidates(turn, histories.CANDIDATE_PARTITION_COUNT)
    )


async def test_turn_is_unknown_only_if_all_its_places_say_so(case, site):
    """A turn was kept in its second place, and that part is down now.

    Its first place says that it is not there. A 404 would tell the program
    that its history is lost.
    """
    await site.start()
    places = partitions.list_candidates(
        'a', histories.CANDIDATE_PARTITION_COUNT
    )
    site.store.unavailable_partitions = {places[0]}
    await site.turn('i1', 'a', b'one')
    site.store.unavailable_partitions = {places[1]}
    answer = await site.turn('i2', 'b', previous='a')
    case.assertEqual(503, answer.status)
    site.store.unavailable_partitions = set()
    answer = await site.turn('i2', 'c', previous='a')
    case.assertEqual(200, answer.status)
    answer = await site.turn('i2', 'd', previous='never')
    case.assertEqual(404, answer.status)


async def test_silent_store_is_noticed_soon_when_it_is_back(case, site):
    """The store takes connections and answers nothing for five seconds.

    What was sent into the silence never gets an answer; only calls sent
    afterwards do, so none may wait for the old ones.
    """
    await site.start()
    site.store.mode = store_module.Mode.UNRESPONSIVE
    await asyncio.sleep(5.0)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(0.5)
    for name in ('i1', 'i2'):
        answer = await site.turn(name, f'a{name}', program=f'p{name}')
        case.assertEqual(200, answer.status)


async def test_few_calls_go_to_a_store_that_is_away(case, site):
    await site.start()
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(1.0)
    site.store.calls.clear()
    await asyncio.sleep(4.0)
    case.assertLess(site.store.calls.total(), 2 * 4 * 6)


async def test_instance_cut_off_from_the_store_asks_through_others(
    case, site, network
):
    """The store turns one machine away and serves the others.

    Its callers notice nothing: kept turns, history and configuration go
    through another instance.
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


async def test_relay_that_is_turned_away_too_is_passed_over(
    case, site, network
):
    """The store turns a third of the instances away, all at once.

    One of them asks another for its way to the store; that one may be
    turned away as well. Its callers' turns must go through a third one
    instead of being refused for a while.
    """
    await site.start(9)
    for number in (1, 2, 3):
        network.block_path(f'10.1.0.{number}', '10.9.0.1')
    await asyncio.sleep(3.0)
    began = site.timers.now()
    for number in range(12):
        answer = await site.turn('i1', f'a{number}', program=f'p{number}')
        case.assertEqual(200, answer.status)
    case.assertLess(site.timers.now() - began, 12 * 0.2)


def _add_route():
    route = calls.make_route('new', 'tools', 'safe')
    return calls.make_configuration(2, [*site_module.ROUTES, route])


async def test_isolated_instance_sends_its_callers_elsewhere(
    case, site, network
):
    """One machine is cut off from the store and from all others.

    Callers still reach it. It can't grant or keep anything, so it says so at
    once, and its directory names nobody instead of itself alone.
    """
    await site.start(4)
    for other in ('10.1.0.2', '10.1.0.3', '10.1.0.4', '10.9.0.1'):
        network.block_path('10.1.0.1', other)
    await asyncio.sleep(4.0)
    case.assertFalse(site.instances['i1'].is_ready)
    case.assertTrue(site.instances['i2'].is_ready)
    began = site.timers.now()
    answer = await site.turn('i1', 'a', program='new')
    case.assertEqual(503, answer.status)
    case.assertEqual(b'close', answer.headers[b'connection'])
    case.assertLess(site.timers.now() - began, 0.3)
    case.assertEqual(200, (await site.call('i1', 'order')).status)


async def test_slow_store_is_not_asked_again_and_again(case, site):
    """Each answer takes a hundred times as long as usual.

    Asking again before an answer can be there would only add to its load.
    """
    await site.start()
    site.store.response_delay = 0.5
    site.store.calls.clear()
    answer = await site.turn('i1', 'a', program='new')
    case.assertEqual(200, answer.status)
    case.assertLess(site.store.calls['rows-tx'], 8)


load_tests = fixtures.adapt(__name__, [site_fixtures])
