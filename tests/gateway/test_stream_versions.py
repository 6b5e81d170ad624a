"""Tests that streams continue at the software version that began them."""

import asyncio

from tests.gateway import site_fixtures
from vanillayoke.gateway import messages
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import resumptions
from vanillayoke.standins import calls
from vanillayoke.standins import store as store_module
from vanillayoke.standins import targets as targets_module
from vanillayoke.testing import fixtures
from vanillayoke.transport import client

# How often a request is repeated where a wrong choice depends on chance.
ATTEMPT_COUNT = 12


async def _start(site, versions, instances=2):
    """Start a site whose model servers have the given software versions."""
    await site.start(instances)
    for name in ('m1', 'm2'):
        site.store.put('servers', name, None)
    for name, version in versions.items():
        await site.add_target(name, software_version=version)
    await asyncio.sleep(0.2)


async def _begin_at(site, instance, target, request, **header_fields):
    """Return the task of a turn whose stream has begun at a target."""
    others = [
        other
        for name, other in site.targets.items()
        if name.startswith('m') and name != target
    ]
    for other in others:
        other.queue_limit = 0
    task = asyncio.ensure_future(
        site.turn(
            instance,
            request,
            **{'route': 'plan', 'program': request, **header_fields},
        )
    )
    while target not in _list_servers(site, request):
        assert not task.done()
        await asyncio.sleep(0.001)
    for other in others:
        other.queue_limit = 8
    return task


def _refuse_connections(target):
    """Refuse new connections of a target, as after a crash."""
    for listener in target._server._servers:
        listener.close()


async def _resume(site, instance, request, resumes, **header_fields):
    """Resume a stream as a caller does that has lost its connection."""
    extra_headers = [(b'Last-Event-Id', b'2')]
    if resumes is not None:
        extra_headers.append((b'Resumes', resumes.encode()))
    return await site.turn(
        instance,
        request,
        extra_headers=extra_headers,
        **{'route': 'plan', 'program': request, **header_fields},
    )


def _list_servers(site, request):
    """Return the names of the servers that ran a request."""
    return [
        name
        for name, target in site.targets.items()
        for run in target.executions
        if run.request == request
    ]


async def test_broken_stream_does_not_continue_at_another_version(case, site):
    """A server crashes amid a stream; only another version is left."""
    await _start(site, {'m3': 'v1', 'm4': 'v2'})
    target = site.targets['m3']
    target.faults.append(targets_module.Fault.TRUNCATE_ANSWER)
    task = await _begin_at(site, 'i1', 'm3', 'a')
    _refuse_connections(target)
    with case.assertRaises(client.TransportError):
        await task
    case.assertEqual(['m3'], _list_servers(site, 'a'))


async def test_resumed_stream_does_not_continue_at_another_version(case, site):
    """A caller resumes at an instance that did not begin the stream."""
    await _start(site, {'m3': 'v1', 'm4': 'v2', 'm5': 'v3'})
    for number in range(ATTEMPT_COUNT):
        begun, resumed = f'a{number}', f'b{number}'
        await (await _begin_at(site, 'i1', 'm3', begun))
        response = await _resume(site, 'i2', resumed, begun)
        case.assertEqual(200, response.status)
        case.assertEqual(['m3'], _list_servers(site, resumed))


async def test_broken_stream_continues_at_its_version(case, site):
    """A server crashes amid a stream; another of its version takes over."""
    await _start(site, {'m3': 'v1', 'm4': 'v2', 'm5': 'v1'})
    target = site.targets['m3']
    target.faults.append(targets_module.Fault.TRUNCATE_ANSWER)
    task = await _begin_at(site, 'i1', 'm3', 'a')
    _refuse_connections(target)
    response = await task
    case.assertEqual(4, response.body.count(b'data: '))
    case.assertEqual(['m3', 'm5'], _list_servers(site, 'a'))


