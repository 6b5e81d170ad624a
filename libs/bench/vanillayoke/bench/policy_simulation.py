"""Run one policy over one workload in virtual time.

Several schedulers, with the programs split among them by hash as among
instances, share the modelled engines and services. Nothing passes between
the schedulers but what the engines report, late.
"""

import heapq
import itertools
import math
import random
import typing
import zlib

from vanillayoke.bench import engine as engines
from vanillayoke.bench import policy_figures
from vanillayoke.bench import policy_programs
from vanillayoke.bench import policy_services
from vanillayoke.bench import policy_targets
from vanillayoke.bench import workload
from vanillayoke.core import ids
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import placement as placements

NETWORK_SECONDS = 0.001
REPORT_INTERVAL = 0.25
DETECTION_SECONDS = 1.0
"""Seconds until a call to a dead engine is known to have failed."""

TAIL_SECONDS = 300.0
"""Seconds that programs are followed after the last arrival."""


class Conditions(typing.NamedTuple):
    """What goes wrong in a run.

    ``report_lag`` is the age of load reports and cache events in seconds,
    ``lost_events`` the share of cache events that never arrive, ``fail_at``
    when the first engine dies.
    """

    report_lag: float = 0.5
    lost_events: float = 0.0
    fail_at: float = math.inf


