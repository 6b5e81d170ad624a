"""Which shards this instance owns, and how they come and go.

The table service decides: this instance claims free shards that rendezvous
hashing gives to it, brings them into service by replay, and hands shards
over that another instance should have. Membership only says whom to expect.
"""

import asyncio
import random
import typing

from vanillayoke.cluster import messages
from vanillayoke.cluster import rows
from vanillayoke.cluster import shards as shardmaps
from vanillayoke.cluster import takeover
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import timers
from vanillayoke.node import alarm
from vanillayoke.node import claims
from vanillayoke.node import cleaning
from vanillayoke.node import compaction
from vanillayoke.node import handovers
from vanillayoke.node import holdings
from vanillayoke.node import journal as journals
from vanillayoke.node import notices
from vanillayoke.node import replayer
from vanillayoke.node import shardtable
from vanillayoke.node import watcher
from vanillayoke.platform import ports
from vanillayoke.programs import program as programs
from vanillayoke.settings import process

MOVES_PER_ROUND = 256
_MOVE_INTERVAL = 1.0
_SCAN_READS_PER_SECOND = 100.0
_READS_AFTER_DEATH = 1000.0
_READS_PER_SCAN = 6
_SHORTEST_SCAN_INTERVAL = 10.0
_RETRY = 0.5

_EXPECTED = frozenset((messages.State.ALIVE, messages.State.SUSPECTED))
_NORMAL = frozenset((messages.State.ALIVE, messages.State.LEFT))

MayMove = typing.Callable[[ids.Shard], bool]
FencedCallback = typing.Callable[[str, str], None]


