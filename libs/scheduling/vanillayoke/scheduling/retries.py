"""Retry budget and backoff for failed calls of one instance.

Whether a call may be retried at all is decided in
``vanillayoke.programs.decisions``.
"""

import random

_MIN_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 2.0
_MAX_DOUBLINGS = 10
_MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Limits retries to a fraction of the first attempts of one instance.

    Otherwise retries would multiply the load on targets that fail or have
    just recovered.
    """

    def __init__(self, fraction: float, rng: random.Random) -> None:
        self._fraction = fraction
        self._rng = rng
        self._saved = _MAX_SAVED_RETRIES

    def set_fraction(self, fraction: float) -> None:
        """Set the fraction of first attempts that may be retried."""
        self._fraction = fraction

    def record_call(self) -> None:
        """Count a first attempt."""
        self._saved = min(_MAX_SAVED_RETRIES, self._saved + self._fraction)

    def take(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def draw_backoff(self, attempt: int) -> float:
        """Return a random backoff in seconds after an attempt, counted from 1.

        Full jitter keeps instances that failed together from retrying
        together.
        """
        max_backoff = _MIN_BACKOFF_SECONDS * 2 ** min(attempt, _MAX_DOUBLINGS)
        return self._rng.uniform(0, min(max_backoff, _MAX_BACKOFF_SECONDS))
