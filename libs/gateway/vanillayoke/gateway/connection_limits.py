"""The limits on connections: shares of the descriptors, log and metrics."""

import enum
import resource

from vanillayoke.core import descriptors
from vanillayoke.core import events as log_events
from vanillayoke.core import line_limits
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.transport import evictions

# In the place of a state where the new connection was closed.
NEW = 'new'


class Listener(enum.Enum):
    """The listeners of an instance; the values appear in logs and metrics."""

    CALLERS = 'callers'
    DIRECTORY = 'directory'
    READINESS = 'readiness'
    METRICS = 'metrics'
    RELAY = 'relay'


class ConnectionLimits:
    """Shares the descriptors of the process among its listeners.

    ``limit`` is that of the settings, ``None`` if they have none. A lower one
    of the operating system goes before it.
    """

    def __init__(
        self,
        limit: int | None,
        timer_service: timers.TimerService,
        log: logs.Logger,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._limit = limit
        self._process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._shares = descriptors.Shares.from_limit(self._find_limit())
        self._lines = line_limits.LineLimit(timer_service)

    def _find_limit(self) -> int:
        limits = [self._limit or self._process_limit]
        if self._process_limit != resource.RLIM_INFINITY:
            limits.append(self._process_limit)
        return min(limits)

    def check(self) -> None:
        """Log a limit of the process that is below that of its settings."""
        if self._limit is not None and self._find_limit() < self._limit:
            self._log.write(
                log_events.DESCRIPTOR_LIMIT_LOW,
                limit=self._process_limit,
                settings=self._limit,
                callers=self._shares.callers,
            )

    def get_share(self, listener: Listener) -> int:
        """Return how many connections a listener may have."""
        if listener is Listener.CALLERS:
            return self._shares.callers
        return self._shares.auxiliary

    def record(
        self, listener: Listener, state: evictions.State | None
    ) -> None:
        """Record a connection that was closed to make room for another.

        ``state`` is ``None`` if the new one was closed.
        """
        label = NEW if state is None else state.label
        self._metrics.connections_evicted.add(
            1, listener=listener.value, state=label
        )
        count = self._lines.count(listener)
        if count is not None:
            self._log.write(
                log_events.CONNECTIONS_EVICTED,
                listener=listener.value,
                limit=self.get_share(listener),
                count=count,
                state=label,
            )
