"""Tests of orders to targets under faults, with whole instances."""

import asyncio

import msgspec

from tests.node import sites
from vanillayoke.cluster import orders
from vanillayoke.cluster import rows
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.fakes import engine_memory
from vanillayoke.fakes import engine_model
from vanillayoke.harness import gates
from vanillayoke.platform import ports as platform_ports
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures

TARGET = 'engine-1'


class RecordingEngine(engine_memory.EngineMemory):
    """Counts orders and loads; the network holds orders up by ``delay``.

    The next ``lost`` orders vanish; with ``deaf`` their effect is kept and
    only the reply is lost.
    """

    delay = 0.0
    lost = 0
    deaf = False

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.orders = []
        self.begun = []
        self.on_way = 0

    async def give_order(self, order):
        if self.lost > 0:
            self.lost -= 1
            if self.deaf:
                await self._take(order)
            await asyncio.Event().wait()
        if self.delay:
            self.on_way += 1
            # What is on its way arrives though the sender gives up.
            sent = asyncio.ensure_future(self._arrive(order, self.delay))
            return await asyncio.shield(sent)
        return await self._take(order)

    async def _arrive(self, order, delay):
        await self.clock.sleep(delay)
        return await self._take(order)

    async def _take(self, order):
        loading = dict(self.loading)
        result = await super().give_order(order)
        if result is None:
            self.orders.append((self.clock.now(), order))
        if self.loading.items() - loading.items():
            self.begun.append((order.subject, order.version))
        return result

    def restart(self):
        """Come back empty, as after a crash."""
        self.loaded.clear()
        self.loading.clear()
        self.epoch = 0

    def list_epochs(self):
        """Return the epochs of the orders in the order of their arrival."""
        return [order.epoch for _, order in self.orders]


class FreezingTable:
    """Freezes its instance at the first write, which lands ``late_by``."""

    def __init__(self, site, name, late_by=0.0):
        self._site = site
        self._name = name
        self._late_by = late_by
        self._inner = site.platform.table.for_caller(name)

    async def read(self, key):
        return await self._inner.read(key)

    async def transact(self, write_id, writes):
        self._site.freeze(self._name)
        await self._site.clock.sleep(self._late_by)
        return await self._inner.transact(write_id, writes)


@fixtures.fixture
def engine(site):
    """Return the engine that the tests look at, in place of a plain one."""
    return replace_engine(site)


def replace_engine(site, **options):
    made = RecordingEngine(
        TARGET, site.clock, engine_model.EngineOptions(**options)
    )
    site.engines[TARGET] = made
    return made


def describe(site, fencing='ignores', **models):
    """Return the site's settings with other models."""
    described = site.describe()
    target = msgspec.structs.replace(
        described.targets[TARGET], fencing=fencing
    )
    return msgspec.structs.replace(
        described,
        targets={**described.targets, TARGET: target},
        models={**described.models, **models},
    )


def pin(version='1'):
    return configuration.ModelSettings(
        version=version, minimum_copies=0, pinned=(TARGET,)
    )


async def start(site, settings):
    await site.publish(settings)
    for number, zone in enumerate(('zone-a', 'zone-b', 'zone-c'), 1):
        await site.start_instance(f'instance-{number}', zone)
    await site.clock.sleep(6.0)


def find_giver(site):
    shard = ids.find_shard(TARGET)
    for one in site.instances.values():
        if one.served.ownership.epoch_of(shard) is not None:
            return one
    return None


async def wait_until(site, is_reached, limit=60.0):
    end = site.clock.now() + limit
    while not is_reached():
        if site.clock.now() > end:
            raise AssertionError('not reached in time')
        await site.clock.sleep(0.05)


async def read_row(site):
    found = await site.platform.table.read(orders.name_order_row(TARGET))
    return rows.decode_row(found.value, orders.OrderRow)


async def test_pinned_model_is_loaded_once_and_confirmed(case, site, engine):
    await start(site, describe(site, tuned=pin()))
    await site.clock.sleep(10.0)
    case.assertEqual({'base': '1', 'tuned': '1'}, engine.loaded)
    case.assertEqual([('tuned', '1')], engine.begun)
    case.assertEqual(1, len(engine.orders))
    row = await read_row(site)
    case.assertFalse(row.is_open)
    case.assertEqual(engine.loaded, row.desired.models)


async def test_model_that_is_configured_no_more_is_unloaded(
    case, site, engine
):
    await start(site, describe(site, tuned=pin()))
    await wait_until(site, lambda: 'tuned' in engine.loaded)
    await site.publish(describe(site))
    await wait_until(site, lambda: 'tuned' not in engine.loaded)
    case.assertEqual(
        ['load', 'unload'], [one.kind for _, one in engine.orders]
    )


