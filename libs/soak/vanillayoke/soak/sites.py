"""A site of processes on loopback: store, servers, links, instances."""

import asyncio
import json
import os
import pathlib
import signal
import time

from vanillayoke.adapter import process as process_module
from vanillayoke.soak import control
from vanillayoke.soak import organisations
from vanillayoke.soak import processes
from vanillayoke.soak import records
from vanillayoke.standins import calls

SERVER_SLOTS = 6
EVENTS = 4
# Model servers, and servers of each of the services that take tools' calls.
MODELS = 3
TOOLS = 2
TOOL_SERVICES = ('tools-a', 'tools-b')
ZONES = ('z1', 'z2', 'z3')
# Last numbers of loopback addresses.
_STORE, _INSTANCE, _SERVER = 1, 10, 130
# A link's own address has the second number of the next network.
_PORT, _STORE_PORT = 8080, 8142


class Server:
    """A server's place, where processes come and go.

    Each has a new name, but for one that starts again as what it was.
    """

    def __init__(self, number: int, service: str) -> None:
        self.number = number
        self.service = service
        self.incarnation = 0
        self.child: processes.Child | None = None
        # When its process started, in milliseconds since 1970.
        self.started = 0

    @property
    def name(self) -> str:
        """The name of the present incarnation."""
        return f's{self.number}-{self.incarnation}'


