"""Tests of the engine adapter against the HTTP stand-in."""

import asyncio

from aiohttp import web

from tests.targets import samples
from vanillayoke.core import failures
from vanillayoke.fakes import engine_model
from vanillayoke.fakes import script
from vanillayoke.targets import credentials
from vanillayoke.targets import ports
from vanillayoke.testing import fixtures

OLD_KEY = credentials.SigningKey('old', b'first')
NEW_KEY = credentials.SigningKey('new', b'second')


def write_text(request) -> str:
    return ''.join(script.write_answer(request.messages).pieces)


def set_faults(stage, stream, **options):
    faults = engine_model.EngineFaults(stream=stream, **options)
    stage.engine.set_faults(faults)


@fixtures.on_real_loop
async def test_answer_is_the_engines_byte_for_byte(case, stage):
    adapter = await stage.start_engine()
    request = samples.make_request()
    items = await samples.collect(adapter.stream(request))
    case.assertEqual(write_text(request), items[-1].text)
    case.assertEqual(write_text(request), samples.join_text(items))
    case.assertEqual('stop', items[-1].finish_reason)
    case.assertEqual(40, items[-1].usage.completion)


@fixtures.on_real_loop
async def test_tool_call_and_result_go_both_ways(case, stage):
    adapter = await stage.start_engine()
    request = samples.make_request(text='[[tool:find {"sheet": [[1]]}]]')
    asked = (await samples.collect(adapter.stream(request)))[-1]
    case.assertEqual('tool_calls', asked.finish_reason)
    case.assertEqual('{"sheet": [[1]]}', asked.tool_calls[0]['arguments'])
    result = {'role': 'tool', 'content': 'sheet 7'}
    asking = {'role': 'assistant', 'tool_calls': list(asked.tool_calls)}
    history = [*request.messages, asking, result]
    follow = samples.make_request('c2', messages=history)
    answer = (await samples.collect(adapter.stream(follow)))[-1]
    case.assertIn('sheet 7', answer.text)
    case.assertGreater(answer.usage.cached, 0)


@fixtures.on_real_loop
async def test_broken_stream_is_unknown_and_resumes_once(case, stage):
    """A reader sees half an answer and then the rest, nothing twice.

    The connection breaks after ten tokens while the engine goes on; the
    caller resumes at the character that it has.
    """
    adapter = await stage.start_engine()
    set_faults(stage, 'break', after=10)
    request = samples.make_request()
    first = await samples.collect(adapter.stream(request))
    case.assertEqual(failures.Kind.OUTCOME_UNKNOWN, first[-1].kind)
    got = samples.join_text(first)
    case.assertEqual(got, write_text(request)[: len(got)])
    rest = await samples.collect(adapter.resume(request, len(got)))
    case.assertEqual(write_text(request), got + samples.join_text(rest))
    case.assertEqual(write_text(request), rest[-1].text)
    case.assertEqual(1, len(stage.engine.runs))


@fixtures.on_real_loop
async def test_silent_connection_is_left_for_a_new_one(case, stage):
    """A caller waits on text that never comes though the engine is well.

    A connection tracker forgets all idle connections to a target: the next
    request over one gets no bytes and no reset. After that silence no other
    idle connection may be tried.
    """
    used = []

    async def answer(request):
        used.append(request.transport.get_extra_info('peername'))
        if len(used) == 3:
            await asyncio.Event().wait()
        await asyncio.sleep(0.01)
        return web.json_response(None)

    adapter = stage.connect_engine(await stage.serve_handler(answer))
    await asyncio.gather(adapter.cancel('c0'), adapter.cancel('c1'))
    request = samples.make_request(timeout=3600.0, progress_timeout=0.05)
    items = await samples.collect(adapter.stream(request))
    case.assertEqual(failures.Kind.OUTCOME_UNKNOWN, items[-1].kind)
    case.assertIsNone(await adapter.cancel('c1'))
    case.assertEqual(2, len(set(used[:3])))
    case.assertNotIn(used[3], used[:3])


