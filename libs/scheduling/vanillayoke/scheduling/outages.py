"""Who waits for a store that is away, and who is told to come back.

The load that this answers: all programs of a service keep their turns in the
store, and it is away for seconds. A caller sends a turn three times, each
time with one more try behind a refusal, and gives its program up after that.
A refusal at once uses up all tries within a third of one turn's time each; a
turn that waits is served in the moment of the return. So a turn waits as long
as the store may well be back in time to serve it, and no longer: one that
can't be served any more is told so at once, and that it has not run.

How long an outage goes on is guessed from its age alone: of outages that
have lasted for some seconds, about half last as long again. Where earlier
ones are known, those that lasted longer than this one has count as well.
"""

import math
import typing

# A turn waits where the store is back in time with this chance at least. A
# refusal at once uses up one of the caller's few tries as well, so waiting
# pays as long as it may end well; below it nearly all would only hear late.
# With .25 long programs that had seconds left were given up in the seventh
# second of an outage that ended then.
LEAST_CHANCE = 0.1
# So many earlier outages count as much as the guess by age.
GUESS_WEIGHT = 2.0
# Callers come back as told within this share of the time they have left.
LONGEST_PAUSE_SHARE = 0.32
# A caller that waited to the end of its time comes back at once: its next
# try waits in its turn. Seconds.
MIN_PAUSE_SECONDS = 0.05


class Outage(typing.NamedTuple):
    """The store is away: for how long, in seconds, and earlier ones."""

    age: float
    earlier: tuple[float, ...] = ()


class PendingTurn(typing.NamedTuple):
    """A turn that needs the store before it can run.

    ``left`` is the time in seconds until its caller's deadline, ``silence``
    how long it goes on waiting without a byte, ``needed`` what it takes to
    serve it.
    """

    time_left: float
    response_timeout: float
    service_time: float


class CompletedTurn(typing.NamedTuple):
    """A turn that has run: only its row is missing.

    ``left`` is the time in seconds until its caller gives up.
    """

    time_left: float


class Wait(typing.NamedTuple):
    """Wait for the store, so many seconds at the most."""

    timeout: float


class Refuse(typing.NamedTuple):
    """Tell the caller to come back after a pause in seconds."""

    retry_after: float


def decide(outage: Outage, turn: PendingTurn | CompletedTurn) -> Wait | Refuse:
    """Return what becomes of a turn that meets a store that is away."""
    match turn:
        case CompletedTurn(time_left):
            # Its answer is there; it is handed over as soon as its row
            # stands, for as long as its caller is there to take it.
            return Wait(max(0.0, time_left))
        case PendingTurn(time_left, response_timeout, service_time):
            spare = min(time_left, response_timeout) - service_time
            if spare <= 0:
                return Refuse(min(MIN_PAUSE_SECONDS, _bound_pause(time_left)))
            if find_chance(outage, spare) < LEAST_CHANCE:
                return Refuse(_bound_pause(time_left))
            return Wait(spare)


def find_chance(outage: Outage, within: float) -> float:
    """Return the chance that the store is back within so many seconds."""
    guess = within / max(within + outage.age, 1e-9)
    longer = [one for one in outage.earlier if one > outage.age]
    if not longer:
        return guess
    ended = sum(one <= outage.age + within for one in longer)
    return (GUESS_WEIGHT * guess + ended) / (GUESS_WEIGHT + len(longer))


def find_bridged(
    sends: int,
    tries: int,
    deadline: float,
    response_timeout: float,
    service_time: float,
) -> float:
    """Return the longest outage that a turn outlives, in seconds.

    It is sent ``sends`` times with ``tries`` each within ``deadline``, and
    its caller takes a silence of ``silence``; it begins as the store goes.
    The pauses between the sends, which callers draw, are left out.
    """
    now = 0.0
    for _ in range(sends):
        time_left = deadline
        for _ in range(tries):
            turn = PendingTurn(time_left, response_timeout, service_time)
            match decide(Outage(now), turn):
                case Wait(timeout):
                    now += timeout
                    time_left -= timeout
                    retry_after = min(
                        MIN_PAUSE_SECONDS, _bound_pause(time_left)
                    )
                case Refuse(retry_after):
                    pass
            now += retry_after
            time_left -= retry_after
    return math.floor(now * 10) / 10


def _bound_pause(time_left: float) -> float:
    return max(0.0, time_left) * LONGEST_PAUSE_SHARE
