"""What a run measures, with the programs that did not finish charged."""

import collections
import typing

from vanillayoke.bench import workload

WARM_UP_SECONDS = 15.0
"""Programs that arrive earlier are run but not measured."""

UNFINISHED_SECONDS = 300.0
"""Latency charged for a program that was refused, failed or is still open.

Without it a policy could look fast by refusing the long programs. It is
well above what the slowest finished programs take beside their own pauses.
"""

SHORT_TURNS = 6
LONG_TURNS = 20


class Figures(typing.NamedTuple):
    """The figures of one run.

    Latencies are in seconds of whole programs, from arrival to the last
    answer. ``work_rate`` is the work of programs that were done in time, in
    engine seconds for each second of arrivals. ``recomputed_tokens`` is
    per answered model call; ``held_token_seconds`` counts memory of
    programs that ended or whose caller never comes back.
    """

    programs: int
    finished: int
    in_time: int
    refused: int
    failed: int
    latency_mean: float
    latency_p50: float
    latency_p95: float
    short_mean: float
    long_mean: float
    urgent_p95: float
    work_rate: float
    recomputed_tokens: float
    held_token_seconds: float
    calls: int


class Recorder:
    """Collects the ends of programs and what their memory was held for."""

    def __init__(self, last_arrival: float) -> None:
        self.open_programs = 0
        self.answered_calls = 0
        self._last_arrival = last_arrival
        self._latencies: dict[str, float] = {}
        self._plans: dict[str, workload.Plan] = {}
        self._in_time: set[str] = set()
        self._reasons: collections.Counter[str] = collections.Counter()
        self._held = 0.0

    def note_open(self, plan: workload.Plan) -> None:
        """Count a root program that arrived."""
        self.open_programs += 1
        if plan.at >= WARM_UP_SECONDS and not workload.vanishes(plan):
            self._plans[plan.name] = plan

    def note_finished(
        self, plan: workload.Plan, latency: float, in_time: bool
    ) -> None:
        """Take in a root program's whole latency."""
        self.open_programs -= 1
        if plan.name in self._plans:
            self._latencies[plan.name] = latency
            if in_time:
                self._in_time.add(plan.name)

    def note_failed(self, plan: workload.Plan, reason: str) -> None:
        """Take in that a root program will not finish."""
        self.open_programs -= 1
        if plan.name in self._plans:
            self._reasons[reason] += 1

    def note_held(self, tokens: int, ended: float, now: float) -> None:
        """Count an ended program's memory, while programs arrive."""
        seconds = min(now, self._last_arrival) - ended
        if seconds > 0:
            self._held += tokens * seconds

    def summarize(self, recomputed_tokens: int) -> Figures:
        """Return the run's figures."""
        charged = {
            name: self._latencies.get(name, UNFINISHED_SECONDS)
            for name in self._plans
        }
        work = sum(
            workload.measure_work(self._plans[name])
            for name in sorted(self._in_time)
        )
        refused = self._reasons['refused']
        return Figures(
            programs=len(self._plans),
            finished=len(self._latencies),
            in_time=len(self._in_time),
            refused=refused,
            failed=len(self._plans) - len(self._latencies) - refused,
            latency_mean=_average(charged.values()),
            latency_p50=_find_quantile(charged.values(), 0.5),
            latency_p95=_find_quantile(charged.values(), 0.95),
            short_mean=_average(self._select(charged, 0, SHORT_TURNS, False)),
            long_mean=_average(
                self._select(charged, LONG_TURNS, 1 << 30, False)
            ),
            urgent_p95=_find_quantile(
                self._select(charged, 0, 1 << 30, True), 0.95
            ),
            work_rate=work / (self._last_arrival - WARM_UP_SECONDS),
            recomputed_tokens=recomputed_tokens / max(1, self.answered_calls),
            held_token_seconds=self._held,
            calls=self.answered_calls,
        )

    def _select(
        self, charged: dict[str, float], least: int, most: int, urgent: bool
    ) -> list[float]:
        return [
            latency
            for name, latency in charged.items()
            if least <= len(self._plans[name].turns) <= most
            and self._plans[name].urgent == urgent
        ]


def _average(values: typing.Collection[float]) -> float:
    return sum(values) / max(1, len(values))


def _find_quantile(values: typing.Collection[float], part: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
