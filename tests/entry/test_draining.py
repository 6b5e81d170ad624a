"""Tests of stopping in an orderly way."""

import asyncio

from tests.entry import hosts
from vanillayoke.core import failures
from vanillayoke.entry import host
from vanillayoke.testing import fixtures

_CALLS = f'/v1/programs/{hosts.PROGRAM}/calls'


_REQUESTS = (
    ('POST', '/v1/programs', {'agent': 'stylist', 'deadline': 1}),
    ('POST', _CALLS, {'mode': 'run', 'stream': False}),
)


@fixtures.on_real_loop
async def test_draining_refuses_new_work_and_closes_connections(case, site):
    ready = await site.ask('GET', '/readyz')
    case.assertEqual(200, ready.status)
    site.app.begin_drain()
    site.host.failure = failures.Failure(failures.Kind.DRAINING, 'stopping')
    for method, path, body in (('GET', '/readyz', None), *_REQUESTS):
        reply = await site.ask(method, path, json=body)
        case.assertEqual(503, reply.status)
        case.assertEqual('draining', reply.error['kind'])
        case.assertEqual('close', reply.headers['Connection'])
    live = await site.ask('GET', '/healthz')
    case.assertEqual(200, live.status)


@fixtures.on_real_loop
async def test_draining_still_answers_a_key_that_ran(case, site):
    """A crew is told "not run" of an order that is on its way.

    Their connection broke behind the order; they repeat its key while the
    instance stops. Only the program's owner knows what became of the key,
    so a stopping instance must ask it before it says "not run".
    """
    site.app.begin_drain()
    for method, path, body in _REQUESTS:
        reply = await site.ask(method, path, json=body)
        case.assertLess(reply.status, 300)
        case.assertEqual('close', reply.headers['Connection'])


@fixtures.on_real_loop
async def test_running_stream_ends_within_the_grace(case, site):
    site.host.stream = hosts.ScriptedStream([host.TextPiece(0, 'a')])
    async with site.session.get(f'{_CALLS}/7/stream') as answer:
        await answer.content.readany()
        finishing = asyncio.ensure_future(site.app.finish())
        await asyncio.sleep(0.01)
        site.host.stream.put(hosts.ANSWER)
        rest = await answer.content.read()
    case.assertEqual('done', hosts.split_events(rest)[-1][0])
    await finishing


@fixtures.on_real_loop
async def test_connection_closes_behind_a_stream_begun_before(case, site):
    site.host.stream = hosts.ScriptedStream([])
    reader, writer = await site.connect()
    writer.write(
        f'GET {_CALLS}/7/stream HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: Bearer {hosts.KEY}\r\n\r\n'.encode()
    )
    await reader.readuntil(b'\r\n\r\n')
    site.app.begin_drain()
    site.host.stream.put(hosts.ANSWER)
    async with asyncio.timeout(10):
        case.assertIn(b'event: done', await reader.read())
    writer.close()
    await writer.wait_closed()


@fixtures.on_real_loop
async def test_stream_beyond_the_grace_is_told_to_resume(
    case, hasty_site, hasty_owner
):
    """An instance stops while a long call still streams through it.

    When the grace is over the caller gets an error event that tells it to
    resume at another instance, not a connection that just closes.
    """
    hasty_site.host.stream = hosts.ScriptedStream([host.TextPiece(0, 'a')])
    hasty_owner.host.place = host.Elsewhere('site', hasty_site.address)
    path = f'{_CALLS}/7/stream'
    direct = await hasty_site.session.get(path)
    passed = await hasty_owner.session.get(path)
    finishing = asyncio.ensure_future(hasty_site.app.finish())
    for answer in (direct, passed):
        error = hosts.split_events(await answer.read())[-1]
        case.assertEqual('error', error[0])
        case.assertIn('"kind":"lease_lost"', error[2])
    await finishing
    case.assertEqual(0, hasty_site.app.in_flight)


load_tests = fixtures.adapt(__name__, [hosts])
