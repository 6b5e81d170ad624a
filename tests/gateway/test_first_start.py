"""Tests of what instances take for the first start of the whole system."""

import asyncio
import json

import msgspec

from tests.gateway import site_fixtures
from vanillayoke.gateway import first_start
from vanillayoke.gateway import members
from vanillayoke.standins import store as store_module
from vanillayoke.testing import fixtures


async def _add_without_store(site):
    """Add an instance as on a first start, while the store is away."""
    await site.start(1)
    site.store.mode = store_module.Mode.UNAVAILABLE
    site.is_first_start = True
    return await site.add_instance('i2')


async def test_first_start_is_confirmed_by_the_store(case, site):
    await site.start(3)
    for instance in site.instances.values():
        case.assertIs(first_start.State.CONFIRMED, instance._first_start.state)
        case.assertEqual(float('-inf'), instance._exclusivity._exclusive_since)


async def test_restart_with_old_settings_is_no_first_start(
    case, site, network
):
    """All that is concluded from a first start was concluded again.

    Restarted coordinators gave credit though former ones may have, and the
    limits took the lost counts of former processes for complete.
    """
    await site.start(3)
    await site_fixtures.restart_all_as_first(site, network)
    for name, instance in site.instances.items():
        now = site.timers.now()
        case.assertIs(first_start.State.REFUTED, instance._first_start.state)
        case.assertGreater(instance._exclusivity._exclusive_since, 0.0)
        case.assertGreater(instance._program_admission._uncertain_until, now)
        case.assertEqual(1.0, instance._members.compute_lost_ratio(5.0))
        [line] = site.list_events(name, 'first_start_decided')
        case.assertEqual('refuted', line['state'])


async def test_new_instance_with_old_settings_is_no_first_start(case, site):
    """A machine that is added may be given the settings of the others."""
    await site.start(2)
    row = json.loads(site.store.list_table(members.TABLE)['i1'])
    row['incarnation'] -= 2000 * int(members.FIRST_START_SECONDS)
    site.store.put(members.TABLE, 'i1', row)
    site.is_first_start = True
    added = await site.add_instance('i3')
    await asyncio.sleep(1.0)
    case.assertIs(first_start.State.REFUTED, added._first_start.state)
    response = await site.call('i3', 'order')
    case.assertEqual(200, response.status)


async def test_nothing_is_served_before_the_first_start_is_decided(case, site):
    """A process that served and left no row would be forgotten."""
    added = await _add_without_store(site)
    added._catalog.put_configuration(
        site.instances['i1']._catalog.configuration
    )
    added._catalog.replace_targets([], 1, None)
    response = await site.call('i2', 'order', request='early')
    case.assertEqual(503, response.status)
    case.assertFalse(added.is_ready)
    [line] = site.list_events('i2', 'request_failed')
    case.assertEqual('starting', line['outcome'])
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(2.0)
    response = await site.call('i2', 'order')
    case.assertEqual(200, response.status)


async def test_late_decision_is_no_first_start(case, site):
    """Other instances may have served while the store was away."""
    added = await _add_without_store(site)
    await asyncio.sleep(members.FIRST_START_SECONDS + 1.0)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(2.0)
    case.assertIs(first_start.State.REFUTED, added._first_start.state)


async def test_lost_response_does_not_refute_the_first_start(case, site):
    """The row that a repeated call finds is the one of this process."""
    site.store.lost_replies = 2
    await site.start(1)
    [instance] = site.instances.values()
    case.assertIs(first_start.State.CONFIRMED, instance._first_start.state)


async def test_late_write_of_a_former_process_refutes_the_first_start(
    case, site
):
    """The store may apply it between the read and the creation."""
    await site.start(1)
    [instance] = site.instances.values()
    row = msgspec.structs.replace(instance._row, instance='i9')
    store = instance._store
    read = store.read

    async def read_and_write(*arguments):
        page = await read(*arguments)
        former = msgspec.structs.replace(row, incarnation=1)
        site.store.put(members.TABLE, 'i9', msgspec.to_builtins(former))
        return page

    store.read = read_and_write
    decision = first_start.FirstStart(True, row, store, site.timers)
    case.assertIs(first_start.State.REFUTED, await decision.decide())


async def test_unreadable_row_refutes_the_first_start(case, site):
    """A row that nobody can decode may be of any age."""
    site.store.put(members.TABLE, 'foreign', {'instance': 7})
    await site.start(1)
    [instance] = site.instances.values()
    case.assertIs(first_start.State.REFUTED, instance._first_start.state)


load_tests = fixtures.adapt(__name__, [site_fixtures])
