"""A scripted host behind the callers' interface, and its fixtures."""

import asyncio
import typing

import aiohttp

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.entry import app
from vanillayoke.entry import host
from vanillayoke.settings import process
from vanillayoke.testing import fixtures

KEY = 'key-of-board'
CLIENT = 'board'
OPERATOR_KEY = 'key-of-operator'
PROGRAM = 'prg-' + '0' * 32
CHILD = f'{PROGRAM}.{"1" * 32}'
FOREIGN = 'prg-' + 'f' * 32
ABSENT = 'prg-' + 'a' * 32
ANSWER = host.FinalAnswer(5, 7, 'hello', (), 'stop', {'output': 2})

NOT_FOUND = failures.Failure(failures.Kind.NOT_FOUND, 'absent')
FOREIGN_FAILURE = failures.Failure(failures.Kind.NOT_FOUND, 'foreign')


class ScriptedStream(host.CallStream):
    """Gives its items, then waits for more until ``end`` is called."""

    def __init__(self, items: typing.Sequence[host.StreamItem]) -> None:
        self.items = list(items)
        self.taken = 0
        self.open_readers = 0
        self.offsets: list[int] = []
        self._changed = asyncio.Event()

    @property
    def number(self) -> int:
        return ANSWER.number

    def put(self, *items: host.StreamItem) -> None:
        self.items.extend(items)
        self._changed.set()

    async def follow(self, offset):
        self.offsets.append(offset)
        self.open_readers += 1
        try:
            position = 0
            while True:
                while position < len(self.items):
                    self.taken = max(self.taken, position + 1)
                    yield self.items[position]
                    position += 1
                self._changed.clear()
                await self._changed.wait()
        finally:
            self.open_readers -= 1


class ScriptedHost(host.Host):
    """Answers from its fields and notes what it was asked."""

    def __init__(self) -> None:
        self.place: host.Elsewhere | failures.Failure | None = None
        self.located: list[str] = []
        self.opened: list[host.OpenRequest] = []
        self.started: list[host.CallRequest] = []
        self.stream = ScriptedStream([host.TextPiece(0, 'hello'), ANSWER])
        self.failure: failures.Failure | None = None
        self.commands: list[tuple[str, dict[str, str]]] = []
        self.gate: asyncio.Event | None = None

    def find_client(self, key):
        key.encode('ascii')
        if key == KEY:
            return CLIENT
        return failures.Failure(failures.Kind.UNAUTHENTICATED, 'unknown key')

    def list_addresses(self, program):
        entry = host.EntryAddress('10.0.0.1:80', f'i-{program}', 'zone-a')
        return host.AddressList((entry,), 30.0)

    async def locate(self, program):
        self.located.append(program)
        return self.place

    def _check(self, program):
        if self.failure:
            return self.failure
        if program in (PROGRAM, CHILD):
            return None
        return FOREIGN_FAILURE if program == FOREIGN else NOT_FOUND

    def _view(self, program=PROGRAM):
        return host.ProgramView(program=program, agent='stylist', calls=0)

    async def open_program(self, client, request):
        if self.gate:
            await self.gate.wait()
        if request.agent != 'stylist':
            return failures.Failure(failures.Kind.UNKNOWN_AGENT, 'no agent')
        if self.failure:
            return self.failure
        if request.parent and self._check(request.parent):
            return self._check(request.parent)
        self.opened.append(request)
        return self._view()

    async def start_call(self, client, program, request):
        failure = self._check(program)
        if failure:
            return failure
        self.started.append(request)
        return self.stream

    async def find_call(self, client, program, number):
        if number != ANSWER.number:
            return NOT_FOUND
        return self._check(program) or self.stream

    async def view_program(self, client, program):
        return self._check(program) or self._view(program)

    async def read_history(self, client, program, after, limit):
        entry = host.HistoryEntry(number=after + 1, content='x' * limit)
        return self._check(program) or [entry]

    async def cancel_call(self, client, program):
        return self._check(program) or self._view(program)

    async def end_program(self, client, program, key):
        return self._check(program) or self._view(program)

    async def run_operator_command(self, key, command, arguments):
        if key != OPERATOR_KEY:
            return failures.Failure(failures.Kind.UNAUTHENTICATED, 'operator')
        self.commands.append((command, arguments))
        return {'command': command}


