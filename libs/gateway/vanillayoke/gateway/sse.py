"""Incremental parser for server-sent events."""

import typing

_LF_TERMINATOR = b'\n\n'


class StreamEvent(typing.NamedTuple):
    """A complete event.

    ``raw`` holds its bytes as received; ``data`` and ``event_id`` are
    ``None`` if the event lacks the field.
    """

    raw: bytes
    data: bytes | None
    event_id: bytes | None


class EventParser:
    """Splits a byte stream into events."""

    def __init__(self) -> None:
        self._pending = b''

    @property
    def pending(self) -> bytes:
        """The bytes received of an incomplete event."""
        return self._pending

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        self._pending += chunk
        events = []
        while True:
            end = self._find_end()
            if end is None:
                return events
            raw, self._pending = self._pending[:end], self._pending[end:]
            events.append(_parse_event(raw))

    def _find_end(self) -> int | None:
        ends = []
        for terminator in (_LF_TERMINATOR, b'\r\n\r\n'):
            position = self._pending.find(terminator)
            if position >= 0:
                ends.append(position + len(terminator))
        return min(ends) if ends else None


def _parse_event(raw: bytes) -> StreamEvent:
    data: list[bytes] = []
    event_id = None
    for line in raw.replace(b'\r\n', b'\n').split(b'\n'):
        field, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if field == b'data':
            data.append(value)
        elif field == b'id':
            event_id = value
    return StreamEvent(raw, b'\n'.join(data) if data else None, event_id)
