"""Incremental parser for server-sent events."""

import typing

_LF_TERMINATOR = b'\n\n'
_CRLF_TERMINATOR = b'\r\n\r\n'
_MAX_TERMINATOR_BYTES = 4
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLongError(Exception):
    """An event does not end within ``MAX_EVENT_BYTES``."""


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
        """Add bytes and return the events that they complete.

        Raise ``EventTooLongError`` if the rest is too long for an event.
        """
        # Of the earlier bytes only the last ones may begin a terminator.
        searched = max(0, len(self._pending) - _MAX_TERMINATOR_BYTES + 1)
        received = self._pending + chunk
        events = []
        start = 0
        for end in _find_ends(received, searched):
            events.append(_parse_event(received[start:end]))
            start = end
        self._pending = received[start:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLongError(f'more than {MAX_EVENT_BYTES} bytes')
        return events


def _find_ends(received: bytes, start: int) -> typing.Iterator[int]:
    """Return where the events end, searching from a position."""
    lf = received.find(_LF_TERMINATOR, start)
    crlf = received.find(_CRLF_TERMINATOR, start)
    while lf >= 0 or crlf >= 0:
        if crlf < 0 or 0 <= lf < crlf:
            end = lf + len(_LF_TERMINATOR)
        else:
            end = crlf + len(_CRLF_TERMINATOR)
        yield end
        if 0 <= lf < end:
            lf = received.find(_LF_TERMINATOR, end)
        if 0 <= crlf < end:
            crlf = received.find(_CRLF_TERMINATOR, end)


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
