"""Plots of the policy bench as SVG."""

import pathlib
import typing

_WIDTH = 640
_ROW = 22
_LEFT = 210
_TOP = 40
_SCALE = 380
_BAR = '#4a7ab0'
_BROKEN = '#b04a4a'


class Bar(typing.NamedTuple):
    """A bar of a plot; ``value`` 1.0 reaches the line of the baseline."""

    label: str
    value: float
    ok: bool


def write_bars(
    path: pathlib.Path, title: str, bars: typing.Sequence[Bar]
) -> None:
    """Write a bar chart of ratios, cut off at 1.1."""
    height = _TOP + _ROW * len(bars) + 20
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" '
        f'height="{height}" font-family="sans-serif" font-size="12">',
        f'<text x="8" y="20" font-size="14">{title}</text>',
    ]
    for number, bar in enumerate(bars):
        lines += _draw(bar, _TOP + _ROW * number)
    line = _LEFT + _SCALE
    lines.append(
        f'<line x1="{line}" y1="{_TOP - 6}" x2="{line}" y2="{height - 14}" '
        'stroke="#333" stroke-dasharray="4 3"/>'
    )
    lines.append('</svg>')
    path.write_text('\n'.join(lines) + '\n')


def _draw(bar: Bar, top: int) -> list[str]:
    width = round(_SCALE * min(bar.value, 1.1), 1)
    colour = _BAR if bar.ok else _BROKEN
    return [
        f'<text x="8" y="{top + 13}">{bar.label}</text>',
        f'<rect x="{_LEFT}" y="{top}" width="{width}" height="16" '
        f'fill="{colour}"/>',
        f'<text x="{_LEFT + width + 4}" y="{top + 13}">{bar.value:.2f}</text>',
    ]
