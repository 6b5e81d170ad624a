"""Choice of targets for requests, and the results of their attempts."""

from vanillayoke.core import events as log_events
from vanillayoke.core import memory
from vanillayoke.gateway import completion_times
from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import forwarding
from vanillayoke.gateway import messages
from vanillayoke.gateway import quarantine
from vanillayoke.gateway import refusals
from vanillayoke.programs import scopes
from vanillayoke.scheduling import completion
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import prefixes
from vanillayoke.scheduling import program_slack
from vanillayoke.scheduling import slowdown as slowdown_module
from vanillayoke.scheduling import urgency
from vanillayoke.scheduling import zone_choice
from vanillayoke.transport import client

# The pause between two searches for a target with a free slot. On a busy
# service a slot is freed every few milliseconds.
SLOT_RETRY_SECONDS = 0.02
# How long a request waits while its service has no targets at all, as may
# happen for a short time when they are replaced.
NO_TARGET_TIMEOUT_SECONDS = 0.3
FIRST_SERVER_ERROR_STATUS = 500
# The part of a leaving target's drain time in which it may still continue
# streams that no other target can. Its announcement takes time to get here.
DRAIN_RATIO = 0.5
# How often a request is sent again after its response broke off. After more
# breaks it is likely that the target can't answer this request.
MAX_BROKEN_ATTEMPTS = 2


class Progress:
    """The state of a request while it is handled.

    Times are in seconds, on the clock of the instance.
    """

    def __init__(self, call: messages.Call, started_at: float) -> None:
        self.call = call
        self.started_at = started_at
        self.deadline = started_at
        self.route: messages.Route | None = None
        self.organisation: messages.Organisation | None = None
        # Whether the caller's key is removed before forwarding.
        self.strips_key = False
        self.service = ''
        self.target: str | None = None
        # The software version of the target.
        self.software_version: str | None = None
        self.coordinator: str | None = None
        # The target likely to have most of the prompt in its cache.
        self.affinity_target: str | None = None
        # The zone whose targets are preferred, once it is chosen.
        self.zone: str | None = None
        self.status = 0
        # What ended the response of the target.
        self.ending: client.Ending | None = None
        self.attempts = 0
        # Attempts that a target rejected without running the request.
        self.sheds = 0
        # Where the stream began, once an event of it has been sent.
        self.origin: messages.StreamOrigin | None = None
        # Targets that refused the connection.
        self.unreachable_targets: set[str] = set()
        # Targets at which the request may have run.
        self.started_targets: set[str] = set()
        # Attempts that failed after the request may have run.
        self.broken_attempts = 0
        # The number of requests at the target when it was chosen, if known.
        self.target_load: float | None = None
        # The number of requests that waited for its slots then.
        self.target_waiting = 0
        # Refusals by the slot queues of targets.
        self.slot_refusals = 0
        # The expected completion at the target, if it was chosen by it.
        self.estimate: completion.Estimate | None = None
        self.queue_seconds = 0.0
        # Set when the request starts to wait for an unavailable store.
        self.store_wait_deadline: float | None = None
        self.urgency: int | None = None
        self.slack: program_slack.Slack | None = None
        self.slack_updated_at = started_at
        # From the arrival of the request to the start of its response.
        self.first_event_delay: float | None = None
        self.may_have_run = False
        # Whether it was sent to a second target while a first one had it.
        self.is_hedged = False
        # Memory for the response until its size is known.
        self.expected: memory.Reservation | None = None
        self.runs = quarantine.Runs(call, None)

    @property
    def organisation_name(self) -> str | None:
        """The name of the organisation that the request belongs to."""
        return None if self.organisation is None else self.organisation.name

    @property
    def priority(self) -> int:
        """The priority of the request; 0 is the highest."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority

    @property
    def max_runs(self) -> int:
        """The maximum number of times that the request may have run."""
        if not self.may_have_run:
            return 0
        return max(1, self.broken_attempts + (self.status > 0))

    def qualify(self, name: str) -> str:
        """Return a caller's name in the scope of the caller's organisation.

        Without organisations, the name is returned unchanged.
        """
        if not self.strips_key:
            return name
        return scopes.qualify(self.organisation_name, name)

    def set_organisation(
        self, organisation: messages.Organisation | None, strips_key: bool
    ) -> None:
        """Set the organisation, and whether to remove the caller's key."""
        self.organisation = organisation
        self.strips_key = strips_key
        self.runs.organisation = self.organisation_name

    def set_route(self, route: messages.Route, service: str) -> None:
        """Set the route, the service and the deadline."""
        self.route = route
        self.service = service
        time_left = self.call.time_left
        timeout = (
            route.timeout
            if time_left is None
            else min(time_left, route.timeout)
        )
        self.deadline = self.started_at + timeout


