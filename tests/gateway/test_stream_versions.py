"""Tests that streams continue at the software version that began them."""

import asyncio

from tests.gateway import site_fixtures
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


async def _begin_at(site, instance, target, request):
    """Return the task of a turn whose stream has begun at a target."""
    others = [
        other
        for name, other in site.targets.items()
        if name.startswith('m') and name != target
    ]
    for other in others:
        other.queue_limit = 0
    task = asyncio.ensure_future(
        site.turn(instance, request, route='plan', program=request)
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


async def _resume(site, instance, request, resumes, last_event=b'2'):
    """Resume a stream as a caller does that has lost its connection."""
    extra_headers = [(b'Last-Event-Id', last_event)]
    if resumes is not None:
        extra_headers.append((b'Resumes', resumes.encode()))
    return await site.turn(
        instance,
        request,
        route='plan',
        program=request,
        extra_headers=extra_headers,
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


load_tests = fixtures.adapt(__name__, [site_fixtures])
