"""Tests of the engine adapter against the HTTP stand-in."""

from vanillayoke.core import timers
from vanillayoke.fakes import engine_http as fake_http
from vanillayoke.fakes import engine_memory
from vanillayoke.fakes import engine_model
from vanillayoke.fakes import script
from vanillayoke.fakes import server
from vanillayoke.settings import configuration
from vanillayoke.targets import credentials
from vanillayoke.targets import engine_http
from vanillayoke.targets import ports
from vanillayoke.testing import fixtures

KEYS = (
    credentials.SigningKey('old', b'first'),
    credentials.SigningKey('new', b'second'),
)


class Bench:
    """A served stand-in and the adapter towards it."""

    def __init__(self, loop) -> None:
        self.clock = timers.LoopTimers(loop)
        options = engine_model.EngineOptions(step=0.0005, fencing=True)
        self.engine = engine_memory.EngineMemory('e1', self.clock, options)
        self.runner = None
        self.adapter = None

    async def start(self, keys=(), key=None) -> engine_http.HttpEngine:
        application = fake_http.EngineServer(self.engine, keys).build()
        self.runner = await server.serve(application, '127.0.0.1:0')
        settings = configuration.TargetSettings(
            kind='engine',
            address=server.get_address(self.runner),
            zone='a',
            region='r',
            signed_orders=key is not None,
        )
        self.adapter = engine_http.HttpEngine.from_config(
            'e1', settings, self.clock, key
        )
        return self.adapter

    async def stop(self) -> None:
        if self.adapter:
            await self.adapter.close()
        if self.runner:
            await self.runner.cleanup()


@fixtures.fixture
def bench(loop):
    made = Bench(loop)
    yield made
    loop.run_until_complete(made.stop())


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


async def collect(items) -> list:
    return [item async for item in items]


def join_text(items) -> str:
    return ''.join(i.text for i in items if isinstance(i, ports.Delta))


@fixtures.on_real_loop
async def test_answer_is_the_engines_byte_for_byte(case, bench):
    adapter = await bench.start()
    request = make_request()
    expected = ''.join(script.write_answer(request.messages).pieces)
    items = await collect(adapter.stream(request))
    case.assertEqual(expected, items[-1].text)
    case.assertEqual(expected, join_text(items))
    case.assertEqual('stop', items[-1].finish_reason)
    case.assertEqual(40, items[-1].usage.completion)


@fixtures.on_real_loop
async def test_tool_call_and_result_go_both_ways(case, bench):
    adapter = await bench.start()
    text = '[[tool:find {"sheet": [[1]]}]]'
    request = make_request(text=text)
    asked = (await collect(adapter.stream(request)))[-1]
    case.assertEqual('tool_calls', asked.finish_reason)
    case.assertEqual('{"sheet": [[1]]}', asked.tool_calls[0]['arguments'])
    history = [
        *request.messages,
        {'role': 'assistant', 'content': '', 'tool_calls': asked.tool_calls},
        {
            'role': 'tool',
            'content': 'sheet 7',
            'tool_call_id': asked.tool_calls[0]['id'],
        },
    ]
    follow = make_request('c2', messages=history)
    answer = (await collect(adapter.stream(follow)))[-1]
    case.assertIn('sheet 7', answer.text)
    case.assertGreater(answer.usage.cached, 0)


load_tests = fixtures.adapt(__name__)
