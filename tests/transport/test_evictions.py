"""Tests of connections that are closed to make room for others."""

import asyncio

from vanillayoke.core import memory
from vanillayoke.testing import fixtures
from vanillayoke.testing import networks
from vanillayoke.transport import evictions
from vanillayoke.transport import server

ADDRESS = ('10.0.0.1', 80)
REQUEST = b'GET /a HTTP/1.1\r\n\r\n'
MAX_CONNECTIONS = 3


class _Caller(asyncio.Protocol):
    def __init__(self):
        self.received = b''
        self.is_closed = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def connection_lost(self, error):
        self.is_closed = True


class _Service:
    """A server with few connections, whose handler waits for an event."""

    def __init__(self):
        self.may_respond = asyncio.Event()
        self.evicted = []
        self.server = server.HttpServer(
            self._handle,
            lambda error: None,
            lambda status: None,
            max_connections=MAX_CONNECTIONS,
            on_evicted=self.evicted.append,
        )

    async def _handle(self, request, responder):
        await self.may_respond.wait()
        responder.send(200, [], b'done')

    async def connect(self, data=b''):
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(_Caller, *ADDRESS)
        if data:
            caller.transport.write(data)
        await asyncio.sleep(0.1)
        return caller


@fixtures.fixture
def service(loop):
    networks.Network(loop)
    made = _Service()
    loop.run_until_complete(made.server.listen(*ADDRESS))
    return made


async def test_longest_idle_connection_yields_first(case, service):
    """Idle connections took the descriptors that others needed."""
    callers = [await service.connect() for _ in range(MAX_CONNECTIONS + 2)]
    case.assertEqual(
        [True, True, False, False, False],
        [caller.is_closed for caller in callers],
    )
    case.assertEqual([evictions.State.IDLE] * 2, service.evicted)


async def test_unfinished_request_yields_before_a_running_one(case, service):
    """Requests that do not end took the descriptors that others needed."""
    running = await service.connect(REQUEST)
    unfinished = [await service.connect(REQUEST[:-2]) for _ in range(2)]
    newest = await service.connect(REQUEST)
    service.may_respond.set()
    await asyncio.sleep(1.0)
    for caller in (running, newest):
        case.assertIn(b'HTTP/1.1 200', caller.received)
    case.assertIn(b'HTTP/1.1 503', unfinished[0].received)
    case.assertIn(b'Retry-After', unfinished[0].received)
    case.assertTrue(unfinished[0].is_closed)
    case.assertFalse(unfinished[1].is_closed)


async def test_running_requests_do_not_yield(case, service):
    """A request that was handed out must not be cut for a new connection."""
    callers = [
        await service.connect(REQUEST) for _ in range(MAX_CONNECTIONS + 1)
    ]
    case.assertTrue(callers[-1].is_closed)
    case.assertEqual([None], service.evicted)
    service.may_respond.set()
    await asyncio.sleep(0.1)
    for caller in callers[:-1]:
        case.assertIn(b'HTTP/1.1 200', caller.received)


async def test_connection_is_idle_again_after_its_response(case, service):
    """The order in which connections yield is that of their last response."""
    service.may_respond.set()
    first = await service.connect()
    second = await service.connect()
    third = await service.connect()
    first.transport.write(REQUEST)
    await asyncio.sleep(0.1)
    await service.connect()
    case.assertEqual(
        [False, True, False],
        [one.is_closed for one in (first, second, third)],
    )


async def test_no_connection_is_remembered_after_its_end(case, service):
    """What is recorded of connections must not grow."""
    service.may_respond.set()
    for _ in range(10):
        caller = await service.connect(REQUEST)
        caller.transport.abort()
    await asyncio.sleep(1.0)
    case.assertEqual({}, service.server.evictions._states)
    case.assertIsNone(service.server.evictions.pop())


async def test_full_account_closes_idle_connections(case, loop):
    """Connections that hold the memory of others must yield, too."""
    networks.Network(loop)
    account = memory.Account(100_000)
    http_server = server.HttpServer(
        lambda request, responder: None,
        lambda error: None,
        lambda status: None,
        account,
    )
    await http_server.listen(*ADDRESS)
    callers = []
    for _ in range(20):
        _, caller = await loop.create_connection(_Caller, *ADDRESS)
        callers.append(caller)
        await asyncio.sleep(0.01)
        case.assertLess(account.total, 150_000)
    case.assertFalse(callers[-1].is_closed)
    case.assertTrue(callers[0].is_closed)


load_tests = fixtures.adapt(__name__)
