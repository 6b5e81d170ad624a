"""How long to keep cached prefixes during tool calls, by past durations."""

import math

_BUCKET_COUNT = 40
_MIN_BUCKET_SECONDS = 0.05
_GROWTH_FACTOR = 1.3
_PRIOR_WEIGHT = 4.0
_PRIOR_SECONDS = 2.0
_MAX_WEIGHT = 500.0
_LOWER_BOUNDS = [0.0] + [
    _MIN_BUCKET_SECONDS * _GROWTH_FACTOR**power
    for power in range(_BUCKET_COUNT - 1)
]
_MIDDLES = [_MIN_BUCKET_SECONDS / 2] + [
    bound * math.sqrt(_GROWTH_FACTOR) for bound in _LOWER_BOUNDS[1:]
]


class ReturnTimes:
    """Histogram of a tool's durations, with exponential buckets."""

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKET_COUNT
        self._counts[_find_bucket(_PRIOR_SECONDS)] = _PRIOR_WEIGHT
        self._total = _PRIOR_WEIGHT
        self._limits: dict[float, float] = {}

    def observe(self, seconds: float) -> None:
        """Count a duration; the weight of old ones decays."""
        if self._total >= _MAX_WEIGHT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        self._counts[_find_bucket(seconds)] += 1
        self._total += 1
        self._limits.clear()

    def find_limit(self, break_even: float) -> float:
        """Return how long to keep a prefix during a tool call, in seconds.

        It is the lowest age of a call from which on the expected remaining
        duration exceeds ``break_even`` seconds; infinite if there is none.
        """
        limit = self._limits.get(break_even)
        if limit is None:
            limit = self._limits[break_even] = self._search(break_even)
        return limit

    def _search(self, break_even: float) -> float:
        limit = math.inf
        weight = 0.0
        seconds = 0.0
        for bucket in range(_BUCKET_COUNT - 1, -1, -1):
            weight += self._counts[bucket]
            seconds += self._counts[bucket] * _MIDDLES[bucket]
            if weight < 1.0:
                continue
            lower_bound = _LOWER_BOUNDS[bucket]
            if seconds / weight - lower_bound > break_even:
                limit = lower_bound
            elif not math.isinf(limit):
                return limit
        return limit


class Lifetimes:
    """The duration histograms of all tools."""

    def __init__(self) -> None:
        self._tools: dict[str, ReturnTimes] = {}

    def observe(self, tool: str, seconds: float) -> None:
        """Count the duration of a tool call."""
        self._tools.setdefault(tool, ReturnTimes()).observe(seconds)

    def find_limit(self, tool: str, break_even: float) -> float:
        """Return how long to keep a prefix during a call of a tool."""
        return self._tools.setdefault(tool, ReturnTimes()).find_limit(
            break_even
        )


def _find_bucket(seconds: float) -> int:
    if seconds <= _MIN_BUCKET_SECONDS:
        return 0
    bucket = 1 + int(
        math.log(seconds / _MIN_BUCKET_SECONDS) / math.log(_GROWTH_FACTOR)
    )
    return min(bucket, _BUCKET_COUNT - 1)
