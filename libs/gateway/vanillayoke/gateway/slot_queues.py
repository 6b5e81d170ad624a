"""Queues of requests that wait for slots, at the coordinators of targets.

The coordinator that counts a target's requests (``load_queries``) grants its
slots in the order of ``scheduling.slot_queue``. The instances whose requests
wait are in ``slot_requests``.
"""

import asyncio
import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import load_queries as load_queries_module
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import peer_messages
from vanillayoke.scheduling import occupancy as occupancy_module
from vanillayoke.scheduling import slot_queue

# How often a coordinator checks for grants that have expired and for requests
# that can't start in time, while any requests wait.
CHECK_INTERVAL_SECONDS = 0.02
# Waits that end after a longer time are logged.
LONG_WAIT_SECONDS = 0.5


class SlotQueues:
    """The queues of the targets that this instance coordinates."""

    def __init__(
        self,
        is_enabled: typing.Callable[[], bool],
        load_queries: load_queries_module.LoadQueries,
        catalog: catalog_module.Catalog,
        occupancy: occupancy_module.Occupancy,
        timer_service: timers.TimerService,
        metrics: metrics_module.Metrics,
        log: logs.Logger,
    ) -> None:
        self._is_enabled = is_enabled
        self._load_queries = load_queries
        self._catalog = catalog
        self._occupancy = occupancy
        self._timers = timer_service
        self._metrics = metrics
        self._log = log
        self._queues: dict[str, slot_queue.SlotQueue] = {}
        # Final responses to waiting requests, by ticket.
        self._responses: dict[str, asyncio.Future[peer_messages.Response]] = {}
        self._check_timer: timers.Subscription | None = None
        self._is_leaving = False
        load_queries.set_observer(self._record)

    def handle_request(self, request: peer_messages.SlotRequest) -> typing.Any:
        """Return the response to a request, or a coroutine that waits."""
        response = self.decide(request)
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

    def decide(
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
        claim = _make_claim(request, now)
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
        if target is None:
            return 1
        return self._occupancy.get_slots(
            occupancy_module.Candidate(target.name, target.slots, target.zone)
        )

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


def _make_claim(
    request: peer_messages.SlotRequest, now: float
) -> slot_queue.Claim:
    return slot_queue.Claim(
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


async def _await_response(
    future: asyncio.Future[peer_messages.Response],
) -> peer_messages.Response:
    return await future
