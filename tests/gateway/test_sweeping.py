"""Tests of the removal of expired rows."""

import asyncio

import msgspec

from tests.gateway import site as site_module
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


async def _converse(site, instances, turn_count, pause, **options):
    """Run turns of a program; return their statuses.

    The first ones bring large inputs.
    """
    statuses = []
    previous = None
    for number in range(turn_count):
        name = f'a{number}'
        body = b'x' * (30_000 if number < 2 else 200)
        instance = instances[number % len(instances)]
        response = await site.turn(
            instance, name, body, previous=previous, **options
        )
        statuses.append(response.status)
        if response.status != 200:
            break
        previous = name
        await asyncio.sleep(pause)
    return statuses


async def test_long_conversation_outlives_the_rows_of_its_first_turns(
    case, site, network
):
    """Turns of a long conversation got 404 at an instance without its cache.

    The rows of its first turns had been removed by age, although later turns
    continued them.
    """
    site.timers._read_wall = site.timers.now
    await site.start()
    for instance in site.instances.values():
        instance._histories._add_to_cache = lambda turn, history: None
    statuses = await _converse(
        site, ('i1', 'i2'), 40, 45.0, budget=100_000, max_tokens=40
    )
    case.assertEqual([200] * 40, statuses)
    [run] = site.list_runs('a39')
    # All but the names of the turns in their events.
    case.assertEqual(60_000 + 38 * 200, run.body.count(b'x'))


async def _spend(case, site, budget, pause, turn_count=None):
    """Run turns of 40 tokens until the budget is spent; return the tokens."""
    tokens = 0
    for number in range(turn_count or 2 * budget // 40):
        response = await site.turn('i1', f'a{number}', budget=budget)
        if response.status == 402:
            break
        case.assertEqual(200, response.status)
        tokens += 40
        await asyncio.sleep(pause)
    return tokens


async def test_budget_row_lasts_while_its_program_runs(case, site):
    """It was removed by age while the program went on with its last grant.

    After the loss of its coordinator the program got its budget again.
    """
    site.timers._read_wall = site.timers.now
    await site.start()
    routes = [
        {**route, 'retain_s': 10.0} if 'retain_s' in route else route
        for route in site_module.ROUTES
    ]
    site.configure(2, routes=routes)
    # The first grant is enough for all turns.
    await _spend(case, site, 12_000, 9.0, turn_count=74)
    [row] = site.store.list_table('budgets').values()
    case.assertEqual(3000, msgspec.msgpack.decode(row)[1])


async def test_account_of_a_running_program_is_not_dropped(case, site):
    """Its tokens were lost two minutes after the grant, and turns got 402."""
    await site.start()
    case.assertEqual(1200, await _spend(case, site, 1200, 50.0))


async def test_budget_row_that_was_removed_stays_spent(case, site):
    """What its last known row had granted was granted again."""
    await site.start()
    coordinator = site_fixtures.rank_coordinators('p1', site.instances)[0]
    used = 0
    for number in range(30):
        if number == 5:
            [key] = [key for key in site.store.rows if key[0] == 'budgets']
            site.store.version += 1
            site.store.rows.pop(key)
        response = await site.turn(coordinator, f'a{number}', route='plan')
        if response.status == 402:
            break
        used += 40
    case.assertLessEqual(used, 1040)


load_tests = fixtures.adapt(__name__, [site_fixtures])
