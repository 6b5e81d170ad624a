"""The use of one target's slots, as its coordinator knows it.

Instances report when requests start and end at the target. Times are in
seconds on one clock.
"""

import math
import typing

from vanillayoke.scheduling import attained_service
from vanillayoke.scheduling import program_slack

# Between the end of a request and the start of the next one a slot is idle for
# the time of three messages. As many requests as slots are idle at a time are
# sent in addition; the target's own queue holds them. It is none if less than
# MIN_IDLE_SLOTS are idle. So it is 1 or 2 at a service with 6 slots and calls
# of 10 to 50 ms, and none at an engine with turns of 0.2 s: engines preempt
# running requests for a more urgent one in their own queue.
MESSAGES_SECONDS = 0.003
MIN_IDLE_SLOTS = 0.3
# Assumed until a request has ended.
INITIAL_HOLD_SECONDS = 0.1
# Requests whose end was not reported, because an instance failed or a datagram
# was lost, do not occupy a slot for longer than this.
MAX_HOLD_RATIO = 6.0
MIN_MAX_HOLD_SECONDS = 0.3
# The same until the first end of a request is reported. It is several times
# the duration of a turn; time limits of programs are longer.
INITIAL_MAX_HOLD_SECONDS = 2.0
# More running requests than this are known only if ends were not reported.
MAX_RUNNING_PER_SLOT = 4


class _AverageHold(program_slack.AverageTime):
    """A moving average in which the first samples have equal weights.

    Otherwise a long first request would be expected of the next 30 ones, and
    those that have less time left would be refused.
    """

    def __init__(self, first: float) -> None:
        super().__init__(first)
        self._count = 1

    def learn(self, seconds: float) -> None:
        self._count += 1
        clipped = min(seconds, self.MAX_RATIO * self.value)
        weight = max(self.WEIGHT, 1 / self._count)
        self.value += weight * (clipped - self.value)


class _Running:
    __slots__ = ('charge', 'deadline', 'started_at')

    def __init__(
        self,
        started_at: float,
        deadline: float,
        charge: attained_service.Charge | None,
    ) -> None:
        self.started_at = started_at
        self.deadline = deadline
        self.charge = charge


class Ended(typing.NamedTuple):
    """How long a request held a slot, and its charge if it had a grant."""

    held: float
    charge: attained_service.Charge | None


class SlotUsage:
    """The requests at a target, and how long they hold its slots."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._running: dict[str, _Running] = {}
        self._average_hold: _AverageHold | None = None
        self._reported = 0.0
        self._reported_at = float('-inf')

    @property
    def hold(self) -> float:
        """The average time that a request occupies a slot."""
        if self._average_hold is None:
            return INITIAL_HOLD_SECONDS
        return self._average_hold.value

    @property
    def is_hold_known(self) -> bool:
        """Whether a request has ended, so that ``hold`` is measured."""
        return self._average_hold is not None

    @property
    def capacity(self) -> int:
        """How many requests may be at the target."""
        if self._average_hold is None:
            return self.slots
        idle = self.slots * MESSAGES_SECONDS / max(MESSAGES_SECONDS, self.hold)
        return self.slots + max(0, math.ceil(idle - MIN_IDLE_SLOTS))

    def count(self, granted: int, now: float) -> float:
        """Return the estimated number of requests at the target.

        ``granted`` requests have not started yet.
        """
        count = granted + len(self._list_counted(now))
        # What the target reported when it refused a request. It has served
        # the others since then.
        served = (now - self._reported_at) * self.slots / self.hold
        return max(float(count), self._reported - served)

    def begin(
        self,
        request: str,
        max_duration: float,
        charge: attained_service.Charge | None,
        now: float,
    ) -> None:
        """Record that a request was sent to the target."""
        self._running[request] = _Running(now, now + max_duration, charge)
        if len(self._running) > MAX_RUNNING_PER_SLOT * self.slots:
            self._running = {
                name: self._running[name] for name in self._list_counted(now)
            }

    def end(
        self, request: str, reported: int | None, now: float
    ) -> Ended | None:
        """Record that a request has ended.

        Return ``None`` if its start is not known. ``reported`` counts the
        requests at the target, including this one, ``None`` if the target did
        not report it.
        """
        running = self._running.pop(request, None)
        if reported is not None:
            self._reported = max(0, reported - 1)
            self._reported_at = now
        if running is None:
            return None
        # If this instance stood still, start and end arrive at the same time.
        held = max(MESSAGES_SECONDS, now - running.started_at)
        if reported is None:
            if self._average_hold is None:
                self._average_hold = _AverageHold(held)
            else:
                self._average_hold.learn(held)
        return Ended(held, running.charge)

    def reset(self) -> None:
        """Forget the requests at a target that has restarted."""
        self._running.clear()
        self._reported = 0.0

    def _list_counted(self, now: float) -> list[str]:
        """Return the requests that occupy a slot.

        Those whose end was not reported are left out after some time.
        """
        longest = INITIAL_MAX_HOLD_SECONDS
        if self._average_hold is not None:
            longest = max(MIN_MAX_HOLD_SECONDS, MAX_HOLD_RATIO * self.hold)
        return [
            name
            for name, running in self._running.items()
            if running.deadline > now and running.started_at + longest > now
        ]
