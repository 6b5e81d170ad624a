"""Tests of the HTTP adapters against the stand-in over real sockets."""

import random

import aiohttp

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import platform_http
from vanillayoke.fakes import platform_memory
from vanillayoke.fakes import server
from vanillayoke.platform import http
from vanillayoke.platform import messages
from vanillayoke.platform import ports
from vanillayoke.settings import process
from vanillayoke.testing import fixtures

_INSTANCE = ports.ListedInstance(
    'i1', '10.0.0.1:1', '10.0.0.1:2', 'z', 'r', False
)


class _Served:
    """A stand-in with the adapters of one caller."""

    def __init__(self, service):
        self._service = service
        self.memory = platform_memory.MemoryPlatform(service, random.Random(1))

    async def start(self):
        application = platform_http.build(self.memory)
        self._runner = await server.serve(application, '127.0.0.1:0')
        self.address = server.get_address(self._runner)
        names = ('table', 'objects', 'weights', 'instances')
        settings = process.PlatformSettings(
            **dict.fromkeys(names, self.address)
        )
        self._adapters = http.HttpPlatform.from_config(
            settings, self._service, 'i1'
        )
        self.ports = self._adapters.ports

    async def stop(self):
        await self._adapters.close()
        await self._runner.cleanup()


@fixtures.fixture
def served(loop):
    made = _Served(timers.LoopTimers(loop))
    loop.run_until_complete(made.start())
    yield made
    loop.run_until_complete(made.stop())


@fixtures.on_real_loop
async def test_table_over_http(case, served):
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


@fixtures.on_real_loop
async def test_objects_over_http(case, served):
    objects = served.ports.objects
    case.assertIsNone(await objects.put('o/1', b'\x00'))
    taken = await objects.put('o/1', b'other')
    case.assertIs(failures.Kind.CONFLICT, taken.kind)
    case.assertEqual(b'\x00', await objects.get('o/1'))
    case.assertEqual(['o/1'], await objects.list_keys('o/'))
    case.assertIsNone(await objects.delete('o/1'))
    case.assertIsNone(await objects.get('o/1'))


@fixtures.on_real_loop
async def test_weights_over_http(case, served):
    weights = [ports.WeightSet('m', '1', 7)]
    served.memory.weights.weights.extend(weights)
    case.assertEqual(weights, await served.ports.weights.list_weights())
    case.assertEqual(1e9, await served.ports.weights.read_rate())


@fixtures.on_real_loop
async def test_instances_and_faults_are_set_over_http(case, served):
    base = f'http://{served.address}'
    async with aiohttp.ClientSession() as session:
        body = messages.encode(_INSTANCE)
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


@fixtures.on_real_loop
async def test_failed_writes_say_what_is_proven(case, served):
    """A refused write is taken for one in doubt, or worse the other way.

    The store first refuses and then loses a reply: only the first proves
    that nothing was written.
    """
    served.memory.faults.timeout = 0.01
    served.memory.faults.down = True
    done = await served.ports.table.transact('w', [])
    case.assertIs(failures.Kind.STORE_UNAVAILABLE, done.kind)
    served.memory.faults.down = False
    served.memory.faults.lost_replies = 1
    done = await served.ports.table.transact('w', [])
    case.assertIs(failures.Kind.STORE_UNCERTAIN, done.kind)


load_tests = fixtures.adapt(__name__)
