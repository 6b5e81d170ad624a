"""Names of programs and turns, qualified by organisation."""

import hashlib

# Keeps store keys short; collisions between organisations are negligible.
_DIGEST_BYTES = 8


def qualify(organisation: str | None, name: str) -> str:
    """Return a caller's name for something, made unique across organisations.

    The prefix is a digest of fixed length, so that a caller can't construct a
    name that belongs to another organisation. ``None`` stands for callers
    without an organisation.
    """
    text = b'' if organisation is None else organisation.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()
    return f'{digest}.{name}'
