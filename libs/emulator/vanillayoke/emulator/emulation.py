"""Discrete-event simulation of programs on simulated engines."""

import collections
import functools
import heapq
import itertools
import random
import typing

from vanillayoke.emulator import engines as engines_module
from vanillayoke.emulator import policies
from vanillayoke.emulator import scenarios
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import program_slack

# Callers abandon turns that have not started within this time.
START_TIMEOUT_SECONDS = 2.0
PLACEMENT_RETRY_SECONDS = 0.02
# Programs are abandoned after this multiple of their time limit.
MAX_TIME_FACTOR = 2.0


class Outcome(typing.NamedTuple):
    """How one program ended; ``duration`` is ``None`` if it failed.

    ``time_limit`` is the time that the program should take, called aim in
    scenarios. ``earned`` is the part of ``worth`` that its duration yields.
    """

    kind: str
    started_at: float
    time_limit: float
    duration: float | None
    worth: float
    earned: float


class LoadSample(typing.NamedTuple):
    """Running and waiting turns per slot, over all engines."""

    at: float
    fill: float
    waiting: float


class RunResult(typing.NamedTuple):
    """The results of one policy with one seed."""

    outcomes: list[Outcome]
    samples: list[LoadSample]
    shed: int
    preempted: int
    turns: int


class _Program:
    def __init__(
        self, number: int, kind: scenarios.Kind, rng: random.Random
    ) -> None:
        self.name = f'p{number}'
        self.kind = kind
        # The number of turns is geometric, their lengths are exponential.
        self.tokens = [max(1.0, rng.expovariate(1 / kind.tokens))]
        while rng.random() > 1 / kind.turns:
            self.tokens.append(max(1.0, rng.expovariate(1 / kind.tokens)))
        count = len(self.tokens)
        self.pauses = [
            rng.expovariate(1 / max(1e-9, kind.pause))
            + rng.expovariate(1 / max(1e-9, kind.tool))
            + kind.way
            for _ in range(count)
        ]
        self.turn = 0
        self.attempts = 0
        self.last_engine: str | None = None
        self.started_at = 0.0
        self.time_limit = 0.0
        self.delays: program_slack.DelayTracker | None = None