async def test_stream_without_events_runs_at_any_version(case, site):
    """A server crashes before the first event, so nothing is to be joined."""
    await _start(site, {'m3': 'v1', 'm4': 'v2'})
    target = site.targets['m3']
    target.faults.append(targets_module.Fault.LOSE_ANSWER)
    task = await _begin_at(site, 'i1', 'm3', 'a')
    _refuse_connections(target)
    response = await task
    case.assertEqual(4, response.body.count(b'data: '))
    case.assertEqual(['m3', 'm4'], _list_servers(site, 'a'))


async def test_absurd_deadline_does_not_break_a_stream(case, site):
    """A caller's time does not fit into a message to other instances."""
    await _start(site, {'m3': 'v1', 'm4': 'v1'})
    deadline = [(b'X-Vanillayoke-Deadline-Ms', b'1e300')]
    response = await site.turn('i1', 'a', route='plan', extra_headers=deadline)
    case.assertEqual(4, response.body.count(b'data: '))


async def test_origin_lasts_while_a_stream_is_resumed_again(case, site):
    """It was forgotten some time after the stream had begun.

    A caller that had resumed it once could not do so a second time.
    """
    await _start(site, {'m3': 'v1', 'm4': 'v2'})
    await (await _begin_at(site, 'i1', 'm3', 'a', program='p'))
    lifetime = 3.0 + resumptions.LIFETIME_MARGIN_SECONDS
    for number in range(3):
        await asyncio.sleep(0.8 * lifetime)
        response = await _resume(site, 'i2', f'b{number}', 'a', program='p')
        case.assertEqual(200, response.status)
        case.assertEqual(['m3'], _list_servers(site, f'b{number}'))


async def test_resumption_without_its_version_is_refused_at_once(case, site):
    """The last server of the version has left.

    The caller can only begin anew, so it must not wait.
    """
    await _start(site, {'m3': 'v1', 'm4': 'v2'})
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    site.store.put('servers', 'm3', None)
    await asyncio.sleep(0.2)
    started_at = site.timers.now()
    response = await _resume(site, 'i2', 'b', 'a')
    case.assertEqual(503, response.status)
    case.assertNotIn(b'retry-after', response.headers)
    case.assertEqual([], _list_servers(site, 'b'))
    case.assertLess(site.timers.now() - started_at, 0.1)


async def test_stream_is_resumed_at_a_server_that_is_about_to_leave(
    case, site
):
    """The last server of the version drains, as at the end of a release.

    It still serves for two seconds. New streams must not go there.
    """
    await _start(site, {'m3': 'v1', 'm4': 'v2'})
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    site.register('m3', '10.8.0.5:8080', 'draining')
    await asyncio.sleep(0.3)
    response = await _resume(site, 'i2', 'b', 'a')
    case.assertEqual(200, response.status)
    case.assertEqual(['m3'], _list_servers(site, 'b'))
    for number in range(ATTEMPT_COUNT):
        await site.turn('i2', f'c{number}', route='plan', program=f'c{number}')
        case.assertEqual(['m4'], _list_servers(site, f'c{number}'))
    await asyncio.sleep(1.0)
    response = await _resume(site, 'i2', 'd', 'a')
    case.assertEqual(503, response.status)
    case.assertEqual([], _list_servers(site, 'd'))


async def test_stream_joins_the_queue_of_a_server_that_is_about_to_leave(
    case, site
):
    """All slots of the last server of the version are taken.

    Instances queue for slots of servers, but not of those that leave.
    """
    site.settings_changes['enabled_features'] = frozenset(
        (messages.Feature.SLOT_QUEUE,)
    )
    await _start(site, {'m3': 'v1', 'm4': 'v2'})
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    site.targets['m3'].event_interval = 0.1
    running = [
        await _begin_at(site, 'i1', 'm3', f'r{number}') for number in range(4)
    ]
    site.register('m3', '10.8.0.5:8080', 'draining')
    await asyncio.sleep(0.1)
    response = await _resume(site, 'i1', 'b', 'a')
    case.assertEqual(200, response.status)
    case.assertEqual(['m3'], _list_servers(site, 'b'))
    await asyncio.gather(*running)


