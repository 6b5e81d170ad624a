"""Signatures of orders, for targets that check who gives them one."""

import hashlib
import hmac
import typing

import msgspec

from vanillayoke.core import failures
from vanillayoke.targets import ports

# Signer and target may differ by this much in wall-clock time, seconds.
CLOCK_TOLERANCE = 30.0
_KEY_HEADER = 'X-Order-Key'
_TIME_HEADER = 'X-Order-Time'
_DIGEST_HEADER = 'X-Order-Signature'


class SigningKey(typing.NamedTuple):
    """A shared key; its secret stays out of logs."""

    key_id: str
    secret: bytes

    def __repr__(self) -> str:
        return f'SigningKey({self.key_id!r})'


class Signature(typing.NamedTuple):
    """A signature of an order; ``time`` is wall-clock milliseconds."""

    key_id: str
    time: int
    digest: str


def sign_order(
    order: ports.Order, target: str, key: SigningKey, now: float
) -> Signature:
    """Sign an order to one target at wall-clock time ``now``, seconds."""
    time = int(now * 1000)
    digest = _compute_digest(order, target, key, time)
    return Signature(key.key_id, time, digest)


def verify_order(
    order: ports.Order,
    target: str,
    signature: Signature,
    keys: typing.Sequence[SigningKey],
    now: float,
) -> failures.Failure | None:
    """Return ``None`` where one of the accepted keys made the signature.

    While keys rotate, ``keys`` holds the old and the new one. The time
    bounds how long a recorded order may be sent again; within that time
    its epoch and number do.
    """
    if abs(now - signature.time / 1000) > CLOCK_TOLERANCE:
        return _refuse('the signature is too old or too new')
    for key in keys:
        if key.key_id != signature.key_id:
            continue
        digest = _compute_digest(order, target, key, signature.time)
        if hmac.compare_digest(digest.encode(), signature.digest.encode()):
            return None
    return _refuse('the signature does not match')


def write_headers(signature: Signature) -> dict[str, str]:
    """Return the HTTP headers that carry a signature."""
    return {
        _KEY_HEADER: signature.key_id,
        _TIME_HEADER: str(signature.time),
        _DIGEST_HEADER: signature.digest,
    }


def read_headers(
    headers: typing.Mapping[str, str],
) -> Signature | failures.Failure:
    """Return the signature that HTTP headers carry."""
    time = headers.get(_TIME_HEADER, '')
    if not (time.isascii() and time.isdigit()):
        return _refuse('the order is not signed')
    return Signature(
        headers.get(_KEY_HEADER, ''),
        int(time),
        headers.get(_DIGEST_HEADER, ''),
    )


def _compute_digest(
    order: ports.Order, target: str, key: SigningKey, time: int
) -> str:
    message = msgspec.json.encode([*order, target, time])
    return hmac.new(key.secret, message, hashlib.sha256).hexdigest()


def _refuse(reason: str) -> failures.Failure:
    return failures.Failure(failures.Kind.UNAUTHENTICATED, reason)
