"""Counts of requests in a sliding window."""

import collections
import typing

# A slice counts until it has left the window completely, so that the count is
# never too low.
SLICES_PER_WINDOW = 50
MIN_PAUSE_SECONDS = 0.05


class Window:
    """Request counts in a sliding window, by reporter."""

    def __init__(self, length: float) -> None:
        self.length = length
        self._width = length / SLICES_PER_WINDOW
        self._totals: collections.Counter[int] = collections.Counter()
        self._reported: dict[str, collections.Counter[int]] = {}
        # Counts of a previous coordinator, which include those that are
        # reported again to this one.
        self._restored: dict[int, int] = {}

    def add(self, reporter: str, at: float, count: int) -> None:
        """Count requests at a time; a negative count withdraws some."""
        index = int(at / self._width)
        counts = self._reported.setdefault(reporter, collections.Counter())
        counts[index] += count
        self._totals[index] += count

    def remove_reporter(self, reporter: str) -> None:
        """Remove a reporter's counts before it reports all of them again."""
        for index, count in self._reported.pop(reporter, {}).items():
            self._totals[index] -= count

    def restore(self, counts: typing.Iterable[tuple[float, int]]) -> None:
        """Take over a previous account's times and counts of all reporters."""
        self._restored = {}
        for at, count in counts:
            index = int(at / self._width)
            self._restored[index] = self._restored.get(index, 0) + count

    def count(self, now: float, last: float | None = None) -> int:
        """Return the count of the last seconds, by default of the window."""
        length = self.length if last is None else last
        first = int((now - length) / self._width)
        return sum(
            count for index, count in self._list_counts() if index >= first
        )

    def estimate_wait(self, now: float, excess: float) -> float:
        """Return the seconds until so many requests have left the window."""
        for index, count in sorted(self._list_counts()):
            excess -= count
            if excess <= 0:
                left = (index + 1) * self._width + self.length - now
                return min(self.length, max(MIN_PAUSE_SECONDS, left))
        return self.length

    def list_counts(self) -> list[tuple[float, int]]:
        """Return times and counts of the requests in the window."""
        return [
            (index * self._width, count)
            for index, count in self._list_counts()
            if count
        ]

    def prune(self, now: float) -> None:
        """Discard counts that have left the window."""
        first = int((now - self.length) / self._width)
        for counts in (
            self._totals,
            self._restored,
            *self._reported.values(),
        ):
            for index in [i for i in counts if i < first]:
                del counts[index]
        for reporter in [r for r, c in self._reported.items() if not c]:
            del self._reported[reporter]

    def _list_counts(self) -> typing.Iterator[tuple[int, int]]:
        if not self._restored:
            yield from self._totals.items()
            return
        for index in self._totals.keys() | self._restored.keys():
            restored = self._restored.get(index, 0)
            yield index, max(self._totals[index], restored)
