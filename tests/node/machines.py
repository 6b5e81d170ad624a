"""Instances on a stand-in platform, which can die and be paused."""

import asyncio
import random
import typing

import msgspec

from vanillayoke.cluster import messages
from vanillayoke.cluster import rows
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import timers
from vanillayoke.fakes import platform_memory
from vanillayoke.harness import gates
from vanillayoke.node import hosted
from vanillayoke.node import journal as journals
from vanillayoke.node import ownership as ownerships
from vanillayoke.programs import records
from vanillayoke.settings import process

DOWN = failures.Failure(failures.Kind.STORE_UNAVAILABLE, 'down')
RETENTION = 60.0
BUDGET = records.Budget(1_000_000, 1000, 3600.0, 1_000_000)


class Gate(gates.Gate):
    """Counts what passes, and can close at a given passage."""

    def __init__(self) -> None:
        super().__init__()
        self.is_dead = False
        self.passed = 0
        self.pause_at: int | None = None
        self.on_pause: typing.Callable[[], None] = lambda: None

    def open(self) -> None:
        if not self.is_dead:
            super().open()

    def die(self) -> None:
        self.is_dead = True
        self.close()

    async def pass_through(self) -> None:
        self.passed += 1
        if self.passed == self.pause_at:
            self.close()
            self.on_pause()
        await super().pass_through()


class Machine:
    """One instance: journal, ownership and hosted programs."""

    def __init__(
        self,
        cluster: 'Cluster',
        name: str,
        zone: str,
        rate: float,
        **journal_options: typing.Any,
    ) -> None:
        self.name = name
        self.zone = zone
        self.gate = Gate()
        self.cluster = cluster
        self.timers = gates.GatedTimers(cluster.timers, self.gate, rate)
        self.source = random.Random(f'{name} {len(cluster.started)}')
        self.is_up = False
        port = cluster.platform.for_caller(name)
        self.platform = port._replace(
            table=gates.GatedPort(port.table, self.gate),
            objects=gates.GatedPort(port.objects, self.gate),
        )
        self.settings = process.ProcessSettings(
            instance=process.InstanceSettings(
                name=name,
                zone=zone,
                region='here',
                entry_address=f'{name}:80',
                peer_address=f'{name}:81',
            ),
            platform=process.PlatformSettings(
                table='', objects='', weights='', instances=''
            ),
            lease=cluster.lease,
            store=cluster.store,
        )
        self._build(journal_options)

    def _build(self, journal_options: dict[str, typing.Any]) -> None:
        self.journal = journals.Journal.from_config(
            self.settings,
            self.platform,
            self.timers,
            self.source,
            **journal_options,
        )
        self.ownership = ownerships.Ownership.from_config(
            self.settings,
            self.journal,
            self.platform,
            self.timers,
            self.source,
        )
        self.programs = hosted.HostedPrograms(self.journal)
        self.gained_at: dict[str, float] = {}
        self.lost_at: dict[str, float] = {}
        self.ownership.provide_programs(self.programs.list_shard)
        self.ownership.subscribe_gained(self._gain)
        self.ownership.subscribe_lost(self._lose)

    def _gain(self, gained) -> None:
        self.programs.add(gained)
        now = self.cluster.loop.time()
        self.gained_at.update((program.id, now) for program in gained)

    def _lose(self, lost) -> None:
        now = self.cluster.loop.time()
        dropped = self.programs.drop(lost)
        self.lost_at.update((program.id, now) for program in dropped)

    @property
    def incarnation(self) -> str:
        return self.journal.incarnation

    @property
    def member(self) -> messages.Member:
        return messages.Member(
            self.name, 1, self.zone, 'here', f'{self.name}:80', ''
        )

    async def start(self) -> None:
        self.is_up = True
        await self.journal.start()
        await self.ownership.start()

    async def kill(self) -> None:
        """End as a process does that is killed: nothing more is written."""
        self.is_up = False
        self.gate.die()
        await self.ownership.stop()
        await self.journal.stop()

    async def leave(self):
        """End in good order."""
        result = await self.ownership.release()
        self.is_up = False
        await self.journal.stop()
        return result

    def open_program(self, program: str, key: str = 'open') -> None:
        shard = ids.find_shard(program)
        epoch = self.ownership.held_epoch(shard)
        assert epoch is not None, f'{self.name} does not own {program}'
        opened = records.ProgramOpened(
            program,
            epoch,
            client='client',
            agent='agent',
            key=key,
            fingerprint='',
            budget=BUDGET,
            deadline=2e9,
            urgent=False,
            opened_at=1e9,
        )
        self.programs.write([opened])

    def hold(self, program: str, target: str) -> None:
        """Write a small record for a program: it holds cache somewhere."""
        epoch = self.ownership.held_epoch(ids.find_shard(program))
        assert epoch is not None, f'{self.name} does not own {program}'
        self.programs.write([records.CacheHeld(program, epoch, target=target)])

    def release(self, program: str, target: str) -> None:
        """Write a small record for a program: its cache was let go."""
        epoch = self.ownership.held_epoch(ids.find_shard(program))
        self.programs.write(
            [records.CacheReleased(program, epoch, target=target)]
        )


