"""Finds out whether a target's process has ended under a request.

A connection that breaks off does not tell: the network may have cut it, the
target may have dropped the request and live on. The process has ended if its
address refuses connections, or if the target's row shows a process that
started soon afterwards: what accepts connections may be a proxy. A process
that was leaving has not crashed.
"""

import asyncio
import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import process_states
from vanillayoke.transport import pools

# A row of a restarted process that arrives later belongs to another end. A
# target takes some seconds to start and to register.
RESTART_WAIT_SECONDS = 6.0
MAX_WAITING = 1000
# A process that is ending may still accept connections on a busy machine.
SECOND_LOOK_SECONDS = 0.25


class BrokenAttempt(typing.NamedTuple):
    """An attempt that got no complete response.

    ``fingerprint`` is that of the request. Times are in seconds on the
    instance's clock; the target got the request at ``began_at``.
    """

    request: str
    organisation: str | None
    fingerprint: str
    target: messages.Target
    began_at: float
    broke_at: float


OnCrash = typing.Callable[[BrokenAttempt], None]


class TargetEnds:
    """Looks at targets after attempts at them broke off.

    ``on_late_crash`` is called with an attempt whose target is found to have
    crashed after ``find_state`` has returned.
    """

    def __init__(
        self,
        pool: pools.Pool,
        catalog: catalog_module.Catalog,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
        log: logs.Logger,
        metrics: metrics_module.Metrics,
        on_late_crash: OnCrash,
    ) -> None:
        self._pool = pool
        self._catalog = catalog
        self._timers = timer_service
        self._spawn = spawn
        self._log = log
        self._metrics = metrics
        self._on_late_crash = on_late_crash
        # Probes under way, by address: many attempts break off at a time.
        self._probes: dict[str, asyncio.Task[pools.Reachability]] = {}
        # Attempts whose target may still prove to have crashed, by its name.
        self._waiting: dict[str, list[BrokenAttempt]] = {}
        self._waiting_count = 0

    async def find_state(
        self, attempt: BrokenAttempt, has_timed_out: bool
    ) -> process_states.State:
        """Return the state of the target's process.

        One that did not respond in time is not probed: it may be slow, which
        a connection would not show. Its row may later show a restart.
        """
        state = self._read_row(attempt.target)
        if state is None:
            state = process_states.State.UNKNOWN
            if not has_timed_out:
                state = await self._probe(attempt.target)
        self.record(attempt, state)
        if state.may_have_crashed and self._waiting_count < MAX_WAITING:
            self._waiting.setdefault(attempt.target.name, []).append(attempt)
            self._waiting_count += 1
        if state is process_states.State.RUNNING:
            self._spawn(self._look_again(attempt))
        return state

    async def _look_again(self, attempt: BrokenAttempt) -> None:
        await self._timers.sleep(SECOND_LOOK_SECONDS)
        waiting = self._waiting.get(attempt.target.name, [])
        if attempt not in waiting:
            # The row has told meanwhile.
            return
        if self._pool.has_idle(attempt.target.address):
            # A process that ends closes its connections.
            return
        state = await self._probe(attempt.target)
        waiting = self._waiting.get(attempt.target.name, [])
        if state.has_crashed and attempt in waiting:
            waiting.remove(attempt)
            self._waiting_count -= 1
            self.record(attempt, state)
            self._on_late_crash(attempt)

    def handle_restart(self, target: messages.Target) -> None:
        """Resolve the attempts at a target's former process."""
        waiting = self._waiting.pop(target.name, ())
        self._waiting_count -= len(waiting)
        now = self._timers.now()
        for attempt in waiting:
            if (
                attempt.target.started != target.started
                and now - attempt.broke_at < RESTART_WAIT_SECONDS
            ):
                self.record(attempt, process_states.State.RESTARTED)
                self._on_late_crash(attempt)

    def prune(self) -> None:
        """Forget the attempts whose target has not restarted in time."""
        earliest = self._timers.now() - RESTART_WAIT_SECONDS
        for name, waiting in list(self._waiting.items()):
            kept = [each for each in waiting if each.broke_at >= earliest]
            self._waiting_count -= len(waiting) - len(kept)
            if kept:
                self._waiting[name] = kept
            else:
                del self._waiting[name]

    def _read_row(
        self, target: messages.Target
    ) -> process_states.State | None:
        """Return what the target's row tells, ``None`` if nothing."""
        current = self._catalog.get_target(target.name)
        if current is None or current.is_leaving:
            return process_states.State.LEAVING
        if current.started != target.started:
            return process_states.State.RESTARTED
        return None

    async def _probe(self, target: messages.Target) -> process_states.State:
        probe = self._probes.get(target.address)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(
                self._pool.probe(target.address)
            )
            self._probes[target.address] = probe
            probe.add_done_callback(
                lambda _: self._probes.pop(target.address, None)
            )
        # Others wait for the same probe.
        match await asyncio.shield(probe):
            case pools.Reachability.LISTENING:
                return process_states.State.RUNNING
            case pools.Reachability.REFUSED:
                # The row may have changed meanwhile.
                return self._read_row(target) or process_states.State.ENDED
        return process_states.State.UNKNOWN

    def record(
        self, attempt: BrokenAttempt, state: process_states.State
    ) -> None:
        """Record the state of the process after an attempt broke off."""
        target = attempt.target
        self._metrics.broken_attempts.add(1, state=state.value)
        self._log.write(
            log_events.TARGET_PROBED,
            request=attempt.request,
            organisation=attempt.organisation,
            target=target.name,
            software=target.software_version,
            address=target.address,
            started=target.started,
            state=state.value,
            fingerprint=attempt.fingerprint,
            ran_ms=round(1000 * (attempt.broke_at - attempt.began_at), 1),
        )
