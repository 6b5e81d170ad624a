"""Answers with a JSON body, and what a caller is told of a failure."""

import math
import typing

from aiohttp import web
import msgspec

from vanillayoke.core import failures
from vanillayoke.entry import bodies

JSON_TYPE = 'application/json'
# These two hide what the reason could tell: whether a key or an id is
# unknown, malformed or somebody else's.
_UNIFORM_KINDS = frozenset(
    (failures.Kind.UNAUTHENTICATED, failures.Kind.NOT_FOUND)
)

Fault = failures.Failure | bodies.BadField


class ErrorDetail(msgspec.Struct, frozen=True, omit_defaults=True):
    """One error; ``retry_after`` is in seconds."""

    kind: str
    ran: str
    may_retry: bool
    text: str
    reason: str
    field: str = ''
    retry_after: float | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of an error answer and of an ``error`` event."""

    error: ErrorDetail


def describe(failure: failures.Failure, field: str = '') -> ErrorBody:
    """Return what a caller is told of a failure."""
    if failure.kind in _UNIFORM_KINDS:
        failure = failures.Failure(failure.kind, '')
    answer = failure.answer
    detail = ErrorDetail(
        kind=failure.kind.value,
        ran=answer.ran.value,
        may_retry=answer.may_retry,
        text=answer.text,
        reason=failure.reason,
        field=field,
        retry_after=failure.retry_after,
    )
    return ErrorBody(detail)


def make_answer(value: typing.Any) -> web.Response:
    """Make the answer that holds a value; 200."""
    return web.Response(
        body=msgspec.json.encode(value), content_type=JSON_TYPE
    )


def make_outcome(
    value: typing.Any | failures.Failure,
) -> web.Response | failures.Failure:
    """Make the answer that holds a value, unless it is a failure."""
    return value if failures.is_failure(value) else make_answer(value)


def make_error(fault: Fault) -> web.Response:
    """Make the answer to a request that failed."""
    match fault:
        case bodies.BadField(failure, field):
            body = describe(failure, field)
        case failure:
            body = describe(failure)
    response = make_answer(body)
    response.set_status(failure.answer.status)
    if body.error.retry_after is not None:
        seconds = max(1, math.ceil(body.error.retry_after))
        response.headers['Retry-After'] = str(seconds)
    if failure.kind is failures.Kind.UNAUTHENTICATED:
        response.headers['WWW-Authenticate'] = 'Bearer'
    return response