async def test_ready_server_continues_a_stream_before_a_leaving_one(
    case, site
):
    await _start(site, {'m3': 'v1', 'm4': 'v2', 'm5': 'v1'})
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    site.register('m3', '10.8.0.5:8080', 'draining')
    await asyncio.sleep(0.3)
    for number in range(ATTEMPT_COUNT):
        await _resume(site, 'i2', f'b{number}', 'a')
        case.assertEqual(['m5'], _list_servers(site, f'b{number}'))


async def test_resumption_at_crashed_servers_is_refused_at_once(case, site):
    """The last server of the version has crashed and is still registered."""
    await _start(site, {'m3': 'v1', 'm4': 'v2'})
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    _refuse_connections(site.targets['m3'])
    for connection in list(site.targets['m3']._server.connections):
        connection.abort()
    started_at = site.timers.now()
    response = await _resume(site, 'i2', 'b', 'a')
    case.assertEqual(503, response.status)
    case.assertEqual([], _list_servers(site, 'b'))
    case.assertLess(site.timers.now() - started_at, 0.1)


async def test_origin_outlives_the_instance_that_began_a_stream(
    case, site, network
):
    """A caller resumes since the instance that served it has failed."""
    await _start(site, {'m3': 'v1', 'm4': 'v2', 'm5': 'v3'}, 4)
    for number in range(ATTEMPT_COUNT):
        await (await _begin_at(site, 'i1', 'm3', f'a{number}'))
    site_fixtures.kill(site, network, 'i1')
    for number in range(ATTEMPT_COUNT):
        instance = f'i{2 + number % 3}'
        response = await _resume(site, instance, f'b{number}', f'a{number}')
        case.assertEqual(200, response.status)
        case.assertEqual(['m3'], _list_servers(site, f'b{number}'))


async def test_origin_outlives_the_loss_of_one_replica(case, site, network):
    """The instance that began a stream fails together with a replica."""
    await _start(site, {'m3': 'v1', 'm4': 'v2', 'm5': 'v3'}, 5)
    eligible = site.instances['i1']._members.list_eligible()
    program = next(
        name
        for name in (f'p{number}' for number in range(1000))
        if [
            peer.instance
            for peer in rendezvous.ZoneRanking().list_highest(
                f'{name}/s', eligible, 2
            )
        ]
        == ['i2', 'i3']
    )
    session = {'program': program, 'session_id': 's'}
    await (await _begin_at(site, 'i1', 'm3', 'a', **session))
    for name in ('i1', 'i2'):
        site_fixtures.kill(site, network, name)
    for number in range(ATTEMPT_COUNT):
        instance = f'i{4 + number % 2}'
        response = await _resume(site, instance, f'b{number}', 'a', **session)
        case.assertEqual(200, response.status)
        case.assertEqual(['m3'], _list_servers(site, f'b{number}'))


async def test_resumption_is_refused_if_the_origin_is_lost(
    case, site, network
):
    """All instances fail at once, and several versions serve."""
    await _start(site, {'m3': 'v1', 'm4': 'v2'})
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    for name in ('i1', 'i2'):
        site_fixtures.kill(site, network, name)
    for name in ('i3', 'i4'):
        await site.add_instance(name)
    await asyncio.sleep(1.0)
    started_at = site.timers.now()
    response = await _resume(site, 'i3', 'b', 'a')
    case.assertEqual(503, response.status)
    case.assertIn(b'retry-after', response.headers)
    case.assertEqual([], _list_servers(site, 'b'))
    case.assertLess(site.timers.now() - started_at, 0.2)


async def test_former_version_counts_while_its_streams_may_be_resumed(
    case, site, network
):
    """The origin is lost, and all servers of the version have just left.

    Until no stream of them can be left, the one version that serves must not
    be taken for the origin.
    """
    await _start(site, {'m3': 'v1', 'm4': 'v2'}, 3)
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    for name in ('i1', 'i2'):
        site_fixtures.kill(site, network, name)
    site.store.put('servers', 'm3', None)
    for cache in (
        site.instances['i3']._resumptions._by_request,
        site.instances['i3']._resumptions._by_session,
    ):
        cache.prune(float('inf'))
    await asyncio.sleep(1.0)
    response = await _resume(site, 'i3', 'b', 'a')
    case.assertEqual(503, response.status)
    case.assertEqual([], _list_servers(site, 'b'))
    await asyncio.sleep(6.0)
    response = await _resume(site, 'i3', 'c', 'a')
    case.assertEqual(200, response.status)


