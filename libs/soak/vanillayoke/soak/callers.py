"""Callers as the users describe them: programs, tools, retries, open ends."""

import asyncio
import itertools
import random
import typing

from vanillayoke.soak import control
from vanillayoke.soak import organisations
from vanillayoke.soak import records
from vanillayoke.standins import calls
from vanillayoke.transport import client

EVENTS = 4
TURN_TOKENS = EVENTS * records.Bounds().event_tokens
# Share of programs that loop until their budget stops them, of turns that
# hand work to sub-agents, and of requests whose caller leaves.
RUNAWAYS = 0.05
FAN_OUTS = 0.1
GIVEN_UP = 0.03
HELPERS = 3
# A budget for one turn and most of another, of programs that come back so
# often: what is lost of it on the way shows at once.
SMALL_BUDGET = TURN_TOKENS * 7 // 4
MOST_RETURNS = 8
DEADLINE_MS = 3000
_PROMISES = frozenset((408, 421, 429, 503))
_FINAL = frozenset((200, 400, 401, 402, 404, 413, 431, 500))


class Line(typing.NamedTuple):
    """A line of turns: a program's own, or a sub-agent's."""

    program: str
    session: str
    route: str
    budget: int
    key: str


class Callers:
    """Runs programs against the instances and records what comes back."""

    def __init__(
        self,
        list_directories: typing.Callable[[], list[str]],
        find_door: typing.Callable[[str], str],
        find_version: typing.Callable[[], int],
        find_key: typing.Callable[[str], str],
        take: typing.Callable[[records.Record], None],
        source: random.Random,
        given_up: float = GIVEN_UP,
    ) -> None:
        self._list_directories = list_directories
        self._find_door = find_door
        self._find_version = find_version
        self._find_key = find_key
        self._take = take
        self._source = source
        self.given_up = given_up
        self._numbers = itertools.count(1)
        # Turns that may be gone on from, by organisation.
        self._kept: dict[str, list[str]] = {}
        self.is_over = False

    async def run(self) -> None:
        """Run one program after another until told to end."""
        caller = Caller(self)
        try:
            while not self.is_over:
                await self._run_program(caller)
                await asyncio.sleep(self._source.uniform(0, 0.2))
        finally:
            caller.pool.close()

    async def _run_program(self, caller: 'Caller') -> None:
        source = self._source
        number = next(self._numbers)
        organisation = organisations.NAMES[number % len(organisations.NAMES)]
        # Held on to, also where it is taken away.
        key = self._find_key(organisation)
        # Two organisations choose the same names for their programs.
        program = f'p{number // len(organisations.NAMES)}'
        route = source.choice(('chat', 'chat', 'plan'))
        turns = source.randint(2, 5)
        is_runaway = source.random() < RUNAWAYS
        budget = (turns + HELPERS * 2) * TURN_TOKENS
        previous = ''
        kept = self._kept.get(organisation)
        if route == 'chat' and kept and source.random() < 0.1:
            line = Line(program, '0', 'chat', SMALL_BUDGET, key)
            await self._come_back(caller, line, source.choice(kept))
            return
        number = 0
        while (is_runaway or number < turns) and not self.is_over:
            number += 1
            line = Line(program, f'{program}.0', route, budget, key)
            done = await self.run_turn(caller, line, previous)
            if done is None:
                return
            previous = done if route == 'chat' else ''
            await self._use_tools(caller, line)
            if source.random() < FAN_OUTS:
                await self._fan_out(line, previous)

    async def _come_back(
        self, caller: 'Caller', line: Line, previous: str
    ) -> None:
        """Go on from a turn of an earlier program, until that is served."""
        for _ in range(MOST_RETURNS):
            if self.is_over or await self.run_turn(caller, line, previous):
                return
            await asyncio.sleep(self._source.uniform(0.1, 0.4))

    async def _fan_out(self, line: Line, previous: str) -> None:
        async def help_out(number: int) -> None:
            caller = Caller(self)
            last: str | None = previous
            own = line._replace(session=f'{line.program}.{number}')
            for _ in range(2):
                last = await self.run_turn(caller, own, last or '')
                if last is None:
                    break
                last = last if line.route == 'chat' else ''
            caller.pool.close()

        await asyncio.gather(*(help_out(n) for n in range(1, HELPERS + 1)))

    async def run_turn(
        self, caller: 'Caller', line: Line, previous: str
    ) -> str | None:
        """Return the turn's request, ``None`` if the program has ended."""
        for _ in range(3):
            answered = await self.call(
                caller,
                line.route,
                'stream',
                line,
                session=line.session,
                budget=line.budget,
                previous=previous,
            )
            if answered.status == 200 and answered.is_whole:
                if line.route == 'chat':
                    organisation = organisations.parse_organisation(line.key)
                    kept = self._kept.setdefault(organisation, [])
                    kept.append(answered.request)
                    del kept[:-50]
                return answered.request
            if answered.status in _FINAL and answered.is_whole:
                return None
            await asyncio.sleep(self._source.uniform(0.1, 0.4))
        return None

    async def _use_tools(self, caller: 'Caller', line: Line) -> None:
        await self.call(caller, 'look', 'safe', line)
        # Shows which configuration is in force where it is sent.
        newest = f'n{max(1, self._find_version())}'
        await self._try(caller, newest, 'safe', line)
        if self._source.random() < 0.5:
            await self.call(caller, 'order', 'unsafe', line)

    async def call(
        self,
        caller: 'Caller',
        route: str,
        kind: str,
        line: Line,
        **more: typing.Any,
    ) -> records.Answered:
        """Send a request with the tries that its caller has."""
        for _ in range(3):
            answered = await self._try(caller, route, kind, line, **more)
            if answered.gave_up or answered.status in _FINAL:
                break
            is_promise = answered.status in _PROMISES
            if kind != 'safe' and not is_promise:
                break
            await asyncio.sleep(self._source.uniform(0.05, 0.4))
        return answered

    async def _try(
        self,
        caller: 'Caller',
        route: str,
        kind: str,
        line: Line,
        **more: typing.Any,
    ) -> records.Answered:
        name = f'{self._source.getrandbits(48):012x}'
        method = 'GET' if kind == 'safe' else 'POST'
        target = f'/{route}/{name}'
        body = '' if kind == 'safe' else f'input of {name};'
        headers = calls.make_headers(name, DEADLINE_MS)
        headers.append((b'Authorization', f'Bearer {line.key}'.encode()))
        # What a caller claims does not count.
        headers += calls.make_header_fields(tenant=organisations.NAMES[0])
        if kind == 'stream':
            headers += calls.make_turn_fields(
                line.program,
                more['session'],
                more['budget'],
                TURN_TOKENS,
                more['previous'],
            )
        address = await caller.find_address()
        self._take(
            records.Sent(
                control.read_now(),
                name,
                kind,
                address.partition(':')[0],
                method,
                target,
                body,
                f'{organisations.parse_organisation(line.key)}/{line.program}',
                more.get('budget', 0),
                TURN_TOKENS if kind == 'stream' else 0,
                more.get('previous', ''),
                route == 'plan',
                line.key,
            )
        )
        answered = await caller.send(
            name, self._find_door(address), method, target, headers, body
        )
        self._take(answered)
        return answered


