"""Tests of the NNG transport over real sockets."""

import asyncio
import pathlib
import socket

from vanillayoke.core import failures
from vanillayoke.peers import nng
from vanillayoke.testing import fixtures

# Keys that only these tests use; that of the authority was thrown away.
CERTIFICATES = pathlib.Path(__file__).parent / 'certificates'
LONGEST_WAIT = 5.0
SHORT_WAIT = 0.5


def _make_tls(certificate: str) -> nng.TlsFiles:
    return nng.TlsFiles(
        str(CERTIFICATES / 'authority.pem'), str(CERTIFICATES / certificate)
    )


def _listen(tls: nng.TlsFiles | None = None, **bounds: int):
    loop = asyncio.get_running_loop()
    return nng.NngTransport.listen(loop, '127.0.0.1:0', tls, **bounds)


class Pair:
    """Two transports and what the second one received."""

    def __init__(self, one, other) -> None:
        self.one = one
        self.other = other
        self._received: asyncio.Queue = asyncio.Queue()
        other.subscribe(self._received.put_nowait)

    async def send(self, message: bytes) -> None:
        await self.one.send(self.other.address, message)

    async def receive(self, longest: float = LONGEST_WAIT) -> bytes | None:
        try:
            return await asyncio.wait_for(self._received.get(), longest)
        except TimeoutError:
            return None

    async def close(self) -> None:
        await self.one.close()
        await self.other.close()


@fixtures.on_real_loop
async def test_messages_arrive_in_order(case):
    pair = Pair(_listen(), _listen())
    for number in range(5):
        await pair.send(b'%d' % number)
    received = [await pair.receive() for _ in range(5)]
    case.assertEqual([b'0', b'1', b'2', b'3', b'4'], received)
    await pair.close()


@fixtures.on_real_loop
async def test_forgetting_opens_a_new_connection(case):
    pair = Pair(_listen(), _listen())
    await pair.send(b'old')
    case.assertEqual(b'old', await pair.receive())
    pair.one.forget(pair.other.address)
    await pair.send(b'new')
    case.assertEqual(b'new', await pair.receive())
    await pair.close()


@fixtures.on_real_loop
async def test_sending_to_a_dead_peer_drops_and_never_waits(case):
    """All of an instance's probes would stop behind one dead peer.

    Nobody listens at the address; the small buffer fills up, and what does
    not fit is dropped.
    """
    transport = _listen()
    with socket.socket() as free:
        free.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{free.getsockname()[1]}'
        sending = asyncio.gather(
            *(transport.send(address, b'x') for _ in range(100))
        )
        await asyncio.wait_for(sending, LONGEST_WAIT)
        case.assertEqual(100 - nng.SEND_BUFFER, transport.dropped)
        await transport.close()


@fixtures.on_real_loop
async def test_peer_that_comes_up_later_gets_what_was_buffered(case):
    one, other = _listen(), _listen()
    address = other.address
    await other.close()
    await one.send(address, b'early')
    back = nng.NngTransport.listen(asyncio.get_running_loop(), address)
    pair = Pair(one, back)
    case.assertEqual(b'early', await pair.receive())
    await pair.close()


@fixtures.on_real_loop
async def test_connections_are_bounded(case):
    """An instance would run out of file descriptors among 400 others.

    It sends to more peers than it may keep connections to; the one unused
    for longest is closed, and opened again when it is needed.
    """
    sender = _listen(max_connections=2)
    pairs = [Pair(sender, _listen()) for _ in range(4)]
    for _ in range(2):
        for pair in pairs:
            await pair.send(b'x')
            case.assertEqual(b'x', await pair.receive())
            case.assertLessEqual(sender.connections, 2)
    for pair in pairs:
        await pair.other.close()
    await sender.close()


@fixtures.on_real_loop
async def test_taken_address_is_a_failure(case):
    one = _listen()
    loop = asyncio.get_running_loop()
    case.assertIsInstance(
        nng.NngTransport.listen(loop, one.address), failures.Failure
    )
    await one.close()


@fixtures.on_real_loop
async def test_garbage_on_the_port_does_no_harm(case):
    pair = Pair(_listen(), _listen())
    host, _, port = pair.other.address.partition(':')
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'GET / HTTP/1.1\r\n\r\n' * 10)
    await writer.drain()
    writer.close()
    await pair.send(b'still here')
    case.assertEqual(b'still here', await pair.receive())
    await pair.close()


@fixtures.on_real_loop
async def test_mutual_tls_carries_messages(case):
    tls = _make_tls('instance.pem')
    pair = Pair(_listen(tls), _listen(tls))
    await pair.send(b'private')
    case.assertEqual(b'private', await pair.receive())
    await pair.close()


@fixtures.on_real_loop
async def test_strangers_are_kept_out_by_tls(case):
    """Anybody on the network could tell instances that others failed.

    One stranger has a certificate of its own making, another one none and
    speaks plain TCP.
    """
    tls = _make_tls('instance.pem')
    for stranger in (_make_tls('stranger.pem'), None):
        pair = Pair(_listen(stranger), _listen(tls))
        await pair.send(b'forged')
        case.assertIsNone(await pair.receive(SHORT_WAIT))
        await pair.close()


load_tests = fixtures.adapt(__name__)
