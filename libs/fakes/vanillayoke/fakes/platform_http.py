"""The platform's services over HTTP, kept in memory.

``python -m vanillayoke.fakes.platform_http --address=127.0.0.1:0`` prints
its address as one line of JSON. ``POST /faults`` takes ``PlatformFaults``;
``POST /instances`` registers an instance and ``DELETE`` takes it off.
"""

import random
import typing

from aiohttp import web

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import platform_memory
from vanillayoke.fakes import server
from vanillayoke.platform import links
from vanillayoke.platform import messages
from vanillayoke.platform import ports

_REFUSED = 503
# Each takes the platform as the caller reaches it, the query and the body.
_ROUTES: tuple[tuple[str, str, typing.Callable], ...] = (
    ('GET', '/row', lambda p, q, b: p.table.read(q['key'])),
    (
        'GET',
        '/rows',
        lambda p, q, b: p.table.scan(q['prefix'], q['after'], int(q['limit'])),
    ),
    (
        'POST',
        '/transactions',
        lambda p, q, b: p.table.transact(*messages.decode_transaction(b)),
    ),
    ('GET', '/object', lambda p, q, b: p.objects.get(q['key'])),
    ('POST', '/object', lambda p, q, b: p.objects.put(q['key'], b)),
    ('POST', '/object/deletions', lambda p, q, b: p.objects.delete(q['key'])),
    ('GET', '/objects', lambda p, q, b: p.objects.list_keys(q['prefix'])),
    ('GET', '/weights', lambda p, q, b: p.weights.list_weights()),
    ('GET', '/weights/rate', lambda p, q, b: p.weights.read_rate()),
    ('GET', '/instances', lambda p, q, b: p.instances.list_instances()),
)


def build(memory: platform_memory.MemoryPlatform) -> web.Application:
    """Return the application; ``User-Agent`` tells who calls."""

    def bind(act: typing.Callable) -> typing.Callable:
        async def handle(request: web.Request) -> web.Response:
            reached = memory.for_caller(request.headers.get('User-Agent', ''))
            result = await act(reached, request.query, await request.read())
            return _answer(request, result)

        return handle

    async def register(request: web.Request) -> web.Response:
        body = await request.read()
        listed = messages.decode(body, ports.ListedInstance)
        memory.instances.register(listed)
        return web.Response()

    async def remove(request: web.Request) -> web.Response:
        memory.instances.remove(request.query['instance'])
        return web.Response()

    routes = [
        web.route(method, path, bind(act)) for method, path, act in _ROUTES
    ]
    routes += [
        web.post('/instances', register),
        web.delete('/instances', remove),
    ]
    faults_type = platform_memory.PlatformFaults
    return server.make_application(memory, faults_type, routes)


def _answer(request: web.Request, result: typing.Any) -> web.Response:
    match result:
        case None:
            missing = request.method == 'GET'
            status = links.NOT_FOUND if missing else links.OK
            return web.Response(status=status)
        case bytes():
            return web.Response(body=result)
        case failures.Failure(failures.Kind.STORE_UNCERTAIN):
            request.transport.abort()
            return web.Response()
        case failures.Failure(failures.Kind.STORE_UNAVAILABLE, reason):
            refusal = messages.RefusalMessage(False, reason)
            return web.Response(status=_REFUSED, body=messages.encode(refusal))
        case ports.Conflict() | failures.Failure():
            body = messages.encode(result)
            return web.Response(status=links.CONFLICT, body=body)
    return web.Response(body=messages.encode(result))


def _build_named(name: str, clock: timers.TimerService) -> web.Application:
    return build(platform_memory.MemoryPlatform(clock, random.Random(name)))


if __name__ == '__main__':
    server.run(_build_named)
