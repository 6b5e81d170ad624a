"""Instances, platform and targets in one event loop, in virtual time.

The instances are the real composition; only the ports are stand-ins. It is
for tests of what instances do together under faults.
"""

import hashlib
import random
import typing

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import logs
from vanillayoke.core import metrics
from vanillayoke.core import timers
from vanillayoke.fakes import engine_memory
from vanillayoke.fakes import engine_model
from vanillayoke.fakes import peers_memory
from vanillayoke.fakes import platform_memory
from vanillayoke.fakes import service_memory
from vanillayoke.harness import gates
from vanillayoke.node import configuration as node_configuration
from vanillayoke.node import instance
from vanillayoke.node import surroundings
from vanillayoke.platform import ports as platform_ports
from vanillayoke.settings import configuration
from vanillayoke.settings import process

OPERATOR_KEY = 'operator-key'
CLIENT = 'tkacik'
OTHER_CLIENT = 'shiretoko'
REGION = 'region-1'
ZONES = ('zone-a', 'zone-b', 'zone-c')
_WALL_BEGIN = 1_800_000_000.0


class VirtualTargets:
    """The adapters of one instance: stand-ins behind its gate."""

    def __init__(
        self,
        engines: typing.Mapping[str, engine_memory.EngineMemory],
        services: typing.Mapping[str, service_memory.ServiceMemory],
        gate: gates.Gate,
    ) -> None:
        self._engines = {
            name: gates.GatedPort(one, gate) for name, one in engines.items()
        }
        self._services = {
            name: gates.GatedPort(one, gate) for name, one in services.items()
        }
        self._configured: frozenset[str] = frozenset()

    async def apply(self, targets: typing.Mapping[str, typing.Any]) -> None:
        """Serve the configured targets only."""
        self._configured = frozenset(targets)

    def get_engine(self, target: str) -> typing.Any:
        """Return an engine's stand-in if it is configured."""
        if target not in self._configured:
            return None
        return self._engines.get(target)

    def get_service(self, target: str) -> typing.Any:
        """Return a service's stand-in if it is configured."""
        if target not in self._configured:
            return None
        return self._services.get(target)


class VirtualOperators:
    """Asks other instances of the site as over their entry addresses."""

    def __init__(self, site: 'VirtualSite') -> None:
        self._site = site

    async def ask(
        self, address: str, key: str, command: str, arguments: dict[str, str]
    ) -> dict[str, typing.Any] | failures.Failure:
        """Run a command on the instance at an entry address."""
        asked = self._site.instances.get(address.removeprefix('entry-'))
        if asked is None or not asked.gate.is_open:
            return failures.Failure(
                failures.Kind.NOT_OWNER, f'{address} cannot be reached'
            )
        return await asked.served.host.run_operator_command(
            key, command, arguments
        )


class VirtualInstance(typing.NamedTuple):
    """An instance, its settings and the gate that freezes it."""

    settings: process.ProcessSettings
    served: instance.Instance
    gate: gates.Gate
    clock: timers.TimerService

    @property
    def name(self) -> str:
        """Return the instance's name."""
        return self.settings.instance.name


Listener = typing.Callable[[str, events.Event, dict[str, typing.Any]], None]


