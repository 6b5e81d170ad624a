"""One instance's scheduler: takes events, answers with decisions."""

import random
import typing

from vanillayoke.core import failures
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import releases
from vanillayoke.scheduling import views
from vanillayoke.settings import configuration

_OVERLOAD_RETRY = 1.0


class Scheduler:
    """Decide where and when the calls of one instance's programs run.

    Times are monotonic seconds of this process. After every event the
    caller asks ``decide`` for what to do now, and at ``next_wake`` again.
    """

    def __init__(
        self,
        policy: configuration.PolicySettings,
        zone: str,
        region: str,
        source: random.Random,
    ) -> None:
        self._policy = policy
        self._zone = zone
        self._region = region
        self._source = source
        self._targets = views.TargetIndex()
        self._clients: dict[str, configuration.ClientSettings] = {}
        self._instances = 1
        self._queue: dict[str, calls.CallDemand] = {}
        self._placed: dict[str, calls.CallDemand] = {}
        self._homes: dict[str, str] = {}
        self._releases = releases.ReleaseBook()

    @classmethod
    def from_config(
        cls,
        policy: configuration.PolicySettings,
        zone: str,
        region: str,
        source: random.Random,
    ) -> 'Scheduler':
        """Build from the policy in force and the instance's own place."""
        return cls(policy, zone, region, source)

    def set_targets(self, specs: typing.Sequence[calls.TargetSpec]) -> None:
        """Take over the configured targets."""
        self._targets.replace(specs)

    def set_clients(
        self, clients: dict[str, configuration.ClientSettings]
    ) -> None:
        """Take over the clients' weights and limits."""
        self._clients = dict(clients)

    def set_instances(self, count: int) -> None:
        """Tell over how many instances limits and engines are shared."""
        self._instances = max(1, count)

    def submit(self, demand: calls.CallDemand, now: float) -> None:
        """Queue a call; the same call again replaces its demand."""
        self._queue[demand.call] = demand

    def withdraw(self, call: str) -> None:
        """Take back a call that has not been placed."""
        self._queue.pop(call, None)

    def observe_report(self, report: calls.TargetReport) -> None:
        """Take in a target's load report."""
        view = self._targets.get(report.target)
        if view is not None:
            view.observe(report)

    def observe_cache(
        self, target: str, session: str, tokens: int, kind: str
    ) -> None:
        """Take in a cache event; ``kind`` is ``stored`` or ``evicted``."""
        if kind == 'evicted' and self._homes.get(session) == target:
            del self._homes[session]

    def observe_health(self, target: str, healthy: bool, now: float) -> None:
        """Take in whether a target can be reached."""
        view = self._targets.get(target)
        if view is not None:
            view.healthy = healthy

    def mark_leaving(self, target: str) -> None:
        """Give a target no new work from now on."""
        view = self._targets.get(target)
        if view is not None:
            view.leaving = True

    def decide(self, now: float) -> list[calls.Decision]:
        """Return all that is to be done now."""
        decisions: list[calls.Decision] = []
        for demand in list(self._queue.values()):
            decision = self._decide_call(demand, now)
            if decision is not None:
                decisions.append(decision)
        decisions += self._releases.list_due(now)
        return decisions

    def finish(self, outcome: calls.Outcome, now: float) -> None:
        """Take in how a placed call ended."""
        self._placed.pop(outcome.call, None)
        view = self._targets.get(outcome.target)
        if view is not None:
            view.own.pop(outcome.call, None)

    def pause(self, program: str, tool: str, now: float) -> None:
        """Note that a program waits for a tool."""

    def end(self, program: str, now: float) -> None:
        """Note that a program ended; its engine memory is to be freed."""
        self._homes.pop(program, None)
        self._releases.release_all(program, now)

    def hold(self, target: str, program: str) -> None:
        """Note, after a takeover, that a target may hold engine memory."""
        self._releases.hold(target, program)

    def release_confirmed(self, target: str, program: str) -> None:
        """Note that a target holds no memory of a program."""
        self._releases.confirm(target, program)

    def next_wake(self, now: float) -> float | None:
        """Return when ``decide`` has something to do without an event."""
        times = [demand.deadline for demand in self._queue.values()]
        release = self._releases.next_wake()
        if release is not None:
            times.append(release)
        return min(times, default=None)

    def explain(self, program: str) -> str:
        """Return for operators where a program stands."""
        home = self._homes.get(program, 'none')
        held = ', '.join(sorted(self._releases.list_holders(program)))
        return f'{program}: home {home}; memory held on: {held or "none"}'

    def _decide_call(
        self, demand: calls.CallDemand, now: float
    ) -> calls.Decision | None:
        if demand.deadline <= now:
            return self._refuse(
                demand, failures.Kind.DEADLINE_PASSED, 'waited too long'
            )
        able = [
            view
            for view in self._targets.list_candidates(demand)
            if view.takes_work()
            and view.spec.target not in demand.avoid
            and (demand.group or view.serves(demand.model, demand.version))
        ]
        if not able:
            return self._refuse(
                demand, failures.Kind.NO_TARGET, 'no target takes the call'
            )
        view = min(able, key=lambda view: self._weigh(view, demand))
        if view.estimate_load() >= 2 * view.spec.slots:
            return None
        return self._place(demand, view, now)

    def _weigh(
        self, view: views.TargetView, demand: calls.CallDemand
    ) -> tuple[bool, int]:
        home = self._homes.get(demand.program)
        return view.spec.target != home, view.estimate_load()

    def _place(
        self, demand: calls.CallDemand, view: views.TargetView, now: float
    ) -> calls.Placement:
        del self._queue[demand.call]
        target = view.spec.target
        self._placed[demand.call] = demand
        view.own[demand.call] = now
        if not demand.group:
            self._homes[demand.program] = target
            self._releases.hold(target, demand.program)
        priority = int(demand.attained * 1000)
        chosen = calls.Candidate(target, 0.0, 0, 'least load')
        return calls.Placement(demand.call, target, priority, (chosen,))

    def _refuse(
        self, demand: calls.CallDemand, kind: failures.Kind, reason: str
    ) -> calls.Refusal:
        del self._queue[demand.call]
        retry_after = (
            _OVERLOAD_RETRY if failures.ANSWERS[kind].may_retry else None
        )
        return calls.Refusal(
            demand.call, failures.Failure(kind, reason, retry_after)
        )