@fixtures.on_real_loop
async def test_silence_within_a_stream_ends_it(case, stage):
    """A stream stops after ten tokens and its connection stays open.

    Without a bound on silence the caller would wait for the call's whole
    timeout; with it, the rest comes over a new connection.
    """
    adapter = await stage.start_engine()
    set_faults(stage, 'silence', after=10)
    request = samples.make_request(timeout=3600.0, progress_timeout=0.1)
    first = await samples.collect(adapter.stream(request))
    case.assertEqual(failures.Kind.OUTCOME_UNKNOWN, first[-1].kind)
    got = samples.join_text(first)
    rest = await samples.collect(adapter.resume(request, len(got)))
    case.assertEqual(write_text(request), got + samples.join_text(rest))


@fixtures.on_real_loop
async def test_slow_reader_is_not_taken_for_a_silent_target(case, stage):
    """A caller on a bad line loses an answer that the engine had ready.

    The reader takes longer than the bound on silence between two reads,
    while the bytes wait on this side of the connection.
    """
    adapter = await stage.start_engine()
    items = adapter.stream(samples.make_request(progress_timeout=0.05))
    first = await anext(items)
    await asyncio.sleep(0.2)
    rest = await samples.collect(items)
    case.assertIsInstance(rest[-1], ports.Completion)
    case.assertEqual(rest[-1].text, samples.join_text([first, *rest]))


@fixtures.on_real_loop
async def test_call_timeout_ends_a_stream_that_makes_progress(case, stage):
    adapter = await stage.start_engine()
    set_faults(stage, '', slow=20.0)
    request = samples.make_request(timeout=0.1)
    items = await samples.collect(adapter.stream(request))
    case.assertEqual(failures.Kind.OUTCOME_UNKNOWN, items[-1].kind)


@fixtures.on_real_loop
async def test_duplicated_end_gives_one_completion(case, stage):
    """A caller of the next request would see the last one's answer.

    The engine sends the end of its answer twice on one connection; the
    copy must neither count as an answer nor stay for the next request.
    """
    adapter = await stage.start_engine()
    set_faults(stage, 'twice')
    first = samples.make_request('c1', 'one [[say:5]]')
    second = samples.make_request('c2', 'two [[say:5]]')
    items = await samples.collect(adapter.stream(first))
    ends = [i for i in items if not isinstance(i, ports.Delta)]
    case.assertEqual([write_text(first)], [end.text for end in ends])
    items = await samples.collect(adapter.stream(second))
    case.assertEqual(write_text(second), items[-1].text)


@fixtures.on_real_loop
async def test_answer_to_another_request_is_not_taken(case, stage):
    """A client would read a part of another client's conversation.

    A target mixes up two requests; the id that it echoes is not the one
    that was sent.
    """

    async def answer(request):
        headers = {'X-Request-Id': 'c9'}
        choice = '{"delta": {"content": "no"}, "finish_reason": "stop"}'
        text = f'data: {{"choices": [{choice}]}}\n\ndata: [DONE]\n\n'
        return web.Response(
            text=text, headers=headers, content_type='text/event-stream'
        )

    adapter = stage.connect_engine(await stage.serve_handler(answer))
    items = await samples.collect(adapter.stream(samples.make_request()))
    case.assertEqual([failures.Kind.TARGET_FAILED], [i.kind for i in items])


async def run_kind(adapter) -> failures.Kind:
    items = await samples.collect(adapter.stream(samples.make_request()))
    return items[-1].kind


@fixtures.on_real_loop
async def test_refused_connection_proves_not_run(case, stage):
    adapter = stage.connect_engine('127.0.0.1:1')
    case.assertEqual(failures.Kind.TARGET_REFUSED, await run_kind(adapter))


