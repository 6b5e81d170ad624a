"""Tests of answer streams: resuming, batches, heartbeats, slow readers."""

import asyncio
import json
import socket

import aiohttp
from aiohttp import web

from tests.entry import hosts
from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.entry import host
from vanillayoke.entry import streams
from vanillayoke.testing import fixtures

_CALLS = f'/v1/programs/{hosts.PROGRAM}/calls'
_STREAM = f'{_CALLS}/7/stream'
_GET = (
    f'GET {_STREAM} HTTP/1.1\r\nHost: x\r\n'
    f'Authorization: Bearer {hosts.KEY}\r\n\r\n'
).encode()


@fixtures.on_real_loop
async def test_last_event_id_goes_before_the_offset(case, site):
    await site.ask('GET', f'{_STREAM}?offset=3')
    headers = {'Last-Event-ID': '4'}
    await site.ask('GET', f'{_STREAM}?offset=3', headers=headers)
    await site.ask('GET', _STREAM)
    case.assertEqual([3, 4, 0], site.host.stream.offsets)


@fixtures.on_real_loop
async def test_every_item_has_its_event(case, site):
    site.host.stream = hosts.ScriptedStream(
        [
            host.TextPiece(0, 'žlté\n\n'),
            host.TextReset(2),
            host.StepNote(2, 8, 'stock', 'begun'),
            failures.Failure(failures.Kind.OVERLOADED, 'full', 1.5),
        ]
    )
    reply = await site.ask('GET', _STREAM)
    text, reset, step, error = hosts.split_events(reply.body)
    case.assertEqual(('text', '6'), text[:2])
    case.assertEqual('žlté\n\n', json.loads(text[2])['text'])
    case.assertEqual(('reset', '2', '{"offset":2}'), reset)
    case.assertEqual(('step', '2'), step[:2])
    case.assertEqual('error', error[0])
    case.assertEqual(1.5, json.loads(error[2])['error']['retry_after'])


@fixtures.on_real_loop
async def test_ready_pieces_go_out_in_one_write(case, site):
    pieces = [host.TextPiece(number, 'x') for number in range(50)]
    site.host.stream = hosts.ScriptedStream([*pieces, hosts.ANSWER])
    reader, writer = await site.connect()
    writer.write(_GET)
    await reader.readuntil(b'\r\n\r\n')
    size = int(await reader.readline(), 16)
    events = hosts.split_events(await reader.readexactly(size))
    case.assertEqual(51, len(events))
    writer.close()
    await writer.wait_closed()


@fixtures.on_real_loop
async def test_waiting_stream_carries_heartbeats(case, hasty_site):
    hasty_site.host.stream = hosts.ScriptedStream([])
    async with hasty_site.session.get(_STREAM) as answer:
        case.assertEqual(b':\n\n', await answer.content.readany())
        hasty_site.host.stream.put(hosts.ANSWER)
        rest = await answer.content.read()
    case.assertEqual('done', hosts.split_events(rest)[0][0])


@fixtures.on_real_loop
async def test_reader_that_leaves_stops_only_its_reading(case, site):
    """A caller hangs up while its call waits for the first token.

    Its reading ends and leaves no task; the call goes on, and the next
    reader gets the whole of it.
    """
    site.host.stream = hosts.ScriptedStream([])
    for path in ({'stream': True}, {'stream': False}):
        asking = asyncio.ensure_future(
            site.ask('POST', _CALLS, json={'mode': 'run', **path})
        )
        await hosts.wait_until(case, lambda: site.host.stream.open_readers)
        asking.cancel()
        await hosts.wait_until(case, lambda: not site.host.stream.open_readers)
    await site.settle(case)
    site.host.stream.put(hosts.ANSWER)
    reply = await site.ask('GET', _STREAM)
    case.assertEqual('done', hosts.split_events(reply.body)[0][0])


@fixtures.on_real_loop
async def test_caller_that_leaves_does_not_stop_an_open(case, site):
    """A caller hangs up while its program is being opened.

    aiohttp then cancels the handler. Were the host's work cancelled with
    it, the program would be left half opened.
    """
    site.host.gate = asyncio.Event()
    body = {'agent': 'stylist', 'deadline': 60}
    asking = asyncio.ensure_future(site.ask('POST', '/v1/programs', json=body))
    await hosts.wait_until(case, lambda: site.host.located)
    asking.cancel()
    await asyncio.sleep(0.05)
    site.host.gate.set()
    await hosts.wait_until(case, lambda: site.host.opened)
    await site.settle(case)


