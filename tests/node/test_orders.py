"""Tests of orders to targets under faults, with whole instances."""

import asyncio

import msgspec

from tests.node import sites
from vanillayoke.cluster import orders
from vanillayoke.cluster import rows
from vanillayoke.core import ids
from vanillayoke.fakes import engine_memory
from vanillayoke.fakes import engine_model
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures

TARGET = 'engine-1'
_LONGEST_ACTIVITY = 6.0 + 0.5 + orders.ORDER_DEADLINE


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
        self.on_order = lambda order: None

    async def give_order(self, order):
        self.on_order(order)
        if self.lost > 0:
            self.lost -= 1
            if self.deaf:
                await self._take(order)
            await asyncio.Event().wait()
        if self.delay:
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


load_tests = fixtures.adapt(__name__, [sites])
