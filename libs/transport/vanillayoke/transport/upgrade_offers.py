"""Requests that offer to go on in another protocol.

The offer is not taken up, so such a request is one like all others (RFC 9110,
section 7.8). But the parser ends it with its head, and takes what follows for
the other protocol. The head is therefore repeated to a new parser without the
offer, so that this reads the body.
"""

from vanillayoke.transport import headers as headers_module

# What tells the parser where the body ends.
_FRAMING = frozenset((b'content-length', b'transfer-encoding'))
_OFFER = b'upgrade'


def make_plain_head(
    method: bytes, version: str, headers: headers_module.Fields
) -> bytes:
    """Return a head with the framing of a request and without its offer."""
    lines = [b'%b / HTTP/%b' % (method, version.encode())]
    for name, value in headers:
        if name.lower() in _FRAMING:
            lines.append(b'%b: %b' % (name, value))
        elif name.lower() == b'connection':
            lines.append(b'%b: %b' % (name, _remove_offer(value)))
    return b'\r\n'.join((*lines, b'', b''))


def _remove_offer(connection: bytes) -> bytes:
    """Return the value of a Connection field without the offer."""
    options = [option.strip() for option in connection.split(b',')]
    return b', '.join(one for one in options if one.lower() != _OFFER)
