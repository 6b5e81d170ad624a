"""Reading of requests: keys, ids, numbers and bodies."""

import hashlib
import re
import typing

from aiohttp import web
import msgspec

from vanillayoke.core import failures
from vanillayoke.entry import bodies
from vanillayoke.entry import contexts

IDEMPOTENCY_KEY = 'Idempotency-Key'
LAST_EVENT_ID = 'Last-Event-ID'

_PROGRAM = re.compile(r'prg-[0-9a-f]{32}(?:\.[0-9a-f]{32})*', re.ASCII)
_KEY = re.compile(r'[!-~]{1,200}', re.ASCII)
_NUMBER = re.compile(r'[0-9]{1,15}', re.ASCII)
_BEARER = re.compile(r'Bearer +([!-~]+) *', re.ASCII | re.IGNORECASE)
_FINGERPRINT_SIZE = 16

NOT_FOUND = failures.Failure(failures.Kind.NOT_FOUND, '')
UNAUTHENTICATED = failures.Failure(failures.Kind.UNAUTHENTICATED, '')


def read_bearer(request: web.Request) -> str | failures.Failure:
    """Return the key of the ``Authorization`` header."""
    match = _BEARER.fullmatch(request.headers.get('Authorization', ''))
    return match[1] if match else UNAUTHENTICATED


def is_program(program: str) -> bool:
    """Tell whether a text has the form of a program id."""
    return _PROGRAM.fullmatch(program) is not None


def read_program(request: web.Request) -> str:
    """Return the program id of the path; its form is not checked."""
    return request.match_info['program']


def read_key(request: web.Request) -> str | bodies.BadField:
    """Return the request's idempotency key."""
    key = request.headers.get(IDEMPOTENCY_KEY, '')
    if _KEY.fullmatch(key):
        return key
    return bodies.make_fault(
        'Expected 1 to 200 visible ASCII characters', IDEMPOTENCY_KEY
    )


def read_number(
    request: web.Request, name: str, default: int
) -> int | bodies.BadField:
    """Return a whole number of the query."""
    return parse_number(request.query.get(name), name, default)


def parse_number(
    text: str | None, name: str, default: int
) -> int | bodies.BadField:
    """Return the number in a text, or the default where there is none."""
    if text is None:
        return default
    if _NUMBER.fullmatch(text):
        return int(text)
    return bodies.make_fault('Expected a whole number', name)


def read_offset(request: web.Request) -> int | bodies.BadField:
    """Return the offset to resume a stream from.

    A reader that reconnects by itself repeats its first URL, so the id of
    the last event that it saw goes before the URL's offset.
    """
    if LAST_EVENT_ID in request.headers:
        text = request.headers[LAST_EVENT_ID]
        return parse_number(text, LAST_EVENT_ID, 0)
    return read_number(request, 'offset', 0)


def hash_request(*parts: typing.Any) -> str:
    """Return a hash that tells a repeated request from another one."""
    encoded = msgspec.json.encode(parts)
    digest = hashlib.blake2b(encoded, digest_size=_FINGERPRINT_SIZE)
    return digest.hexdigest()


class _Timeout(TimeoutError):
    """The body did not come in time."""


async def read_body(request: web.Request) -> bytes | failures.Failure:
    """Read a body within the bounds of size and time.

    After a failure the connection is closed, since what is left of the
    body on it is no request.
    """
    context = contexts.find(request)
    largest = context.settings.largest_body
    if (request.content_length or 0) > largest:
        return _refuse_size(largest)
    timeout = context.settings.body_timeout
    # A caller that stops in the middle of a body but keeps its connection
    # would hold this task for ever. It shows as a read that does not end,
    # which the exception breaks off.
    guard = context.timers.call_after(
        timeout, lambda: request.content.set_exception(_Timeout())
    )
    try:
        return await _collect(request, largest)
    except _Timeout:
        return failures.Failure(
            failures.Kind.BAD_REQUEST, f'the body took over {timeout:g} s'
        )
    except web.RequestPayloadError:
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'the body has a faulty encoding'
        )
    finally:
        guard.cancel()


async def _collect(
    request: web.Request, largest: int
) -> bytes | failures.Failure:
    parts = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > largest:
            return _refuse_size(largest)
        parts.append(part)
    return b''.join(parts)


def _refuse_size(largest: int) -> failures.Failure:
    return failures.Failure(
        failures.Kind.BODY_TOO_LARGE, f'the limit is {largest} bytes'
    )


_Shape = typing.TypeVar('_Shape', bound=bodies.Body)


class ParsedBody(typing.NamedTuple, typing.Generic[_Shape]):
    """A decoded body beside the bytes that it came as."""

    data: bytes
    body: _Shape


async def parse_body(
    request: web.Request, shape: type[_Shape]
) -> ParsedBody[_Shape] | failures.Failure | bodies.BadField:
    """Read and decode a request's body."""
    data = await read_body(request)
    if failures.is_failure(data):
        return data
    body = bodies.decode(data, shape)
    if isinstance(body, bodies.BadField):
        return body
    return ParsedBody(data, body)
