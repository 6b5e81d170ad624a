"""Tests of malformed, oversized and half-sent requests."""

import gzip
import json
from unittest import mock

from tests.entry import hosts
from vanillayoke.entry import app
from vanillayoke.testing import fixtures

_HEAD = (
    'POST /v1/programs HTTP/1.1\r\nHost: x\r\n'
    f'Authorization: Bearer {hosts.KEY}\r\nIdempotency-Key: k\r\n'
)

# What is sent to open a program, then the field and a part of the reason.
_BAD_OPENS = (
    (b'{"agent":"stylist",', '', 'byte 19'),
    (b'{"agent":"stylist" x}', '', 'byte 19'),
    (b'{"agent":"sty\xff"}', '', 'byte 13'),
    (b'[]', '', 'Expected `object`'),
    (b'', 'agent', 'required'),
    (b'{"agent":"stylist"}', 'deadline', 'required'),
    (b'{"agent":1,"deadline":1}', 'agent', 'got `int`'),
    (b'{"agent":"","deadline":1}', 'agent', 'length >= 1'),
    (b'{"agent":"stylist","deadline":"1"}', 'deadline', 'got `str`'),
    (b'{"agent":"stylist","deadline":-1}', 'deadline', '> 0'),
    (b'{"agent":"stylist","deadline":1e999}', 'deadline', 'out of range'),
    (b'{"agent":"stylist","deadline":NaN}', '', 'byte 30'),
    (b'{"agent":"stylist","deadline":1,"x":1}', 'x', 'unknown field'),
    (b'{"agent":"stylist","deadline":1,"budget":3}', 'budget', 'got `int`'),
    (
        b'{"agent":"stylist","deadline":1,"budget":{"tokens":-1}}',
        'budget.tokens',
        '>= 0',
    ),
    (
        b'{"agent":"stylist","deadline":1,"budget":{"money":0.5}}',
        'budget.money',
        'got `float`',
    ),
    (
        b'{"agent":"stylist","deadline":1,"budget":{"cash":1}}',
        'budget.cash',
        'unknown field',
    ),
)

_BAD_CALLS = (
    (b'{"mode":"walk"}', 'mode', 'Unknown value'),
    (b'{"mode":"run","tool":"order"}', 'tool', 'run'),
    (b'{"mode":"call","arguments":{}}', 'arguments', 'tool'),
    (b'{"mode":"call","tool":"o","arguments":[]}', 'arguments', 'object'),
    (
        b'{"mode":"call","tool":"o","arguments":{"a":"\xff"}}',
        'arguments',
        'UTF-8',
    ),
    (b'{"mode":"call","tool":"o","arguments":' + b'[' * 1500, '', 'deep'),
    (b'{"mode":"call","max_tokens":0}', 'max_tokens', '>= 1'),
    (b'{"mode":"call","stream":"no"}', 'stream', 'got `str`'),
)


async def _check_faults(case, site, path, table):
    for data, field, reason in table:
        reply = await site.ask('POST', path, data=data)
        case.assertEqual(400, reply.status, data)
        case.assertEqual('bad_request', reply.error['kind'])
        case.assertEqual('no', reply.error['ran'])
        case.assertEqual(field, reply.error.get('field', ''), data)
        case.assertIn(reason, reply.error['reason'], data)


@fixtures.on_real_loop
async def test_bad_open_is_refused_by_field(case, site):
    await _check_faults(case, site, '/v1/programs', _BAD_OPENS)
    case.assertEqual([], site.host.opened)


@fixtures.on_real_loop
async def test_bad_call_is_refused_by_field(case, site):
    path = f'/v1/programs/{hosts.PROGRAM}/calls'
    await _check_faults(case, site, path, _BAD_CALLS)
    case.assertEqual([], site.host.started)


@fixtures.on_real_loop
async def test_reason_repeats_no_text_of_the_caller(case, site):
    path = f'/v1/programs/{hosts.PROGRAM}/calls'
    reply = await site.ask('POST', path, data=b'{"mode":"private"}')
    case.assertNotIn(b'private', reply.body)


@fixtures.on_real_loop
async def test_unknown_agent_is_named_as_such(case, site):
    body = {'agent': 'nobody', 'deadline': 1}
    reply = await site.ask('POST', '/v1/programs', json=body)
    case.assertEqual(422, reply.status)
    case.assertEqual('unknown_agent', reply.error['kind'])


