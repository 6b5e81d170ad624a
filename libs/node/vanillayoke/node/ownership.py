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
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.node import alarm
from vanillayoke.node import caretaker
from vanillayoke.node import claims
from vanillayoke.node import cleaning
from vanillayoke.node import compaction
from vanillayoke.node import handovers
from vanillayoke.node import holdings
from vanillayoke.node import journal as journals
from vanillayoke.node import lookout
from vanillayoke.node import neighbours
from vanillayoke.node import notices
from vanillayoke.node import replayer
from vanillayoke.node import shardtable
from vanillayoke.node import watcher
from vanillayoke.platform import ports
from vanillayoke.programs import program as programs
from vanillayoke.settings import process

_MOVE_INTERVAL = 1.0
_CLAIM_INTERVAL = 10.0
_RETRY = 0.5

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
        logger: logs.Logger,
    ) -> None:
        self._journal = journal
        self._timers = service
        self._random = source
        self._retention = retention
        self._list_programs: handovers.ListPrograms = _list_nothing
        self._may_move: handovers.MayMove = _allow
        self._held = holdings.Holdings(logger)
        self._table = shardtable.ShardTable(
            table, service, source, self._spend
        )
        self._notices = notices.Notices(
            journal.incarnation, table, source, self._spend
        )
        self._watcher = watcher.Watcher(
            journal.incarnation, table, service, source, lease, self._spend
        )
        self._neighbours = neighbours.Neighbours(journal.row, self._watcher)
        self._claimer = claims.Claimer(
            journal,
            self._table,
            self._held,
            replayer.Replayer(table, objects, service),
            service,
            source,
            self._keeps,
            logger,
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
        self._caretaker = caretaker.Caretaker(
            self._neighbours,
            self._watcher,
            self._table,
            cleaning.Cleaner(table, objects, service, source, journal.pacer),
            service,
            source,
            self._note_scanned,
            self._share_work,
        )
        self._lookout = lookout.Lookout(
            journal.lease,
            lease,
            service,
            source,
            self._neighbours,
            self._watcher,
            self._notices,
            self._table,
            self._held,
            self._claimer,
        )
        self._claim_alarm = alarm.Alarm(service)
        self._tasks: list[asyncio.Task] = []
        self._releasing: asyncio.Task | None = None
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
        logger: logs.Logger | None = None,
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
            logger=logger
            or logs.Logger.from_config(settings.instance.name, service),
        )

    def _spend(self, writes: int) -> None:
        self._journal.pacer.spend(self._timers.now(), writes)

    def _keeps(self, program: programs.Program) -> bool:
        """Tell whether a program's history must stay in the store."""
        if program.is_active or program.cache_targets:
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

    def provide_may_move(self, callback: handovers.MayMove) -> None:
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
        return self._neighbours.find_heir(ids.Shard(shard))

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
        self._neighbours.update(members)
        self._lookout.hurry()
        self._caretaker.note_members()
        self._share_work()

    def leave(self) -> None:
        """Begin to hand over the shards that may move, a few at a time.

        Programs between two turns so go on elsewhere at once, while calls
        that are under way come to their end here.
        """
        self._neighbours.leave()
        self._share_work()

    def _share_work(self) -> None:
        self._journal.pacer.share_with(self._neighbours.count)
        self._claim_alarm.ring()

    def _note_scanned(self) -> None:
        self._giver.unpin()
        self._claimer.adopt()

    def _note_final(self, incarnation: str) -> None:
        self._caretaker.note_final()
        self._neighbours.update_map()
        self._share_work()

    async def start(self) -> None | failures.Failure:
        """Read the table and begin to claim, watch and hand over.

        It goes on after a failure, which says why it owns nothing yet.
        """
        failure = await self._caretaker.scan()
        if failure is None:
            failure = await self._claim()
        self._tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._run_claims(),
                self._lookout.watch(),
                self._lookout.follow_notices(),
                self._caretaker.run(),
                self._run_moves(),
                self._compactor.run(),
            )
        ]
        return failure

    async def stop(self) -> None:
        """Stop all tasks and leave the table as it is."""
        if self._releasing is not None:
            self._releasing.cancel()
            await asyncio.gather(self._releasing, return_exceptions=True)
        await self._stop_tasks()
        await self._giver.stop()

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._claimer.stop()
        await self._caretaker.stop()

    async def release(self) -> None | failures.Failure:
        """Hand every shard over and end the lease.

        Nothing is served from the call on. A successor needs no wait. Asked
        for twice, it is done once.
        """
        if self._releasing is None:
            self._releasing = asyncio.ensure_future(self._release())
        return await asyncio.shield(self._releasing)

    async def _release(self) -> None | failures.Failure:
        self.leave()
        await self._stop_tasks()
        await self._journal.change_row(state=rows.InstanceState.LEAVING)
        await self._giver.finish()
        heirs = {
            shard: self._neighbours.find_heir(shard) or ''
            for phase in (holdings.Phase.SERVING, holdings.Phase.REPLAYING)
            for shard in self._held.list_in(phase)
        }
        failure = await self._giver.hand_over(heirs)
        if failure is not None:
            return failure
        return await self._journal.close()

    async def _claim(self) -> None | failures.Failure:
        # A claim by an instance whose own row is not there would look like
        # one by an instance that is dead and cleared away.
        if not self._journal.lease.may_act(self._timers.now()):
            return _make_not_held()
        if not self._table.is_known:
            return None
        wanted = self._neighbours.list_own_shards()
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
            moment = self._timers.now() + _CLAIM_INTERVAL
            failure = await self._claim()
            if failure is not None:
                moment = self._timers.now() + _RETRY
            await self._claim_alarm.wait_until(moment)

    async def _run_moves(self) -> None:
        while not self._journal.lease.is_lost:
            await self._timers.sleep(_MOVE_INTERVAL)
            await self._giver.move(
                self._neighbours.find_better_owner, self._may_move
            )


def _make_not_held() -> failures.Failure:
    return failures.Failure(
        failures.Kind.LEASE_LOST, 'the instance holds no lease at present'
    )


def _list_nothing(shard: ids.Shard) -> list[programs.Program]:
    return []


def _allow(shard: ids.Shard) -> bool:
    return True