class Emulation:
    """One seed of a scenario under one policy."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        policy: policies.Policy,
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._policy = policy
        # Separate generators, so that arrivals do not depend on the policy.
        self._load_rng = random.Random(f'load {seed}')
        self._choice_rng = random.Random(f'choices {seed}')
        self._engines = [
            engines_module.Engine(
                f'e{n}', f'z{n % scenario.zones}', scenario.engines
            )
            for n in range(scenario.engines.count)
        ]
        self._views = [
            occupancy.Occupancy() for _ in range(scenario.instances)
        ]
        self._counts = load_counts.LoadCounts()
        self._idle_ratios: dict[str, program_slack.IdleTimeRatio] = (
            collections.defaultdict(program_slack.IdleTimeRatio)
        )
        self._events: list = []
        self._numbers = itertools.count()
        self._outcomes: list[Outcome] = []
        self._samples: list[LoadSample] = []
        self._shed = 0
        self._turns = 0

    def run(self) -> RunResult:
        """Run until all programs have ended."""
        self._schedule_load()
        while self._events:
            now, _, callback = heapq.heappop(self._events)
            callback(now)
        return RunResult(
            self._outcomes,
            self._samples,
            self._shed,
            sum(engine.preempted for engine in self._engines),
            self._turns,
        )

    def _schedule(
        self, at: float, callback: typing.Callable[[float], None]
    ) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), callback))

    # Load

    def _schedule_load(self) -> None:
        for kind in self._scenario.kinds:
            self._schedule_arrivals(kind)
        for slow in self._scenario.slow:
            self._schedule(
                slow.at, functools.partial(self._slow_down, slow, slow.times)
            )
            end = slow.at + slow.seconds
            self._schedule(end, functools.partial(self._slow_down, slow, 1.0))
        for second in range(int(self._scenario.seconds)):
            self._schedule(second + 0.5, self._record_sample)

    def _schedule_arrivals(self, kind: scenarios.Kind) -> None:
        at = 0.0
        bursts = [
            burst
            for burst in self._scenario.bursts
            if burst.kind in ('', kind.name)
        ]
        max_rate = kind.rate
        for burst in bursts:
            max_rate *= max(1.0, burst.times)
        while max_rate > 0:
            at += self._load_rng.expovariate(max_rate)
            if at >= self._scenario.seconds:
                return
            rate = kind.rate
            for burst in bursts:
                if burst.at <= at < burst.at + burst.seconds:
                    rate *= burst.times
            if self._load_rng.random() < rate / max_rate:
                program = _Program(next(self._numbers), kind, self._load_rng)
                self._schedule(at, lambda now, p=program: self._start(p, now))

    def _slow_down(
        self, slow: scenarios.Slow, factor: float, now: float
    ) -> None:
        for engine in self._engines[: slow.engines]:
            engine.advance(now)
            engine.slowdown_factor = factor
            engine.version += 1
            self._schedule_end(engine)

    def _record_sample(self, now: float) -> None:
        slots = sum(engine.slots for engine in self._engines)
        running = sum(len(engine.running) for engine in self._engines)
        waiting = sum(len(engine.waiting) for engine in self._engines)
        self._samples.append(LoadSample(now, running / slots, waiting / slots))

    # Programs

    def _start(self, program: _Program, now: float) -> None:
        kind, sizes = program.kind, self._scenario.engines
        token = (sizes.step_ms + sizes.slot_ms) / 1000
        prefill = kind.prompt / sizes.prefill_per_ms / 1000
        idle = sum(program.tokens) * token
        idle += len(program.tokens) * prefill + sum(program.pauses)
        program.started_at = now
        program.time_limit = kind.aim_factor * idle + kind.aim_extra
        program.delays = program_slack.DelayTracker(
            program.name, now, program.time_limit
        )
        self._send(program, now)

    def _send(self, program: _Program, now: float) -> None:
        """Start the next turn at a random instance."""
        self._turns += 1
        view = self._choice_rng.choice(self._views)
        left = program.time_limit - (now - program.started_at)
        program.delays.start_turn(program.name, now, left)
        self._place(program, view, now, now, frozenset())

    def _place(
        self,
        program: _Program,
        view: occupancy.Occupancy,
        requested_at: float,
        now: float,
        excluded: frozenset[str],
    ) -> None:
        if now - program.started_at > MAX_TIME_FACTOR * program.time_limit:
            self._end(program, now, None)
            return
        zone = f'z{self._views.index(view) % self._scenario.zones}'
        context = policies.PlacementContext(
            self._engines, view, self._counts, program.last_engine, zone,
            excluded, self._choice_rng.random,
        )  # fmt: skip
        engine = policies.choose(self._policy.placement, context, now)
        if engine is None:
            retry_at = now + PLACEMENT_RETRY_SECONDS
            self._schedule(
                retry_at,
                lambda at: self._place(
                    program, view, requested_at, at, frozenset()
                ),
            )
            return
        execution = self._make_execution(program, now)
        if not engine.add(execution, now):
            self._shed += 1
            view.record_shed(engine.name, now)
            self._place(
                program, view, requested_at, now, excluded | {engine.name}
            )
            return
        request = f'{program.name}.{program.turn}.{program.attempts}'
        view.begin(engine.name)
        deadline = now + MAX_TIME_FACTOR * program.time_limit
        self._counts.begin(engine.name, request, deadline, now)
        execution.turn = (program, view, requested_at, request)
        self._schedule_end(engine)
        self._schedule(
            now + START_TIMEOUT_SECONDS,
            lambda at: self._abandon(engine, execution, at),
        )

    def _make_execution(
        self, program: _Program, now: float
    ) -> engines_module.Execution:
        idle_ratio = self._idle_ratios[program.kind.name].value
        slack = program.delays.estimate_slack(program.name, now, idle_ratio)
        level = policies.get_level(
            self._policy.order, slack, program.kind.priority
        )
        sizes = self._scenario.engines
        prefill = program.kind.prompt / sizes.prefill_per_ms / sizes.step_ms
        return engines_module.Execution(
            None, level, program.tokens[program.turn], prefill
        )

    def _schedule_end(self, engine: engines_module.Engine) -> None:
        next_end = engine.get_next_end()
        if next_end is None:
            return
        at, execution = next_end
        version = engine.version

        def finish(now: float) -> None:
            if engine.version == version:
                self._finish(engine, execution, now)

        self._schedule(at, finish)

    def _leave(
        self,
        engine: engines_module.Engine,
        execution: engines_module.Execution,
        now: float,
    ) -> None:
        program, view, _, request = execution.turn
        load = occupancy.LoadReport(
            len(engine.running), len(engine.waiting), engine.slots
        )
        engine.remove(execution, now)
        view.record_report(engine.name, load, now)
        view.end(engine.name)
        self._counts.end(engine.name, request, None, None, now)
        self._schedule_end(engine)

    def _finish(
        self,
        engine: engines_module.Engine,
        execution: engines_module.Execution,
        now: float,
    ) -> None:
        program, _, requested_at, _ = execution.turn
        self._leave(engine, execution, now)
        typical = self._compute_typical_time(program)
        delay = max(0.0, now - requested_at - typical)
        program.delays.record_delay(program.name, delay, now)
        program.last_engine = engine.name
        pause = program.pauses[program.turn]
        program.turn += 1
        program.attempts = 0
        if program.turn == len(program.tokens):
            self._end(program, now + pause, now + pause - program.started_at)
        else:
            self._schedule(now + pause, lambda at: self._send(program, at))

    def _compute_typical_time(self, program: _Program) -> float:
        sizes = self._scenario.engines
        token = (sizes.step_ms + sizes.slot_ms) / 1000
        prefill = program.kind.prompt / sizes.prefill_per_ms / 1000
        return program.tokens[program.turn] * token + prefill

    def _abandon(
        self,
        engine: engines_module.Engine,
        execution: engines_module.Execution,
        now: float,
    ) -> None:
        """Remove a turn that has not started; the caller retries it twice."""
        if execution.has_started or execution not in engine.waiting:
            return
        program, _, requested_at, _ = execution.turn
        self._leave(engine, execution, now)
        program.delays.record_delay(program.name, now - requested_at, now)
        program.attempts += 1
        if program.attempts > 2:
            self._end(program, now, None)
        else:
            self._schedule(now + 0.25, lambda at: self._send(program, at))

    def _end(
        self, program: _Program, now: float, duration: float | None
    ) -> None:
        kind = program.kind
        earned = 0.0
        if duration is not None and duration <= program.time_limit:
            earned = kind.worth
        elif (
            duration is not None
            and duration <= MAX_TIME_FACTOR * program.time_limit
        ):
            earned = kind.late_worth
        program.delays.last_active_at = now
        self._idle_ratios[kind.name].learn(program.delays)
        self._outcomes.append(
            Outcome(
                kind.name,
                program.started_at,
                program.time_limit,
                duration,
                kind.worth,
                earned,
            )  # fmt: skip
        )
