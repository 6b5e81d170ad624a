"""Reading a stream of server-sent events as it arrives."""

import typing

_BLANK = b'\n\n'


class StreamEvent(typing.NamedTuple):
    """One whole event: its bytes, its data and its id, if it has them."""

    raw: bytes
    data: bytes | None
    event_id: bytes | None


class EventParser:
    """Cuts what arrives into whole events."""

    def __init__(self) -> None:
        self._pending = b''

    @property
    def pending(self) -> bytes:
        """The bytes of an event that is not whole yet."""
        return self._pending

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that a chunk completes."""
        self._pending += chunk
        found = []
        while True:
            end = self._find_end()
            if end is None:
                return found
            raw, self._pending = self._pending[:end], self._pending[end:]
            found.append(_read_event(raw))

    def _find_end(self) -> int | None:
        ends = []
        for blank in (_BLANK, b'\r\n\r\n'):
            at = self._pending.find(blank)
            if at >= 0:
                ends.append(at + len(blank))
        return min(ends) if ends else None


def _read_event(raw: bytes) -> StreamEvent:
    data: list[bytes] = []
    name = None
    for line in raw.replace(b'\r\n', b'\n').split(b'\n'):
        field, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if field == b'data':
            data.append(value)
        elif field == b'id':
            name = value
    return StreamEvent(raw, b'\n'.join(data) if data else None, name)
