"""Tests of placement by the loads that coordinators count."""

import asyncio

from tests.gateway import site_fixtures
from vanillayoke.gateway import peer_messages
from vanillayoke.standins import targets
from vanillayoke.testing import fixtures


def _turn(site, number, instances):
    name = f'i{1 + number % instances}'
    return site.turn(name, f'a{number}', route='plan', program=f'p{number}')


async def test_turns_of_many_instances_spread_evenly(case, site):
    """Turns would queue at one engine while another has free slots.

    Eight instances send one turn each at the same time; in its local view
    each instance finds both engines idle.
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


async def test_turn_does_not_wait_for_failed_coordinators(case, site, network):
    """The coordinators of all engines failed, which is not yet detected."""
    await site.start(4)
    for name in ('i2', 'i3', 'i4'):
        site_fixtures.kill(site, network, name)
    began = site.timers.now()
    loads = await site.instances['i1']._load_queries.query(_list_places(site))
    case.assertLess(site.timers.now() - began, 0.02)
    case.assertLessEqual(len(loads), 4)


def _list_places(site):
    catalog = site.instances['i1']._catalog
    return [*catalog.list_targets('models'), *catalog.list_targets('tools')]


async def test_slow_server_gets_less_work(case, site):
    """One of two tool servers is ten times slower than the other."""
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
    slow_count = len(site.targets['t1'].executions)
    case.assertLess(slow_count, 5)


async def test_load_returns_to_zero_after_failed_requests(case, site):
    """Requests that fail would keep occupying their targets."""
    await site.start(2)
    site.targets['t1'].faults.extend(
        [targets.Fault.SHED, targets.Fault.LOSE_ANSWER, targets.Fault.GARBAGE]
    )
    for number in range(12):
        await site.call(f'i{1 + number % 2}', 'order')
    await asyncio.sleep(2.0)
    for instance in site.instances.values():
        for name in ('t1', 't2'):
            response = instance._load_queries.handle_request(
                peer_messages.LoadQuery(name)
            )
            case.assertLess(response.requests, 0.01)


async def test_program_keeps_its_engine_over_instances(case, site):
    """The whole prompt would be processed again at another engine.

    Only the engine of the last turn has the prompt in its cache, and the turns
    of a program come to different instances.
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
