"""One instance's view of each target's load, cache and health."""

import random
import typing

from vanillayoke.scheduling import breakers
from vanillayoke.scheduling import calls


class TargetView:
    """A target's last load report, combined with this instance's own calls.

    A report contains the calls of all instances at an earlier time. This
    instance knows its own calls exactly, so the estimates replace its part of
    the report with its present calls. ``own_cache_tokens`` are the cached
    tokens of this instance's programs, ``reserved_tokens`` those that the
    programs started since the last report are expected to use, and
    ``event_gaps`` counts losses of cache events.
    """

    def __init__(
        self, spec: calls.TargetSpec, breaker: breakers.Breaker
    ) -> None:
        self.spec = spec
        self.breaker = breaker
        self.report: calls.TargetReport | None = None
        self.own_calls: set[str] = set()
        self.own_cache_tokens = 0
        self.reserved_tokens = 0
        self.event_gaps = 0
        self.leaving = False
        self.healthy = True
        self._own_calls_at_report = 0
        self._own_cache_at_report = 0

    def observe(self, report: calls.TargetReport) -> None:
        """Store a load report unless it is older than the last one."""
        last = self.report
        if last is not None and report.received_at < last.received_at:
            return
        self.report = report
        self.reserved_tokens = 0
        self._own_calls_at_report = len(self.own_calls)
        self._own_cache_at_report = self.own_cache_tokens
        self.leaving = self.leaving or report.leaving

    def estimate_load(self) -> int:
        """Return the estimated number of running and waiting calls."""
        return self.count_others() + len(self.own_calls)

    def count_others(self) -> int:
        """Return the number of calls of other instances, as last reported."""
        if self.report is None:
            return 0
        reported = self.report.running + self.report.waiting
        return max(0, reported - self._own_calls_at_report)

    def estimate_free_cache(self) -> int:
        """Return the estimated number of free cache tokens."""
        others = 0
        if self.report is not None:
            others = max(0, self.report.cache_used - self._own_cache_at_report)
        return self.spec.cache_tokens - others - self.own_cache_tokens

    def takes_work(self, now: float) -> bool:
        """Return whether new calls may be sent to the target at all."""
        if self.leaving or not self.healthy:
            return False
        return self.breaker.allows(now)

    def serves(self, model: str, version: str) -> bool:
        """Return whether a model is loaded; ``True`` without a report."""
        if self.report is None or not self.report.models:
            return True
        return (model, version) in self.report.models


class TargetIndex:
    """All targets, indexed by the requirements of calls."""

    def __init__(self, region: str, rng: random.Random) -> None:
        self._region = region
        self._rng = rng
        self._views: dict[str, TargetView] = {}
        self._pools: dict[tuple[str, str, str], list[TargetView]] = {}

    def replace(self, specs: typing.Iterable[calls.TargetSpec]) -> None:
        """Set the targets, keeping the views of those that stay."""
        old = self._views
        self._views = {}
        for spec in specs:
            view = old.get(spec.target)
            if view is None:
                view = TargetView(spec, breakers.Breaker(self._rng))
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
        """Store a load report; return its target's view, if configured."""
        view = self._views.get(report.target)
        if view is None:
            return None
        previous_models = view.report.models if view.report else None
        view.observe(report)
        if previous_models != report.models:
            self._pools.clear()
        return view

    def list_pool(self, demand: calls.CallDemand) -> list[TargetView]:
        """Return the targets that fulfil a call's requirements.

        These are the ones in the instance's region if there are any, else
        all. The list is cached until a target's models change, and must not
        be modified.
        """
        key = (demand.model, demand.version, demand.group)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = self._make_pool(demand)
        return pool

    def sample(
        self, demand: calls.CallDemand, count: int, now: float
    ) -> list[TargetView]:
        """Return up to ``count`` random targets that may be sent a call now.

        All targets are checked only if none of a random sample may be sent a
        call, as when most targets have failed.
        """
        pool = self.list_pool(demand)
        sampled = pool
        if len(pool) > 2 * count:
            sampled = self._rng.sample(pool, 2 * count)
        eligible = [view for view in sampled if may_take(view, demand, now)]
        if not eligible and sampled is not pool:
            eligible = [view for view in pool if may_take(view, demand, now)]
        if len(eligible) > count:
            eligible = self._rng.sample(eligible, count)
        return eligible

    def _make_pool(self, demand: calls.CallDemand) -> list[TargetView]:
        eligible = [
            view for view in self._views.values() if _fits(view, demand)
        ]
        local = [view for view in eligible if view.spec.region == self._region]
        return local or eligible


def _fits(view: TargetView, demand: calls.CallDemand) -> bool:
    if demand.group:
        return view.spec.kind == 'service' and view.spec.group == demand.group
    if view.spec.kind != 'engine':
        return False
    return view.serves(demand.model, demand.version)


def may_take(view: TargetView, demand: calls.CallDemand, now: float) -> bool:
    """Return whether a target may be sent a call now."""
    return view.spec.target not in demand.avoid and view.takes_work(now)
