"""Points of a measurement and the straight line through them."""

import typing


class Point(typing.NamedTuple):
    """One measurement: what was given and what it cost."""

    x: float
    y: float


class Fit(typing.NamedTuple):
    """A least-squares line and the largest distance of a point from it."""

    base: float
    slope: float
    worst: float

    def predict(self, x: float) -> float:
        """Return the line's value."""
        return self.base + self.slope * x


class Slope(typing.NamedTuple):
    """A named cost with its units, its points and its line."""

    name: str
    x: str
    y: str
    points: tuple[Point, ...]
    fit: Fit

    def describe(self) -> dict[str, typing.Any]:
        """Return what is printed as one line of JSON."""
        return {
            'slope': self.name,
            'x': self.x,
            'y': self.y,
            'points': [[one.x, _round(one.y)] for one in self.points],
            'base': _round(self.fit.base),
            'per_x': _round(self.fit.slope),
            'worst_residual': _round(self.fit.worst),
        }


def fit_line(points: typing.Sequence[Point]) -> Fit:
    """Return the least-squares line; at least two values of x are needed."""
    count = len(points)
    mean_x = sum(one.x for one in points) / count
    mean_y = sum(one.y for one in points) / count
    spread = sum((one.x - mean_x) ** 2 for one in points)
    shared = sum((one.x - mean_x) * (one.y - mean_y) for one in points)
    slope = shared / spread
    base = mean_y - slope * mean_x
    worst = max(abs(base + slope * one.x - one.y) for one in points)
    return Fit(base, slope, worst)


def make_slope(
    name: str, x: str, y: str, points: typing.Sequence[Point]
) -> Slope:
    """Fit a line through points and name it."""
    return Slope(name, x, y, tuple(points), fit_line(points))


def make_slopes(
    x: str,
    named: typing.Mapping[str, str],
    rows: typing.Iterable[tuple[float, typing.NamedTuple]],
) -> list[Slope]:
    """Make a slope of each named field; ``named`` gives their units."""
    rows = list(rows)
    return [
        make_slope(
            name,
            x,
            unit,
            [Point(at, getattr(row, name)) for at, row in rows],
        )
        for name, unit in named.items()
    ]


def _round(value: float) -> float:
    return float(f'{value:.4g}')
