"""What every request passes: authentication, errors and slow readers."""

import functools
import typing

from aiohttp import web

from vanillayoke.core import failures
from vanillayoke.entry import answers
from vanillayoke.entry import bodies
from vanillayoke.entry import contexts
from vanillayoke.entry import forwarding
from vanillayoke.entry import parsing
from vanillayoke.entry import routing
from vanillayoke.entry import streams

# The host checks operators' keys itself.
OPERATOR_PREFIX = '/operator/'
SERVER_NAME = 'vanillayoke'
PROGRESS = b'HTTP/1.1 102 Processing\r\n\r\n'

Handler = typing.Callable[[web.Request], typing.Awaitable[routing.Outcome]]
FaultReport = typing.Callable[[Exception], None]

_INTERNAL = failures.Failure(failures.Kind.INTERNAL, 'see the log')
FAULT_REPORT = web.AppKey('fault_report', FaultReport)
OPEN_PATHS = web.AppKey('open_paths', frozenset)


@web.middleware
async def answer_faults(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turn failures and exceptions into answers, and send these."""
    context = contexts.find(request)
    timeout = context.settings.slow_reader_timeout
    if request.transport is not None:
        streams.watch_peer(request.transport, timeout)
    try:
        outcome = await handler(request)
    except web.HTTPException as error:
        outcome = _read_exception(error)
    except ConnectionError:
        raise
    except Exception as error:
        request.app[FAULT_REPORT](error)
        outcome = _INTERNAL
    if isinstance(outcome, (failures.Failure, bodies.BadField)):
        outcome = answers.make_error(outcome)
    await streams.send_whole(request, outcome, context.timers, timeout)
    if context.drain.is_draining:
        outcome.force_close()
    return outcome


def _read_exception(error: web.HTTPException) -> answers.Fault:
    if isinstance(error, web.HTTPMethodNotAllowed):
        return bodies.make_fault('the path does not take this method')
    if isinstance(error, web.HTTPNotFound):
        return parsing.NOT_FOUND
    return bodies.make_fault(error.reason)


@web.middleware
async def authenticate(
    request: web.Request, handler: Handler
) -> routing.Outcome:
    """Let through who has a key; others learn nothing, not even paths."""
    if request.path in request.app[OPEN_PATHS]:
        return await handler(request)
    key = parsing.read_bearer(request)
    if failures.is_failure(key):
        return key
    if request.path.startswith(OPERATOR_PREFIX):
        return await handler(request)
    client = contexts.find(request).host.find_client(key)
    if failures.is_failure(client):
        return client
    request[contexts.CLIENT] = client
    return await handler(request)


@web.middleware
async def show_progress(
    request: web.Request, handler: Handler
) -> routing.Outcome:
    """Tell an instance that passed a request on that it is worked at.

    The other instance takes a connection that is silent for long for a
    dead one. Informational answers keep it from that until the head of
    the real one is sent; HTTP clients skip them.
    """
    if not forwarding.read_hops(request):
        return await handler(request)
    context = contexts.find(request)
    beat = context.timers.call_every(
        context.heartbeat, functools.partial(_send_progress, request)
    )
    request[contexts.PROGRESS] = beat
    try:
        return await handler(request)
    finally:
        beat.cancel()


def _send_progress(request: web.Request) -> None:
    transport = request.transport
    if transport is not None and not transport.is_closing():
        transport.write(PROGRESS)


async def finish_head(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Complete the head of every answer."""
    if contexts.PROGRESS in request:
        request[contexts.PROGRESS].cancel()
    # The library's default names its version and the interpreter's.
    response.headers['Server'] = SERVER_NAME
    if contexts.find(request).drain.is_draining:
        response.headers['Connection'] = 'close'
        response.force_close()