class VirtualSite:
    """A deployment in one loop."""

    def __init__(self, loop, seed: int = 1) -> None:
        begin = loop.time()
        self.clock = timers.LoopTimers(
            loop, lambda: _WALL_BEGIN + loop.time() - begin
        )
        self.source = random.Random(seed)
        self.platform = platform_memory.MemoryPlatform(
            self.clock, random.Random(seed + 1)
        )
        self.network = peers_memory.MemoryNetwork(
            self.clock, random.Random(seed + 2)
        )
        self.engines: dict[str, engine_memory.EngineMemory] = {}
        self.services: dict[str, service_memory.ServiceMemory] = {}
        self.instances: dict[str, VirtualInstance] = {}
        self.listeners: list[Listener] = []
        self._groups: dict[str, str] = {}
        self._version = 0
        self._publications = 0

    @property
    def version(self) -> int:
        """Return the last published configuration version."""
        return self._version

    def add_engine(
        self, name: str, options: engine_model.EngineOptions | None = None
    ) -> engine_memory.EngineMemory:
        """Add a stand-in engine."""
        engine = engine_memory.EngineMemory(name, self.clock, options)
        self.engines[name] = engine
        return engine

    def add_service(
        self, name: str, group: str, has_query: bool = False
    ) -> service_memory.ServiceMemory:
        """Add a stand-in service of a group."""
        service = service_memory.ServiceMemory(
            name, self.clock, has_query=has_query
        )
        self.services[name] = service
        self._groups[name] = group
        return service

    async def start_instance(
        self,
        name: str,
        zone: str,
        region: str = REGION,
        rate: float = 1.0,
        **settings: typing.Any,
    ) -> VirtualInstance:
        """Start an instance and list it with the platform."""
        added = self.add_instance(name, zone, region, rate, **settings)
        await added.served.start()
        return added

    def add_instance(
        self,
        name: str,
        zone: str,
        region: str = REGION,
        rate: float = 1.0,
        **settings: typing.Any,
    ) -> VirtualInstance:
        """Build an instance without starting it."""
        described = process.ProcessSettings(
            instance=process.InstanceSettings(
                name=name,
                zone=zone,
                region=region,
                entry_address=f'entry-{name}',
                peer_address=f'peer-{name}',
            ),
            platform=process.PlatformSettings(
                table='', objects='', weights='', instances=''
            ),
            operator_key=OPERATOR_KEY,
            **settings,
        )
        gate = gates.Gate()
        clock = gates.GatedTimers(self.clock, gate, rate)
        served = instance.Instance(
            described, self._surround(described.instance, gate, clock)
        )
        added = VirtualInstance(described, served, gate, clock)
        self.instances[name] = added
        self._list(described.instance)
        return added

    def kill(self, name: str) -> None:
        """End an instance without notice."""
        dead = self.instances.pop(name)
        dead.gate.close()
        self.network.close(dead.settings.instance.peer_address)

    async def stop(self, name: str, grace: float = 5.0) -> None:
        """Stop an instance in order."""
        await self.instances[name].served.drain(grace, 'test')
        del self.instances[name]

    def freeze(self, name: str) -> None:
        """Stop an instance from running, as a long pause does."""
        self.instances[name].gate.close()

    def thaw(self, name: str) -> None:
        """Let a frozen instance run again."""
        self.instances[name].gate.open()

    async def publish(
        self, settings: configuration.Configuration | None = None
    ) -> bool:
        """Publish a configuration, by default one that fits the site.

        Return whether it was accepted: of two operators who race, one
        loses.
        """
        table = self.platform.table
        row = await table.read(node_configuration.ROW_KEY)
        if failures.is_failure(row):
            return False
        version = self._version + 1
        published = configuration.PublishedConfiguration(
            version=version,
            author='test',
            configuration=settings or self.describe(),
        )
        put = platform_ports.Put(
            node_configuration.ROW_KEY,
            configuration.encode_published(published),
            row.version if row else 0,
        )
        self._publications += 1
        result = await table.transact(f'publish-{self._publications}', [put])
        accepted = isinstance(result, platform_ports.Committed)
        if accepted:
            self._version = version
        return accepted

    def describe(self) -> configuration.Configuration:
        """Return a configuration that fits the site."""
        return configuration.Configuration(
            agents=_AGENTS,
            tools=_TOOLS,
            targets=self._describe_targets(),
            clients={
                name: configuration.ClientSettings(
                    key_hashes=(hashlib.sha256(name.encode()).hexdigest(),)
                )
                for name in (CLIENT, OTHER_CLIENT)
            },
            models={'base': configuration.ModelSettings()},
        )

    def _describe_targets(self) -> dict[str, configuration.TargetSettings]:
        described = {}
        for index, name in enumerate([*self.engines, *self.services]):
            service = self.services.get(name)
            described[name] = configuration.TargetSettings(
                kind='service' if service else 'engine',
                address=f'target-{name}',
                zone=ZONES[index % len(ZONES)],
                region=REGION,
                group=self._groups.get(name, ''),
                query=bool(service and service.has_query),
            )
        return described

    def _surround(
        self,
        settings: process.InstanceSettings,
        gate: gates.Gate,
        clock: timers.TimerService,
    ) -> surroundings.Surroundings:
        ports = self.platform.for_caller(settings.name)
        transport = self.network.open(settings.peer_address, settings.region)
        receive = transport.receive
        transport.receive = lambda message: gate.call(lambda: receive(message))
        return surroundings.Surroundings(
            platform=platform_ports.Platform(
                *(gates.GatedPort(port, gate) for port in ports)
            ),
            transport=gates.GatedPort(transport, gate),
            adapters=VirtualTargets(self.engines, self.services, gate),
            operators=gates.GatedPort(VirtualOperators(self), gate),
            clock=clock,
            source=random.Random(self.source.getrandbits(64)),
            logger=self._make_logger(settings.name, clock),
            registry=metrics.Metrics(),
        )

    def _make_logger(
        self, name: str, clock: timers.TimerService
    ) -> logs.Logger:
        logger = logs.Logger.from_config(name, clock)
        logger.subscribe(
            lambda event, fields: self._tell_listeners(name, event, fields)
        )
        return logger

    def _tell_listeners(
        self, name: str, event: events.Event, fields: dict[str, typing.Any]
    ) -> None:
        for listener in list(self.listeners):
            listener(name, event, fields)

    def _list(self, settings: process.InstanceSettings) -> None:
        self.platform.instances.register(
            platform_ports.ListedInstance(
                instance=settings.name,
                peer_address=settings.peer_address,
                entry_address=settings.entry_address,
                zone=settings.zone,
                region=settings.region,
                leaving=False,
            )
        )


_TOOLS = {
    'stock': configuration.ToolSettings(
        service='supplier', path='/stock', idempotent=True
    ),
    'order': configuration.ToolSettings(
        service='orders', path='/order', idempotent=False
    ),
}
_AGENTS = {
    'board': configuration.AgentSettings(
        model='base',
        tools=('stock', 'order'),
        children=('researcher',),
    ),
    'researcher': configuration.AgentSettings(model='base', tools=('stock',)),
}
