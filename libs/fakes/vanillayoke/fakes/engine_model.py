"""Batching and prefix cache of a stand-in engine, in the timers' time."""

import asyncio
import math
import typing

import msgspec

from vanillayoke.core import timers
from vanillayoke.fakes import script
from vanillayoke.targets import ports


class EngineFaults(msgspec.Struct, kw_only=True):
    """Faults of a stand-in engine; setting new ones replaces the old.

    The next ``calls`` streams meet ``stream``: ``hang``, ``silence`` (of
    the connection alone) or ``break`` after ``after`` tokens, the end
    ``twice``, an ``error`` or ``refuse``; their end is ``seconds`` late.
    ``dead`` loses all; ``event_gap`` loses each n-th cache event.
    """

    calls: int = 1
    stream: str = ''
    after: int = 0
    seconds: float = 0.0
    slow: float = 1.0
    dead: bool = False
    leaving: bool = False
    event_gap: int = 0


class EngineOptions(typing.NamedTuple):
    """Sizes and speeds; times in seconds, ``*_cost`` per token.

    With a ``salt`` each attempt is answered otherwise, as with a sampling
    model.
    """

    slots: int = 16
    cache_tokens: int = 200_000
    step: float = 0.002
    prefill_cost: float = 0.0001
    transfer_cost: float = 0.00001
    load_time: float = 2.0
    report_lag: float = 0.5
    event_delay: float = 0.2
    fencing: bool = False
    salt: str = ''


class Run:
    """A sequence in the engine: ``waiting``, ``running`` or over."""

    def __init__(self, request, hang: int | None, salt: str) -> None:
        self.request = request
        self.hang = hang
        salt = salt and salt + request.call_id
        self.script = script.write_answer(request.messages, salt)
        self.prompt = script.count_tokens(request.messages)
        self.limit = min(len(self.script.pieces), request.max_tokens)
        self.cached = self.prefill_steps = self.made = 0
        self.state = 'waiting'
        self.changed = asyncio.Event()

    def move(self, state: str) -> None:
        """Set the state and wake all readers."""
        self.state = state
        self.changed.set()
        self.changed = asyncio.Event()

    def complete(self) -> ports.Completion:
        """Return the whole answer of a run that is done."""
        usage = ports.Usage(self.prompt, self.cached, self.made)
        text = ''.join(self.script.pieces[: self.limit])
        if self.limit < len(self.script.pieces):
            return ports.Completion(text, (), 'length', usage)
        return ports.Completion(text, *self.script[1:], usage)


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
        self.waiting: list[Run] = []
        self.cache: dict[str, int] = {}
        self.events: list[tuple[float, ports.CacheEvent]] = []
        self._stepping = False

    def add(self, run: Run) -> None:
        """Queue a run; lower priority numbers go first."""
        self.waiting.append(run)
        self.waiting.sort(key=lambda r: r.request.priority)
        self._schedule()

    def remove(self, run: Run, state: str) -> None:
        """End a run that is not over and free its place."""
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)
                run.move(state)
        self._schedule()

    def store(self, session: str, tokens: int) -> None:
        """Cache a session's prefix; the least recently used make room."""
        before = self.cache.pop(session, 0)
        self.cache[session] = max(before, tokens)
        if tokens > before:
            self._note('stored', session, tokens)
        busy = {run.request.session for run in self.running} | {session}
        for victim in [s for s in self.cache if s not in busy]:
            if sum(self.cache.values()) <= self.options.cache_tokens:
                break
            self.evict(victim)

    def evict(self, session: str) -> None:
        """Drop a session's cache, if there is one."""
        if self.cache.pop(session, 0):
            self._note('evicted', session, 0)

    def _note(self, kind: str, session: str, tokens: int) -> None:
        event = ports.CacheEvent(len(self.events) + 1, kind, session, tokens)
        self.events.append((self.clock.now(), event))

    def _schedule(self) -> None:
        while self.waiting and len(self.running) < self.options.slots:
            self._admit(self.waiting.pop(0))
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
                    self.store(run.request.session, run.prompt + run.made)
                    self.remove(run, 'done')
        self._schedule()
