"""Tests of sending work where the homes of targets count the least."""

import asyncio

from tests.gateway import site_fixtures
from vanillayoke.gateway import peer_messages
from vanillayoke.standins import targets
from vanillayoke.testing import fixtures


def _turn(site, number, instances):
    name = f'i{1 + number % instances}'
    return site.turn(name, f'a{number}', route='plan', program=f'p{number}')


async def test_turns_of_many_instances_spread_evenly(case, site):
    """Eight instances send one turn each at the same time.

    Two engines have four places each. By its own view each instance finds
    both empty; half of the turns could meet at one engine and wait there.
    """
    await site.start(8)
    for name in ('m1', 'm2'):
        site.targets[name].event_interval = 0.1
    tasks = []
    for number in range(8):
        tasks.append(asyncio.ensure_future(_turn(site, number, 8)))
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.1)
    running = sorted(site.targets[name].running for name in ('m1', 'm2'))
    await asyncio.gather(*tasks)
    case.assertEqual([4, 4], running)
    case.assertEqual(0, site.targets['m1'].waiting)


async def test_turn_does_not_wait_for_homes_that_died(case, site, network):
    """The homes of all engines lose power; nobody has noticed yet."""
    await site.start(4)
    for name in ('i2', 'i3', 'i4'):
        site_fixtures.kill(site, network, name)
    began = site.timers.now()
    counts = await site.instances['i1']._load_queries.query(_list_places(site))
    case.assertLess(site.timers.now() - began, 0.02)
    case.assertLessEqual(len(counts), 4)


def _list_places(site):
    catalog = site.instances['i1']._catalog
    return [*catalog.list_targets('models'), *catalog.list_targets('tools')]


async def test_slow_server_gets_less_work(case, site):
    """One of two tool servers works ten times slower than the other."""
    await site.start(4)
    for number in range(40):
        await site.call(f'i{1 + number % 4}', 'look', method=b'GET')
    site.targets['t1'].service_time = 0.2
    for number in range(40):
        await site.call(f'i{1 + number % 4}', 'look', method=b'GET')
    for name in ('t1', 't2'):
        site.targets[name].executions.clear()
    for number in range(20):
        await site.call(f'i{1 + number % 4}', 'look', method=b'GET')
    slow = len(site.targets['t1'].executions)
    case.assertLess(slow, 5)


async def test_counts_end_with_the_requests(case, site):
    """Whatever becomes of a request, its target's count goes back."""
    await site.start(2)
    site.targets['t1'].faults.extend(
        [targets.Fault.SHED, targets.Fault.LOSE_ANSWER, targets.Fault.GARBAGE]
    )
    for number in range(12):
        await site.call(f'i{1 + number % 2}', 'order')
    await asyncio.sleep(2.0)
    for front in site.instances.values():
        for name in ('t1', 't2'):
            answer = front._load_queries.handle_request(
                peer_messages.LoadQuery(name)
            )
            case.assertLess(answer.requests, 0.01)


async def test_next_turn_finds_its_engine_at_any_instance(case, site):
    """A program's turns come to one instance after the other.

    The engine of its last turn has its whole prompt in memory; at another
    one all of it is read again. Its home knows the engine.
    """
    await site.start(4)
    for number in range(3, 7):
        await site.add_target(f'm{number}')
    await asyncio.sleep(0.2)
    for program in ('p1', 'p2', 'p3', 'p4'):
        previous = None
        for number in range(6):
            request = f'{program}-{number}'
            await site.turn(
                f'i{number % 4 + 1}',
                request,
                program=program,
                previous=previous,
            )
            previous = request
            await asyncio.sleep(0.1)
        engines = {
            name
            for name, target in site.targets.items()
            for run in target.executions
            if run.request.startswith(program)
        }
        case.assertEqual(1, len(engines), program)


load_tests = fixtures.adapt(__name__, [site_fixtures])
