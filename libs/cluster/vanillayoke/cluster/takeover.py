"""How shards change hands: what the rows become and what is replayed.

A shard's records of one epoch are in the journal of that epoch's owner and
nowhere else. A row so lists the journals to replay, each with its epoch;
whatever else those journals hold of the shard was replaced by a snapshot
under a later epoch and is passed over.
"""

import typing

from vanillayoke.cluster import rows
from vanillayoke.core import ids
from vanillayoke.programs import records

_ANYBODY = ''


class VersionedRow(typing.NamedTuple):
    """A shard's row and the version it was read with; 0 for an absent one."""

    row: rows.ShardRow
    version: int


ABSENT = VersionedRow(rows.ShardRow(), 0)


class Extent(typing.NamedTuple):
    """Segments ``first`` to ``last`` of a journal."""

    first: int
    last: int


def list_inherited(row: rows.ShardRow) -> tuple[rows.Source, ...]:
    """Return the journals that the next owner has to replay.

    The last owner's comes last, also where that owner had not finished its
    own replay: its snapshots then replace what it had got to.
    """
    if row.owner == _ANYBODY:
        return row.sources
    return (*row.sources, rows.Source(row.owner, row.epoch))


def make_claim(row: rows.ShardRow, claimant: str) -> rows.ShardRow:
    """Return the row by which an instance takes an ownerless shard."""
    return rows.ShardRow(claimant, row.epoch + 1, list_inherited(row))


def make_handover(
    row: rows.ShardRow, heir: str, extent: Extent | None
) -> rows.ShardRow:
    """Return the row by which an owner gives a shard away.

    ``extent`` holds snapshots of all the shard's programs, ``None`` where
    it has none. Only an owner that has replayed may hand over.
    """
    sources: tuple[rows.Source, ...] = ()
    if extent is not None:
        source = rows.Source(row.owner, row.epoch, extent.first, extent.last)
        sources = (source,)
    epoch = row.epoch if heir == _ANYBODY else row.epoch + 1
    return rows.ShardRow(heir, epoch, sources)


def pass_on(row: rows.ShardRow, heir: str) -> rows.ShardRow:
    """Return the row by which an owner gives away what it never replayed.

    Its own journal holds nothing of the shard under its epoch.
    """
    epoch = row.epoch if heir == _ANYBODY else row.epoch + 1
    return rows.ShardRow(heir, epoch, row.sources)


def settle(row: rows.ShardRow) -> rows.ShardRow:
    """Return the row once its owner's own journal holds all of it."""
    return rows.ShardRow(row.owner, row.epoch, ())


def is_free(row: rows.ShardRow, is_dead: typing.Callable[[str], bool]) -> bool:
    """Tell whether a shard may be claimed."""
    return row.owner == _ANYBODY or is_dead(row.owner)


def list_named(
    shard_rows: typing.Iterable[rows.ShardRow],
) -> frozenset[str]:
    """Return the incarnations whose journals some row still needs."""
    named: set[str] = set()
    for row in shard_rows:
        named.add(row.owner)
        named.update(source.incarnation for source in row.sources)
    return frozenset(named - {_ANYBODY})


def find_first_needed(
    shard_rows: typing.Iterable[rows.ShardRow], incarnation: str
) -> int | None:
    """Return the oldest own segment that a heir still has to read."""
    return min(
        (
            source.first
            for row in shard_rows
            for source in row.sources
            if source.incarnation == incarnation
        ),
        default=None,
    )


class Wanted(typing.NamedTuple):
    """The shards whose records of one epoch a journal is read for."""

    source: rows.Source
    shards: frozenset[ids.Shard]


def group_sources(
    claimed: typing.Mapping[ids.Shard, rows.ShardRow],
) -> dict[str, list[Wanted]]:
    """Return what to read of each journal, for many shards at once."""
    grouped: dict[rows.Source, set[ids.Shard]] = {}
    for shard, row in claimed.items():
        for source in row.sources:
            grouped.setdefault(source, set()).add(shard)
    by_journal: dict[str, list[Wanted]] = {}
    for source, shards in grouped.items():
        wanted = Wanted(source, frozenset(shards))
        by_journal.setdefault(source.incarnation, []).append(wanted)
    return by_journal


def list_segments(
    wanted: typing.Iterable[Wanted], row: rows.InstanceRow
) -> list[int]:
    """Return the numbers of the segments to read of one journal, in order.

    An extent that was handed over stays until it has been read, whatever
    the journal's own base is by then.
    """
    numbers: set[int] = set()
    for source, _ in wanted:
        first = source.first or row.base
        last = source.last or row.head
        numbers.update(range(first, last + 1))
    return sorted(numbers)


def needs_tail(wanted: typing.Iterable[Wanted], row: rows.InstanceRow) -> bool:
    """Tell whether the newest records have to be read as well."""
    return row.tail and any(source.last == 0 for source, _ in wanted)


class RecordSelection:
    """The records that count of the journals that are replayed."""

    def __init__(
        self, claimed: typing.Mapping[ids.Shard, rows.ShardRow]
    ) -> None:
        self._counted = {
            (shard, source.epoch, source.incarnation)
            for shard, row in claimed.items()
            for source in row.sources
        }
        self._shards: dict[str, ids.Shard] = {}
        self._by_epoch: dict[int, list[records.AnyRecord]] = {}

    def add(
        self, incarnation: str, found: typing.Iterable[records.AnyRecord]
    ) -> None:
        """Take in records of one journal, in its order."""
        for record in found:
            if self._is_counted(incarnation, record):
                self._by_epoch.setdefault(record.epoch, []).append(record)

    def list_ordered(self) -> list[records.AnyRecord]:
        """Return the records in the order in which they are applied.

        Journals are read side by side. A shard's epoch is in one journal,
        so that the order of epochs, and within one that of the journal,
        is the order in which a program's records were written.
        """
        ordered = []
        for epoch in sorted(self._by_epoch):
            ordered += self._by_epoch[epoch]
        return ordered

    def _is_counted(self, incarnation: str, record: records.AnyRecord) -> bool:
        shard = self._shards.get(record.program)
        if shard is None:
            shard = ids.find_shard(record.program)
            self._shards[record.program] = shard
        return (shard, record.epoch, incarnation) in self._counted
