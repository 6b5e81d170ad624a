"""Tests of the HTTP server with valid and invalid requests."""

import asyncio
import errno

from vanillayoke.testing import fixtures
from vanillayoke.testing import networks
from vanillayoke.transport import server
from vanillayoke.transport import server_connection

ADDRESS = ('10.0.0.1', 80)


class _Caller(asyncio.Protocol):
    def __init__(self):
        self.received = b''
        self.is_closed = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        self.is_closed = True
        return False


class _Handler:
    def __init__(self):
        self.requests = []
        self.refused = []
        self.cancelled = 0
        self.delay = 0.0

    async def handle(self, request, responder):
        self.requests.append(request)
        try:
            await asyncio.sleep(self.delay)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        responder.send(200, [], b'to ' + request.target)


@fixtures.fixture
def network(loop):
    return networks.Network(loop)


@fixtures.fixture
def handler():
    return _Handler()


async def _connect(handler):
    http_server = server.HttpServer(
        handler.handle, lambda error: None, handler.refused.append
    )
    await http_server.listen(*ADDRESS)
    loop = asyncio.get_running_loop()
    _, caller = await loop.create_connection(_Caller, *ADDRESS)
    return caller


async def _send(caller, data, wait=1.0):
    caller.transport.write(data)
    await asyncio.sleep(wait)
    return caller.received


async def test_pipelined_requests_are_answered_in_order(
    case, network, handler
):
    caller = await _connect(handler)
    handler.delay = 0.1
    received = await _send(
        caller, b'GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n'
    )
    case.assertLess(received.index(b'to /a'), received.index(b'to /b'))


async def test_request_in_pieces_and_chunks_is_complete(
    case, network, handler
):
    caller = await _connect(handler)
    await _send(caller, b'POST /a HTTP/1.1\r\nTransfer-Enc')
    await _send(caller, b'oding: chunked\r\n\r\n3\r\nabc\r\n')
    await _send(caller, b'2\r\nde\r\n0\r\n\r\n')
    case.assertEqual(b'abcde', handler.requests[0].body)


async def test_trailers_are_not_merged_into_the_header(case, network, handler):
    """A trailer must not set a header field that only the system may set."""
    caller = await _connect(handler)
    await _send(
        caller,
        b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n0\r\nX-Claim: other\r\n\r\n',
    )
    [request] = handler.requests
    names = [name.lower() for name, _ in request.headers]
    case.assertNotIn(b'x-claim', names)
    case.assertEqual(b'abc', request.body)


async def test_request_smuggling_is_refused(case, network, handler):
    """Content-Length and Transfer-Encoding disagree about the body's end."""
    caller = await _connect(handler)
    received = await _send(
        caller,
        b'POST /a HTTP/1.1\r\nContent-Length: 5\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n',
    )
    case.assertIn(b' 400 ', received)
    case.assertEqual([], handler.requests)
    case.assertTrue(caller.is_closed)


async def test_oversized_requests_are_refused(case, network, handler):
    caller = await _connect(handler)
    received = await _send(
        caller, b'POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n'
    )
    case.assertIn(b' 413 ', received)
    caller = await _connect(handler)
    received = await _send(
        caller, b'GET /a HTTP/1.1\r\nX: %b\r\n\r\n' % (b'x' * 20000)
    )
    case.assertIn(b' 431 ', received)
    case.assertEqual([], handler.requests)


async def test_incomplete_request_times_out(case, network, handler):
    caller = await _connect(handler)
    received = await _send(caller, b'GET /a HTT', 4.0)
    case.assertIn(b' 408 ', received)
    case.assertEqual([], handler.requests)


async def test_invalid_request_is_refused(case, network, handler):
    caller = await _connect(handler)
    received = await _send(caller, b'\x16\x03\x01 hello\r\n\r\n')
    case.assertIn(b' 400 ', received)
    case.assertEqual([400], handler.refused)


