"""A stand-in engine in memory."""

import asyncio
import collections
import functools
import typing

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import engine_model
from vanillayoke.targets import ports

_RUNS_KEPT = 2000
_KEEPALIVE = 1.0
REFUSED = failures.Failure(failures.Kind.TARGET_REFUSED, 'refused')
_BROKEN = failures.Failure(failures.Kind.OUTCOME_UNKNOWN, 'broken')
_SILENT = failures.Failure(failures.Kind.OUTCOME_UNKNOWN, 'silent')


def _unless_dead(method: typing.Callable) -> typing.Callable:
    @functools.wraps(method)
    async def answer(self, *arguments):
        return REFUSED if self.faults.dead else method(self, *arguments)

    return answer


class EngineMemory(ports.Engine):
    """An engine whose answers follow ``script``."""

    def __init__(
        self,
        name: str,
        clock: timers.TimerService,
        options: engine_model.EngineOptions | None = None,
        loaded: typing.Sequence[str] = ('base',),
    ) -> None:
        self.name = name
        self.clock = clock
        self.options = options or engine_model.EngineOptions()
        self.batch = engine_model.Batch(clock, self.options)
        self.faults = engine_model.EngineFaults()
        self.loaded = dict.fromkeys(loaded, '1')
        self.loading: dict[str, str] = {}
        self.role = 'both'
        self.epoch = 0
        self.runs: dict[str, engine_model.Run] = {}
        self._reports = collections.deque([self._measure()])
        self.batch.on_change = self._note_load

    def set_faults(self, faults: engine_model.EngineFaults) -> None:
        """Replace the faults; death loses all calls and the cache."""
        self.faults = faults
        self.batch.slow = faults.slow
        if faults.dead:
            for run in self.runs.values():
                self.batch.remove(run, 'lost')
            for session in list(self.batch.cache):
                self.batch.evict(session)
        self._note_load()

    def take_faults(self) -> engine_model.EngineFaults:
        """Return the faults of the next stream."""
        if self.faults.calls <= 0:
            return engine_model.EngineFaults()
        self.faults.calls -= 1
        return self.faults

    def start(
        self, request: ports.EngineRequest, hang: int | None
    ) -> engine_model.Run | failures.Failure:
        """Queue a call; a known call id joins its run."""
        if request.call_id in self.runs:
            return self.runs[request.call_id]
        if request.model not in self.loaded or self.faults.leaving:
            return REFUSED
        if len(self.runs) >= _RUNS_KEPT:
            ended = (i for i, r in self.runs.items() if r.is_over)
            self.runs.pop(next(ended, ''), None)
        run = self.runs[request.call_id] = engine_model.Run(request, hang)
        self.batch.add(run)
        return run

    async def follow(
        self, run: engine_model.Run, faults: engine_model.EngineFaults
    ) -> typing.AsyncIterator[tuple[str, ...] | ports.Completion]:
        """Yield new pieces, then the completion; end early where it broke.

        An empty tuple is a sign of life while the run waits.
        """
        shown = 0
        while not (run.is_over and shown == run.made):
            changed = run.changed
            stops = (faults.silent_after, faults.break_after)
            if shown in stops:
                break
            end = min(n for n in (*stops, run.made) if n is not None)
            if end > shown:
                yield run.script.pieces[shown:end]
                shown = end
                continue
            try:
                async with asyncio.timeout(_KEEPALIVE):
                    await changed.wait()
            except TimeoutError:
                if run.state == 'waiting' or run.prefill_steps:
                    yield ()
        if shown == faults.silent_after:
            await asyncio.Event().wait()
        if shown == faults.break_after or run.state != 'done':
            return
        await self.clock.sleep(faults.late)
        yield run.complete()
        if faults.duplicate:
            yield run.complete()

    async def stream(self, request):
        faults = self.take_faults()
        run = REFUSED
        if not (faults.refuse or faults.dead):
            run = self.start(request, faults.hang_after)
        if isinstance(run, failures.Failure):
            yield run
        elif faults.error:
            yield failures.Failure(failures.Kind.TARGET_FAILED, 'error')
        else:
            async for item in self._read(request, run, faults, 0):
                yield item

    async def resume(self, request, offset):
        run = self.runs.get(request.call_id)
        if self.faults.dead or run is None:
            yield REFUSED if self.faults.dead else _BROKEN
            return
        faults = engine_model.EngineFaults()
        async for item in self._read(request, run, faults, offset):
            yield item

    async def _read(self, request, run, faults, skip):
        items = self.follow(run, faults)
        end = self.clock.now() + request.timeout
        while True:
            limit = min(request.progress_timeout, end - self.clock.now())
            try:
                async with asyncio.timeout(limit):
                    item = await anext(items, _BROKEN)
            except TimeoutError:
                item = _SILENT
            if isinstance(item, ports.Completion | failures.Failure):
                yield item
                return
            text = ''.join(item)
            if item and (len(text) > skip or not text):
                yield ports.Delta(text[skip:], len(item))
            skip = max(0, skip - len(text))

    @_unless_dead
    def cancel(self, call_id):
        if call_id in self.runs:
            self.batch.remove(self.runs[call_id], 'cancelled')

    def _measure(self) -> ports.LoadReport:
        batch = self.batch
        return ports.LoadReport(
            self.name,
            self.clock.now(),
            len(batch.running),
            len(batch.waiting),
            batch.cached_tokens,
            self.options.cache_tokens,
            tuple(self.loaded),
            self.role,
            self.faults.leaving,
        )

    def _note_load(self) -> None:
        self._reports.append(self._measure())
        shown = self.clock.now() - self.options.report_lag
        while len(self._reports) > 1 and self._reports[1].measured_at <= shown:
            self._reports.popleft()

    @_unless_dead
    def report_load(self):
        self._note_load()
        return self._reports[0]

    @_unless_dead
    def list_cache_events(self, after):
        now, gap = self.clock.now(), self.faults.event_gap
        return [
            event
            for shown_at, event in self.batch.events[after:]
            if shown_at <= now and not (gap and event.number % gap == 0)
        ]

    async def export_cache(self, session):
        tokens = self.batch.cache.get(session, 0)
        await self.clock.sleep(tokens * self.options.transfer_cost)
        return f'{self.name}/{session}/{tokens}'

    async def import_cache(self, session, handle):
        tokens = int(handle.rpartition('/')[2])
        await self.clock.sleep(tokens * self.options.transfer_cost)
        self.batch.store(session, tokens)
        return self.batch.cache[session]

    @_unless_dead
    def give_order(self, order):
        if self.options.fencing and order.epoch < self.epoch:
            return failures.Failure(failures.Kind.CONFLICT, 'stale epoch')
        self.epoch = max(self.epoch, order.epoch)
        subject, version = order.subject, order.version
        match order.kind:
            case 'load' if self.loaded.get(subject) != version:
                self.loading[subject] = version
                self.clock.call_after(
                    self.options.load_time,
                    functools.partial(self._end_loading, subject, version),
                )
            case 'unload':
                self.loaded.pop(subject, None)
                self.loading.pop(subject, None)
            case 'role':
                self.role = subject
            case 'release':
                self.batch.evict(subject)
        self._note_load()

    def _end_loading(self, subject: str, version: str) -> None:
        if self.loading.get(subject) == version:
            self.loaded[subject] = self.loading.pop(subject)
            self._note_load()

    @_unless_dead
    def read_state(self):
        return ports.EngineState(
            dict(self.loaded),
            dict(self.loading),
            self.role,
            dict(self.batch.cache),
            self.epoch,
        )
