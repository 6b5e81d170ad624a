"""Tests of streams that are resumed at an instance that is out of step."""

import asyncio

from tests.gateway import site_fixtures
from vanillayoke.standins import calls
from vanillayoke.standins import store as store_module
from vanillayoke.testing import fixtures

STORE_HOST = '10.9.0.1'
# Shorter than an instance trusts the news that it has of the targets.
NEWS_SECONDS = 1.0
# After this time an instance that is cut off counts as lost.
LOSS_SECONDS = 2.5
# Time for the changes of a table to reach an instance.
FEED_SECONDS = 0.1


def _get_host(site, instance):
    return site.instances[instance].settings.ip


def _cut_from_store(site, network, *instances):
    for instance in instances:
        network.block_path(_get_host(site, instance), STORE_HOST)


def _cut_from_peers(site, network, *instances):
    for instance in instances:
        for other in site.instances:
            if other not in instances:
                network.block_path(
                    _get_host(site, instance), _get_host(site, other)
                )


async def _replace_version(site, name='m3', version='v2'):
    """Let a target of another version take the place of all others."""
    for target in ('m1', 'm2'):
        site.store.put('servers', target, None)
    await site.add_target(name, software_version=version)
    await asyncio.sleep(FEED_SECONDS)


async def _keep_to(site, *names):
    """Let only some of the model targets accept requests."""
    for name, target in site.targets.items():
        if name.startswith('m'):
            target.queue_limit = 8 if name in names else 0


async def _begin(site, instance, request, program=None, session='s'):
    """Run a stream to its end; its caller has lost it, as far as it knows."""
    response = await _send(site, instance, request, program, session)
    assert response.status == 200, response
    return response


async def _send(
    site, instance, request, program=None, session='s', extra_headers=()
):
    if program is None:
        return await site.call(
            instance, 'plan', request=request, extra_headers=extra_headers
        )
    return await site.turn(
        instance,
        request,
        route='plan',
        program=program,
        session_id=session,
        extra_headers=extra_headers,
    )


async def _resume(
    site, instance, request, resumes=None, program=None, session='s'
):
    """Resume a stream; ``resumes`` is given by callers that name it."""
    extra_headers = [(b'Last-Event-Id', b'2')]
    if resumes is not None:
        extra_headers.append((b'Resumes', resumes.encode()))
    return await _send(
        site, instance, request, program, session, extra_headers
    )


def _forget_streams(site):
    """Lose all records of streams, as with the instances that held them."""
    for instance in site.instances.values():
        recorded = instance._resumptions
        for cache in (
            recorded._by_request,
            recorded._by_session,
            recorded._by_content,
        ):
            cache.prune(float('inf'))


def _list_servers(site, request):
    """Return the names of the targets that ran a request."""
    return [
        name
        for name, target in site.targets.items()
        for run in target.executions
        if run.request == request
    ]


def _assert_refused(case, site, response, request):
    case.assertEqual(503, response.status)
    case.assertIn(b'retry-after', response.headers)
    case.assertEqual([], _list_servers(site, request))


async def test_unnamed_stream_is_not_joined_without_the_store(
    case, site, network
):
    """An instance missed a new version, and nobody has a record by key."""
    await site.start(4)
    _cut_from_store(site, network, 'i1')
    await _replace_version(site)
    await _begin(site, 'i2', 'a')
    _forget_streams(site)
    response = await _resume(site, 'i1', 'b')
    _assert_refused(case, site, response, 'b')


async def test_named_stream_is_not_joined_without_store_and_peers(
    case, site, network
):
    """The instances with the record did not answer in time."""
    await site.start(4)
    *others, last = site_fixtures.rank_coordinators('a', site.instances)
    _cut_from_store(site, network, last)
    await _replace_version(site)
    await _begin(site, others[0], 'a')
    _cut_from_peers(site, network, last)
    response = await _resume(site, last, 'b', 'a')
    _assert_refused(case, site, response, 'b')


async def test_stream_is_not_joined_by_the_word_of_a_stale_peer(
    case, site, network
):
    """All others that answer missed the new version, too.

    The first peer that knew of one version was believed.
    """
    await site.start(4)
    _cut_from_store(site, network, 'i1', 'i2', 'i3')
    await site.add_target('m3', software_version='v2')
    await asyncio.sleep(FEED_SECONDS)
    await _keep_to(site, 'm3')
    await _begin(site, 'i4', 'a')
    await _keep_to(site, 'm1', 'm2', 'm3')
    site_fixtures.kill(site, network, 'i4')
    _forget_streams(site)
    await site.add_instance('i5')
    await asyncio.sleep(NEWS_SECONDS)
    response = await _resume(site, 'i5', 'b')
    _assert_refused(case, site, response, 'b')


