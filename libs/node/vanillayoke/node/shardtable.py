"""This instance's copy of the shard rows, and conditional changes to them."""

import asyncio
import random
import typing

from vanillayoke.cluster import rows
from vanillayoke.cluster import takeover
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import timers
from vanillayoke.platform import ports

ROWS_PER_TRANSACTION = _BATCH = 64
TRANSACTIONS_AT_ONCE = 4
_PAGE = 1000
_TRIES = 5
_RETRY = 0.2

Changes = dict[ids.Shard, rows.ShardRow]


class _Outcome(typing.NamedTuple):
    """What of a batch is written and what is still to be written."""

    written: Changes
    left: Changes


class ShardTable:
    """Shard rows as last read or written.

    Rows of other owners may be out of date, which conditional writes find
    out; rows of this instance are changed by nobody else while it lives.
    """

    def __init__(
        self,
        table: ports.TableService,
        service: timers.TimerService,
        source: random.Random,
        spend: typing.Callable[[int], None],
    ) -> None:
        self._table = table
        self._timers = service
        self._random = source
        self._spend = spend
        self._entries = [takeover.ABSENT] * ids.SHARD_COUNT
        self._at_once = asyncio.Semaphore(TRANSACTIONS_AT_ONCE)

    def find(self, shard: ids.Shard) -> rows.ShardRow:
        """Return a shard's row as last known."""
        return self._entries[shard].row

    def list_rows(self) -> list[rows.ShardRow]:
        """Return all rows by shard number, as last known."""
        return [entry.row for entry in self._entries]

    async def scan(self) -> None | failures.Failure:
        """Read all rows again."""
        after = ''
        while True:
            page = await self._table.scan(rows.SHARD_PREFIX, after, _PAGE)
            if failures.is_failure(page):
                return page
            for row in page:
                self._take(row)
            if len(page) < _PAGE:
                return None
            after = page[-1].key

    async def refresh(self, shard: ids.Shard) -> None | failures.Failure:
        """Read one row again."""
        found = await self._table.read(rows.name_shard_row(shard))
        if failures.is_failure(found):
            return found
        if found is not None:
            self._take(found)
        return None

    def _take(self, row: ports.Row) -> None:
        shard = rows.parse_shard_row(row.key)
        # A slow scan may bring a page that a later write has overtaken.
        if row.version > self._entries[shard].version:
            value = rows.decode_row(row.value, rows.ShardRow)
            self._entries[shard] = takeover.VersionedRow(value, row.version)

    async def change(self, changes: Changes) -> Changes | failures.Failure:
        """Write rows on condition that they are as known here.

        Return those that were written; the others have been read again. A
        failure leaves some written perhaps, which a later read shows.
        """
        shards = sorted(changes)
        batches = [
            {shard: changes[shard] for shard in shards[at : at + _BATCH]}
            for at in range(0, len(shards), _BATCH)
        ]
        results = await asyncio.gather(
            *(self._change_batch(batch) for batch in batches)
        )
        written: Changes = {}
        for result in results:
            if failures.is_failure(result):
                return result
            written.update(result)
        return written

    async def _change_batch(
        self, batch: Changes
    ) -> Changes | failures.Failure:
        async with self._at_once:
            return await self._write_batch(dict(batch))

    async def _write_batch(self, batch: Changes) -> Changes | failures.Failure:
        written: Changes = {}
        left = batch
        failure: failures.Failure | None = None
        for _ in range(_TRIES):
            if not left:
                return written
            outcome = await self._try_writing(left)
            if failures.is_failure(outcome):
                failure = outcome
                await self._timers.sleep(_RETRY * self._random.random())
                continue
            written.update(outcome.written)
            left = outcome.left
        return failure or written

    async def _try_writing(
        self, batch: Changes
    ) -> _Outcome | failures.Failure:
        self._spend(1)
        result = await self._table.transact(
            ids.make_id('shards', self._random), self._make_puts(batch)
        )
        match result:
            case ports.Committed(versions):
                self._note_written(batch, versions)
                return _Outcome(batch, {})
            case ports.Conflict():
                return await self._sort_out(batch)
            case failures.Failure(kind=failures.Kind.STORE_UNCERTAIN):
                return await self._sort_out(batch)
            case _:
                return result

    async def _sort_out(self, batch: Changes) -> _Outcome | failures.Failure:
        """Read a batch's rows again after a conflict or a lost reply.

        A write whose reply was lost may take effect at any later time and
        then shows as a conflict. The rows tell it from another instance's
        write: a row that this instance writes names it and an epoch that
        nobody else writes, so an equal row is its own.
        """
        before = {shard: self._entries[shard].version for shard in batch}
        results = await asyncio.gather(*map(self.refresh, batch))
        for result in results:
            if failures.is_failure(result):
                return result
        written = {
            shard: row
            for shard, row in batch.items()
            if self.find(shard) == row
        }
        left = {
            shard: row
            for shard, row in batch.items()
            if shard not in written
            and self._entries[shard].version == before[shard]
        }
        return _Outcome(written, left)

    def _make_puts(self, batch: Changes) -> list[ports.Put]:
        return [
            ports.Put(
                rows.name_shard_row(shard),
                rows.encode_row(row),
                self._entries[shard].version,
            )
            for shard, row in batch.items()
        ]

    def _note_written(
        self, batch: Changes, versions: typing.Mapping[str, int]
    ) -> None:
        for shard, row in batch.items():
            version = versions[rows.name_shard_row(shard)]
            self._entries[shard] = takeover.VersionedRow(row, version)
