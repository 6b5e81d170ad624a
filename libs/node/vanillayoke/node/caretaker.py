"""Reading the whole table from time to time, and clearing up behind it."""

import asyncio
import random
import typing

from vanillayoke.cluster import takeover
from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.node import cleaning
from vanillayoke.node import neighbours
from vanillayoke.node import shardtable
from vanillayoke.node import watcher

SHORTEST_INTERVAL = 10.0
# Reads a second that all instances together use for it, at most: as a rule,
# and after a death.
_READS_PER_SECOND = 100.0
_READS_AFTER_DEATH = 1000.0
_READS_PER_SCAN = 6
_STEP = 0.5
_NEVER = float('inf')


class Caretaker:
    """Keeps this instance's copy of the table's rows in shape.

    ``scanned`` is called after each scan of all rows, ``changed`` whenever
    other instances came or went.
    """

    def __init__(
        self,
        around: neighbours.Neighbours,
        known: watcher.Watcher,
        table: shardtable.ShardTable,
        cleaner: cleaning.Cleaner,
        service: timers.TimerService,
        source: random.Random,
        scanned: typing.Callable[[], None],
        changed: typing.Callable[[], None],
    ) -> None:
        self._neighbours = around
        self._watcher = known
        self._table = table
        self._cleaner = cleaner
        self._timers = service
        self._random = source
        self._scanned = scanned
        self._changed = changed
        self._scan_at = -_NEVER
        self._look_at = _NEVER
        self._cleaning: asyncio.Task | None = None

    def note_members(self) -> None:
        """Read the rows of instances that membership has just met."""
        if self._neighbours.list_unknown():
            self._look_at = min(self._look_at, self._timers.now())

    def note_final(self) -> None:
        """Read the rows again, since an instance has died.

        They may have changed since they were read here. All instances do
        so, but not all at once.
        """
        reads = self._neighbours.count * _READS_PER_SCAN
        spread = max(reads / _READS_AFTER_DEATH, 1.0)
        moment = self._timers.now() + spread * self._random.random()
        self._scan_at = min(self._scan_at, moment)

    async def run(self) -> None:
        """Scan, look and clean when it is time."""
        while True:
            if self._timers.now() >= self._scan_at:
                final = self._watcher.list_final()
                if await self.scan() is None:
                    self._start_cleaning(final)
            elif self._timers.now() >= self._look_at:
                await self._look()
            await self._timers.sleep(_STEP)

    async def stop(self) -> None:
        """Break off what is being cleared away."""
        if self._cleaning is not None:
            self._cleaning.cancel()
            await asyncio.gather(self._cleaning, return_exceptions=True)

    async def scan(self) -> None | failures.Failure:
        """Read all rows again."""
        failure = await self._watcher.scan()
        if failure is None:
            failure = await self._table.scan()
        if failure is None:
            self._neighbours.update_map()
            self._scanned()
            self._changed()
        interval = _STEP if failure is not None else self._find_interval()
        jitter = self._random.uniform(0.8, 1.0)
        self._scan_at = self._timers.now() + interval * jitter
        return failure

    def _find_interval(self) -> float:
        reads = self._neighbours.count * _READS_PER_SCAN
        return max(reads / _READS_PER_SECOND, SHORTEST_INTERVAL)

    async def _look(self) -> None:
        self._look_at = _NEVER
        for name in self._neighbours.list_unknown():
            if await self._watcher.scan_name(name) is not None:
                self._look_at = self._timers.now() + _STEP
        self._neighbours.update_map()
        self._changed()

    def _start_cleaning(self, final: list[str]) -> None:
        if self._cleaning is not None and not self._cleaning.done():
            return
        self._cleaning = asyncio.ensure_future(self._clean(final))

    async def _clean(self, final: list[str]) -> None:
        """Delete dead journals that no row names.

        They were final before the rows were read: so no row can come to
        name one of them that it has not named then.
        """
        named = takeover.list_named(self._table.list_rows())
        for incarnation in final:
            is_mine = self._neighbours.cleans(incarnation)
            if incarnation not in named and is_mine:
                if await self._cleaner.delete_journal(incarnation) is None:
                    self._watcher.forget(incarnation)
