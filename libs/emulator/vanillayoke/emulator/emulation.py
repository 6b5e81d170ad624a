"""Programs of many callers on model engines, event by event."""

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

# Callers give a turn up that has not begun by then. Seconds.
PATIENCE = 2.0
# A turn without a place is tried again after this. Seconds.
ROOM_PAUSE = 0.02
# A program may be late by its whole aim once more; then nobody waits.
MOST_AIMS = 2.0


class Outcome(typing.NamedTuple):
    """How one program ended; ``taken`` is ``None`` if it failed."""

    kind: str
    began: float
    aim: float
    taken: float | None
    worth: float
    earned: float


class Second(typing.NamedTuple):
    """What all engines had at a moment, a slot."""

    at: float
    fill: float
    waiting: float


class Played(typing.NamedTuple):
    """What one policy made of one seed."""

    outcomes: list[Outcome]
    seconds: list[Second]
    shed: int
    preempted: int
    turns: int


class _Program:
    def __init__(
        self, number: int, kind: scenarios.Kind, source: random.Random
    ) -> None:
        self.name = f'p{number}'
        self.kind = kind
        # Geometric numbers of turns, exponential lengths.
        self.tokens = [max(1.0, source.expovariate(1 / kind.tokens))]
        while source.random() > 1 / kind.turns:
            self.tokens.append(max(1.0, source.expovariate(1 / kind.tokens)))
        count = len(self.tokens)
        self.pauses = [
            source.expovariate(1 / max(1e-9, kind.pause))
            + source.expovariate(1 / max(1e-9, kind.tool))
            + kind.way
            for _ in range(count)
        ]
        self.turn = 0
        self.tries = 0
        self.favourite: str | None = None
        self.began = 0.0
        self.aim = 0.0
        self.clock: program_slack.DelayTracker | None = None


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
        # Arrivals are alike under all policies; choices have a source of
        # their own.
        self._load = random.Random(f'load {seed}')
        self._source = random.Random(f'choices {seed}')
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
        self._shares: dict[str, program_slack.IdleTimeRatio] = (
            collections.defaultdict(program_slack.IdleTimeRatio)
        )
        self._events: list = []
        self._numbers = itertools.count()
        self._outcomes: list[Outcome] = []
        self._seconds: list[Second] = []
        self._shed = 0
        self._turns = 0

    def play(self) -> Played:
        """Play until all programs have ended."""
        self._plan()
        while self._events:
            now, _, call = heapq.heappop(self._events)
            call(now)
        return Played(
            self._outcomes,
            self._seconds,
            self._shed,
            sum(one.preempted for one in self._engines),
            self._turns,
        )

    def _at(self, when: float, call: typing.Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), call))

    # Load

    def _plan(self) -> None:
        for kind in self._scenario.kinds:
            self._plan_arrivals(kind)
        for slow in self._scenario.slow:
            self._at(slow.at, functools.partial(self._slow, slow, slow.times))
            end = slow.at + slow.seconds
            self._at(end, functools.partial(self._slow, slow, 1.0))
        for second in range(int(self._scenario.seconds)):
            self._at(second + 0.5, self._look)

    def _plan_arrivals(self, kind: scenarios.Kind) -> None:
        at = 0.0
        bursts = [
            burst
            for burst in self._scenario.bursts
            if burst.kind in ('', kind.name)
        ]
        most = kind.rate
        for burst in bursts:
            most *= max(1.0, burst.times)
        while most > 0:
            at += self._load.expovariate(most)
            if at >= self._scenario.seconds:
                return
            rate = kind.rate
            for burst in bursts:
                if burst.at <= at < burst.at + burst.seconds:
                    rate *= burst.times
            if self._load.random() < rate / most:
                program = _Program(next(self._numbers), kind, self._load)
                self._at(at, lambda now, p=program: self._begin(p, now))

    def _slow(self, slow: scenarios.Slow, times: float, now: float) -> None:
        for engine in self._engines[: slow.engines]:
            engine.move(now)
            engine.slowness = times
            engine.version += 1
            self._plan_end(engine)

    def _look(self, now: float) -> None:
        slots = sum(one.slots for one in self._engines)
        running = sum(len(one.running) for one in self._engines)
        waiting = sum(len(one.waiting) for one in self._engines)
        self._seconds.append(Second(now, running / slots, waiting / slots))

    # Programs

    def _begin(self, program: _Program, now: float) -> None:
        kind, sizes = program.kind, self._scenario.engines
        token = (sizes.step_ms + sizes.slot_ms) / 1000
        prefill = kind.prompt / sizes.prefill_per_ms / 1000
        idle = sum(program.tokens) * token
        idle += len(program.tokens) * prefill + sum(program.pauses)
        program.began = now
        program.aim = kind.aim_factor * idle + kind.aim_extra
        program.clock = program_slack.DelayTracker(
            program.name, now, program.aim
        )
        self._send(program, now)

    def _send(self, program: _Program, now: float) -> None:
        """Begin the next turn at whichever instance its caller has."""
        self._turns += 1
        view = self._source.choice(self._views)
        left = program.aim - (now - program.began)
        program.clock.start_turn(program.name, now, left)
        self._place(program, view, now, now, frozenset())

    def _place(
        self,
        program: _Program,
        view: occupancy.Occupancy,
        asked: float,
        now: float,
        passed: frozenset[str],
    ) -> None:
        if now - program.began > MOST_AIMS * program.aim:
            self._end(program, now, None)
            return
        zone = f'z{self._views.index(view) % self._scenario.zones}'
        place = policies.Place(
            self._engines, view, self._counts, program.favourite, zone,
            passed, self._source.random,
        )  # fmt: skip
        engine = policies.choose(self._policy.placement, place, now)
        if engine is None:
            again = now + ROOM_PAUSE
            self._at(
                again,
                lambda at: self._place(program, view, asked, at, frozenset()),
            )
            return
        run = self._make_run(program, now)
        if not engine.add(run, now):
            self._shed += 1
            view.record_shed(engine.name, now)
            self._place(program, view, asked, now, passed | {engine.name})
            return
        request = f'{program.name}.{program.turn}.{program.tries}'
        view.begin(engine.name)
        until = now + MOST_AIMS * program.aim
        self._counts.begin(engine.name, request, until, now)
        run.turn = (program, view, asked, request)
        self._plan_end(engine)
        self._at(now + PATIENCE, lambda at: self._give_up(engine, run, at))

    def _make_run(self, program: _Program, now: float) -> engines_module.Run:
        share = self._shares[program.kind.name].value
        slack = program.clock.estimate_slack(program.name, now, share)
        level = policies.rank(self._policy.order, slack, program.kind.priority)
        sizes = self._scenario.engines
        prefill = program.kind.prompt / sizes.prefill_per_ms / sizes.step_ms
        return engines_module.Run(
            None, level, program.tokens[program.turn], prefill
        )

    def _plan_end(self, engine: engines_module.Engine) -> None:
        planned = engine.find_next_end()
        if planned is None:
            return
        at, run = planned
        version = engine.version

        def finish(now: float) -> None:
            if engine.version == version:
                self._finish(engine, run, now)

        self._at(at, finish)

    def _leave(
        self,
        engine: engines_module.Engine,
        run: engines_module.Run,
        now: float,
    ) -> None:
        program, view, _, request = run.turn
        load = occupancy.LoadReport(
            len(engine.running), len(engine.waiting), engine.slots
        )
        engine.remove(run, now)
        view.record_report(engine.name, load, now)
        view.end(engine.name)
        self._counts.end(engine.name, request, None, None, now)
        self._plan_end(engine)

    def _finish(
        self,
        engine: engines_module.Engine,
        run: engines_module.Run,
        now: float,
    ) -> None:
        program, _, asked, _ = run.turn
        self._leave(engine, run, now)
        usual = self._find_usual(program)
        lost = max(0.0, now - asked - usual)
        program.clock.record_delay(program.name, lost, now)
        program.favourite = engine.name
        pause = program.pauses[program.turn]
        program.turn += 1
        program.tries = 0
        if program.turn == len(program.tokens):
            self._end(program, now + pause, now + pause - program.began)
        else:
            self._at(now + pause, lambda at: self._send(program, at))

    def _find_usual(self, program: _Program) -> float:
        sizes = self._scenario.engines
        token = (sizes.step_ms + sizes.slot_ms) / 1000
        prefill = program.kind.prompt / sizes.prefill_per_ms / 1000
        return program.tokens[program.turn] * token + prefill

    def _give_up(
        self,
        engine: engines_module.Engine,
        run: engines_module.Run,
        now: float,
    ) -> None:
        """End a turn that has not begun; its caller tries twice more."""
        if run.began or run not in engine.waiting:
            return
        program, _, asked, _ = run.turn
        self._leave(engine, run, now)
        program.clock.record_delay(program.name, now - asked, now)
        program.tries += 1
        if program.tries > 2:
            self._end(program, now, None)
        else:
            self._at(now + 0.25, lambda at: self._send(program, at))

    def _end(self, program: _Program, now: float, taken: float | None) -> None:
        kind = program.kind
        earned = 0.0
        if taken is not None and taken <= program.aim:
            earned = kind.worth
        elif taken is not None and taken <= MOST_AIMS * program.aim:
            earned = kind.late_worth
        program.clock.last_active_at = now
        self._shares[kind.name].learn(program.clock)
        self._outcomes.append(
            Outcome(
                kind.name,
                program.began,
                program.aim,
                taken,
                kind.worth,
                earned,
            )  # fmt: skip
        )
