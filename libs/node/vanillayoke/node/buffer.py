"""Journal records on their way into the store."""

import collections
import itertools
import typing

import msgspec

from vanillayoke.cluster import rows
from vanillayoke.programs import records


class EncodedRecord(typing.NamedTuple):
    """A record as it is stored; encoded once, when it is appended.

    ``ends_decision`` tells that the next record belongs to another one.
    """

    program: str
    raw: bytes
    ends_decision: bool = True


class _RawSegment(msgspec.Struct):
    """``records.Segment`` with its records already encoded."""

    instance: str
    number: int
    records: list[msgspec.Raw]


class RecordBuffer:
    """Records that are in no segment yet, oldest first.

    Positions count all records ever appended. Those below ``stored`` are in
    segments.
    """

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._waiting: collections.deque[EncodedRecord] = collections.deque()
        self._size = 0
        self._stored = 0

    @property
    def stored(self) -> int:
        """Return how many records are in segments."""
        return self._stored

    @property
    def appended(self) -> int:
        """Return how many records were ever appended."""
        return self._stored + len(self._waiting)

    @property
    def size(self) -> int:
        """Return the bytes of the records that are in no segment."""
        return self._size

    def append(self, added: typing.Sequence[records.AnyRecord]) -> None:
        """Encode a decision's records and put them behind the others."""
        for index, record in enumerate(added, 1):
            raw = self._encoder.encode(record)
            is_snapshot = isinstance(record, records.ProgramSnapshot)
            ends = index == len(added) or is_snapshot
            self._waiting.append(EncodedRecord(record.program, raw, ends))
            self._size += len(raw)

    def take(self, most: int) -> list[EncodedRecord]:
        """Return the oldest decisions up to a size in bytes, at least one.

        A decision is not split: were its first records durable without the
        rest, a takeover would find a sub-agent's call whose draw on the
        root's budget is missing. Snapshots stand each for themselves.
        """
        taken: list[EncodedRecord] = []
        size = 0
        for record in self._waiting:
            size += len(record.raw)
            if taken and size > most and taken[-1].ends_decision:
                break
            taken.append(record)
        return taken

    def drop(self, count: int) -> None:
        """Drop the oldest records, which are in a segment now."""
        for _ in range(count):
            self._size -= len(self._waiting.popleft().raw)
        self._stored += count

    def encode_tail(self, head: int, count: int) -> bytes:
        """Encode the tail row's value with the oldest records."""
        taken = itertools.islice(self._waiting, count)
        raw = tuple(msgspec.Raw(record.raw) for record in taken)
        return rows.encode_row(rows.TailRow(head, raw))


def encode_segment(
    instance: str, number: int, taken: typing.Sequence[EncodedRecord]
) -> bytes:
    """Encode a segment out of encoded records."""
    raw = [msgspec.Raw(record.raw) for record in taken]
    return msgspec.msgpack.encode(_RawSegment(instance, number, raw))