@fixtures.on_real_loop
async def test_idempotency_key_is_required(case, site):
    body = {'agent': 'stylist', 'deadline': 1}
    for key in ('', 'x' * 201, 'a b'):
        headers = {'Idempotency-Key': key}
        reply = await site.ask(
            'POST', '/v1/programs', json=body, headers=headers
        )
        case.assertEqual(400, reply.status)
        case.assertEqual('Idempotency-Key', reply.error['field'])


@fixtures.on_real_loop
async def test_bad_numbers_are_refused_by_field(case, site):
    base = f'/v1/programs/{hosts.PROGRAM}'
    for path, field in (
        ('history?after=-1', 'after'),
        ('history?limit=x', 'limit'),
        ('calls/7/stream?offset=1.5', 'offset'),
        (f'calls/7/stream?offset={"9" * 5000}', 'offset'),
    ):
        reply = await site.ask('GET', f'{base}/{path}')
        case.assertEqual((400, field), (reply.status, reply.error['field']))


@fixtures.on_real_loop
async def test_unknown_paths_and_methods_are_refused(case, site):
    for method, path, status in (
        ('GET', '/v2', 404),
        ('DELETE', '/v1/programs', 400),
        ('GET', f'/v1/programs/{hosts.PROGRAM}/calls/x/stream', 404),
    ):
        reply = await site.ask(method, path)
        case.assertEqual(status, reply.status)
        case.assertIn('kind', reply.error)


@fixtures.on_real_loop
async def test_oversized_body_is_refused_with_and_without_length(case, site):
    async def send_parts():
        for _ in range(5):
            yield b'x' * 1000

    for data in (b'x' * 5000, send_parts()):
        reply = await site.ask('POST', '/v1/programs', data=data)
        case.assertEqual(413, reply.status)
        case.assertEqual('body_too_large', reply.error['kind'])
    await site.settle(case)


@fixtures.on_real_loop
async def test_compressed_body_is_not_unpacked(case, site):
    """A small compressed body may unpack to one far above the limit."""
    reply = await site.ask(
        'POST',
        '/v1/programs',
        data=gzip.compress(b'{"agent":"stylist","deadline":1}'),
        headers={'Content-Encoding': 'gzip'},
    )
    case.assertEqual(400, reply.status)


@fixtures.on_real_loop
async def test_announced_size_is_refused_before_the_body_comes(case, site):
    reader, writer = await site.connect()
    writer.write(f'{_HEAD}Content-Length: 5000\r\n\r\n'.encode())
    case.assertIn(b'413', await reader.readline())
    writer.close()
    await writer.wait_closed()
    await site.settle(case)


@fixtures.on_real_loop
async def test_half_sent_body_is_dropped_after_a_timeout(case, hasty_site):
    """A caller sends half of its body and then nothing, connected still.

    Without a timeout the request would wait for the rest for ever, and
    each such caller would hold a task and a connection.
    """
    reader, writer = await hasty_site.connect()
    writer.write(f'{_HEAD}Content-Length: 100\r\n\r\n{{"agent"'.encode())
    answer = await reader.read()
    head, _, body = answer.partition(b'\r\n\r\n')
    case.assertTrue(head.startswith(b'HTTP/1.1 400'), answer)
    case.assertIn('0.2 s', json.loads(body)['error']['reason'])
    writer.close()
    await writer.wait_closed()
    await hasty_site.settle(case)
    case.assertEqual([], hasty_site.faults)


@fixtures.on_real_loop
async def test_malformed_request_is_not_logged(case, site):
    with case.assertNoLogs():
        reader, writer = await site.connect()
        writer.write(b'GET / HTTP/1.1\r\nMy Text: x\r\n\r\n')
        case.assertIn(b'400', await reader.readline())
    writer.close()
    await writer.wait_closed()


@fixtures.on_real_loop
async def test_half_sent_head_is_dropped_after_a_timeout(case, loop):
    with mock.patch.object(app, 'KEEP_ALIVE', 0.1):
        site = hosts.Site(loop)
        await site.start()
    reader, writer = await site.connect()
    writer.write(_HEAD.encode())
    case.assertEqual(b'', await reader.read())
    writer.close()
    await site.finish()


@fixtures.on_real_loop
async def test_broken_off_body_leaves_nothing_behind(case, site):
    reader, writer = await site.connect()
    writer.write(f'{_HEAD}Content-Length: 100\r\n\r\n{{"agent"'.encode())
    await writer.drain()
    writer.close()
    await writer.wait_closed()
    await site.settle(case)
    case.assertEqual([], site.faults)


load_tests = fixtures.adapt(__name__, [hosts])
