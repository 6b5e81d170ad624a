"""Passive health checking of a target by the outcomes of its requests.

Active health checks can be wrong, and a target that fails requests at once
has the lowest load and so attracts more of them.
"""

# Weight of the newest outcome in the moving average of failures. Two failures
# in a row make a target unhealthy; one among successes does not.
OUTCOME_WEIGHT = 0.3
UNHEALTHY_FAILURE_RATIO = 0.45
HEALTHY_FAILURE_RATIO = 0.2
# An unhealthy target gets no requests during a pause, which doubles each time
# that a probe fails.
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 8.0


class Health:
    """The health of one target as seen by one instance."""

    def __init__(self) -> None:
        self._failure_ratio = 0.0
        self._pauses = 0
        self._paused_until = float('-inf')

    def record_unreachable(self, now: float) -> bool:
        """Record a failed connection; return whether a pause begins."""
        return self._pause(now)

    def record_outcome(self, is_success: bool, now: float) -> bool:
        """Record the outcome of a request; return whether a pause begins."""
        self._failure_ratio += OUTCOME_WEIGHT * (
            (not is_success) - self._failure_ratio
        )
        if not is_success and self._failure_ratio > UNHEALTHY_FAILURE_RATIO:
            # One more failure is enough for the next pause.
            self._failure_ratio = UNHEALTHY_FAILURE_RATIO
            return self._pause(now)
        if is_success and self._failure_ratio < HEALTHY_FAILURE_RATIO:
            self._pauses = 0
        return False

    def should_avoid(self, now: float, in_flight: int) -> bool:
        """Return whether no request should be sent to the target now.

        After a pause it gets one request at a time until it is healthy.
        """
        if now < self._paused_until:
            return True
        return (
            bool(self._pauses)
            and self._failure_ratio >= HEALTHY_FAILURE_RATIO
            and in_flight > 0
        )

    def _pause(self, now: float) -> bool:
        if now < self._paused_until:
            return False
        pause = min(MAX_PAUSE_SECONDS, MIN_PAUSE_SECONDS * 2**self._pauses)
        self._pauses += 1
        self._paused_until = now + pause
        return True
