"""When to try again, and for how long nothing has worked."""

import random

_SHORTEST = 0.1
_LONGEST = 1.0


class Backoff:
    """Growing delays between attempts that fail; times are monotonic."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._delay = _SHORTEST
        self._failed_since: float | None = None
        self.retry_at = float('-inf')

    @property
    def is_failing(self) -> bool:
        """Tell whether the last attempt failed."""
        return self._failed_since is not None

    def note_success(self) -> None:
        """Note that an attempt worked."""
        self._delay = _SHORTEST
        self._failed_since = None
        self.retry_at = float('-inf')

    def note_failure(self, now: float) -> float:
        """Note that an attempt failed; return for how long all have."""
        if self._failed_since is None:
            self._failed_since = now
        self.retry_at = now + self._delay * self._random.uniform(0.5, 1.0)
        self._delay = min(self._delay * 2, _LONGEST)
        return now - self._failed_since
