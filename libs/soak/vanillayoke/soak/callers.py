"""Emulates callers: programs with turns, tool calls and retries."""

import asyncio
import contextlib
import itertools
import math
import random
import socket
import typing

from vanillayoke.soak import control
from vanillayoke.soak import load
from vanillayoke.soak import organisations
from vanillayoke.soak import poison
from vanillayoke.soak import records
from vanillayoke.soak import streams
from vanillayoke.standins import calls
from vanillayoke.transport import client
from vanillayoke.transport import pools

EVENT_COUNT = 4
TURN_TOKENS = EVENT_COUNT * records.Bounds().event_tokens
# The ratios of programs that loop until their budget is exhausted, of turns
# that start sub-agents, and of requests whose caller disconnects early.
RUNAWAY_RATIO = 0.05
FAN_OUT_RATIO = 0.1
ABANDON_RATIO = 0.03
SUB_AGENT_COUNT = 3
# Programs that loop in several lines at once, also after a refusal.
LOOP_BUDGET = 2 * TURN_TOKENS
LOOP_LINE_COUNT = 3
LOOP_SECONDS = (2.0, 6.0)
LOOP_PAUSE_SECONDS = 0.2
# Less than two turns, so that a loss of tokens leads to a refusal.
SMALL_BUDGET = TURN_TOKENS * 7 // 4
MAX_RESUME_ATTEMPTS = 8
RESUMABLE_ROUTE = 'plan'
RESUMABLE_ROUTES = RESUMABLE_ROUTE, streams.KEPT_ROUTE
STICKY_ROUTES = (('look', 'safe'), ('order', 'unsafe'))
STICKY_PAUSE_SECONDS = 0.1
DEADLINE_MS = 3000
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Probes are enough to fill the slots of their service several times.
PROBE_COUNTS = {'chat': 18, 'look': 12}
PROBE_ORGANISATION = organisations.NAMES[0]
SLOW_READ_BYTES = 16 * 1024
SLOW_READ_SECONDS = 0.08
_FINAL_STATUSES = frozenset((200, 400, 401, 402, 404, 413, 431, 500))


class Conversation(typing.NamedTuple):
    """A sequence of turns of a program or one of its sub-agents."""

    program: str
    session: str
    route: str
    budget: int
    key: str