class Simulation:
    """One run: the event heap, the targets and the schedulers."""

    def __init__(
        self,
        deployment: workload.Deployment,
        plans: list[workload.Plan],
        make_policy: typing.Callable[[random.Random, str, int], typing.Any],
        conditions: Conditions,
        seed: int,
    ) -> None:
        self.now = 0.0
        self.source = random.Random(f'{seed}/run')
        self._conditions = conditions
        self._heap: list[tuple[float, int, typing.Callable, tuple]] = []
        self._count = itertools.count()
        self._last_arrival = plans[-1].at if plans else 0.0
        self.figures = policy_figures.Recorder(self._last_arrival)
        self._calls: dict[str, policy_programs.Program] = {}
        self._owners: dict[str, int] = {}
        self._ended_sessions: dict[str, float] = {}
        self._changes: dict[str, int] = {}
        self._wakes: dict[int, float] = {}
        self._dead: set[str] = set()
        self._exports: dict[str, int] = {}
        self._specs = policy_targets.list_specs(deployment)
        self._engines = policy_targets.make_engines(self._specs)
        self._services = policy_targets.make_services(self._specs)
        self._policies = [
            make_policy(
                random.Random(f'{seed}/{number}'),
                deployment.zones[number % len(deployment.zones)],
                deployment.instances,
            )
            for number in range(deployment.instances)
        ]
        for policy in self._policies:
            policy.set_targets(self._specs)
        for plan in plans:
            self.schedule(plan.at, self._open, plan)

    def run(self) -> policy_figures.Figures:
        """Run until the tail is over; return the figures."""
        end = self._last_arrival + TAIL_SECONDS
        self.schedule(REPORT_INTERVAL, self._publish)
        if math.isfinite(self._conditions.fail_at):
            self.schedule(self._conditions.fail_at, self._fail_engine)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
            if self.figures.open_programs == 0 and not self._arrivals_left():
                break
        self.now = max(self.now, self._last_arrival)
        for engine in self._engines.values():
            for session, tokens in engine.cache.list_entries().items():
                self._count_held(session, tokens)
        recomputed = sum(e.recomputed_tokens for e in self._engines.values())
        return self.figures.summarize(recomputed)

    def schedule(
        self, at: float, function: typing.Callable, *arguments
    ) -> None:
        """Call a function at a time."""
        entry = (at, next(self._count), function, arguments)
        heapq.heappush(self._heap, entry)

    def submit(
        self, program: policy_programs.Program, demand: calls.CallDemand
    ) -> None:
        """Hand a program's call to its scheduler."""
        self._calls[demand.call] = program
        owner = self._find_owner(program)
        self._policies[owner].submit(demand, self.now)
        self.schedule(demand.deadline, self._expire, demand.call)
        self._decide(owner)

    def pause(self, program: policy_programs.Program, tool: str) -> None:
        """Tell a program's scheduler that it waits for a tool."""
        owner = self._find_owner(program)
        self._policies[owner].pause(program.plan.name, tool, self.now)
        self._decide(owner)

    def end(self, program: policy_programs.Program) -> None:
        """Tell a program's scheduler that it ended."""
        owner = self._find_owner(program)
        self._policies[owner].end(program.plan.name, self.now)
        self._ended_sessions[program.plan.name] = self.now
        self._decide(owner)

    def note_vanished(self, program: policy_programs.Program) -> None:
        """Count the memory of a program whose caller never comes back."""
        self._ended_sessions[program.plan.name] = self.now

    def forget_call(self, call: str) -> None:
        """Take back a call of a program that failed."""
        program = self._calls.pop(call, None)
        if program is None:
            return
        self._policies[self._find_owner(program)].withdraw(call)

    def _arrivals_left(self) -> bool:
        return self.now < self._last_arrival

    def _open(self, plan: workload.Plan) -> None:
        policy_programs.Program(self, plan).start()

    def _find_owner(self, program: policy_programs.Program) -> int:
        root = program.root.plan.name
        owner = self._owners.get(root)
        if owner is None:
            owner = zlib.crc32(root.encode()) % len(self._policies)
            self._owners[root] = owner
        return owner

    def _decide(self, owner: int) -> None:
        policy = self._policies[owner]
        for decision in policy.decide(self.now):
            match decision:
                case calls.Placement():
                    at = self.now + NETWORK_SECONDS
                    self.schedule(at, self._arrive, decision)
                case calls.Refusal(call, failure):
                    program = self._calls.pop(call, None)
                    if program is not None:
                        self.schedule(self.now, program.refused, failure)
                case calls.CacheRelease() | calls.CacheExport():
                    at = self.now + NETWORK_SECONDS
                    self.schedule(at, self._release, owner, decision)
        wake = policy.next_wake(self.now)
        if wake is None:
            return
        wake = max(wake, self.now + NETWORK_SECONDS)
        planned = self._wakes.get(owner, math.inf)
        if wake < planned:
            self._wakes[owner] = wake
            self.schedule(wake, self._wake, owner, wake)

    def _wake(self, owner: int, planned: float) -> None:
        if self._wakes.get(owner) == planned:
            del self._wakes[owner]
            self._decide(owner)

    def _arrive(self, placement: calls.Placement) -> None:
        program = self._calls.get(placement.call)
        if program is None:
            return
        program.placed_on = placement.target
        if placement.target in self._dead:
            at = self.now + DETECTION_SECONDS
            self.schedule(at, self._lose, placement.call, placement.target)
        elif placement.target in self._engines:
            engine = self._engines[placement.target]
            self._advance(engine)
            tokens = self._exports.pop(program.plan.name, 0)
            if placement.restore and tokens:
                wait = tokens * placements.RESTORE_SECONDS
                self.schedule(
                    self.now + wait, self._restore, placement, tokens
                )
                return
            engine.submit(program.make_engine_call(placement), self.now)
            self._plan_change(engine)
        else:
            service = self._services[placement.target]
            service.submit(placement.call, program.service_seconds(), self.now)
            self._plan_service(service)

    def _restore(self, placement: calls.Placement, tokens: int) -> None:
        program = self._calls.get(placement.call)
        if program is None or placement.target in self._dead:
            self._lose(placement.call, placement.target)
            return
        engine = self._engines[placement.target]
        self._advance(engine)
        engine.restore(program.plan.name, tokens)
        self._pass_changes(engine)
        engine.submit(program.make_engine_call(placement), self.now)
        self._plan_change(engine)

    def _plan_change(self, engine: engines.Engine) -> None:
        at = engine.next_change()
        version = self._changes.get(engine.name, 0) + 1
        self._changes[engine.name] = version
        if at is not None:
            self.schedule(max(at, self.now), self._run_engine, engine, version)

    def _run_engine(self, engine: engines.Engine, version: int) -> None:
        if self._changes.get(engine.name) != version:
            return
        self._advance(engine)
        self._plan_change(engine)

    def _advance(self, engine: engines.Engine) -> None:
        for answer in engine.advance(self.now):
            at = self.now + NETWORK_SECONDS
            self.schedule(at, self._answer, engine.name, answer)
        self._pass_changes(engine)

    def _answer(self, target: str, answer: engines.EngineAnswer) -> None:
        program = self._calls.pop(answer.call.call, None)
        if program is None:
            return
        outcome = calls.Outcome(
            answer.call.call,
            target,
            'answered',
            answer.service,
            answer.call.prompt_tokens,
            answer.cached_tokens,
            answer.call.output_tokens,
        )
        self._finish(program, outcome)
        program.answered(answer)

    def _finish(
        self, program: policy_programs.Program, outcome: calls.Outcome
    ) -> None:
        owner = self._find_owner(program)
        self._policies[owner].finish(outcome, self.now)
        self._decide(owner)

    def _plan_service(self, service: policy_services.Service) -> None:
        for call, at in service.start(self.now):
            self.schedule(at, self._run_service, service, call)

    def _run_service(
        self, service: policy_services.Service, call: str
    ) -> None:
        service.finish()
        program = self._calls.pop(call, None)
        if program is not None:
            outcome = calls.Outcome(
                call, service.name, 'answered', 0.0, 0, 0, 0
            )
            self._finish(program, outcome)
            program.served()
        self._plan_service(service)

    def _expire(self, call: str) -> None:
        program = self._calls.get(call)
        if program is None:
            return
        target = program.placed_on
        if target in self._engines:
            if not self._engines[target].cancel(call):
                return
            outcome = calls.Outcome(call, target, 'cancelled', 0.0, 0, 0, 0)
            self._calls.pop(call)
            self._finish(program, outcome)
            program.fail('deadline')
        elif not target:
            self.forget_call(call)
            program.fail('deadline')

    def _release(
        self, owner: int, release: calls.CacheRelease | calls.CacheExport
    ) -> None:
        engine = self._engines[release.target]
        if release.target not in self._dead:
            self._advance(engine)
            if isinstance(release, calls.CacheExport):
                held = engine.cache.list_entries().get(release.program, 0)
                self._exports[release.program] = held
            engine.release(release.program)
            self._pass_changes(engine)
        at = self.now + NETWORK_SECONDS
        self.schedule(at, self._confirm, owner, release)

    def _confirm(
        self, owner: int, release: calls.CacheRelease | calls.CacheExport
    ) -> None:
        if isinstance(release, calls.CacheExport):
            return
        policy = self._policies[owner]
        policy.release_confirmed(release.target, release.program)

    def _publish(self) -> None:
        lag = self._conditions.report_lag
        reports = [
            policy_targets.report_engine(engine, self.now + lag)
            for name, engine in self._engines.items()
            if name not in self._dead
        ]
        reports += [
            policy_targets.report_service(service, self.now + lag)
            for service in self._services.values()
        ]
        self.schedule(self.now + lag, self._observe, reports)
        self.schedule(self.now + REPORT_INTERVAL, self._publish)

    def _observe(self, reports: list[calls.TargetReport]) -> None:
        for owner, policy in enumerate(self._policies):
            for report in reports:
                policy.observe_report(report)
            self._decide(owner)

    def _pass_changes(self, engine: engines.Engine) -> None:
        for session, tokens in engine.cache.freed:
            self._count_held(session, tokens)
        engine.cache.freed.clear()
        at = self.now + self._conditions.report_lag
        for change in engine.cache.changes:
            root = ids.find_root(change.session)
            owner = self._owners.get(root)
            if owner is None:
                continue
            if self.source.random() < self._conditions.lost_events:
                self.schedule(
                    at, self._policies[owner].observe_gap, engine.name
                )
                continue
            self.schedule(
                at,
                self._policies[owner].observe_cache,
                engine.name,
                change.session,
                change.tokens,
                change.kind,
            )
        engine.cache.changes.clear()

    def _count_held(self, session: str, tokens: int) -> None:
        ended = self._ended_sessions.get(session)
        if ended is not None:
            self.figures.note_held(tokens, ended, self.now)

    def _fail_engine(self) -> None:
        name = next(iter(self._engines))
        self._dead.add(name)
        for call in self._engines[name].drop_all():
            at = self.now + DETECTION_SECONDS
            self.schedule(at, self._lose, call.call, name)
        self._engines[name].cache.changes.clear()
        at = self.now + DETECTION_SECONDS
        self.schedule(at, self._observe_death, name)

    def _lose(self, call: str, target: str) -> None:
        program = self._calls.pop(call, None)
        if program is None:
            return
        outcome = calls.Outcome(call, target, 'failed', 0.0, 0, 0, 0)
        self._finish(program, outcome)
        program.lost(target)

    def _observe_death(self, name: str) -> None:
        for owner, policy in enumerate(self._policies):
            policy.observe_health(name, False, self.now)
            self._decide(owner)
