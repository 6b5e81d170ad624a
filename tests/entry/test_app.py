"""Tests of paths, keys and answers over real sockets."""

import json

from tests.entry import hosts
from vanillayoke.entry import host
from vanillayoke.testing import fixtures

_OPEN = {'agent': 'stylist', 'deadline': 60}
_CALL = {'mode': 'run', 'text': 'hi'}


@fixtures.on_real_loop
async def test_open_hands_every_field_to_the_host(case, site):
    body = {**_OPEN, 'urgent': True, 'budget': {'tokens': 5, 'seconds': 2}}
    reply = await site.ask('POST', '/v1/programs', json=body)
    case.assertEqual(200, reply.status, reply)
    case.assertEqual(hosts.PROGRAM, reply.data['program'])
    (opened,) = site.host.opened
    wanted = host.OpenRequest(
        key='k-1',
        fingerprint=opened.fingerprint,
        agent='stylist',
        deadline=60.0,
        urgent=True,
        tokens=5,
        calls=None,
        seconds=2.0,
        money=None,
        parent='',
    )
    case.assertEqual(wanted, opened)


@fixtures.on_real_loop
async def test_fingerprint_depends_on_the_request_not_its_spelling(case, site):
    spellings = (
        b'{"agent":"stylist","deadline":60}',
        b'{ "deadline": 60.0, "agent": "stylist", "urgent": false }',
        b'{"agent":"stylist","deadline":61}',
    )
    for spelling in spellings:
        await site.ask('POST', '/v1/programs', data=spelling)
    first, second, third = (one.fingerprint for one in site.host.opened)
    case.assertEqual(first, second)
    case.assertNotEqual(first, third)


@fixtures.on_real_loop
async def test_sub_agent_is_opened_under_its_parent(case, site):
    path = f'/v1/programs/{hosts.PROGRAM}/children'
    reply = await site.ask('POST', path, json=_OPEN)
    case.assertEqual(200, reply.status)
    case.assertEqual(hosts.PROGRAM, site.host.opened[0].parent)
    case.assertEqual([hosts.PROGRAM], site.host.located)


@fixtures.on_real_loop
async def test_whole_answer_waits_for_the_end(case, site):
    path = f'/v1/programs/{hosts.PROGRAM}/calls'
    reply = await site.ask('POST', path, json={**_CALL, 'stream': False})
    case.assertEqual(200, reply.status)
    case.assertEqual('hello', reply.data['text'])
    case.assertEqual(7, reply.data['number'])


@fixtures.on_real_loop
async def test_streamed_answer_has_text_and_end(case, site):
    path = f'/v1/programs/{hosts.PROGRAM}/calls'
    reply = await site.ask('POST', path, json=_CALL)
    case.assertEqual(200, reply.status)
    case.assertEqual(f'{path}/7/stream', reply.headers['Content-Location'])
    text, done = hosts.split_events(reply.body)
    case.assertEqual(('text', '5', '{"offset":0,"text":"hello"}'), text)
    case.assertEqual(('done', '5'), done[:2])
    case.assertEqual('stop', json.loads(done[2])['finish_reason'])


@fixtures.on_real_loop
async def test_tool_call_hands_on_its_arguments_as_sent(case, site):
    path = f'/v1/programs/{hosts.PROGRAM}/calls'
    data = b'{"mode":"call","tool":"order","arguments": {"n": 1.0}}'
    await site.ask('POST', path, data=data)
    case.assertEqual('{"n": 1.0}', site.host.started[0].arguments)


@fixtures.on_real_loop
async def test_reading_paths_answer(case, site):
    base = f'/v1/programs/{hosts.CHILD}'
    reply = await site.ask('GET', base)
    case.assertEqual(hosts.CHILD, reply.data['program'])
    reply = await site.ask('GET', f'{base}/history?after=3&limit=2')
    case.assertEqual([{'number': 4, 'content': 'xx'}], reply.data['history'])
    for action in ('cancel', 'end'):
        reply = await site.ask('POST', f'{base}/{action}')
        case.assertEqual(200, reply.status, reply)
    reply = await site.ask('GET', f'/v1/addresses?program={hosts.CHILD}')
    case.assertEqual(30.0, reply.data['lifetime'])
    case.assertEqual(
        f'i-{hosts.CHILD}', reply.data['addresses'][0]['instance']
    )


@fixtures.on_real_loop
async def test_unauthenticated_requests_learn_nothing(case, site):
    """A stranger tries paths with a wrong key or none.

    Every answer is the same, also for paths that do not exist, or the
    stranger could find out programs and paths.
    """
    bodies = set()
    for key in ('', 'Bearer wrong', f'Basic {hosts.KEY}', 'Bearer kľúč'):
        for path in ('/v1/programs/' + hosts.PROGRAM, '/v1/addresses', '/x'):
            reply = await site.ask('GET', path, headers={'Authorization': key})
            case.assertEqual(401, reply.status)
            case.assertEqual('vanillayoke', reply.headers['Server'])
            bodies.add(reply.body)
    case.assertEqual(1, len(bodies))
    case.assertEqual([], site.host.located)


@fixtures.on_real_loop
async def test_forged_and_foreign_ids_answer_like_absent_ones(case, site):
    """A client guesses ids of another client's programs.

    Were the answer to a foreign or malformed id to differ from that to an
    absent one, in status, headers or body, it would tell that one exists.
    """
    forged = ('prg-1', 'PRG-' + '0' * 32, hosts.ABSENT + '.2', "prg-' or 1")
    requests = (
        ('GET', '', None),
        ('GET', '/history', None),
        ('GET', '/calls/7/stream', None),
        ('POST', '/calls', _CALL),
        ('POST', '/calls', {'mode': 'no'}),
        ('POST', '/children', _OPEN),
        ('POST', '/cancel', None),
        ('POST', '/end', None),
    )
    for method, path, body in requests:
        answers = set()
        for program in (hosts.ABSENT, hosts.FOREIGN, *forged):
            reply = await site.ask(
                method, f'/v1/programs/{program}{path}', json=body
            )
            headers = {**reply.headers, 'Date': ''}
            answers.add((reply.status, tuple(headers.items()), reply.body))
        case.assertEqual(1, len(answers), (path, answers))
    case.assertEqual({hosts.ABSENT, hosts.FOREIGN}, set(site.host.located))


@fixtures.on_real_loop
async def test_operator_commands_need_their_own_key(case, site):
    path = '/operator/v1/status'
    reply = await site.ask('POST', path, json={'arguments': {'a': 'b'}})
    case.assertEqual(401, reply.status)
    key = {'Authorization': f'Bearer {hosts.OPERATOR_KEY}'}
    reply = await site.ask(
        'POST', path, json={'arguments': {'a': 'b'}}, headers=key
    )
    case.assertEqual({'command': 'status'}, reply.data)
    case.assertEqual([('status', {'a': 'b'})], site.host.commands)


@fixtures.on_real_loop
async def test_unforeseen_exception_is_reported_not_shown(case, site):
    async def fail(client, program):
        raise ValueError('secret')

    site.host.view_program = fail
    reply = await site.ask('GET', f'/v1/programs/{hosts.PROGRAM}')
    case.assertEqual(500, reply.status)
    case.assertNotIn(b'secret', reply.body)
    case.assertEqual(['secret'], [str(one) for one in site.faults])


load_tests = fixtures.adapt(__name__, [hosts])
