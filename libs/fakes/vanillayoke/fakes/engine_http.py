"""A stand-in engine over HTTP, with streams of server-sent events.

``python -m vanillayoke.fakes.engine_http --name=NAME`` prints its address
as one line of JSON.
"""

import contextlib

from aiohttp import web
import msgspec

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import engine_memory
from vanillayoke.fakes import engine_model
from vanillayoke.fakes import server
from vanillayoke.targets import credentials
from vanillayoke.targets import ports


class EngineServer:
    """Serves an engine; with ``keys``, orders have to be signed."""

    def __init__(
        self,
        engine: engine_memory.EngineMemory,
        keys: tuple[credentials.SigningKey, ...] = (),
    ) -> None:
        self.engine = engine
        self.keys = keys

    def build(self) -> web.Application:
        """Return the application."""
        routes = [
            web.post('/v1/chat/completions', self._stream),
            web.get('/v1/calls/{call_id}', self._resume),
            web.post('/v1/control/{name}', self._control),
        ]
        faults_type = engine_model.EngineFaults
        return server.make_application(self.engine, faults_type, routes)

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        faults = self.engine.take_faults()
        call = _read_call(request.headers, await request.json())
        run = self.engine.start(call, faults)
        return await self._send(request, run, faults)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        run = self.engine.runs.get(request.match_info['call_id'])
        if run is None:
            return web.Response(status=404)
        return await self._send(request, run, engine_model.EngineFaults())

    async def _send(self, request, run, faults) -> web.StreamResponse:
        if self.engine.faults.dead:
            server.break_connection(request)
        if isinstance(run, failures.Failure):
            return server.answer(run)
        call_id = run.request.call_id
        response = web.StreamResponse(headers={'X-Request-Id': call_id})
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        with contextlib.suppress(ConnectionResetError):
            async for item in self.engine.follow(run, faults):
                await response.write(_encode(call_id, item))
        if run.state != 'done' or faults.stream == 'break':
            server.break_connection(request)
        return response

    async def _control(self, request: web.Request) -> web.Response:
        if self.engine.faults.dead:
            server.break_connection(request)
        name, arguments = request.match_info['name'], await request.json()
        if name != 'give_order':
            result = await getattr(self.engine, name)(**arguments)
            return server.answer(result)
        order = ports.Order(**arguments)
        refusal = self._check(order, request.headers) if self.keys else None
        return server.answer(refusal or await self.engine.give_order(order))

    def _check(self, order, headers) -> failures.Failure | None:
        signature = credentials.read_headers(headers)
        if isinstance(signature, failures.Failure):
            return signature
        name, now = self.engine.name, self.engine.clock.wall()
        return credentials.verify_order(order, name, signature, self.keys, now)


def _read_call(headers, body) -> ports.EngineRequest:
    """Return the port's request, whose time limits are the caller's."""
    names = ('prompt_cache_key', 'model', 'messages')
    known = [headers['X-Request-Id'], *(body[name] for name in names), ()]
    known += [body['max_tokens'], body['priority'], 0.0, 0.0]
    return ports.EngineRequest(*known)


def _encode(call_id: str, item: tuple[str, ...] | ports.Completion) -> bytes:
    if not isinstance(item, ports.Completion):
        deltas = [{'content': piece} for piece in item]
        return b''.join(_write(call_id, d) for d in deltas) or b': alive\n\n'
    events = []
    for i, call in enumerate(item.tool_calls):
        function = {'name': call['name'], 'arguments': ''}
        head = {'index': i, 'id': call['id'], 'function': function}
        tail = {'index': i, 'function': {'arguments': call['arguments']}}
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
    chunk = {'id': call_id, 'object': 'chat.completion.chunk'}
    chunk |= {'choices': [choice], 'usage': usage}
    return b'data: ' + msgspec.json.encode(chunk) + b'\n\n'


def _build(name: str, clock: timers.TimerService) -> web.Application:
    return EngineServer(engine_memory.EngineMemory(name, clock)).build()


if __name__ == '__main__':
    server.run(_build)
