"""Starts the processes of a run on loopback addresses."""

import asyncio
import json
import os
import pathlib
import signal
import time
import typing

from vanillayoke.adapter import process as process_module
from vanillayoke.soak import control
from vanillayoke.soak import instances as instances_module
from vanillayoke.soak import load
from vanillayoke.soak import organisations
from vanillayoke.soak import poison
from vanillayoke.soak import processes
from vanillayoke.soak import records
from vanillayoke.soak import releases
from vanillayoke.soak import resumed_turns
from vanillayoke.soak import streams
from vanillayoke.standins import calls
from vanillayoke.transport import client

SERVER_SLOT_COUNT = 6
EVENT_COUNT = 4
READY_INTERVAL_SECONDS = 0.1
EVENT_INTERVAL_SECONDS = 0.01
# TOOL_SERVER_COUNT servers run for each of TOOL_SERVICES.
MODEL_SERVER_COUNT = 3
TOOL_SERVER_COUNT = 2
TOOL_SERVICES = ('tools-a', 'tools-b')
ZONES = ('z1', 'z2', 'z3')
# Last parts of loopback addresses; the bases are the first of a range.
_STORE_HOST, _INSTANCE_BASE, _SERVER_BASE = 1, 10, 130
# The address of a server that moves; there are up to _MOVE_STEP servers.
_MOVE_STEP, _MAX_MOVE_COUNT = 12, 10
# Links listen on the same ports, in the next network.
_PORT, _STORE_PORT = 8080, 8142

# Rows that can't be decoded, and whether their JSON is nested.
_SPOILED_KEYS = {'foreign-bytes': False, 'foreign-nested': True}


class Server:
    """A server and its current process.

    Each incarnation has a new name. A restart keeps incarnation and name.
    """

    def __init__(self, number: int, service: str) -> None:
        self.number = number
        self.service = service
        self.incarnation = 0
        self.child: processes.Child | None = None
        # Start time of the process, in milliseconds since the epoch.
        self.started_ms = 0
        # Of the current incarnation.
        self.software_version = ''
        self.move_count = 0
        # Held while the server leaves, moves or has a successor.
        self.change_lock = asyncio.Lock()
        self.start_lock = asyncio.Lock()

    @property
    def position(self) -> int:
        """The last part of the current address."""
        moves = self.move_count % _MAX_MOVE_COUNT
        return _SERVER_BASE + self.number + moves * _MOVE_STEP

    @property
    def has_link(self) -> bool:
        """Whether the row has the address of the link to the server.

        Those whose processes end by requests have none, and others every
        second time they move: a link accepts connections for a process that
        has ended.
        """
        return self.service != poison.SERVICE and self.move_count % 2 == 0

    @property
    def name(self) -> str:
        """The name of the current incarnation."""
        return self.make_name(self.incarnation)

    def make_name(self, incarnation: int) -> str:
        """Return the name of an incarnation."""
        return f's{self.number}-{incarnation}'


