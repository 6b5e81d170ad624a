"""Tests of connections to targets: whose bytes are whose."""

import asyncio

from vanillayoke.testing import fixtures
from vanillayoke.testing import networks
from vanillayoke.transport import client

HOST, PORT = '10.0.0.2', 80
ADDRESS = f'{HOST}:{PORT}'


class _Server(asyncio.Protocol):
    """Plays a list of byte strings, one for each request that comes."""

    def __init__(self, script):
        self._script = script

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        answer = self._script.pop(0) if self._script else b''
        if answer is None:
            self.transport.abort()
        else:
            self.transport.write(answer)


@fixtures.fixture
def network(loop):
    return networks.Network(loop)


def _serve(network, *script):
    played = list(script)
    servers = []

    def make():
        servers.append(_Server(played))
        return servers[-1]

    network.listeners[HOST, PORT] = make
    return servers


async def _ask(pool, accept=None):
    connection = await pool.acquire(ADDRESS)
    try:
        connection.send(b'GET', b'/', [], b'', accept)
        head = await connection.read_head()
        body = await connection.read_body()
    finally:
        pool.release(ADDRESS, connection)
    return head.status, body


OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def test_connection_is_used_again(case, network):
    _serve(network, OK, OK)
    pool = client.Pool(1.0)
    case.assertEqual((200, b'ok'), await _ask(pool))
    case.assertEqual((200, b'ok'), await _ask(pool))
    case.assertEqual(1, network.opened[HOST, PORT])


async def test_connection_with_unasked_bytes_is_dropped(case, network):
    """A faulty server sends more after a whole answer.

    The bytes would be taken for the answer to the next request.
    """
    servers = _serve(network, OK, OK)
    pool = client.Pool(1.0)
    await _ask(pool)
    servers[0].transport.write(
        b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'
    )
    await asyncio.sleep(0.1)
    case.assertEqual((200, b'ok'), await _ask(pool))
    case.assertEqual(2, network.opened[HOST, PORT])


async def test_second_answer_in_one_packet_is_dropped(case, network):
    _serve(network, OK + OK, OK)
    pool = client.Pool(1.0)
    await _ask(pool)
    await _ask(pool)
    case.assertEqual(2, network.opened[HOST, PORT])


async def test_declined_answer_is_skipped(case, network):
    other = b'HTTP/1.1 200 OK\r\nX-Of: other\r\nContent-Length: 3\r\n\r\nbad'
    _serve(network, other + OK)
    status, body = await _ask(
        client.Pool(1.0), lambda head: head.find(b'x-of') is None
    )
    case.assertEqual(b'ok', body)


async def test_answer_cut_before_its_length_is_no_answer(case, network):
    _serve(network, b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok')
    connection = await client.Pool(1.0).acquire(ADDRESS)
    connection.send(b'GET', b'/', [], b'')
    await connection.read_head()
    connection._transport.peer.close()
    with case.assertRaises(client.ConnectionLost):
        await connection.read_body()


async def test_answer_without_length_ends_with_its_connection(case, network):
    servers = _serve(network, b'HTTP/1.1 200 OK\r\n\r\nall')
    connection = await client.Pool(1.0).acquire(ADDRESS)
    connection.send(b'GET', b'/', [], b'')
    await connection.read_head()
    servers[0].transport.close()
    case.assertEqual(b'all', await connection.read_body())


async def test_answer_without_length_that_is_reset_is_not_whole(case, network):
    servers = _serve(network, b'HTTP/1.1 200 OK\r\n\r\nhalf')
    connection = await client.Pool(1.0).acquire(ADDRESS)
    connection.send(b'GET', b'/', [], b'')
    await connection.read_head()
    servers[0].transport.abort()
    with case.assertRaises(client.ConnectionLost):
        await connection.read_body()


async def test_noise_is_no_answer(case, network):
    _serve(network, b'\x00\x01\x02 what\r\n\r\n')
    connection = await client.Pool(1.0).acquire(ADDRESS)
    connection.send(b'GET', b'/', [], b'')
    with case.assertRaises(client.BadAnswer):
        await connection.read_head()


async def test_refused_connection_says_that_nothing_was_sent(case, network):
    with case.assertRaises(client.NotSent):
        await client.Pool(1.0).acquire(ADDRESS)


async def test_dark_host_is_given_up_in_time(case, network):
    network.dark.add(HOST)
    with case.assertRaises(client.NotSent):
        await client.Pool(0.4).acquire(ADDRESS)


STATED = (
    b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok'
)


async def _rest_and_acquire(pool, rested):
    await _ask(pool)
    await asyncio.sleep(rested)
    connection = await pool.acquire(ADDRESS, 1.0)
    pool.release(ADDRESS, connection)


async def test_stated_time_lets_an_order_use_a_rested_connection(
    case, network
):
    """An instance sends each server a few orders in ten seconds.

    Each took a new connection, though the servers state that they keep idle
    ones for ten. Only near that end may a close cross an order.
    """
    servers = _serve(network, STATED, STATED)
    await _rest_and_acquire(client.Pool(1.0), 4.0)
    case.assertEqual(1, len(servers))
    await _rest_and_acquire(client.Pool(1.0), 6.0)
    case.assertEqual(3, len(servers))


async def test_order_uses_no_rested_connection_without_a_stated_time(
    case, network
):
    servers = _serve(network, OK)
    await _rest_and_acquire(client.Pool(1.0), 1.5)
    case.assertEqual(2, len(servers))


async def test_whole_answer_stays_whole_when_its_connection_ends(
    case, network
):
    """A server that leaves closes each connection behind its answer.

    The end of a chunked answer and that of its connection come at once,
    before the reader is woken. The answer was taken for broken off.
    """
    answer = (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
        b'Connection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n'
    )
    servers = _serve(network, answer)
    pool = client.Pool(1.0)
    connection = await pool.open(ADDRESS)
    connection.send(b'GET', b'/', [], b'')
    await connection.read_head()
    servers[0].transport.close()
    await asyncio.sleep(0.1)
    case.assertTrue(connection.is_closed)
    case.assertEqual(b'ok', await connection.read_body())


load_tests = fixtures.adapt(__name__)
