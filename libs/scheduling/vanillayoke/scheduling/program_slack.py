"""The slack of a program: how much more delay it can take to end in time.

Each program has a time limit. On idle targets it takes a share of it that is
similar for all programs of a route; the rest is available for queueing
delays. The delay of a turn is its duration beyond the typical duration of
such turns. Slack is estimated from these delays alone, without a prediction
of the program's remaining turns.
"""

import typing

from vanillayoke.core import figures

INITIAL_IDLE_RATIO = 0.6
LEARNING_RATE = 0.02
# Below the median, since delays that were not detected make programs appear
# slower than they are on idle targets.
IDLE_RATIO_QUANTILE = 0.4
# Programs that were delayed for more of their time limit are not learned from.
MAX_DELAY_RATIO = 0.1


class Slack(typing.NamedTuple):
    """The slack of a program, in seconds.

    ``left`` is the further delay that it can take; negative if it can't end
    in time. ``overdue`` is the time since its time limit ran out, negative
    before. ``time_limit`` is the total time that it may take.
    """

    left: figures.Seconds
    overdue: figures.Seconds
    time_limit: figures.Seconds


class DelayTracker:
    """The queueing delays of one program, by session.

    The first session seen is the program's main one. Others belong to
    sub-agents that run in parallel: they start with the delay of the main
    session, which takes over the longest delay of all when it goes on.
    """

    def __init__(self, session: str, now: float, time_left: float) -> None:
        self.started_at = now
        self.time_limit = time_left
        self.last_active_at = now
        self._main_session = session
        self._delays: dict[str, float] = {session: 0.0}

    @property
    def delay(self) -> float:
        """The total delay of the program, in seconds."""
        return max(self._delays.values())

    def start_turn(self, session: str, now: float, time_left: float) -> None:
        """Record the start of a turn in a session."""
        self.last_active_at = now
        if time_left > 0:
            # A tracker created in the middle of a program starts with a time
            # limit that is too short.
            self.time_limit = max(
                self.time_limit, now - self.started_at + time_left
            )
        if session == self._main_session:
            self._delays[session] = self.delay
        else:
            self._delays.setdefault(session, self._delays[self._main_session])

    def record_delay(self, session: str, seconds: float, now: float) -> None:
        """Add the delay of a turn in a session."""
        self.last_active_at = now
        self._delays[session] = self._delays.get(session, 0.0) + seconds

    def estimate_slack(
        self, session: str, now: float, idle_ratio: float
    ) -> Slack:
        """Return the slack of a session of the program."""
        delay = self._delays.get(session, self.delay)
        left = self.time_limit * (1 - idle_ratio) - delay
        overdue = now - self.started_at - self.time_limit
        return Slack(min(left, -overdue), overdue, self.time_limit)


class IdleTimeRatio:
    """The share of their time limit that a route's programs need when idle.

    It is a quantile of what is observed.
    """

    def __init__(self) -> None:
        self.value = INITIAL_IDLE_RATIO

    def learn(self, tracker: DelayTracker) -> None:
        """Update the estimate with a program that has ended."""
        if (
            tracker.time_limit <= 0
            or tracker.delay > MAX_DELAY_RATIO * tracker.time_limit
        ):
            return
        ratio = (
            tracker.last_active_at - tracker.started_at
        ) / tracker.time_limit
        # Stochastic approximation of a quantile.
        if ratio > self.value:
            self.value += LEARNING_RATE * IDLE_RATIO_QUANTILE
        else:
            self.value -= LEARNING_RATE * (1 - IDLE_RATIO_QUANTILE)
        self.value = min(0.95, max(0.2, self.value))


class TypicalTime:
    """A typical duration without queueing.

    It is a low quantile of the observed durations, since queueing only makes
    them longer.
    """

    def __init__(self, initial: float, quantile: float = 0.3) -> None:
        self.value = initial
        self._quantile = quantile

    def learn(self, seconds: float) -> None:
        """Update the estimate with an observed duration."""
        step = 0.05 * self.value
        if seconds > self.value:
            self.value += step * self._quantile
        else:
            self.value -= step * (1 - self._quantile)


class AverageTime:
    """An exponential moving average of durations.

    Long durations are clipped to ``MAX_RATIO`` times the average, so that a
    target that hangs does not make all others appear fast.
    """

    WEIGHT = 0.03
    MAX_RATIO = 4.0

    def __init__(self, initial: float) -> None:
        self.value = initial

    def learn(self, seconds: float) -> None:
        """Update the average with an observed duration."""
        clipped = min(seconds, self.MAX_RATIO * self.value)
        self.value += self.WEIGHT * (clipped - self.value)
