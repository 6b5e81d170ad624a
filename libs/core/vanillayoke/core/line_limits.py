"""Log lines for what many clients cause: one for an interval, with a count."""

import typing

from vanillayoke.core import timers

INTERVAL_SECONDS = 5.0


class LineLimit:
    """Counts occurrences, and tells when a line about them is due."""

    def __init__(self, timer_service: timers.TimerService) -> None:
        self._timers = timer_service
        self._counts: dict[typing.Hashable, int] = {}
        self._written_at: dict[typing.Hashable, float] = {}

    def count(self, subject: typing.Hashable = None) -> int | None:
        """Count an occurrence; return how many a line is about, if it is due.

        The first one has a line at once. Later ones within
        ``INTERVAL_SECONDS`` are counted in the next line.
        """
        count = self._counts.get(subject, 0) + 1
        now = self._timers.now()
        written_at = self._written_at.get(subject)
        if written_at is not None and now - written_at < INTERVAL_SECONDS:
            self._counts[subject] = count
            return None
        self._counts[subject] = 0
        self._written_at[subject] = now
        return count
