"""The deployment and the workload that every cell of the matrix runs."""

import asyncio
import typing

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.entry import host
from vanillayoke.fakes import engine_model
from vanillayoke.harness import virtual
from vanillayoke.harness import virtual_caller

PATIENCE = 90.0
SETTLE = 45.0
_STARTUP = 4.0
_MARGIN_TURN = '[[tool:stock {"sku":1}]][[tool:order {"sku":1}]]'
FIRST_TURN = (
    f'{_MARGIN_TURN}[[child:researcher [[tool:stock {{"sku":2}}]][[say:20]]]]'
    '[[say:150]]'
)
SECOND_TURN = '[[tool:stock {"sku":3}]][[say:20]]'
OTHER_TURN = '[[tool:stock {"sku":4}]][[tool:order {"sku":9}]][[say:80]]'
_CACHE_TOKENS = 20_000
STORE_DELAY = 0.005
_SLOW_TOOL = 0.4
_THINKING = 4.0
REGIONS = ('region-1', 'region-2')


class Instances(typing.NamedTuple):
    """An instance's name, zone and region."""

    name: str
    zone: str
    region: str


LAYOUT = (
    Instances('instance-1', 'zone-a', REGIONS[0]),
    Instances('instance-2', 'zone-b', REGIONS[0]),
    Instances('instance-3', 'zone-c', REGIONS[1]),
    Instances('instance-4', 'zone-c', REGIONS[1]),
)


class NotRun(typing.NamedTuple):
    """A caller was told "not run"; ``executions`` had run by then."""

    failure: failures.Failure
    executions: int


class ProgramStory(typing.NamedTuple):
    """What one client did with its program and what it was told."""

    client: str
    program: str
    told: tuple[virtual_caller.Told, ...]
    ended: host.ProgramView | failures.Failure
    history: list[host.HistoryEntry] | failures.Failure


class World:
    """A site with its instances, two clients' programs and a log of all."""

    def __init__(self, loop: asyncio.AbstractEventLoop, seed: int) -> None:
        self.site = virtual.VirtualSite(loop, seed)
        for name in ('engine-1', 'engine-2', 'engine-3'):
            self.site.add_engine(
                name,
                engine_model.EngineOptions(
                    cache_tokens=_CACHE_TOKENS, salt=name
                ),
            )
        for name in ('supplier-1', 'supplier-2'):
            service = self.site.add_service(name, 'supplier')
            service.faults.late = _SLOW_TOOL
            service.faults.calls = 1_000_000
        for name in ('orders-1', 'orders-2'):
            self.site.add_service(name, 'orders')
        self.site.platform.faults.delay = STORE_DELAY
        self.programs = {
            client: ids.derive_program_id(client, 'open')
            for client in (virtual.CLIENT, virtual.OTHER_CLIENT)
        }
        self.versions: dict[str, list[int]] = {}
        self.dispatches: list[tuple[float, str]] = []
        self.leaving: dict[str, float] = {}
        self.not_run: list[NotRun] = []
        self.drained: list[str] = []
        self.to_drain: list[str] = []
        self.struck: set[str] = set()
        self.dead_engines: set[str] = set()
        self.tasks: list[asyncio.Future] = []
        self.site.listeners.append(self._watch)

    async def start(self) -> None:
        """Start all instances under one configuration."""
        await self.site.publish()
        for one in LAYOUT:
            await self.site.start_instance(one.name, one.zone, one.region)
        await self.site.clock.sleep(_STARTUP)

    async def play(self) -> list[ProgramStory]:
        """Let both clients run their programs; return their stories."""
        stories = await asyncio.gather(
            self._play_one(virtual.CLIENT, (FIRST_TURN, SECOND_TURN)),
            self._play_one(virtual.OTHER_CLIENT, (OTHER_TURN,)),
        )
        return list(stories)

    def find_owner(self, client: str = virtual.CLIENT) -> str | None:
        """Return the instance that hosts a client's program."""
        program = self.programs[client]
        for name, one in self.site.instances.items():
            shard = ids.find_shard(program)
            owned = one.served.ownership.held_epoch(shard) is not None
            if owned and one.gate.is_open:
                return name
        return None

    def count_executions(self) -> dict[str, int]:
        """Return how often each call ran on any service."""
        counted: dict[str, int] = {}
        for service in self.site.services.values():
            for key, count in service.executions.items():
                counted[key] = counted.get(key, 0) + count
        return counted

    async def _play_one(
        self, client: str, turns: typing.Sequence[str]
    ) -> ProgramStory:
        caller = virtual_caller.VirtualCaller(
            self.site, PATIENCE, client, self.note_refusal
        )
        opened = await caller.open('open')
        program = self.programs[client]
        told = []
        if not failures.is_failure(opened):
            for number, text in enumerate(turns, 1):
                if number > 1:
                    await self.site.clock.sleep(_THINKING)
                told.append(await caller.run(program, f'turn-{number}', text))
        history = await caller.read_history(program)
        ended = await caller.end(program)
        return ProgramStory(client, program, tuple(told), ended, history)

    def _watch(self, instance: str, event: events.Event, fields: dict) -> None:
        match event:
            case events.CONFIGURATION_IN_FORCE:
                seen = self.versions.setdefault(instance, [])
                seen.append(fields['version'])
            case events.CALL_DISPATCHED:
                now = self.site.clock.now()
                self.dispatches.append((now, fields['target']))
            case events.DRAIN_ENDED:
                self.drained.append(instance)

    def note_refusal(
        self, program: str, text: str, failure: failures.Failure
    ) -> None:
        """Note what a caller was told and what its program had ordered.

        Only a request that holds an order can be belied by one.
        """
        if 'tool:order' in text and failure.answer.ran is failures.Ran.NO:
            ordered = sum(
                count
                for key, count in self.count_executions().items()
                if key.startswith(program) and self._is_order(key)
            )
            self.not_run.append(NotRun(failure, ordered))

    def _is_order(self, key: str) -> bool:
        return any(
            key in self.site.services[name].executions
            for name in ('orders-1', 'orders-2')
        )
