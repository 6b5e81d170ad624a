"""Requests with a single, non-streamed response."""

import asyncio
import typing

from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import dispatch
from vanillayoke.gateway import forwarding
from vanillayoke.gateway import hedged_calls
from vanillayoke.gateway import messages
from vanillayoke.gateway import refusals
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import program_slack
from vanillayoke.transport import client
from vanillayoke.transport import headers as headers_module
from vanillayoke.transport import server

# Set anew for the caller.
_DROPPED = frozenset((b'content-length',))
# The timeout of an attempt on a safe route is the longest of: a multiple of
# the typical latency, a part of the request's time limit, and a minimum. It
# leaves the caller time to retry, and a target that is four times slower than
# usual is still waited for. Routes with a time limit of about the minimum end
# by that limit: their requests may take longer although the target is healthy.
TIMEOUT_LATENCY_FACTOR = 10.0
TIMEOUT_LIMIT_RATIO = 0.35
MIN_TIMEOUT_SECONDS = 0.5


class Response(typing.NamedTuple):
    """A complete response of a target."""

    head: client.Head
    body: bytes
    ending: client.Ending


class UnaryRequests:
    """Serves requests on routes that do not stream."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._dispatcher = dispatch.Dispatcher(context)
        self._typical_latencies: dict[str, program_slack.TypicalTime] = {}
        self._average_latencies: dict[str, program_slack.AverageTime] = {}
        self._hedged_calls = hedged_calls.HedgedCalls(
            context, self._dispatcher, self._send_hedged
        )

    async def serve(
        self, progress: dispatch.Progress, responder: server.Responder
    ) -> None:
        """Serve a request."""
        response = await self._run(progress)
        send_response(response, progress, responder)

    async def _run(self, progress: dispatch.Progress) -> Response:
        excluded: set[str] = set()
        while True:
            target = await self._dispatcher.choose(progress, excluded)
            if self._hedged_calls.may_hedge(progress):
                response = await self._hedged_calls.run(
                    progress, target, excluded
                )
                if response is None:
                    continue
                self._record_latency(progress)
                return response
            try:
                response = await self._try(progress, target)
            except (client.TransportError, forwarding.NotExecutedError) as e:
                excluded.add(target.name)
                self._dispatcher.record_failure(progress, target, e)
                continue
            progress.status = response.head.status
            self._dispatcher.record_success(progress, target)
            self._record_latency(progress)
            return response

    async def _try(
        self, progress: dispatch.Progress, target: messages.Target
    ) -> Response:
        attempt = self._dispatcher.make_attempt(progress, target)
        options = self._dispatcher.make_forward_options(progress, target)
        return await self._run_attempt(progress, progress, attempt, options)

    async def _send_hedged(
        self, progress: dispatch.Progress, call: hedged_calls.Call
    ) -> Response:
        """Send one of two calls of a request."""
        call.attempt = self._dispatcher.make_attempt(call.choice, call.target)
        options = self._dispatcher.make_forward_options(
            call.choice, call.target
        )
        response = await self._run_attempt(
            progress, call.choice, call.attempt, options
        )
        seconds = self._context.timers.now() - call.attempt.started_at
        self._hedged_calls.get_route(progress.route.name).latency.learn(
            seconds
        )
        return response

    async def _run_attempt(
        self,
        progress: dispatch.Progress,
        choice: dispatch.Progress,
        attempt: forwarding.Attempt,
        options: messages.ForwardOptions,
    ) -> Response:
        """Return the response; ``choice`` is what chose the target."""
        progress.attempts += 1
        async with attempt:
            progress.may_have_run = True
            if progress.route.kind is not messages.RouteKind.SAFE:
                return await self._exchange(choice, attempt, options)
            try:
                async with asyncio.timeout(self._compute_timeout(progress)):
                    return await self._exchange(choice, attempt, options)
            except TimeoutError as error:
                if attempt.waits_for_memory:
                    # The target has responded, so it did not fail.
                    raise refusals.RefusalError(
                        refusals.Reason.OUTCOME_UNKNOWN,
                        'no memory for the response',
                    ) from error
                attempt.latency_ratio = load_counts.MAX_LATENCY_RATIO
                raise client.TimedOut('target response timed out') from error

    async def _exchange(
        self,
        progress: dispatch.Progress,
        attempt: forwarding.Attempt,
        options: messages.ForwardOptions,
    ) -> Response:
        head = await attempt.send(
            progress.call, options, not progress.route.is_idempotent
        )
        body = await attempt.read_body()
        response = Response(head, body, attempt.ending)
        latency = attempt.ended_at - attempt.started_at
        if self._dispatcher.completion_times.is_used(progress.service):
            if head.status < dispatch.FIRST_SERVER_ERROR_STATUS:
                attempt.latency_ratio = (
                    self._dispatcher.completion_times.learn_latency(
                        progress, attempt, latency
                    )
                )
            return response
        average = self._average_latencies.setdefault(
            progress.route.name, program_slack.AverageTime(latency)
        )
        attempt.latency_ratio = latency / average.value
        average.learn(latency)
        return response

    def _compute_timeout(self, progress: dispatch.Progress) -> float:
        """Return the timeout of an attempt on a safe route, in seconds."""
        time_limit = progress.deadline - progress.started_at
        typical = self._typical_latencies.get(progress.route.name)
        from_latency = (
            0.0 if typical is None else TIMEOUT_LATENCY_FACTOR * typical.value
        )
        return max(
            from_latency, TIMEOUT_LIMIT_RATIO * time_limit, MIN_TIMEOUT_SECONDS
        )

    def _record_latency(self, progress: dispatch.Progress) -> None:
        name = progress.route.name
        latency = self._context.timers.now() - progress.started_at
        typical = self._typical_latencies.get(name)
        if typical is None:
            typical = self._typical_latencies[name] = (
                program_slack.TypicalTime(latency)
            )
        typical.learn(latency)


def send_response(
    response: Response,
    progress: dispatch.Progress,
    responder: server.Responder,
) -> None:
    """Forward a complete response to the caller."""
    progress.status = response.head.status
    progress.ending = response.ending
    headers = headers_module.drop_hop_by_hop(response.head.headers, _DROPPED)
    if response.ending is client.Ending.HEAD:
        # There is no body, and the length is that of a GET response.
        length = response.head.find(b'content-length') or b''
        responder.start(
            response.head.status,
            headers,
            int(length) if length.isdigit() else None,
        )
        responder.finish()
        return
    responder.send(response.head.status, headers, response.body)
