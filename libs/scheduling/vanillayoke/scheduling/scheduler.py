"""The scheduler of one instance, which turns events into decisions."""

import random
import typing

from vanillayoke.core import failures
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import intake
from vanillayoke.scheduling import limits
from vanillayoke.scheduling import memory
from vanillayoke.scheduling import order
from vanillayoke.scheduling import placement
from vanillayoke.scheduling import policies
from vanillayoke.scheduling import trees
from vanillayoke.scheduling import views
from vanillayoke.scheduling import waiting
from vanillayoke.settings import configuration

_NO_TARGET_RETRY_SECONDS = 1.0


class _Placed(typing.NamedTuple):
    demand: calls.CallDemand
    view: views.TargetView


class Scheduler:
    """Decides where and when the calls of one instance's programs run.

    Times are monotonic seconds of this process. The caller has to call
    ``decide`` after every event, and again at ``next_wake``.
    """

    def __init__(
        self,
        policy: policies.Policies,
        location: placement.Location,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._location = location
        self._instances = 1
        self._targets = views.TargetIndex(location.region, rng)
        self._forest = trees.Forest()
        self._shares = waiting.ClientShares()
        self._limits = limits.ClientLimits()
        self._memory = memory.Memory(
            policy.cache_lifetime, self._targets, self._forest
        )
        self._intake = intake.Intake(policy, self._targets, self._shares)
        self._placed: dict[str, _Placed] = {}
        self._refusals: list[calls.Refusal] = []

    @classmethod
    def from_config(
        cls,
        policy: configuration.PolicySettings,
        zone: str,
        region: str,
        rng: random.Random,
    ) -> 'Scheduler':
        """Create a scheduler from settings and the instance's location."""
        return cls(
            policies.Policies.from_config(policy),
            placement.Location(zone, region),
            rng,
        )

    def set_policy(self, policy: configuration.PolicySettings) -> None:
        """Replace the policies for future decisions.

        Programs that were admitted stay admitted.
        """
        self._policy = policies.Policies.from_config(policy)
        self._memory.set_policy(self._policy.cache_lifetime)
        self._intake.set_policy(self._policy)

    def set_targets(self, specs: typing.Sequence[calls.TargetSpec]) -> None:
        """Set the configured targets."""
        removed = self._targets.list_names() - {spec.target for spec in specs}
        self._targets.replace(specs)
        for target in removed:
            self._memory.drop_target(target)
        self._intake.handle_target_change()

    def set_clients(
        self, clients: dict[str, configuration.ClientSettings]
    ) -> None:
        """Set the clients' weights and limits."""
        self._limits.set_clients(clients)
        self._shares.set_weights(
            {name: client.weight for name, client in clients.items()}
        )

    def set_instances(self, count: int) -> None:
        """Set the number of instances that share limits and engines."""
        self._instances = max(1, count)
        self._limits.set_instances(self._instances)
        self._intake.instances = self._instances

    def submit(self, demand: calls.CallDemand, now: float) -> None:
        """Queue a call until ``decide`` places or refuses it."""
        failure = self._check(demand, now)
        if failure is not None:
            self._refusals.append(calls.Refusal(demand.call, failure))
            return
        if demand.group:
            self._intake.add_ready(demand)
            return
        member = self._open(demand, now)
        if member is None:
            return
        if member.tree.admitted:
            self._intake.add_ready(demand)
            return
        failure = self._intake.add_new(demand, now)
        if failure is not None:
            self._refuse(demand, failure)

    def withdraw(self, call: str) -> None:
        """Withdraw a call that has not been placed."""
        self._intake.remove(call)

    def observe_report(self, report: calls.TargetReport) -> None:
        """Process a target's load report."""
        self._targets.observe(report)
        self._intake.handle_target_change()

    def observe_cache(
        self, target: str, session: str, tokens: int, kind: str
    ) -> None:
        """Process a cache event; ``kind`` is ``stored`` or ``evicted``."""
        if kind == 'evicted':
            self._memory.record_eviction(target, session, tokens)

    def observe_gap(self, target: str) -> None:
        """Record that cache events of a target were lost."""
        self._memory.record_gap(target)

    def reconcile(
        self, target: str, sessions: dict[str, int], asked_at: float
    ) -> None:
        """Process a target's list of cached sessions and their tokens.

        ``asked_at`` is the time of the query; the list does not apply to
        later changes.
        """
        self._memory.reconcile(target, sessions, asked_at)

    def observe_health(self, target: str, healthy: bool, now: float) -> None:
        """Record whether a target is reachable."""
        view = self._targets.get(target)
        if view is None:
            return
        if healthy and not view.healthy:
            view.breaker.open_half(now)
        view.healthy = healthy
        self._intake.handle_target_change()

    def mark_leaving(self, target: str) -> None:
        """Send no further calls to a target."""
        view = self._targets.get(target)
        if view is not None:
            view.leaving = True

    def decide(self, now: float) -> list[calls.Decision]:
        """Return the decisions to carry out now."""
        decisions: list[calls.Decision] = list(self._refusals)
        self._refusals.clear()
        for demand in self._intake.take_expired(now):
            failure = failures.Failure(
                failures.Kind.DEADLINE_PASSED,
                'deadline passed while the call was queued',
            )
            self._refuse(demand, failure)
        for demand in self._intake.take_infeasible(now):
            failure = failures.Failure(
                failures.Kind.OVERLOADED,
                'backlog does not allow a start before the deadline',
                max(0.0, demand.deadline - now),
            )
            self._refuse(demand, failure)
        for demand in self._intake.take_startable(now):
            decision = self._decide_call(demand, now)
            if decision is not None:
                decisions.append(decision)
        decisions += self._refusals
        self._refusals.clear()
        decisions += self._memory.list_decisions(
            now, self._intake.count_waiting() > 0
        )
        return decisions

    def finish(self, outcome: calls.Outcome, now: float) -> None:
        """Process the outcome of a placed call."""
        placed = self._placed.pop(outcome.call, None)
        if placed is None:
            return
        demand, view = placed
        view.own_calls.discard(outcome.call)
        self._intake.handle_freed_capacity(view)
        self._intake.record_finished(outcome.call, now)
        match outcome.state:
            case 'answered':
                view.breaker.record_success(outcome.call)
            case 'cancelled':
                view.breaker.record_withdrawal(outcome.call)
            case _:
                view.breaker.record_failure(outcome.call, now)
        if demand.group:
            return
        self._shares.charge(demand.client, outcome.seconds)
        member = self._forest.get(demand.program)
        if member is not None:
            self._memory.record_outcome(member, outcome, now)

    def pause(self, program: str, tool: str, now: float) -> None:
        """Record that a program waits for a tool."""
        member = self._forest.get(program)
        if member is not None:
            self._memory.record_pause(member, tool, now)

    def end(self, program: str, now: float) -> None:
        """Record the end of a program and release its engine memory."""
        member = self._forest.close(program)
        if member is not None:
            self._memory.set_cached(member, member.target, 0)
            self._close_tree(member)
        self._memory.release_all(program, now)

    def hold(self, target: str, program: str) -> None:
        """Record after a takeover that a target may hold engine memory."""
        self._memory.hold(target, program)

    def release_confirmed(self, target: str, program: str) -> None:
        """Record that a target no longer holds memory of a program."""
        self._memory.confirm(target, program)

    def next_wake(self, now: float) -> float | None:
        """Return when ``decide`` has to be called if no event occurs."""
        if self._refusals:
            return now
        times = [self._intake.next_wake(), self._memory.next_wake()]
        return min((at for at in times if at is not None), default=None)

    def explain(self, program: str) -> str:
        """Return a description of a program's state for operators."""
        holders = self._memory.list_holders(program)
        held = ', '.join(sorted(holders)) or 'no target'
        member = self._forest.get(program)
        if member is None:
            return f'{program}: not known; memory held on {held}'
        state = 'started' if member.tree.admitted else 'waits to start'
        tool = f', in {member.tool}' if member.paused_at is not None else ''
        return (
            f'{program}: {state}{tool}; '
            f'last target {member.target or "none"}, '
            f'{member.cached} of {member.tokens} tokens cached; '
            f'memory held on {held}'
        )

    def _check(
        self, demand: calls.CallDemand, now: float
    ) -> failures.Failure | None:
        if demand.deadline <= now:
            return failures.Failure(
                failures.Kind.DEADLINE_PASSED,
                'deadline had passed when the call arrived',
            )
        if demand.avoid:
            return None
        return self._limits.take_call(demand.client, now)

    def _open(
        self, demand: calls.CallDemand, now: float
    ) -> trees.Member | None:
        new_tree = not self._forest.has_tree(demand.root)
        if new_tree:
            failure = self._limits.open_program(demand.client)
            if failure is not None:
                refusal = calls.Refusal(demand.call, failure)
                self._refusals.append(refusal)
                return None
        member = self._forest.open(demand.program, demand.root, demand.client)
        # A program taken over from another instance was admitted there.
        if demand.attained > 0:
            member.tree.admitted = True
        self._memory.record_return(member, now)
        return member

    def _close_tree(self, member: trees.Member) -> None:
        if not member.tree.members:
            self._limits.close_program(member.tree.client)

    def _refuse(
        self, demand: calls.CallDemand, failure: failures.Failure
    ) -> None:
        self._refusals.append(calls.Refusal(demand.call, failure))
        member = self._forest.get(demand.program)
        if demand.group or member is None or member.tree.admitted:
            return
        self._forest.close(demand.program)
        self._close_tree(member)

    def _decide_call(
        self, demand: calls.CallDemand, now: float
    ) -> calls.Placement | None:
        member = None
        if not demand.group:
            member = self._forest.get(demand.program)
        count = placement.count_choices(self._policy.placement)
        eligible = self._targets.sample(demand, count, now)
        last_view = self._targets.get(member.target) if member else None
        if last_view is not None and last_view not in eligible:
            if views.may_take(last_view, demand, now):
                eligible = [last_view, *eligible]
        if not eligible:
            self._refuse(
                demand,
                failures.Failure(
                    failures.Kind.NO_TARGET,
                    'no target is available for the call',
                    _NO_TARGET_RETRY_SECONDS,
                ),
            )
            return None
        choice = placement.choose(
            self._policy.placement, self._location, demand, member, eligible
        )
        return self._send(demand, member, choice, now)

    def _send(
        self,
        demand: calls.CallDemand,
        member: trees.Member | None,
        choice: placement.Choice,
        now: float,
    ) -> calls.Placement:
        view = choice.view
        self._placed[demand.call] = _Placed(demand, view)
        view.own_calls.add(demand.call)
        view.breaker.record_sent(demand.call)
        restore = False
        if member is not None:
            restore = member.exported
            member.tree.admitted = True
            self._memory.record_sent(member, demand, view.spec.target, now)
        return calls.Placement(
            demand.call,
            view.spec.target,
            order.compute_priority(self._policy.order, demand),
            choice.candidates,
            restore,
        )
