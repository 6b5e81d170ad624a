"""Tests of the removal of expired rows."""

import asyncio

from tests.gateway import site_fixtures
from vanillayoke.gateway import sweeping
from vanillayoke.testing import fixtures


async def test_expired_turns_and_budgets_are_removed(case, site):
    """Rows of ended programs must not accumulate in the store."""
    site.timers._read_wall = site.timers.now
    await site.start()
    for number in range(5):
        await site.turn('i1', f'a{number}', program=f'p{number}')
    case.assertEqual(5, len(site.store.list_table('turns')))
    await asyncio.sleep(2 * sweeping.SWEEP_INTERVAL_SECONDS)
    case.assertEqual({}, site.store.list_table('turns'))
    case.assertEqual({}, site.store.list_table('budgets'))


async def test_turns_within_retention_are_kept(case, site):
    site.timers._read_wall = site.timers.now
    await site.start()
    await site.turn('i1', 'a')
    await asyncio.sleep(60.0)
    response = await site.turn('i2', 'b', previous='a')
    case.assertEqual(200, response.status)


load_tests = fixtures.adapt(__name__, [site_fixtures])
