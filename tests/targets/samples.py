"""Requests, served stand-ins and adapters that the target tests share."""

import contextlib

from aiohttp import web

from vanillayoke.core import timers
from vanillayoke.fakes import engine_http as engine_server
from vanillayoke.fakes import engine_memory
from vanillayoke.fakes import engine_model
from vanillayoke.fakes import server
from vanillayoke.fakes import service_http as service_server
from vanillayoke.fakes import service_memory
from vanillayoke.settings import configuration
from vanillayoke.targets import engine_http
from vanillayoke.targets import ports
from vanillayoke.targets import service_http
from vanillayoke.testing import fixtures


def make_request(call_id='c1', text='hello [[say:40]]', **changes):
    request = ports.EngineRequest(
        call_id=call_id,
        session='s1',
        model='base',
        messages=[{'role': 'user', 'content': text}],
        tools=[{'name': 'find', 'description': '', 'parameters': {}}],
        max_tokens=1000,
        priority=1,
        timeout=30.0,
        progress_timeout=10.0,
    )
    return request._replace(**changes)


def make_order(epoch=5, number=1, subject='s1'):
    return ports.Order('release', subject, '', epoch, number)


def make_settings(address, kind='engine', **options):
    return configuration.TargetSettings(
        kind=kind, address=address, zone='a', region='r', **options
    )


async def collect(items) -> list:
    return [item async for item in items]


def join_text(items) -> str:
    return ''.join(i.text for i in items if isinstance(i, ports.Delta))


class Stage:
    """Served stand-ins and adapters, all closed at the end of a test."""

    def __init__(self, loop) -> None:
        self.clock = timers.LoopTimers(loop)
        options = engine_model.EngineOptions(
            step=0.0005, event_delay=0.0, fencing=True
        )
        self.engine = engine_memory.EngineMemory('e1', self.clock, options)
        self.service = service_memory.ServiceMemory(
            't1', self.clock, has_query=True
        )
        self.closing = contextlib.AsyncExitStack()

    async def serve(self, application: web.Application) -> str:
        """Serve an application; return its address."""
        runner = await server.serve(application, '127.0.0.1:0')
        self.closing.push_async_callback(runner.cleanup)
        return server.get_address(runner)

    async def serve_handler(self, handler) -> str:
        """Serve one handler for every request; return its address."""
        application = web.Application()
        application.router.add_route('*', '/{path:.*}', handler)
        return await self.serve(application)

    async def start_engine(self, keys=(), key=None):
        """Serve the stand-in engine; return an adapter to it."""
        application = engine_server.EngineServer(self.engine, keys).build()
        return self.connect_engine(await self.serve(application), key)

    def connect_engine(self, address, key=None) -> engine_http.HttpEngine:
        settings = make_settings(address, signed_orders=key is not None)
        adapter = engine_http.HttpEngine.from_config(
            'e1', settings, self.clock, key
        )
        self.closing.push_async_callback(adapter.close)
        return adapter

    async def start_service(self):
        """Serve the stand-in service; return an adapter to it."""
        application = service_server.build(self.service)
        return self.connect_service(await self.serve(application))

    def connect_service(self, address, query=True):
        settings = make_settings(address, 'service', query=query)
        adapter = service_http.HttpService.from_config(settings, self.clock)
        self.closing.push_async_callback(adapter.close)
        return adapter


@fixtures.fixture
def stage(loop):
    made = Stage(loop)
    yield made
    loop.run_until_complete(made.closing.aclose())
