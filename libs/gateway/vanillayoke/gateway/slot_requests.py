"""Requests of this instance that wait for a slot of their target.

If the chosen target has no free slot, the request waits at the coordinator of
the target (``slot_queues``) until it grants a slot. Without a response of the
coordinator the request is sent anyway and waits in the target's own queue.
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
from vanillayoke.gateway import slot_queues as slot_queues_module
from vanillayoke.scheduling import occupancy as occupancy_module

# A round trip between zones takes two milliseconds.
REQUEST_TIMEOUTS_SECONDS = (load_queries_module.QUERY_TIMEOUT_SECONDS,)
# A waiting request is repeated once before it gives up its position because of
# one lost datagram.
RENEWAL_TIMEOUTS_SECONDS = (*REQUEST_TIMEOUTS_SECONDS, 0.02)
# If the time-out of a response is noticed later than this, the instance had no
# processor time and may not have read the response.
MAX_TIMEOUT_DELAY_SECONDS = 0.005
# How often a waiting request asks again. Its coordinator may have failed or
# changed, or the grant may have been lost.
RENEWAL_INTERVAL_SECONDS = 0.1
# Reserved for sending a refusal before the deadline.
RESPONSE_MARGIN_SECONDS = 0.03
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


class _Wait:
    """A request that waits for a slot of a target."""

    def __init__(
        self,
        progress: typing.Any,
        target: messages.Target,
        ticket: str,
        coordinator: str | None,
        started_at: float,
        was_avoided: bool,
    ) -> None:
        self.progress = progress
        self.target = target
        self.ticket = ticket
        self.coordinator = coordinator
        self.started_at = started_at
        # Whether the target was unhealthy when it was chosen.
        self.was_avoided = was_avoided
        # Whether the coordinator may hold a grant or a place in the queue.
        self.is_held = True
        # Whether it was repeated because this instance had stood still.
        self.is_repeated = False


class SlotRequests:
    """Requests slots of targets from their coordinators."""

    def __init__(
        self,
        instance: str,
        first_ticket: int,
        is_enabled: typing.Callable[[], bool],
        slot_queues: slot_queues_module.SlotQueues,
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
        self._slot_queues = slot_queues
        self._load_queries = load_queries
        self._catalog = catalog
        self._occupancy = occupancy
        self._timers = timer_service
        self._metrics = metrics
        self._log = log
        self._weights = OrganisationWeights()
        self._peers: peers_module.Peers | None = None

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

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
        wait = self._start_wait(progress, target)
        service = target.service
        self._metrics.slot_waiting.add(1, service=service)
        try:
            return await self._wait(wait, excluded)
        finally:
            self._metrics.slot_waiting.add(-1, service=service)
            waited = self._timers.now() - wait.started_at
            self._metrics.slot_wait.observe(waited, service=service)

    def _must_ask(self, progress: typing.Any, target: messages.Target) -> bool:
        """Return whether the target's slots are taken or others wait.

        A request that may have run goes on without asking: a refusal would
        leave its outcome unknown. A target that leaves has no queue; it is
        chosen only for streams that no other target can continue.
        """
        if not self._is_enabled() or progress.may_have_run:
            return False
        if target.is_leaving or progress.target_load is None:
            return False
        return (
            progress.target_waiting > 0
            or progress.target_load >= self._get_slots(target)
        )

    async def _wait(self, wait: _Wait, excluded: set[str]) -> bool:
        retry_timeouts = REQUEST_TIMEOUTS_SECONDS
        try:
            while True:
                response = await self._ask(wait, retry_timeouts)
                retry_timeouts = RENEWAL_TIMEOUTS_SECONDS
                may_send = self._handle_response(wait, response, excluded)
                if may_send is not None:
                    return may_send
                self._update_coordinator(wait)
        finally:
            if wait.is_held:
                self._cancel(wait)

    def _start_wait(
        self, progress: typing.Any, target: messages.Target
    ) -> _Wait:
        self._last_ticket += 1
        return _Wait(
            progress,
            target,
            f'{self._instance}/{self._last_ticket:x}',
            self._load_queries.find_coordinator(target),
            self._timers.now(),
            self._should_avoid(target),
        )

    def _handle_response(
        self,
        wait: _Wait,
        response: peer_messages.Response | None,
        excluded: set[str],
    ) -> bool | None:
        """Return whether to send the request, ``None`` if it waits on."""
        target = wait.target
        is_usable = self._is_ready(target) and (
            wait.was_avoided or not self._should_avoid(target)
        )
        match response:
            case peer_messages.SlotGranted() if is_usable:
                wait.is_held = False
                return True
            case peer_messages.SlotRefused():
                wait.is_held = False
                self._handle_refusal(wait, excluded, response)
                return False
            case None if is_usable:
                self._log_end(wait, 'silent')
                return True
            case peer_messages.Unavailable():
                # The coordinator leaves, or the target restarted.
                wait.is_held = False
                waited = self._timers.now() - wait.started_at
                self._log_end(wait, 'released')
                return is_usable and waited <= REQUEST_TIMEOUTS_SECONDS[0]
        if not is_usable:
            self._log_end(wait, 'unusable')
            return False
        return None

    def _update_coordinator(self, wait: _Wait) -> None:
        """Leave the queue of an instance that is no longer coordinator."""
        coordinator = self._load_queries.find_coordinator(wait.target)
        if coordinator != wait.coordinator:
            self._cancel(wait)
            wait.coordinator = coordinator

    async def _ask(
        self, wait: _Wait, retry_timeouts: typing.Sequence[float]
    ) -> peer_messages.Response | None:
        """Return the response; ``Pending`` if it is time to ask again."""
        request = self._make_request(wait)
        if wait.coordinator is not None:
            asked_at = self._timers.now()
            response = await self._peers.send_request(
                wait.coordinator,
                request,
                asked_at + RENEWAL_INTERVAL_SECONDS,
                retry_timeouts,
            )
            latest = asked_at + sum(retry_timeouts) + MAX_TIMEOUT_DELAY_SECONDS
            is_late = self._timers.now() > latest
            if response is None and is_late and not wait.is_repeated:
                wait.is_repeated = True
                return peer_messages.Pending()
            return response
        response = self._slot_queues.decide(request)
        if not isinstance(response, asyncio.Future):
            return response
        try:
            async with asyncio.timeout(RENEWAL_INTERVAL_SECONDS):
                return await response
        except TimeoutError:
            return peer_messages.Pending()

    def _make_request(self, wait: _Wait) -> peer_messages.SlotRequest:
        progress, target = wait.progress, wait.target
        now = self._timers.now()
        time_left = progress.deadline - RESPONSE_MARGIN_SECONDS - now
        slack, in_time = _find_slack(progress, time_left, now)
        return peer_messages.SlotRequest(
            target.name,
            wait.ticket,
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
            now - wait.started_at,
        )

    def _handle_refusal(
        self,
        wait: _Wait,
        excluded: set[str],
        refused: peer_messages.SlotRefused,
    ) -> None:
        """Exclude the target if another one may have capacity, or refuse."""
        progress, target = wait.progress, wait.target
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

    def _cancel(self, wait: _Wait) -> None:
        cancelled = peer_messages.SlotCancelled(wait.target.name, wait.ticket)
        if wait.coordinator is None:
            self._slot_queues.handle_cancelled(cancelled)
        else:
            self._peers.notify(wait.coordinator, cancelled)

    def _log_end(self, wait: _Wait, cause: str) -> None:
        waited = self._timers.now() - wait.started_at
        self._metrics.slot_waits_abandoned.add(1, cause=cause)
        self._log.write(
            log_events.SLOT_WAIT_ABANDONED,
            request=wait.progress.call.request,
            organisation=wait.progress.organisation_name,
            target=wait.target.name,
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