async def test_disconnect_cancels_the_request(case, network, handler):
    caller = await _connect(handler)
    handler.delay = 5.0
    await _send(caller, b'GET /a HTTP/1.1\r\n\r\n')
    caller.transport.close()
    await asyncio.sleep(0.1)
    case.assertEqual(1, handler.cancelled)


async def test_idle_connection_is_closed(case, network, handler):
    caller = await _connect(handler)
    await _send(caller, b'GET /a HTTP/1.1\r\n\r\n', 10.0)
    case.assertFalse(caller.is_closed)
    await asyncio.sleep(6.0)
    case.assertTrue(caller.is_closed)


async def _start_server(handler):
    http_server = server.HttpServer(
        handler.handle, lambda error: None, handler.refused.append
    )
    await http_server.listen(*ADDRESS)
    return http_server


async def _open():
    loop = asyncio.get_running_loop()
    _, caller = await loop.create_connection(_Caller, *ADDRESS)
    return caller


async def test_pipelined_requests_are_answered_before_a_drained_end(
    case, network, handler
):
    """Those behind the first one were read whole and then dropped."""
    http_server = await _start_server(handler)
    caller = await _open()
    handler.delay = 0.1
    await _send(
        caller, b'GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n', 0.05
    )
    http_server.drain()
    await asyncio.sleep(1.0)
    case.assertIn(b'to /a', caller.received)
    case.assertIn(b'to /b', caller.received)
    case.assertEqual(1, caller.received.count(b'Connection: close'))
    case.assertTrue(caller.is_closed)


async def test_cancelled_handler_leaves_no_silent_connection(
    case, network, handler
):
    """The connection stayed open without a response."""
    http_server = await _start_server(handler)
    caller = await _open()
    handler.delay = 5.0
    await _send(caller, b'GET /a HTTP/1.1\r\n\r\n', 0.1)
    case.assertEqual(1, http_server.interrupt())
    await asyncio.sleep(1.0)
    case.assertTrue(caller.received.startswith(b'HTTP/1.1 500 '))
    case.assertTrue(caller.is_closed)
    case.assertEqual(0, http_server.active_connections)


async def test_interrupt_refuses_a_request_that_is_being_read(
    case, network, handler
):
    """Its connection was closed without a response."""
    http_server = await _start_server(handler)
    caller = await _open()
    await _send(
        caller, b'POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab', 0.1
    )
    case.assertEqual(0, http_server.interrupt())
    await asyncio.sleep(0.1)
    case.assertTrue(caller.received.startswith(b'HTTP/1.1 503 '))
    case.assertEqual([], handler.requests)


async def test_response_under_way_outlives_the_end_of_listening(
    case, network, handler
):
    """A connection that lingered was closed, and the response lost."""
    http_server = await _start_server(handler)
    caller, idle = await _open(), await _open()
    http_server.drain()
    await _send(caller, b'GET /a HTTP/1.1\r\n\r\n', 0.0005)
    await asyncio.sleep(0.001)
    http_server.stop_listening()
    await asyncio.sleep(0.1)
    case.assertIn(b'to /a', caller.received)
    case.assertTrue(idle.is_closed)


class _HalfOpenCaller(_Caller):
    """A caller that leaves its connection open at the server's end."""

    def eof_received(self):
        return True


async def test_connection_lingers_after_the_end_of_listening(
    case, network, handler
):
    """It was closed at once, which resets it if there are unread bytes."""
    http_server = await _start_server(handler)
    loop = asyncio.get_running_loop()
    _, caller = await loop.create_connection(_HalfOpenCaller, *ADDRESS)
    http_server.drain()
    await _send(caller, b'GET /a HTTP/1.1\r\n\r\n', 0.1)
    case.assertIn(b'to /a', caller.received)
    http_server.stop_listening()
    await asyncio.sleep(0.1)
    case.assertEqual(1, http_server.active_connections)
    await asyncio.sleep(server_connection.LINGER_SECONDS)
    case.assertEqual(0, http_server.active_connections)


