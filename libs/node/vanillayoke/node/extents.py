"""What this instance's journal segments hold, for compaction and handover."""

import collections
import typing

from vanillayoke.cluster import takeover
from vanillayoke.node import buffer


class SegmentExtent(typing.NamedTuple):
    """A segment's bytes, and the programs that it has records of.

    It holds the journal's records from position ``begin`` to below ``end``.
    """

    number: int
    begin: int
    end: int
    size: int
    programs: frozenset[str]


class JournalExtents:
    """The segments from the journal's base to its head."""

    def __init__(self) -> None:
        self._segments: collections.deque[SegmentExtent]
        self._segments = collections.deque()
        self.size = 0

    def __len__(self) -> int:
        return len(self._segments)

    def __iter__(self) -> typing.Iterator[SegmentExtent]:
        return iter(self._segments)

    def add(
        self,
        number: int,
        begin: int,
        taken: typing.Sequence[buffer.EncodedRecord],
    ) -> None:
        """Add the newest segment."""
        size = sum(len(record.raw) for record in taken)
        programs = frozenset(record.program for record in taken)
        self.size += size
        end = begin + len(taken)
        self._segments.append(
            SegmentExtent(number, begin, end, size, programs)
        )

    def find(self, begin: int, end: int) -> takeover.Extent:
        """Return the segments of the records in a range of positions."""
        numbers = [
            segment.number
            for segment in self._segments
            if segment.end > begin and segment.begin < end
        ]
        return takeover.Extent(numbers[0], numbers[-1])

    def drop_before(self, base: int) -> list[int]:
        """Drop the segments below a number; return their numbers."""
        dropped = []
        while self._segments and self._segments[0].number < base:
            segment = self._segments.popleft()
            self.size -= segment.size
            dropped.append(segment.number)
        return dropped
