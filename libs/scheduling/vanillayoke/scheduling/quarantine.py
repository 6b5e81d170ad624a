"""Requests under which the processes of targets have ended.

A request that ends each target which runs it must not reach ever more of them.
After a few ends it is in quarantine: it reaches no target of its service for a
time, then one run decides whether it is let in again. Only a version of the
software that was deployed later still gets it, and one that has run it whole.

Targets also end for other reasons, with many requests under way. A run that
ends whole clears its request, and for a time protects it from being taken for
the cause of ends that come together.

Pure logic without I/O. Times are in seconds on the clock of the instance.
"""

import collections
import typing

# Processes that may end under a request before it is in quarantine.
MAX_ENDS = 3
# From as many ends on, a suspect runs beside no other suspect: one that ends
# its targets must not take the others with it each time.
MIN_EXCLUSIVE_ENDS = 2
# The first quarantine; each further end doubles it up to the maximum.
QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 960.0
# Ends are forgotten this long after the quarantine, or after the last end.
RETENTION_SECONDS = 300.0
# How long a run that ended whole speaks for its request.
COMPLETION_SECONDS = 60.0
# The oldest are forgotten beyond these numbers.
MAX_SUSPECTS = 1000
MAX_ENDS_KEPT = 16
MAX_VERSIONS = 16
MAX_COMPLETIONS = 2000


class Software(typing.NamedTuple):
    """The software of a target: another version may handle a request."""

    service: str
    version: str


class End(typing.NamedTuple):
    """A process that ended under a request.

    ``started`` tells the processes of a target apart. An instance that can't
    read the store does not learn of a restart; ``number`` then counts the ends
    that it saw of one ``started``. The request reached the process at
    ``began_at``, and it ended at ``ended_at``. ``versions`` are those of the
    service's software that were deployed then.
    """

    target: str
    started: int
    software: Software
    began_at: float
    ended_at: float
    versions: tuple[str, ...] = ()
    number: int = 0

    @property
    def process(self) -> tuple[str, int, int]:
        """What identifies the process."""
        return self.target, self.started, self.number


class Completion(typing.NamedTuple):
    """A run of a request that ended whole at a target of some software."""

    software: Software
    completed_at: float


class Verdict(typing.NamedTuple):
    """How many ends count, and when a request in quarantine is let in.

    ``is_protected`` says that the request ran whole shortly before. The
    quarantine holds for ``versions`` of the service's software.
    """

    ends: int
    is_protected: bool
    released_at: float | None
    versions: frozenset[str]

    def is_quarantined(self, now: float) -> bool:
        """Return whether the request must not reach a target."""
        return self.released_at is not None and now < self.released_at


class Suspect:
    """A request under which at least one process has ended."""

    def __init__(self) -> None:
        self.ends: dict[tuple[str, int, int], End] = {}
        # When the last known run ended whole, by the target's software.
        self.completions: dict[Software, float] = {}

    @property
    def last_end_at(self) -> float:
        """When the last process ended."""
        return max(end.ended_at for end in self.ends.values())

    @property
    def count(self) -> int:
        """The largest number of ends that count for one service."""
        return max(verdict.ends for verdict in self.judge().values())

    @property
    def must_run_exclusively(self) -> bool:
        """Whether no other suspect may run at the same target."""
        return self.count >= MIN_EXCLUSIVE_ENDS

    def must_run_alone(self, now: float) -> bool:
        """Return whether no two runs of the request may be under way.

        A request that ran whole lately may meet a target that ends. Software
        that must not get it does not matter.
        """
        return any(
            verdict.ends > (1 if verdict.is_protected else 0)
            and not verdict.is_quarantined(now)
            for verdict in self.judge().values()
        )

    def is_quarantined(self, now: float) -> bool:
        """Return whether the request is in quarantine for any service."""
        return any(
            verdict.is_quarantined(now) for verdict in self.judge().values()
        )

    @property
    def expires_at(self) -> float:
        """When the ends are forgotten."""
        releases = [
            verdict.released_at
            for verdict in self.judge().values()
            if verdict.released_at is not None
        ]
        return max([self.last_end_at, *releases]) + RETENTION_SECONDS

    def judge(self) -> dict[str, Verdict]:
        """Return a verdict for each service whose processes ended."""
        by_service: dict[str, list[End]] = {}
        for end in self.ends.values():
            by_service.setdefault(end.software.service, []).append(end)
        return {
            service: self._judge_ends(service, ends)
            for service, ends in by_service.items()
        }

    def _judge_ends(self, service: str, ends: list[End]) -> Verdict:
        ends.sort(key=lambda end: end.ended_at)
        is_protected = any(
            end.ended_at - self._get_completion(end.software)
            < COMPLETION_SECONDS
            for end in ends
        )
        count = _count_successive(ends) if is_protected else len(ends)
        released_at = None
        if count >= MAX_ENDS:
            released_at = ends[-1].ended_at + min(
                MAX_QUARANTINE_SECONDS,
                QUARANTINE_SECONDS * 2.0 ** (count - MAX_ENDS),
            )
        ended = {end.software.version for end in ends}
        deployed = {version for end in ends for version in end.versions}
        sound = {
            version
            for version in deployed - ended
            if Software(service, version) in self.completions
        }
        versions = frozenset((deployed | ended) - sound)
        return Verdict(count, is_protected, released_at, versions)

    def _get_completion(self, software: Software) -> float:
        return self.completions.get(software, float('-inf'))

    def record_completion(self, completion: Completion) -> None:
        """Drop the ends that a later whole run speaks against."""
        software, completed_at = completion
        self.completions[software] = max(
            self._get_completion(software), completed_at
        )
        for process, end in list(self.ends.items()):
            if end.software == software and end.ended_at <= completed_at:
                del self.ends[process]