@fixtures.on_real_loop
async def test_status_proves_not_run_only_with_the_header(case, stage):
    """A client repeats an order which the first attempt had carried out.

    A busy target answers 503 both before and after it ran something; only
    its own word, in a header, proves that it did not.
    """
    answers = [
        (503, {'X-Not-Run': 'true', 'Retry-After': '3'}),
        (429, {'X-Not-Run': 'true'}),
        (503, {}),
        (500, {'X-Not-Run': 'true'}),
        (504, {}),
        (307, {'Location': '/elsewhere'}),
    ]
    left = iter(answers)
    paths = set()

    async def answer(request):
        paths.add(request.path)
        status, headers = next(left)
        return web.Response(status=status, headers=headers)

    adapter = stage.connect_engine(await stage.serve_handler(answer))
    kinds = [await run_kind(adapter) for _ in answers]
    refused, failed = failures.Kind.TARGET_REFUSED, failures.Kind.TARGET_FAILED
    unknown = failures.Kind.OUTCOME_UNKNOWN
    case.assertEqual(
        [refused, refused, failed, failed, unknown, failed], kinds
    )
    case.assertEqual({'/v1/chat/completions'}, paths)


@fixtures.on_real_loop
async def test_dead_engine_loses_the_call(case, stage):
    adapter = await stage.start_engine()
    set_faults(stage, '', slow=20.0)
    items = adapter.stream(samples.make_request())
    await anext(items)
    set_faults(stage, '', dead=True)
    rest = await samples.collect(items)
    case.assertEqual(failures.Kind.OUTCOME_UNKNOWN, rest[-1].kind)
    case.assertTrue(failures.is_failure(await adapter.report_load()))


@fixtures.on_real_loop
async def test_cancel_frees_the_slot(case, stage):
    adapter = await stage.start_engine()
    set_faults(stage, 'hang', after=2)
    items = adapter.stream(samples.make_request())
    await anext(items)
    case.assertEqual(1, len(stage.engine.batch.running))
    case.assertIsNone(await adapter.cancel('c1'))
    case.assertEqual([], stage.engine.batch.running)
    await items.aclose()


@fixtures.on_real_loop
async def test_reports_events_and_cache_moves_come_over(case, stage):
    adapter = await stage.start_engine()
    await samples.collect(adapter.stream(samples.make_request()))
    load = await adapter.report_load()
    case.assertEqual(('e1', ('base',)), (load.target, load.models))
    state = await adapter.read_state()
    handle = await adapter.export_cache('s1')
    moved = await adapter.import_cache('s2', handle)
    case.assertEqual(state.sessions['s1'], moved)
    events = await adapter.list_cache_events(1)
    case.assertEqual(['s1', 's2'], [event.session for event in events])


@fixtures.on_real_loop
async def test_stale_epoch_is_a_conflict(case, stage):
    adapter = await stage.start_engine()
    case.assertIsNone(await adapter.give_order(samples.make_order(epoch=5)))
    case.assertIsNone(await adapter.give_order(samples.make_order(epoch=5)))
    stale = await adapter.give_order(samples.make_order(epoch=4))
    case.assertEqual(failures.Kind.CONFLICT, stale.kind)
    case.assertEqual(5, (await adapter.read_state()).epoch)


@fixtures.on_real_loop
async def test_signed_orders_are_taken_while_keys_rotate(case, stage):
    for key in (OLD_KEY, NEW_KEY):
        adapter = await stage.start_engine((OLD_KEY, NEW_KEY), key)
        case.assertIsNone(await adapter.give_order(samples.make_order()))


@fixtures.on_real_loop
async def test_unsigned_orders_are_refused(case, stage):
    for key in (None, OLD_KEY):
        adapter = await stage.start_engine((NEW_KEY,), key)
        refusal = await adapter.give_order(samples.make_order())
        case.assertTrue(failures.is_failure(refusal))


load_tests = fixtures.adapt(__name__, [samples])
