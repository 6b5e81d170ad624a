"""Handlers that open, show, cancel and end programs."""

import typing

from aiohttp import web

from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.entry import answers
from vanillayoke.entry import bodies
from vanillayoke.entry import contexts
from vanillayoke.entry import host
from vanillayoke.entry import parsing
from vanillayoke.entry import routing

DEFAULT_ENTRIES = 100
MOST_ENTRIES = 1000


class HistoryPage(typing.TypedDict):
    """One page of a program's history, oldest entry first."""

    history: list[host.HistoryEntry]


async def open_program(request: web.Request) -> routing.Outcome:
    """Open a program, or a sub-agent where the body names a parent."""
    parsed = await parsing.parse_body(request, bodies.OpenBody)
    if not isinstance(parsed, parsing.ParsedBody):
        return parsed
    return await _open(request, parsed, parsed.body.parent)


async def open_child(request: web.Request) -> routing.Outcome:
    """Open a sub-agent under the program of the path."""
    parsed = await parsing.parse_body(request, bodies.ChildBody)
    if not isinstance(parsed, parsing.ParsedBody):
        return parsed
    return await _open(request, parsed, parsing.read_program(request))


async def _open(
    request: web.Request,
    parsed: parsing.ParsedBody[bodies.ChildBody],
    parent: str,
) -> routing.Outcome:
    context = contexts.find(request)
    key = parsing.read_key(request)
    if isinstance(key, bodies.BadField):
        return key
    client = request[contexts.CLIENT]
    wanted = _make_request(key, parsed.body, parent)

    async def work() -> routing.Outcome:
        opening = context.host.open_program(client, wanted)
        return answers.make_outcome(
            await context.requests.run_detached(opening)
        )

    program = parent or ids.derive_program_id(client, key)
    return await routing.route(request, program, parsed.data, work)


def _make_request(
    key: str, body: bodies.ChildBody, parent: str
) -> host.OpenRequest:
    budget = body.budget
    fingerprint = parsing.hash_request(
        'open', parent, body.agent, body.deadline, body.urgent, budget
    )
    return host.OpenRequest(
        key=key,
        fingerprint=fingerprint,
        agent=body.agent,
        deadline=body.deadline,
        urgent=body.urgent,
        tokens=budget.tokens,
        calls=budget.calls,
        seconds=budget.seconds,
        money=budget.money,
        parent=parent,
    )


async def show_program(request: web.Request) -> routing.Outcome:
    """Answer with a program's state."""
    context = contexts.find(request)
    client = request[contexts.CLIENT]
    program = parsing.read_program(request)

    async def work() -> routing.Outcome:
        view = await context.host.view_program(client, program)
        return answers.make_outcome(view)

    return await routing.route(request, program, b'', work)


async def show_history(request: web.Request) -> routing.Outcome:
    """Answer with a page of a program's history."""
    after = parsing.read_number(request, 'after', 0)
    if isinstance(after, bodies.BadField):
        return after
    limit = parsing.read_number(request, 'limit', DEFAULT_ENTRIES)
    if isinstance(limit, bodies.BadField):
        return limit
    limit = min(limit, MOST_ENTRIES)
    context = contexts.find(request)
    client = request[contexts.CLIENT]
    program = parsing.read_program(request)

    async def work() -> routing.Outcome:
        entries = await context.host.read_history(
            client, program, after, limit
        )
        if failures.is_failure(entries):
            return entries
        return answers.make_answer(HistoryPage(history=entries))

    return await routing.route(request, program, b'', work)


async def cancel_call(request: web.Request) -> routing.Outcome:
    """Cancel a program's running call."""
    parsed = await parsing.parse_body(request, bodies.Body)
    if not isinstance(parsed, parsing.ParsedBody):
        return parsed
    context = contexts.find(request)
    client = request[contexts.CLIENT]
    program = parsing.read_program(request)

    async def work() -> routing.Outcome:
        cancelling = context.host.cancel_call(client, program)
        return answers.make_outcome(
            await context.requests.run_detached(cancelling)
        )

    return await routing.route(request, program, parsed.data, work)


async def end_program(request: web.Request) -> routing.Outcome:
    """End a program and its sub-agents."""
    parsed = await parsing.parse_body(request, bodies.Body)
    if not isinstance(parsed, parsing.ParsedBody):
        return parsed
    key = parsing.read_key(request)
    if isinstance(key, bodies.BadField):
        return key
    context = contexts.find(request)
    client = request[contexts.CLIENT]
    program = parsing.read_program(request)

    async def work() -> routing.Outcome:
        ending = context.host.end_program(client, program, key)
        return answers.make_outcome(
            await context.requests.run_detached(ending)
        )

    return await routing.route(request, program, parsed.data, work)
