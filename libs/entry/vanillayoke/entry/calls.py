"""Handlers that start calls and give their answers."""

import typing

from aiohttp import web

from vanillayoke.core import failures
from vanillayoke.entry import answers
from vanillayoke.entry import bodies
from vanillayoke.entry import contexts
from vanillayoke.entry import events
from vanillayoke.entry import host
from vanillayoke.entry import parsing
from vanillayoke.entry import routing
from vanillayoke.entry import streams

ENDED_EARLY = failures.Failure(
    failures.Kind.LEASE_LOST, 'the stream ended before its call', 0.0
)


async def start_call(request: web.Request) -> routing.Outcome:
    """Start a call or run and give its answer, streamed or whole."""
    parsed = await parsing.parse_body(request, bodies.CallBody)
    if not isinstance(parsed, parsing.ParsedBody):
        return parsed
    context = contexts.find(request)
    wanted = _make_request(request, parsed.body)
    if not isinstance(wanted, host.CallRequest):
        return wanted
    client = request[contexts.CLIENT]
    program = parsing.read_program(request)

    async def work() -> routing.Outcome:
        starting = context.host.start_call(client, program, wanted)
        stream = await context.requests.run_detached(starting)
        if failures.is_failure(stream):
            return stream
        if parsed.body.stream:
            return await stream_answer(request, stream, 0)
        return await give_answer(request, stream)

    return await routing.route(request, program, parsed.data, work)


def _make_request(
    request: web.Request, body: bodies.CallBody
) -> host.CallRequest | bodies.BadField:
    key = parsing.read_key(request)
    if isinstance(key, bodies.BadField):
        return key
    fault = bodies.check_call(body)
    if fault:
        return fault
    arguments = bodies.read_arguments(body)
    # Whether the answer is streamed is no part of what is asked for.
    fingerprint = parsing.hash_request(
        'call',
        parsing.read_program(request),
        body.mode,
        body.text,
        body.tool,
        arguments,
        body.max_tokens,
    )
    return host.CallRequest(
        key=key,
        fingerprint=fingerprint,
        mode=body.mode,
        text=body.text,
        tool=body.tool,
        arguments=arguments,
        max_tokens=body.max_tokens,
    )


async def resume_stream(request: web.Request) -> routing.Outcome:
    """Stream a call's answer from an offset on."""
    offset = parsing.read_offset(request)
    if isinstance(offset, bodies.BadField):
        return offset
    context = contexts.find(request)
    client = request[contexts.CLIENT]
    program = parsing.read_program(request)
    number = int(request.match_info['number'])

    async def work() -> routing.Outcome:
        stream = await context.host.find_call(client, program, number)
        if failures.is_failure(stream):
            return stream
        return await stream_answer(request, stream, offset)

    return await routing.route(request, program, b'', work)


async def stream_answer(
    request: web.Request, stream: host.CallStream, offset: int
) -> web.StreamResponse:
    """Stream a call's answer as server-sent events."""
    context = contexts.find(request)
    response = web.StreamResponse(headers=_make_headers(request, stream))
    writer = await streams.start_body(
        request,
        response,
        context.timers,
        context.settings.slow_reader_timeout,
    )
    beat = context.timers.call_every(context.heartbeat, writer.send_heartbeat)
    try:
        await _write_items(context, stream, offset, writer)
    finally:
        beat.cancel()
    writer.flush()
    return response


def _make_headers(
    request: web.Request, stream: host.CallStream
) -> dict[str, str]:
    program = parsing.read_program(request)
    return {
        'Content-Type': events.CONTENT_TYPE,
        'Content-Location': f'/v1/programs/{program}/calls/{stream.number}'
        '/stream',
        'Cache-Control': 'no-store',
    }


async def _write_items(
    context: contexts.Context,
    stream: host.CallStream,
    offset: int,
    writer: streams.BodyWriter,
) -> None:
    items = stream.follow(offset)
    try:
        failure = await context.requests.run(_copy_items(items, writer))
    finally:
        await _close(items)
    if failure:
        writer.add(events.encode(failure))


async def _copy_items(
    items: typing.AsyncIterator[host.StreamItem], writer: streams.BodyWriter
) -> failures.Failure | None:
    async for item in items:
        writer.add(events.encode(item))
        if events.is_final(item):
            return None
        if writer.is_full():
            await writer.drain()
    return ENDED_EARLY


async def _close(items: typing.AsyncIterator[host.StreamItem]) -> None:
    # A generator left half way would run its clean-up only when it is
    # collected, in a task of its own.
    if isinstance(items, typing.AsyncGenerator):
        await items.aclose()


async def give_answer(
    request: web.Request, stream: host.CallStream
) -> web.Response | failures.Failure:
    """Wait for a call's end and give its answer whole."""
    context = contexts.find(request)
    items = stream.follow(0)
    try:
        final = await context.requests.run(_find_final(items))
    finally:
        await _close(items)
    if failures.is_failure(final):
        return final
    return answers.make_answer(events.DoneData(*final))


async def _find_final(
    items: typing.AsyncIterator[host.StreamItem],
) -> host.FinalAnswer | failures.Failure:
    async for item in items:
        if events.is_final(item):
            return item
    return ENDED_EARLY
