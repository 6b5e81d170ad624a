"""Batching and prefix cache of a stand-in engine, in the timers' time."""

import asyncio
import heapq
import math
import typing

import msgspec

from vanillayoke.core import timers
from vanillayoke.fakes import script
from vanillayoke.targets import ports


class EngineFaults(msgspec.Struct, kw_only=True):
    """Faults of a stand-in engine; setting new ones replaces the old.

    The first group hits the next ``calls`` streams. ``hang_after``,
    ``silent_after`` and ``break_after`` count tokens: the sequence stops,
    or just its connection is silent or breaks. The final piece comes
    ``late`` seconds late, or twice; ``error`` is an HTTP status and
    ``refuse`` says not run. The rest hold always: ``dead`` loses all calls
    and cache, ``event_gap`` loses each n-th cache event.
    """

    calls: int = 1
    hang_after: int | None = None
    silent_after: int | None = None
    break_after: int | None = None
    late: float = 0.0
    duplicate: bool = False
    error: int = 0
    refuse: bool = False
    slow: float = 1.0
    dead: bool = False
    leaving: bool = False
    event_gap: int = 0


class EngineOptions(typing.NamedTuple):
    """Sizes and speeds; times in seconds, ``*_cost`` per token."""

    slots: int = 16
    cache_tokens: int = 200_000
    step: float = 0.002
    prefill_cost: float = 0.0001
    transfer_cost: float = 0.00001
    load_time: float = 2.0
    report_lag: float = 0.5
    event_delay: float = 0.2
    fencing: bool = False


class Run:
    """A sequence in the engine; ``state`` goes from waiting to ended."""

    def __init__(self, request: ports.EngineRequest, hang: int | None):
        self.request = request
        self.hang = hang
        self.script = script.write_answer(request.messages)
        self.prompt = script.count_tokens(request.messages)
        self.limit = min(len(self.script.pieces), request.max_tokens)
        self.cached = self.prefill_steps = self.made = 0
        self.state = 'waiting'
        self.changed = asyncio.Event()

    @property
    def is_over(self) -> bool:
        return self.state not in ('waiting', 'running')

    def move(self, state: str) -> None:
        """Set the state and wake all readers."""
        self.state = state
        self.changed.set()
        self.changed = asyncio.Event()

    def complete(self) -> ports.Completion:
        """Return the whole answer of a run that is done."""
        whole = self.limit == len(self.script.pieces)
        return ports.Completion(
            ''.join(self.script.pieces[: self.limit]),
            self.script.tool_calls if whole else (),
            self.script.finish_reason if whole else 'length',
            ports.Usage(self.prompt, self.cached, self.made),
        )


class Batch:
    """Continuous batching, one token a step, with a cache by session."""

    def __init__(
        self, clock: timers.TimerService, options: EngineOptions
    ) -> None:
        self.clock = clock
        self.options = options
        self.slow = 1.0
        self.on_change: typing.Callable[[], None] = lambda: None
        self.running: list[Run] = []
        self.waiting: list[tuple[int, int, Run]] = []
        self.cache: dict[str, int] = {}
        self.cached_tokens = 0
        self.events: list[tuple[float, ports.CacheEvent]] = []
        self._arrivals = 0
        self._stepping = False

    def add(self, run: Run) -> None:
        """Queue a run; lower priority numbers go first."""
        self._arrivals += 1
        entry = (run.request.priority, self._arrivals, run)
        heapq.heappush(self.waiting, entry)
        self._schedule()

    def remove(self, run: Run, state: str) -> None:
        """End a run that has not ended and free its place."""
        if run in self.running:
            self.running.remove(run)
        self.waiting = sorted(e for e in self.waiting if e[2] is not run)
        if run.state != 'done':
            run.move(state)
        self._schedule()

    def store(self, session: str, tokens: int) -> None:
        """Set a session's cached tokens, least recently used go first."""
        before = self.cache.pop(session, 0)
        self.cache[session] = max(before, tokens)
        self.cached_tokens += self.cache[session] - before
        if tokens > before:
            self._note('stored', session, tokens)
        busy = {run.request.session for run in self.running} | {session}
        for victim in [s for s in self.cache if s not in busy]:
            if self.cached_tokens <= self.options.cache_tokens:
                break
            self.evict(victim)

    def evict(self, session: str) -> None:
        """Drop a session's cache, if there is one."""
        tokens = self.cache.pop(session, 0)
        if tokens:
            self.cached_tokens -= tokens
            self._note('evicted', session, 0)

    def _note(self, kind: str, session: str, tokens: int) -> None:
        event = ports.CacheEvent(len(self.events) + 1, kind, session, tokens)
        shown_at = self.clock.now() + self.options.event_delay
        self.events.append((shown_at, event))

    def _schedule(self) -> None:
        while self.waiting and len(self.running) < self.options.slots:
            self._admit(heapq.heappop(self.waiting)[2])
        if self.running and not self._stepping:
            self._stepping = True
            self.clock.call_after(self.options.step * self.slow, self._step)
        self.on_change()

    def _admit(self, run: Run) -> None:
        session = run.request.session
        run.cached = min(self.cache.get(session, 0), run.prompt)
        prefill = (run.prompt - run.cached) * self.options.prefill_cost
        run.prefill_steps = math.ceil(prefill / self.options.step)
        self.running.append(run)
        run.move('running')
        self.store(session, run.prompt)

    def _step(self) -> None:
        self._stepping = False
        for run in list(self.running):
            if run.prefill_steps > 0:
                run.prefill_steps -= 1
            elif run.made != run.hang:
                run.made += 1
                run.move('running')
                if run.made >= run.limit:
                    self.running.remove(run)
                    run.move('done')
                    self.store(run.request.session, run.prompt + run.made)
        self._schedule()