async def test_unnamed_stream_is_resumed_where_one_version_serves(case, site):
    """A caller that does not say what it resumes is served as before."""
    await _start(site, {'m3': 'v1', 'm4': 'v1'})
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    response = await _resume(site, 'i2', 'b', None, session_id='another')
    case.assertEqual(200, response.status)


async def test_unnamed_stream_is_found_by_its_session(case, site):
    """A caller that does not say what it resumes, while versions differ."""
    await _start(site, {'m3': 'v1', 'm4': 'v2', 'm5': 'v3'}, 4)
    for number in range(ATTEMPT_COUNT):
        session = {'program': f'p{number}', 'session_id': 's'}
        await (await _begin_at(site, 'i1', 'm3', f'a{number}', **session))
        resumed = f'b{number}'
        instance = f'i{1 + number % 4}'
        response = await _resume(site, instance, resumed, None, **session)
        case.assertEqual(200, response.status)
        case.assertEqual(['m3'], _list_servers(site, resumed))


async def test_newest_stream_of_a_session_is_resumed(case, site):
    """A failed turn was sent again from its start, to another version.

    Instances that know only its first attempt must not go by that.
    """
    await _start(site, {'m3': 'v1', 'm4': 'v2', 'm5': 'v3'}, 4)
    for number in range(ATTEMPT_COUNT):
        session = {'program': f'p{number}', 'session_id': 's'}
        await (await _begin_at(site, 'i1', 'm3', f'a{number}', **session))
        await (await _begin_at(site, 'i2', 'm4', f'b{number}', **session))
        for instance in ('i1', 'i3'):
            resumed = f'c{number}-{instance}'
            await _resume(site, instance, resumed, None, **session)
            case.assertIn(_list_servers(site, resumed), ([], ['m4']))
            resumed = f'd{number}-{instance}'
            await _resume(site, instance, resumed, f'a{number}', **session)
            case.assertEqual(['m3'], _list_servers(site, resumed))


async def test_unnamed_stream_without_a_record_is_refused(case, site):
    """Its version is unknown, and another one would be joined to it."""
    await _start(site, {'m3': 'v1', 'm4': 'v2'})
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    response = await _resume(site, 'i1', 'b', None, session_id='another')
    case.assertEqual(503, response.status)
    case.assertEqual([], _list_servers(site, 'b'))


async def test_new_instance_learns_the_only_version_from_others(case, site):
    """An instance that has just started does not know former versions."""
    await _start(site, {'m3': 'v1', 'm4': 'v1'})
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    await site.add_instance('i3')
    await asyncio.sleep(1.0)
    response = await _resume(site, 'i3', 'b', None, session_id='another')
    case.assertEqual(200, response.status)


async def test_instance_without_news_does_not_trust_its_versions(
    case, site, network
):
    """An instance can't reach the store, so it may have missed a version."""
    await _start(site, {'m3': 'v1', 'm4': 'v1'}, 1)
    # The budget of this program is granted before the outage.
    program = {'program': 'p1', 'session_id': 's1'}
    await (await _begin_at(site, 'i1', 'm3', 'a', **program))
    site.store.mode = store_module.Mode.UNAVAILABLE
    await asyncio.sleep(7.0)
    response = await _resume(site, 'i1', 'b', None, **program)
    case.assertEqual(503, response.status)
    case.assertEqual([], _list_servers(site, 'b'))
    # It knows the origin of a stream that began here.
    await (await _begin_at(site, 'i1', 'm3', 'c', **program))
    response = await _resume(site, 'i1', 'd', 'c', **program)
    case.assertEqual(200, response.status)


