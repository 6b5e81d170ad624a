"""Circuit breaker for a target."""

import random

_FAILURE_THRESHOLD = 3
_MIN_PAUSE_SECONDS = 1.0
_MAX_PAUSE_SECONDS = 30.0


class Breaker:
    """Passes all calls while closed, none while open, one while half open.

    The half-open state protects a recovering target from being overloaded at
    once. Pauses are random, so that the probes of different instances do not
    coincide.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._pause = _MIN_PAUSE_SECONDS
        self._open_until: float | None = None
        self._probe: str | None = None

    def allows(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        if self._open_until is None:
            return True
        return now >= self._open_until and self._probe is None

    def record_sent(self, call: str) -> None:
        """Record a sent call; unless closed, it is the probe."""
        if self._open_until is not None:
            self._probe = call

    def record_success(self, call: str) -> None:
        """Reset the failure count, or close the breaker after the probe.

        While not closed, responses to earlier calls are ignored.
        """
        if self._open_until is None:
            self._failures = 0
        elif call == self._probe:
            self._close()

    def record_failure(self, call: str, now: float) -> None:
        """Record a failure; open the breaker if too many in a row occurred."""
        self._failures += 1
        if call == self._probe:
            self._probe = None
            self._pause = min(self._pause * 2, _MAX_PAUSE_SECONDS)
        elif (
            self._open_until is not None or self._failures < _FAILURE_THRESHOLD
        ):
            return
        self.open(now)

    def open(self, now: float) -> None:
        """Open the breaker for the duration of the present pause."""
        jitter = 0.5 + self._rng.random()
        self._open_until = now + self._pause * jitter

    def open_half(self, now: float) -> None:
        """Switch to half open, which allows one probe."""
        self._open_until = now
        self._probe = None

    def record_withdrawal(self, call: str) -> None:
        """Discard a probe that has not run."""
        if call == self._probe:
            self._probe = None

    def _close(self) -> None:
        self._failures = 0
        self._pause = _MIN_PAUSE_SECONDS
        self._open_until = None
        self._probe = None