class Callers:
    """Runs programs and records their requests and responses."""

    def __init__(
        self,
        list_directories: typing.Callable[[], list[str]],
        find_caller_link: typing.Callable[[str], str],
        get_version: typing.Callable[[], int],
        get_key: typing.Callable[[str], str],
        add_record: typing.Callable[[records.Record], None],
        rng: random.Random,
        abandon_ratio: float = ABANDON_RATIO,
    ) -> None:
        self._list_directories = list_directories
        self._find_caller_link = find_caller_link
        self._get_version = get_version
        self._get_key = get_key
        self._add_record = add_record
        self._rng = rng
        self.abandon_ratio = abandon_ratio
        self._numbers = itertools.count(1)
        # By organisation.
        self._completed_turns: dict[str, list[str]] = {}
        self.is_over = False
        # The instance at which callers resume streams, if any.
        self.resumption_address = ''

    def take_number(self) -> int:
        """Return a new number for the name of a program."""
        return next(self._numbers)

    def get_key(self, organisation: str) -> str:
        """Return the key of an organisation that is in force."""
        return self._get_key(organisation)

    async def run(self) -> None:
        """Run programs until ``is_over`` is set."""
        caller = Caller(self)
        try:
            while not self.is_over:
                await self._run_program(caller)
                await asyncio.sleep(self._rng.uniform(0, 0.2))
        finally:
            caller.pool.close()

    async def run_sticky(self) -> None:
        """Make calls to one instance until its process is gone."""
        caller = StickyCaller(self)
        try:
            while not self.is_over:
                number = next(self._numbers)
                conversation = Conversation(
                    f'f{number}', '0', '', 0, self._get_key('blue')
                )
                route, kind = self._rng.choice(STICKY_ROUTES)
                await self.send_attempt(caller, route, kind, conversation)
                await asyncio.sleep(self._rng.uniform(0, STICKY_PAUSE_SECONDS))
        finally:
            caller.pool.close()

    async def run_poison(self) -> None:
        """Send requests that end servers, each begun anew a few times."""
        while not self.is_over:
            target = poison.make_poison(next(self._numbers))
            for _ in range(poison.ROUNDS):
                await self._repeat(target, poison.TRIES)
                await asyncio.sleep(poison.ROUND_PAUSE_SECONDS)

    async def run_sound(self) -> None:
        """Send sound requests to the servers that end."""
        while not self.is_over:
            target = poison.make_sound(next(self._numbers))
            await self._repeat(target, poison.MAX_SOUND_TRIES)

    async def _repeat(self, target: str, tries: int) -> None:
        """Send a request until it succeeds, with one try a connection."""
        caller = Caller(self)
        try:
            for _ in range(tries):
                if self.is_over:
                    return
                conversation = Conversation(
                    'fragile', '0', '', 0, self._get_key('blue')
                )
                answered = await self.send_attempt(
                    caller, poison.ROUTE, 'safe', conversation, target=target
                )
                if answered.status == 200 and answered.is_whole:
                    return
                await asyncio.sleep(
                    self._rng.uniform(*poison.TRY_PAUSE_SECONDS)
                )
        finally:
            caller.pool.close()

    async def run_burst(self, subject: int, end: float) -> None:
        """Run programs of one organisation until a time."""
        organisation = organisations.NAMES[subject % len(organisations.NAMES)]
        caller = Caller(self)
        try:
            while not self.is_over and control.read_now() < end:
                await self._run_program(caller, organisation)
        finally:
            caller.pool.close()

    async def run_loops(self) -> None:
        """Run looping programs with small budgets until ``is_over`` is set."""
        while not self.is_over:
            program = f'l{next(self._numbers)}'
            key = self._get_key(organisations.NAMES[0])
            end = control.read_now() + self._rng.uniform(*LOOP_SECONDS)
            await asyncio.gather(
                *(
                    self._run_loop(
                        Conversation(
                            program,
                            f'{program}.{line}',
                            RESUMABLE_ROUTE,
                            LOOP_BUDGET,
                            key,
                        ),
                        end,
                    )
                    for line in range(LOOP_LINE_COUNT)
                )
            )

    async def _run_loop(self, conversation: Conversation, end: float) -> None:
        caller = Caller(self)
        try:
            while not self.is_over and control.read_now() < end:
                await self.run_turn(caller, conversation, '')
                await asyncio.sleep(LOOP_PAUSE_SECONDS)
        finally:
            caller.pool.close()

    async def run_slow_reader(
        self, address: str = '', end: float = math.inf
    ) -> None:
        """Make calls with large responses and read these slowly.

        They go to one instance if an address is given, until ``end``.
        """
        caller = SlowReader(self, address)
        while not self.is_over and control.read_now() < end:
            number = next(self._numbers)
            conversation = Conversation(
                f'r{number}', '0', 'order', 0, self._get_key('red')
            )
            await self.send_attempt(
                caller,
                'order',
                'unsafe',
                conversation,
                padding=records.PADDING * load.LARGE_BODY_BYTES,
            )
            await asyncio.sleep(self._rng.uniform(0.2, 1.0))

    async def probe(self) -> tuple[str, ...]:
        """Send probes at once; return the last request of each one."""
        self.abandon_ratio = 0.0

        async def send(route: str, kind: str) -> str:
            caller = Caller(self)
            program = f'probe{next(self._numbers)}'
            budget = 2 * TURN_TOKENS
            conversation = Conversation(
                program, '0', route, budget, self._get_key(PROBE_ORGANISATION)
            )
            options = {}
            if kind == 'stream':
                options = {'session': '0', 'budget': budget, 'previous': ''}
            try:
                answered = await self.call(
                    caller, route, kind, conversation, **options
                )
            finally:
                caller.pool.close()
            return answered.request

        kinds = {'chat': 'stream', 'look': 'safe'}
        requests = [
            send(route, kinds[route])
            for route, count in PROBE_COUNTS.items()
            for _ in range(count)
        ]
        return tuple(await asyncio.gather(*requests))

    async def _run_program(
        self, caller: 'Caller', organisation: str = ''
    ) -> None:
        rng = self._rng
        number = next(self._numbers)
        own_name = organisations.NAMES[number % len(organisations.NAMES)]
        organisation = organisation or own_name
        # Programs keep their key, even after it is replaced.
        key = self._get_key(organisation)
        # Organisations use the same program names.
        program = f'p{number // len(organisations.NAMES)}'
        if organisation != own_name:
            program = f'b{number}'
        route = rng.choice(('chat', 'chat', 'plan'))
        turns = rng.randint(2, 5)
        is_runaway = rng.random() < RUNAWAY_RATIO
        budget = (turns + SUB_AGENT_COUNT * 2) * TURN_TOKENS
        previous = ''
        completed_turns = self._completed_turns.get(organisation)
        if route == 'chat' and completed_turns and rng.random() < 0.1:
            conversation = Conversation(
                program, '0', 'chat', SMALL_BUDGET, key
            )
            await self._resume_turn(
                caller, conversation, rng.choice(completed_turns)
            )
            return
        number = 0
        while (is_runaway or number < turns) and not self.is_over:
            number += 1
            conversation = Conversation(
                program, f'{program}.0', route, budget, key
            )
            completed = await self.run_turn(caller, conversation, previous)
            if completed is None:
                return
            previous = completed if route == 'chat' else ''
            await self._use_tools(caller, conversation)
            if rng.random() < FAN_OUT_RATIO:
                await self._fan_out(conversation, previous)

    async def _resume_turn(
        self, caller: 'Caller', conversation: Conversation, previous: str
    ) -> None:
        """Continue from another program's turn until that succeeds."""
        for _ in range(MAX_RESUME_ATTEMPTS):
            if self.is_over or await self.run_turn(
                caller, conversation, previous
            ):
                return
            await asyncio.sleep(self._rng.uniform(0.1, 0.4))

    async def _fan_out(
        self, conversation: Conversation, previous: str
    ) -> None:
        async def run_sub_agent(number: int) -> None:
            caller = Caller(self)
            last: str | None = previous
            sub_conversation = conversation._replace(
                session=f'{conversation.program}.{number}'
            )
            for _ in range(2):
                last = await self.run_turn(
                    caller, sub_conversation, last or ''
                )
                if last is None:
                    break
                last = last if conversation.route == 'chat' else ''
            caller.pool.close()

        await asyncio.gather(
            *(run_sub_agent(n) for n in range(1, SUB_AGENT_COUNT + 1))
        )

    async def run_turn(
        self, caller: 'Caller', conversation: Conversation, previous: str
    ) -> str | None:
        """Run a turn and return its request, or ``None`` if it failed."""
        for _ in range(3):
            answered = await self.call(
                caller,
                conversation.route,
                'stream',
                conversation,
                session=conversation.session,
                budget=conversation.budget,
                previous=previous,
            )
            if answered.status == 200 and answered.is_whole:
                if conversation.route == 'chat':
                    organisation = organisations.parse_organisation(
                        conversation.key
                    )
                    completed_turns = self._completed_turns.setdefault(
                        organisation, []
                    )
                    completed_turns.append(answered.request)
                    del completed_turns[:-50]
                return answered.request
            if answered.status in _FINAL_STATUSES and answered.is_whole:
                return None
            await asyncio.sleep(self._rng.uniform(0.1, 0.4))
        return None

    async def _use_tools(
        self, caller: 'Caller', conversation: Conversation
    ) -> None:
        await self.call(caller, 'look', 'safe', conversation)
        # Shows the check of rollbacks which version is in force.
        newest = f'n{max(1, self._get_version())}'
        await self.send_attempt(caller, newest, 'safe', conversation)
        if self._rng.random() < 0.5:
            await self.call(caller, 'order', 'unsafe', conversation)

    async def call(
        self,
        caller: 'Caller',
        route: str,
        kind: str,
        conversation: Conversation,
        **options: typing.Any,
    ) -> records.Answered:
        """Send a request and retry it where that is safe.

        A broken stream is resumed where the route allows it.
        """
        resumption = None
        for _ in range(3):
            answered = await self.send_attempt(
                caller,
                route,
                kind,
                conversation,
                resumption=resumption,
                **options,
            )
            if answered.gave_up:
                break
            if route == RESUMABLE_ROUTE and not answered.is_whole:
                resumption = streams.make_resumption(resumption, answered)
                if resumption is not None:
                    await asyncio.sleep(self._rng.uniform(0.0, 0.3))
                    continue
            if answered.status in _FINAL_STATUSES:
                break
            was_not_executed = answered.status in _NOT_EXECUTED_STATUSES
            if kind != 'safe' and not was_not_executed:
                break
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
        return answered

    async def send_attempt(
        self,
        caller: 'Caller',
        route: str,
        kind: str,
        conversation: Conversation,
        **options: typing.Any,
    ) -> records.Answered:
        name = f'{self._rng.getrandbits(48):012x}'
        method = 'GET' if kind == 'safe' else 'POST'
        target = options.get('target') or f'/{route}/{name}'
        body = '' if kind == 'safe' else f'input of {name};'
        body = options.get('body', body)
        body += options.get('padding', '')
        headers = calls.make_headers(name, DEADLINE_MS)
        headers.append(
            (b'Authorization', f'Bearer {conversation.key}'.encode())
        )
        # The gateway must ignore the organisation that a caller claims.
        headers += calls.make_header_fields(tenant=organisations.NAMES[0])
        if kind == 'stream':
            headers += calls.make_turn_fields(
                conversation.program,
                options['session'],
                options['budget'],
                TURN_TOKENS,
                options['previous'],
            )
        resumption = options.get('resumption')
        if resumption is not None:
            headers.append((b'Last-Event-Id', b'%d' % resumption.last_event))
            if self._rng.random() >= streams.UNNAMED_RATIO:
                headers.append((b'Resumes', resumption.begun.encode()))
        address = await caller.choose_address()
        if resumption is not None and self.resumption_address:
            address = self.resumption_address
        self._add_record(
            records.Sent(
                control.read_now(),
                name,
                kind,
                address.partition(':')[0],
                method,
                target,
                records.shorten(body),
                f'{organisations.parse_organisation(conversation.key)}/'
                f'{conversation.program}',
                options.get('budget', 0),
                TURN_TOKENS if kind == 'stream' else 0,
                options.get('previous', ''),
                route in RESUMABLE_ROUTES,
                conversation.key,
                *(resumption or ()),
            )
        )
        answered = await caller.send(
            name,
            caller.find_connection_address(address),
            method,
            target,
            headers,
            body,
        )
        self._add_record(answered)
        if not answered.is_whole and not answered.gave_up:
            caller.record_failure(address)
        return answered


