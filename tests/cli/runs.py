"""Shared fixtures: the command line in this process, and instances."""

import inspect
import io
import pathlib
import random
import tempfile
import typing

from aiohttp import web
import msgspec

from tests.settings import folders
from vanillayoke.cli import main
from vanillayoke.core import timers
from vanillayoke.fakes import platform_http
from vanillayoke.fakes import platform_memory
from vanillayoke.testing import fixtures

KEY = 'operator-key-of-tests'


class Ran(typing.NamedTuple):
    """A command that has ended."""

    status: int
    output: str
    errors: str


class CommandLine:
    """Runs commands; ``environ`` is what they see."""

    def __init__(self, path: pathlib.Path) -> None:
        self.folder = folders.Folder(path)
        self.environ: dict[str, str] = {}

    def run(self, *words: object) -> Ran:
        """Run a command that needs no loop."""
        output, errors = io.StringIO(), io.StringIO()
        streams = main.Streams(output, errors, self.environ)
        status = main.start([str(word) for word in words], streams)
        return Ran(status, output.getvalue(), errors.getvalue())

    async def wait(self, *words: object) -> Ran:
        """Run a command to its end on the running loop."""
        output, errors = io.StringIO(), io.StringIO()
        streams = main.Streams(output, errors, self.environ)
        status = main.start([str(word) for word in words], streams)
        if inspect.iscoroutine(status):
            status = await status
        return Ran(status, output.getvalue(), errors.getvalue())


class Instance:
    """An instance's operator interface with prepared answers."""

    def __init__(self, name: str, fleet: dict[str, 'Instance']) -> None:
        self.name = name
        self.version = 0
        self.address = ''
        self.answers: dict[str, typing.Any] = {}
        self.asked: list[tuple[str, dict[str, str]]] = []
        self._fleet = fleet
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        application = web.Application()
        application.add_routes(
            [
                web.post('/operator/v1/{command}', self._answer),
                web.get('/v1/addresses', self._list_addresses),
            ]
        )
        self._runner, self.address = await _listen(application)
        self._fleet[self.name] = self

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        if request.headers.get('Authorization') != f'Bearer {KEY}':
            return _refuse(401, 'unauthenticated')
        command = request.match_info['command']
        body = msgspec.json.decode(await request.read())
        self.asked.append((command, body['arguments']))
        if command == 'status':
            return _reply(self._make_status())
        if command not in self.answers:
            return _refuse(404, 'not_found')
        return _reply(self.answers[command])

    def _make_status(self) -> dict[str, typing.Any]:
        rows = [self._describe(other) for other in self._fleet.values()]
        return {
            'instances': rows,
            'targets': self.answers.get('targets', []),
            'version': self.version,
            'store': {'available': True},
        }

    def _describe(self, other: 'Instance') -> dict[str, typing.Any]:
        """Return a row; as in the product, an instance counts only itself."""
        row = {
            'instance': other.name,
            'zone': 'a',
            'state': 'alive',
            'address': other.address,
        }
        if other is not self:
            return row
        counts = {'config_version': self.version, 'shards': 4, 'programs': 2}
        return {**row, **counts}

    async def _list_addresses(self, request: web.Request) -> web.Response:
        return _refuse(401, 'unauthenticated')


def _reply(value: typing.Any) -> web.Response:
    return web.Response(body=msgspec.json.encode(value))


def _refuse(status: int, kind: str) -> web.Response:
    body = {'error': {'kind': kind, 'text': 'No.', 'reason': ''}}
    return web.Response(status=status, body=msgspec.json.encode(body))


async def _listen(application: web.Application) -> tuple[web.AppRunner, str]:
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    return runner, f'{host}:{port}'


class Platform(typing.NamedTuple):
    """The platform's services over HTTP, and the memory behind them."""

    memory: platform_memory.MemoryPlatform
    url: str


@fixtures.fixture
def line():
    """Give a command line with a sound settings folder."""
    with tempfile.TemporaryDirectory() as path:
        made = CommandLine(pathlib.Path(path))
        made.folder.write('10-base.json', folders.GOOD)
        made.environ['VANILLAYOKE_OPERATOR_KEY'] = KEY
        yield made


@fixtures.fixture
def instances(loop, line):
    """Give two listening instances, the first as the command's entry."""
    fleet: dict[str, Instance] = {}
    made = [Instance(name, fleet) for name in ('i-1', 'i-2')]
    for instance in made:
        loop.run_until_complete(instance.start())
    line.environ['VANILLAYOKE_ENTRY'] = made[0].address
    yield made
    for instance in made:
        loop.run_until_complete(instance.stop())


@fixtures.fixture
def platform(loop, line):
    """Give a platform that the commands reach over HTTP."""
    service = timers.LoopTimers(loop)
    memory = platform_memory.MemoryPlatform(service, random.Random(1))
    runner, address = loop.run_until_complete(
        _listen(platform_http.build(memory))
    )
    url = f'http://{address}'
    line.environ['VANILLAYOKE_TABLE'] = url
    line.environ['VANILLAYOKE_OBJECTS'] = url
    yield Platform(memory, url)
    loop.run_until_complete(runner.cleanup())
