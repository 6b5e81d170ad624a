"""Forms of the target of a request (RFC 9112, section 3.2)."""

import re

from vanillayoke.transport import headers as headers_module

_ABSOLUTE_FORM = re.compile(rb'https?://([^/?#@]+)([/?].*)?', re.IGNORECASE)


def make_origin_form(
    target: bytes, headers: headers_module.Fields
) -> tuple[bytes, headers_module.Fields]:
    """Return a target in origin form, and the header fields with its host.

    The host of a target in absolute form takes the place of the Host field.
    Other targets are returned unchanged.
    """
    if target.startswith(b'/'):
        return target, headers
    found = _ABSOLUTE_FORM.fullmatch(target)
    if found is None:
        return target, headers
    host, rest = found[1], found[2] or b'/'
    if not rest.startswith(b'/'):
        rest = b'/' + rest
    others = [field for field in headers if field[0].lower() != b'host']
    return rest, [(b'Host', host), *others]
