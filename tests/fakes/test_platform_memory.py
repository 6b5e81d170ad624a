"""Tests of the platform stand-ins in memory."""

import random

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import platform_memory
from vanillayoke.platform import ports
from vanillayoke.testing import fixtures


@fixtures.fixture
def memory(loop):
    service = timers.LoopTimers(loop)
    return platform_memory.MemoryPlatform(service, random.Random(1))


async def test_transactions_are_conditional_and_atomic(case, memory):
    table = memory.table
    await table.transact('1', [ports.Put('a', b'', 0)])
    writes = [ports.Put('b', b'', 0), ports.Put('a', b'', 0)]
    case.assertEqual(ports.Conflict('a'), await table.transact('2', writes))
    case.assertIsNone(await table.read('b'))
    case.assertEqual(2, table.counters.writes)
    case.assertEqual(3, table.counters.rows)


async def test_versions_grow_over_a_deletion(case, memory):
    table = memory.table
    await table.transact('1', [ports.Put('a', b'', 0)])
    await table.transact('2', [ports.Delete('a', 1)])
    case.assertIsNone(await table.read('a'))
    done = await table.transact('3', [ports.Put('a', b'', 0)])
    case.assertEqual(ports.Committed({'a': 3}), done)


async def test_one_caller_is_cut_off(case, loop, memory):
    memory.faults.cut_callers = {'i1'}
    begin = loop.time()
    refused = await memory.for_caller('i1').table.read('a')
    case.assertIs(failures.Kind.STORE_UNAVAILABLE, refused.kind)
    case.assertAlmostEqual(memory.faults.timeout, loop.time() - begin)
    await memory.for_caller('i2').objects.put('o', b'')
    case.assertEqual(b'', await memory.objects.get('o'))


async def test_slow_write_takes_effect_after_the_timeout(case, loop, memory):
    memory.faults.delay = 3.0
    done = await memory.table.transact('1', [ports.Put('a', b'', 0)])
    case.assertIs(failures.Kind.STORE_UNCERTAIN, done.kind)
    memory.faults.delay = 0.0
    case.assertIsNone(await memory.table.read('a'))
    memory.faults.delay = 1.5
    case.assertIsNotNone(await memory.table.read('a'))


async def test_list_of_instances_lags(case, memory):
    listed = ports.ListedInstance('i', '', '', 'z', 'r', False)
    memory.faults.list_lag = 5.0
    memory.instances.register(listed)
    case.assertEqual([], await memory.instances.list_instances())
    memory.faults.timeout = 60.0
    memory.faults.delay = 5.0
    case.assertEqual([listed], await memory.instances.list_instances())


load_tests = fixtures.adapt(__name__)