class Ownership:
    """The shards of this instance, by leases and epochs."""

    def __init__(
        self,
        *,
        journal: journals.Journal,
        service: timers.TimerService,
        table: ports.TableService,
        objects: ports.ObjectStore,
        source: random.Random,
        lease: process.LeaseSettings,
        retention: float,
    ) -> None:
        self._journal = journal
        self._timers = service
        self._random = source
        self._lease_settings = lease
        self._retention = retention
        self._members: dict[str, messages.Member] = {}
        self._map = shardmaps.ShardMap()
        self._list_programs: handovers.ListPrograms = _list_nothing
        self._may_move: MayMove = _allow
        self._is_leaving = False
        self._held = holdings.Holdings()
        self._table = shardtable.ShardTable(
            table, service, source, self._spend
        )
        self._notices = notices.Notices(
            journal.incarnation, table, source, self._spend
        )
        self._watcher = watcher.Watcher(
            journal.incarnation, table, service, source, lease, self._spend
        )
        self._claimer = claims.Claimer(
            journal,
            self._table,
            self._held,
            replayer.Replayer(table, objects, service),
            service,
            source,
            self._keeps,
        )
        self._giver = handovers.Giver(
            journal,
            self._table,
            self._held,
            self._notices,
            service,
            source,
            lambda shard: self._list_programs(shard),
        )
        self._compactor = compaction.Compactor(
            journal,
            self._held,
            service,
            lambda shard: self._list_programs(shard),
            self._keeps,
            lambda: self._giver.first_pinned,
        )
        self._cleaner = cleaning.Cleaner(table, objects, source, self._spend)
        self._claim_alarm = alarm.Alarm(service)
        self._scan_at = float('-inf')
        self._tasks: list[asyncio.Task] = []
        self._watcher.subscribe_final(self._note_final)
        journal.subscribe_renewed(self._watcher.note_renewal)
        journal.subscribe_lost(self._held.clear)

    @classmethod
    def from_config(
        cls,
        settings: process.ProcessSettings,
        journal: journals.Journal,
        platform: ports.Platform,
        service: timers.TimerService,
        source: random.Random,
    ) -> 'Ownership':
        """Build the ownership that goes with a journal."""
        return cls(
            journal=journal,
            service=service,
            table=platform.table,
            objects=platform.objects,
            source=source,
            lease=settings.lease,
            retention=settings.store.retention,
        )

    def _spend(self, writes: int) -> None:
        self._journal.pacer.spend(self._timers.now(), writes)

    def _keeps(self, program: programs.Program) -> bool:
        """Tell whether a program's history must stay in the store."""
        if program.is_active or program.held:
            return True
        return self._timers.wall() - program.ended_at < self._retention

    def subscribe_gained(self, callback: holdings.GainedCallback) -> None:
        """Call back with the programs of shards that are served now."""
        self._held.subscribe_gained(callback)

    def subscribe_lost(self, callback: holdings.LostCallback) -> None:
        """Call back with shards that are not served any more."""
        self._held.subscribe_lost(callback)

    def subscribe_fenced(self, callback: FencedCallback) -> None:
        """Call back with each instance and incarnation that was fenced."""

        def tell(incarnation: str) -> None:
            row = self.find_instance(incarnation)
            if row is not None and row.state is rows.InstanceState.FENCED:
                callback(row.name, incarnation)

        self._watcher.subscribe_final(tell)

    def provide_programs(self, callback: handovers.ListPrograms) -> None:
        """Ask this callback for the programs of an owned shard."""
        self._list_programs = callback

    def provide_may_move(self, callback: MayMove) -> None:
        """Ask this callback whether a shard may move to a better owner now.

        It says no while calls of the shard's programs are under way.
        """
        self._may_move = callback

    def epoch_of(self, shard: int) -> int | None:
        """Return the epoch under which irreversible acts are allowed.

        ``None`` unless the shard is owned and replayed and the lease allows
        acting now; so ask again after every await.
        """
        if not self._journal.lease.may_act(self._timers.now()):
            return None
        return self.held_epoch(shard)

    def held_epoch(self, shard: int) -> int | None:
        """Return the epoch of a shard held, though the lease may lapse."""
        return self._held.find_epoch(ids.Shard(shard))

    def owner_of(self, shard: int) -> str | None:
        """Return the incarnation that owns a shard, to best knowledge."""
        row = self._table.find(ids.Shard(shard))
        if row.owner and not self._watcher.is_final(row.owner):
            return row.owner
        expected = self._map.find_owner(ids.Shard(shard))
        return self._find_incarnation(expected)

    def find_instance(self, incarnation: str) -> rows.InstanceRow | None:
        """Return what the table says of an incarnation, if known here."""
        known = self._watcher.known.get(incarnation)
        return known.row if known else None

    async def refresh_owner(self, shard: int) -> str | None | failures.Failure:
        """Read a shard's owner anew, where a request went astray."""
        failure = await self._table.refresh(ids.Shard(shard))
        if failure is not None:
            return failure
        owner = self.owner_of(shard)
        if owner is not None and owner not in self._watcher.known:
            await self._watcher.read(owner)
        return owner

    def owned_shards(self) -> frozenset[ids.Shard]:
        """Return the shards that are served here."""
        return frozenset(self._held.list_in(holdings.Phase.SERVING))

    def update_members(
        self, members: typing.Sequence[messages.Member]
    ) -> None:
        """Take over what membership knows of the other instances."""
        self._members = {member.instance: member for member in members}
        known = {one.row.name for one in self._watcher.known.values()}
        if not known.issuperset(self._members):
            self._scan_at = float('-inf')
        self._update_map()

    def leave(self) -> None:
        """Begin to hand over the shards that may move, a few at a time.

        Programs between two turns so go on elsewhere at once, while calls
        that are under way come to their end here.
        """
        self._is_leaving = True
        self._update_map()

    def _update_map(self) -> None:
        name = self._journal.row.name
        expected = {
            member.instance
            for member in self._members.values()
            if member.state in _EXPECTED
            and self._watcher.find_live(member.instance) is not None
        }
        own = set() if self._is_leaving else {name}
        self._map.update((expected - {name}) | own)
        self._journal.pacer.share_with(len(expected | {name}))
        self._claim_alarm.ring()

    def _note_final(self, incarnation: str) -> None:
        # The rows of a dead instance's shards may have changed since they
        # were read here; all instances read them again, not all at once.
        live = len(self._map.members)
        spread = max(live * _READS_PER_SCAN / _READS_AFTER_DEATH, 1.0)
        delay = spread * self._random.random()
        self._scan_at = min(self._scan_at, self._timers.now() + delay)
        self._update_map()

    def _find_incarnation(self, name: str) -> str | None:
        if name == self._journal.row.name:
            return self._journal.incarnation
        live = self._watcher.find_live(name)
        return live.incarnation if live else None

    async def start(self) -> None | failures.Failure:
        """Read the table and begin to claim, watch and hand over.

        It goes on after a failure, which says why it owns nothing yet.
        """
        failure = await self._scan()
        if failure is None:
            failure = await self._claim()
        self._tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._run_claims(),
                self._run_watch(),
                self._run_notices(),
                self._run_upkeep(),
                self._run_moves(),
                self._compactor.run(),
            )
        ]
        return failure

    async def stop(self) -> None:
        """Stop all tasks and leave the table as it is."""
        await self._stop_tasks()
        await self._giver.stop()

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._claimer.stop()

    async def release(self) -> None | failures.Failure:
        """Hand every shard over and end the lease.

        Nothing is served from the call on. A successor needs no wait.
        """
        self.leave()
        await self._stop_tasks()
        await self._journal.change_row(state=rows.InstanceState.LEAVING)
        await self._giver.finish()
        heirs = {
            shard: self._find_incarnation(self._map.find_owner(shard)) or ''
            for phase in (holdings.Phase.SERVING, holdings.Phase.REPLAYING)
            for shard in self._held.list_in(phase)
        }
        failure = await self._giver.hand_over(heirs)
        if failure is not None:
            return failure
        return await self._journal.close()

    async def _scan(self) -> None | failures.Failure:
        failure = await self._watcher.scan()
        if failure is None:
            failure = await self._table.scan()
        if failure is None:
            self._giver.unpin()
            self._update_map()
            self._claimer.adopt()
        live = len(self._map.members)
        interval = live * _READS_PER_SCAN / _SCAN_READS_PER_SECOND
        interval = max(interval, _SHORTEST_SCAN_INTERVAL)
        if failure is not None:
            interval = _RETRY
        jitter = self._random.uniform(0.8, 1.0)
        self._scan_at = self._timers.now() + interval * jitter
        return failure

    async def _claim(self) -> None | failures.Failure:
        # A claim by an instance whose own row is not there would look like
        # one by an instance that is dead and cleared away.
        if not self._journal.lease.may_act(self._timers.now()):
            return _make_not_held()
        if not self._table.is_known:
            return None
        wanted = self._map.list_shards(self._journal.row.name)
        unknown = {
            owner
            for shard in wanted
            if (owner := self._table.find(shard).owner)
            and owner != self._journal.incarnation
            and owner not in self._watcher.known
            and not self._watcher.is_final(owner)
        }
        await asyncio.gather(*map(self._watcher.read, sorted(unknown)))
        free = [shard for shard in wanted if self._is_free(shard)]
        if not free:
            return None
        return await self._claimer.claim(free)

    def _is_free(self, shard: ids.Shard) -> bool:
        if shard in self._held:
            return False
        owner = self._table.find(shard).owner
        return not owner or self._watcher.is_final(owner)

    async def _run_claims(self) -> None:
        while not self._journal.lease.is_lost:
            moment = self._timers.now() + _SHORTEST_SCAN_INTERVAL
            failure = await self._claim()
            if failure is not None:
                moment = self._timers.now() + _RETRY
            await self._claim_alarm.wait_until(moment)

    async def _run_watch(self) -> None:
        slow = self._lease_settings.time_to_live / 6
        polled: dict[str, float] = {}
        while not self._journal.lease.is_lost:
            fast = self._watcher.find_poll_interval(len(self._map.members))
            now = self._timers.now()
            due = [
                incarnation
                for incarnation in self._list_watched()
                if now - polled.get(incarnation, float('-inf'))
                >= (fast if self._is_in_doubt(incarnation) else slow)
            ]
            polled.update((incarnation, now) for incarnation in due)
            await self._watcher.poll(due)
            await self._timers.sleep(fast)

    def _list_watched(self) -> list[str]:
        """Return the incarnations whose leases are watched from here."""
        me = self._journal.row.name
        found = []
        for incarnation, known in self._watcher.known.items():
            if known.row.state.is_final:
                continue
            name = known.row.name
            # An instance that restarted does watch its earlier incarnation.
            is_current = self._find_incarnation(name) == incarnation
            left_out = name if is_current else ''
            if me in self._map.list_watchers(incarnation, left_out):
                found.append(incarnation)
        return found

    def _is_in_doubt(self, incarnation: str) -> bool:
        known = self._watcher.known[incarnation]
        member = self._members.get(known.row.name)
        return member is None or member.state not in _NORMAL

    async def _run_notices(self) -> None:
        while not self._journal.lease.is_lost:
            fresh = await self._notices.read_new()
            if not failures.is_failure(fresh):
                for notice in fresh:
                    await self._take_notice(notice)
            await self._timers.sleep(self._find_notice_interval())

    def _find_notice_interval(self) -> float:
        live = len(self._map.members)
        interval = self._watcher.find_poll_interval(live)
        is_calm = all(one.state in _NORMAL for one in self._members.values())
        if is_calm and not self._expects_shards():
            interval = max(interval, self._lease_settings.time_to_live / 3)
        return interval

    def _expects_shards(self) -> bool:
        """Tell whether shards are due to come here by a handover."""
        mine = self._map.list_shards(self._journal.row.name)
        return any(shard not in self._held for shard in mine)

    async def _take_notice(self, notice: rows.NoticeRow) -> None:
        if notice.fenced:
            self._watcher.mark_fenced(notice.incarnation)
        handed = notice.handed.get(self._journal.incarnation, ())
        fresh = [shard for shard in handed if shard not in self._held]
        await asyncio.gather(*map(self._table.refresh, fresh))
        if fresh:
            self._claimer.adopt()

    async def _run_upkeep(self) -> None:
        while not self._journal.lease.is_lost:
            if self._timers.now() >= self._scan_at:
                final = self._list_final()
                if await self._scan() is None:
                    self._claim_alarm.ring()
                    await self._clean(final)
            await self._timers.sleep(_RETRY)

    def _list_final(self) -> list[str]:
        return [
            incarnation
            for incarnation in self._watcher.known
            if self._watcher.is_final(incarnation)
        ]

    async def _clean(self, final: list[str]) -> None:
        """Delete dead journals that no row names.

        They were final before the rows were read: so no row can come to
        name one of them that it has not named then.
        """
        named = takeover.list_named(self._table.list_rows())
        me = self._journal.row.name
        for incarnation in final:
            watchers = self._map.list_watchers(incarnation, '', 1)
            if incarnation not in named and me in watchers:
                if await self._cleaner.delete_journal(incarnation) is None:
                    self._watcher.forget(incarnation)

    async def _run_moves(self) -> None:
        while not self._journal.lease.is_lost:
            await self._timers.sleep(_MOVE_INTERVAL)
            heirs = self._plan_moves()
            if heirs:
                await self._giver.hand_over(heirs)

    def _plan_moves(self) -> handovers.Heirs:
        heirs: handovers.Heirs = {}
        serving = self._held.list_in(holdings.Phase.SERVING)
        # Somebody may wait for a program; nobody waits for an empty shard.
        serving.sort(key=lambda shard: not self._list_programs(shard))
        for shard in serving:
            name = self._map.find_owner(shard)
            if name == self._journal.row.name:
                continue
            member = self._members.get(name)
            heir = self._find_incarnation(name)
            if member is None or member.state is not messages.State.ALIVE:
                continue
            if heir is None or self._table.find(shard).sources:
                continue
            if self._may_move(shard):
                heirs[shard] = heir
            if len(heirs) >= MOVES_PER_ROUND:
                break
        return heirs


def _make_not_held() -> failures.Failure:
    return failures.Failure(
        failures.Kind.LEASE_LOST, 'the instance holds no lease at present'
    )


def _list_nothing(shard: ids.Shard) -> list[programs.Program]:
    return []


def _allow(shard: ids.Shard) -> bool:
    return True
