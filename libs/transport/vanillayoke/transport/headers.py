"""HTTP header fields, as lists of name and value in order of receipt."""

import typing

Fields = typing.Iterable[tuple[bytes, bytes]]
Headers = list[tuple[bytes, bytes]]

# Field lists with more fields than this are packed.
MAX_UNPACKED_FIELDS = 64

# RFC 9110, section 7.6.1.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


class FieldList:
    """Header fields in order of receipt; many fields are held as bytes.

    As objects, the shortest fields take thirty times the bytes received.
    Names must not contain a colon, nor names or values a line feed: parsers
    of HTTP do not return such fields.
    """

    __slots__ = ('_packed', '_unpacked', '_count', 'size')

    def __init__(self) -> None:
        self._packed = bytearray()
        self._unpacked: Headers = []
        self._count = 0
        # What the fields take on the wire without optional spaces, in bytes.
        self.size = 0

    def append(self, name: bytes, value: bytes) -> None:
        """Add a field."""
        self._unpacked.append((name, value))
        self._count += 1
        self.size += len(name) + len(value) + len(b':\r\n')
        if len(self._unpacked) > MAX_UNPACKED_FIELDS:
            for field in self._unpacked:
                self._packed += b'%b:%b\n' % field
            self._unpacked.clear()

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> typing.Iterator[tuple[bytes, bytes]]:
        for line in self._packed.split(b'\n')[:-1]:
            name, _, value = line.partition(b':')
            yield bytes(name), bytes(value)
        yield from self._unpacked


def find_header(headers: Fields, name: bytes) -> bytes | None:
    """Return the first value of a field.

    ``name`` is in lower case.
    """
    for field, value in headers:
        if field.lower() == name:
            return value
    return None


def list_connection_tokens(headers: Fields) -> frozenset[bytes]:
    """Return the lower-cased options of all Connection fields."""
    return frozenset(
        token.strip().lower()
        for field, value in headers
        if field.lower() == b'connection'
        for token in value.split(b',')
    )


def drop_hop_by_hop(
    headers: Fields, dropped: typing.Container[bytes] = ()
) -> Headers:
    """Return the fields that may be forwarded.

    ``dropped`` lists the names, in lower case, of other fields to remove.
    """
    connection_tokens = list_connection_tokens(headers)
    forwarded = []
    for field, value in headers:
        name = field.lower()
        if name in HOP_BY_HOP or name in connection_tokens or name in dropped:
            continue
        forwarded.append((field, value))
    return forwarded
