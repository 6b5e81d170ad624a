"""Programs that ask to start within a limit, by priority."""

import collections
import typing

# Period over which the start rates of programs are measured. A kind of program
# that has not been seen for this time has no claim on the limit.
START_RATE_SECONDS = 5.0
# Programs that are remembered; older ones are forgotten early.
MAX_PROGRAMS = 1000
# A less urgent kind of program is admitted at least this often relative to
# the more urgent ones.
MIN_ADMISSION_RATIO = 0.1
MAX_ADMISSION_CREDIT = 1.0


class AdmissionRequest(typing.NamedTuple):
    """The program and route of a request; '' without a program.

    ``priority`` is that of the route, 0 the most urgent. It is ``None`` if the
    request can't start a program, or if priorities are not used.
    """

    program: str
    route: str
    priority: int | None = None


class _Start(typing.NamedTuple):
    at: float
    priority: int
    route: str


class ProgramStarts:
    """Programs that recently asked to start, whether admitted or not.

    A program that asks again is counted once.
    """

    def __init__(self) -> None:
        self._starts: collections.OrderedDict[str, _Start] = (
            collections.OrderedDict()
        )
        # Numbers of programs by priority and route.
        self._counts: dict[int, collections.Counter[str]] = {}
        self._admitted: collections.Counter[int] = collections.Counter()
        self._admitted_names: set[str] = set()
        # Admissions that a less urgent kind is owed.
        self._credits: dict[int, float] = {}
        self._unnamed_count = 0

    @property
    def has_several_kinds(self) -> bool:
        """Whether programs of several priorities have asked."""
        return len(self._counts) > 1

    @property
    def lowest_priority(self) -> int:
        """The priority of the least urgent programs."""
        return max(self._counts, default=0)

    def add(self, request: AdmissionRequest, now: float) -> str:
        """Count a program; return the name to report its admission with."""
        name = request.program
        if not name:
            self._unnamed_count += 1
            name = f'/{self._unnamed_count}'
        if name in self._starts or request.priority is None:
            return name
        priority = request.priority
        self._starts[name] = _Start(now, priority, request.route)
        counts = self._counts.setdefault(priority, collections.Counter())
        counts[request.route] += 1
        if len(self._starts) > MAX_PROGRAMS:
            self._remove_oldest()
        credit = self._credits.get(priority, 0.0)
        credit += MIN_ADMISSION_RATIO * self._get_served_ratio(priority)
        self._credits[priority] = min(MAX_ADMISSION_CREDIT, credit)
        return name

    def record_admission(self, name: str) -> None:
        """Record that a program was admitted."""
        start = self._starts.get(name)
        if start is None or name in self._admitted_names:
            return
        self._admitted_names.add(name)
        self._admitted[start.priority] += 1
        credit = self._credits.get(start.priority, 0.0)
        self._credits[start.priority] = max(0.0, credit - 1.0)

    def has_credit(self, priority: int) -> bool:
        """Return whether a kind was admitted less often than it has to be."""
        return self._credits.get(priority, 0.0) >= MAX_ADMISSION_CREDIT

    def list_more_urgent(
        self, priority: int
    ) -> typing.Iterator[tuple[str, int]]:
        """Return the routes and numbers of the more urgent programs."""
        for other, counts in self._counts.items():
            if other < priority:
                yield from counts.items()

    def prune(self, now: float) -> None:
        """Forget programs that asked too long ago."""
        while self._starts:
            start = next(iter(self._starts.values()))
            if now - start.at < START_RATE_SECONDS:
                return
            self._remove_oldest()

    def _get_served_ratio(self, priority: int) -> float:
        """Return the lowest share admitted of any more urgent kind."""
        return min(
            (
                self._admitted[other] / counts.total()
                for other, counts in self._counts.items()
                if other < priority
            ),
            default=1.0,
        )

    def _remove_oldest(self) -> None:
        name, start = self._starts.popitem(last=False)
        counts = self._counts[start.priority]
        counts[start.route] -= 1
        if not counts[start.route]:
            del counts[start.route]
        if not counts:
            del self._counts[start.priority]
        if name in self._admitted_names:
            self._admitted_names.discard(name)
            self._admitted[start.priority] -= 1