class Caller:
    """The connections and cached addresses of a caller."""

    def __init__(self, callers: Callers) -> None:
        self._callers = callers
        self._rng = callers._rng
        self.pool = pools.Pool(1.0)
        self._addresses: list[str] = []
        # Those without a whole response since the lookup.
        self._failed_addresses: set[str] = set()
        self._lookup_deadline = 0.0

    async def choose_address(self) -> str:
        """Choose an instance that has not failed since the last lookup.

        Look up addresses again after their lifetime, or if all have failed.
        """
        if control.read_now() >= self._lookup_deadline:
            await self._resolve_addresses()
            # Some callers cache addresses for too long.
            lifetime = self._rng.choice((2.0, 2.0, 6.0))
            self._lookup_deadline = control.read_now() + lifetime
        while not (addresses := self._list_usable_addresses()):
            # All instances are down.
            await asyncio.sleep(0.2)
            await self._resolve_addresses()
        return self._rng.choice(addresses)

    def _list_usable_addresses(self) -> list[str]:
        return [
            address
            for address in self._addresses
            if address not in self._failed_addresses
        ]

    def record_failure(self, address: str) -> None:
        """Exclude an address until the next lookup."""
        self._failed_addresses.add(address)

    def find_connection_address(self, address: str) -> str:
        """Return where to connect for an instance's address."""
        return self._callers._find_caller_link(address)

    async def _resolve_addresses(self) -> None:
        self._failed_addresses.clear()
        directories = self._callers._list_directories()
        self._rng.shuffle(directories)
        for address in directories[:3]:
            try:
                async with asyncio.timeout(1.0):
                    addresses = await calls.resolve(address)
            except (client.TransportError, TimeoutError):
                continue
            if addresses:
                self._addresses = addresses
                return
        if not self._addresses:
            self._addresses = [
                address.replace(':8143', ':8149') for address in directories
            ]

    def choose_patience(self) -> float | None:
        """Return the seconds after which it leaves, ``None`` to stay."""
        if self._rng.random() < self._callers.abandon_ratio:
            return self._rng.uniform(0.005, 0.08)
        return None

    async def send(
        self,
        name: str,
        caller_link: str,
        method: str,
        target: str,
        headers: list,
        body: str,
    ) -> records.Answered:
        """Send a request once and return its outcome."""
        patience = self.choose_patience()
        gives_up = patience is not None
        timeout_seconds = patience if gives_up else DEADLINE_MS / 1000
        response = _PartialResponse()
        connection = None
        try:
            async with asyncio.timeout(timeout_seconds):
                connection = await self.pool.acquire(caller_link)
                connection.send(
                    method.encode(), target.encode(), headers, body.encode()
                )
                await response.read(connection)
        except (client.TransportError, TimeoutError):
            response.is_whole = False
        if connection is not None:
            self.pool.release(caller_link, connection)
        now = control.read_now()
        gave_up_early = gives_up and not response.is_whole
        return records.Answered(
            now,
            name,
            response.status,
            response.is_whole,
            response.body,
            gave_up_early,
        )


