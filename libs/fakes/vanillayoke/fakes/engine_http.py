"""A stand-in engine over HTTP, with streams of server-sent events.

``python -m vanillayoke.fakes.engine_http --name=NAME`` prints its address
as one line of JSON.
"""

import typing

from aiohttp import web
import msgspec

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import engine_memory
from vanillayoke.fakes import engine_model
from vanillayoke.fakes import server
from vanillayoke.targets import credentials
from vanillayoke.targets import ports

_CONTROLS = (
    'cancel',
    'report_load',
    'list_cache_events',
    'export_cache',
    'import_cache',
    'read_state',
)


class EngineServer:
    """Serves an engine; with ``keys``, orders have to be signed."""

    def __init__(
        self,
        engine: engine_memory.EngineMemory,
        keys: typing.Sequence[credentials.SigningKey] = (),
    ) -> None:
        self.engine = engine
        self.keys = keys

    def build(self) -> web.Application:
        """Return the application."""
        application = server.make_application(
            self.engine, engine_model.EngineFaults
        )
        application.middlewares.append(self._break_if_dead)
        router = application.router
        router.add_post('/v1/chat/completions', self._stream)
        router.add_get('/v1/calls/{call_id}', self._resume)
        router.add_post('/v1/control/{name}', self._control)
        return application

    @web.middleware
    async def _break_if_dead(self, request, handler) -> web.StreamResponse:
        if self.engine.faults.dead and request.path != '/faults':
            request.transport.abort()
        return await handler(request)

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        faults = self.engine.take_faults()
        if faults.error:
            return web.Response(status=faults.error)
        if faults.refuse:
            return server.answer(engine_memory.REFUSED)
        call = _read_call(request.headers, await request.json())
        run = self.engine.start(call, faults.hang_after)
        return await self._send(request, run, faults)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        run = self.engine.runs.get(request.match_info['call_id'])
        if run is None:
            return web.Response(status=404)
        return await self._send(request, run, engine_model.EngineFaults())

    async def _send(self, request, run, faults) -> web.StreamResponse:
        if isinstance(run, failures.Failure):
            return server.answer(run)
        call_id = run.request.call_id
        response = web.StreamResponse(headers={'X-Request-Id': call_id})
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        async for item in self.engine.follow(run, faults):
            await response.write(_encode(call_id, item))
        if run.state != 'done' or faults.break_after is not None:
            request.transport.abort()
        return response

    async def _control(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        arguments = await request.json()
        if name == 'give_order':
            return server.answer(await self._obey(arguments, request.headers))
        if name not in _CONTROLS:
            return web.Response(status=404)
        return server.answer(await getattr(self.engine, name)(**arguments))

    async def _obey(self, arguments, headers) -> failures.Failure | None:
        order = ports.Order(**arguments)
        signature = credentials.read_headers(headers) if self.keys else None
        if isinstance(signature, credentials.Signature):
            now = self.engine.clock.wall()
            signature = credentials.verify_order(
                order, self.engine.name, signature, self.keys, now
            )
        return signature or await self.engine.give_order(order)


def _read_call(headers, body) -> ports.EngineRequest:
    """Return the port's request, of which the limits stay unused."""
    for message in body['messages']:
        message['tool_calls'] = [
            {'id': call['id'], **call['function']}
            for call in message.pop('tool_calls', ())
        ]
    return ports.EngineRequest(
        headers['X-Request-Id'],
        body['prompt_cache_key'],
        body['model'],
        body['messages'],
        (),
        body['max_tokens'],
        body['priority'],
        0.0,
        0.0,
    )


def _encode(call_id: str, item: tuple[str, ...] | ports.Completion) -> bytes:
    if not isinstance(item, ports.Completion):
        deltas = [{'content': piece} for piece in item]
        return b''.join(_write(call_id, d) for d in deltas) or b': alive\n\n'
    events = []
    for i, call in enumerate(item.tool_calls):
        function = {'name': call['name'], 'arguments': ''}
        head = {'index': i, 'id': call['id'], 'function': function}
        rest = {'arguments': call['arguments']}
        tail = {'index': i, 'function': rest}
        events += [_write(call_id, {'tool_calls': [p]}) for p in (head, tail)]
    usage = {
        'prompt_tokens': item.usage.prompt,
        'completion_tokens': item.usage.completion,
        'prompt_tokens_details': {'cached_tokens': item.usage.cached},
    }
    events.append(_write(call_id, {}, item.finish_reason, usage))
    return b''.join(events) + b'data: [DONE]\n\n'


def _write(call_id, delta, finish_reason=None, usage=None) -> bytes:
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
    chunk = {
        'id': call_id,
        'object': 'chat.completion.chunk',
        'choices': [choice],
        'usage': usage,
    }
    return b'data: ' + msgspec.json.encode(chunk) + b'\n\n'


def _build_named(name: str, clock: timers.TimerService) -> web.Application:
    engine = engine_memory.EngineMemory(name, clock)
    return EngineServer(engine).build()


if __name__ == '__main__':
    server.run(_build_named)
