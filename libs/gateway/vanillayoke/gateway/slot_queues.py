"""Slots of targets, granted by the targets' coordinators.

If the chosen target has no free slot, the request waits at the coordinator
that counts the target's requests (``load_queries``), which grants slots in the
order of ``scheduling.slot_queue``. Without a response of the coordinator the
request is sent anyway and waits in the target's own queue.
"""

import asyncio
import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import load_queries as load_queries_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import refusals
from vanillayoke.scheduling import occupancy as occupancy_module
from vanillayoke.scheduling import slot_queue

# A round trip between zones takes two milliseconds.
REQUEST_TIMEOUTS_SECONDS = (load_queries_module.QUERY_TIMEOUT_SECONDS,)
# A waiting request is repeated once before it gives up its position because of
# one lost datagram.
RENEWAL_TIMEOUTS_SECONDS = (*REQUEST_TIMEOUTS_SECONDS, 0.02)
# How often a waiting request asks again. Its coordinator may have failed or
# changed, or the grant may have been lost.
RENEWAL_INTERVAL_SECONDS = 0.1
# How often a coordinator checks for grants that have expired and for requests
# that can't start in time, while any requests wait.
CHECK_INTERVAL_SECONDS = 0.02
# Reserved for sending a refusal before the deadline.
RESPONSE_MARGIN_SECONDS = 0.03
# Waits that end after a longer time are logged.
LONG_WAIT_SECONDS = 0.5
# After a refusal one other target is tried.
MAX_REFUSALS = 2
DEFAULT_WEIGHT = 1.0


class OrganisationWeights:
    """The shares that organisations are due, from their rate limits."""

    def __init__(self) -> None:
        self._organisations: typing.Any = None
        self._mean_rate = DEFAULT_WEIGHT

    def find(
        self,
        organisation: messages.Organisation | None,
        configuration: messages.Configuration | None,
    ) -> float:
        """Return the weight of an organisation.

        An organisation without a limit is due the mean of the others.
        """
        if organisation is None:
            return DEFAULT_WEIGHT
        if organisation.rate > 0:
            return organisation.rate
        organisations = configuration and configuration.organisations
        if organisations is not self._organisations:
            self._organisations = organisations
            rates = {
                one.name: one.rate
                for one in (organisations or {}).values()
                if one.rate > 0
            }
            self._mean_rate = (
                sum(rates.values()) / len(rates) if rates else DEFAULT_WEIGHT
            )
        return self._mean_rate


