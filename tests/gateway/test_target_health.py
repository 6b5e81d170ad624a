"""Tests of the shared detection of servers that fail their requests."""

import asyncio

from tests.gateway import site_fixtures
from vanillayoke.standins import targets
from vanillayoke.testing import fixtures

INSTANCES = 8


async def _order_everywhere(site, rounds):
    """Send an order to each instance in each round; return the statuses."""
    statuses = []
    for _ in range(rounds):
        for number in range(1, INSTANCES + 1):
            response = await site.call(f'i{number}', 'order', b'oak')
            statuses.append(response.status)
            await asyncio.sleep(0.02)
    return statuses


async def test_failing_server_is_avoided_by_all_instances(case, site):
    """A server that fails at once would get most orders, as it looks idle.

    Each instance sends it few orders, so that each would have to detect the
    failures by its own ones.
    """
    await site.start(INSTANCES)
    await site.add_target('t3')
    await asyncio.sleep(0.2)
    site.targets['t1'].faults.extend([targets.Fault.ERROR] * 1000)
    statuses = await _order_everywhere(site, 10)
    case.assertLessEqual(statuses.count(500), 8)
    has_logged = [
        site.list_events(f'i{number}', 'target_sick')
        for number in range(1, INSTANCES + 1)
    ]
    case.assertTrue(all(has_logged))


async def test_recovered_server_is_used_again(case, site):
    await site.start(INSTANCES)
    site.targets['t1'].faults.extend([targets.Fault.ERROR] * 6)
    await _order_everywhere(site, 4)
    site.targets['t1'].faults.clear()
    await asyncio.sleep(4.0)
    await _order_everywhere(site, 6)
    site.targets['t1'].executions.clear()
    await _order_everywhere(site, 2)
    case.assertGreaterEqual(len(site.targets['t1'].executions), 3)


async def test_broken_link_of_one_instance_marks_no_server_unhealthy(
    case, site, network
):
    """One instance can't reach a server that serves all others."""
    await site.start(INSTANCES)
    network.block_path('10.1.0.1', '10.8.0.3')
    for _ in range(10):
        await site.call('i1', 'look', method=b'GET')
    await asyncio.sleep(0.5)
    view = site.instances['i2']._occupancy
    now = site.timers.now()
    case.assertFalse(view.should_avoid('t1', now))


load_tests = fixtures.adapt(__name__, [site_fixtures])
