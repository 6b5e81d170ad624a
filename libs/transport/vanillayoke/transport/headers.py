"""HTTP header fields, as lists of name and value in order of receipt."""

import typing

Headers = list[tuple[bytes, bytes]]

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


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a field.

    ``name`` is in lower case.
    """
    for field, value in headers:
        if field.lower() == name:
            return value
    return None


def list_connection_tokens(headers: Headers) -> frozenset[bytes]:
    """Return the lower-cased options of all Connection fields."""
    return frozenset(
        token.strip().lower()
        for field, value in headers
        if field.lower() == b'connection'
        for token in value.split(b',')
    )


def drop_hop_by_hop(
    headers: Headers, dropped: typing.Container[bytes] = ()
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
