"""How many requests each target has, counted at one place for all instances.

Each target has a home among the instances, to which all of them tell what
they send there and when it has ended. So its count is as exact as datagrams
are quick, where the reports that one of many instances gets are seconds old.
"""

import typing

# A target's own report counts for less and less: it tells of requests whose
# beginning went to another home. Seconds.
REPORT_HALF_LIFE = 0.2
# Weight of the newest request in a target's pace: some ten requests tell a
# target that is four times slower from one that had a few long requests.
PACE_STEP = 0.1
# A pace is forgotten by half within this time without a request, so that a
# target that nobody uses for being slow is tried again. Seconds.
PACE_HALF_LIFE = 2.0
# Requests differ by so much by themselves that less is no slowness.
LEAST_SLOWNESS = 2.0
# One request counts as at most so many times slower than usual.
MOST_SLOWNESS = 8.0


class Load(typing.NamedTuple):
    """What a home knows of a target.

    ``slowness`` is the time that its requests take against what such ones
    usually take, 1 if it is about as usual.
    """

    requests: float
    slowness: float = 1.0


class _Tally:
    def __init__(self) -> None:
        # Until when each request may last. One whose end was not told is over
        # by then: its instance died, or the datagram was lost.
        self.running: dict[str, float] = {}
        self.reported = 0.0
        self.reported_at = float('-inf')
        self.pace = 1.0
        self.paced_at = 0.0


class Tallies:
    """Counts for the targets whose home this instance is."""

    def __init__(self) -> None:
        self._tallies: dict[str, _Tally] = {}

    def begin(
        self, target: str, request: str, until: float, now: float
    ) -> None:
        """Take that a request goes to a target, until then at the latest."""
        running = self._find(target).running
        running[request] = until
        for other in [one for one, end in running.items() if end <= now]:
            del running[other]

    def end(
        self,
        target: str,
        request: str,
        reported: int | None,
        pace: float | None,
        now: float,
    ) -> None:
        """Take that a request has ended, and what it told of the target.

        ``reported`` counts the requests that it had with this one, ``pace``
        is the time taken against what such requests usually take.
        """
        tally = self._find(target)
        tally.running.pop(request, None)
        if reported is not None:
            tally.reported = max(0, reported - 1)
            tally.reported_at = now
        if pace is not None:
            known = _read_pace(tally, now)
            pace = min(MOST_SLOWNESS, pace)
            tally.pace = known + PACE_STEP * (pace - known)
            tally.paced_at = now

    def find_load(self, target: str, now: float) -> Load:
        """Return how much work a target has and how slow it is."""
        tally = self._tallies.get(target)
        if tally is None:
            return Load(0.0)
        pace = _read_pace(tally, now)
        slowness = pace if pace >= LEAST_SLOWNESS else 1.0
        return Load(self.count(target, now), slowness)

    def count(self, target: str, now: float) -> float:
        """Return about how many requests a target has."""
        tally = self._tallies.get(target)
        if tally is None:
            return 0.0
        running = sum(until > now for until in tally.running.values())
        age = max(0.0, now - tally.reported_at)
        reported = tally.reported * 0.5 ** (age / REPORT_HALF_LIFE)
        return max(float(running), reported)

    def forget(self, targets: typing.Container[str]) -> None:
        """Forget the targets that are not among ``targets`` any more."""
        for name in [name for name in self._tallies if name not in targets]:
            del self._tallies[name]

    def drop(self, target: str) -> None:
        """Forget one target: it has started again, and has no work."""
        self._tallies.pop(target, None)

    def _find(self, target: str) -> _Tally:
        tally = self._tallies.get(target)
        if tally is None:
            tally = self._tallies[target] = _Tally()
        return tally


def _read_pace(tally: _Tally, now: float) -> float:
    age = max(0.0, now - tally.paced_at)
    return 1.0 + (tally.pace - 1.0) * 0.5 ** (age / PACE_HALF_LIFE)
