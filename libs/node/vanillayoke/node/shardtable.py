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

_BATCH = 64
TRANSACTIONS_AT_ONCE = 4
_PAGE = 1000
_TRIES = 5
_RETRY = 0.2

Changes = dict[ids.Shard, rows.ShardRow]


class _Change(typing.NamedTuple):
    """A row to write and the version that it replaces."""

    row: rows.ShardRow
    expected: int


_Batch = dict[ids.Shard, _Change]


class _Outcome(typing.NamedTuple):
    """What of a batch is written and what is still to be written."""

    written: Changes
    left: _Batch


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
        self._is_known = False
        self._at_once = asyncio.Semaphore(TRANSACTIONS_AT_ONCE)

    def find(self, shard: ids.Shard) -> rows.ShardRow:
        """Return a shard's row as last known."""
        return self._entries[shard].row

    def list_rows(self) -> list[rows.ShardRow]:
        """Return all rows by shard number, as last known."""
        return [entry.row for entry in self._entries]

    @property
    def is_known(self) -> bool:
        """Tell whether all rows have been read at least once."""
        return self._is_known

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
                self._is_known = True
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
        """Write rows on condition that they are as known here now.

        Return those that were written; the others have been read again. A
        failure leaves some written perhaps, which a later read shows.
        """
        # The versions are taken now: a scan that ends while the batch
        # waits its turn would else lend a new version to an old decision.
        planned = {
            shard: _Change(changes[shard], self._entries[shard].version)
            for shard in sorted(changes)
        }
        results = await asyncio.gather(
            *(self._write_batch(batch) for batch in _split(planned))
        )
        written: Changes = {}
        for result in results:
            if failures.is_failure(result):
                return result
            written.update(result)
        return written

    async def _write_batch(self, batch: _Batch) -> Changes | failures.Failure:
        written: Changes = {}
        left = batch
        failure: failures.Failure | None = None
        for _ in range(_TRIES):
            async with self._at_once:
                outcome = await self._try_writing(left)
            if not failures.is_failure(outcome):
                written.update(outcome.written)
                left = outcome.left
                if not left:
                    return written
            else:
                failure = outcome
                await self._timers.sleep(_RETRY * self._random.random())
        return failure or written

    async def _try_writing(self, batch: _Batch) -> _Outcome | failures.Failure:
        self._spend(1)
        result = await self._table.transact(
            ids.make_id('shards', self._random),
            [
                ports.Put(
                    rows.name_shard_row(shard),
                    rows.encode_row(change.row),
                    change.expected,
                )
                for shard, change in batch.items()
            ],
        )
        match result:
            case ports.Committed(versions):
                return self._note_written(batch, versions)
            case ports.Conflict():
                return await self._sort_out(batch)
            case failures.Failure(kind=failures.Kind.STORE_UNCERTAIN):
                return await self._sort_out(batch)
            case _:
                return result

    async def _sort_out(self, batch: _Batch) -> _Outcome | failures.Failure:
        """Read a batch's rows again after a conflict or a lost reply.

        A write whose reply was lost may take effect at any later time and
        then shows as a conflict. The rows tell it from another instance's
        write: a row that this instance writes names it and an epoch that
        nobody else writes, so an equal row is its own.
        """
        results = await asyncio.gather(*map(self.refresh, batch))
        for result in results:
            if failures.is_failure(result):
                return result
        written = {
            shard: change.row
            for shard, change in batch.items()
            if self.find(shard) == change.row
        }
        left = {
            shard: change
            for shard, change in batch.items()
            if shard not in written
            and self._entries[shard].version == change.expected
        }
        return _Outcome(written, left)

    def _note_written(
        self, batch: _Batch, versions: typing.Mapping[str, int]
    ) -> _Outcome:
        written = {shard: change.row for shard, change in batch.items()}
        for shard, row in written.items():
            version = versions[rows.name_shard_row(shard)]
            if version > self._entries[shard].version:
                entry = takeover.VersionedRow(row, version)
                self._entries[shard] = entry
        return _Outcome(written, {})


def _split(planned: _Batch) -> list[_Batch]:
    shards = list(planned)
    return [
        {shard: planned[shard] for shard in shards[at : at + _BATCH]}
        for at in range(0, len(shards), _BATCH)
    ]
