"""Tests of connection reuse over real sockets."""

import asyncio

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.platform import links
from vanillayoke.testing import fixtures

_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class _Server:
    """Answers each request after ``gate``, but for silenced connections."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.gate.set()
        self.pair = asyncio.Event()
        self.opened = []
        self.silent = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '{}:{}'.format(*self._server.sockets[0].getsockname())

    def silence_open(self):
        self.silent.update(self.opened)

    async def _serve(self, reader, writer):
        self.opened.append(writer)
        if len(self.opened) == 2:
            self.pair.set()
        while await reader.readline():
            while (await reader.readline()).strip():
                pass
            await self.gate.wait()
            if writer not in self.silent:
                writer.write(_OK)
        writer.close()

    async def stop(self):
        self._server.close()
        await self._server.wait_closed()


@fixtures.fixture
def server(loop):
    made = _Server()
    loop.run_until_complete(made.start())
    yield made
    loop.run_until_complete(made.stop())


@fixtures.fixture
def make_link(loop, server):
    made = []

    def make(**settings):
        chosen = links.LinkSettings(server.address, **settings)
        made.append(links.Link(chosen, timers.LoopTimers(loop)))
        return made[-1]

    yield make
    for link in made:
        loop.run_until_complete(link.close())


def _get(link):
    return link.request('GET', '/')


@fixtures.on_real_loop
async def test_silent_connections_cost_one_timeout(case, server, make_link):
    """The store seems down for minutes though new connections work.

    Two connections lie idle; something on the way forgets them both. The
    first request times out, and the second must not wait on the other one.
    """
    link = make_link(timeout=0.2)
    server.gate.clear()
    pair = asyncio.gather(_get(link), _get(link))
    await server.pair.wait()
    server.gate.set()
    await pair
    server.silence_open()
    first = await _get(link)
    case.assertIs(failures.Kind.STORE_UNCERTAIN, first.kind)
    case.assertEqual(links.Reply(links.OK, b'ok'), await _get(link))


@fixtures.on_real_loop
async def test_request_on_another_connection_outlives_a_timeout(
    case, server, make_link
):
    """One silent connection makes every request under way fail.

    A request times out and its pool is given up; the answer of another
    request, on a healthy connection of the same pool, is still to come.
    """
    link = make_link(timeout=0.4)
    await _get(link)
    server.silence_open()
    silent = asyncio.ensure_future(_get(link))
    await asyncio.sleep(0.2)
    server.gate.clear()
    healthy = asyncio.ensure_future(_get(link))
    case.assertIs(failures.Kind.STORE_UNCERTAIN, (await silent).kind)
    server.gate.set()
    case.assertEqual(links.Reply(links.OK, b'ok'), await healthy)


@fixtures.on_real_loop
async def test_connections_are_reused_until_they_are_old(
    case, server, make_link
):
    link = make_link()
    await _get(link)
    await _get(link)
    case.assertEqual(1, len(server.opened))
    aged = make_link(age=0.0)
    await _get(aged)
    await _get(aged)
    case.assertEqual(3, len(server.opened))


@fixtures.on_real_loop
async def test_refused_connection_proves_that_nothing_was_sent(
    case, server, make_link
):
    await server.stop()
    refused = await _get(make_link())
    case.assertIs(failures.Kind.STORE_UNAVAILABLE, refused.kind)


load_tests = fixtures.adapt(__name__)
