"""Tests of passing requests on to the owner of their program."""

import asyncio
import contextlib

from tests.entry import hosts
from vanillayoke.core import failures
from vanillayoke.entry import host
from vanillayoke.testing import fixtures

_PROGRAM = f'/v1/programs/{hosts.PROGRAM}'
_CALLS = f'{_PROGRAM}/calls'
_CALL = {'mode': 'run', 'text': 'hi'}
_MOVING = failures.Failure(failures.Kind.NOT_OWNER, '')
_STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Connection: close\r\n\r\n'
)


@contextlib.asynccontextmanager
async def _serve_raw(answer):
    """Serve one fixed answer, then close; ``None`` stays silent."""
    connections = []

    async def reply(reader, writer):
        connections.append(writer)
        await reader.readuntil(b'\r\n\r\n')
        if answer is not None:
            writer.write(answer)
            writer.close()

    server = await asyncio.start_server(reply, '127.0.0.1', 0)
    address, port = server.sockets[0].getsockname()
    try:
        yield host.Elsewhere('raw', f'{address}:{port}')
    finally:
        for writer in connections:
            writer.close()
        server.close()
        await server.wait_closed()


@fixtures.on_real_loop
async def test_call_is_passed_on_whole(case, site, owner):
    site.host.place = host.Elsewhere('owner', owner.address)
    reply = await site.ask('POST', _CALLS, json=_CALL)
    case.assertEqual([], site.host.started)
    (started,) = owner.host.started
    case.assertEqual(('k-1', 'hi'), (started.key, started.text))
    events = hosts.split_events(reply.body)
    case.assertEqual(['text', 'done'], [event[0] for event in events])
    case.assertEqual(f'{_CALLS}/7/stream', reply.headers['Content-Location'])


@fixtures.on_real_loop
async def test_passed_on_answers_are_the_same(case, site, owner):
    owner.host.failure = failures.Failure(
        failures.Kind.LIMIT_REACHED, 'busy', 3.0
    )
    direct = await owner.ask('POST', _CALLS, json=_CALL)
    site.host.place = host.Elsewhere('owner', owner.address)
    passed = await site.ask('POST', _CALLS, json=_CALL)
    case.assertEqual(429, passed.status)
    case.assertEqual(direct.body, passed.body)
    case.assertEqual('3', passed.headers['Retry-After'])
    case.assertEqual(
        {**direct.headers, 'Date': ''}, {**passed.headers, 'Date': ''}
    )


@fixtures.on_real_loop
async def test_stream_is_resumed_through_another_instance(case, site, owner):
    site.host.place = host.Elsewhere('owner', owner.address)
    headers = {'Last-Event-ID': '3'}
    await site.ask('GET', f'{_CALLS}/7/stream', headers=headers)
    case.assertEqual([3], owner.host.stream.offsets)


@fixtures.on_real_loop
async def test_long_silent_call_is_not_taken_for_a_dead_one(
    case, hasty_site, hasty_owner
):
    """A passed-on call takes longer than a connection may be silent.

    The owner signals progress while it works, streamed or not, so that
    only a dead connection is silent for so long.
    """
    hasty_site.host.place = host.Elsewhere('owner', hasty_owner.address)
    for stream in (True, False):
        body = {**_CALL, 'stream': stream}
        hasty_owner.host.stream = hosts.ScriptedStream([])
        asyncio.get_running_loop().call_later(
            0.8, hasty_owner.host.stream.put, hosts.ANSWER
        )
        reply = await hasty_site.ask('POST', _CALLS, json=body)
        case.assertEqual(200, reply.status)
        case.assertIn(b'"finish_reason":"stop"', reply.body)


@fixtures.on_real_loop
async def test_long_silent_open_is_not_taken_for_a_dead_one(
    case, hasty_site, hasty_owner
):
    hasty_site.host.place = host.Elsewhere('owner', hasty_owner.address)
    hasty_owner.host.gate = asyncio.Event()
    asyncio.get_running_loop().call_later(0.8, hasty_owner.host.gate.set)
    body = {'agent': 'stylist', 'deadline': 1}
    reply = await hasty_site.ask('POST', '/v1/programs', json=body)
    case.assertEqual(200, reply.status)