@fixtures.on_real_loop
async def test_slow_reader_has_a_bounded_buffer_and_is_cut(case, hasty_site):
    """A caller stops reading its stream but stays connected.

    Without a bound the whole answer would pile up in memory, once for each
    such caller; without a cut its task would wait for ever. The caller can
    resume by offset.
    """
    piece = 'x' * 65536
    hasty_site.host.stream = hosts.ScriptedStream(
        [host.TextPiece(0, piece) for _ in range(1000)]
    )
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    address, _, port = hasty_site.address.partition(':')
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (address, int(port)))
    await loop.sock_sendall(sock, _GET)
    await hosts.wait_until(case, lambda: hasty_site.host.stream.open_readers)
    await hosts.wait_until(
        case, lambda: not hasty_site.host.stream.open_readers
    )
    case.assertLess(hasty_site.host.stream.taken, 500)
    await hasty_site.settle(case)
    sock.close()


@fixtures.on_real_loop
async def test_unread_whole_answer_is_cut(case, hasty_site):
    """A caller asks for a page of history and never reads the answer.

    The answer fits no socket buffer, so that sending it would wait for
    ever and hold the page in memory.
    """

    async def read_much(client, program, after, limit):
        return [host.HistoryEntry(content='x' * 30_000_000)]

    hasty_site.host.read_history = read_much
    reader, writer = await hasty_site.connect()
    writer.write(_GET.replace(b'calls/7/stream', b'history'))
    await reader.readuntil(b'\r\n\r\n')
    writer.transport.pause_reading()
    await asyncio.sleep(0.5)
    await hasty_site.settle(case)
    writer.transport.resume_reading()
    case.assertLess(len(await reader.read()), 30_000_000)
    writer.close()
    await writer.wait_closed()


@fixtures.on_real_loop
async def test_connection_to_a_cut_off_reader_is_given_up(case, loop):
    """Something between caller and instance loses their connection.

    Nothing tells either end. The instance's heartbeats are never
    acknowledged, and unless the kernel gives the connection up the stream
    goes on for a quarter of an hour.
    """
    limits = []

    async def note_limit(request):
        sock = request.transport.get_extra_info('socket')
        limits.append(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        )
        return web.Response()

    site = hosts.Site(loop, extra_routes=[web.get('/limit', note_limit)])
    await site.start()
    await site.ask('GET', '/limit')
    await site.finish()
    case.assertEqual([30_000], limits)


class _StalledPeer:
    """Request, response, transport and writer of a reader that stalls."""

    version = aiohttp.HttpVersion11

    def __init__(self, unsent):
        self.transport = self
        self._unsent = unsent
        self._bound = 64 * 1024
        self._lost = asyncio.Event()

    def set_write_buffer_limits(self, high=64 * 1024):
        self._bound = high

    def is_closing(self):
        return False

    def write(self, data):
        self._unsent += len(data)

    def abort(self):
        self._lost.set()

    async def prepare(self, request):
        return self

    async def write_eof(self):
        pass

    async def drain(self):
        if self._unsent > self._bound:
            await self._lost.wait()


async def test_last_buffer_of_a_stalled_reader_is_freed(case, loop):
    """A reader stalls when all but the last few bytes have been sent.

    They fit the transport's buffer, so nothing waits for room; unless
    sending waits for an empty buffer, connection and buffer stay for as
    long as the reader likes.
    """
    peer = _StalledPeer(1000)
    begin = loop.time()
    await streams.send_whole(peer, peer, timers.LoopTimers(loop), 30.0)
    case.assertEqual(30.0, loop.time() - begin)


async def test_stalled_stream_is_cut_where_the_kernel_does_not(case, loop):
    peer = _StalledPeer(0)
    writer = streams.BodyWriter(peer, peer, timers.LoopTimers(loop), 30.0)
    writer.add(b'x' * streams.LARGEST_BACKLOG)
    begin = loop.time()
    await writer.drain()
    case.assertEqual(30.0, loop.time() - begin)


async def test_long_ready_text_lets_other_streams_on(case, loop):
    """A reader resumes a long text from its start, and takes all at once.

    Nothing makes the copying wait, so unless it yields by itself every
    other stream of the instance stands still meanwhile.
    """
    peer = _StalledPeer(0)
    writer = streams.BodyWriter(peer, peer, timers.LoopTimers(loop), 30.0)
    others = []
    loop.call_soon(others.append, 'ran')
    await writer.drain()
    case.assertEqual(['ran'], others)


load_tests = fixtures.adapt(__name__, [hosts])
