"""Repeated attempts: budget, backoff, deadline, and the store's health."""

import random
import typing

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.platform import evidence

Result = typing.TypeVar('Result')
_LATENCY_WEIGHT = 0.2
_STORE_KINDS = (
    failures.Kind.STORE_UNAVAILABLE,
    failures.Kind.STORE_UNCERTAIN,
)


class RetrySettings(typing.NamedTuple):
    """How failed operations are repeated; times in seconds.

    An operation starts no attempt later than ``deadline`` after it began,
    so that it ends within ``deadline`` plus one timeout of the adapter.
    ``fraction`` is how many repeats each operation earns for all of them;
    ``burst`` is the most that can be saved up.
    """

    deadline: float = 5.0
    first_delay: float = 0.05
    longest_delay: float = 1.0
    fraction: float = 0.1
    burst: float = 10.0


class Health(typing.NamedTuple):
    """How the store does, as seen from here; times in seconds.

    ``since`` is the monotonic time at which ``available`` last changed,
    ``latency`` a moving mean over attempts that were answered. The rest
    counts attempts, repeats, and the ends of transactions in doubt.
    """

    available: bool
    since: float
    latency: float = 0.0
    attempts: int = 0
    repeats: int = 0
    unavailable: int = 0
    uncertain: int = 0
    committed: int = 0
    lost: int = 0
    unknown: int = 0


class HealthMeter:
    """Keeps the health of one service of the platform."""

    def __init__(self, service: timers.TimerService) -> None:
        self._timers = service
        self.health = Health(True, service.now())

    def note_attempt(self, result: object, begin: float) -> None:
        """Take in the result of an attempt, begun at a monotonic time."""
        old = self.health
        self.health = old._replace(attempts=old.attempts + 1)
        match result:
            case failures.Failure(failures.Kind.STORE_UNAVAILABLE):
                self.health = self.health._replace(
                    unavailable=old.unavailable + 1
                )
                self._set_available(False)
            case failures.Failure(failures.Kind.STORE_UNCERTAIN):
                self.health = self.health._replace(uncertain=old.uncertain + 1)
                self._set_available(False)
            case _:
                self._set_available(True)
                self._add_latency(self._timers.now() - begin)

    def note_repeat(self) -> None:
        """Count a repeated attempt."""
        repeats = self.health.repeats + 1
        self.health = self.health._replace(repeats=repeats)

    def note_verdict(self, verdict: evidence.Verdict) -> None:
        """Count how a transaction in doubt ended."""
        old = self.health
        match verdict:
            case evidence.Verdict.COMMITTED:
                self.health = old._replace(committed=old.committed + 1)
            case evidence.Verdict.LOST:
                self.health = old._replace(lost=old.lost + 1)
            case _:
                self.health = old._replace(unknown=old.unknown + 1)

    def _set_available(self, available: bool) -> None:
        if available is not self.health.available:
            self.health = self.health._replace(
                available=available, since=self._timers.now()
            )

    def _add_latency(self, taken: float) -> None:
        latency = self.health.latency
        latency += _LATENCY_WEIGHT * (taken - latency)
        self.health = self.health._replace(latency=latency)


class RetryBudget:
    """A token bucket that bounds repeats to a fraction of operations.

    Guards against a retry storm: when the store is slow, repeats add load
    that makes it slower still. It shows as a write rate that grows while
    answers fail. Each operation earns a part of one repeat, so that in the
    long run repeats add no more than that part.
    """

    def __init__(self, fraction: float, burst: float) -> None:
        self._fraction = fraction
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Count an operation."""
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def spend(self) -> bool:
        """Take a repeat off the budget; false where none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Pacing(typing.NamedTuple):
    """Where one operation stands: its deadline and repeats so far."""

    deadline: float
    repeats: int = 0


class Pacer:
    """Decides whether and when an operation is attempted again."""

    def __init__(
        self,
        settings: RetrySettings,
        service: timers.TimerService,
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._timers = service
        self._random = source
        self._budget = RetryBudget(settings.fraction, settings.burst)
        self.meter = HealthMeter(service)

    def begin(self, deadline: float | None = None) -> Pacing:
        """Count an operation; the deadline is a monotonic time."""
        self._budget.earn()
        latest = self._timers.now() + self._settings.deadline
        return Pacing(latest if deadline is None else min(latest, deadline))

    def is_over(self, pacing: Pacing) -> bool:
        """Tell whether the operation's deadline has passed."""
        return self._timers.now() >= pacing.deadline

    async def wait(self, pacing: Pacing) -> Pacing | None:
        """Wait before a repeat; ``None`` where there must be none.

        The wait is drawn from zero to a bound that doubles, so that the
        instances do not come back to a recovered store all at once.
        """
        doubled = self._settings.first_delay * 2**pacing.repeats
        bound = min(self._settings.longest_delay, doubled)
        delay = self._random.uniform(0, bound)
        if self._timers.now() + delay >= pacing.deadline:
            return None
        if not self._budget.spend():
            return None
        self.meter.note_repeat()
        await self._timers.sleep(delay)
        return pacing._replace(repeats=pacing.repeats + 1)

    async def attempt(
        self, act: typing.Callable[[], typing.Awaitable[Result]]
    ) -> Result:
        """Make one attempt and take its result into the health."""
        begin = self._timers.now()
        result = await act()
        self.meter.note_attempt(result, begin)
        return result

    async def repeat(
        self,
        act: typing.Callable[[], typing.Awaitable[Result]],
        pacing: Pacing,
    ) -> Result:
        """Attempt a harmless operation until it succeeds or may not go on.

        Returns the last failure then.
        """
        while True:
            result = await self.attempt(act)
            if not is_store_failure(result):
                return result
            following = await self.wait(pacing)
            if following is None:
                return result
            pacing = following


def is_store_failure(result: object) -> bool:
    """Tell whether an attempt failed in a way that a repeat may mend."""
    return failures.is_failure(result) and result.kind in _STORE_KINDS
