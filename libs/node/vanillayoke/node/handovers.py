"""Giving shards away in good order, so that the heir need not wait."""

import asyncio
import random
import typing

from vanillayoke.cluster import takeover
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import timers
from vanillayoke.node import holdings
from vanillayoke.node import journal as journals
from vanillayoke.node import notices
from vanillayoke.node import shardtable
from vanillayoke.programs import program as programs
from vanillayoke.programs import records
from vanillayoke.programs import snapshots

MOVES_PER_ROUND = 256
NOTICE_LIFETIME = 60.0
_RETRY = 0.5

ListPrograms = typing.Callable[[ids.Shard], typing.Iterable[programs.Program]]
FindBetter = typing.Callable[[ids.Shard], str | None]
MayMove = typing.Callable[[ids.Shard], bool]
Heirs = dict[ids.Shard, str]


class _Handed(typing.NamedTuple):
    heir: str
    shard: ids.Shard
    until: float


class _Begun(typing.NamedTuple):
    """A handover whose shards are served no more."""

    heirs: Heirs
    taken: list[records.ProgramSnapshot]
    unreplayed: frozenset[ids.Shard]


class Giver:
    """Hands shards over to other instances."""

    def __init__(
        self,
        journal: journals.Journal,
        table: shardtable.ShardTable,
        held: holdings.Holdings,
        news: notices.Notices,
        service: timers.TimerService,
        source: random.Random,
        list_programs: ListPrograms,
    ) -> None:
        self._journal = journal
        self._table = table
        self._held = held
        self._notices = news
        self._timers = service
        self._random = source
        self._list_programs = list_programs
        self._handed: list[_Handed] = []
        self._tasks: set[asyncio.Task] = set()
        self._pinned: dict[ids.Shard, int] = {}

    @property
    def first_pinned(self) -> int | None:
        """Return the oldest own segment that a handover may still name."""
        return min(self._pinned.values(), default=None)

    async def hand_over(self, heirs: Heirs) -> None | failures.Failure:
        """Give shards to their heirs; '' leaves a shard to any claimant.

        The shards are served no more from the call on.

        It goes on to its end where its caller is cancelled: nobody else
        would ever finish it, and its shards would be served by nobody.
        """
        task = asyncio.ensure_future(self._complete(self._begin(heirs)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def move(self, find_better: FindBetter, may_move: MayMove) -> None:
        """Hand over some shards that other instances should have."""
        heirs: Heirs = {}
        serving = self._held.list_in(holdings.Phase.SERVING)
        # Somebody may wait for a program; nobody waits for an empty shard.
        serving.sort(key=lambda shard: not self._list_programs(shard))
        for shard in serving:
            heir = find_better(shard)
            if heir is None or self._table.find(shard).sources:
                continue
            if may_move(shard):
                heirs[shard] = heir
            if len(heirs) >= MOVES_PER_ROUND:
                break
        if heirs:
            await self.hand_over(heirs)

    async def finish(self) -> None:
        """Wait for the handovers that have begun."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def stop(self) -> None:
        """Break off the handovers that have begun, as a death would."""
        for task in self._tasks:
            task.cancel()
        await self.finish()

    def _begin(self, heirs: Heirs) -> _Begun:
        """Stop serving shards and keep what they are at this moment.

        This is one step without an await. Two handovers of a shard at once,
        as by a stop that is asked for twice, would else find its programs
        gone the second time and hand over an empty shard.
        """
        giving = set(self._held.list_in(holdings.Phase.GIVING))
        heirs = {
            shard: heir for shard, heir in heirs.items() if shard not in giving
        }
        begun = _Begun(
            heirs,
            self._take_snapshots(heirs),
            frozenset(self._held.list_in(holdings.Phase.REPLAYING)),
        )
        self._held.give_up(heirs)
        return begun

    async def _complete(self, begun: _Begun) -> None | failures.Failure:
        """Write what was begun.

        It is finished even where the store fails for long: the write in
        doubt may take effect at any later time, so that this instance could
        never again be sure of its epoch.
        """
        extent = await self._store(begun.taken)
        if failures.is_failure(extent):
            return extent
        with_programs = {ids.find_shard(one.program) for one in begun.taken}
        changes: shardtable.Changes = {}
        for shard, heir in begun.heirs.items():
            row = self._table.find(shard)
            if shard in begun.unreplayed:
                changes[shard] = takeover.pass_on(row, heir)
                continue
            its = extent if shard in with_programs else None
            changes[shard] = takeover.make_handover(row, heir, its)
        return await self._write(changes)

    def _take_snapshots(self, heirs: Heirs) -> list[records.ProgramSnapshot]:
        taken = []
        for shard in heirs:
            epoch = self._held.find_epoch(shard)
            if epoch is None:
                continue
            taken += [
                snapshots.take_snapshot(program, epoch)
                for program in self._list_programs(shard)
            ]
        return taken

    async def _store(
        self, taken: list[records.ProgramSnapshot]
    ) -> takeover.Extent | None | failures.Failure:
        if not taken:
            return None
        return await self._journal.store(taken)

    async def _write(
        self, changes: shardtable.Changes
    ) -> None | failures.Failure:
        self._pin(changes)
        left = changes
        while left:
            if self._journal.lease.is_lost:
                return failures.Failure(
                    failures.Kind.LEASE_LOST, 'fenced during a handover'
                )
            result = await self._table.change(left)
            given = [shard for shard in left if self._is_given(shard)]
            self._held.remove(given)
            await self._announce(given)
            left = {
                shard: row for shard, row in left.items() if shard not in given
            }
            if failures.is_failure(result):
                await self._timers.sleep(_RETRY)
        return None

    def _is_given(self, shard: ids.Shard) -> bool:
        """Tell whether a handover took effect, by the row as last read.

        The heir may have changed the row again before a lost reply was
        noticed. Nobody else changes the row of a live owner, so that
        another owner in it is proof enough; to write the handover once more
        would take the shard back to an old epoch.
        """
        return self._table.find(shard).owner != self._journal.incarnation

    def _pin(self, changes: shardtable.Changes) -> None:
        """Keep the segments that the rows are about to name."""
        for shard, row in changes.items():
            for source in row.sources:
                if source.incarnation == self._journal.incarnation:
                    self._pinned[shard] = source.first

    def unpin(self) -> None:
        """Let go of segments that no row names, after a scan of the rows."""
        me = self._journal.incarnation
        giving = set(self._held.list_in(holdings.Phase.GIVING))
        for shard in set(self._pinned) - giving:
            row = self._table.find(shard)
            if not any(source.incarnation == me for source in row.sources):
                del self._pinned[shard]

    async def _announce(self, given: list[ids.Shard]) -> None:
        if not given:
            return
        now = self._timers.now()
        until = now + NOTICE_LIFETIME
        self._handed = [one for one in self._handed if one.until > now]
        self._handed += [
            _Handed(self._table.find(shard).owner, shard, until)
            for shard in given
        ]
        handed: dict[str, tuple[ids.Shard, ...]] = {}
        for heir, shard, _ in self._handed:
            handed[heir] = (*handed.get(heir, ()), shard)
        await self._notices.announce_handed(handed)
