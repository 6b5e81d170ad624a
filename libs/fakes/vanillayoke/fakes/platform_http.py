"""The platform's services over HTTP, kept in memory.

``python -m vanillayoke.fakes.platform_http --address=127.0.0.1:0`` prints
its address as one line of JSON. ``POST /faults`` takes ``PlatformFaults``;
``POST /instances`` registers an instance and ``DELETE`` takes it off.
"""

import asyncio
import random
import typing

from absl import app
from absl import flags
from aiohttp import web

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import platform_memory
from vanillayoke.platform import links
from vanillayoke.platform import messages
from vanillayoke.platform import ports

_LARGEST_BODY = 64 * 1024 * 1024
_REFUSED = 503
# Each takes the caller's ports, the query and the body.
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
    (
        'POST',
        '/object/deletions',
        lambda p, q, b: p.objects.delete(q['key']),
    ),
    ('GET', '/objects', lambda p, q, b: p.objects.list_keys(q['prefix'])),
    ('GET', '/weights', lambda p, q, b: p.weights.list_weights()),
    ('GET', '/weights/rate', lambda p, q, b: p.weights.read_rate()),
    ('GET', '/instances', lambda p, q, b: p.instances.list_instances()),
)


async def serve(
    memory: platform_memory.MemoryPlatform, address: str
) -> web.AppRunner:
    """Serve a platform at ``IP:PORT``; cleaning up the runner ends it."""
    application = web.Application(client_max_size=_LARGEST_BODY)
    for method, path, act in _ROUTES:
        application.router.add_route(method, path, _bind(memory, act))
    _add_controls(application, memory)
    runner = web.AppRunner(application)
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def _bind(
    memory: platform_memory.MemoryPlatform, act: typing.Callable
) -> typing.Callable:
    async def handle(request: web.Request) -> web.Response:
        caller = request.headers.get('User-Agent', '')
        body = await request.read()
        result = await act(memory.for_caller(caller), request.query, body)
        return _answer(request, result)

    return handle


def _answer(request: web.Request, result: typing.Any) -> web.Response:
    match result:
        case None:
            missing = request.method == 'GET'
            return web.Response(
                status=links.NOT_FOUND if missing else links.OK
            )
        case bytes():
            return web.Response(body=result)
        case failures.Failure(failures.Kind.STORE_UNCERTAIN):
            # The caller must see what a lost reply looks like to it.
            request.transport.abort()
            return web.Response()
        case failures.Failure(failures.Kind.STORE_UNAVAILABLE, reason):
            refusal = messages.RefusalMessage(False, reason)
            return web.Response(status=_REFUSED, body=messages.encode(refusal))
        case ports.Conflict() | failures.Failure():
            body = messages.encode(result)
            return web.Response(status=links.CONFLICT, body=body)
    return web.Response(body=messages.encode(result))


def _add_controls(
    application: web.Application, memory: platform_memory.MemoryPlatform
) -> None:
    async def register(request: web.Request) -> web.Response:
        body = await request.read()
        instance = messages.decode(body, ports.ListedInstance)
        memory.instances.register(instance)
        return web.Response()

    async def remove(request: web.Request) -> web.Response:
        memory.instances.remove(request.query['instance'])
        return web.Response()

    async def set_faults(request: web.Request) -> web.Response:
        body = await request.read()
        faults = messages.decode(body, platform_memory.PlatformFaults)
        for name in faults.__struct_fields__:
            setattr(memory.faults, name, getattr(faults, name))
        return web.Response()

    application.router.add_post('/instances', register)
    application.router.add_delete('/instances', remove)
    application.router.add_post('/faults', set_faults)


async def _run(address: str) -> None:
    service = timers.LoopTimers(asyncio.get_running_loop())
    memory = platform_memory.MemoryPlatform(service, random.Random())
    runner = await serve(memory, address)
    host, port = runner.addresses[0][:2]
    print(f'{{"address": "{host}:{port}"}}', flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


def main(argv: typing.Sequence[str]) -> None:
    """Serve until the process is stopped."""
    asyncio.run(_run(flags.FLAGS.address))


if __name__ == '__main__':
    flags.DEFINE_string('address', '127.0.0.1:0', 'IP:PORT to listen at.')
    app.run(main)
