"""Log lines that never hold a process up.

Lines go to a pipe that somebody else reads. If it is full, lines are dropped
and counted; if one kind of event floods, what is over its share of a second
is left out and counted. Warnings and errors have a larger share.
"""

import os
import typing

import msgspec

from vanillayoke.core import events
from vanillayoke.core import timers

# Lines of one kind in a second. A busy instance ends some hundred requests a
# second; at 300 bytes a line this is 60 kB/s at the most.
MAX_LINES_PER_SECOND = 200
MAX_WARNING_LINES_PER_SECOND = 400
# Bytes that wait for a slow reader before lines are dropped.
MAX_PENDING_BYTES = 256 * 1024
_SECOND = 1.0


class LineOutput:
    """Writes messages as JSON lines to a file descriptor."""

    def __init__(
        self,
        descriptor: int,
        timer_service: timers.TimerService,
        level: events.Level = events.Level.INFO,
        write: typing.Callable[[int, bytes], int] = os.write,
    ) -> None:
        self.level = level
        self.dropped = 0
        self._descriptor = descriptor
        self._timers = timer_service
        self._write = write
        self._encode = msgspec.json.Encoder().encode
        self._pending = bytearray()
        self._second = 0
        self._counts: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        if write is os.write:
            os.set_blocking(descriptor, False)

    def write(self, message: dict[str, typing.Any]) -> None:
        """Write one message, or count it as left out."""
        self._turn_second()
        name = message['message_type']
        is_warning = message['number'] in _WARNINGS
        share = (
            MAX_WARNING_LINES_PER_SECOND
            if is_warning
            else MAX_LINES_PER_SECOND
        )
        count = self._counts.get(name, 0)
        self._counts[name] = count + 1
        if count >= share:
            self._left_out[name] = self._left_out.get(name, 0) + 1
            self.dropped += 1
            return
        self._put(message)

    def flush(self) -> None:
        """Write what the reader has room for."""
        while self._pending:
            try:
                written = self._write(self._descriptor, bytes(self._pending))
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone; there is nobody to write for.
                self._pending.clear()
                return
            del self._pending[:written]

    def _put(self, message: dict[str, typing.Any]) -> None:
        line = self._encode(message) + b'\n'
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += line
        self.flush()

    def _turn_second(self) -> None:
        second = int(self._timers.now() / _SECOND)
        if second == self._second:
            return
        self._second = second
        self._counts.clear()
        left_out, self._left_out = self._left_out, {}
        for name, count in left_out.items():
            self._put(
                {'message_type': 'lines_left_out', 'of': name, 'count': count}
            )


_WARNINGS = frozenset(
    event.number
    for event in events.list_events()
    if event.level >= events.Level.WARNING
)
