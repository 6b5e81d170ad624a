"""Bringing a request to the instance that owns its program."""

import typing

from aiohttp import web

from vanillayoke.core import failures
from vanillayoke.entry import answers
from vanillayoke.entry import contexts
from vanillayoke.entry import forwarding
from vanillayoke.entry import host
from vanillayoke.entry import parsing

# Ownership may move while a request is under way; it is looked up anew once.
ATTEMPTS = 2

Outcome = web.StreamResponse | answers.Fault
Work = typing.Callable[[], typing.Awaitable[Outcome]]


async def route(
    request: web.Request, program: str, data: bytes, work: Work
) -> Outcome:
    """Do the work here, or pass the request on to the program's owner.

    ``data`` is the request's body; ``work`` is repeated only after a
    ``NOT_OWNER``, which says that this request did nothing.
    """
    # A malformed id is refused here, behind all other checks, so that its
    # answer is that of an absent program whatever else is wrong.
    if not parsing.is_program(program):
        return parsing.NOT_FOUND
    failure = None
    for _ in range(ATTEMPTS):
        result = await _try_once(request, program, data, work)
        match result:
            case forwarding.Unsent(instance):
                failure = failures.Failure(
                    failures.Kind.NOT_OWNER,
                    f'{instance} cannot be reached',
                    forwarding.RETRY_AFTER,
                )
            case failures.Failure(failures.Kind.NOT_OWNER):
                failure = result
            case _:
                return result
    return failure


async def _try_once(
    request: web.Request, program: str, data: bytes, work: Work
) -> Outcome | forwarding.Unsent:
    context = contexts.find(request)
    place = await context.host.locate(program)
    match place:
        case host.Elsewhere():
            return await context.forwarder.pass_on(request, place, data)
        case failures.Failure():
            return place
        case None:
            return await work()