class Dispatcher:
    """Chooses targets for requests and records how attempts end."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._prefixes: dict[str, prefixes.RecentPrefixes] = {}
        self._slowdowns: dict[str, slowdown_module.Slowdown] = {}
        self.completion_times = completion_times.CompletionTimes(
            context, self.get_slowdown
        )

    def get_slowdown(self, service: str) -> slowdown_module.Slowdown:
        """Return the model of how load slows down a service's targets."""
        slowdown = self._slowdowns.get(service)
        if slowdown is None:
            targets = self._context.catalog.list_targets(service)
            slots = targets[0].slots if targets else 1
            slowdown = slowdown_module.Slowdown(slots)
            self._slowdowns[service] = slowdown
        return slowdown

    def _make_criteria(
        self, progress: Progress
    ) -> occupancy.PlacementCriteria:
        slope = self.get_slowdown(progress.service).slope
        if progress.zone is None:
            progress.zone = self._context.zone_loads.choose_zone(
                progress.service,
                progress.call.request,
                progress.affinity_target,
                progress.route.kind is messages.RouteKind.STREAM,
                slope,
            )
        criteria = occupancy.PlacementCriteria(
            progress.affinity_target, progress.zone, slope
        )
        shared_prefix = prefixes.get_shared_prefix(progress.call.prefix)
        if shared_prefix is None:
            return criteria
        recent_prefixes = self._prefixes.setdefault(
            progress.service, prefixes.RecentPrefixes()
        )
        recent_prefixes.record(shared_prefix, self._context.timers.now())
        services = self._context.catalog.configuration.services
        service = services.get(progress.service)
        if service is None or service.engine is None:
            return criteria
        cache_tokens, slots = service.engine.cache_tokens, service.engine.slots
        return criteria._replace(
            shared_prefix=shared_prefix.name,
            rank_cost=recent_prefixes.get_rank_cost(cache_tokens),
            affinity_value=prefixes.estimate_affinity_value(
                progress.call.prefix, cache_tokens, slots
            ),
        )

    def make_attempt(
        self, progress: Progress, target: messages.Target
    ) -> forwarding.Attempt:
        """Return a new attempt at a target; nothing is sent yet."""
        progress.runs.began_at[target.name] = self._context.timers.now()
        return forwarding.Attempt(
            target,
            progress.call.request,
            progress.deadline,
            self._context.load_queries,
            self._context.pool,
            self._context.dialect,
            self._context.occupancy,
            self._context.timers,
            self._context.response_ends,
            progress.expected,
            lambda: self._record_skipped(progress, target),
        )

    def _record_skipped(
        self, progress: Progress, target: messages.Target
    ) -> None:
        """Record a response to another request than the one under way."""
        self._context.metrics.skipped_responses.add(1, target=target.name)
        self._context.log.write(
            log_events.RESPONSE_SKIPPED,
            request=progress.call.request,
            target=target.name,
            address=target.address,
        )

    def make_forward_options(
        self,
        progress: Progress,
        target: messages.Target,
        last_event: bytes | None = None,
    ) -> messages.ForwardOptions:
        """Return the options for forwarding the request to a target.

        A resumed stream continues after the event ``last_event``.
        """
        now = self._context.timers.now()
        progress.urgency = self._find_urgency(progress)
        return messages.ForwardOptions(
            target.name,
            progress.deadline - now,
            progress.urgency,
            last_event,
            organisation=progress.organisation_name,
            strips_key=progress.strips_key,
        )

    def _find_urgency(self, progress: Progress) -> int | None:
        """Return a turn's current urgency, ``None`` for other requests."""
        if progress.slack is None:
            return None
        waited = self._context.timers.now() - progress.slack_updated_at
        slack = progress.slack._replace(
            left=progress.slack.left - waited,
            overdue=progress.slack.overdue + waited,
        )
        return urgency.get_level(slack, progress.priority)

    async def choose(
        self, progress: Progress, excluded: set[str]
    ) -> messages.Target:
        """Return a target with a free slot, waiting for one if necessary.

        ``excluded`` holds names of targets not to use; it is cleared after
        each wait. Raise ``RefusalError`` if the service has no targets, if
        none can continue the stream, if no slot is free in time, or if the
        request is in quarantine.
        """
        timers = self._context.timers
        await self._context.quarantine.admit_run(
            progress.runs, progress.service, progress.deadline
        )
        started_at = timers.now()
        criteria = self._make_criteria(progress)
        while True:
            self._refuse_if_stopping(progress)
            targets = self._list_allowed(progress)
            now = timers.now()
            if not targets and now - started_at > NO_TARGET_TIMEOUT_SECONDS:
                raise refusals.RefusalError(refusals.Reason.NO_TARGET)
            if progress.runs.permit is not None:
                targets = self._draw_target(targets, excluded)
            candidate = await self._choose_candidate(
                progress, targets, criteria, excluded
            )
            if candidate is not None:
                target = next(
                    target
                    for target in targets
                    if target.name == candidate.name
                )
                if not await self._context.quarantine.admit_target(
                    progress.runs, target.name, progress.deadline
                ):
                    excluded.add(target.name)
                    continue
                asked_at = timers.now()
                if not await self._context.slot_requests.acquire(
                    progress, target, excluded
                ):
                    continue
                # Nothing may wait between the grant and the attempt.
                progress.queue_seconds += now - started_at
                progress.queue_seconds += timers.now() - asked_at
                progress.target = candidate.name
                progress.software_version = target.software_version
                return target
            await timers.sleep(
                SLOT_RETRY_SECONDS * (0.5 + self._context.random_float())
            )
            excluded.clear()

    def _draw_target(
        self, targets: list[messages.Target], excluded: set[str]
    ) -> list[messages.Target]:
        """Return a random target, all if none of them is to be used now.

        The best target would be the same for the request that ends targets
        and for those that it took with it, which it would meet again.
        """
        target_occupancy = self._context.occupancy
        now = self._context.timers.now()
        usable = [
            target
            for target in targets
            if target.name not in excluded
            and not target_occupancy.should_avoid(target.name, now)
            and target_occupancy.get_utilisation(make_candidate(target), now)
            < 1
        ]
        if not usable:
            return targets
        return [usable[int(self._context.random_float() * len(usable))]]

    def _refuse_if_stopping(self, progress: Progress) -> None:
        """Refuse a request that is not to begin while this instance stops."""
        is_safe = progress.route.kind is messages.RouteKind.SAFE
        if not progress.may_have_run and not self._context.shutdown.may_send(
            progress.deadline, is_safe
        ):
            raise refusals.RefusalError(refusals.Reason.STOPPING)

    async def _choose_candidate(
        self,
        progress: Progress,
        targets: list[messages.Target],
        criteria: occupancy.PlacementCriteria,
        excluded: set[str],
    ) -> occupancy.Candidate | None:
        """Return the best target, ``None`` if none has a free slot."""
        candidates = [make_candidate(target) for target in targets]
        progress.estimate = None
        if self.completion_times.is_used(progress.service):
            return await self.completion_times.choose(
                progress, candidates, criteria, excluded
            )
        target_occupancy, random_float = (
            self._context.occupancy,
            self._context.random_float,
        )
        now = self._context.timers.now()
        local, remote = occupancy.choose_candidates(
            candidates, target_occupancy, criteria, excluded, now, random_float
        )
        loads = await self._context.load_queries.query(local)
        now = self._context.timers.now()
        best = occupancy.choose_least_loaded(
            local, loads, target_occupancy, criteria, now, random_float
        )
        if best is None or not occupancy.is_lightly_loaded(
            best, loads, target_occupancy, criteria
        ):
            remote, last = self._context.zone_loads.split_remote(
                progress.service, criteria.zone, local, remote
            )
            loads |= await self._context.load_queries.query(remote)
            considered = [*local, *remote]
            if last and not zone_choice.has_free_slot(
                considered, loads, target_occupancy
            ):
                loads |= await self._context.load_queries.query(last)
                considered += last
            now = self._context.timers.now()
            best = occupancy.choose_least_loaded(
                considered,
                loads,
                target_occupancy,
                criteria,
                now,
                random_float,
            )
        load = loads.get(best.name) if best is not None else None
        progress.target_load = None if load is None else load.requests
        progress.target_waiting = 0 if load is None else load.waiting
        return best

    def record_failure(
        self, progress: Progress, target: messages.Target, error: Exception
    ) -> None:
        """Record an attempt that failed without a complete response.

        Raise ``RefusalError`` if the request must not be sent again.
        """
        now = self._context.timers.now()
        if isinstance(error, forwarding.NotExecutedError):
            progress.sheds += 1
            self._context.metrics.sheds.add(1, target=target.name)
            progress.may_have_run = progress.broken_attempts > 0
            self._context.occupancy.record_shed(target.name, now)
            return
        match error:
            case client.NotSent():
                self._context.occupancy.record_unreachable(target.name, now)
            case client.TimedOut():
                # Avoids the same target when the caller retries.
                self._context.occupancy.record_unreachable(target.name, now)
            case _:
                self._context.occupancy.record_outcome(target.name, False, now)
        self._context.log.write(
            log_events.ATTEMPT_FAILED,
            request=progress.call.request,
            target=target.name,
            software=target.software_version,
            address=target.address,
            error=f'{type(error).__name__}: {error}',
            tries=progress.attempts,
        )
        if isinstance(error, client.NotSent):
            # The server has ended, so the request can no longer run there.
            # An earlier attempt may still have run.
            progress.unreachable_targets.add(target.name)
            progress.started_targets.discard(target.name)
            progress.may_have_run = progress.broken_attempts > 0
            return
        progress.started_targets.add(target.name)
        progress.broken_attempts += 1
        progress.may_have_run = True
        progress.runs.ended_targets.discard(target.name)
        self._context.quarantine.record_broken(progress.runs, target, error)
        if (
            not progress.route.is_idempotent
            or progress.broken_attempts > MAX_BROKEN_ATTEMPTS
            or isinstance(error, client.TimedOut)
        ):
            raise refusals.RefusalError(
                refusals.Reason.OUTCOME_UNKNOWN, str(error)
            )

    def _list_allowed(self, progress: Progress) -> list[messages.Target]:
        """Return the targets that the request may be sent to.

        Raise ``RefusalError`` if no target can continue its stream. There is
        no wait as for a service without targets: it may take minutes until one
        of the version accepts connections again.
        """
        catalog = self._context.catalog
        self._context.quarantine.check(progress.runs, progress.service)
        targets = self._limit_attempts(
            progress, catalog.list_targets(progress.service)
        )
        if progress.origin is None:
            return targets
        continuing = _list_continuing(progress, targets)
        if not continuing:
            drain_timeout = self._context.settings.bounds.target_drain_timeout
            since = self._context.timers.now() - drain_timeout * DRAIN_RATIO
            draining = self._limit_attempts(
                progress, catalog.list_draining(progress.service, since)
            )
            continuing = _list_continuing(progress, draining)
        if not continuing:
            raise refusals.RefusalError(
                refusals.Reason.VERSION_GONE,
                f'no target of {progress.service} with software'
                f' {progress.origin.software_version} accepts connections',
            )
        return continuing

    def _limit_attempts(
        self, progress: Progress, targets: list[messages.Target]
    ) -> list[messages.Target]:
        """Return the targets that the route's number of attempts allows.

        Once the request may have run at as many targets, only these remain.
        Those that have ended do not count.
        """
        excluded = progress.runs.excluded
        if excluded:
            targets = [
                target
                for target in targets
                if target.software_version not in excluded
            ]
        running = progress.started_targets - progress.runs.ended_targets
        if len(running) < progress.route.max_attempts:
            return targets
        return [target for target in targets if target.name in running]

    def record_success(
        self, progress: Progress, target: messages.Target
    ) -> None:
        """Record an attempt that received a complete response.

        A 5xx response counts as a failure of the target.
        """
        is_success = progress.status < FIRST_SERVER_ERROR_STATUS
        self._context.quarantine.record_completed(progress.runs, target)
        now = self._context.timers.now()
        self._context.occupancy.record_outcome(target.name, is_success, now)


def _list_continuing(
    progress: Progress, targets: list[messages.Target]
) -> list[messages.Target]:
    """Return the targets that can continue the request's stream."""
    version = progress.origin.software_version
    return [
        target
        for target in targets
        if target.software_version == version
        and target.name not in progress.unreachable_targets
    ]


def make_candidate(target: messages.Target) -> occupancy.Candidate:
    """Return a target as a candidate for placement."""
    return occupancy.Candidate(target.name, target.slots, target.zone)
