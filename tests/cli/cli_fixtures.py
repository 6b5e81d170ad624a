"""Fixtures: the command line within this process, and fake services."""

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


class CommandResult(typing.NamedTuple):
    """Exit status and output of a command."""

    status: int
    output: str
    errors: str


class CommandLine:
    """Runs commands with ``environ`` as their environment."""

    def __init__(self, path: pathlib.Path) -> None:
        self.folder = folders.Folder(path)
        self.environ: dict[str, str] = {}

    def run(self, *words: object) -> CommandResult:
        """Run a synchronous command."""
        output, errors = io.StringIO(), io.StringIO()
        streams = main.Streams(output, errors, self.environ)
        status = main.start([str(word) for word in words], streams)
        return CommandResult(status, output.getvalue(), errors.getvalue())

    async def run_async(self, *words: object) -> CommandResult:
        """Run a command to completion on the running loop."""
        output, errors = io.StringIO(), io.StringIO()
        streams = main.Streams(output, errors, self.environ)
        status = main.start([str(word) for word in words], streams)
        if inspect.iscoroutine(status):
            status = await status
        return CommandResult(status, output.getvalue(), errors.getvalue())


class FakeInstance:
    """The operator interface of an instance, with prepared responses."""

    def __init__(
        self, name: str, instances_by_name: dict[str, 'FakeInstance']
    ) -> None:
        self.name = name
        self.version = 0
        self.address = ''
        self.responses: dict[str, typing.Any] = {}
        self.received: list[tuple[str, dict[str, str]]] = []
        self._fleet = instances_by_name
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
        self.received.append((command, body['arguments']))
        if command == 'status':
            return _reply(self._make_status())
        if command not in self.responses:
            return _refuse(404, 'not_found')
        return _reply(self.responses[command])

    def _make_status(self) -> dict[str, typing.Any]:
        rows = [self._describe(other) for other in self._fleet.values()]
        return {
            'instances': rows,
            'targets': self.responses.get('targets', []),
            'version': self.version,
            'store': {'available': True},
        }

    def _describe(self, other: 'FakeInstance') -> dict[str, typing.Any]:
        """Return a row, with counts only for this instance itself."""
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
    """The platform's services over HTTP and their in-memory storage."""

    memory: platform_memory.MemoryPlatform
    url: str


@fixtures.fixture
def command_line():
    """Yield a command line with a valid settings folder."""
    with tempfile.TemporaryDirectory() as path:
        made = CommandLine(pathlib.Path(path))
        made.folder.write('10-base.json', folders.GOOD)
        made.environ['VANILLAYOKE_OPERATOR_KEY'] = KEY
        yield made


@fixtures.fixture
def instances(loop, command_line):
    """Yield two listening instances; the first is the entry address."""
    instances_by_name: dict[str, FakeInstance] = {}
    made = [FakeInstance(name, instances_by_name) for name in ('i-1', 'i-2')]
    for instance in made:
        loop.run_until_complete(instance.start())
    command_line.environ['VANILLAYOKE_ENTRY'] = made[0].address
    yield made
    for instance in made:
        loop.run_until_complete(instance.stop())


@fixtures.fixture
def platform(loop, command_line):
    """Yield a platform that the commands reach over HTTP."""
    service = timers.LoopTimers(loop)
    memory = platform_memory.MemoryPlatform(service, random.Random(1))
    runner, address = loop.run_until_complete(
        _listen(platform_http.build(memory))
    )
    url = f'http://{address}'
    command_line.environ['VANILLAYOKE_TABLE'] = url
    command_line.environ['VANILLAYOKE_OBJECTS'] = url
    yield Platform(memory, url)
    loop.run_until_complete(runner.cleanup())