def _count_successive(ends: list[End]) -> int:
    """Count the ends whose run began after the last one that counts.

    Targets that end together, for a reason of their own, have many requests
    in common.
    """
    count = 0
    last_at = float('-inf')
    for end in ends:
        if end.began_at >= last_at:
            count += 1
            last_at = end.ended_at
    return count


class SuspectList:
    """The suspects that an instance knows, by fingerprint."""

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[str, Suspect] = (
            collections.OrderedDict()
        )
        self._completions: collections.OrderedDict[str, Completion] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> typing.Iterator[str]:
        return iter(list(self._suspects))

    def get(self, fingerprint: str) -> Suspect | None:
        """Return what is known of a request, ``None`` if nothing."""
        return self._suspects.get(fingerprint)

    def find_completion(
        self, fingerprint: str, now: float
    ) -> Completion | None:
        """Return the last whole run of a request if it still counts."""
        completion = self._completions.get(fingerprint)
        if (
            completion is None
            or now - completion.completed_at >= COMPLETION_SECONDS
        ):
            return None
        return completion

    def number_end(self, fingerprint: str, end: End) -> End:
        """Return an end with its number among those of one ``started``.

        A run that began after such an end met a later process.
        """
        suspect = self._suspects.get(fingerprint)
        earlier = [] if suspect is None else suspect.ends.values()
        numbers = [
            other.number + 1
            for other in earlier
            if other.target == end.target
            and other.started == end.started
            and other.ended_at < end.began_at
        ]
        return end._replace(number=max(numbers, default=0))

    def record_end(self, fingerprint: str, end: End, now: float) -> bool:
        """Record that a process ended under a request.

        Return whether this is news. An end before the last whole run is not.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = Suspect()
            completion = self.find_completion(fingerprint, now)
            if completion is not None:
                suspect.record_completion(completion)
        completed_at = suspect.completions.get(end.software, float('-inf'))
        if end.process in suspect.ends or end.ended_at <= completed_at:
            return False
        suspect.ends[end.process] = end
        while len(suspect.ends) > MAX_ENDS_KEPT:
            oldest = min(suspect.ends.values(), key=lambda end: end.ended_at)
            del suspect.ends[oldest.process]
        self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return True

    def record_completion(
        self, fingerprint: str, completion: Completion
    ) -> bool:
        """Record that a request has run whole, here or elsewhere.

        Return whether it was a suspect and has been cleared by it.
        """
        known = self._completions.get(fingerprint)
        if known is None or known.completed_at <= completion.completed_at:
            self._completions[fingerprint] = completion
        self._completions.move_to_end(fingerprint)
        while len(self._completions) > MAX_COMPLETIONS:
            self._completions.popitem(last=False)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        suspect.record_completion(completion)
        if suspect.ends:
            return False
        del self._suspects[fingerprint]
        return True

    def expire(self, now: float) -> list[str]:
        """Forget the suspects whose time is over, and return them."""
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires_at <= now
        ]
        for fingerprint in expired:
            del self._suspects[fingerprint]
        return expired
