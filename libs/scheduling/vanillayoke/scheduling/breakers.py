"""A circuit breaker per target: bounded work on one that fails."""

import random

_FAILURES = 3
_FIRST_PAUSE = 1.0
_LONGEST_PAUSE = 30.0


class Breaker:
    """Closed: calls pass. Open: none. Half open: one at a time.

    Without the one-at-a-time step, all callers come back at the same
    moment and knock the target over again. Each instance's pause is drawn
    at random, so that their trials do not fall together either.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._failures = 0
        self._pause = _FIRST_PAUSE
        self._open_until: float | None = None
        self._trial: str | None = None

    def allows(self, now: float) -> bool:
        """Tell whether a call may be sent now."""
        if self._open_until is None:
            return True
        return now >= self._open_until and self._trial is None

    def note_sent(self, call: str) -> None:
        """Take in that a call was sent; while not closed, it is the trial."""
        if self._open_until is not None:
            self._trial = call

    def note_success(self, call: str) -> None:
        """Close, unless an older call's answer came after the opening."""
        if self._open_until is None:
            self._failures = 0
        elif call == self._trial:
            self._close()

    def note_failure(self, call: str, now: float) -> None:
        """Count a failure in a row; open at the third."""
        self._failures += 1
        if call == self._trial:
            self._trial = None
            self._pause = min(self._pause * 2, _LONGEST_PAUSE)
        elif self._open_until is not None or self._failures < _FAILURES:
            return
        self.open(now)

    def open(self, now: float) -> None:
        """Stop calls for a while."""
        jitter = 0.5 + self._source.random()
        self._open_until = now + self._pause * jitter

    def open_half(self, now: float) -> None:
        """Let one trial through before all others."""
        self._open_until = now
        self._trial = None

    def note_withdrawn(self, call: str) -> None:
        """Forget a trial that was never run."""
        if call == self._trial:
            self._trial = None

    def _close(self) -> None:
        self._failures = 0
        self._pause = _FIRST_PAUSE
        self._open_until = None
        self._trial = None