async def test_resumed_stream_stays_at_its_service(case, site):
    """Two services of one route have servers of the same version."""
    await _start(site, {'m3': 'v1'})
    route = calls.make_route(
        'plan',
        'models',
        'stream',
        resumable=True,
        backends=[{'service': 'tools', 'weight': 1000}],
    )
    site.configure(2, routes=[route])
    await asyncio.sleep(0.2)
    origin = messages.StreamOrigin('models', 'v1')
    stream = resumptions.StreamName('a', '')
    site.instances['i1']._resumptions.record_begun(stream, origin, 3.0)
    for number in range(ATTEMPT_COUNT):
        response = await _resume(site, 'i2', f'b{number}', 'a')
        case.assertEqual(200, response.status)
        case.assertEqual(['m3'], _list_servers(site, f'b{number}'))


async def test_stream_of_a_service_without_weight_is_refused(case, site):
    """The route no longer sends requests to the service."""
    await _start(site, {'m3': 'v1'})
    route = calls.make_route(
        'plan',
        'tools',
        'stream',
        resumable=True,
        backends=[{'service': 'models', 'weight': 0}],
    )
    site.configure(2, routes=[route])
    await asyncio.sleep(0.2)
    origin = messages.StreamOrigin('models', 'v1')
    stream = resumptions.StreamName('a', '')
    site.instances['i1']._resumptions.record_begun(stream, origin, 3.0)
    response = await _resume(site, 'i2', 'b', 'a')
    case.assertEqual(503, response.status)
    case.assertEqual([], _list_servers(site, 'b'))


async def test_stream_of_a_moved_route_is_refused_at_once(case, site):
    """The route leads to another service since the stream began."""
    await _start(site, {'m3': 'v1', 'm4': 'v1'})
    await (await _begin_at(site, 'i1', 'm3', 'a'))
    route = calls.make_route('plan', 'tools', 'stream', resumable=True)
    site.configure(2, routes=[route])
    await asyncio.sleep(0.2)
    for resumes in ('a', None):
        response = await _resume(site, 'i2', f'b-{resumes}', resumes)
        case.assertEqual(503, response.status)
        case.assertEqual([], _list_servers(site, f'b-{resumes}'))


async def _replace_version(site):
    """Let servers of another version take the place of all others."""
    for name in ('m1', 'm2'):
        site.store.put('servers', name, None)
    await site.add_target('m3', software_version='v2')


async def test_streams_of_before_the_loss_of_all_instances_are_not_joined(
    case, site, network
):
    """Restarted instances took settings of a first start for the truth.

    They concluded that the present version had begun each stream.
    """
    await site.start(3)
    await (await _begin_at(site, 'i1', 'm1', 'a'))
    await _replace_version(site)
    await site_fixtures.restart_all_as_first(site, network)
    for number in range(1, 4):
        request = f'b{number}'
        response = await _resume(site, f'i{number}', request, 'a')
        case.assertEqual(503, response.status)
        case.assertEqual([], _list_servers(site, request))


async def test_streams_are_not_joined_after_a_death_within_the_first_start(
    case, site, network
):
    """The instances had served for less than a second when they died."""
    site.settling_seconds = 0.3
    await site.start(3)
    await (await _begin_at(site, 'i1', 'm1', 'a'))
    await _replace_version(site)
    await site_fixtures.restart_all_as_first(site, network)
    response = await _resume(site, 'i2', 'b', 'a')
    case.assertEqual(503, response.status)
    case.assertEqual([], _list_servers(site, 'b'))


async def test_streams_are_resumed_after_a_true_first_start(case, site):
    """Without a record, the only version that ever served is the origin."""
    await site.start(2)
    response = await _resume(site, 'i1', 'b', 'a')
    case.assertEqual(200, response.status)


async def test_instance_without_contact_does_not_trust_an_older_stream(
    case, site, network
):
    """It knew an older stream of the session only, of another version."""
    await _start(site, {'m3': 'v1', 'm4': 'v2'})
    session = {'program': 'p', 'session_id': 's'}
    await (await _begin_at(site, 'i1', 'm3', 'old', **session))
    network.block_path('10.1.0.1', '10.1.0.2')
    await (await _begin_at(site, 'i2', 'm4', 'new', **session))
    response = await _resume(site, 'i1', 'b', None, **session)
    case.assertEqual(503, response.status)
    case.assertEqual([], _list_servers(site, 'b'))


load_tests = fixtures.adapt(__name__, [site_fixtures])
