"""Plain policies that the scheduler is measured against.

They send every call at once with the same priority, so that an engine runs
them first come, first served, and leave the cache to the engine's own
eviction of the least recently used.
"""

import random
import typing

from vanillayoke.scheduling import calls
from vanillayoke.scheduling import views


class Baseline:
    """What all baselines share; ``choose`` differs."""

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._index = views.TargetIndex('r', source)
        self._queue: list[calls.CallDemand] = []

    def set_targets(self, specs: typing.Sequence[calls.TargetSpec]) -> None:
        """Take over the configured targets."""
        self._index.replace(specs)

    def submit(self, demand: calls.CallDemand, now: float) -> None:
        """Queue a call until ``decide``."""
        self._queue.append(demand)

    def withdraw(self, call: str) -> None:
        """Do nothing: no call ever waits here."""

    def observe_report(self, report: calls.TargetReport) -> None:
        """Take in a load report."""
        self._index.observe(report)

    def observe_cache(
        self, target: str, session: str, tokens: int, kind: str
    ) -> None:
        """Ignore the cache."""

    def observe_gap(self, target: str) -> None:
        """Ignore the cache."""

    def observe_health(self, target: str, healthy: bool, now: float) -> None:
        """Take in whether a target can be reached."""
        view = self._index.get(target)
        if view is not None:
            view.healthy = healthy

    def decide(self, now: float) -> list[calls.Decision]:
        """Place every call at once."""
        placed = []
        for demand in self._queue:
            able = [
                view
                for view in self._index.list_pool(demand)
                if view.takes_work(now)
            ]
            view = self.choose(demand, able)
            target = view.spec.target
            placed.append(calls.Placement(demand.call, target, 0, ()))
        self._queue.clear()
        return placed

    def choose(
        self, demand: calls.CallDemand, able: list[views.TargetView]
    ) -> views.TargetView:
        """Choose one of the targets that are able to run the call."""
        reported = [_read_load(view) for view in able]
        lowest = min(reported)
        best = [
            view
            for view, load in zip(able, reported, strict=True)
            if load == lowest
        ]
        return self._source.choice(best)

    def finish(self, outcome: calls.Outcome, now: float) -> None:
        """Forget nothing: nothing was kept."""

    def pause(self, program: str, tool: str, now: float) -> None:
        """Ignore a tool pause."""

    def end(self, program: str, now: float) -> None:
        """Leave the memory to the engine's eviction."""

    def release_confirmed(self, target: str, program: str) -> None:
        """Ignore a release; none is asked for."""

    def next_wake(self, now: float) -> float | None:
        """Return ``None``: nothing waits here."""
        return None


class RoundRobin(Baseline):
    """One target after the other, first come, first served."""

    def __init__(self, source: random.Random) -> None:
        super().__init__(source)
        self._turn = source.randrange(1000)

    def choose(
        self, demand: calls.CallDemand, able: list[views.TargetView]
    ) -> views.TargetView:
        """Choose the next target."""
        self._turn += 1
        return able[self._turn % len(able)]


class LeastLoad(Baseline):
    """The target that reported the least load last."""


class Sticky(Baseline):
    """By program id: the least loaded at its start, the same ever after."""

    def __init__(self, source: random.Random) -> None:
        super().__init__(source)
        self._homes: dict[str, str] = {}

    def choose(
        self, demand: calls.CallDemand, able: list[views.TargetView]
    ) -> views.TargetView:
        """Choose the program's target while that can be reached."""
        if demand.group:
            return super().choose(demand, able)
        home = self._homes.get(demand.program)
        for view in able:
            if view.spec.target == home:
                return view
        view = super().choose(demand, able)
        self._homes[demand.program] = view.spec.target
        return view

    def end(self, program: str, now: float) -> None:
        """Forget an ended program."""
        self._homes.pop(program, None)


def _read_load(view: views.TargetView) -> int:
    if view.report is None:
        return 0
    return view.report.running + view.report.waiting


BASELINES: dict[str, type[Baseline]] = {
    'round_robin': RoundRobin,
    'least_load': LeastLoad,
    'sticky': Sticky,
}
