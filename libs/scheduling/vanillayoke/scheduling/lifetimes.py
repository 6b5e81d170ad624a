"""How long to keep memory in a tool pause, learned from past returns."""

import math

_BUCKETS = 40
_SHORTEST = 0.05
_GROWTH = 1.3
_PRIOR_WEIGHT = 4.0
_PRIOR_SECONDS = 2.0
_MOST_WEIGHT = 500.0
_BEGINS = [0.0] + [_SHORTEST * _GROWTH**power for power in range(_BUCKETS - 1)]
_MIDDLES = [_SHORTEST / 2] + [
    begin * math.sqrt(_GROWTH) for begin in _BEGINS[1:]
]


class ReturnTimes:
    """The pauses of one tool, counted in buckets that grow by a factor."""

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKETS
        self._counts[_find_bucket(_PRIOR_SECONDS)] = _PRIOR_WEIGHT
        self._total = _PRIOR_WEIGHT
        self._limits: dict[float, float] = {}

    def observe(self, seconds: float) -> None:
        """Count a pause; old ones fade as new ones come."""
        if self._total >= _MOST_WEIGHT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        self._counts[_find_bucket(seconds)] += 1
        self._total += 1
        self._limits.clear()

    def find_limit(self, break_even: float) -> float:
        """Return how long a pause is worth waiting for, in seconds.

        It is the first age of a pause from which on the expected rest
        exceeds ``break_even``; infinite if none does.
        """
        limit = self._limits.get(break_even)
        if limit is None:
            limit = self._limits[break_even] = self._search(break_even)
        return limit

    def _search(self, break_even: float) -> float:
        limit = math.inf
        weight = 0.0
        seconds = 0.0
        for bucket in range(_BUCKETS - 1, -1, -1):
            weight += self._counts[bucket]
            seconds += self._counts[bucket] * _MIDDLES[bucket]
            if weight < 1.0:
                continue
            begin = _BEGINS[bucket]
            if seconds / weight - begin > break_even:
                limit = begin
            elif not math.isinf(limit):
                return limit
        return limit


class Lifetimes:
    """The return times of all tools."""

    def __init__(self) -> None:
        self._tools: dict[str, ReturnTimes] = {}

    def observe(self, tool: str, seconds: float) -> None:
        """Count how long a tool took."""
        self._tools.setdefault(tool, ReturnTimes()).observe(seconds)

    def find_limit(self, tool: str, break_even: float) -> float:
        """Return how long to keep memory in a pause of a tool, seconds."""
        return self._tools.setdefault(tool, ReturnTimes()).find_limit(
            break_even
        )


def _find_bucket(seconds: float) -> int:
    if seconds <= _SHORTEST:
        return 0
    bucket = 1 + int(math.log(seconds / _SHORTEST) / math.log(_GROWTH))
    return min(bucket, _BUCKETS - 1)
