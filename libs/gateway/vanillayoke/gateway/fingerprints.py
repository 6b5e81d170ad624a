"""Fingerprints of what requests ask for.

Retries have ids of their own; a fingerprint tells that they ask for the same.
"""

import hashlib

from vanillayoke.gateway import messages

FINGERPRINT_BYTES = 16


def compute(call: messages.Call, organisation: str | None) -> str:
    """Return the fingerprint of a request, as hexadecimal digits.

    It covers what a target works on: the method, the host, the path with the
    query, the previous turn and the body as the caller sent it. Requests of
    different organisations never have the same fingerprint.
    """
    digest = hashlib.sha256()
    for part in (
        (organisation or '').encode(),
        call.method,
        call.host.encode(),
        call.target,
        (call.previous_turn or '').encode(),
        call.body,
    ):
        # With its length, so that no two lists of parts are alike.
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()[: 2 * FINGERPRINT_BYTES]
