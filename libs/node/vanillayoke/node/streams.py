"""The text of a running call or run, followed by any number of readers."""

import asyncio
import bisect
import typing

from vanillayoke.core import failures
from vanillayoke.entry import host


class RunStream(host.CallStream):
    """Collects streamed text and wakes the readers that follow it.

    The text of a run is that of all its model calls, one after the other.
    """

    def __init__(self, number: int, text: str = '') -> None:
        self._number = number
        self._pieces = [text]
        # Where each piece begins, to find what a reader lacks without
        # joining all that it has; runs of many turns have long texts.
        self._offsets = [0]
        self._length = len(text)
        self._truncations: list[int] = []
        self._notes: list[host.StepNote] = []
        self._final: host.FinalAnswer | failures.Failure | None = None
        self._readers: set[asyncio.Event] = set()

    @property
    def number(self) -> int:
        return self._number

    @property
    def length(self) -> int:
        """Return the number of characters streamed so far."""
        return self._length

    @property
    def final(self) -> host.FinalAnswer | failures.Failure | None:
        """Return the end of the stream, ``None`` while it runs."""
        return self._final

    def read_from(self, offset: int) -> str:
        """Return the text from an offset on."""
        index = bisect.bisect_right(self._offsets, offset) - 1
        first = self._pieces[index][offset - self._offsets[index] :]
        return first + ''.join(self._pieces[index + 1 :])

    def append(self, piece: str) -> None:
        """Add streamed text."""
        self._offsets.append(self._length)
        self._pieces.append(piece)
        self._length += len(piece)
        self._wake()

    def truncate(self, length: int) -> None:
        """Void the text behind an offset: its model call runs again."""
        if length >= self._length:
            return
        self._pieces = [self.read_from(0)[:length]]
        self._offsets = [0]
        self._length = length
        self._truncations.append(length)
        self._wake()

    def note_step(self, number: int, name: str, state: str) -> None:
        """Tell the readers that a step began or ended."""
        note = host.StepNote(self._length, number, name, state)
        self._notes.append(note)
        self._wake()

    def finish(self, final: host.FinalAnswer | failures.Failure) -> None:
        """End the stream; only the first end counts."""
        if self._final is None:
            self._final = final
            self._wake()

    async def wait(self) -> host.FinalAnswer | failures.Failure:
        """Wait for the end without reading the text."""
        async for item in self.follow(self._length):
            if isinstance(item, host.FinalAnswer | failures.Failure):
                return item
        raise RuntimeError('a stream ends with a final item')

    async def follow(
        self, offset: int
    ) -> typing.AsyncIterator[host.StreamItem]:
        changed = asyncio.Event()
        self._readers.add(changed)
        try:
            async for item in self._read(offset, changed):
                yield item
        finally:
            self._readers.discard(changed)

    async def _read(
        self, offset: int, changed: asyncio.Event
    ) -> typing.AsyncIterator[host.StreamItem]:
        position = offset
        truncations = len(self._truncations)
        notes = self._count_notes_before(offset)
        while True:
            changed.clear()
            floor = self._find_floor(truncations)
            truncations = len(self._truncations)
            if position > floor:
                position = floor
                yield host.TextReset(position)
            if position < self._length:
                piece = self.read_from(position)
                begin, position = position, self._length
                yield host.TextPiece(begin, piece)
                continue
            if notes < len(self._notes):
                note = self._notes[notes]
                notes += 1
                yield note
                continue
            if self._final is not None:
                yield self._final
                return
            await changed.wait()

    def _find_floor(self, seen: int) -> int:
        """Return the offset up to which a reader's text still holds.

        A reader may also come with an offset from an instance that died
        before the text was durable: what is beyond our text is void.
        """
        return min([self._length, *self._truncations[seen:]])

    def _count_notes_before(self, offset: int) -> int:
        return sum(note.offset < offset for note in self._notes)

    def _wake(self) -> None:
        for changed in self._readers:
            changed.set()


def end_stream(
    number: int, text: str, final: host.FinalAnswer | failures.Failure
) -> RunStream:
    """Return the stream of a call that ended before."""
    stream = RunStream(number, text)
    stream.finish(final)
    return stream