class Caller:
    """One caller's connections and what it knows of addresses."""

    def __init__(self, callers: Callers) -> None:
        self._callers = callers
        self._source = callers._source
        self.pool = client.Pool(1.0)
        self._addresses: list[str] = []
        self._until = 0.0

    async def find_address(self) -> str:
        """Return an instance to connect to, asking anew when it is time."""
        if control.read_now() >= self._until:
            await self._look_up()
            # Some callers keep an answer three times as long.
            kept = self._source.choice((2.0, 2.0, 6.0))
            self._until = control.read_now() + kept
        while not self._addresses:
            # All instances are down.
            await asyncio.sleep(0.2)
            await self._look_up()
        return self._source.choice(self._addresses)

    async def _look_up(self) -> None:
        directories = self._callers._list_directories()
        self._source.shuffle(directories)
        for address in directories[:3]:
            try:
                async with asyncio.timeout(1.0):
                    found = await calls.resolve(address)
            except (client.TransportError, TimeoutError):
                continue
            if found:
                self._addresses = found
                return
        if not self._addresses:
            self._addresses = [
                address.replace(':8143', ':8149') for address in directories
            ]

    async def send(
        self,
        name: str,
        door: str,
        method: str,
        target: str,
        headers: list,
        body: str,
    ) -> records.Answered:
        """Send one try and return what became of it."""
        patience = DEADLINE_MS / 1000
        gives_up = self._source.random() < self._callers.given_up
        if gives_up:
            patience = self._source.uniform(0.005, 0.08)
        got = _Got()
        connection = None
        try:
            async with asyncio.timeout(patience):
                connection = await self.pool.acquire(door)
                connection.send(
                    method.encode(), target.encode(), headers, body.encode()
                )
                await got.read(connection)
        except (client.TransportError, TimeoutError):
            got.is_whole = False
        if connection is not None:
            self.pool.release(door, connection)
        now = control.read_now()
        is_left = gives_up and not got.is_whole
        return records.Answered(
            now, name, got.status, got.is_whole, got.body, is_left
        )


class _Got:
    """What has come of an answer so far."""

    def __init__(self) -> None:
        self.status = 0
        self.body = ''
        self.is_whole = False

    async def read(self, connection: client.Connection) -> None:
        """Read an answer to its end."""
        head = await connection.read_head()
        self.status = head.status
        while chunk := await connection.read_chunk():
            self.body += chunk.decode('latin-1')
        self.is_whole = True
