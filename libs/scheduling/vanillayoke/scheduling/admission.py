"""Admission of new programs by the load and cache usage of engines."""

import math

from vanillayoke.scheduling import policies
from vanillayoke.scheduling import views

EXPECTED_TOKENS = 4000
"""Expected length of a program's conversation."""

_MAX_WAIT_WIDENING = 3.0
"""By how much limits are widened for a program that waited to its deadline.

Instances have backlogs of different length but see the same free capacity.
The one whose programs waited longest accepts a higher load, and so goes first
without coordination.
"""

_MAX_FILL_FACTOR = 1.3
_DECAY_SECONDS = 20.0
_INITIAL_STARTED = 10.0
_INITIAL_SECONDS = 5.0


def may_start(
    policy: policies.Admission,
    view: views.TargetView,
    instances: int,
    urgent: bool,
    waited: float,
) -> bool:
    """Return whether a new program may start on an engine.

    An urgent program always may: its priority number puts it at the front of
    the engine's queue.

    Each instance may always use its share of the cache. Beyond that it uses
    the free cache that the engine reported, but until the next report no more
    than its share of it: all instances see the same reports with a delay.
    ``waited`` is the share of the time to its deadline that the program has
    waited.
    """
    match policy:
        case policies.OpenAdmission():
            return True
        case policies.WorkingSet(fill, depth):
            if urgent:
                return True
            widening = 1 + _MAX_WAIT_WIDENING * waited
            if not _has_queue_capacity(view, instances, depth * widening):
                return False
            fill *= min(widening, _MAX_FILL_FACTOR)
            return _has_cache_capacity(view, instances, fill)


def _has_queue_capacity(
    view: views.TargetView, instances: int, depth: float
) -> bool:
    limit = view.spec.slots * depth
    if view.estimate_load() < limit:
        return True
    return len(view.own_calls) < limit / instances / 2


def _has_cache_capacity(
    view: views.TargetView, instances: int, fill: float
) -> bool:
    size = view.spec.cache_tokens
    if view.own_cache_tokens + EXPECTED_TOKENS <= fill * size / instances / 2:
        return True
    free = view.estimate_free_cache() - (1 - fill) * size
    if free < EXPECTED_TOKENS:
        return False
    return view.reserved_tokens <= max(0, free / instances)


def compute_share(
    view: views.TargetView, instances: int, reserve: float, urgent: bool
) -> int:
    """Return how many concurrent calls one instance may send to a service.

    All shares together exceed the service's limit by less than the number of
    instances. ``reserve`` is the share of the limit that only urgent calls
    may use, except that each instance may always send one other call.
    """
    share = math.ceil(view.spec.slots / instances)
    if urgent:
        return share
    return max(1, min(share, int(share * (1 - reserve))))


class Backlog:
    """Estimates the waiting time of new programs by the rate of past starts.

    Programs wait here and then in an engine's queue, so a start is the end
    of a program's first call. Starts are counted only while programs wait,
    since otherwise their rate says nothing about the engines' capacity. Both
    the count and that time decay exponentially.
    """

    def __init__(self) -> None:
        self._started = _INITIAL_STARTED
        self._seconds = _INITIAL_SECONDS
        self._busy_since: float | None = None

    def record_start(self, now: float, others_wait: bool) -> None:
        """Record a start and whether other programs still wait."""
        self._advance(now)
        self._started += 1
        if not others_wait:
            self._busy_since = None

    def record_waiting(self, now: float) -> None:
        """Record that a program waits."""
        if self._busy_since is None:
            self._busy_since = now

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return the estimated seconds until so many programs have started."""
        self._advance(now)
        return ahead * self._seconds / self._started

    def _advance(self, now: float) -> None:
        if self._busy_since is None:
            return
        elapsed = now - self._busy_since
        self._busy_since = now
        decay = math.exp(-elapsed / _DECAY_SECONDS)
        self._started *= decay
        self._seconds = self._seconds * decay + elapsed