class Site:
    """The processes of one run, in a folder of their own."""

    def __init__(
        self, folder: pathlib.Path, network: int, instances: int
    ) -> None:
        self.folder = folder
        self._network = network
        self._count = instances
        self.instances: dict[str, processes.Child] = {}
        self.servers = [Server(n, 'models') for n in range(MODELS)]
        for service in TOOL_SERVICES:
            first = len(self.servers)
            self.servers += [Server(first + n, service) for n in range(TOOLS)]
        self.version = 0
        self.keys = organisations.Keys()
        # Routes that nobody calls, which all instances read and decode.
        self.grown_routes = 0
        self._children: list[processes.Child] = []
        self._spare = instances
        self._tasks: set[asyncio.Task] = set()
        self.seen: list[records.Record] = []
        self.is_stopping = False

    # Addresses

    def _make_host(self, number: int, is_link: bool = False) -> str:
        second = self._network + (1 if is_link else 0)
        return f'127.{second // 256 % 255 + 1}.{second % 256}.{number}'

    def find_door(self, address: str) -> str:
        """Return the link that callers reach an instance's address by."""
        number = int(address.partition(':')[0].rpartition('.')[2])
        return f'{self._make_host(number, True)}:8149'

    def list_directories(self) -> list[str]:
        """Return where callers may ask for addresses."""
        return [
            f'{host}:8143'
            for host, child in self.instances.items()
            if child.is_running
        ]

    # Start

    async def start(self) -> None:
        """Start everything; return once all instances are ready."""
        own = ('-m', 'vanillayoke.soak')
        store = f'{self._make_host(_STORE)}:{_STORE_PORT}'
        self.store = await self._start_child('store', [*own, 'store', store])
        self.links = await self._start_child('links', [*own, 'links'])
        await asyncio.sleep(0.5)
        self.configure()
        for server in self.servers:
            await self.start_server(server)
        for number in range(self._count):
            await self.start_instance(self._make_host(_INSTANCE + number))

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
        self, server: Server, is_reborn: bool = False
    ) -> None:
        """Start a new incarnation, or the same again, and register it."""
        if not is_reborn:
            server.incarnation += 1
        server.started = int(time.time() * 1000)
        number = _SERVER + server.number
        address = f'{self._make_host(number)}:{_PORT}'
        link = f'{self._make_host(number, True)}:{_PORT}'
        events = EVENTS if server.service == 'models' else 0
        # Each process writes its records to a file of its own.
        server.child = await self._start_child(
            f'{server.name}-{server.started}',
            [
                *('-m', 'vanillayoke.soak', 'target'),
                *(server.name, server.service, address),
                *(str(SERVER_SLOTS), str(events)),
            ],
        )
        self.links.order(control.Forward(link, address))
        self.register(server, 'ready')

    def register(self, server: Server, state: str) -> None:
        """Write a server's row; the store acknowledges that it leaves."""
        link = f'{self._make_host(_SERVER + server.number, True)}:{_PORT}'
        zone = ZONES[server.number % len(ZONES)]
        row = calls.make_server_row(
            server.service, link, SERVER_SLOTS, state, zone, server.started
        )
        record = None
        if state == 'draining':
            record = records.Leaving(0.0, server.name)
        self.store.order(control.Put('servers', server.name, row, record))

    def put_foreign(self, server: Server) -> list[str]:
        """Write rows that name no server to use; return their keys.

        Each has a server's address with another service or a spoiled field:
        a request that goes there runs where it must not.
        """
        link = f'{self._make_host(_SERVER + server.number, True)}:{_PORT}'
        others = {'models', *TOOL_SERVICES} - {server.service}
        good = calls.make_server_row(
            min(others), link, SERVER_SLOTS, 'ready', ZONES[0], 1
        )
        rows = [
            {**good, 'state': 'resting'},
            {**good, 'slot_count': 'many'},
            {**good, 'address': 7},
            {name: good[name] for name in ('service', 'address', 'state')},
        ]
        keys = [f'foreign-{number}' for number in range(len(rows))]
        for key, row in zip(keys, rows, strict=True):
            self.store.order(control.Put('servers', key, row))
        self.store.order(control.Spoil('servers', 'foreign-bytes'))
        return [*keys, 'foreign-bytes']

    def unregister(self, name: str) -> None:
        """Remove a server's row."""
        self.store.order(control.Put('servers', name, None))

    def configure(self) -> None:
        """Write the next version; calls of tools go to the other service."""
        self.version += 1
        tools = TOOL_SERVICES[self.version % len(TOOL_SERVICES)]
        routes = calls.make_routes(tools)
        routes += calls.make_version_routes(self.version, TOOL_SERVICES[0])
        routes += [
            calls.make_route(f'grown{number}', tools, 'safe')
            for number in range(self.grown_routes)
        ]
        content = calls.make_configuration(
            self.version,
            routes,
            TOOL_SERVICES,
            self.keys.make_organisations(),
        )
        services = {
            'chat': 'models', 'plan': 'models', 'look': tools, 'order': tools,
        }  # fmt: skip
        record = records.Accepted(
            0.0,
            self.version,
            services,
            tuple(self.keys.list_keys()),
            self.keys.compute_limit(),
        )
        self.store.order(control.Put('op', 'config', content, record))

    async def start_instance(self, host: str) -> None:
        """Start the process of an instance at an address."""
        number = int(host.rpartition('.')[2])
        store_link = f'{self._make_host(number, True)}:{_STORE_PORT}'
        store = f'{self._make_host(_STORE)}:{_STORE_PORT}'
        self.links.order(control.Forward(store_link, store))
        door = self.find_door(host)
        self.links.order(control.Forward(door, f'{host}:8149'))
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
        self._note(host, 'started')
        task = asyncio.create_task(self._watch(host, child))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch(self, host: str, child: processes.Child) -> None:
        status = await child.wait()
        self._note(host, 'ended', status)

    def _note(self, host: str, event: str, status: int = 0) -> None:
        now = control.read_now()
        self.seen.append(records.Process(now, host, event, status))

    def _make_settings(self, host: str, store: str) -> dict:
        number = int(host.rpartition('.')[2])
        return calls.make_settings_file(
            f'i{number}', host, ZONES[number % len(ZONES)], store
        )

    def choose_host(self, subject: int) -> str:
        """Return one of the instances that run."""
        hosts = [h for h, child in self.instances.items() if child.is_running]
        return hosts[subject % len(hosts)] if hosts else ''

    def find_server_link(self, server: Server) -> str:
        """Return the address of the link to a server."""
        return f'{self._make_host(_SERVER + server.number, True)}:{_PORT}'

    def find_store_link(self, host: str) -> str:
        """Return the address of an instance's link to the store."""
        number = int(host.rpartition('.')[2])
        return f'{self._make_host(number, True)}:{_STORE_PORT}'

    def choose_new_host(self) -> str:
        """Return an address at which no instance has been."""
        self._spare += 1
        return self._make_host(_INSTANCE + self._spare)

    def step_clock(self, host: str, seconds: float) -> None:
        """Let an instance's time of day differ by so much from now on."""
        number = int(host.rpartition('.')[2])
        (self.folder / f'clock-{number}').write_text(str(seconds))

    def tell_to_stop(self, host: str) -> None:
        """Begin an instance's planned stop."""
        child = self.instances.get(host)
        if child is not None and child.is_running:
            self._note(host, 'told')
            child.signal(signal.SIGTERM)

    # What was seen

    def collect(self) -> list[records.Record]:
        """Return what was seen since the last call."""
        found, self.seen = self.seen, []
        for child in self._children:
            if child.name.startswith(('s', 'links')):
                found += child.read_records()
        return found

    async def stop(self) -> None:
        """End all processes."""
        self.is_stopping = True
        await asyncio.gather(*(child.end() for child in self._children))
        await asyncio.gather(*self._tasks)


def choose_network(number: int) -> int:
    """Return the network of a run, apart from those of others here."""
    return (os.getpid() * 8 + number * 2) % (250 * 256)
