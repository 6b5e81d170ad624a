"""Requests with one response: read whole, then passed on."""

import asyncio
import typing

from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import dispatch
from vanillayoke.gateway import forwarding
from vanillayoke.gateway import messages
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import program_slack
from vanillayoke.transport import client
from vanillayoke.transport import headers as headers_module
from vanillayoke.transport import server

# Written anew for the caller.
_DROPPED = frozenset((b'content-length',))
# A safe call is given up on after this many times its usual time, and not
# before this share of its time: a server that is four times slower than
# usual is still waited for, and the caller's second try has room.
PATIENCE_TIMES = 10.0
PATIENCE_SHARE = 0.35
# A route whose own time is about as short ends by that: its requests may
# well last longer, which says nothing of the server. Seconds.
SHORTEST_PATIENCE = 0.5


class Response(typing.NamedTuple):
    """A target's whole response."""

    head: client.Head
    body: bytes


class UnaryRequests:
    """Serves the requests of routes that do not stream."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._dispatcher = dispatch.Dispatcher(context)
        self._usual: dict[str, program_slack.TypicalTime] = {}
        self._means: dict[str, program_slack.AverageTime] = {}

    async def serve(
        self, progress: dispatch.Progress, responder: server.Responder
    ) -> None:
        """Answer one request."""
        response = await self._run(progress)
        send_response(response, progress, responder)

    async def _run(self, progress: dispatch.Progress) -> Response:
        passed: set[str] = set()
        while True:
            target = await self._dispatcher.choose(progress, passed)
            try:
                response = await self._try(progress, target)
            except (client.TransportError, forwarding.NotExecutedError) as e:
                passed.add(target.name)
                self._dispatcher.record_failure(progress, target, e)
                continue
            progress.status = response.head.status
            self._dispatcher.record_success(progress, target)
            self._learn(progress)
            return response

    async def _try(
        self, progress: dispatch.Progress, target: messages.Target
    ) -> Response:
        progress.attempts += 1
        async with self._dispatcher.make_attempt(progress, target) as attempt:
            sending = self._dispatcher.make_forward_options(progress, target)
            progress.may_have_run = True
            if progress.route.kind is not messages.RouteKind.SAFE:
                return await self._exchange(progress, attempt, sending)
            try:
                async with asyncio.timeout(self._find_patience(progress)):
                    return await self._exchange(progress, attempt, sending)
            except TimeoutError as error:
                attempt.latency_ratio = load_counts.MAX_LATENCY_RATIO
                raise client.TimedOut('no response for too long') from error

    async def _exchange(
        self,
        progress: dispatch.Progress,
        attempt: forwarding.Attempt,
        sending: messages.ForwardOptions,
    ) -> Response:
        head = await attempt.send(
            progress.call, sending, not progress.route.is_idempotent
        )
        response = Response(head, await attempt.read_body())
        taken = self._context.timers.now() - attempt.started_at
        mean = self._means.setdefault(
            progress.route.name, program_slack.AverageTime(taken)
        )
        attempt.latency_ratio = taken / mean.value
        mean.learn(taken)
        return response

    def _find_patience(self, progress: dispatch.Progress) -> float:
        """Return how long to wait for the response to a safe call.

        A server that says nothing for many times as long as usual is not
        going to; the caller can try again in what time is left.
        """
        whole = progress.deadline - progress.started_at
        usual = self._usual.get(progress.route.name)
        times = 0.0 if usual is None else PATIENCE_TIMES * usual.value
        return max(times, PATIENCE_SHARE * whole, SHORTEST_PATIENCE)

    def _learn(self, progress: dispatch.Progress) -> None:
        name = progress.route.name
        taken = self._context.timers.now() - progress.started_at
        usual = self._usual.get(name)
        if usual is None:
            usual = self._usual[name] = program_slack.TypicalTime(taken)
        usual.learn(taken)


def send_response(
    response: Response,
    progress: dispatch.Progress,
    responder: server.Responder,
) -> None:
    """Pass a whole response on as the target gave it."""
    progress.status = response.head.status
    headers = headers_module.drop_hop_by_hop(response.head.headers, _DROPPED)
    responder.send(response.head.status, headers, response.body)