class SlotQueues:
    """Requests slots for this instance, and grants those it coordinates."""

    def __init__(
        self,
        instance: str,
        first_ticket: int,
        is_enabled: typing.Callable[[], bool],
        load_queries: load_queries_module.LoadQueries,
        catalog: catalog_module.Catalog,
        occupancy: occupancy_module.Occupancy,
        timer_service: timers.TimerService,
        metrics: metrics_module.Metrics,
        log: logs.Logger,
    ) -> None:
        self._instance = instance
        # Differs from the tickets of a former process of this instance.
        self._last_ticket = first_ticket
        self._is_enabled = is_enabled
        self._load_queries = load_queries
        self._catalog = catalog
        self._occupancy = occupancy
        self._timers = timer_service
        self._metrics = metrics
        self._log = log
        self._weights = OrganisationWeights()
        self._peers: peers_module.Peers | None = None
        self._queues: dict[str, slot_queue.SlotQueue] = {}
        # Final responses to waiting requests, by ticket.
        self._responses: dict[str, asyncio.Future[peer_messages.Response]] = {}
        self._check_timer: timers.Subscription | None = None
        self._is_leaving = False
        load_queries.set_observer(self._record)

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    # Requests of this instance

    async def acquire(
        self,
        progress: typing.Any,
        target: messages.Target,
        excluded: set[str],
    ) -> bool:
        """Wait for a slot; return whether to send the request to the target.

        Otherwise the caller has to choose again; ``excluded`` then gets the
        target if it refused. ``progress`` is a ``dispatch.Progress``. Raise
        ``RefusalError`` if the request can't start in time. The caller must
        send the request without waiting for anything else.
        """
        if not self._must_ask(progress, target):
            return True
        started_at = self._timers.now()
        service = target.service
        self._metrics.slot_waiting.add(1, service=service)
        try:
            return await self._wait(progress, target, excluded, started_at)
        finally:
            self._metrics.slot_waiting.add(-1, service=service)
            waited = self._timers.now() - started_at
            self._metrics.slot_wait.observe(waited, service=service)

    def _must_ask(self, progress: typing.Any, target: messages.Target) -> bool:
        """Return whether the target's slots are taken or others wait.

        A request that may have run goes on without asking: a refusal would
        leave its outcome unknown.
        """
        if not self._is_enabled() or progress.may_have_run:
            return False
        if progress.target_load is None:
            return False
        return (
            progress.target_waiting > 0
            or progress.target_load >= self._get_slots(target)
        )

    async def _wait(
        self,
        progress: typing.Any,
        target: messages.Target,
        excluded: set[str],
        started_at: float,
    ) -> bool:
        self._last_ticket += 1
        ticket = f'{self._instance}/{self._last_ticket:x}'
        was_avoided = self._should_avoid(target)
        coordinator = self._load_queries.find_coordinator(target)
        retry_timeouts = REQUEST_TIMEOUTS_SECONDS
        is_held = True
        try:
            while True:
                response = await self._ask(
                    coordinator,
                    self._make_request(progress, target, ticket, started_at),
                    retry_timeouts,
                )
                retry_timeouts = RENEWAL_TIMEOUTS_SECONDS
                is_usable = self._is_ready(target) and (
                    was_avoided or not self._should_avoid(target)
                )
                match response:
                    case peer_messages.SlotGranted() if is_usable:
                        is_held = False
                        return True
                    case peer_messages.SlotRefused():
                        is_held = False
                        self._handle_refusal(
                            progress, target, excluded, response
                        )
                        return False
                    case None if is_usable:
                        self._log_end(progress, target, started_at, 'silent')
                        return True
                    case peer_messages.Unavailable():
                        # The coordinator leaves, or the target restarted.
                        is_held = False
                        has_waited = self._timers.now() - started_at
                        self._log_end(progress, target, started_at, 'released')
                        return (
                            is_usable
                            and has_waited <= REQUEST_TIMEOUTS_SECONDS[0]
                        )
                if not is_usable:
                    self._log_end(progress, target, started_at, 'unusable')
                    return False
                current = self._load_queries.find_coordinator(target)
                if current != coordinator:
                    self._cancel(coordinator, target.name, ticket)
                    coordinator = current
        finally:
            if is_held:
                self._cancel(coordinator, target.name, ticket)

    async def _ask(
        self,
        coordinator: str | None,
        request: peer_messages.SlotRequest,
        retry_timeouts: typing.Sequence[float],
    ) -> peer_messages.Response | None:
        """Return the response; ``Pending`` if it is time to ask again."""
        deadline = self._timers.now() + RENEWAL_INTERVAL_SECONDS
        if coordinator is not None:
            return await self._peers.send_request(
                coordinator, request, deadline, retry_timeouts
            )
        response = self._decide(request)
        if not isinstance(response, asyncio.Future):
            return response
        try:
            async with asyncio.timeout(RENEWAL_INTERVAL_SECONDS):
                return await response
        except TimeoutError:
            return peer_messages.Pending()

    def _make_request(
        self,
        progress: typing.Any,
        target: messages.Target,
        ticket: str,
        started_at: float,
    ) -> peer_messages.SlotRequest:
        now = self._timers.now()
        time_left = progress.deadline - RESPONSE_MARGIN_SECONDS - now
        slack, in_time = _find_slack(progress, time_left, now)
        return peer_messages.SlotRequest(
            target.name,
            ticket,
            progress.call.request,
            progress.organisation_name or '',
            self._weights.find(
                progress.organisation, self._catalog.configuration
            ),
            progress.priority,
            _is_first_turn(progress),
            slack,
            in_time,
            time_left,
            self._get_slots(target),
            now - started_at,
        )

    def _handle_refusal(
        self,
        progress: typing.Any,
        target: messages.Target,
        excluded: set[str],
        refused: peer_messages.SlotRefused,
    ) -> None:
        """Exclude the target if another one may have capacity, or refuse."""
        progress.slot_refusals += 1
        others = self._catalog.list_targets(target.service)
        if progress.slot_refusals < MAX_REFUSALS and len(others) > 1:
            excluded.add(target.name)
            return
        raise refusals.RefusalError(
            refusals.Reason.BUSY,
            f'no slot of {target.name} in time: {refused.reason}, position '
            f'{refused.position}, wait {refused.predicted:.3f} s',
            refused.retry_after,
        )

    def _cancel(
        self, coordinator: str | None, target: str, ticket: str
    ) -> None:
        cancelled = peer_messages.SlotCancelled(target, ticket)
        if coordinator is None:
            self.handle_cancelled(cancelled)
        else:
            self._peers.notify(coordinator, cancelled)

    def _log_end(
        self,
        progress: typing.Any,
        target: messages.Target,
        started_at: float,
        cause: str,
    ) -> None:
        waited = self._timers.now() - started_at
        self._metrics.slot_waits_abandoned.add(1, cause=cause)
        self._log.write(
            log_events.SLOT_WAIT_ABANDONED,
            request=progress.call.request,
            organisation=progress.organisation_name,
            target=target.name,
            cause=cause,
            ms=round(waited * 1000, 1),
        )

    def _is_ready(self, target: messages.Target) -> bool:
        """Return whether this process of a target may get new work."""
        known = self._catalog.find_target(target.service, target.name)
        return known == target

    def _should_avoid(self, target: messages.Target) -> bool:
        return self._occupancy.should_avoid(target.name, self._timers.now())

    def _get_slots(self, target: messages.Target) -> int:
        return self._occupancy.get_slots(
            occupancy_module.Candidate(target.name, target.slots, target.zone)
        )

    # Targets that this instance coordinates

    def handle_request(self, request: peer_messages.SlotRequest) -> typing.Any:
        """Return the response to a request, or a coroutine that waits."""
        response = self._decide(request)
        if isinstance(response, asyncio.Future):
            return _await_response(response)
        return response

    def handle_cancelled(self, cancelled: peer_messages.SlotCancelled) -> None:
        """Handle that a request no longer waits or returns its grant."""
        queue = self._queues.get(cancelled.target)
        if queue is None:
            return
        now = self._timers.now()
        claim = queue.cancel(cancelled.ticket, now)
        if claim is not None:
            self._load_queries.load_counts.end(
                cancelled.target, claim.request, None, None, now
            )
        self._drop_response(cancelled.ticket)
        self._advance(cancelled.target, queue)

    def retain(self, targets: typing.Container[str]) -> None:
        """Release what waits for targets other than these."""
        for name in [name for name in self._queues if name not in targets]:
            self._release(name, self._queues.pop(name))

    def handle_restart(self, target: str) -> None:
        """Release what waits for a target that has restarted."""
        queue = self._queues.pop(target, None)
        if queue is not None:
            self._release(target, queue)

    def leave(self) -> None:
        """Release all waiting requests; this instance stops coordinating."""
        self._is_leaving = True
        for name, queue in self._queues.items():
            self._release(name, queue)

    def close(self) -> None:
        """Stop checking the queues."""
        if self._check_timer is not None:
            self._check_timer.cancel()

    def _decide(
        self, request: peer_messages.SlotRequest
    ) -> peer_messages.Response | asyncio.Future[peer_messages.Response]:
        """Return the response, the future one if the request waits."""
        if not self._is_enabled() or self._is_leaving:
            return peer_messages.Unavailable(False)
        now = self._timers.now()
        queue = self._queues.get(request.target)
        if queue is None:
            queue = self._queues[request.target] = slot_queue.SlotQueue(
                request.slots
            )
        queue.slots = request.slots
        # A former request with this ticket gets no response any more.
        self._drop_response(request.ticket)
        self._advance(request.target, queue)
        claim = slot_queue.Claim(
            request.ticket,
            request.request,
            request.organisation,
            request.weight,
            request.priority,
            request.is_first,
            now + request.slack,
            now + request.in_time,
            now + request.time_left,
            now - request.waited,
        )
        outcome = queue.request(claim, now)
        if outcome is not None:
            return self._end_wait(request.target, claim, outcome, now)
        future = asyncio.get_running_loop().create_future()
        self._responses[request.ticket] = future
        # The bound may have made the least urgent request give way. This may
        # also end the wait, as the clock goes on.
        self._advance(request.target, queue)
        return future

    def _record(self, notification: peer_messages.Notification) -> None:
        """Record the start or the end of a request at a target."""
        if not self._is_enabled():
            # The settings may have changed.
            self.retain(())
            return
        now = self._timers.now()
        match notification:
            case peer_messages.RequestStarted(target, request, max_duration):
                queue = self._queues.get(target)
                if queue is None:
                    queue = self._queues[target] = slot_queue.SlotQueue(
                        self._find_slots(target)
                    )
                queue.begin(request, max_duration, now)
            case peer_messages.RequestEnded(target, request, reported, _):
                queue = self._queues.get(target)
                if queue is not None:
                    queue.end(request, reported, now)
                    if queue.waiting_count:
                        self._advance(target, queue)

    def _find_slots(self, name: str) -> int:
        """Return the number of slots of a target, 1 if it is unknown."""
        target = self._catalog.get_target(name)
        return 1 if target is None else self._get_slots(target)

    def _advance(self, target: str, queue: slot_queue.SlotQueue) -> None:
        """Grant free slots, and respond to requests whose wait ends."""
        now = self._timers.now()
        expired = queue.expired_grants
        for claim, outcome in queue.advance(now):
            response = self._end_wait(target, claim, outcome, now)
            future = self._responses.pop(claim.ticket, None)
            if future is not None and not future.done():
                future.set_result(response)
        if queue.expired_grants > expired:
            self._metrics.slot_grants_expired.add(
                queue.expired_grants - expired
            )
        self._load_queries.load_counts.set_waiting(target, queue.waiting_count)
        if queue.waiting_count and self._check_timer is None:
            self._check_timer = self._timers.call_after(
                CHECK_INTERVAL_SECONDS, self._check
            )

    def _check(self) -> None:
        self._check_timer = None
        for name, queue in list(self._queues.items()):
            if queue.waiting_count:
                self._advance(name, queue)

    def _end_wait(
        self,
        target: str,
        claim: slot_queue.Claim,
        outcome: slot_queue.Outcome,
        now: float,
    ) -> peer_messages.Response:
        """Record the outcome of a request and return the response to it."""
        match outcome:
            case slot_queue.Granted():
                self._record_grant(target, claim, outcome, now)
                return peer_messages.SlotGranted()
            case slot_queue.Refused():
                self._record_refusal(target, claim, outcome)
                return peer_messages.SlotRefused(
                    outcome.retry_after,
                    outcome.reason.value,
                    outcome.position,
                    outcome.predicted,
                )
            case slot_queue.Dropped():
                # If the instance was only slow, the request chooses again.
                return peer_messages.Unavailable(False)

    def _record_grant(
        self,
        target: str,
        claim: slot_queue.Claim,
        granted: slot_queue.Granted,
        now: float,
    ) -> None:
        # The grant counts as a running request until it expires.
        self._load_queries.load_counts.begin(
            target, claim.request, granted.expires_at, now
        )
        self._metrics.slot_grants.add()
        waited = now - claim.arrived_at
        if waited > LONG_WAIT_SECONDS:
            self._log.write(
                log_events.SLOT_WAIT_LONG,
                request=claim.request,
                organisation=claim.organisation or None,
                target=target,
                position=granted.position,
                priority=claim.priority,
                seconds=round(waited, 3),
            )

    def _record_refusal(
        self, target: str, claim: slot_queue.Claim, refused: slot_queue.Refused
    ) -> None:
        reason = refused.reason.value
        self._metrics.slot_refusals.add(1, reason=reason)
        self._log.write(
            log_events.SLOT_REFUSED,
            request=claim.request,
            organisation=claim.organisation or None,
            target=target,
            reason=reason,
            position=refused.position,
            waiting=refused.waiting,
            slots=self._queues[target].slots,
            priority=claim.priority,
            hold_ms=round(refused.hold * 1000, 1),
            predicted_ms=round(refused.predicted * 1000, 1),
            left_ms=round(refused.time_left * 1000, 1),
            retry_ms=round(refused.retry_after * 1000, 1),
        )

    def _release(self, target: str, queue: slot_queue.SlotQueue) -> None:
        """Let the waiting requests of a target choose again."""
        queue.reset()
        for claim in queue.release():
            future = self._responses.pop(claim.ticket, None)
            if future is not None and not future.done():
                future.set_result(peer_messages.Unavailable(False))
        self._load_queries.load_counts.set_waiting(target, 0)

    def _drop_response(self, ticket: str) -> None:
        future = self._responses.pop(ticket, None)
        if future is not None:
            future.cancel()


async def _await_response(
    future: asyncio.Future[peer_messages.Response],
) -> peer_messages.Response:
    return await future


def _find_slack(
    progress: typing.Any, time_left: float, now: float
) -> tuple[float, float]:
    """Return the slack, and the time until the program can't end in time.

    The slack of a request that is not a turn is what is left of its latency
    objective. Exceeding that does not make its program late by itself.
    """
    if progress.slack is not None:
        slack = progress.slack.left - (now - progress.slack_updated_at)
        return slack, slack
    in_time = time_left
    program = progress.call.program
    if program is not None and program.time_left is not None:
        in_time = min(in_time, progress.started_at + program.time_left - now)
    if progress.route.kind is messages.RouteKind.STREAM:
        return time_left, in_time
    objective = progress.started_at + progress.route.latency_objective
    return objective - now, in_time


def _is_first_turn(progress: typing.Any) -> bool:
    """Return whether a request is the first turn of a program.

    If its route does not keep history, later turns do not name a previous
    turn, but the coordinator of the program knows where that one ran.
    """
    return (
        progress.route.kind is messages.RouteKind.STREAM
        and not progress.call.previous_turn
        and progress.affinity_target is None
    )
