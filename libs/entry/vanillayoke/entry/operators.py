"""Handler of operators' commands."""

from aiohttp import web

from vanillayoke.core import failures
from vanillayoke.entry import answers
from vanillayoke.entry import bodies
from vanillayoke.entry import contexts
from vanillayoke.entry import parsing
from vanillayoke.entry import routing


async def run_command(request: web.Request) -> routing.Outcome:
    """Run one operator's command on this instance."""
    key = parsing.read_bearer(request)
    if failures.is_failure(key):
        return key
    parsed = await parsing.parse_body(request, bodies.OperatorBody)
    if not isinstance(parsed, parsing.ParsedBody):
        return parsed
    context = contexts.find(request)
    running = context.host.run_operator_command(
        key, request.match_info['command'], parsed.body.arguments
    )
    return answers.make_outcome(await context.requests.run_detached(running))
