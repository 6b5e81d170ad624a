"""A stand-in service over HTTP.

``python -m vanillayoke.fakes.service_http --name=NAME`` prints its address
as one line of JSON; ``GET /executions`` counts by idempotency key.
"""

from aiohttp import web

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import server
from vanillayoke.fakes import service_memory
from vanillayoke.targets import ports


def build(service: service_memory.ServiceMemory) -> web.Application:
    """Return the application of a service."""

    async def call(request: web.Request) -> web.Response:
        head = (request.headers['Idempotency-Key'], request.path)
        arguments = await request.text()
        result = await service.execute(
            ports.ServiceRequest(*head, arguments, 0.0)
        )
        if isinstance(result, ports.ServiceAnswer):
            return web.Response(text=result.body)
        if result.kind is failures.Kind.OUTCOME_UNKNOWN:
            server.break_connection(request)
        return server.answer(result)

    async def query(request: web.Request) -> web.Response:
        result = await service.query(request.match_info['key'])
        if isinstance(result, ports.ServiceAnswer):
            return web.Response(text=result.body)
        unrun = str(result is None).lower()
        return web.Response(status=404, headers={'X-Not-Run': unrun})

    async def report_load(request: web.Request) -> web.Response:
        return server.answer(await service.report_load())

    async def list_executions(request: web.Request) -> web.Response:
        return server.answer(service.executions)

    routes = [
        web.get('/executions', list_executions),
        web.get('/v1/calls/{key}', query),
        web.post('/v1/control/report_load', report_load),
        web.post('/{path:.*}', call),
    ]
    faults_type = service_memory.ServiceFaults
    return server.make_application(service, faults_type, routes)


def _build(name: str, clock: timers.TimerService) -> web.Application:
    return build(service_memory.ServiceMemory(name, clock, has_query=True))


if __name__ == '__main__':
    server.run(_build)