async def test_lost_reply_is_read_back(case, site, engine):
    """An engine loads a model twice since the reply to the order got lost.

    The order took effect; the giver's time ran out without a reply. What
    the engine says of itself tells, so the order is not given again.
    """
    engine.lost, engine.deaf = 1, True
    await start(site, describe(site, tuned=pin()))
    await site.clock.sleep(20.0)
    case.assertEqual('1', engine.loaded['tuned'])
    case.assertEqual(1, len(engine.orders))
    case.assertFalse((await read_row(site)).is_open)


async def test_lost_order_is_given_again(case, site, engine):
    """A model that operators pinned is missing all night.

    The order vanished on its way. Nothing in the engine's state shows it,
    so it is repeated until it does.
    """
    engine.lost = 2
    await start(site, describe(site, tuned=pin()))
    await site.clock.sleep(30.0)
    case.assertEqual('1', engine.loaded['tuned'])
    case.assertEqual([('tuned', '1')], engine.begun)


async def test_restarted_empty_target_gets_its_state_again(case, site, engine):
    """After a crash an engine is up and refuses every call.

    It came back without weights. It had its models from orders and from
    its own start; both are in its desired state and are ordered again.
    """
    await start(site, describe(site, tuned=pin()))
    await wait_until(site, lambda: 'tuned' in engine.loaded)
    await site.clock.sleep(3.0)
    engine.restart()
    await site.clock.sleep(10.0)
    case.assertEqual({'base': '1', 'tuned': '1'}, engine.loaded)


async def test_engine_that_dies_while_loading_loads_after_it(
    case, site, engine
):
    """An engine died half-way through a load and stays without the model.

    The order had been answered. Only the state that the engine reports
    after its restart tells that it has to be given again.
    """
    engine.options = engine.options._replace(load_time=8.0)
    await start(site, describe(site, tuned=pin()))
    await wait_until(site, lambda: engine.loading)
    engine.set_faults(engine_model.EngineFaults(dead=True))
    await site.clock.sleep(12.0)
    engine.restart()
    engine.set_faults(engine_model.EngineFaults())
    await site.clock.sleep(40.0)
    case.assertEqual({'base': '1', 'tuned': '1'}, engine.loaded)
    case.assertEqual(2, engine.begun.count(('tuned', '1')))


async def test_no_load_starts_that_the_weight_store_cannot_finish(
    case, site, engine
):
    """Engines sit in loads that time out, and none gets its model.

    At the store's rate the weights need longer than a load may take. The
    load is begun when it fits, not before.
    """
    listed = site.platform.weights.weights
    listed.append(platform_ports.WeightSet('tuned', '1', 10**12))
    await start(site, describe(site, tuned=pin()))
    await site.clock.sleep(30.0)
    case.assertEqual([], engine.orders)
    listed[0] = platform_ports.WeightSet('tuned', '1', 10**9)
    await site.clock.sleep(10.0)
    case.assertEqual('1', engine.loaded['tuned'])


async def test_no_load_starts_while_the_weight_store_is_down(
    case, site, engine
):
    """A load hangs in an engine, as the weight store cannot be reached.

    The giver cannot reach it either and holds the order back.
    """
    down = failures.Failure(failures.Kind.STORE_UNAVAILABLE, 'down')
    answers = [down]

    async def list_weights():
        return answers[0]

    site.platform.weights.list_weights = list_weights
    await start(site, describe(site, tuned=pin()))
    await site.clock.sleep(20.0)
    case.assertEqual([], engine.orders)
    answers[0] = []
    await site.clock.sleep(10.0)
    case.assertEqual('1', engine.loaded['tuned'])


async def _lose_giver_behind_an_order(site, engine, after, fencing='ignores'):
    """Kill the giver while its order is on the way for a long time.

    ``after`` is published meanwhile. Return when the giver was killed.
    """
    engine.delay = 14.0
    await start(site, describe(site, fencing, tuned=pin()))
    await wait_until(site, lambda: engine.on_way)
    engine.delay = 0.0
    site.kill(find_giver(site).name)
    killed_at = site.clock.now()
    await site.publish(after)
    await site.clock.sleep(50.0)
    return killed_at


async def test_new_giver_waits_out_an_order_on_its_way(case, site, engine):
    """An engine goes back to an old model version in the middle of a day.

    The giver was paused between its last check and the sending, and died;
    its order arrives late. The engine ignores epochs, so the next giver
    orders only when nothing of the earlier one can come any more.
    """
    newer = describe(site, tuned=pin('2'))
    await _lose_giver_behind_an_order(site, engine, newer)
    case.assertEqual('2', engine.loaded['tuned'])
    case.assertEqual([('tuned', '1'), ('tuned', '2')], engine.begun)
    case.assertEqual(sorted(engine.list_epochs()), engine.list_epochs())


async def test_target_that_checks_epochs_needs_no_wait(case, site):
    """A model is late by the whole waiting time after each takeover.

    An engine that refuses older epochs protects itself: the next giver's
    order comes at once, and the late one is refused.
    """
    engine = replace_engine(site, fencing=True)
    newer = describe(site, 'checks', tuned=pin('2'))
    killed_at = await _lose_giver_behind_an_order(
        site, engine, newer, 'checks'
    )
    case.assertEqual([('tuned', '2')], engine.begun)
    case.assertLess(engine.orders[0][0], killed_at + 13.0)


