"""Tests of the registry of adapters."""

from tests.targets import samples
from vanillayoke.fakes import engine_http as engine_server
from vanillayoke.targets import ports
from vanillayoke.targets import registry
from vanillayoke.testing import fixtures


@fixtures.on_real_loop
async def test_unchanged_targets_keep_their_adapters(case, stage):
    engine = samples.make_settings('127.0.0.1:1')
    service = samples.make_settings('127.0.0.1:2', 'service')
    made = await registry.TargetRegistry.from_config(
        {'e1': engine, 't1': service}, stage.clock
    )
    before = made.get_engine('e1')
    case.assertIsNone(made.get_service('e1'))
    moved = samples.make_settings('127.0.0.1:3', 'service')
    old_service = made.get_service('t1')
    await made.apply({'e1': engine, 't1': moved})
    case.assertIs(before, made.get_engine('e1'))
    case.assertIsNot(old_service, made.get_service('t1'))
    await made.close()
    case.assertIsNone(made.get_engine('e1'))


@fixtures.on_real_loop
async def test_stream_of_a_removed_target_goes_on(case, stage):
    """An answer stops half-way because operators took a target out.

    The target leaves the configuration while it streams; the stream has to
    come to its end and the connection has to be closed after it.
    """
    application = engine_server.EngineServer(stage.engine).build()
    settings = samples.make_settings(await stage.serve(application))
    made = await registry.TargetRegistry.from_config(
        {'e1': settings}, stage.clock
    )
    items = made.get_engine('e1').stream(samples.make_request())
    first = await anext(items)
    await made.apply({})
    rest = await samples.collect(items)
    case.assertIsInstance(rest[-1], ports.Completion)
    case.assertEqual(rest[-1].text, samples.join_text([first, *rest]))


load_tests = fixtures.adapt(__name__, [samples])
