"""Whether a target does its work, judged by its answers.

Health checks may lie, either way, and a target that fails at once looks idle
and draws all work to it. So what counts is what became of the requests.
"""

# Weight of the newest outcome: two bad ones in a row leave a target alone,
# one among some good ones does not.
STEP = 0.3
# The share of bad outcomes from which on a target is left alone, and below
# which it counts as well again.
SICK = 0.45
WELL = 0.2
# How long a sick target is left alone, doubled each time that its trial
# fails too. Seconds.
FIRST_PAUSE = 0.5
LONGEST_PAUSE = 8.0


class Health:
    """What the outcomes of its requests say of one target."""

    def __init__(self) -> None:
        self._bad = 0.0
        self._pauses = 0
        self._paused_until = float('-inf')

    def record_unreachable(self, now: float) -> bool:
        """Note that the target can't be reached; say if that pauses it."""
        return self._pause(now)

    def record_outcome(self, is_good: bool, now: float) -> bool:
        """Note how a request has ended; say if that begins a pause."""
        self._bad += STEP * ((not is_good) - self._bad)
        if not is_good and self._bad > SICK:
            # The next bad outcome is enough to pause again.
            self._bad = SICK
            return self._pause(now)
        if is_good and self._bad < WELL:
            self._pauses = 0
        return False

    def should_avoid(self, now: float, in_flight: int) -> bool:
        """Say whether the target is better left alone.

        Behind a pause it gets one request at a time until it is well.
        """
        if now < self._paused_until:
            return True
        return bool(self._pauses) and self._bad >= WELL and in_flight > 0

    def _pause(self, now: float) -> bool:
        if now < self._paused_until:
            return False
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2**self._pauses)
        self._pauses += 1
        self._paused_until = now + pause
        return True
