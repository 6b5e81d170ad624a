"""Keeping the journal short: old segments go, snapshots take their place."""

import typing

from vanillayoke.core import ids
from vanillayoke.core import timers
from vanillayoke.node import extents
from vanillayoke.node import holdings
from vanillayoke.node import journal as journals
from vanillayoke.programs import program as programs
from vanillayoke.programs import snapshots

# A taker reads every segment, so their number bounds the time it takes.
MOST_SEGMENTS = 128
# Journals below this are left alone; in bytes.
SMALLEST_JOURNAL = 1024 * 1024
_MOST_GARBAGE = 2.0
_GROWTH = 1.5
_LEAST_GAIN = 0.9
_BYTES_PER_PROGRAM = 500
_BYTES_PER_CALL = 400
_BYTES_PER_CHARACTER = 2
_CLEANED_SHARE = 0.5
CHECK_INTERVAL = 5.0

ListPrograms = typing.Callable[[ids.Shard], typing.Iterable[programs.Program]]
Keeps = typing.Callable[[programs.Program], bool]


class Compactor:
    """Rewrites what is still needed of the oldest segments.

    An ended program that is no longer kept is not rewritten: so it leaves
    the store.
    """

    def __init__(
        self,
        journal: journals.Journal,
        held: holdings.Holdings,
        service: timers.TimerService,
        list_programs: ListPrograms,
        keeps: Keeps,
        find_first_pinned: typing.Callable[[], int | None],
    ) -> None:
        self._journal = journal
        self._held = held
        self._timers = service
        self._list_programs = list_programs
        self._keeps = keeps
        self._find_first_pinned = find_first_pinned
        self._all_alive = 0

    async def run(self) -> None:
        """Compact whenever it is due, until the lease is lost."""
        while not self._journal.lease.is_lost:
            await self._timers.sleep(CHECK_INTERVAL)
            if self.is_due():
                await self.compact()

    def is_due(self) -> bool:
        """Tell whether the journal is longer than it should be."""
        known = self._journal.extents
        if len(known) > MOST_SEGMENTS:
            return True
        if known.size < max(SMALLEST_JOURNAL, self._all_alive * _GROWTH):
            return False
        return known.size > _MOST_GARBAGE * self._estimate_live()

    def _estimate_live(self) -> int:
        """Return about how many bytes snapshots of all programs would take."""
        return sum(
            estimate_snapshot(program)
            for shard in self._held.list_in(holdings.Phase.SERVING)
            for program in self._list_programs(shard)
            if self._keeps(program)
        )

    async def compact(self) -> bool:
        """Rewrite the oldest half; tell whether the journal got shorter."""
        before = self._journal.extents.size
        base = self._choose_base()
        if base is None:
            return False
        old = [one for one in self._journal.extents if one.number < base]
        if not await self._rewrite(old):
            return False
        if await self._journal.flush() is not None:
            return False
        if await self._journal.change_row(base=base) is not None:
            return False
        await self._journal.delete_segments(base)
        # The estimate may be far off. Without this bound a journal that is
        # all alive would be rewritten again and again.
        after = self._journal.extents.size
        self._all_alive = after if after > before * _LEAST_GAIN else 0
        return True

    def _choose_base(self) -> int | None:
        """Return the first segment that is to stay."""
        known = list(self._journal.extents)
        wanted = self._journal.extents.size * _CLEANED_SHARE
        enough = len(known) * _CLEANED_SHARE
        size = 0
        base = None
        pinned = self._find_first_pinned()
        for count, one in enumerate(known, 1):
            if pinned is not None and one.number >= pinned:
                break
            size += one.size
            base = one.number + 1
            if size >= wanted and count >= enough:
                break
        return base

    async def _rewrite(
        self, old: typing.Iterable[extents.SegmentExtent]
    ) -> bool:
        """Append snapshots of the programs in old segments."""
        named = {program for one in old for program in one.programs}
        by_shard: dict[ids.Shard, set[str]] = {}
        for program in sorted(named):
            by_shard.setdefault(ids.find_shard(program), set()).add(program)
        for shard, wanted in sorted(by_shard.items()):
            # A shard that is being given away lists no programs, and what
            # its heir will replay may not be durable yet: the old segments
            # are still the only whole record of it.
            if self._held.list_in(holdings.Phase.GIVING):
                return False
            self._append_snapshots(shard, wanted)
            await self._timers.sleep(0)
        return not self._held.list_in(holdings.Phase.GIVING)

    def _append_snapshots(
        self, shard: ids.Shard, wanted: typing.Container[str]
    ) -> None:
        epoch = self._held.find_epoch(shard)
        if epoch is None:
            return
        self._journal.append(
            [
                snapshots.take_snapshot(program, epoch)
                for program in self._list_programs(shard)
                if program.id in wanted and self._keeps(program)
            ]
        )


def estimate_snapshot(program: programs.Program) -> int:
    """Return about how many bytes a program's snapshot takes."""
    return (
        _BYTES_PER_PROGRAM
        + _BYTES_PER_CALL * len(program.calls)
        + _BYTES_PER_CHARACTER * program.text_length
        + sum(map(len, program.cache_targets))
    )
