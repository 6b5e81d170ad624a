"""Tests of the stand-in service in virtual time."""

import asyncio

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import service_memory
from vanillayoke.targets import ports
from vanillayoke.testing import fixtures

CALL = ports.ServiceRequest('k1', '/orders', '{}', 5.0)


@fixtures.fixture
def service(loop):
    clock = timers.LoopTimers(loop)
    return service_memory.ServiceMemory('t1', clock, slots=1)


async def test_each_execution_is_counted(case, service):
    first = await service.call(CALL)
    case.assertEqual(first, await service.call(CALL))
    case.assertEqual({'k1': 2}, service.executions)


async def test_slots_bound_what_runs_at_once(case, loop, service):
    service.set_faults(service_memory.ServiceFaults(calls=2, late=2.0))
    begin = loop.time()
    tasks = [asyncio.create_task(service.call(CALL)) for _ in range(2)]
    await asyncio.sleep(1.0)
    load = await service.report_load()
    case.assertEqual((1, 1), (load.running, load.waiting))
    await asyncio.gather(*tasks)
    case.assertAlmostEqual(4.0, loop.time() - begin)


async def test_faults_tell_effect_from_none(case, service):
    effects = {'refuse': 0, 'die_before': 0, 'die_after': 1, 'hang': 1}
    for fault, effect in effects.items():
        service.executions.clear()
        service.set_faults(service_memory.ServiceFaults(call=fault))
        case.assertTrue(failures.is_failure(await service.call(CALL)))
        case.assertEqual(effect, service.executions.get('k1', 0))


load_tests = fixtures.adapt(__name__)
