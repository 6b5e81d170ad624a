"""Whether a program can still end in time, from what it has lost so far.

A program says how much time it may take in all. On idle targets it takes a
share of that, about alike for the programs of a route; the rest is what it
may lose to waiting. What it has lost is known: each turn's time over what
such a turn usually takes. So what is left to lose needs no knowledge of the
turns that are still to come.
"""

import typing

# The share of its time that a program takes on idle targets, before any has
# been seen to end; and how much of an answer one program changes.
FIRST_SHARE = 0.6
LEARNING_STEP = 0.02
# Low, since waiting that went unnoticed makes programs look slower than they
# are on idle targets.
SHARE_QUANTILE = 0.4
# Programs that lost more than this share of their time say little about
# idle targets.
MOST_LOST = 0.1


class Slack(typing.NamedTuple):
    """What is left to a program, in seconds.

    ``left`` is what it may still lose to waiting; negative if it can't end
    in time. ``overdue`` is by how much its time is over, negative before.
    ``aim`` is the time that it may take in all.
    """

    left: float
    overdue: float
    time_limit: float


class DelayTracker:
    """What one program has lost, line of turns by line of turns.

    The first line seen is the program's own; others are sub-agents, which
    begin with what it had lost and whose losses it bears when it goes on.
    """

    def __init__(self, session: str, now: float, time_left: float) -> None:
        self.started_at = now
        self.time_limit = time_left
        self.last_active_at = now
        self._own = session
        self._lost: dict[str, float] = {session: 0.0}

    @property
    def delay(self) -> float:
        """What the program has lost, in seconds."""
        return max(self._lost.values())

    def start_turn(self, session: str, now: float, time_left: float) -> None:
        """Note that a turn of a line begins."""
        self.last_active_at = now
        if time_left > 0:
            # A clock that was begun in the middle of the program learns the
            # whole time bit by bit.
            self.time_limit = max(
                self.time_limit, now - self.started_at + time_left
            )
        if session == self._own:
            self._lost[session] = self.delay
        else:
            self._lost.setdefault(session, self._lost[self._own])

    def record_delay(self, session: str, seconds: float, now: float) -> None:
        """Note that a line lost time to waiting."""
        self.last_active_at = now
        self._lost[session] = self._lost.get(session, 0.0) + seconds

    def estimate_slack(
        self, session: str, now: float, idle_share: float
    ) -> Slack:
        """Return what is left to a line of the program."""
        delay = self._lost.get(session, self.delay)
        left = self.time_limit * (1 - idle_share) - delay
        overdue = now - self.started_at - self.time_limit
        return Slack(min(left, -overdue), overdue, self.time_limit)


class IdleTimeRatio:
    """Learns what share of their time programs of a route take when idle."""

    def __init__(self) -> None:
        self.value = FIRST_SHARE

    def learn(self, clock: DelayTracker) -> None:
        """Take a program that has ended."""
        if clock.time_limit <= 0 or clock.delay > MOST_LOST * clock.time_limit:
            return
        share = (clock.last_active_at - clock.started_at) / clock.time_limit
        # Moves a quantile's estimate up or down by a small step.
        if share > self.value:
            self.value += LEARNING_STEP * SHARE_QUANTILE
        else:
            self.value -= LEARNING_STEP * (1 - SHARE_QUANTILE)
        self.value = min(0.95, max(0.2, self.value))


class TypicalTime:
    """The usual time of something, as a low quantile of what is seen.

    Queues only add to a time, so the quick part of what is seen tells what
    it takes without one.
    """

    def __init__(self, first: float, quantile: float = 0.3) -> None:
        self.value = first
        self._quantile = quantile

    def learn(self, seconds: float) -> None:
        """Take one time seen."""
        step = 0.05 * self.value
        if seconds > self.value:
            self.value += step * self._quantile
        else:
            self.value -= step * (1 - self._quantile)


class AverageTime:
    """The mean time of something, followed slowly.

    Single long times count as a few times the mean at the most, so that a
    target that hangs does not make all others look quick.
    """

    STEP = 0.03
    LONGEST = 4.0

    def __init__(self, first: float) -> None:
        self.value = first

    def learn(self, seconds: float) -> None:
        """Take one time seen."""
        bounded = min(seconds, self.LONGEST * self.value)
        self.value += self.STEP * (bounded - self.value)
