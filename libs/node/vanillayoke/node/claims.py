"""Taking shards: claim them, replay their programs, settle."""

import asyncio
import random
import typing

from vanillayoke.cluster import takeover
from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.node import backoff
from vanillayoke.node import holdings
from vanillayoke.node import journal as journals
from vanillayoke.node import replayer
from vanillayoke.node import shardtable
from vanillayoke.programs import program as programs
from vanillayoke.programs import snapshots

_SETTLE_RETRY = 2.0

Keeps = typing.Callable[[programs.Program], bool]


class Claimer:
    """Claims free shards and brings those it owns into service."""

    def __init__(
        self,
        journal: journals.Journal,
        table: shardtable.ShardTable,
        held: holdings.Holdings,
        replay: replayer.Replayer,
        service: timers.TimerService,
        source: random.Random,
        keeps: Keeps,
        logger: logs.Logger,
    ) -> None:
        self._journal = journal
        self._table = table
        self._held = held
        self._replayer = replay
        self._timers = service
        self._random = source
        self._keeps = keeps
        self._logger = logger
        self._tasks: set[asyncio.Task] = set()

    @property
    def claimant(self) -> str:
        """Return this instance's incarnation."""
        return self._journal.incarnation

    async def claim(
        self, wanted: typing.Iterable[ids.Shard]
    ) -> None | failures.Failure:
        """Claim free shards; others may be faster for some of them."""
        me = self.claimant
        changes = {
            shard: takeover.make_claim(self._table.find(shard), me)
            for shard in wanted
        }
        result = await self._table.change(changes)
        self.adopt()
        return result if failures.is_failure(result) else None

    def adopt(self) -> None:
        """Bring shards into service that the table gives to this instance.

        A claim whose reply was lost, or a handover to this instance, shows
        first in the rows.
        """
        me = self.claimant
        gained = {
            ids.Shard(shard): row
            for shard, row in enumerate(self._table.list_rows())
            if row.owner == me and shard not in self._held
        }
        if not gained or self._journal.lease.is_lost:
            return
        for shard, row in gained.items():
            self._held.gain(shard, row.epoch)
        empty = [shard for shard, row in gained.items() if not row.sources]
        if empty:
            self._held.serve(empty, [])
        for claimed in _group_by_journals(gained):
            task = asyncio.ensure_future(self._take_over(claimed))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Stop all replays that go on."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _take_over(self, claimed: shardtable.Changes) -> None:
        holder = _find_dead_holder(claimed)
        begin = self._timers.now()
        if holder:
            self._logger.write(events.TAKEOVER_STARTED, holder=holder)
        found = await self._replay(claimed, holder)
        if found is None:
            return
        ready = {
            shard: row
            for shard, row in claimed.items()
            if self._held.is_replaying(shard, row.epoch)
        }
        kept = [
            program
            for program in found.values()
            if ids.find_shard(program.id) in ready and self._keeps(program)
        ]
        # The snapshots go before whatever is appended once the programs
        # are served: a later replay of this journal begins from them.
        self._journal.append(
            [
                snapshots.take_snapshot(
                    program, ready[ids.find_shard(program.id)].epoch
                )
                for program in kept
            ]
        )
        self._held.serve(ready, kept)
        if holder:
            self._logger.write(
                events.TAKEOVER_ENDED,
                holder=holder,
                programs=len(kept),
                seconds=round(self._timers.now() - begin, 3),
            )
        await self._settle(ready)

    async def _replay(
        self, claimed: shardtable.Changes, holder: str
    ) -> dict[str, programs.Program] | None:
        delays = backoff.Backoff(self._random)
        while not self._journal.lease.is_lost:
            found = await self._replayer.replay(claimed)
            if not failures.is_failure(found):
                return found
            self._logger.write(
                events.TAKEOVER_FAILED, holder=holder, reason=found.reason
            )
            delays.note_failure(self._timers.now())
            await self._timers.sleep(delays.retry_at - self._timers.now())
        return None

    async def _settle(self, replayed: shardtable.Changes) -> None:
        """Drop the sources from rows once the snapshots are durable.

        Until then a successor replays the sources again: they are whole,
        while this instance's journal may end half-way through.
        """
        while not self._journal.lease.is_lost:
            if await self._journal.flush() is None:
                result = await self._table.change(self._make_settled(replayed))
                if not failures.is_failure(result):
                    return
            await self._timers.sleep(_SETTLE_RETRY)

    def _make_settled(
        self, replayed: shardtable.Changes
    ) -> shardtable.Changes:
        return {
            shard: takeover.settle(row)
            for shard, row in replayed.items()
            if self._table.find(shard) == row
        }


def _group_by_journals(
    gained: shardtable.Changes,
) -> list[shardtable.Changes]:
    """Group shards by the journals they need.

    Each journal is read once for all its shards, and one that cannot be
    read holds up only the shards that need it.
    """
    groups: dict[tuple[str, ...], shardtable.Changes] = {}
    for shard, row in gained.items():
        if row.sources:
            journals = tuple(source.incarnation for source in row.sources)
            groups.setdefault(journals, {})[shard] = row
    return list(groups.values())


def _find_dead_holder(claimed: shardtable.Changes) -> str:
    """Return whose lease ran out, '' where the shards were handed over."""
    newest = [row.sources[-1] for row in claimed.values()]
    return next((one.incarnation for one in newest if not one.last), '')