class Site:
    """The processes of a run."""

    def __init__(
        self,
        folder: pathlib.Path,
        network: int,
        instances: int,
        has_overload: bool = False,
        has_release: bool = False,
    ) -> None:
        # The release that new servers have, if versions change by releases.
        self.release = 1 if has_release else 0
        self.folder = folder
        self._network = network
        self._count = instances
        self.has_overload = has_overload
        self._slot_count = SERVER_SLOT_COUNT
        self._zones = ZONES
        if has_overload:
            self._slot_count = load.SLOT_COUNT
            self._zones = load.ZONES
        self.instances: dict[str, processes.Child] = {}
        self.servers = [Server(n, 'models') for n in range(MODEL_SERVER_COUNT)]
        for service in TOOL_SERVICES:
            first = len(self.servers)
            self.servers += [
                Server(first + n, service) for n in range(TOOL_SERVER_COUNT)
            ]
        # Faults don't hit these, whose processes end under requests.
        first = len(self.servers)
        self._fragile_servers = [
            Server(first + n, poison.SERVICE)
            for n in range(poison.SERVER_COUNT)
        ]
        self.version = 0
        self.keys = organisations.Keys()
        # Number of unused routes, which make configurations large.
        self.added_routes = 0
        self._children: list[processes.Child] = []
        self._last_host_offset = instances
        self._tasks: set[asyncio.Task] = set()
        self.pending_records: list[records.Record] = []
        self.is_stopping = False

    # Addresses

    def _make_host(self, number: int, is_link: bool = False) -> str:
        second = self._network + (1 if is_link else 0)
        return f'127.{second // 256 % 255 + 1}.{second % 256}.{number}'

    def find_caller_link(self, address: str) -> str:
        """Return the address of the link that callers use for an instance."""
        number = int(address.partition(':')[0].rpartition('.')[2])
        return f'{self._make_host(number, True)}:8149'

    def find_address(self, host: str) -> str:
        """Return the address at which an instance serves callers."""
        return f'{host}:8149'

    def list_directories(self) -> list[str]:
        """Return the directory addresses of running instances."""
        return [
            f'{host}:8143'
            for host, child in self.instances.items()
            if child.is_running
        ]

    # Start

    async def start(self) -> None:
        """Start all processes."""
        command = ('-m', 'vanillayoke.soak')
        store = f'{self._make_host(_STORE_HOST)}:{_STORE_PORT}'
        self.store = await self._start_child(
            'store', [*command, 'store', store]
        )
        self.links = await self._start_child('links', [*command, 'links'])
        await asyncio.sleep(0.5)
        self.configure()
        for server in self.servers:
            await self.start_server(server)
        for server in self._fragile_servers:
            self._spawn(self._run_fragile(server))
        for number in range(self._count):
            await self.start_instance(self._make_host(_INSTANCE_BASE + number))

    async def wait_until_ready(self, timeout_seconds: float) -> None:
        """Wait until servers listen and all instances know one another.

        Raise ``TimeoutError`` if they don't in time.
        """
        addresses = [
            f'{self._make_host(server.position)}:{_PORT}'
            for server in (*self.servers, *self._fragile_servers)
        ]
        async with asyncio.timeout(timeout_seconds):
            while True:
                directories = self.list_directories()
                listening = [await _is_listening(one) for one in addresses]
                count = len(self.instances)
                known = [len(await _resolve(one)) for one in directories]
                if all(listening) and known == [count] * count:
                    return
                await asyncio.sleep(READY_INTERVAL_SECONDS)

    async def _start_child(
        self,
        name: str,
        arguments: list[str],
        variables: dict[str, str] | None = None,
    ) -> processes.Child:
        child = await processes.Child.start(
            name, self.folder, arguments, variables
        )
        self._children.append(child)
        return child

    async def start_server(
        self, server: Server, is_restart: bool = False
    ) -> None:
        """Start and register a new incarnation, or restart the current one."""
        await self.start_process(server, is_restart)
        self.register(server, 'ready')

    async def start_process(
        self, server: Server, is_restart: bool = False
    ) -> None:
        """Start a server's process without registering it."""
        incarnation, version = server.incarnation, server.software_version
        if not is_restart:
            incarnation += 1
            version = self._choose_software_version(server.number, incarnation)
        started_ms = int(time.time() * 1000)
        name = server.make_name(incarnation)
        address = f'{self._make_host(server.position)}:{_PORT}'
        link = self.find_server_link(server)
        events = EVENT_COUNT if server.service == 'models' else 0
        # The name is unique, so that processes don't share an output file.
        child = await self._start_child(
            f'{name}-{started_ms}',
            [
                *('-m', 'vanillayoke.soak', 'target'),
                *(name, server.service, address),
                *(str(self._slot_count), str(events)),
                version,
            ],
        )
        # All at once, as faults end a process and remove the row of its name.
        server.child, server.incarnation = child, incarnation
        server.software_version, server.started_ms = version, started_ms
        if self.has_overload:
            server.child.send_command(control.Contend(1.0))
        self.links.send_command(control.Forward(link, address))

    async def replace_process(
        self,
        server: Server,
        former: processes.Child,
        is_restart: bool = False,
        is_moved: bool = False,
    ) -> None:
        """Start a server again, unless that was done since ``former`` ended.

        Two processes at one address would leave the server without slots.
        """
        async with server.start_lock:
            if server.child is former:
                server.move_count += is_moved
                await self.start_server(server, is_restart)

    def _choose_software_version(self, number: int, incarnation: int) -> str:
        if self.release:
            return releases.name_version(self.release)
        return streams.choose_software_version(number, incarnation)

    def register(self, server: Server, state: str) -> None:
        """Write a server's row, with a record if the server is draining."""
        host = self._make_host(server.position, server.has_link)
        address = f'{host}:{_PORT}'
        zone = self._zones[server.number % len(self._zones)]
        row = calls.make_server_row(
            server.service,
            address,
            self._slot_count,
            state,
            zone,
            server.started_ms,
            server.software_version,
        )
        record = None
        if state == 'draining':
            record = records.Leaving(0.0, server.name)
        self.store.send_command(
            control.Put('servers', server.name, row, record)
        )

    def put_invalid_rows(self, server: Server) -> list[str]:
        """Write invalid rows and return their keys.

        Rows hold a server's address with another service and a wrong or
        missing field. Requests routed by such a row are violations.
        """
        link = self.find_server_link(server)
        others = {'models', *TOOL_SERVICES} - {server.service}
        valid_row = calls.make_server_row(
            min(others), link, self._slot_count, 'ready', ZONES[0], 1
        )
        rows = [
            {**valid_row, 'state': 'resting'},
            {**valid_row, 'slot_count': 'many'},
            {**valid_row, 'slot_count': 10**18},
            {**valid_row, 'address': 7},
            {
                name: valid_row[name]
                for name in ('service', 'address', 'state')
            },
        ]
        keys = [f'foreign-{number}' for number in range(len(rows))]
        for key, row in zip(keys, rows, strict=True):
            self.store.send_command(control.Put('servers', key, row))
        for key, is_nested in _SPOILED_KEYS.items():
            self.store.send_command(control.Spoil('servers', key, is_nested))
        # No process writes the rows of others.
        self.store.send_command(
            control.Spoil('instances', 'foreign-nested', True)
        )
        return [*keys, *_SPOILED_KEYS]

    def unregister(self, name: str) -> None:
        """Remove a server's row."""
        self.store.send_command(control.Put('servers', name, None))

    def configure(self) -> None:
        """Write the next configuration, with the other service for tools."""
        self.version += 1
        tools = self.get_tool_service()
        routes = calls.make_routes(tools)
        if self.has_overload:
            for route in routes:
                route['priority'] = load.ROUTE_PRIORITIES[route['name']]
        routes += calls.make_version_routes(self.version, TOOL_SERVICES[0])
        routes.append(calls.make_route(poison.ROUTE, poison.SERVICE, 'safe'))
        routes.append(resumed_turns.make_route(*calls.make_routes(tools)[:2]))
        routes += [
            calls.make_route(f'grown{number}', tools, 'safe')
            for number in range(self.added_routes)
        ]
        content = calls.make_configuration(
            self.version,
            routes,
            (*TOOL_SERVICES, poison.SERVICE),
            self.keys.make_organisations(),
        )
        services = {
            'chat': 'models', 'plan': 'models', 'look': tools, 'order': tools,
            poison.ROUTE: poison.SERVICE, resumed_turns.ROUTE: 'models',
        }  # fmt: skip
        record = records.Accepted(
            0.0,
            self.version,
            services,
            tuple(self.keys.list_keys()),
            self.keys.compute_limit(),
        )
        self.store.send_command(control.Put('op', 'config', content, record))

    async def start_instance(self, host: str) -> None:
        """Start an instance at an address."""
        # Another restart of the former process must not start one as well.
        self.instances.pop(host, None)
        number = int(host.rpartition('.')[2])
        store_link = f'{self._make_host(number, True)}:{_STORE_PORT}'
        store = f'{self._make_host(_STORE_HOST)}:{_STORE_PORT}'
        self.links.send_command(control.Forward(store_link, store))
        caller_link = self.find_caller_link(host)
        self.links.send_command(control.Forward(caller_link, f'{host}:8149'))
        path = self.folder / f'settings-{number}.json'
        path.write_text(json.dumps(self._make_settings(host, store_link)))
        clock = self.folder / f'clock-{number}'
        clock.touch()
        child = await self._start_child(
            f'i{number}',
            ['-m', 'vanillayoke.soak.instances', str(clock)],
            {process_module.SETTINGS_VARIABLE: str(path)},
        )
        self.instances[host] = child
        self._record_process(host, 'started')
        self._spawn(self._watch(host, child))

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_fragile(self, server: Server) -> None:
        """Start a server, and start it again each time that it ends."""
        await self.start_server(server)
        while not self.is_stopping:
            await server.child.wait()
            await asyncio.sleep(poison.RESTART_SECONDS)
            if not self.is_stopping:
                await self.start_server(server, is_restart=True)

    async def _watch(self, host: str, child: processes.Child) -> None:
        status = await child.wait()
        self._record_process(host, 'ended', status)

    def _record_process(self, host: str, event: str, status: int = 0) -> None:
        now = control.read_now()
        self.pending_records.append(records.Process(now, host, event, status))

    def _make_settings(self, host: str, store: str) -> dict:
        number = int(host.rpartition('.')[2])
        zone = self._zones[number % len(self._zones)]
        settings = calls.make_settings_file(f'i{number}', host, zone, store)
        if self.has_overload:
            settings['active_rules'] = ['pressure']
            settings['limits'] = {'memory_mb': load.MEMORY_LIMIT_MB}
        return settings

    def list_slots(self, services: typing.Container[str]) -> dict[str, int]:
        """Return the slots of the current servers of some services."""
        return {
            server.name: self._slot_count
            for server in self.servers
            if server.service in services
        }

    def get_tool_service(self) -> str:
        """Return the service of the routes of tools."""
        return TOOL_SERVICES[self.version % len(TOOL_SERVICES)]

    def choose_host(self, subject: int) -> str:
        """Return the address of a running instance, or an empty string."""
        hosts = [h for h, child in self.instances.items() if child.is_running]
        return hosts[subject % len(hosts)] if hosts else ''

    def find_server_link(self, server: Server) -> str:
        """Return the address of the link to a server."""
        return f'{self._make_host(server.position, True)}:{_PORT}'

    def find_store_link(self, host: str) -> str:
        """Return the address of an instance's link to the store."""
        number = int(host.rpartition('.')[2])
        return f'{self._make_host(number, True)}:{_STORE_PORT}'

    def choose_new_host(self) -> str:
        """Return an address that no instance has used."""
        self._last_host_offset += 1
        return self._make_host(_INSTANCE_BASE + self._last_host_offset)

    def step_clock(self, host: str, seconds: float) -> None:
        """Set the offset of an instance's wall clock."""
        number = int(host.rpartition('.')[2])
        (self.folder / f'clock-{number}').write_text(str(seconds))

    def isolate(self, host: str, is_isolated: bool) -> None:
        """Cut an instance off from all others, or end this."""
        number = int(host.rpartition('.')[2])
        path = self.folder / f'clock-{number}'
        path = path.with_suffix(instances_module.ISOLATED_SUFFIX)
        if is_isolated:
            path.touch()
        else:
            path.unlink(missing_ok=True)

    def request_stop(self, host: str) -> None:
        """Ask an instance to stop gracefully."""
        child = self.instances.get(host)
        if child is not None and child.is_running:
            self._record_process(host, 'told')
            child.signal(signal.SIGTERM)

    # Records

    def collect_records(self) -> list[records.Record]:
        """Return the records since the last call."""
        found, self.pending_records = self.pending_records, []
        for child in self._children:
            if child.name.startswith(('s', 'links')):
                found += child.read_records()
        return found

    def measure_memory(self) -> list[records.Memory]:
        """Return the peak sizes of running instances with a limit."""
        if not self.has_overload:
            return []
        now = control.read_now()
        limit = load.MEMORY_LIMIT_MB * 1024 * 1024
        return [
            records.Memory(now, host, peak, limit)
            for host, child in self.instances.items()
            if (peak := child.read_peak_memory())
        ]

    async def stop(self) -> None:
        """Kill all processes."""
        self.is_stopping = True
        await asyncio.gather(*(child.kill() for child in self._children))
        await asyncio.gather(*self._tasks)


async def _is_listening(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


async def _resolve(directory: str) -> list[str]:
    try:
        return await calls.resolve(directory)
    except client.TransportError:
        return []


def choose_network(number: int) -> int:
    """Return a network that concurrent runs on this machine don't use."""
    return (os.getpid() * 8 + number * 2) % (250 * 256)
