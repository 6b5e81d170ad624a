"""What an instance does now and then beside its calls."""

import typing

from vanillayoke.core import metrics
from vanillayoke.core import timers
from vanillayoke.node import directory
from vanillayoke.node import hosted
from vanillayoke.node import journal
from vanillayoke.node import runs

_PURGE_INTERVAL = 30.0
_MEASURE_INTERVAL = 2.0
_EXPIRY_INTERVAL = 1.0


class Upkeep:
    """Forgets old programs, ends expired ones and sets gauges."""

    def __init__(
        self,
        clock: timers.TimerService,
        registry: metrics.Metrics,
        programs: hosted.HostedPrograms,
        lease_journal: journal.Journal,
        owned: directory.Directory,
        runner: runs.Runner,
        expire_programs: typing.Callable[[], None],
        retention: float,
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._programs = programs
        self._journal = lease_journal
        self._directory = owned
        self._runner = runner
        self._expire_programs = expire_programs
        self._retention = retention
        self._subscriptions: list[timers.Subscription] = []

    def start(self) -> None:
        """Begin; each kind of work has an interval of its own."""
        every = self._clock.call_every
        self._subscriptions = [
            every(_PURGE_INTERVAL, self._purge),
            every(_MEASURE_INTERVAL, self._measure),
            every(_EXPIRY_INTERVAL, self._expire_programs),
        ]

    def stop(self) -> None:
        """Stop all of it."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def _purge(self) -> None:
        self._programs.purge(self._clock.wall() - self._retention)

    def _measure(self) -> None:
        registry = self._registry
        registry.programs_open.set(len(self._programs.known))
        registry.shards.set(self._directory.count_shards())
        registry.streams.set(self._runner.count)
        deadline = self._journal.lease.deadline
        if deadline is not None:
            left = deadline - self._clock.now()
            registry.lease_remaining.set(round(left, 3))
