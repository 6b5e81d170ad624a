"""A stand-in service over HTTP.

``python -m vanillayoke.fakes.service_http --name=NAME`` prints its address
as one line of JSON; ``GET /executions`` counts executions by idempotency
key.
"""

from aiohttp import web

from vanillayoke.core import timers
from vanillayoke.fakes import server
from vanillayoke.fakes import service_memory
from vanillayoke.targets import ports


def build(service: service_memory.ServiceMemory) -> web.Application:
    """Return the application of a service."""

    async def call(request: web.Request) -> web.Response:
        key = request.headers.get('Idempotency-Key', '')
        arguments = await request.text()
        result = await service.execute(
            ports.ServiceRequest(key, request.path, arguments, 0.0)
        )
        if result is None:
            request.transport.abort()
        if isinstance(result, ports.ServiceAnswer):
            return web.Response(text=result.body)
        return server.answer(result)

    async def query(request: web.Request) -> web.Response:
        result = await service.query(request.match_info['key'])
        if result is None:
            return web.Response(status=404, headers={'X-Not-Run': 'true'})
        if isinstance(result, ports.ServiceAnswer):
            return web.Response(text=result.body)
        return web.Response(status=404)

    async def report_load(request: web.Request) -> web.Response:
        return server.answer(await service.report_load())

    async def list_executions(request: web.Request) -> web.Response:
        return server.answer(service.executions)

    application = server.make_application(
        service, service_memory.ServiceFaults
    )
    application.router.add_get('/executions', list_executions)
    application.router.add_get('/v1/calls/{key}', query)
    application.router.add_post('/v1/control/report_load', report_load)
    application.router.add_post('/{path:.*}', call)
    return application


def _build_named(name: str, clock: timers.TimerService) -> web.Application:
    service = service_memory.ServiceMemory(name, clock, has_query=True)
    return build(service)


if __name__ == '__main__':
    server.run(_build_named)
