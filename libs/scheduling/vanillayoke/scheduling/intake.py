"""Calls that have not been placed: which may go now and which wait."""

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

_DEADLINE_PART = 0.8
"""Part of the time to its deadline that a program may wait to start."""

_CHECK_SECONDS = 1.0
_CERTAIN_PART = 0.4
"""Part of the estimated wait that a waiting program is refused for.

The estimate is uncertain and the backlog may shrink; at 0.6 and above the
bench lost programs that would have finished, at 0 many waited in vain.
"""

_START_SECONDS = 0.1
_MOST_STALE = 500
_ADMISSION_CHOICES = 3


class Intake:
    """Calls between ``submit`` and a placement.

    Calls of started programs go at once; the engines' queues order them.
    New programs wait here for admission, service calls for a place within
    this instance's part of the service's limit.
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
        self._may_have_room = False
        self._starting: set[str] = set()
        self._known: dict[str, calls.CallDemand] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._ready: collections.deque[calls.CallDemand] = collections.deque()
        self._new: dict[tuple[str, str], waiting.WaitingCalls] = {}
        self._services: dict[str, collections.deque[calls.CallDemand]] = {}

    def set_policy(self, policy: policies.Policies) -> None:
        """Admit by other policies from now on."""
        self._policy = policy
        self.note_change()

    def add_ready(self, demand: calls.CallDemand) -> None:
        """Queue a call of a started program, or a service call."""
        self._known[demand.call] = demand
        self._ready.append(demand)

    def add_new(
        self, demand: calls.CallDemand, now: float
    ) -> failures.Failure | None:
        """Queue the first call of a program, or refuse it at once.

        It is refused where it would not start well before its deadline.
        The refusal says after which time the backlog will have shrunk.
        """
        key = (demand.model, demand.version)
        queue = self._new.get(key)
        if queue is None:
            queue = self._new[key] = waiting.WaitingCalls(self._shares)
        before = queue.count_before(demand)
        if not demand.urgent and not self._has_free_engine(demand, now):
            before += len(self._starting)
        wait = self._backlog.estimate_wait(before, now)
        spare = (demand.deadline - now) * _DEADLINE_PART
        if wait > spare:
            return failures.Failure(
                failures.Kind.OVERLOADED,
                f'about {wait:.0f} s of programs wait before this one',
                wait - spare,
            )
        self._remember(demand)
        self._backlog.note_waiting(now)
        queue.add(demand)
        self._may_have_room = True
        return None

    def _has_free_engine(self, demand: calls.CallDemand, now: float) -> bool:
        """Tell whether a call would run at once on an engine.

        First calls that run for many seconds on engines with room are no
        backlog: without this they would be taken for one, and programs be
        refused as overload by half-empty engines.
        """
        able = self._targets.sample(demand, _ADMISSION_CHOICES, now)
        return any(view.estimate_load() < view.spec.slots for view in able)

    def remove(self, call: str) -> None:
        """Take a call out, wherever it waits."""
        demand = self._known.pop(call, None)
        if demand is None:
            return
        queue = self._new.get((demand.model, demand.version))
        if queue is not None:
            queue.remove(demand)

    def take_expired(self, now: float) -> list[calls.CallDemand]:
        """Take out the calls whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, call = heapq.heappop(self._deadlines)
            demand = self._known.get(call)
            if demand is not None and demand.deadline <= now:
                self.remove(call)
                expired.append(demand)
        return expired

    def take_hopeless(self, now: float) -> list[calls.CallDemand]:
        """Take out, once a second, what will not start in time."""
        if now < self._checked_at + _CHECK_SECONDS:
            return []
        self._checked_at = now
        hopeless = []
        interval = self._backlog.estimate_wait(1, now) * _CERTAIN_PART
        for queue in self._new.values():
            hopeless += queue.list_hopeless(
                interval, now + interval * len(self._starting)
            )
        for demand in hopeless:
            self.remove(demand.call)
        return hopeless

    def take_startable(self, now: float) -> typing.Iterator[calls.CallDemand]:
        """Take out the calls that may be placed now, one by one.

        Each is to be placed before the next is asked for.
        """
        while self._ready:
            demand = self._ready.popleft()
            if self._known.get(demand.call) is not demand:
                continue
            if demand.group and not self._has_service_room(demand, now):
                queue = self._services.setdefault(
                    demand.group, collections.deque()
                )
                queue.append(demand)
                self._remember(demand)
                continue
            del self._known[demand.call]
            yield demand
        if not self._may_have_room:
            return
        self._may_have_room = False
        for queue in self._new.values():
            yield from self._take_new(queue, now, True)
            yield from self._take_new(queue, now, False)

    def note_finished(self, call: str, now: float) -> None:
        """Take in that a call left its target, maybe a program's first."""
        if call in self._starting:
            self._starting.discard(call)
            others = len(self._starting) + self.count_waiting()
            self._backlog.note_started(now, others > 0)

    def note_change(self) -> None:
        """Let new programs be weighed again: something about targets changed.

        Nothing else can make room, so the decisions between do not ask.
        """
        self._may_have_room = True

    def note_room(self, view: views.TargetView) -> None:
        """Take in that a call left a target; who waits may try again."""
        self._may_have_room = True
        queue = self._services.get(view.spec.group)
        while queue:
            demand = queue.popleft()
            # The room of a call that was taken back meanwhile goes to the
            # next: there may be no other call whose end would wake it.
            if self._known.get(demand.call) is demand:
                self._ready.append(demand)
                break
        if queue is not None and not queue:
            del self._services[view.spec.group]

    def count_waiting(self) -> int:
        """Return the new programs that wait."""
        return sum(len(queue) for queue in self._new.values())

    def next_wake(self) -> float | None:
        """Return when the next deadline passes."""
        while self._deadlines and self._deadlines[0][1] not in self._known:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _remember(self, demand: calls.CallDemand) -> None:
        self._known[demand.call] = demand
        heapq.heappush(self._deadlines, (demand.deadline, demand.call))
        # A deadline may be an hour away, long after its call was placed.
        # Without this the heap would hold every call of that hour.
        if len(self._deadlines) > 2 * len(self._known) + _MOST_STALE:
            self._deadlines = [
                entry for entry in self._deadlines if entry[1] in self._known
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
            self._known.pop(demand.call, None)
            if not urgent:
                self._starting.add(demand.call)
                # Service is charged when a call ends. Without a charge now,
                # a client would get all the starts of one moment.
                self._shares.charge(demand.client, _START_SECONDS)
            yield demand

    def _may_start(self, demand: calls.CallDemand, now: float) -> bool:
        able = self._targets.sample(demand, _ADMISSION_CHOICES, now)
        if not able:
            return True
        waited = (now - demand.accepted_at) / max(
            demand.deadline - demand.accepted_at, 0.001
        )
        for view in able:
            if admission.may_start(
                self._policy.admission,
                view,
                self.instances,
                demand.urgent,
                waited,
            ):
                view.promised += admission.EXPECTED_TOKENS
                return True
        return False

    def _has_service_room(self, demand: calls.CallDemand, now: float) -> bool:
        pool = self._targets.list_pool(demand)
        if not any(views.may_take(view, demand, now) for view in pool):
            return True
        return any(
            self._is_below_part(view, demand)
            for view in pool
            if views.may_take(view, demand, now)
        )

    def _is_below_part(
        self, view: views.TargetView, demand: calls.CallDemand
    ) -> bool:
        part = admission.find_part(
            view, self.instances, self._policy.urgent_reserve, demand.urgent
        )
        return len(view.own) < part
