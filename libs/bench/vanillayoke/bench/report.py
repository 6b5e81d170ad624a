"""Figures of benches as JSON lines, with the bounds they must keep."""

import json
import typing


class Figure(typing.NamedTuple):
    """One measured figure.

    ``baseline`` is the best plain policy's value, or another run's;
    ``bound`` is for ``ratio``, the value over the baseline: at most, or at
    least where ``least`` is set. Without a bound it is told only.
    """

    bench: str
    metric: str
    value: float
    baseline: float | None = None
    bound: float | None = None
    least: bool = False

    @property
    def ratio(self) -> float | None:
        """Return value over baseline; 1 where both are 0."""
        if self.baseline is None:
            return None
        if self.baseline == 0:
            return 1.0 if self.value == 0 else None
        return self.value / self.baseline

    @property
    def ok(self) -> bool:
        """Tell whether the bound is kept; a missing ratio breaks it."""
        if self.bound is None:
            return True
        if self.ratio is None:
            return False
        if self.least:
            return self.ratio >= self.bound
        return self.ratio <= self.bound


def format_line(figure: Figure) -> str:
    """Return the figure as one JSON line."""
    return json.dumps(
        {
            'bench': figure.bench,
            'metric': figure.metric,
            'value': _round(figure.value),
            'baseline': _round(figure.baseline),
            'ratio': _round(figure.ratio),
            'bound': figure.bound,
            'ok': figure.ok,
        }
    )


def _round(value: float | None) -> float | None:
    return None if value is None else float(f'{value:.6g}')
