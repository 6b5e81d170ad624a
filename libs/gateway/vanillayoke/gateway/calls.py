"""Handling of a caller's request, from arrival to response."""

import asyncio

from vanillayoke.core import events as log_events
from vanillayoke.core import failures
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import dispatch
from vanillayoke.gateway import messages
from vanillayoke.gateway import program_admission
from vanillayoke.gateway import refusals
from vanillayoke.gateway import turns
from vanillayoke.gateway import unary
from vanillayoke.scheduling import quotas
from vanillayoke.transport import server

# Reserved for sending a refusal before the deadline.
RESPONSE_MARGIN_SECONDS = 0.03
FIRST_ERROR_STATUS = 400
# Callers ignore a Retry-After longer than a third of their remaining time.
MAX_RETRY_AFTER_RATIO = 0.32
# How much of its time limit a request may wait for its organisation's limit.
# The rest is for its work.
LIMIT_WAIT_RATIO = 0.5


class CallHandler:
    """Handles the requests of callers."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._unary = unary.UnaryRequests(context)
        self._turns = turns.Turns(context)

    async def handle(
        self, request: server.Request, responder: server.Responder
    ) -> None:
        """Handle a request."""
        started_at = self._context.timers.now()
        try:
            call = self._context.dialect.decode_call(request)
        except dialect_module.BadCallError as error:
            self._context.log.write(
                log_events.REQUEST_MALFORMED, error=str(error)
            )
            refusal = refusals.RefusalError(refusals.Reason.BAD_REQUEST)
            self._send_refusal(responder, refusal)
            self._context.metrics.record_malformed_request(
                refusal.reason.value
            )
            return
        responder.set_request_name(call.request)
        self._context.metrics.active_requests.add(1)
        try:
            await self._handle_call(call, started_at, responder)
        finally:
            self._context.metrics.active_requests.add(-1)

    async def _handle_call(
        self,
        call: messages.Call,
        started_at: float,
        responder: server.Responder,
    ) -> None:
        progress = dispatch.Progress(call, started_at)
        try:
            await self._route(call, progress, responder)
        except refusals.RefusalError as refusal:
            self._refuse(refusal, progress, responder)
        except TimeoutError:
            reason = refusals.Reason.LATE
            if progress.may_have_run:
                reason = refusals.Reason.LATE_RUNNING
            refusal = refusals.RefusalError(reason)
            self._refuse(refusal, progress, responder)
        except asyncio.CancelledError:
            self._end_cancelled(progress, responder)
            raise
        except Exception as error:
            self._context.on_failure(error, call.request)
            reason = refusals.Reason.FAILED
            if progress.may_have_run:
                reason = refusals.Reason.FAILED_RUNNING
            refusal = refusals.RefusalError(reason, type(error).__name__)
            self._refuse(refusal, progress, responder)
        else:
            self._record_end(progress, progress.status, 'answered')

    async def _route(
        self,
        call: messages.Call,
        progress: dispatch.Progress,
        responder: server.Responder,
    ) -> None:
        catalog = self._context.catalog
        configuration = catalog.configuration
        if configuration is None:
            raise refusals.RefusalError(refusals.Reason.NO_CONFIGURATION)
        if not (
            self._context.first_start.is_decided
            and self._context.quarantine.is_ready
        ):
            raise refusals.RefusalError(refusals.Reason.STARTING)
        route = catalog.find_route(call.host, call.path)
        progress.set_organisation(
            self._context.access.identify(configuration, route, call.key),
            configuration.organisations is not None,
        )
        if route is None:
            raise refusals.RefusalError(refusals.Reason.NO_ROUTE)
        service = catalog_module.choose_service(
            route, self._context.random_float()
        )
        progress.set_route(route, service)
        self._context.quarantine.check(progress.runs, service)
        is_safe = route.kind is messages.RouteKind.SAFE
        if not self._context.shutdown.accepts(progress.deadline, is_safe):
            raise refusals.RefusalError(refusals.Reason.STOPPING)
        memory_limit = self._context.memory_limit
        name = progress.organisation_name
        progress.expected = memory_limit.admit(route.name, name)
        size = None
        try:
            await self._serve_in_time(progress, responder)
            if progress.status < FIRST_ERROR_STATUS:
                size = responder.written_bytes
        finally:
            self._context.quarantine.end_permit(progress.runs)
            memory_limit.finish(route.name, name, progress.expected, size)

    async def _serve_in_time(
        self, progress: dispatch.Progress, responder: server.Responder
    ) -> None:
        async with asyncio.timeout_at(
            progress.deadline - RESPONSE_MARGIN_SECONDS
        ):
            await self._serve_admitted(progress, responder)

    async def _serve_admitted(
        self, progress: dispatch.Progress, responder: server.Responder
    ) -> None:
        """Serve a request once capacity and its limit admit it."""
        arrival = _make_arrival(progress)
        if arrival is not None:
            await self._context.program_admission.admit(arrival)
        is_turn = progress.route.kind is messages.RouteKind.STREAM
        program = progress.call.program
        request = quotas.AdmissionRequest(
            program.name if program else '',
            progress.route.name if is_turn else '',
            self._find_route_priority(progress),
        )
        limits = self._context.limits
        now = self._context.timers.now()
        max_wait = LIMIT_WAIT_RATIO * (progress.deadline - now)
        admission = await limits.admit(
            progress.organisation, request, now + max_wait
        )
        if arrival is not None:
            self._context.program_admission.record_begun(arrival)
        try:
            if is_turn:
                await self._turns.serve(progress, responder)
            else:
                await self._unary.serve(progress, responder)
        finally:
            if admission is not None and progress.max_runs != 1:
                limits.adjust(admission, progress.max_runs - 1)

    def _find_route_priority(self, progress: dispatch.Progress) -> int | None:
        """Return the route's priority if the request may start a program.

        It is ``None`` where limits do not distinguish priorities.
        """
        if (
            progress.route.kind is not messages.RouteKind.STREAM
            or progress.call.previous_turn
            or not self._context.get_settings().has_feature(
                messages.Feature.ROUTE_PRIORITY
            )
        ):
            return None
        return progress.route.priority

    def _report_refused_program(
        self, refusal: refusals.RefusalError, progress: dispatch.Progress
    ) -> None:
        """Report a program refused in favour of more urgent ones."""
        call = progress.call
        self._context.metrics.limit_reservations.add(
            1,
            organisation=progress.organisation_name,
            priority=str(progress.route.priority),
        )
        self._context.log.write(
            log_events.LIMIT_KEPT_FOR_URGENT,
            request=call.request,
            organisation=progress.organisation_name,
            program=call.program.name if call.program else None,
            route=progress.route.name,
            priority=progress.route.priority,
            retry_after=round(refusal.retry_after, 3),
            detail=refusal.detail,
        )

    def _refuse(
        self,
        refusal: refusals.RefusalError,
        progress: dispatch.Progress,
        responder: server.Responder,
    ) -> None:
        if progress.may_have_run and refusal.ran is failures.Ran.NO:
            # An earlier attempt may have run, so the response must not claim
            # that the request did not.
            refusal = refusals.RefusalError(
                refusals.Reason.OUTCOME_UNKNOWN, refusal.detail
            )
        if refusal.reason is refusals.Reason.OVER_LIMIT_URGENT:
            self._report_refused_program(refusal, progress)
        if refusal.reason is refusals.Reason.ISOLATED:
            responder.close_connection_after()
        if responder.is_started:
            # Part of the response is sent. Aborting the connection is the
            # only way to signal that it is incomplete.
            responder.abort()
        else:
            self._send_refusal(responder, refusal, progress)
        reason = refusal.reason.value
        self._context.metrics.refusals.add(1, reason=reason)
        self._record_end(progress, refusal.status, reason, refusal.detail)

    def _end_cancelled(
        self, progress: dispatch.Progress, responder: server.Responder
    ) -> None:
        """End a request whose handler was cancelled.

        A caller that is still connected gets a response.
        """
        if not responder.is_connected:
            self._record_end(progress, 0, 'caller_gone')
            return
        reason = refusals.Reason.INTERRUPTED
        if progress.may_have_run:
            reason = refusals.Reason.INTERRUPTED_RUNNING
        self._refuse(refusals.RefusalError(reason), progress, responder)

    def _send_refusal(
        self,
        responder: server.Responder,
        refusal: refusals.RefusalError,
        progress: dispatch.Progress | None = None,
    ) -> None:
        headers = []
        if refusal.retry_after is not None:
            retry_after = refusal.retry_after
            if not refusal.is_exact:
                # Jitter, so that callers do not retry at the same time.
                retry_after *= 0.75 + 0.25 * self._context.random_float()
            # Beyond the caller's deadline it tells not to retry before.
            is_capped = refusal.reason is not refusals.Reason.QUARANTINED
            if progress is not None and is_capped:
                remaining = progress.deadline - self._context.timers.now()
                retry_after = min(
                    retry_after, remaining * MAX_RETRY_AFTER_RATIO
                )
            headers = self._context.dialect.encode_retry_after(retry_after)
        responder.send(refusal.status, headers, b'')

    def _record_end(
        self,
        progress: dispatch.Progress,
        status: int,
        outcome: str,
        detail: str = '',
    ) -> None:
        call = progress.call
        seconds = self._context.timers.now() - progress.started_at
        self._context.metrics.record_request(progress, outcome, seconds)
        event = log_events.REQUEST_ENDED
        if status >= FIRST_ERROR_STATUS or outcome != 'answered':
            event = log_events.REQUEST_FAILED
        self._context.log.write(
            event,
            request=call.request,
            organisation=progress.organisation_name,
            program=call.program.name if call.program else None,
            previous=call.previous_turn or None,
            budget=call.program.budget if call.program else None,
            most=call.max_tokens or None,
            route=progress.route.name if progress.route else None,
            resumes=call.resumes,
            target=progress.target,
            software=progress.software_version,
            outcome=outcome,
            status=status,
            ending=progress.ending and progress.ending.value,
            ms=round(seconds * 1000, 1),
            waited=round(progress.queue_seconds * 1000, 1),
            tries=progress.attempts,
            shed=progress.sheds,
            keeper=progress.coordinator,
            left=_get_time_left_ms(call),
            urgency=progress.urgency,
            first=_to_ms(progress.first_event_delay),
            version=self._context.configuration_version,
            draining=self._find_draining_seconds(progress),
            detail=detail or None,
        )

    def _find_draining_seconds(
        self, progress: dispatch.Progress
    ) -> float | None:
        """Return how long this instance had been draining on arrival.

        ``None`` if the request arrived before that.
        """
        age = self._context.shutdown.find_age(progress.started_at)
        return None if age is None or age < 0 else round(age, 2)


def _make_arrival(
    progress: dispatch.Progress,
) -> program_admission.Arrival | None:
    """Return the arrival of a program's request, ``None`` for others."""
    program = progress.call.program
    if program is None:
        return None
    return program_admission.Arrival(
        progress.call,
        progress.qualify(program.name),
        progress.route,
        progress.service,
        progress.priority,
        progress.organisation_name,
        progress.deadline,
    )


def _get_time_left_ms(call: messages.Call) -> float | None:
    """Return the program's remaining time on arrival, in milliseconds."""
    return None if call.program is None else _to_ms(call.program.time_left)


def _to_ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