async def test_stream_is_not_joined_on_a_response_that_was_late(
    case, site, network
):
    """An instance stood still and then read what the store had sent before.

    It took the time of reading for that of the news.
    """
    await site.start(2)
    host = _get_host(site, 'i1')
    # The store answers the next call for changes once this one has waited.
    site.register('m1', '10.8.0.1:8080', born=2)
    await asyncio.sleep(2.3)
    network.hold_packets(STORE_HOST, host)
    await asyncio.sleep(0.15)
    await _replace_version(site)
    await _begin(site, 'i2', 'a')
    network.release_packets(STORE_HOST, host)
    _cut_from_store(site, network, 'i1')
    _forget_streams(site)
    await asyncio.sleep(1.0)
    response = await _resume(site, 'i1', 'b')
    _assert_refused(case, site, response, 'b')


async def test_stream_is_not_joined_while_the_feed_of_targets_lags(case, site):
    """Reads of the store were current, but no change was told."""
    await site.start(2)
    site.store.held_feeds.add('servers')
    await site.add_target('m3', software_version='v2')
    await site.add_instance('i3')
    await asyncio.sleep(0.5)
    await _keep_to(site, 'm3')
    await _begin(site, 'i3', 'a')
    await _keep_to(site, 'm1', 'm2', 'm3')
    _forget_streams(site)
    response = await _resume(site, 'i1', 'b')
    _assert_refused(case, site, response, 'b')


async def test_stream_of_a_moved_route_is_not_joined_without_the_store(
    case, site, network
):
    """The route led to another service, which one instance did not know."""
    await site.start(4)
    _cut_from_store(site, network, 'i1')
    _cut_from_peers(site, network, 'i1')
    site.targets['t1'].event_count = site.targets['t2'].event_count = 4
    route = calls.make_route('plan', 'tools', 'stream', resumable=True)
    site.configure(2, routes=[route])
    await asyncio.sleep(FEED_SECONDS)
    await _begin(site, 'i2', 'a')
    response = await _resume(site, 'i1', 'b')
    _assert_refused(case, site, response, 'b')


async def test_others_do_not_vouch_for_a_service_that_a_route_has_left(
    case, site, network
):
    """An instance that has long been cut off asked them about the old one.

    It had only one version, and the route had moved before the window.
    """
    await site.start(4)
    _cut_from_store(site, network, 'i1')
    _cut_from_peers(site, network, 'i1')
    site.targets['t1'].event_count = site.targets['t2'].event_count = 4
    route = calls.make_route('plan', 'tools', 'stream', resumable=True)
    site.configure(2, routes=[route])
    await asyncio.sleep(12.0)
    await _begin(site, 'i2', 'a')
    _forget_streams(site)
    host = _get_host(site, 'i1')
    for name in ('i2', 'i3', 'i4'):
        path = frozenset((host, _get_host(site, name)))
        network.blocked_paths.discard(path)
    response = await _resume(site, 'i1', 'b')
    _assert_refused(case, site, response, 'b')


async def _resume_beside_a_newer_stream(site, network, delay):
    """Resume a session whose newest stream only a lost replica knows."""
    await site.start(6)
    await site.add_target('m3', software_version='v2')
    await asyncio.sleep(FEED_SECONDS)
    await _keep_to(site, 'm1')
    first, second, *others, beginner = site_fixtures.rank_coordinators(
        'p/s', list(site.instances)
    )
    await _begin(site, beginner, 'old', 'p')
    # The second replica is cut off from all but the instance that began the
    # newest stream.
    for name in (first, *others):
        network.block_path(_get_host(site, second), _get_host(site, name))
    network.block_path(_get_host(site, beginner), _get_host(site, first))
    await _keep_to(site, 'm3')
    await _begin(site, beginner, 'new', 'p')
    await _keep_to(site, 'm1', 'm3')
    # Nor does it refute by way of that instance that it is lost.
    network.block_path(_get_host(site, second), _get_host(site, beginner))
    await asyncio.sleep(delay)
    return await _resume(site, others[1], 'b', program='p')


async def test_older_stream_of_a_session_needs_all_replicas(
    case, site, network
):
    """One of the instances that may know a newer stream did not answer.

    The newest stream known to the others was taken for the one that broke.
    """
    response = await _resume_beside_a_newer_stream(site, network, 0.0)
    _assert_refused(case, site, response, 'b')


async def test_older_stream_of_a_session_needs_lost_replicas(
    case, site, network
):
    """The replica that knew a newer stream had been given up as lost."""
    response = await _resume_beside_a_newer_stream(site, network, LOSS_SECONDS)
    _assert_refused(case, site, response, 'b')


# What can be served


async def test_unnamed_stream_without_a_program_is_found(case, site):
    """It had no key, and was refused whenever two versions served."""
    await site.start(4)
    await site.add_target('m3', software_version='v2')
    await asyncio.sleep(FEED_SECONDS)
    for number in range(8):
        await _keep_to(site, 'm3')
        await _begin(site, 'i2', f'a{number}')
        await _keep_to(site, 'm1', 'm2', 'm3')
        request = f'b{number}'
        response = await _resume(site, f'i{1 + number % 4}', request)
        case.assertEqual(200, response.status)
        case.assertEqual(['m3'], _list_servers(site, request))


