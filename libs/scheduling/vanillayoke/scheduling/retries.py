"""How often failed calls of one instance may be sent again, and when.

What may be sent again at all is decided with the program's record, see
``vanillayoke.programs.decisions``.
"""

import random

_FIRST_BACKOFF = 0.05
_LONGEST_BACKOFF = 2.0
_MOST_DOUBLINGS = 10
_MOST_SAVED = 20.0


class RetryBudget:
    """Retries as a fraction of the calls of one instance.

    When targets fail for everybody, each call would be sent several times
    and the retries would keep the targets down. The budget bounds them to a
    fraction of the first attempts.
    """

    def __init__(self, fraction: float, source: random.Random) -> None:
        self._fraction = fraction
        self._source = source
        self._saved = _MOST_SAVED

    def set_fraction(self, fraction: float) -> None:
        """Take over the fraction in force."""
        self._fraction = fraction

    def record_call(self) -> None:
        """Count a first attempt."""
        self._saved = min(_MOST_SAVED, self._saved + self._fraction)

    def take(self) -> bool:
        """Take one retry out of the budget; tell whether there was one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def draw_backoff(self, attempt: int) -> float:
        """Return the seconds to wait behind an attempt, counted from 1.

        They are drawn from the whole range, since instances that failed
        together would else come back together.
        """
        longest = _FIRST_BACKOFF * 2 ** min(attempt, _MOST_DOUBLINGS)
        return self._source.uniform(0, min(longest, _LONGEST_BACKOFF))