class StickyCaller(Caller):
    """A caller that learns of a stop only when it can't connect."""

    def __init__(self, callers: Callers) -> None:
        super().__init__(callers)
        self._address = ''

    async def choose_address(self) -> str:
        """Return the same address until it has failed."""
        if not self._address:
            self._address = await super().choose_address()
        return self._address

    def record_failure(self, address: str) -> None:
        """Choose another address for the next request."""
        super().record_failure(address)
        self._address = ''


class SlowReader(Caller):
    """A caller that reads responses slowly, on connections of its own."""

    def __init__(self, callers: Callers, address: str) -> None:
        super().__init__(callers)
        self._fixed_address = address

    async def choose_address(self) -> str:
        """Return the fixed address or choose one."""
        return self._fixed_address or await super().choose_address()

    def find_connection_address(self, address: str) -> str:
        """Return the address itself, as links read quickly."""
        return address

    async def send(
        self,
        name: str,
        address: str,
        method: str,
        target: str,
        headers: list,
        body: str,
    ) -> records.Answered:
        """Send a request once and return its outcome."""
        lines = [f'{method} {target} HTTP/1.1'.encode()]
        lines += [key + b': ' + value for key, value in headers]
        lines += [b'Connection: close', b'Content-Length: %d' % len(body)]
        data = b'\r\n'.join(lines) + b'\r\n\r\n' + body.encode()
        received = bytearray()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1000):
                await self._exchange(address, data, received)
        return _parse_response(name, bytes(received))

    async def _exchange(
        self, address: str, data: bytes, received: bytearray
    ) -> None:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)
            # A larger buffer would take the whole response at once.
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES
            )
            await loop.sock_connect(connection, (host, int(port)))
            await loop.sock_sendall(connection, data)
            while chunk := await loop.sock_recv(connection, SLOW_READ_BYTES):
                received += chunk
                await asyncio.sleep(SLOW_READ_SECONDS)


def _parse_response(name: str, received: bytes) -> records.Answered:
    """Return the outcome of a request on a connection that was closed."""
    now = control.read_now()
    head, _, body = received.partition(b'\r\n\r\n')
    first, *lines = head.split(b'\r\n')
    parts = first.split(b' ')
    status = int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
    size = -1
    for line in lines:
        key, _, value = line.partition(b':')
        if key.lower() == b'content-length' and value.strip().isdigit():
            size = int(value)
    is_whole = len(body) == size
    return records.Answered(
        now, name, status, is_whole, records.shorten(body.decode('latin-1'))
    )


class _PartialResponse:
    """The part of a response that was received."""

    def __init__(self) -> None:
        self.status = 0
        self.body = ''
        self.is_whole = False

    async def read(self, connection: client.Connection) -> None:
        """Read a response to its end."""
        head = await connection.read_head()
        self.status = head.status
        while chunk := await connection.read_chunk():
            self.body += chunk.decode('latin-1')
        self.is_whole = True