class Site:
    """One running interface, with a client that has its key."""

    def __init__(
        self, loop, heartbeat=3.0, extra_routes=(), **settings
    ) -> None:
        self.loop = loop
        self.host = ScriptedHost()
        self.faults: list[Exception] = []
        self.app = app.EntryApp.from_config(
            process.EntrySettings(**settings),
            self.host,
            timers.LoopTimers(loop),
            report_fault=self.faults.append,
            heartbeat=heartbeat,
            extra_routes=extra_routes,
        )
        self.address = ''
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        address, port = await self.app.start('127.0.0.1', 0)
        self.address = f'{address}:{port}'
        self.session = aiohttp.ClientSession(
            f'http://{self.address}',
            headers={'Authorization': f'Bearer {KEY}'},
        )

    async def finish(self) -> None:
        await self.session.close()
        await self.app.finish()

    async def ask(self, method: str, path: str, **options) -> 'Reply':
        """Send a request; POSTs carry an idempotency key."""
        headers = {'Idempotency-Key': 'k-1', **options.pop('headers', {})}
        async with self.session.request(
            method, path, headers=headers, **options
        ) as answer:
            return await Reply.read(answer)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a plain connection, for requests no client would send."""
        address, _, port = self.address.partition(':')
        return await asyncio.open_connection(address, int(port))

    async def settle(self, case) -> None:
        """Wait until the server has no task but the idle connections'."""
        await wait_until(case, lambda: not _find_busy())


async def wait_until(case, condition: typing.Callable[[], typing.Any]) -> None:
    """Wait for what other tasks do; fail if they never do it."""
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.005)
    case.fail(f'in vain; tasks left: {_find_busy()}')


def _find_busy() -> list[asyncio.Task]:
    return [
        task
        for task in asyncio.all_tasks()
        if task is not asyncio.current_task()
        and 'RequestHandler.start' not in task.get_coro().__qualname__
    ]


class Reply(typing.NamedTuple):
    """A whole answer."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes
    data: typing.Any

    @classmethod
    async def read(cls, answer: aiohttp.ClientResponse) -> 'Reply':
        body = await answer.read()
        is_json = answer.content_type == 'application/json'
        data = await answer.json() if is_json else None
        return cls(answer.status, answer.headers, body, data)

    @property
    def error(self) -> dict[str, typing.Any]:
        return self.data['error']


def _serve(loop, **options):
    made = Site(loop, largest_body=2000, **options)
    loop.run_until_complete(made.start())
    yield made
    loop.run_until_complete(made.finish())


def _serve_hastily(loop):
    return _serve(
        loop,
        heartbeat=0.1,
        body_timeout=0.2,
        slow_reader_timeout=0.3,
        drain_grace=0.3,
    )


@fixtures.fixture
def site(loop):
    """One instance with the usual times."""
    yield from _serve(loop)


@fixtures.fixture
def owner(loop):
    """Another instance."""
    yield from _serve(loop)


@fixtures.fixture
def hasty_site(loop):
    """One instance with short times, for tests that wait for them."""
    yield from _serve_hastily(loop)


@fixtures.fixture
def hasty_owner(loop):
    """Another instance with short times."""
    yield from _serve_hastily(loop)


def split_events(body: bytes) -> list[tuple[str, str, str]]:
    """Return the name, id and data of each event of a body."""
    found = []
    for block in body.decode().split('\n\n'):
        fields = dict(
            line.split(': ', 1) for line in block.splitlines() if ': ' in line
        )
        if fields:
            found.append(
                (fields['event'], fields.get('id', ''), fields['data'])
            )
    return found
