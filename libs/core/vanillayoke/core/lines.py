"""Log output that never blocks the process.

Lines go to a pipe. If it is full, lines are dropped and counted. Lines of one
event that exceed its rate limit are suppressed and counted.
"""

import os
import typing

import msgspec

from vanillayoke.core import events
from vanillayoke.core import timers

# Per event; the second limit is for warnings and errors. A busy instance ends
# some hundred requests a second.
MAX_LINES_PER_SECOND = 200
MAX_WARNING_LINES_PER_SECOND = 400
MAX_PENDING_BYTES = 256 * 1024
_WINDOW_SECONDS = 1.0
# Readers select lines by these fields, so that a summary needs them too.
_ORIGIN_FIELDS = ('timestamp', 'instance')


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
        self._window = 0
        self._counts: dict[str, int] = {}
        # The count and the last message of each event.
        self._suppressed: dict[str, tuple[int, dict[str, typing.Any]]] = {}
        if write is os.write:
            os.set_blocking(descriptor, False)

    def write(self, message: dict[str, typing.Any]) -> None:
        """Write one message, or count it as dropped."""
        self._update_window()
        name = message['message_type']
        is_warning = message['number'] in _WARNING_NUMBERS
        limit = (
            MAX_WARNING_LINES_PER_SECOND
            if is_warning
            else MAX_LINES_PER_SECOND
        )
        count = self._counts.get(name, 0)
        self._counts[name] = count + 1
        if count >= limit:
            suppressed_count, _ = self._suppressed.get(name, (0, None))
            self._suppressed[name] = suppressed_count + 1, message
            self.dropped += 1
            return
        self._append(message)

    def flush(self) -> None:
        """Write as many pending bytes as the reader accepts."""
        while self._pending:
            try:
                written = self._write(self._descriptor, bytes(self._pending))
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe.
                self._pending.clear()
                return
            del self._pending[:written]

    def _append(self, message: dict[str, typing.Any]) -> None:
        line = self._encode(message) + b'\n'
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += line
        self.flush()

    def _update_window(self) -> None:
        window = int(self._timers.now() / _WINDOW_SECONDS)
        if window == self._window:
            return
        self._window = window
        self._counts.clear()
        suppressed, self._suppressed = self._suppressed, {}
        for name, (count, last) in suppressed.items():
            known = {key: last[key] for key in _ORIGIN_FIELDS if key in last}
            self._append(
                {
                    'message_type': 'lines_left_out',
                    'of': name,
                    'count': count,
                    **known,
                }
            )


_WARNING_NUMBERS = frozenset(
    event.number
    for event in events.list_events()
    if event.level >= events.Level.WARNING
)
