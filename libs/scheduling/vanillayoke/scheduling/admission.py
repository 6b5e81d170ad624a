"""Which programs may start: an engine's working set fits its memory."""

import math

from vanillayoke.scheduling import policies
from vanillayoke.scheduling import views

EXPECTED_TOKENS = 4000
"""Tokens that a program's conversation is expected to grow to."""

_PATIENCE = 3.0
"""How far the bounds widen over a wait that lasts to the deadline.

Instances get programs by hash, hence unequal backlogs, and see the same
room. The one whose programs waited longest accepts a fuller engine, so that
it goes first without asking the others.
"""

_MOST_FILL = 1.3
_WINDOW_SECONDS = 20.0
_FIRST_STARTED = 10.0
_FIRST_SECONDS = 5.0


def may_start(
    policy: policies.Admission,
    view: views.TargetView,
    instances: int,
    urgent: bool,
    waited: float,
) -> bool:
    """Tell whether a new program may start on an engine.

    An urgent one always may: its priority number takes it to the front of
    the engine's queue.

    The own share of the memory is always there to use. Beyond it an
    instance goes by the engine's report, and until the next report promises
    no more than its share of the room that the report showed: reports are
    late, and all instances read the same room at the same time.
    ``waited`` is the part of the time to its deadline that the program has
    waited.
    """
    match policy:
        case policies.OpenAdmission():
            return True
        case policies.WorkingSet(fill, depth):
            if urgent:
                return True
            widened = 1 + _PATIENCE * waited
            if not _has_batch_room(view, instances, depth * widened):
                return False
            fill *= min(widened, _MOST_FILL)
            return _has_cache_room(view, instances, fill)


def _has_batch_room(
    view: views.TargetView, instances: int, depth: float
) -> bool:
    limit = view.spec.slots * depth
    if view.estimate_load() < limit:
        return True
    return len(view.own) < limit / instances / 2


def _has_cache_room(
    view: views.TargetView, instances: int, fill: float
) -> bool:
    size = view.spec.cache_tokens
    if view.kept + EXPECTED_TOKENS <= fill * size / instances / 2:
        return True
    room = view.estimate_room() - (1 - fill) * size
    if room < EXPECTED_TOKENS:
        return False
    return view.promised <= max(0, room / instances)


def find_part(
    view: views.TargetView, instances: int, reserve: float, urgent: bool
) -> int:
    """Return how many calls of one instance a service may have at once.

    All parts together exceed the service's limit by less than the number of
    instances. ``reserve`` of the limit is for urgent calls alone, as far as
    every instance keeps one place for the others.
    """
    part = math.ceil(view.spec.slots / instances)
    if urgent:
        return part
    return max(1, min(part, int(part * (1 - reserve))))


class Backlog:
    """How long a new program waits, learned from past starts.

    Programs wait here and then in an engine's queue, so a start is the end
    of a program's first call. Starts are counted over the time during which
    programs waited, and both fade with that time; what nobody waited for
    tells nothing of how fast the engines take programs in.
    """

    def __init__(self) -> None:
        self._started = _FIRST_STARTED
        self._seconds = _FIRST_SECONDS
        self._busy_since: float | None = None

    def note_started(self, now: float, others_wait: bool) -> None:
        """Take in a start, and whether programs still wait."""
        self._pass_time(now)
        self._started += 1
        if not others_wait:
            self._busy_since = None

    def note_waiting(self, now: float) -> None:
        """Take in that a program has to wait."""
        if self._busy_since is None:
            self._busy_since = now

    def estimate_wait(self, before: int, now: float) -> float:
        """Return the seconds until ``before`` programs have started."""
        self._pass_time(now)
        return before * self._seconds / self._started

    def _pass_time(self, now: float) -> None:
        if self._busy_since is None:
            return
        passed = now - self._busy_since
        self._busy_since = now
        fading = math.exp(-passed / _WINDOW_SECONDS)
        self._started *= fading
        self._seconds = self._seconds * fading + passed
