"""What one instance believes of each target's load and health."""

import typing

from vanillayoke.scheduling import calls

REPORT_LAG = 2.0
"""Seconds after which a report is no longer worth trusting in full."""


class TargetView:
    """A target as this instance sees it: a late report and its own calls.

    A report counts everybody's calls as of some time ago. The calls that
    this instance sent since are known exactly, so the estimate replaces the
    instance's own part of the report by what it has in flight now.
    """

    def __init__(self, spec: calls.TargetSpec) -> None:
        self.spec = spec
        self.report: calls.TargetReport | None = None
        self.own: dict[str, float] = {}
        self.leaving = False
        self.healthy = True
        self._own_at_report = 0

    def observe(self, report: calls.TargetReport) -> None:
        """Take in a load report; one that is older than the last is lost."""
        last = self.report
        if last is not None and report.received_at < last.received_at:
            return
        self.report = report
        self._own_at_report = len(self.own)
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

    def takes_work(self) -> bool:
        """Tell whether new calls may be sent there at all."""
        return self.healthy and not self.leaving

    def serves(self, model: str, version: str) -> bool:
        """Tell whether the model is loaded; without a report, assume so."""
        if self.report is None or not self.report.models:
            return True
        return (model, version) in self.report.models


class TargetIndex:
    """All targets, indexed by what a call asks for."""

    def __init__(self) -> None:
        self._views: dict[str, TargetView] = {}
        self._engines: list[TargetView] = []
        self._groups: dict[str, list[TargetView]] = {}

    def replace(self, specs: typing.Iterable[calls.TargetSpec]) -> None:
        """Configure the targets, keeping what is known of those that stay."""
        old = self._views
        self._views = {}
        for spec in specs:
            view = old.get(spec.target) or TargetView(spec)
            view.spec = spec
            self._views[spec.target] = view
        self._engines = []
        self._groups = {}
        for view in self._views.values():
            if view.spec.kind == 'engine':
                self._engines.append(view)
            else:
                self._groups.setdefault(view.spec.group, []).append(view)

    def get(self, target: str) -> TargetView | None:
        """Return a target's view, ``None`` where it is not configured."""
        return self._views.get(target)

    def list_candidates(self, demand: calls.CallDemand) -> list[TargetView]:
        """Return the targets of the kind that a call needs.

        The list is shared and must not be changed.
        """
        if demand.group:
            return self._groups.get(demand.group, [])
        return self._engines
