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
_LARGEST_BODY = 16 * 1024 * 1024


def answer(result: typing.Any) -> web.Response:
    """Answer a control request with JSON, or with a failure's status."""
    if not isinstance(result, failures.Failure):
        if hasattr(result, '_asdict'):
            result = result._asdict()
        body = msgspec.json.encode(result)
        return web.Response(body=body, content_type='application/json')
    status = _STATUSES.get(result.kind, 500)
    headers = {'X-Not-Run': 'true'} if status == 503 else {}
    return web.Response(status=status, headers=headers)


def make_application(target: typing.Any, faults: type) -> web.Application:
    """Return an application that takes a target's faults."""

    async def set_faults(request: web.Request) -> web.Response:
        body = await request.read()
        target.set_faults(msgspec.json.decode(body, type=faults))
        return web.Response()

    application = web.Application(client_max_size=_LARGEST_BODY)
    application.router.add_post('/faults', set_faults)
    return application


async def serve(application: web.Application, address: str) -> web.AppRunner:
    """Serve at ``IP:PORT``; cleaning up the runner ends it."""
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def get_address(runner: web.AppRunner) -> str:
    """Return the ``IP:PORT`` that a runner listens at."""
    return '{}:{}'.format(*runner.addresses[0][:2])


def run(build: typing.Callable[[str, timers.TimerService], typing.Any]):
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
