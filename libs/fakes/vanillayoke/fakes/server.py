"""What the HTTP stand-ins of targets share."""

import asyncio
import typing

from absl import app
from absl import flags
from aiohttp import web
import msgspec

from vanillayoke.core import failures
from vanillayoke.core import timers

_STATUSES = {
    failures.Kind.TARGET_REFUSED: 503,
    failures.Kind.CONFLICT: 409,
    failures.Kind.UNAUTHENTICATED: 401,
}


def answer(result: typing.Any) -> web.Response:
    """Answer with JSON, or with the status of a failure."""
    if isinstance(result, failures.Failure):
        status = _STATUSES.get(result.kind, 500)
        unrun = str(status == 503).lower()
        return web.Response(status=status, headers={'X-Not-Run': unrun})
    if isinstance(result, list):
        result = [item._asdict() for item in result]
    elif isinstance(result, tuple):
        result = result._asdict()
    return web.Response(body=msgspec.json.encode(result))


def break_connection(request: web.Request) -> None:
    """Break a request's connection; the client may have done it before."""
    if request.transport is not None:
        request.transport.abort()


def make_application(target, faults_type: type, routes) -> web.Application:
    """Return an application with routes and ``POST /faults``."""

    async def set_faults(request: web.Request) -> web.Response:
        body = await request.read()
        target.set_faults(msgspec.json.decode(body, type=faults_type))
        return web.Response()

    application = web.Application(client_max_size=16 * 1024 * 1024)
    application.add_routes([web.post('/faults', set_faults), *routes])
    return application


async def serve(application: web.Application, address: str) -> web.AppRunner:
    """Serve at ``IP:PORT``; cleaning up the runner ends it."""
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def get_address(runner: web.AppRunner) -> str:
    """Return the ``IP:PORT`` that a runner listens at."""
    return '{}:{}'.format(*runner.addresses[0][:2])


def run(build: typing.Callable[[str, timers.TimerService], web.Application]):
    """Serve what ``build`` makes of a name until the process is stopped."""

    async def serve_forever() -> None:
        clock = timers.LoopTimers(asyncio.get_running_loop())
        application = build(flags.FLAGS.name, clock)
        runner = await serve(application, flags.FLAGS.address)
        print(f'{{"address": "{get_address(runner)}"}}', flush=True)
        await asyncio.Event().wait()

    flags.DEFINE_string('address', '127.0.0.1:0', 'IP:PORT to listen at.')
    flags.DEFINE_string('name', 'target', 'Name of the target.')
    app.run(lambda argv: asyncio.run(serve_forever()))
