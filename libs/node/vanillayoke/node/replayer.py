"""Reading journals back: the programs of shards that change hands."""

import asyncio
import typing

import msgspec

from vanillayoke.cluster import rows
from vanillayoke.cluster import takeover
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import timers
from vanillayoke.platform import ports
from vanillayoke.programs import program as programs
from vanillayoke.programs import records
from vanillayoke.programs import replay

_READS_AT_ONCE = 16
# How many records are applied before other tasks get their turn.
_RECORDS_PER_TURN = 200

Claimed = typing.Mapping[ids.Shard, rows.ShardRow]
RecordList = typing.Sequence[records.AnyRecord]


class Replayer:
    """Rebuilds programs from the journals that shard rows name."""

    def __init__(
        self,
        table: ports.TableService,
        objects: ports.ObjectStore,
        service: timers.TimerService,
    ) -> None:
        self._table = table
        self._objects = objects
        self._timers = service
        self._at_once = asyncio.Semaphore(_READS_AT_ONCE)

    async def replay(
        self, claimed: Claimed
    ) -> dict[str, programs.Program] | failures.Failure:
        """Return the programs of claimed shards by their id."""
        selection = takeover.RecordSelection(claimed)
        for incarnation, wanted in takeover.group_sources(claimed).items():
            failure = await self._read_journal(incarnation, wanted, selection)
            if failure is not None:
                return failure
        found: dict[str, programs.Program] = {}
        for count, record in enumerate(selection.list_ordered(), 1):
            replay.apply_record(found, record)
            if count % _RECORDS_PER_TURN == 0:
                await self._timers.sleep(0)
        return found

    async def _read_journal(
        self,
        incarnation: str,
        wanted: list[takeover.Wanted],
        selection: takeover.RecordSelection,
    ) -> None | failures.Failure:
        row = await self._read_row(incarnation)
        if failures.is_failure(row):
            return row
        if row is None:
            return None
        numbers = takeover.list_segments(wanted, row)
        segments = await asyncio.gather(
            *(self._read_segment(incarnation, number) for number in numbers)
        )
        for segment in segments:
            if failures.is_failure(segment):
                return segment
            selection.add(incarnation, segment.records)
        if not takeover.needs_tail(wanted, row):
            return None
        tail = await self._read_tail(row)
        if failures.is_failure(tail):
            return tail
        selection.add(incarnation, tail)
        return None

    async def _read_row(
        self, incarnation: str
    ) -> rows.InstanceRow | None | failures.Failure:
        """Read how far a journal goes.

        There is no row where the incarnation was fenced and cleared away
        before a shard that had been on its way reached it: it wrote nothing.
        """
        found = await self._table.read(rows.name_instance_row(incarnation))
        if found is None or failures.is_failure(found):
            return found
        return rows.decode_row(found.value, rows.InstanceRow)

    async def _read_segment(
        self, incarnation: str, number: int
    ) -> records.Segment | failures.Failure:
        key = rows.name_segment(incarnation, number)
        async with self._at_once:
            blob = await self._objects.get(key)
        if failures.is_failure(blob):
            return blob
        if blob is None:
            return _make_damaged(f'segment {key} is not there')
        try:
            return records.decode_segment(blob)
        except msgspec.DecodeError as error:
            return _make_damaged(f'segment {key}: {error}')

    async def _read_tail(
        self, row: rows.InstanceRow
    ) -> RecordList | failures.Failure:
        key = rows.name_tail_row(row.incarnation)
        found = await self._table.read(key)
        if failures.is_failure(found):
            return found
        if found is None:
            return _make_damaged(f'row {key} is not there')
        tail = rows.decode_row(found.value, rows.TailRow)
        if tail.head != row.head:
            return _make_damaged(f'row {key} follows segment {tail.head}')
        return [
            msgspec.msgpack.decode(raw, type=records.AnyRecord)
            for raw in tail.records
        ]


def _make_damaged(reason: str) -> failures.Failure:
    """Say what a journal lacks; going on would lose programs silently."""
    return failures.Failure(failures.Kind.INTERNAL, reason)
