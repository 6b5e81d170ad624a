"""What an HTTP answer, or its absence, proves of a request to a target."""

import aiohttp
import msgspec

from vanillayoke.core import failures

NOT_RUN_HEADER = 'X-Not-Run'
_UNRUN_STATUSES = (429, 503)
# A gateway before the target answers these without knowing what the target
# did: the client would see a refusal of a call that runs.
_GATEWAY_STATUSES = (502, 504)
_FIRST_ERROR = 300
_NO_CONTENT = 204


def check_status(
    response: aiohttp.ClientResponse,
) -> failures.Failure | None:
    """Return the failure that a status stands for, ``None`` for success.

    A redirect is a failure: following it could run a call twice.
    """
    status = response.status
    if status < _FIRST_ERROR:
        return None
    reason = f'the target answered {status}'
    kind = failures.Kind.TARGET_FAILED
    if status in _GATEWAY_STATUSES:
        kind = failures.Kind.OUTCOME_UNKNOWN
    elif status in _UNRUN_STATUSES and is_not_run(response):
        kind = failures.Kind.TARGET_REFUSED
    return failures.Failure(kind, reason, _read_retry_after(response))


def is_not_run(response: aiohttp.ClientResponse) -> bool:
    """Tell whether the target says that it did not run the request."""
    return response.headers.get(NOT_RUN_HEADER, '').lower() == 'true'


def _read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    """Return the header's seconds; a date in it is not understood."""
    text = response.headers.get('Retry-After', '')
    return float(text) if text.isascii() and text.isdigit() else None


def explain_error(error: Exception) -> failures.Failure:
    """Return the failure that a client error stands for.

    Only an error of connecting proves that nothing was sent. A broken or
    silent connection may have carried the whole request, and the reply may
    be what was lost.
    """
    match error:
        case aiohttp.ClientConnectorError() | aiohttp.ConnectionTimeoutError():
            kind = failures.Kind.TARGET_REFUSED
            reason = 'no connection to the target'
        case aiohttp.InvalidURL():
            kind = failures.Kind.TARGET_REFUSED
            reason = "the target's address is malformed"
        case TimeoutError():
            kind = failures.Kind.OUTCOME_UNKNOWN
            reason = 'the target was silent for too long'
        case _:
            kind = failures.Kind.OUTCOME_UNKNOWN
            reason = 'the connection to the target broke'
    return failures.Failure(kind, reason)


async def read_bounded(
    response: aiohttp.ClientResponse, largest: int
) -> bytes | failures.Failure:
    """Read a whole body.

    One over ``largest`` bytes is ``TARGET_FAILED``, since the target did run
    the request, and one that may have been cut ``OUTCOME_UNKNOWN``.
    """
    parts = []
    size = 0
    while data := await response.content.readany():
        size += len(data)
        if size > largest:
            return fail_malformed(f'an answer of over {largest} bytes')
        parts.append(data)
    body = b''.join(parts)
    if not _has_marked_end(response) and not _is_whole_json(response, body):
        return failures.Failure(
            failures.Kind.OUTCOME_UNKNOWN,
            'the answer ended with its connection',
        )
    return body


def _has_marked_end(response: aiohttp.ClientResponse) -> bool:
    """Tell whether more than the connection's end marks that of the body.

    The end of the target's process closes its connections in the same way.
    """
    coding = response.headers.get('Transfer-Encoding', '')
    return (
        'Content-Length' in response.headers
        or 'chunked' in coding.lower()
        or response.status == _NO_CONTENT
    )


def _is_whole_json(response: aiohttp.ClientResponse, body: bytes) -> bool:
    """Tell whether a body is JSON that can't be the beginning of more."""
    if response.content_type != 'application/json':
        return False
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return False
    return isinstance(value, bool) or not isinstance(value, int | float)


def fail_malformed(what: str) -> failures.Failure:
    """Return the failure for an answer that cannot be used."""
    return failures.Failure(
        failures.Kind.TARGET_FAILED, f'the target sent {what}'
    )
