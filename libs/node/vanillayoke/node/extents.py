"""What this instance's journal segments hold, for compaction and handover."""

import collections
import typing

from vanillayoke.cluster import takeover
from vanillayoke.node import buffer


class SegmentExtent(typing.NamedTuple):
    """A segment's bytes, in all and by program.

    It holds the journal's records from position ``begin`` to below ``end``.
    """

    number: int
    begin: int
    end: int
    size: int
    programs: dict[str, int]


class JournalExtents:
    """The segments from the journal's base to its head."""

    def __init__(self) -> None:
        self._segments: collections.deque[SegmentExtent]
        self._segments = collections.deque()
        self.size = 0
        # Bytes by program since and with its last snapshot.
        self.live: dict[str, int] = {}

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
        programs: dict[str, int] = {}
        for record in taken:
            program = record.program
            size = len(record.raw)
            programs[program] = programs.get(program, 0) + size
            before = 0 if record.is_snapshot else self.live.get(program, 0)
            self.live[program] = before + size
        size = sum(programs.values())
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
        self._forget_programs()
        return dropped

    def _forget_programs(self) -> None:
        """Drop the counts of programs that are in no segment."""
        named = {name for one in self._segments for name in one.programs}
        for program in set(self.live) - named:
            del self.live[program]
