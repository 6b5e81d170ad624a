"""What one instance believes of each target's load, memory and health."""

import random
import typing

from vanillayoke.scheduling import breakers
from vanillayoke.scheduling import calls


class TargetView:
    """A target as this instance sees it: a late report and its own calls.

    A report counts everybody's calls as of some time ago. The calls that
    this instance sent since are known exactly, so the estimates replace the
    instance's own part of a report by what it has there now. ``kept`` are
    the tokens of this instance's programs there, ``promised`` those that
    programs started since the last report may come to use, ``gaps`` counts
    losses of cache events.
    """

    def __init__(
        self, spec: calls.TargetSpec, breaker: breakers.Breaker
    ) -> None:
        self.spec = spec
        self.breaker = breaker
        self.report: calls.TargetReport | None = None
        self.own: set[str] = set()
        self.kept = 0
        self.promised = 0
        self.gaps = 0
        self.leaving = False
        self.healthy = True
        self._own_at_report = 0
        self._kept_at_report = 0

    def observe(self, report: calls.TargetReport) -> None:
        """Take in a load report; one that is older than the last is lost."""
        last = self.report
        if last is not None and report.received_at < last.received_at:
            return
        self.report = report
        self.promised = 0
        self._own_at_report = len(self.own)
        self._kept_at_report = self.kept
        self.leaving = self.leaving or report.leaving

    def estimate_load(self) -> int:
        """Return the calls that run and wait there, as far as known."""
        return self.count_others() + len(self.own)

    def count_others(self) -> int:
        """Return the calls of other instances, as last reported."""
        if self.report is None:
            return 0
        reported = self.report.running + self.report.waiting
        return max(0, reported - self._own_at_report)

    def estimate_room(self) -> int:
        """Return the cache tokens that nobody is known to use."""
        others = 0
        if self.report is not None:
            others = max(0, self.report.cache_used - self._kept_at_report)
        return self.spec.cache_tokens - others - self.kept

    def takes_work(self, now: float) -> bool:
        """Tell whether new calls may be sent there at all."""
        if self.leaving or not self.healthy:
            return False
        return self.breaker.allows(now)

    def serves(self, model: str, version: str) -> bool:
        """Tell whether the model is loaded; without a report, assume so."""
        if self.report is None or not self.report.models:
            return True
        return (model, version) in self.report.models


class TargetIndex:
    """All targets, indexed by what a call asks for."""

    def __init__(self, region: str, source: random.Random) -> None:
        self._region = region
        self._source = source
        self._views: dict[str, TargetView] = {}
        self._pools: dict[tuple[str, str, str], list[TargetView]] = {}

    def replace(self, specs: typing.Iterable[calls.TargetSpec]) -> None:
        """Configure the targets, keeping what is known of those that stay."""
        old = self._views
        self._views = {}
        for spec in specs:
            view = old.get(spec.target)
            if view is None:
                view = TargetView(spec, breakers.Breaker(self._source))
            view.spec = spec
            self._views[spec.target] = view
        self._pools.clear()

    def get(self, target: str) -> TargetView | None:
        """Return a target's view, ``None`` where it is not configured."""
        return self._views.get(target)

    def list_names(self) -> frozenset[str]:
        """Return the names of all configured targets."""
        return frozenset(self._views)

    def observe(self, report: calls.TargetReport) -> TargetView | None:
        """Take in a load report; return the target's view."""
        view = self._views.get(report.target)
        if view is None:
            return None
        before = view.report.models if view.report else None
        view.observe(report)
        if before != report.models:
            self._pools.clear()
        return view

    def list_pool(self, demand: calls.CallDemand) -> list[TargetView]:
        """Return the targets that have what a call needs.

        Those of the own region if there are any, else all. The list is
        kept until a target's models change, so that a decision does not
        scan all targets; it must not be changed.
        """
        key = (demand.model, demand.version, demand.group)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = self._make_pool(demand)
        return pool

    def sample(
        self, demand: calls.CallDemand, count: int, now: float
    ) -> list[TargetView]:
        """Return up to ``count`` targets that may be sent a call now.

        They are drawn at random; all are looked at only where the draws
        find none, as when most targets have failed.
        """
        pool = self.list_pool(demand)
        drawn = pool
        if len(pool) > 2 * count:
            drawn = self._source.sample(pool, 2 * count)
        able = [view for view in drawn if may_take(view, demand, now)]
        if not able and drawn is not pool:
            able = [view for view in pool if may_take(view, demand, now)]
        if len(able) > count:
            able = self._source.sample(able, count)
        return able

    def _make_pool(self, demand: calls.CallDemand) -> list[TargetView]:
        able = [view for view in self._views.values() if _fits(view, demand)]
        near = [view for view in able if view.spec.region == self._region]
        return near or able


def _fits(view: TargetView, demand: calls.CallDemand) -> bool:
    if demand.group:
        return view.spec.kind == 'service' and view.spec.group == demand.group
    if view.spec.kind != 'engine':
        return False
    return view.serves(demand.model, demand.version)


def may_take(view: TargetView, demand: calls.CallDemand, now: float) -> bool:
    """Tell whether a target may be sent a call now."""
    return view.spec.target not in demand.avoid and view.takes_work(now)
