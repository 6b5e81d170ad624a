"""The memory limit of an instance: admission of requests, log and metrics."""

import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import line_limits
from vanillayoke.core import logs
from vanillayoke.core import memory
from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import refusals
from vanillayoke.scheduling import response_sizes
from vanillayoke.transport import server


class MemoryLimit:
    """Keeps what the instance holds for others within its memory limit.

    Without a limit, ``account`` is ``None`` and nothing is counted.
    """

    def __init__(
        self,
        settings: messages.Settings,
        timer_service: timers.TimerService,
        log: logs.Logger,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._timers = timer_service
        self._log = log
        self._metrics = metrics
        self._sizes = response_sizes.ResponseSizes()
        # Keys with a request that was admitted although its response is
        # expected to be too large.
        self._probed_keys: set[tuple[str, str | None]] = set()
        self._pressure_started_at = 0.0
        self._refused_count = 0
        self._refused_bodies = line_limits.LineLimit(timer_service)
        self._clear_caches: typing.Callable[[], None] = lambda: None
        self.account: memory.Account | None = None
        if settings.has_feature(messages.Feature.MEMORY_LIMIT):
            self.account = memory.Account(
                memory.compute_capacity(settings.memory_limit),
                self._record_pressure,
            )

    def set_cache(self, clear: typing.Callable[[], None]) -> None:
        """Set what is called to clear caches when memory becomes short."""
        self._clear_caches = clear

    def admit(
        self, route: str, organisation: str | None
    ) -> memory.Reservation | None:
        """Reserve memory for the response to a request.

        Raise ``RefusalError`` if there is none. Expected small responses may
        use memory that large ones may not.
        """
        if self.account is None:
            return None
        key = route, organisation
        size = self._sizes.estimate(key)
        if not self.account.has_room(memory.Kind.EXPECTED, size):
            # One at a time is tried, since the responses may have become
            # smaller; if it is large, it waits for memory.
            may_probe = key not in self._probed_keys
            size = min(size, memory.LARGE_BYTES)
            if not may_probe or not self.account.has_room(
                memory.Kind.EXPECTED, size
            ):
                self._refuse()
            self._probed_keys.add(key)
        return self.account.reserve(memory.Kind.EXPECTED, size)

    def finish(
        self,
        route: str,
        organisation: str | None,
        expected: memory.Reservation | None,
        size: int | None,
    ) -> None:
        """Record the size of a response, ``None`` if there was none.

        ``expected`` is what ``admit`` returned.
        """
        if expected is None:
            return
        expected.release()
        key = route, organisation
        self._probed_keys.discard(key)
        if size is not None:
            self._sizes.learn(key, size)

    def _refuse(self) -> typing.NoReturn:
        self._record_refusal('request')
        self.account.record_refusal()
        raise refusals.RefusalError(
            refusals.Reason.MEMORY,
            f'{self.account.total} of {self.account.capacity} bytes held',
        )

    def record_refused_body(self, size: int) -> None:
        """Record a request whose body found no memory in time."""
        self._record_refusal('body')
        count = self._refused_bodies.count()
        if count is not None:
            self._log.write(
                log_events.BODY_REFUSED,
                bytes=size,
                held=self.account.total,
                count=count,
            )

    def record_stalled_caller(self, caller: server.StalledCaller) -> None:
        """Record a caller that was disconnected because it does not read."""
        self._metrics.memory_refusals.add(1, kind='caller')
        self._log.write(
            log_events.CALLER_NOT_READING,
            request=caller.request,
            address=caller.address,
            bytes=caller.unsent_bytes,
            seconds=round(caller.seconds, 1),
            held=self.account.total,
        )

    def update_metrics(self) -> None:
        """Set the metrics of held bytes."""
        if self.account is not None:
            for kind, size in self.account.held.items():
                self._metrics.held_bytes.set(size, kind=kind.label)

    def _record_refusal(self, kind: str) -> None:
        self._refused_count += 1
        self._metrics.memory_refusals.add(1, kind=kind)

    def _record_pressure(self, is_pressed: bool) -> None:
        now = self._timers.now()
        if is_pressed:
            self._pressure_started_at = now
            self._refused_count = 0
            held = {
                kind.label: size for kind, size in self.account.held.items()
            }
            self._log.write(
                log_events.MEMORY_PRESSURE_ENTERED,
                held=self.account.total,
                capacity=self.account.capacity,
                **held,
            )
            self._clear_caches()
            return
        self._log.write(
            log_events.MEMORY_PRESSURE_LEFT,
            held=self.account.total,
            seconds=round(now - self._pressure_started_at, 1),
            refused=self._refused_count,
        )