class Cluster:
    """Machines on one platform, with membership as the test says."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        lease: process.LeaseSettings | None = None,
        store: process.StoreSettings | None = None,
        delay: float = 0.005,
        seed: int = 1,
    ) -> None:
        self.loop = loop
        self.lease = lease or process.LeaseSettings()
        self.store = store or process.StoreSettings(retention=RETENTION)
        self.timers = timers.LoopTimers(loop, lambda: 1e9 + loop.time())
        self.platform = platform_memory.MemoryPlatform(
            self.timers, random.Random(seed)
        )
        self.faults = self.platform.faults
        self.faults.delay = delay
        self.started: list[Machine] = []
        self.states: dict[str, messages.State] = {}

    @property
    def writes(self) -> int:
        """Return the writes that the table and the object store took."""
        table = self.platform.table.counters.writes
        return table + self.platform.objects.counters.writes

    @property
    def reads(self) -> int:
        table = self.platform.table.counters.reads
        return table + self.platform.objects.counters.reads

    def build(
        self, name: str, zone: str = 'a', rate: float = 1.0, **options
    ) -> Machine:
        machine = Machine(self, name, zone, rate, **options)
        self.started.append(machine)
        return machine

    async def add(self, name: str, zone: str = 'a', **options) -> Machine:
        """Start a machine and tell the others."""
        machine = self.build(name, zone, **options)
        self.states[name] = messages.State.ALIVE
        self.spread_members()
        await machine.start()
        self.spread_members()
        return machine

    def set_state(self, name: str, state: messages.State) -> None:
        self.states[name] = state
        self.spread_members()

    def spread_members(self) -> None:
        latest = {machine.name: machine for machine in self.started}
        members = [
            machine.member._replace(state=self.states[name])
            for name, machine in latest.items()
            if name in self.states
        ]
        for machine in self.started:
            machine.ownership.update_members(members)

    def list_owned(self) -> dict[str, int]:
        return {
            machine.name: len(machine.ownership.owned_shards())
            for machine in self.started
            if machine.is_up
        }

    def count_actors(self, shard: int) -> int:
        """Return how many machines may act in a shard right now."""
        return sum(
            machine.ownership.epoch_of(shard) is not None
            for machine in self.started
        )


def make_programs(count: int, seed: int = 7) -> list[str]:
    """Return program ids spread over the shards."""
    source = random.Random(seed)
    return [ids.make_id('prg', source) for _ in range(count)]


class Act(typing.NamedTuple):
    """Something that cannot be taken back, done for a program."""

    at: float
    machine: str
    program: str
    epoch: int
    target: str


class Workload:
    """Programs that are worked on wherever they are owned.

    Each step journals a record, waits until it is durable, asks whether it
    may act, and acts. So it checks what the whole system promises: acts
    come in the order of their epochs, and no acknowledged record is lost.
    """

    def __init__(self, cluster: Cluster, count: int, pace: float = 0.2):
        self._cluster = cluster
        self._pace = pace
        self.programs = make_programs(count)
        self.opened: set[str] = set()
        self.acts: list[Act] = []
        self._tasks: list[asyncio.Task] = []

    def start(self, machine: Machine) -> None:
        task = asyncio.ensure_future(self._run(machine))
        self._tasks.append(task)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        done = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in done:
            if isinstance(result, Exception):
                raise result

    async def _run(self, machine: Machine) -> None:
        source = random.Random(machine.name)
        while machine.is_up:
            program = source.choice(self.programs)
            if machine.ownership.epoch_of(ids.find_shard(program)):
                await self._step(machine, program)
            await machine.timers.sleep(self._pace)

    async def _step(self, machine: Machine, program: str) -> None:
        shard = ids.find_shard(program)
        epoch = machine.ownership.epoch_of(shard)
        if machine.programs.find(program) is None:
            if program in self.opened:
                raise AssertionError(f'{machine.name} has lost {program}')
            machine.open_program(program)
        target = f'{machine.incarnation} {len(self.acts)}'
        machine.hold(program, target)
        if await machine.journal.flush() is not None:
            return
        self.opened.add(program)
        await machine.gate.pass_through()
        if machine.ownership.epoch_of(shard) == epoch:
            now = self._cluster.loop.time()
            act = Act(now, machine.name, program, epoch, target)
            self.acts.append(act)

    def check_order(self, case) -> None:
        """Check that no act comes behind one of a later epoch."""
        latest: dict[str, int] = {}
        for act in self.acts:
            case.assertGreaterEqual(act.epoch, latest.get(act.program, 0), act)
            latest[act.program] = act.epoch

    def check_kept(self, case, *owners: Machine) -> None:
        """Check that the owners have every record that was acted upon."""
        for act in self.acts:
            shard = ids.find_shard(act.program)
            holders = [
                owner
                for owner in owners
                if owner.ownership.epoch_of(shard) is not None
            ]
            case.assertEqual(1, len(holders), f'owners of shard {shard}')
            found = holders[0].programs.find(act.program)
            case.assertIsNotNone(found, act)
            case.assertIn(act.target, found.cache_targets)


async def read_journal(
    cluster: Cluster, incarnation: str
) -> list[records.AnyRecord]:
    """Return the records that a journal holds by its row."""
    table = cluster.platform.table
    objects = cluster.platform.objects
    found = await table.read(rows.name_instance_row(incarnation))
    row = rows.decode_row(found.value, rows.InstanceRow)
    kept: list[records.AnyRecord] = []
    for number in range(row.base, row.head + 1):
        blob = await objects.get(rows.name_segment(incarnation, number))
        kept += records.decode_segment(blob).records
    if row.tail:
        found = await table.read(rows.name_tail_row(incarnation))
        tail = rows.decode_row(found.value, rows.TailRow)
        kept += [
            msgspec.msgpack.decode(raw, type=records.AnyRecord)
            for raw in tail.records
        ]
    return kept


async def read_shard_rows(cluster: Cluster) -> list[rows.ShardRow]:
    """Return all shard rows of the table."""
    found = await cluster.platform.table.scan(rows.SHARD_PREFIX, limit=9999)
    return [rows.decode_row(row.value, rows.ShardRow) for row in found]


async def wait_for_fence(cluster: Cluster, dead: Machine) -> None:
    """Wait until another machine has fenced a dead one."""
    key = rows.name_instance_row(dead.incarnation)
    for _ in range(5000):
        found = await cluster.platform.table.read(key)
        row = rows.decode_row(found.value, rows.InstanceRow)
        if row.state is rows.InstanceState.FENCED:
            return
    raise AssertionError(f'{dead.incarnation} was not fenced')
