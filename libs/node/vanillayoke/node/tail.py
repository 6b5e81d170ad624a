"""The journal's newest records, and when they move into a segment."""

import asyncio
import random
import typing

from vanillayoke.cluster import pacing
from vanillayoke.core import timers
from vanillayoke.node import buffer
from vanillayoke.node import extents
from vanillayoke.node import segments
from vanillayoke.platform import ports
from vanillayoke.programs import records

SEGMENT_LIMIT = 4 * 1024 * 1024
# When the tail moves into a segment. Each commit writes the whole tail, so
# it is kept short where commits are frequent; but segments take a write of
# their own, so they are not made too often. In bytes and seconds.
_SHORTEST_TAIL = 32 * 1024
_TAIL_BYTES_PER_SECOND = 96 * 1024
_SPILL_INTERVAL = 0.5

EndCallback = typing.Callable[[asyncio.Task], None]


class JournalTail:
    """Records in memory, of which the oldest move into segment objects.

    ``head`` is the number of the last segment in the object store. The tail
    row may hold ``limit`` bytes.
    """

    def __init__(
        self,
        incarnation: str,
        objects: ports.ObjectStore,
        service: timers.TimerService,
        source: random.Random,
        pacer: pacing.WritePacer,
        limit: int,
    ) -> None:
        self.extents = extents.JournalExtents()
        self.head = 0
        self._timers = service
        self._pacer = pacer
        self._limit = limit
        self._segments = segments.SegmentStore(
            incarnation, objects, service, source, pacer
        )
        self._buffer = buffer.RecordBuffer()
        self._last_spill = float('-inf')
        self._spill: asyncio.Task | None = None

    @property
    def size(self) -> int:
        """Return the bytes of the records that are in no segment."""
        return self._buffer.size

    @property
    def stored(self) -> int:
        """Return how many records are in segments."""
        return self._buffer.stored

    @property
    def appended(self) -> int:
        """Return how many records were ever appended."""
        return self._buffer.appended

    @property
    def fits(self) -> bool:
        """Tell whether the tail row can hold all that is in no segment."""
        return self._buffer.size <= self._limit

    def append(self, added: typing.Sequence[records.AnyRecord]) -> None:
        """Take records in, in order."""
        self._buffer.append(added)

    def encode(self, head: int, count: int) -> bytes:
        """Return the tail row's value with the oldest records."""
        return self._buffer.encode_tail(head, count)

    def has_spill(self, wanted: int) -> bool:
        """Tell whether records should move into a segment.

        ``wanted`` is a position up to which somebody waits for segments.
        """
        if self._spill is not None or self._buffer.size == 0:
            return False
        if wanted > self._buffer.stored:
            return True
        return self._buffer.size > self._find_longest()

    def _find_longest(self) -> float:
        most = self._limit / 2
        if self._timers.now() - self._last_spill < _SPILL_INTERVAL:
            return most
        wanted = _TAIL_BYTES_PER_SECOND * self._pacer.interval
        return min(max(_SHORTEST_TAIL, wanted), most)

    def start_spill(self, end: EndCallback) -> None:
        """Begin to move the oldest records; call back with the ended task."""
        self._last_spill = self._timers.now()
        self._spill = asyncio.ensure_future(self._write_segment())
        self._spill.add_done_callback(self._end_spill)
        self._spill.add_done_callback(end)

    async def _write_segment(self) -> None:
        number = self.head + 1
        taken = self._buffer.take(SEGMENT_LIMIT)
        await self._segments.put(number, taken)
        self.extents.add(number, self._buffer.stored, taken)
        self._buffer.drop(len(taken))
        self.head = number

    def _end_spill(self, task: asyncio.Task) -> None:
        self._spill = None

    async def stop(self) -> None:
        """Break off a spill that goes on."""
        if self._spill is not None:
            self._spill.cancel()
            await asyncio.gather(self._spill, return_exceptions=True)

    async def delete_segments(self, base: int) -> None:
        """Delete the segments below the base that the row has by now."""
        await self._segments.delete(self.extents.drop_before(base))
