"""Tests of what the HTTP stand-ins add to those in memory."""

import aiohttp

from tests.targets import samples
from vanillayoke.fakes import engine_http
from vanillayoke.fakes import service_http
from vanillayoke.targets import ports
from vanillayoke.testing import fixtures


@fixtures.on_real_loop
async def test_faults_are_set_and_executions_counted(case, stage):
    address = await stage.serve(service_http.build(stage.service))
    adapter = stage.connect_service(address)
    async with aiohttp.ClientSession(f'http://{address}') as session:
        async with session.post('/faults', json={'call': 'die_after'}) as done:
            case.assertEqual(200, done.status)
        await adapter.call(ports.ServiceRequest('k1', '/orders', '{}', 5.0))
        async with session.get('/executions') as counted:
            case.assertEqual({'k1': 1}, await counted.json(content_type=None))


@fixtures.on_real_loop
async def test_engine_dies_and_lives_again(case, stage):
    application = engine_http.EngineServer(stage.engine).build()
    address = await stage.serve(application)
    adapter = stage.connect_engine(address)
    async with aiohttp.ClientSession(f'http://{address}') as session:
        for dead, expected in ((True, False), (False, True)):
            async with session.post('/faults', json={'dead': dead}):
                pass
            load = await adapter.report_load()
            case.assertEqual(expected, isinstance(load, ports.LoadReport))


load_tests = fixtures.adapt(__name__, [samples])
