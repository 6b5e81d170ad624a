"""Tests of targets whose responses do not end."""

import asyncio

from tests.gateway import site_fixtures
from vanillayoke.gateway import sse
from vanillayoke.standins import targets
from vanillayoke.testing import fixtures

PIECE = b'x' * 16 * 1024


class _EndlessTarget(targets.FakeTarget):
    """Begins a response as set, and goes on without end."""

    beginning = b''
    piece = PIECE

    def __init__(self, name):
        super().__init__(name)
        self.sent_bytes = 0

    async def _execute(self, execution, fault, responder):
        connection = responder._connection
        headers = self._make_headers(execution.request)
        lines = [b'%s: %s\r\n' % field for field in headers]
        connection.write(b'HTTP/1.1 200 OK\r\n' + b''.join(lines))
        connection.write(self.beginning)
        while not connection._transport.is_closing():
            connection.write(self.piece)
            self.sent_bytes += len(self.piece)
            await connection.drain()
            await asyncio.sleep(0.001)


async def _replace_target(site, name, beginning, piece=PIECE):
    site.targets[name].stop()
    target = site.targets[name] = _EndlessTarget(name)
    target.beginning, target.piece = beginning, piece
    host = f'10.8.1.{name[1:]}'
    await target.listen(host, 8080)
    site.register(name, f'{host}:8080', born=2)
    await asyncio.sleep(0.5)
    return target


CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'4000\r\n' + PIECE + b'\r\n'


async def test_safe_request_goes_to_another_target_at_once(case, site):
    """The response was taken in until the request's deadline."""
    for number, (beginning, piece) in enumerate(
        ((b'A: ', PIECE), (b'', b'A: b\r\n' * 2000), (CHUNKED, CHUNK))
    ):
        if not number:
            await site.start()
        await _replace_target(site, 't1', beginning, piece)
        for call in range(6):
            started_at = site.timers.now()
            response = await site.call('i1', 'look', request=f'{number}{call}')
            case.assertEqual(200, response.status)
            case.assertLess(site.timers.now() - started_at, 1.5)


async def test_unsafe_request_is_not_sent_again(case, site):
    """It may have run, and must be answered so."""
    await site.start()
    for name in ('t1', 't2'):
        await _replace_target(site, name, b'A: ')
    response = await site.call('i1', 'order', request='a')
    case.assertEqual(502, response.status)
    case.assertEqual(1, len(site.list_runs('a')))


async def test_unhealthy_target_gets_few_requests(case, site):
    """A target without an end to its responses kept its share of requests."""
    await site.start()
    target = await _replace_target(site, 't1', b'A: ')
    for call in range(60):
        await site.call('i1', 'look', request=f'a{call}')
        await asyncio.sleep(0.02)
    case.assertLess(len(target.executions), 15)


async def test_event_without_end_breaks_its_stream(case, site):
    """It was taken in until the caller gave up."""
    await site.start()
    targets_of_stream = [
        await _replace_target(
            site, name, CHUNKED, b'4006\r\ndata: ' + PIECE + b'\r\n'
        )
        for name in ('m1', 'm2')
    ]
    response = await site.turn('i1', 'a')
    case.assertEqual(502, response.status)
    sent_bytes = sum(target.sent_bytes for target in targets_of_stream)
    case.assertLess(sent_bytes, sse.MAX_EVENT_BYTES + 1024 * 1024)
    case.assertEqual(1, len(site.list_runs('a')))


load_tests = fixtures.adapt(__name__, [site_fixtures])
