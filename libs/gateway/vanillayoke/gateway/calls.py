"""One caller's request from its arrival to its end."""

import asyncio

from vanillayoke.core import events as log_events
from vanillayoke.core import failures
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import dispatch
from vanillayoke.gateway import messages
from vanillayoke.gateway import plain
from vanillayoke.gateway import refusals
from vanillayoke.gateway import shared
from vanillayoke.gateway import turns
from vanillayoke.scheduling import quotas
from vanillayoke.transport import server

# What is left of the route's or the caller's time when the system's own
# answer goes out: enough for it to arrive in time.
ANSWER_MARGIN = 0.03
FIRST_FAILURE = 400
# Callers come back as told only within a third of the time they have left.
LONGEST_PAUSE_SHARE = 0.32


# The share of its time that a request waits for room in its limit; the rest is
# for the work.
LIMIT_PATIENCE = 0.5


class CallHandler:
    """Serves the requests of callers."""

    def __init__(self, parts: shared.Parts) -> None:
        self._parts = parts
        self._plain = plain.PlainCalls(parts)
        self._turns = turns.Turns(parts)

    async def handle(
        self, request: server.Request, responder: server.Responder
    ) -> None:
        """Answer one request."""
        began = self._parts.timers.now()
        try:
            call = self._parts.dialect.decode_call(request)
        except dialect_module.BadCallError as error:
            self._parts.log.write(
                log_events.REQUEST_MALFORMED, error=str(error)
            )
            refusal = refusals.RefusalError(refusals.Reason.BAD_REQUEST)
            self._send_refusal(responder, refusal)
            return
        self._parts.measures.active.add(1)
        try:
            await self._handle_call(call, began, responder)
        finally:
            self._parts.measures.active.add(-1)

    async def _handle_call(
        self, call: messages.Call, began: float, responder: server.Responder
    ) -> None:
        progress = dispatch.Progress(call, began)
        try:
            await self._route(call, progress, responder)
        except refusals.RefusalError as refusal:
            self._end_with(refusal, progress, responder)
        except TimeoutError:
            reason = refusals.Reason.LATE
            if progress.may_have_run:
                reason = refusals.Reason.LATE_RUNNING
            refusal = refusals.RefusalError(reason)
            self._end_with(refusal, progress, responder)
        except asyncio.CancelledError:
            self._note_end(progress, 0, 'caller_gone')
            raise
        else:
            self._note_end(progress, progress.status, 'answered')

    async def _route(
        self,
        call: messages.Call,
        progress: dispatch.Progress,
        responder: server.Responder,
    ) -> None:
        catalog = self._parts.catalog
        configuration = catalog.configuration
        if configuration is None:
            raise refusals.RefusalError(refusals.Reason.NO_CONFIGURATION)
        route = catalog.find_route(call.host, call.path)
        progress.take_organisation(
            self._parts.access.identify(configuration, route, call.key),
            configuration.organisations is not None,
        )
        if route is None:
            raise refusals.RefusalError(refusals.Reason.NO_ROUTE)
        service = catalog_module.choose_service(route, self._parts.draw())
        progress.take_route(route, service)
        async with asyncio.timeout_at(progress.until - ANSWER_MARGIN):
            await self._serve_admitted(progress, responder)

    async def _serve_admitted(
        self, progress: dispatch.Progress, responder: server.Responder
    ) -> None:
        """Serve a request within the limit of its organisation."""
        is_turn = progress.route.kind is messages.RouteKind.STREAM
        program = progress.call.program
        asked = quotas.Asked(
            program.name if program else '',
            progress.route.name if is_turn else '',
        )
        limits = self._parts.limits
        now = self._parts.timers.now()
        patience = LIMIT_PATIENCE * (progress.until - now)
        admission = await limits.admit(
            progress.organisation, asked, now + patience
        )
        try:
            if is_turn:
                await self._turns.serve(progress, responder)
            else:
                await self._plain.serve(progress, responder)
        finally:
            if admission is not None and progress.runs != 1:
                limits.add(admission, progress.runs - 1)

    def _end_with(
        self,
        refusal: refusals.RefusalError,
        progress: dispatch.Progress,
        responder: server.Responder,
    ) -> None:
        if progress.may_have_run and refusal.ran is failures.Ran.NO:
            # An earlier attempt broke off: "not run" would not be true.
            refusal = refusals.RefusalError(
                refusals.Reason.OUTCOME_UNKNOWN, refusal.detail
            )
        if refusal.reason is refusals.Reason.ISOLATED:
            responder.close_after()
        if responder.is_started:
            # Part of an answer is out: breaking the connection off is the
            # only way to say that it is not whole.
            responder.abort()
        else:
            self._send_refusal(responder, refusal, progress)
        reason = refusal.reason.value
        self._parts.measures.refusals.add(1, reason=reason)
        self._note_end(progress, refusal.status, reason, refusal.detail)

    def _send_refusal(
        self,
        responder: server.Responder,
        refusal: refusals.RefusalError,
        progress: dispatch.Progress | None = None,
    ) -> None:
        headers = []
        if refusal.pause is not None:
            # Callers refused together should not come back together.
            pause = refusal.pause * (0.75 + 0.25 * self._parts.draw())
            if progress is not None:
                left = progress.until - self._parts.timers.now()
                pause = min(pause, left * LONGEST_PAUSE_SHARE)
            headers = self._parts.dialect.encode_retry_after(pause)
        responder.send(refusal.status, headers, b'')

    def _note_end(
        self,
        progress: dispatch.Progress,
        status: int,
        outcome: str,
        detail: str = '',
    ) -> None:
        call = progress.call
        seconds = self._parts.timers.now() - progress.began
        self._parts.measures.note_request(progress, outcome, seconds)
        event = log_events.REQUEST_ENDED
        if status >= FIRST_FAILURE or outcome != 'answered':
            event = log_events.REQUEST_FAILED
        self._parts.log.write(
            event,
            request=call.request,
            organisation=progress.organisation_name,
            program=call.program.name if call.program else None,
            previous=call.previous_turn or None,
            budget=call.program.budget if call.program else None,
            most=call.max_tokens or None,
            route=progress.route.name if progress.route else None,
            target=progress.target,
            outcome=outcome,
            status=status,
            ms=round(seconds * 1000, 1),
            waited=round(progress.waited * 1000, 1),
            tries=progress.tries,
            shed=progress.shed,
            keeper=progress.keeper,
            left=_get_left(call),
            urgency=progress.level,
            first=_round(progress.first),
            version=self._parts.configuration_version,
            detail=detail or None,
        )


def _get_left(call: messages.Call) -> float | None:
    """Return the program's time left at arrival, in milliseconds."""
    return None if call.program is None else _round(call.program.time_left)


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
