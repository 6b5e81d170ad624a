"""A small model of an engine: batching, prefill and a prefix cache.

Time advances in whole steps, but an event is made only where something
changes: at the step in which the next prefill or the next answer ends.
"""

import collections
import heapq
import typing

from vanillayoke.bench import workload

CHUNK_TOKENS = 256
"""Most tokens that one step prefills beside its decoding."""


class EngineCall(typing.NamedTuple):
    """A call sent to an engine.

    ``prompt_tokens`` is the whole conversation with the shared
    instructions; ``new_tokens`` the part that was never computed before.
    """

    call: str
    session: str
    agent: str
    shared_tokens: int
    prompt_tokens: int
    new_tokens: int
    output_tokens: int
    priority: int


class EngineAnswer(typing.NamedTuple):
    """An answered call; ``service`` is its share of engine seconds."""

    call: EngineCall
    cached_tokens: int
    service: float


class CacheChange(typing.NamedTuple):
    """A cache event before any loss; ``kind`` as in the engine's port."""

    kind: str
    session: str
    tokens: int


class _Running:
    __slots__ = ('call', 'cached', 'missing', 'left', 'service')

    def __init__(self, call: EngineCall, cached: int) -> None:
        self.call = call
        self.cached = cached
        self.missing = call.prompt_tokens - cached
        self.left = call.output_tokens
        self.service = 0.0