async def test_target_is_fenced_though_nothing_needs_an_order(case, site):
    """A model that was withdrawn is loaded for nobody.

    The dead giver's order is on its way when the model is withdrawn. The
    engine does not have it, so nothing is missing; it is told all the same,
    so that it refuses the late order.
    """
    engine = replace_engine(site, fencing=True)
    await _lose_giver_behind_an_order(
        site, engine, describe(site, 'checks'), 'checks'
    )
    case.assertEqual([], engine.begun)


async def test_orderly_handover_needs_no_wait(case, site, engine):
    """Each planned stop delays orders by the whole waiting time.

    A closed row proves that nothing is on its way, so that the heir may
    order at once.
    """
    await start(site, describe(site, tuned=pin()))
    await wait_until(site, lambda: 'tuned' in engine.loaded)
    await site.clock.sleep(3.0)
    await site.stop(find_giver(site).name)
    await site.publish(describe(site, tuned=pin('2')))
    begin = site.clock.now()
    await wait_until(site, lambda: len(engine.orders) == 2)
    case.assertLess(site.clock.now() - begin, 6.0)


async def _thaw_behind_successor(case, site, engine, frozen, versions):
    """Let the successor bring version 2, then let the old giver go on."""
    await wait_until(site, lambda: not frozen.gate.is_open)
    await site.publish(describe(site, tuned=pin('2')))
    await wait_until(site, lambda: engine.loaded.get('tuned') == '2')
    given = len(engine.orders)
    site.thaw(frozen.name)
    await site.clock.sleep(40.0)
    case.assertEqual('2', engine.loaded['tuned'])
    case.assertEqual(given, len(engine.orders))
    begun = [('tuned', version) for version in versions]
    case.assertEqual(begun, engine.begun)


async def test_giver_frozen_behind_its_journal_write_keeps_still(
    case, site, engine
):
    """A thawed instance orders a model version that was replaced.

    It stood still between the durable write and the sending. Its epoch is
    not in force any more when it goes on, which it checks there.
    """
    await start(site, describe(site))
    giver = find_giver(site)
    table = FreezingTable(site, giver.name)
    giver.served.orders._table = gates.GatedPort(table, giver.gate)
    await site.publish(describe(site, tuned=pin()))
    await _thaw_behind_successor(case, site, engine, giver, ['2'])


async def test_late_journal_write_brings_no_older_state_back(
    case, site, engine
):
    """Two givers race, and the slow one's state stays in the table.

    Its write hung on the way to the store until its successor had written.
    It expects a version of the row that was left behind.
    """
    await start(site, describe(site))
    giver = find_giver(site)
    table = FreezingTable(site, giver.name, 40.0)
    giver.served.orders._table = gates.GatedPort(table, giver.gate)
    await site.publish(describe(site, tuned=pin()))
    await wait_until(site, lambda: engine.loaded.get('tuned') == '1')
    before = await read_row(site)
    await _thaw_behind_successor(case, site, engine, giver, ['1', '2'])
    case.assertEqual('2', (await read_row(site)).desired.models['tuned'])
    case.assertLess(1, before.epoch)


async def test_giver_frozen_after_sending_changes_nothing(case, site, engine):
    """Two givers race for one engine, one of them paused behind its order.

    Its order took effect and its reply waits for it. When it goes on it
    neither repeats the order nor closes the row of its successor.
    """
    await start(site, describe(site))
    giver = find_giver(site)
    engine.lost, engine.deaf = 1, True
    await site.publish(describe(site, tuned=pin()))
    await wait_until(site, lambda: engine.orders)
    site.freeze(giver.name)
    await site.publish(describe(site, tuned=pin('2')))
    await wait_until(site, lambda: engine.loaded.get('tuned') == '2')
    site.thaw(giver.name)
    await site.clock.sleep(20.0)
    case.assertEqual([('tuned', '1'), ('tuned', '2')], engine.begun)
    case.assertEqual(sorted(engine.list_epochs()), engine.list_epochs())
    case.assertFalse((await read_row(site)).is_open)


async def test_version_change_goes_engine_by_engine(case, site, engine):
    """All copies of a model load a new version at once and none answers.

    Each engine's giver looks whether those before it have the version.
    """
    await start(site, describe(site))
    base = configuration.ModelSettings(version='2')
    await site.publish(describe(site, base=base))
    other = site.engines['engine-2']
    await wait_until(site, lambda: engine.loading)
    while engine.loaded['base'] == '1':
        case.assertEqual({}, other.loading)
        await site.clock.sleep(0.1)
    await wait_until(site, lambda: other.loaded['base'] == '2')


load_tests = fixtures.adapt(__name__, [sites])
