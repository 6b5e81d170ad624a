"""A stand-in engine in memory."""

import asyncio
import collections

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import engine_model
from vanillayoke.targets import ports

REFUSED = failures.Failure(failures.Kind.TARGET_REFUSED, 'refused')
_FAILED = failures.Failure(failures.Kind.TARGET_FAILED, 'failed')
_BROKEN = failures.Failure(failures.Kind.OUTCOME_UNKNOWN, 'broken')
_SILENT = failures.Failure(failures.Kind.OUTCOME_UNKNOWN, 'silent')
_ALIVE_INTERVAL = 1.0


class EngineMemory(ports.Engine):
    """An engine whose answers follow ``script``."""

    def __init__(
        self,
        name: str,
        clock: timers.TimerService,
        options: engine_model.EngineOptions | None = None,
        loaded: tuple[str, ...] = ('base',),
    ) -> None:
        self.name = name
        self.clock = clock
        self.options = options or engine_model.EngineOptions()
        self.batch = engine_model.Batch(clock, self.options)
        self.batch.on_change = self._note_load
        self.faults = engine_model.EngineFaults()
        self.loaded = dict.fromkeys(loaded, '1')
        self.loading: dict[str, str] = {}
        self.role = 'both'
        self.epoch = 0
        self.runs: dict[str, engine_model.Run] = {}
        self._reports: collections.deque = collections.deque()
        self._note_load()

    def set_faults(self, faults: engine_model.EngineFaults) -> None:
        """Replace the faults; death loses all calls and the cache."""
        self.faults = faults
        self.batch.slow = faults.slow
        if faults.dead:
            for run in self.runs.values():
                self.batch.remove(run, 'lost')
            self.runs.clear()
            self.batch.cache.clear()

    def take_faults(self) -> engine_model.EngineFaults:
        """Return the faults that the next stream meets."""
        self.faults.calls -= 1
        if self.faults.calls >= 0:
            return self.faults
        return engine_model.EngineFaults()

    def start(self, request, faults) -> engine_model.Run | failures.Failure:
        """Queue a call; a known call id joins its run."""
        if faults.stream == 'error':
            return _FAILED
        closed = self.faults.dead or self.faults.leaving
        closed = closed or request.model not in self.loaded
        if closed or faults.stream == 'refuse':
            return REFUSED
        if request.call_id not in self.runs:
            hang = faults.after if faults.stream == 'hang' else None
            run = engine_model.Run(request, hang, self.options.salt)
            self.runs[request.call_id] = run
            self.batch.add(run)
        return self.runs[request.call_id]

    async def follow(self, run, faults):
        """Yield tuples of new pieces, then the completion, if it comes.

        An empty tuple is a sign of life while the run waits.
        """
        shown = 0
        cut = faults.stream in ('silence', 'break')
        while run.state in ('waiting', 'running') or shown < run.made:
            changed = run.changed
            end = min(run.made, faults.after) if cut else run.made
            if shown < end:
                yield run.script.pieces[shown:end]
                shown = end
            elif cut and shown == faults.after:
                break
            elif not await self._wait(changed) and not run.made:
                if run.hang != 0:
                    yield ()
        if faults.stream == 'silence':
            await asyncio.Event().wait()
        if faults.stream == 'break' or run.state != 'done':
            return
        await self.clock.sleep(faults.seconds)
        yield run.complete()
        if faults.stream == 'twice':
            yield run.complete()

    async def _wait(self, changed: asyncio.Event) -> bool:
        try:
            async with asyncio.timeout(_ALIVE_INTERVAL):
                return await changed.wait()
        except TimeoutError:
            return False

    async def stream(self, request):
        faults = self.take_faults()
        run = self.start(request, faults)
        async for item in self._read(request, run, faults, 0):
            yield item

    async def resume(self, request, offset):
        run = self.runs.get(request.call_id, _BROKEN)
        faults = engine_model.EngineFaults()
        async for item in self._read(request, run, faults, offset):
            yield item

    async def _read(self, request, run, faults, offset):
        if isinstance(run, failures.Failure):
            yield run
            return
        items = self.follow(run, faults)
        end = self.clock.now() + request.timeout
        while True:
            limit = min(request.progress_timeout, end - self.clock.now())
            try:
                async with asyncio.timeout(limit):
                    item = await anext(items)
            except (TimeoutError, StopAsyncIteration) as error:
                silent = isinstance(error, TimeoutError)
                item = _SILENT if silent else _BROKEN
            if isinstance(item, ports.Completion | failures.Failure):
                yield item
                return
            text = ''.join(item)
            if item and (len(text) > offset or not text):
                yield ports.Delta(text[offset:], len(item))
            offset = max(0, offset - len(text))

    async def cancel(self, call_id):
        if call_id in self.runs:
            self.batch.remove(self.runs[call_id], 'cancelled')

    def _note_load(self) -> None:
        now = self.clock.now()
        running, waiting = len(self.batch.running), len(self.batch.waiting)
        used, size = sum(self.batch.cache.values()), self.options.cache_tokens
        load = (running, waiting, used, size)
        state = (tuple(self.loaded), self.role, self.faults.leaving)
        self._reports.append(ports.LoadReport(self.name, now, *load, *state))
        shown = now - self.options.report_lag
        while len(self._reports) > 1 and self._reports[1].measured_at <= shown:
            self._reports.popleft()

    async def report_load(self):
        self._note_load()
        return REFUSED if self.faults.dead else self._reports[0]

    async def list_cache_events(self, after):
        shown = self.clock.now() - self.options.event_delay
        gap = self.faults.event_gap
        return [
            event
            for made_at, event in self.batch.events[after:]
            if made_at <= shown and not (gap and event.number % gap == 0)
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

    async def give_order(self, order):
        if self.faults.dead:
            return REFUSED
        if self.options.fencing and order.epoch < self.epoch:
            return failures.Failure(failures.Kind.CONFLICT, 'stale epoch')
        self.epoch = max(self.epoch, order.epoch)
        subject = order.subject
        match order.kind:
            case 'load':
                self._begin_load(order)
            case 'unload':
                self.loaded.pop(subject, None)
                self.loading.pop(subject, None)
            case 'role':
                self.role = subject
            case 'release':
                self.batch.evict(subject)
        self._note_load()

    def _begin_load(self, order: ports.Order) -> None:
        if self.loaded.get(order.subject) == order.version:
            self.loading.pop(order.subject, None)
        elif self.loading.get(order.subject) != order.version:
            self.loading[order.subject] = order.version
            delay = self.options.load_time
            self.clock.call_after(delay, lambda: self._load(order))

    def _load(self, order: ports.Order) -> None:
        if self.loading.get(order.subject) == order.version:
            self.loaded[order.subject] = self.loading.pop(order.subject)

    async def read_state(self):
        if self.faults.dead:
            return REFUSED
        models = (dict(self.loaded), dict(self.loading))
        cache = dict(self.batch.cache)
        return ports.EngineState(*models, self.role, cache, self.epoch)
