"""Whether turns wait for an unavailable store or are refused.

Callers retry a refused turn only a few times, so immediate refusals exhaust
their retries within a short outage. A turn therefore waits while the store
is likely enough to return in time to serve it, and is refused otherwise.

The remaining duration of an outage is estimated from its age: about half of
all outages last for twice their present age or longer. Previous outages that
lasted longer than the present age are taken into account.
"""

import math
import typing

# A turn waits only if the store returns in time with at least this
# probability. A refusal uses up one of the caller's few attempts as well, so
# that waiting pays even if its success is unlikely. With 0.25, long programs
# with seconds left were given up in the seventh second of an outage that ended
# then.
MIN_RETURN_PROBABILITY = 0.1
# The estimate by age weighs as much as this many previous outages.
AGE_ESTIMATE_WEIGHT = 2.0
# Share of the caller's remaining time. Callers ignore a longer pause.
MAX_PAUSE_RATIO = 0.32
# For callers whose remaining time is too short to be served: their next
# attempt can wait for the store.
MIN_PAUSE_SECONDS = 0.05


class Outage(typing.NamedTuple):
    """An outage of the store: its age and the durations of previous ones.

    All in seconds.
    """

    age: float
    previous: tuple[float, ...] = ()


class PendingTurn(typing.NamedTuple):
    """A turn that needs the store before it can run.

    ``time_left`` is the time until the caller's deadline and
    ``response_timeout`` the time until the caller gives up if it receives
    nothing. ``service_time`` is the time needed to serve the turn. All in
    seconds.
    """

    time_left: float
    response_timeout: float
    service_time: float


class CompletedTurn(typing.NamedTuple):
    """A turn that has run and whose row is not stored yet.

    ``time_left`` is the time in seconds until its caller gives up.
    """

    time_left: float


class Wait(typing.NamedTuple):
    """Wait for the store for at most ``timeout`` seconds."""

    timeout: float


class Refuse(typing.NamedTuple):
    """Refuse the turn; the caller may retry after so many seconds."""

    retry_after: float


def decide(outage: Outage, turn: PendingTurn | CompletedTurn) -> Wait | Refuse:
    """Decide whether a turn waits for the unavailable store."""
    match turn:
        case CompletedTurn(time_left):
            # Refusing it would make the caller run the turn again.
            return Wait(max(0.0, time_left))
        case PendingTurn(time_left, response_timeout, service_time):
            spare = min(time_left, response_timeout) - service_time
            if spare <= 0:
                return Refuse(
                    min(MIN_PAUSE_SECONDS, _compute_max_pause(time_left))
                )
            if (
                estimate_return_probability(outage, spare)
                < MIN_RETURN_PROBABILITY
            ):
                return Refuse(_compute_max_pause(time_left))
            return Wait(spare)


def estimate_return_probability(outage: Outage, within: float) -> float:
    """Return the probability of the store's return within so many seconds."""
    by_age = within / max(within + outage.age, 1e-9)
    longer = [
        duration for duration in outage.previous if duration > outage.age
    ]
    if not longer:
        return by_age
    ended = sum(duration <= outage.age + within for duration in longer)
    return (AGE_ESTIMATE_WEIGHT * by_age + ended) / (
        AGE_ESTIMATE_WEIGHT + len(longer)
    )


def compute_bridged_outage(
    attempts: int,
    tries: int,
    attempt_timeout: float,
    response_timeout: float,
    service_time: float,
) -> float:
    """Return the duration of the longest outage that a turn survives.

    The caller makes ``attempts`` with ``tries`` each, all tries of an attempt
    within ``attempt_timeout``, and the first one when the outage begins. The
    caller's random pauses between attempts are not included. All times are
    in seconds.
    """
    now = 0.0
    for _ in range(attempts):
        time_left = attempt_timeout
        for _ in range(tries):
            turn = PendingTurn(time_left, response_timeout, service_time)
            match decide(Outage(now), turn):
                case Wait(timeout):
                    now += timeout
                    time_left -= timeout
                    retry_after = min(
                        MIN_PAUSE_SECONDS, _compute_max_pause(time_left)
                    )
                case Refuse(retry_after):
                    pass
            now += retry_after
            time_left -= retry_after
    return math.floor(now * 10) / 10


def _compute_max_pause(time_left: float) -> float:
    return max(0.0, time_left) * MAX_PAUSE_RATIO
