"""Tests of the HTTP adapters against the stand-in over real sockets."""

import asyncio
import random

import aiohttp

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import platform_http
from vanillayoke.fakes import platform_memory
from vanillayoke.platform import http
from vanillayoke.platform import links
from vanillayoke.platform import ports
from vanillayoke.settings import process
from vanillayoke.testing import fixtures

_INSTANCE = ports.ListedInstance(
    'i1', '10.0.0.1:1', '10.0.0.1:2', 'z', 'r', False
)


class _Served:
    def __init__(self, memory, adapters, address):
        self.memory = memory
        self.faults = memory.faults
        self.adapters = adapters
        self.ports = adapters.ports
        self.address = address


def _run(scenario, timeout=5.0):
    """Run a scenario against a served platform on a real loop."""

    async def main():
        service = timers.LoopTimers(asyncio.get_running_loop())
        memory = platform_memory.MemoryPlatform(service, random.Random(1))
        runner = await platform_http.serve(memory, '127.0.0.1:0')
        host, port = runner.addresses[0]
        address = f'{host}:{port}'
        settings = process.PlatformSettings(
            table=address,
            objects=address,
            weights=address,
            instances=address,
            timeout=timeout,
        )
        adapters = http.HttpPlatform.from_config(settings, service, 'i1')
        try:
            await scenario(_Served(memory, adapters, address))
        finally:
            await adapters.close()
            await runner.cleanup()

    asyncio.run(main())


def test_table_over_http(case):
    async def scenario(served):
        table = served.ports.table
        writes = [ports.Put('a', b'\x00\xff', 0), ports.Put('b', b'', None)]
        done = await table.transact('w', writes)
        case.assertEqual(ports.Committed({'a': 1, 'b': 1}), done)
        row = ports.Row('a', b'\x00\xff', 1, 'w')
        case.assertEqual(row, await table.read('a'))
        case.assertIsNone(await table.read('none'))
        case.assertEqual([row], await table.scan('', limit=1))
        lost = await table.transact('x', [ports.Delete('a', 7)])
        case.assertEqual(ports.Conflict('a'), lost)

    _run(scenario)


def test_other_services_over_http(case):
    async def scenario(served):
        objects = served.ports.objects
        case.assertIsNone(await objects.put('o/1', b'\x00'))
        taken = await objects.put('o/1', b'other')
        case.assertIs(failures.Kind.CONFLICT, taken.kind)
        case.assertEqual(b'\x00', await objects.get('o/1'))
        case.assertEqual(['o/1'], await objects.list_keys('o/'))
        case.assertIsNone(await objects.delete('o/1'))
        case.assertIsNone(await objects.get('o/1'))
        weights = [ports.WeightSet('m', '1', 7)]
        served.memory.weights.weights.extend(weights)
        case.assertEqual(weights, await served.ports.weights.list_weights())
        case.assertEqual(1e9, await served.ports.weights.read_rate())

    _run(scenario)


def test_instances_and_faults_are_set_over_http(case):
    async def scenario(served):
        base = f'http://{served.address}'
        async with aiohttp.ClientSession() as session:
            body = http.messages.encode(_INSTANCE)
            await session.post(f'{base}/instances', data=body)
            listed = await served.ports.instances.list_instances()
            case.assertEqual([_INSTANCE], listed)
            params = {'instance': 'i1'}
            await session.delete(f'{base}/instances', params=params)
            case.assertEqual([], await served.ports.instances.list_instances())
            body = b'{"cut_callers": ["i1"], "timeout": 0.01}'
            await session.post(f'{base}/faults', data=body)
        refused = await served.ports.table.read('a')
        case.assertIs(failures.Kind.STORE_UNAVAILABLE, refused.kind)

    _run(scenario)


def test_failed_writes_say_what_is_proven(case):
    """A refused write is taken for one in doubt, or worse the other way.

    The store refuses, loses a reply, and is gone: only the first and the
    last prove that nothing was written.
    """

    async def scenario(served):
        async def write():
            done = await served.ports.table.transact('w', [])
            return done.kind

        served.faults.timeout = 0.01
        served.faults.down = True
        case.assertIs(failures.Kind.STORE_UNAVAILABLE, await write())
        served.faults.down = False
        served.faults.lost_replies = 1
        case.assertIs(failures.Kind.STORE_UNCERTAIN, await write())

    _run(scenario)


def test_refused_connection_proves_that_nothing_was_sent(case):
    async def main():
        service = timers.LoopTimers(asyncio.get_running_loop())
        server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        link = links.Link(links.LinkSettings(f'127.0.0.1:{port}'), service)
        done = await link.request('POST', '/transactions', body=b'')
        await link.close()
        case.assertIs(failures.Kind.STORE_UNAVAILABLE, done.kind)

    asyncio.run(main())


load_tests = fixtures.adapt(__name__)