class PrefixCache:
    """Tokens held by session and by shared instructions, oldest first.

    ``pinned`` sessions run now and are never evicted.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.used = 0
        self.pinned: set[str] = set()
        self.changes: list[CacheChange] = []
        self.freed: list[tuple[str, int]] = []
        self._entries: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    def list_entries(self) -> dict[str, int]:
        """Return the tokens that each entry holds."""
        return dict(self._entries)

    def reserve(self, name: str, tokens: int) -> bool:
        """Grow an entry to a size, evicting the oldest; ``False`` if full."""
        held = self._entries.get(name, 0)
        needed = max(tokens, held) - held
        if not self._make_room(needed, name):
            return False
        self._entries[name] = held + needed
        self._entries.move_to_end(name)
        self.used += needed
        return True

    def free(self, name: str) -> None:
        """Drop an entry."""
        tokens = self._entries.pop(name, None)
        if tokens is not None:
            self.used -= tokens
            self.freed.append((name, tokens))
            self.changes.append(CacheChange('evicted', name, 0))

    def _make_room(self, needed: int, keep: str) -> bool:
        if self.used + needed <= self.size:
            return True
        victims = []
        room = self.size - self.used
        for name, tokens in self._entries.items():
            if room >= needed:
                break
            if name != keep and name not in self.pinned:
                victims.append(name)
                room += tokens
        if room < needed:
            return False
        for name in victims:
            self.free(name)
        return True


class Engine:
    """An engine; ``advance`` runs it up to the next change."""

    def __init__(self, name: str, slots: int, cache_tokens: int) -> None:
        self.name = name
        self.slots = slots
        self.cache = PrefixCache(cache_tokens)
        self.recomputed_tokens = 0
        self.busy_seconds = 0.0
        self._clock = 0.0
        self._order = 0
        self._waiting: list[tuple[int, int, EngineCall]] = []
        self._cancelled: set[str] = set()
        self._prefilling: list[_Running] = []
        self._decoding: list[_Running] = []

    @property
    def running(self) -> int:
        """Calls in the batch."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Calls that wait for a place in the batch."""
        return len(self._waiting) - len(self._cancelled)

    def submit(self, call: EngineCall, now: float) -> None:
        """Queue a call."""
        self._catch_up(now)
        self._order += 1
        heapq.heappush(self._waiting, (call.priority, self._order, call))
        self._fill_batch()

    def cancel(self, call: str) -> bool:
        """Take back a call that waits; ``False`` where it runs."""
        if call in self._cancelled:
            return False
        if any(entry[2].call == call for entry in self._waiting):
            self._cancelled.add(call)
            return True
        return False

    def release(self, session: str) -> None:
        """Free a session's memory, unless it runs."""
        if session not in self.cache.pinned:
            self.cache.free(session)

    def restore(self, session: str, tokens: int) -> None:
        """Import exported memory, where there is room for it."""
        if session not in self.cache:
            self.cache.reserve(session, tokens)

    def drop_all(self) -> list[EngineCall]:
        """Lose everything; return the calls that were there."""
        lost = [running.call for running in self._prefilling + self._decoding]
        lost += [
            entry[2]
            for entry in self._waiting
            if entry[2].call not in self._cancelled
        ]
        self._waiting.clear()
        self._cancelled.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self.cache.pinned.clear()
        for name in self.cache.list_entries():
            self.cache.free(name)
        return lost

    def next_change(self) -> float | None:
        """Return when the next prefill or answer ends."""
        if not self.running:
            return None
        steps, seconds = self._measure_steps()
        return self._clock + steps * seconds

    def advance(self, now: float) -> list[EngineAnswer]:
        """Run up to a change that is due; return the answers it ended."""
        if not self.running:
            return []
        steps, seconds = self._measure_steps()
        if self._clock + steps * seconds > now + 1e-9:
            return []
        self._run_steps(steps, seconds)
        answers = self._collect()
        self._fill_batch()
        return answers

    def _catch_up(self, now: float) -> None:
        if not self.running:
            self._clock = max(self._clock, now)
            return
        steps, seconds = self._measure_steps()
        passed = int((now - self._clock) / seconds) + 1
        if self._clock >= now:
            return
        self._run_steps(min(passed, steps - 1), seconds)

    def _measure_steps(self) -> tuple[int, float]:
        seconds = workload.STEP_BASE
        seconds += workload.STEP_PER_CALL * self.running
        steps = min((run.left for run in self._decoding), default=1 << 30)
        if self._prefilling:
            missing = self._prefilling[0].missing
            chunk = min(CHUNK_TOKENS, missing)
            seconds += workload.PREFILL_PER_TOKEN * chunk
            steps = min(steps, max(1, missing // CHUNK_TOKENS))
        return steps, seconds

    def _run_steps(self, steps: int, seconds: float) -> None:
        if steps <= 0:
            return
        passed = steps * seconds
        self._clock += passed
        self.busy_seconds += passed
        decode = steps * workload.STEP_BASE / self.running
        decode += steps * workload.STEP_PER_CALL
        for run in self._decoding:
            run.left -= steps
            run.service += decode
        if self._prefilling:
            head = self._prefilling[0]
            computed = min(head.missing, steps * CHUNK_TOKENS)
            head.missing -= computed
            head.service += computed * workload.PREFILL_PER_TOKEN

    def _collect(self) -> list[EngineAnswer]:
        if self._prefilling and self._prefilling[0].missing <= 0:
            self._decoding.append(self._prefilling.pop(0))
        done = [run for run in self._decoding if run.left <= 0]
        if not done:
            return []
        self._decoding = [run for run in self._decoding if run.left > 0]
        for run in done:
            call = run.call
            self.cache.pinned.discard(call.session)
            tokens = call.prompt_tokens + call.output_tokens
            change = CacheChange('stored', call.session, tokens)
            self.cache.changes.append(change)
        return [
            EngineAnswer(run.call, run.cached, run.service) for run in done
        ]

    def _fill_batch(self) -> None:
        while self._waiting and self.running < self.slots:
            call = self._waiting[0][2]
            if call.call in self._cancelled:
                heapq.heappop(self._waiting)
                self._cancelled.discard(call.call)
                continue
            run = self._start(call)
            if run is None:
                return
            heapq.heappop(self._waiting)
            if run.missing > 0:
                self._prefilling.append(run)
            else:
                self._decoding.append(run)

    def _start(self, call: EngineCall) -> _Running | None:
        cached = 0
        if call.agent in self.cache:
            cached += call.shared_tokens
        own = call.prompt_tokens - call.shared_tokens
        if call.session in self.cache:
            cached += own - call.new_tokens
        if not self.cache.reserve(call.agent, call.shared_tokens):
            return None
        if not self.cache.reserve(call.session, own + call.output_tokens):
            return None
        self.cache.pinned.add(call.session)
        missing = call.prompt_tokens - cached
        self.recomputed_tokens += max(0, missing - call.new_tokens)
        return _Running(call, cached)
