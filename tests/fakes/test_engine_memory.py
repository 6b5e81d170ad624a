"""Tests of the stand-in engine in virtual time."""

import asyncio

from tests.targets import samples
from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import engine_memory
from vanillayoke.fakes import engine_model
from vanillayoke.targets import ports
from vanillayoke.testing import fixtures

STEP = 0.002


@fixtures.fixture
def engine(loop):
    options = engine_model.EngineOptions(slots=1, cache_tokens=100)
    return engine_memory.EngineMemory('e1', timers.LoopTimers(loop), options)


async def run_call(engine, call_id='c1', **changes):
    request = samples.make_request(call_id, 'go [[say:20]]', **changes)
    return (await samples.collect(engine.stream(request)))[-1]


async def test_one_token_a_step_after_the_prefill(case, loop, engine):
    begin = loop.time()
    done = await run_call(engine)
    case.assertEqual(ports.Usage(7, 0, 20), done.usage)
    case.assertAlmostEqual(21 * STEP, loop.time() - begin)


async def test_urgent_calls_overtake_in_the_queue(case, engine):
    ended = []

    async def run(call_id, priority):
        await run_call(engine, call_id, priority=priority)
        ended.append(call_id)

    await asyncio.gather(run('c1', 5), run('c2', 5), run('c3', 1))
    case.assertEqual(['c1', 'c3', 'c2'], ended)


async def test_cache_evicts_the_least_recently_used(case, engine):
    for session in ('s1', 's2', 's3', 's1', 's4'):
        await run_call(
            engine, f'c{session}{engine.batch.cache}', session=session
        )
    sessions = (await engine.read_state()).sessions
    case.assertEqual({'s3', 's1', 's4'}, set(sessions))
    again = await run_call(engine, 'c9', session='s1')
    case.assertEqual(7, again.usage.cached)


async def test_events_come_late_and_with_gaps(case, engine):
    await run_call(engine)
    case.assertEqual([], await engine.list_cache_events(0))
    await asyncio.sleep(engine.options.event_delay)
    events = await engine.list_cache_events(0)
    case.assertEqual([(1, 7), (2, 27)], [(e.number, e.tokens) for e in events])
    engine.set_faults(engine_model.EngineFaults(event_gap=2))
    events = await engine.list_cache_events(0)
    case.assertEqual([1], [e.number for e in events])


async def test_load_is_reported_late(case, engine):
    engine.set_faults(engine_model.EngineFaults(stream='hang', after=3))
    task = asyncio.create_task(run_call(engine))
    await asyncio.sleep(engine.options.report_lag / 2)
    case.assertEqual(0, (await engine.report_load()).running)
    await asyncio.sleep(engine.options.report_lag)
    case.assertEqual(1, (await engine.report_load()).running)
    await engine.cancel('c1')
    case.assertEqual(failures.Kind.OUTCOME_UNKNOWN, (await task).kind)


async def test_hung_sequence_ends_in_a_failure(case, loop, engine):
    begin = loop.time()
    engine.set_faults(engine_model.EngineFaults(stream='hang', after=3))
    result = await run_call(engine, progress_timeout=4.0)
    case.assertEqual(failures.Kind.OUTCOME_UNKNOWN, result.kind)
    case.assertAlmostEqual(4.0 + 4 * STEP, loop.time() - begin)


async def test_waiting_in_the_queue_is_no_silence(case, engine):
    engine.set_faults(engine_model.EngineFaults(slow=300.0))
    first = asyncio.create_task(run_call(engine, 'c1'))
    second = await run_call(engine, 'c2', progress_timeout=2.0)
    case.assertIsInstance(await first, ports.Completion)
    case.assertIsInstance(second, ports.Completion)


async def test_orders_load_unload_and_release(case, engine):
    await run_call(engine)
    order = ports.Order('load', 'tuned', '2', 1, 1)
    await engine.give_order(order)
    await engine.give_order(order._replace(kind='release', subject='s1'))
    state = await engine.read_state()
    case.assertEqual(({'tuned': '2'}, {}), (state.loading, state.sessions))
    await asyncio.sleep(engine.options.load_time)
    await engine.give_order(order._replace(kind='unload', subject='base'))
    case.assertEqual({'tuned': '2'}, (await engine.read_state()).loaded)
    refused = await run_call(engine, 'c2')
    case.assertEqual(failures.Kind.TARGET_REFUSED, refused.kind)


async def test_engine_without_fencing_takes_any_epoch(case, engine):
    for epoch in (5, 4):
        case.assertIsNone(await engine.give_order(samples.make_order(epoch)))
    case.assertEqual(5, (await engine.read_state()).epoch)


load_tests = fixtures.adapt(__name__)
