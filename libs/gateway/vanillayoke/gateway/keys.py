"""Digests of callers' keys."""

import hashlib


def digest(key: bytes) -> bytes:
    """Return the SHA-256 digest of a key.

    Only the digest is stored and compared, so that a key cannot appear in
    logs, metrics or messages to other instances.
    """
    return hashlib.sha256(key).digest()
