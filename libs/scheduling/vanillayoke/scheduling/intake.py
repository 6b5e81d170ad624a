"""Calls that have not been placed yet: which start and which wait."""

import collections
import heapq
import math
import typing

from vanillayoke.core import failures
from vanillayoke.scheduling import admission
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import policies
from vanillayoke.scheduling import views
from vanillayoke.scheduling import waiting

_MAX_WAIT_RATIO = 0.8
"""Share of the time to its deadline that a program may wait to start."""

_CHECK_INTERVAL_SECONDS = 1.0
_CERTAIN_WAIT_RATIO = 0.4
"""Share of the estimated wait that counts for refusals of waiting programs.

The estimate is uncertain and the backlog may shrink. At 0.6 and above,
programs were refused that would have ended in time; at 0, many waited in
vain.
"""

_START_CHARGE_SECONDS = 0.1
_MAX_STALE_DEADLINES = 500
_CANDIDATE_COUNT = 3


class Intake:
    """Calls that have been submitted but not placed.

    Calls of started programs are placed at once; the engines' queues order
    them. New programs wait here for admission, service calls for a slot in
    this instance's share of the service's limit.
    """

    def __init__(
        self,
        policy: policies.Policies,
        targets: views.TargetIndex,
        shares: waiting.ClientShares,
    ) -> None:
        self.instances = 1
        self._policy = policy
        self._targets = targets
        self._shares = shares
        self._backlog = admission.Backlog()
        self._checked_at = -math.inf
        self._may_have_capacity = False
        self._starting_calls: set[str] = set()
        self._demands: dict[str, calls.CallDemand] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._ready: collections.deque[calls.CallDemand] = collections.deque()
        self._new_calls: dict[tuple[str, str], waiting.WaitingCalls] = {}
        self._services: dict[str, collections.deque[calls.CallDemand]] = {}

    def set_policy(self, policy: policies.Policies) -> None:
        """Replace the policies for future decisions."""
        self._policy = policy
        self.handle_target_change()

    def add_ready(self, demand: calls.CallDemand) -> None:
        """Queue a call of a started program, or a service call."""
        self._demands[demand.call] = demand
        self._ready.append(demand)

    def add_new(
        self, demand: calls.CallDemand, now: float
    ) -> failures.Failure | None:
        """Queue the first call of a program, or refuse it at once.

        It is refused if it is not expected to start well before its deadline.
        The refusal tells after which time a retry may succeed.
        """
        key = (demand.model, demand.version)
        queue = self._new_calls.get(key)
        if queue is None:
            queue = self._new_calls[key] = waiting.WaitingCalls(self._shares)
        ahead = queue.count_ahead(demand)
        if not demand.urgent and not self._has_free_slot(demand, now):
            ahead += len(self._starting_calls)
        wait = self._backlog.estimate_wait(ahead, now)
        max_wait = (demand.deadline - now) * _MAX_WAIT_RATIO
        if wait > max_wait:
            return failures.Failure(
                failures.Kind.OVERLOADED,
                f'estimated wait to start the program is {wait:.0f} s',
                wait - max_wait,
            )
        self._track_deadline(demand)
        self._backlog.record_waiting(now)
        queue.add(demand)
        self._may_have_capacity = True
        return None

    def _has_free_slot(self, demand: calls.CallDemand, now: float) -> bool:
        """Return whether a call would run on an engine at once.

        Otherwise first calls that run for long would count as a backlog even
        while engines have free slots.
        """
        eligible = self._targets.sample(demand, _CANDIDATE_COUNT, now)
        return any(view.estimate_load() < view.spec.slots for view in eligible)

    def remove(self, call: str) -> None:
        """Remove a call from all queues."""
        demand = self._demands.pop(call, None)
        if demand is None:
            return
        queue = self._new_calls.get((demand.model, demand.version))
        if queue is not None:
            queue.remove(demand)

    def take_expired(self, now: float) -> list[calls.CallDemand]:
        """Remove and return the calls whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, call = heapq.heappop(self._deadlines)
            demand = self._demands.get(call)
            if demand is not None and demand.deadline <= now:
                self.remove(call)
                expired.append(demand)
        return expired

    def take_infeasible(self, now: float) -> list[calls.CallDemand]:
        """Remove and return calls that are not expected to start in time.

        Does nothing within ``_CHECK_INTERVAL_SECONDS`` of the last check.
        """
        if now < self._checked_at + _CHECK_INTERVAL_SECONDS:
            return []
        self._checked_at = now
        infeasible = []
        interval = self._backlog.estimate_wait(1, now) * _CERTAIN_WAIT_RATIO
        for queue in self._new_calls.values():
            infeasible += queue.list_infeasible(
                interval, now + interval * len(self._starting_calls)
            )
        for demand in infeasible:
            self.remove(demand.call)
        return infeasible

    def take_startable(self, now: float) -> typing.Iterator[calls.CallDemand]:
        """Remove and yield the calls that may be placed now.

        The caller has to place each call before it takes the next one.
        """
        while self._ready:
            demand = self._ready.popleft()
            if self._demands.get(demand.call) is not demand:
                continue
            if demand.group and not self._has_service_capacity(demand, now):
                queue = self._services.setdefault(
                    demand.group, collections.deque()
                )
                queue.append(demand)
                self._track_deadline(demand)
                continue
            del self._demands[demand.call]
            yield demand
        if not self._may_have_capacity:
            return
        self._may_have_capacity = False
        for queue in self._new_calls.values():
            yield from self._take_new(queue, now, True)
            yield from self._take_new(queue, now, False)

    def record_finished(self, call: str, now: float) -> None:
        """Record that a call ended, which may be the first of a program."""
        if call in self._starting_calls:
            self._starting_calls.discard(call)
            others = len(self._starting_calls) + self.count_waiting()
            self._backlog.record_start(now, others > 0)

    def handle_target_change(self) -> None:
        """Check new programs for admission again after a change of targets.

        Admission is checked only after events that may have freed capacity.
        """
        self._may_have_capacity = True

    def handle_freed_capacity(self, view: views.TargetView) -> None:
        """Let waiting calls try again after a call left a target."""
        self._may_have_capacity = True
        queue = self._services.get(view.spec.group)
        while queue:
            demand = queue.popleft()
            # Skip withdrawn calls: no other call may end and cause the next
            # one to be tried.
            if self._demands.get(demand.call) is demand:
                self._ready.append(demand)
                break
        if queue is not None and not queue:
            del self._services[view.spec.group]

    def count_waiting(self) -> int:
        """Return the number of new programs that wait."""
        return sum(len(queue) for queue in self._new_calls.values())

    def next_wake(self) -> float | None:
        """Return when the next deadline passes."""
        while self._deadlines and self._deadlines[0][1] not in self._demands:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _track_deadline(self, demand: calls.CallDemand) -> None:
        self._demands[demand.call] = demand
        heapq.heappush(self._deadlines, (demand.deadline, demand.call))
        # Calls may have been placed long before their deadline; their entries
        # would otherwise accumulate until then.
        if (
            len(self._deadlines)
            > 2 * len(self._demands) + _MAX_STALE_DEADLINES
        ):
            self._deadlines = [
                entry for entry in self._deadlines if entry[1] in self._demands
            ]
            heapq.heapify(self._deadlines)

    def _take_new(
        self, queue: waiting.WaitingCalls, now: float, urgent: bool
    ) -> typing.Iterator[calls.CallDemand]:
        while True:
            demand = queue.peek(urgent)
            if demand is None:
                return
            if not self._may_start(demand, now):
                return
            queue.remove(demand)
            self._demands.pop(demand.call, None)
            if not urgent:
                self._starting_calls.add(demand.call)
                # Service is charged when a call ends. Without a charge now,
                # one client could get all simultaneous starts.
                self._shares.charge(demand.client, _START_CHARGE_SECONDS)
            yield demand

    def _may_start(self, demand: calls.CallDemand, now: float) -> bool:
        eligible = self._targets.sample(demand, _CANDIDATE_COUNT, now)
        if not eligible:
            return True
        waited = (now - demand.accepted_at) / max(
            demand.deadline - demand.accepted_at, 0.001
        )
        for view in eligible:
            if admission.may_start(
                self._policy.admission,
                view,
                self.instances,
                demand.urgent,
                waited,
            ):
                view.reserved_tokens += admission.EXPECTED_TOKENS
                return True
        return False

    def _has_service_capacity(
        self, demand: calls.CallDemand, now: float
    ) -> bool:
        pool = self._targets.list_pool(demand)
        if not any(views.may_take(view, demand, now) for view in pool):
            return True
        return any(
            self._is_below_share(view, demand)
            for view in pool
            if views.may_take(view, demand, now)
        )

    def _is_below_share(
        self, view: views.TargetView, demand: calls.CallDemand
    ) -> bool:
        share = admission.compute_share(
            view, self.instances, self._policy.urgent_reserve, demand.urgent
        )
        return len(view.own_calls) < share
