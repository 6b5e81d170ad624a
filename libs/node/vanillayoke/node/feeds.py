"""Load reports and cache events of all targets, read at intervals."""

import asyncio
import dataclasses
import random
import typing

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.node import configuration
from vanillayoke.node import parts
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import scheduler
from vanillayoke.settings import configuration as settings
from vanillayoke.targets import ports

INTERVAL = 0.5
DISTANT_INTERVAL = 5.0
STATE_INTERVAL = 3.0
# Polls a second of one instance, however many targets there are: of targets
# in its own region, and of all others.
LOCAL_POLLS = 8.0
DISTANT_POLLS = 1.0
_SPREAD = 0.2
_FAILURES_TO_DOUBT = 2

LeavingCallback = typing.Callable[[str], None]
Reconcile = typing.Callable[[str, str], None]


@dataclasses.dataclass(slots=True)
class _Feed:
    """What is known of one target's feed."""

    task: asyncio.Task | None = None
    last_event: int = 0
    state_due: float = 0.0
    failed: int = 0
    leaving: bool = False
    healthy: bool = True
    report: ports.LoadReport | None = None


class Intervals(typing.NamedTuple):
    """Seconds between two polls of one target, near and far."""

    local: float
    distant: float


def find_intervals(local: int, distant: int) -> Intervals:
    """Return how often to poll, given how many targets there are.

    An instance's polls a second are bounded. With many targets each
    instance sees each one late, but many instances look: the first to see
    that a target leaves tells the others.
    """
    return Intervals(
        max(INTERVAL, local / LOCAL_POLLS),
        max(DISTANT_INTERVAL, distant / DISTANT_POLLS),
    )


class TargetFeeds:
    """Polls every configured target and tells the scheduler.

    Each target is polled on its own, so that one that hangs delays no
    other's news.
    """

    def __init__(
        self,
        holder: configuration.ConfigurationHolder,
        adapters: parts.Adapters,
        decisions: scheduler.Scheduler,
        clock: timers.TimerService,
        logger: logs.Logger,
        source: random.Random,
        pump: typing.Callable[[], None],
        reconcile: Reconcile,
        region: str,
    ) -> None:
        self._holder = holder
        self._adapters = adapters
        self._scheduler = decisions
        self._clock = clock
        self._logger = logger
        self._source = source
        self._pump = pump
        self._reconcile = reconcile
        self._region = region
        self._intervals = find_intervals(0, 0)
        self._feeds: dict[str, _Feed] = {}
        self._listeners: list[LeavingCallback] = []

    def subscribe_leaving(self, callback: LeavingCallback) -> None:
        """Call back with each target that says that it is leaving."""
        self._listeners.append(callback)

    def update(self, targets: typing.Iterable[str]) -> None:
        """Poll these targets and no others from now on."""
        wanted = set(targets)
        local = sum(self._is_local(name) for name in wanted)
        self._intervals = find_intervals(local, len(wanted) - local)
        for name in self._feeds.keys() - wanted:
            self._stop_feed(self._feeds.pop(name))
        for name in sorted(wanted - self._feeds.keys()):
            feed = _Feed()
            self._feeds[name] = feed
            feed.task = asyncio.ensure_future(self._follow(name, feed))

    def stop(self) -> None:
        """Stop polling."""
        self.update(())

    def find_report(self, target: str) -> ports.LoadReport | None:
        """Return a target's last load report."""
        feed = self._feeds.get(target)
        return feed.report if feed else None

    def is_healthy(self, target: str) -> bool:
        """Tell whether a target answered its last polls."""
        feed = self._feeds.get(target)
        return feed is not None and feed.healthy

    def mark_leaving(self, target: str) -> None:
        """Give a target no new work, as another instance told."""
        feed = self._feeds.get(target)
        if feed is not None and not feed.leaving:
            feed.leaving = True
            self._scheduler.mark_leaving(target)
            self._logger.write(events.TARGET_LEAVING, target=target)

    def _stop_feed(self, feed: _Feed) -> None:
        if feed.task is not None:
            feed.task.cancel()

    async def _follow(self, name: str, feed: _Feed) -> None:
        while True:
            await self._poll(name, feed)
            self._pump()
            spread = 1 + self._source.uniform(-_SPREAD, _SPREAD)
            await self._clock.sleep(self._find_interval(name) * spread)

    def _is_local(self, name: str) -> bool:
        settings = self._holder.current.targets.get(name)
        return settings is not None and settings.region == self._region

    def _find_interval(self, name: str) -> float:
        if self._is_local(name):
            return self._intervals.local
        return self._intervals.distant

    async def _poll(self, name: str, feed: _Feed) -> None:
        engine = self._adapters.get_engine(name)
        target = engine or self._adapters.get_service(name)
        if target is None:
            return
        report = await target.report_load()
        if failures.is_failure(report):
            self._note_failure(name, feed, report)
            return
        self._note_report(name, feed, report)
        if engine is not None:
            await self._read_cache_events(name, feed, engine)

    def _note_failure(
        self, name: str, feed: _Feed, failure: failures.Failure
    ) -> None:
        feed.failed += 1
        if feed.failed < _FAILURES_TO_DOUBT or not feed.healthy:
            return
        feed.healthy = False
        self._scheduler.observe_health(name, False, self._clock.now())
        self._logger.write(
            events.TARGET_FAILED, target=name, reason=failure.reason
        )

    def _note_report(
        self, name: str, feed: _Feed, report: ports.LoadReport
    ) -> None:
        feed.failed = 0
        if not feed.healthy:
            feed.healthy = True
            self._scheduler.observe_health(name, True, self._clock.now())
            self._logger.write(events.TARGET_RECOVERED, target=name)
        feed.report = report
        self._scheduler.observe_report(self._translate(name, report))
        if report.leaving and not feed.leaving:
            self.mark_leaving(name)
            for listener in self._listeners:
                listener(name)

    def _translate(
        self, name: str, report: ports.LoadReport
    ) -> calls.TargetReport:
        models = self._holder.current.models
        default = settings.ModelSettings()
        return calls.TargetReport(
            target=name,
            received_at=self._clock.now(),
            running=report.running,
            waiting=report.waiting,
            cache_used=report.cache_used,
            cache_size=report.cache_size,
            models=frozenset(
                (model, models.get(model, default).version)
                for model in report.models
            ),
            role=report.role,
            leaving=report.leaving,
        )

    async def _read_cache_events(
        self, name: str, feed: _Feed, engine: ports.Engine
    ) -> None:
        found = await engine.list_cache_events(feed.last_event)
        if failures.is_failure(found):
            return
        for event in found:
            if event.number > feed.last_event + 1:
                self._scheduler.observe_gap(name)
            feed.last_event = max(feed.last_event, event.number)
            self._scheduler.observe_cache(
                name, event.session, event.tokens, event.kind
            )
        now = self._clock.now()
        if now >= feed.state_due:
            feed.state_due = now + STATE_INTERVAL
            await self._read_sessions(name, engine)

    async def _read_sessions(self, name: str, engine: ports.Engine) -> None:
        """Compare what an engine holds with what it should.

        Events can be lost; the engine's own state cannot.
        """
        asked_at = self._clock.now()
        state = await engine.read_state()
        if failures.is_failure(state):
            return
        self._scheduler.reconcile(name, state.sessions, asked_at)
        for session in state.sessions:
            self._reconcile(name, session)
