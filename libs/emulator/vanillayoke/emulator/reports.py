"""Reports on emulations: statistics over seeds as a table and HTML page."""

import html
import math
import statistics
import typing

from vanillayoke.emulator import emulation
from vanillayoke.emulator import scenarios

_COLOURS = (
    '#1b6ca8', '#c0392b', '#2e8b57', '#8e44ad', '#b9770e', '#555', '#d66ba0',
)  # fmt: skip
_WIDTH, _HEIGHT, _MARGIN = 640, 200, 40


class Figure(typing.NamedTuple):
    """A mean over seeds and the half width of its 95% interval."""

    mean: float
    spread: float

    def __str__(self) -> str:
        return f'{self.mean:.3f} +-{self.spread:.3f}'


class Row(typing.NamedTuple):
    """The figures of one policy."""

    policy: str
    worth: Figure
    in_time: Figure
    failed: Figure
    median: Figure
    slow: Figure
    shed: Figure
    preempted: Figure


TITLES = (
    'policy',
    'worth',
    'in time',
    'failed',
    'p50 time/aim',
    'p95 time/aim',
    'shed per turn',
    'preempted per turn',
)


def make_figure(values: typing.Sequence[float]) -> Figure:
    """Return the mean of values and its confidence interval."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return Figure(mean, math.nan)
    error = statistics.stdev(values) / math.sqrt(len(values))
    return Figure(mean, 1.96 * error)


def make_row(
    policy: str, results: typing.Sequence[emulation.RunResult]
) -> Row:
    """Return the figures of a policy."""
    return Row(
        policy,
        make_figure([_compute_worth(result) for result in results]),
        make_figure(
            [_compute_share(result, _is_in_time) for result in results]
        ),
        make_figure(
            [_compute_share(result, _has_failed) for result in results]
        ),
        make_figure([_compute_quantile(result, 0.5) for result in results]),
        make_figure([_compute_quantile(result, 0.95) for result in results]),
        make_figure(
            [result.shed / max(1, result.turns) for result in results]
        ),
        make_figure(
            [result.preempted / max(1, result.turns) for result in results]
        ),
    )


def _compute_worth(result: emulation.RunResult) -> float:
    total = sum(outcome.worth for outcome in result.outcomes)
    return (
        sum(outcome.earned for outcome in result.outcomes) / total
        if total
        else 0.0
    )


def _compute_share(
    result: emulation.RunResult,
    predicate: typing.Callable[[emulation.Outcome], bool],
) -> float:
    return sum(map(predicate, result.outcomes)) / max(1, len(result.outcomes))


def _is_in_time(outcome: emulation.Outcome) -> bool:
    return (
        outcome.duration is not None and outcome.duration <= outcome.time_limit
    )


def _has_failed(outcome: emulation.Outcome) -> bool:
    return outcome.duration is None


def _compute_quantile(result: emulation.RunResult, quantile: float) -> float:
    """Return a quantile of the programs' durations over their time limits.

    The ratio is clipped to 2, which also stands for failed programs.
    """
    ratios = sorted(
        min(2.0, outcome.duration / outcome.time_limit)
        if outcome.duration is not None
        else 2.0
        for outcome in result.outcomes
    )
    return ratios[int(quantile * (len(ratios) - 1))] if ratios else 0.0


def format_table(rows: typing.Sequence[Row]) -> str:
    """Return the rows as a text table."""
    cells = [TITLES, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(TITLES))]
    lines = []
    for row in cells:
        padded = map(str.ljust, row, widths)
        lines.append('  '.join(padded).rstrip())
    return '\n'.join(lines)


def render_page(
    scenario: scenarios.Scenario,
    rows: typing.Sequence[Row],
    results: typing.Mapping[str, typing.Sequence[emulation.RunResult]],
) -> str:
    """Return an HTML page with the table and plots over time."""
    in_time = {
        name: _make_series(list(runs), scenario.seconds)
        for name, runs in results.items()
    }
    fill = {
        name: _average_samples(runs, 'fill') for name, runs in results.items()
    }
    waiting = {
        name: _average_samples(runs, 'waiting')
        for name, runs in results.items()
    }
    parts = [
        f'<title>{html.escape(scenario.name)}</title>',
        '<style>body{font-family:sans-serif}td,th{padding:2px 10px;'
        'text-align:left}</style>',
        f'<h1>{html.escape(scenario.name)}</h1>',
        f'<p>{scenario.instances} instances, {scenario.engines.count} engines'
        f' of {scenario.engines.slots} slots, {len(scenario.seeds)} seeds;'
        ' means with 95% intervals.</p>',
        _render_rows(rows),
        _render_plot(
            'Programs in time, by the second of their start', in_time
        ),
        _render_plot('Slots in use', fill),
        _render_plot('Waiting turns per slot', waiting),
    ]
    return '<!doctype html><meta charset="utf-8">' + '\n'.join(parts)


def _make_series(
    results: list[emulation.RunResult], seconds: float
) -> list[float]:
    """Return the share of programs in time, by the second of their start."""
    good = [0] * (int(seconds) + 1)
    all_ = [0] * (int(seconds) + 1)
    for result in results:
        for outcome in result.outcomes:
            all_[int(outcome.started_at)] += 1
            good[int(outcome.started_at)] += _is_in_time(outcome)
    return [g / a if a else 1.0 for g, a in zip(good, all_, strict=True)][:-1]


def _average_samples(
    results: typing.Sequence[emulation.RunResult], field: str
) -> list[float]:
    columns = zip(*(result.samples for result in results), strict=True)
    return [
        statistics.fmean(getattr(sample, field) for sample in column)
        for column in columns
    ]


def _render_rows(rows: typing.Sequence[Row]) -> str:
    head = ''.join(f'<th>{title}</th>' for title in TITLES)
    body = ''.join(
        '<tr>'
        + ''.join(f'<td>{html.escape(str(c))}</td>' for c in row)
        + '</tr>'
        for row in rows
    )
    return f'<table><tr>{head}</tr>{body}</table>'


def _render_plot(title: str, series: dict[str, list[float]]) -> str:
    top = max([1.0, *(max(values or [0]) for values in series.values())])
    lines = [
        f'<h2>{title}</h2><svg width="{_WIDTH + 260}" '
        f'height="{_HEIGHT + _MARGIN}" font-size="12">'
    ]
    for share in (0.0, 0.5, 1.0):
        y = _HEIGHT - share * (_HEIGHT - 20)
        lines.append(
            f'<line x1="{_MARGIN}" x2="{_WIDTH}" y1="{y}" y2="{y}" '
            f'stroke="#ddd"/><text x="4" y="{y + 4}">{share * top:.1f}</text>'
        )
    for number, (name, values) in enumerate(series.items()):
        colour = _COLOURS[number % len(_COLOURS)]
        step = (_WIDTH - _MARGIN) / max(1, len(values) - 1)
        points = ' '.join(
            f'{_MARGIN + n * step:.1f},'
            f'{_HEIGHT - value / top * (_HEIGHT - 20):.1f}'
            for n, value in enumerate(values)
        )
        lines.append(
            f'<polyline points="{points}" fill="none" stroke="{colour}" '
            f'stroke-width="2"/><text x="{_WIDTH + 10}" '
            f'y="{20 + 16 * number}" fill="{colour}">{html.escape(name)}'
            '</text>'
        )
    length = max(map(len, series.values()), default=0)
    for second in range(0, length, 5):
        x = _MARGIN + second * (_WIDTH - _MARGIN) / max(1, length - 1)
        lines.append(f'<text x="{x:.0f}" y="{_HEIGHT + 16}">{second} s</text>')
    lines.append('</svg>')
    return '\n'.join(lines)