@fixtures.on_real_loop
async def test_reader_that_leaves_is_gone_at_the_owner_too(case, site, owner):
    site.host.place = host.Elsewhere('owner', owner.address)
    owner.host.stream = hosts.ScriptedStream([host.TextPiece(0, 'a')])
    async with site.session.get(f'{_CALLS}/7/stream') as answer:
        await answer.content.readany()
    await hosts.wait_until(case, lambda: not owner.host.stream.open_readers)
    await site.settle(case)


@fixtures.on_real_loop
async def test_unreachable_owner_is_looked_up_once_more(case, site, owner):
    """The owner died, and its program just moved to another instance.

    The first address refuses connections, so nothing was sent and the
    request goes to the new owner without the caller noticing.
    """
    places = [
        host.Elsewhere('gone', '127.0.0.1:1'),
        host.Elsewhere('owner', owner.address),
    ]

    async def locate(program):
        return places.pop(0)

    site.host.locate = locate
    reply = await site.ask('GET', _PROGRAM)
    case.assertEqual(200, reply.status)


@fixtures.on_real_loop
async def test_unreachable_owner_is_answered_as_moving(case, site):
    site.host.place = host.Elsewhere('gone', '127.0.0.1:1')
    reply = await site.ask('POST', _CALLS, json=_CALL)
    case.assertEqual(503, reply.status)
    case.assertEqual(_MOVING.kind.value, reply.error['kind'])
    case.assertEqual(_MOVING.answer.ran.value, reply.error['ran'])
    case.assertEqual('1', reply.headers['Retry-After'])
    case.assertEqual(2, len(site.host.located))


@fixtures.on_real_loop
async def test_request_between_disagreeing_instances_ends(case, site, owner):
    """Two instances each take the other for the owner.

    Without a bound on the hops the request would go back and forth.
    """
    site.host.place = host.Elsewhere('owner', owner.address)
    owner.host.place = host.Elsewhere('site', site.address)
    reply = await site.ask('POST', _CALLS, json=_CALL)
    case.assertEqual(_MOVING.kind.value, reply.error['kind'])
    case.assertEqual(_MOVING.answer.ran.value, reply.error['ran'])
    case.assertEqual([], site.host.started + owner.host.started)
    # Once per hop, and once more by the last instance.
    case.assertEqual(4, len(site.host.located + owner.host.located))


@fixtures.on_real_loop
async def test_break_after_sending_is_answered_as_unknown(case, hasty_site):
    """The owner's connection breaks, or goes silent, behind the request.

    The owner may have begun the work, so "not run" would be a guess. The
    caller is told that it may repeat its key.
    """
    for answer in (b'', None):
        async with _serve_raw(answer) as place:
            hasty_site.host.place = place
            reply = await hasty_site.ask('POST', _CALLS, json=_CALL)
        case.assertEqual('lease_lost', reply.error['kind'])
        case.assertEqual('unknown', reply.error['ran'])
        case.assertTrue(reply.error['may_retry'])


@fixtures.on_real_loop
async def test_break_within_a_stream_ends_it_by_an_error_event(case, site):
    """The owner dies in the middle of an event of a passed-on stream.

    The caller gets the whole events before it, none of the half one, and
    an error that makes it resume from the last id.
    """
    half = _STREAM_HEAD.replace(
        b'Connection: close', b'Content-Length: 900'
    ) + (b'event: text\nid: 2\ndata: {}\n\nevent: text\nid: 4\ndata: {"te')
    async with _serve_raw(half) as place:
        site.host.place = place
        reply = await site.ask('GET', f'{_CALLS}/7/stream')
    text, error = hosts.split_events(reply.body)
    case.assertEqual(('text', '2', '{}'), text)
    case.assertEqual('error', error[0])
    case.assertIn('"kind":"lease_lost"', error[2])
    await site.settle(case)


load_tests = fixtures.adapt(__name__, [hosts])
