"""Finding a target for a request, and what becomes of its attempts."""

from vanillayoke.core import events as log_events
from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import forwarding
from vanillayoke.gateway import messages
from vanillayoke.gateway import refusals
from vanillayoke.programs import scopes
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import prefixes
from vanillayoke.scheduling import program_slack
from vanillayoke.scheduling import slowdown as slowdown_module
from vanillayoke.scheduling import urgency
from vanillayoke.transport import client

# How long a request waits before it asks again for room that no target had.
# A slot gets free every few milliseconds on a busy service. Seconds.
SLOT_RETRY_SECONDS = 0.02
# How long a request waits for a service without any target: targets that are
# replaced in turn may leave a gap. Seconds.
NO_TARGET_TIMEOUT_SECONDS = 0.3
# A target's own errors count against it, though they are answers.
FIRST_SERVER_ERROR = 500
# How often one request is sent again after its answer broke off. More would
# be a server that can't answer it.
MAX_BROKEN_ATTEMPTS = 2


class Progress:
    """How far one request has come."""

    def __init__(self, call: messages.Call, started_at: float) -> None:
        self.call = call
        self.started_at = started_at
        self.deadline = started_at
        self.route: messages.Route | None = None
        self.organisation: messages.Organisation | None = None
        # Whether there are organisations: their keys don't go to targets.
        self.hides_key = False
        self.service = ''
        self.target: str | None = None
        self.coordinator: str | None = None
        # The target that has most of the prompt in its memory.
        self.affinity_target: str | None = None
        self.status = 0
        self.attempts = 0
        self.sheds = 0
        # The targets at which the request may have run.
        self.started_targets: set[str] = set()
        self.broken_attempts = 0
        # How many requests its target had before it, where that was counted.
        self.target_load: float | None = None
        self.queue_seconds = 0.0
        # Until when it waits for a store that is away, once it does.
        self.store_wait_deadline: float | None = None
        # What the target was told, and when its first event came, in
        # seconds from the arrival.
        self.urgency: int | None = None
        self.slack: program_slack.Slack | None = None
        self.slack_updated_at = started_at
        self.first_event_delay: float | None = None
        self.may_have_run = False

    @property
    def organisation_name(self) -> str | None:
        """The name of the organisation that the request belongs to."""
        return None if self.organisation is None else self.organisation.name

    @property
    def priority(self) -> int:
        """The rank of the request, 0 for the highest."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority

    @property
    def max_runs(self) -> int:
        """How often the request has run, at the most."""
        if not self.may_have_run:
            return 0
        return max(1, self.broken_attempts + (self.status > 0))

    def qualify(self, name: str) -> str:
        """Return the name that a caller's name has among all callers'."""
        if not self.hides_key:
            return name
        return scopes.qualify(self.organisation_name, name)

    def set_organisation(
        self, organisation: messages.Organisation | None, hides_key: bool
    ) -> None:
        """Note whose request it is."""
        self.organisation = organisation
        self.hides_key = hides_key

    def set_route(self, route: messages.Route, service: str) -> None:
        """Note where the request goes and when its time is up."""
        self.route = route
        self.service = service
        left = self.call.time_left
        longest = route.timeout if left is None else min(left, route.timeout)
        self.deadline = self.started_at + longest


class Dispatcher:
    """Sends requests to targets until one has taken them."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._prefixes: dict[str, prefixes.RecentPrefixes] = {}
        self._slowdowns: dict[str, slowdown_module.Slowdown] = {}

    def get_slowdown(self, service: str) -> slowdown_module.Slowdown:
        """Return what is known of how a service's targets slow down."""
        found = self._slowdowns.get(service)
        if found is None:
            targets = self._context.catalog.list_targets(service)
            slots = targets[0].slots if targets else 1
            found = slowdown_module.Slowdown(slots)
            self._slowdowns[service] = found
        return found

    def _make_wish(self, progress: Progress) -> occupancy.PlacementCriteria:
        wish = occupancy.PlacementCriteria(
            progress.affinity_target,
            self._context.settings.zone,
            self.get_slowdown(progress.service).slope,
        )
        shared = prefixes.get_shared_prefix(progress.call.prefix)
        if shared is None:
            return wish
        seen = self._prefixes.setdefault(
            progress.service, prefixes.RecentPrefixes()
        )
        seen.record(shared, self._context.timers.now())
        services = self._context.catalog.configuration.services
        service = services.get(progress.service)
        if service is None or service.engine is None:
            return wish
        memory, slots = service.engine.cache_tokens, service.engine.slots
        return wish._replace(
            shared_prefix=shared.name,
            rank_cost=seen.get_rank_cost(memory),
            affinity_value=prefixes.estimate_affinity_value(
                progress.call.prefix, memory, slots
            ),
        )

    def make_attempt(
        self, progress: Progress, target: messages.Target
    ) -> forwarding.Attempt:
        """Return an attempt at a target, not yet sent."""
        return forwarding.Attempt(
            target,
            progress.call.request,
            progress.deadline,
            self._context.load_queries,
            self._context.pool,
            self._context.dialect,
            self._context.occupancy,
            self._context.timers,
        )

    def make_forward_options(
        self,
        progress: Progress,
        target: messages.Target,
        last_event: bytes | None = None,
    ) -> messages.ForwardOptions:
        """Return what to tell a target with the request.

        ``last_event`` is the one that a stream goes on behind.
        """
        now = self._context.timers.now()
        progress.urgency = self._find_level(progress)
        return messages.ForwardOptions(
            target.name,
            progress.deadline - now,
            progress.urgency,
            last_event,
            organisation=progress.organisation_name,
            strips_key=progress.hides_key,
        )

    def _find_level(self, progress: Progress) -> int | None:
        """Return how urgent a turn is now; ``None`` for other requests."""
        if progress.slack is None:
            return None
        waited = self._context.timers.now() - progress.slack_updated_at
        slack = progress.slack._replace(
            left=progress.slack.left - waited,
            overdue=progress.slack.overdue + waited,
        )
        return urgency.get_level(slack, progress.priority)

    async def choose(
        self, progress: Progress, passed: set[str]
    ) -> messages.Target:
        """Return a target with room, waiting for one if need be.

        ``passed`` names targets not to use; it is cleared after each wait.
        """
        timers = self._context.timers
        began = timers.now()
        wish = self._make_wish(progress)
        while True:
            targets = self._list_allowed(progress)
            now = timers.now()
            if not targets and now - began > NO_TARGET_TIMEOUT_SECONDS:
                raise refusals.RefusalError(refusals.Reason.NO_TARGET)
            place = await self._choose_place(progress, targets, wish, passed)
            if place is not None:
                progress.queue_seconds += now - began
                progress.target = place.name
                return next(one for one in targets if one.name == place.name)
            await timers.sleep(
                SLOT_RETRY_SECONDS * (0.5 + self._context.random_float())
            )
            passed.clear()

    async def _choose_place(
        self,
        progress: Progress,
        targets: list[messages.Target],
        wish: occupancy.PlacementCriteria,
        passed: set[str],
    ) -> occupancy.Candidate | None:
        """Return the place to send to now; ``None`` if none has room."""
        places = [make_place(target) for target in targets]
        view, draw = self._context.occupancy, self._context.random_float
        now = self._context.timers.now()
        near, far = occupancy.choose_candidates(
            places, view, wish, passed, now, draw
        )
        loads = await self._context.load_queries.query(near)
        now = self._context.timers.now()
        best = occupancy.choose_least_loaded(
            near, loads, view, wish, now, draw
        )
        if best is None or not occupancy.is_lightly_loaded(
            best, loads, view, wish
        ):
            loads |= await self._context.load_queries.query(far)
            now = self._context.timers.now()
            found = [*near, *far]
            best = occupancy.choose_least_loaded(
                found, loads, view, wish, now, draw
            )
        load = loads.get(best.name) if best is not None else None
        progress.target_load = None if load is None else load.requests
        return best

    def record_failure(
        self, progress: Progress, target: messages.Target, error: Exception
    ) -> None:
        """Take an attempt that failed without a whole answer.

        Raise a refusal if the request must not be sent again.
        """
        now = self._context.timers.now()
        if isinstance(error, forwarding.NotExecutedError):
            progress.sheds += 1
            progress.may_have_run = progress.broken_attempts > 0
            self._context.occupancy.record_shed(target.name, now)
            return
        match error:
            case client.NotSent():
                self._context.occupancy.record_unreachable(target.name, now)
            case client.TimedOut():
                # The caller's second try must not meet the same silence.
                self._context.occupancy.record_unreachable(target.name, now)
            case _:
                self._context.occupancy.record_outcome(target.name, False, now)
        self._context.log.write(
            log_events.ATTEMPT_FAILED,
            request=progress.call.request,
            target=target.name,
            address=target.address,
            error=f'{type(error).__name__}: {error}',
            tries=progress.attempts,
        )
        if isinstance(error, client.NotSent):
            # Nobody listens there any more: the server has ended, and no
            # longer counts among those that the request ran at. That an
            # earlier try may have run remains true.
            progress.started_targets.discard(target.name)
            progress.may_have_run = progress.broken_attempts > 0
            return
        progress.started_targets.add(target.name)
        progress.broken_attempts += 1
        progress.may_have_run = True
        if (
            not progress.route.is_idempotent
            or progress.broken_attempts > MAX_BROKEN_ATTEMPTS
            or isinstance(error, client.TimedOut)
        ):
            raise refusals.RefusalError(
                refusals.Reason.OUTCOME_UNKNOWN, str(error)
            )

    def _list_allowed(self, progress: Progress) -> list[messages.Target]:
        """Return the targets that the request may still be sent to.

        Once it may have run at as many as the route allows, it goes on at
        one of these; a second run there finds its prompt in the cache.
        """
        targets = self._context.catalog.list_targets(progress.service)
        if len(progress.started_targets) < progress.route.max_attempts:
            return targets
        return [one for one in targets if one.name in progress.started_targets]

    def record_success(
        self, progress: Progress, target: messages.Target
    ) -> None:
        """Take an attempt whose answer came whole."""
        is_good = progress.status < FIRST_SERVER_ERROR
        now = self._context.timers.now()
        self._context.occupancy.record_outcome(target.name, is_good, now)


def make_place(target: messages.Target) -> occupancy.Candidate:
    """Return a target as the choice of places sees it."""
    return occupancy.Candidate(target.name, target.slots, target.zone)