async def test_instance_learns_of_the_targets_that_a_stream_needs(case, site):
    """Its feed lags: it knows the origin, but no target of the version."""
    await site.start(2)
    site.store.held_feeds.add('servers')
    await site.add_target('m3', software_version='v2')
    await site.add_instance('i3')
    await asyncio.sleep(0.5)
    await _keep_to(site, 'm3')
    await _begin(site, 'i3', 'a')
    await _keep_to(site, 'm1', 'm2', 'm3')
    response = await _resume(site, 'i1', 'b', 'a')
    case.assertEqual(200, response.status)
    case.assertEqual(['m3'], _list_servers(site, 'b'))


async def test_instance_learns_where_the_route_leads_that_a_stream_needs(
    case, site, network
):
    """It knows the origin, but an old configuration of the route."""
    await site.start(3)
    site.targets['t1'].event_count = site.targets['t2'].event_count = 4
    site.store.held_feeds.add('op')
    # No gossip of the new configuration arrives.
    _cut_from_peers(site, network, 'i1')
    route = calls.make_route('plan', 'tools', 'stream', resumable=True)
    site.configure(2, routes=[route])
    await site.add_instance('i4')
    network.block_path(_get_host(site, 'i1'), _get_host(site, 'i4'))
    await asyncio.sleep(0.6)
    await _begin(site, 'i4', 'a')
    network.restore_paths()
    case.assertEqual(1, site.instances['i1']._catalog.version)
    response = await _resume(site, 'i1', 'b', 'a')
    case.assertEqual(200, response.status)
    case.assertIn(_list_servers(site, 'b'), (['t1'], ['t2']))


async def test_version_is_not_called_gone_on_old_knowledge(
    case, site, network
):
    """Coming back helps, as another instance may know its targets."""
    await site.start(4)
    _cut_from_store(site, network, 'i1')
    await site.add_target('m3', software_version='v2')
    await asyncio.sleep(FEED_SECONDS)
    await _keep_to(site, 'm3')
    await _begin(site, 'i2', 'a')
    await _keep_to(site, 'm1', 'm2', 'm3')
    response = await _resume(site, 'i1', 'b', 'a')
    if response.status == 200:
        case.assertEqual(['m3'], _list_servers(site, 'b'))
    else:
        _assert_refused(case, site, response, 'b')


async def test_equal_streams_of_two_versions_are_not_confused(case, site):
    """Two callers ask for the same; one of them does not name its stream."""
    await site.start(4)
    await site.add_target('m3', software_version='v2')
    await asyncio.sleep(FEED_SECONDS)
    for name in ('m1', 'm3'):
        await _keep_to(site, name)
        await _begin(site, 'i2', f'a-{name}')
    await _keep_to(site, 'm1', 'm3')
    for number in range(1, 5):
        response = await _resume(site, f'i{number}', f'b{number}')
        _assert_refused(case, site, response, f'b{number}')


async def test_cut_instance_resumes_where_one_version_serves(
    case, site, network
):
    """An instance without the store asks others what they know of it."""
    await site.start(4)
    await _begin(site, 'i2', 'a')
    _cut_from_store(site, network, 'i1')
    await asyncio.sleep(NEWS_SECONDS)
    response = await _resume(site, 'i1', 'b')
    case.assertEqual(200, response.status)


async def test_instance_that_was_cut_resumes_at_once(case, site, network):
    """It must not refuse for seconds after a short cut."""
    await site.start(4)
    await _begin(site, 'i2', 'a')
    _cut_from_store(site, network, 'i1')
    _cut_from_peers(site, network, 'i1')
    await asyncio.sleep(4.0)
    network.restore_paths()
    await asyncio.sleep(1.0)
    response = await _resume(site, 'i1', 'b')
    case.assertEqual(200, response.status)


async def test_resumption_is_refused_soon_while_the_store_is_silent(
    case, site
):
    """Nobody can confirm which versions serve; the caller must not wait."""
    await site.start(4)
    await _begin(site, 'i2', 'a')
    site.store.mode = store_module.Mode.UNRESPONSIVE
    started_at = site.timers.now()
    response = await _resume(site, 'i1', 'b')
    case.assertIn(response.status, (200, 503))
    case.assertLess(site.timers.now() - started_at, 1.0)


async def test_many_resumptions_share_the_reads_of_the_store(case, site):
    """A crowd of callers that come back must not exhaust the store."""
    await site.start(2)
    await _begin(site, 'i2', 'a')
    before = site.store.calls.total()
    responses = await asyncio.gather(
        *(_resume(site, 'i1', f'b{number}') for number in range(40))
    )
    case.assertEqual({200}, {response.status for response in responses})
    case.assertLess(site.store.calls.total() - before, 20)


load_tests = fixtures.adapt(__name__, [site_fixtures])