async def test_closed_server_reads_no_request(case, network, handler):
    """One on a connection accepted just before was begun and then cut."""
    http_server = await _start_server(handler)
    accept = network.listeners[ADDRESS]
    http_server.close()
    network.listeners[ADDRESS] = accept
    caller = await _open()
    await _send(caller, b'GET /a HTTP/1.1\r\n\r\n')
    case.assertEqual([], handler.requests)
    case.assertTrue(caller.is_closed)


@fixtures.on_real_loop
async def test_closed_server_sends_what_a_slow_client_has_not_read(case):
    """The end of a large response was lost when the server was closed."""
    size = 8_000_000

    async def handle(request, responder):
        responder.send(200, [], bytes(size))

    http_server = server.HttpServer(
        handle, lambda error: None, lambda status: None
    )
    await http_server.listen('127.0.0.1', 0)
    name = http_server._servers[0].sockets[0].getsockname()
    loop = asyncio.get_running_loop()
    transport, caller = await loop.create_connection(_Caller, *name)
    transport.pause_reading()
    transport.write(b'GET /a HTTP/1.1\r\n\r\n')
    await asyncio.sleep(0.1)
    http_server.close()
    await asyncio.sleep(0.1)
    case.assertEqual(1, http_server.active_connections)
    transport.resume_reading()
    for _ in range(100):
        if not http_server.active_connections:
            break
        await asyncio.sleep(0.1)
    case.assertEqual(size, caller.received.partition(b'\r\n\r\n')[2].count(0))
    case.assertEqual(0, http_server.active_connections)


async def test_head_at_the_limit_is_served(case, network, handler):
    """Short lines were counted longer than they are, and refused."""
    limit = server.Limits().header_bytes
    lines = b'ab:c\r\n' * ((limit - 100) // 6)
    caller = await _connect(handler)
    received = await _send(caller, b'GET /a HTTP/1.1\r\n%b\r\n' % lines)
    case.assertTrue(received.startswith(b'HTTP/1.1 200'))
    received = await _send(
        caller, b'GET /a HTTP/1.1\r\n%bx: %b\r\n\r\n' % (lines, b'y' * 100)
    )
    case.assertIn(b'HTTP/1.1 431', received)


async def test_long_heads_that_arrive_at_once_are_answered(
    case, network, handler
):
    """A part of a head behind complete ones was taken for an endless one."""
    request = b'GET /a HTTP/1.1\r\n%b\r\n' % (b'ab:c\r\n' * 2000)
    caller = await _connect(handler)
    received = await _send(caller, request * 5 + request[:-2])
    case.assertEqual(5, received.count(b'HTTP/1.1 200'))
    received = await _send(caller, b'\r\n')
    case.assertEqual(6, received.count(b'HTTP/1.1 200'))
    case.assertEqual([], handler.refused)


async def test_requests_behind_a_waiting_one_are_not_parsed(
    case, network, handler
):
    """Sixteen requests were parsed and held while one was handled."""
    handler.delay = 2.0
    caller = await _connect(handler)
    await _send(
        caller, b'GET /a HTTP/1.1\r\nx: %b\r\n\r\n' % (b'y' * 4000) * 8
    )
    connection = caller.transport.peer.protocol
    case.assertLessEqual(len(connection._queue), 1)
    await asyncio.sleep(20.0)
    case.assertEqual(8, caller.received.count(b'HTTP/1.1 200'))


async def test_reset_that_is_not_known_yet_does_not_fail_a_stop(
    case, network, handler
):
    """An instance ended with an exception when it refused such a request."""

    def raise_not_connected():
        raise OSError(errno.ENOTCONN, 'not connected')

    caller = await _connect(handler)
    await _send(caller, b'GET /a HTTP/1.1\r\n')
    connection = caller.transport.peer.protocol
    connection._transport.write_eof = raise_not_connected
    case.assertFalse(connection.interrupt())
    case.assertFalse(connection.is_open)


load_tests = fixtures.adapt(__name__)
