"""What an organisation has used of its limit, and who may still begin.

A limit is a number of requests in any window of some seconds. Programs count
as a whole: a refusal in the middle of one wastes all that it has used. So a
request of a program that has begun is admitted while the limit has room for
it, and a new program only if the limit has room for the rest of those that
have begun and for itself.
"""

import collections
import typing

# Time is counted in so many slices a window. A slice counts until all of it
# has left the window: what is counted is never less than what was used.
SLICES = 50
# A program that sent nothing for so long keeps no room. Pauses between its
# requests are far shorter. Seconds.
PROGRAM_REST = 2.0
# For how long it is remembered that it has begun: it may have to wait for an
# outage to end. Seconds.
PROGRAM_MEMORY = 20.0
# What a program needs before any has been seen to its end, in requests, and
# how long it takes, in seconds.
USUAL_NEED = 4.0
USUAL_TIME = 1.5
# The weight of each program that has ended in what the next ones are taken
# to need.
LEARNING = 0.1
# How long a program goes on that has sent more than what is usual can't be
# known. It is taken to send this share of what it has sent so far.
LEAST_REST = 0.25
# A program that has sent this many times what is usual, and so many requests
# at the least, may loop without end: others of its organisation go first.
LOOP_TIMES = 6.0
SHORTEST_LOOP = 50
# The most programs that are remembered for one organisation.
MOST_PROGRAMS = 1000
MIN_PAUSE_SECONDS = 0.05
# While an organisation uses little, requests are admitted everywhere and told
# afterwards. Its use is close to the limit if it would pass this share of it
# within so many times RECENT at its present pace, or with what its programs
# are still to send. Seconds.
CLOSE_SHARE = 0.8
RECENT = 0.5
LOOKAHEAD = 2.0
# The share of what is tolerated beyond a limit that programs which have begun
# may use, to end. The rest is for what is used without being counted.
OVERRUN_SHARE = 0.4
# A home writes its account down each time that it has admitted this share of
# that rest. What is left covers what is on its way.
SAVE_RATIO = 0.6


class Limit(typing.NamedTuple):
    """How many requests may run in a window of ``length`` seconds.

    Programs that have begun may run ``overrun`` more, to end. ``tolerance``
    more may run where counts were lost, never else.
    """

    requests: float
    overrun: float
    tolerance: float
    length: float

    @classmethod
    def from_rate(
        cls, rate: float, burst: float, tolerance: 'Tolerance'
    ) -> typing.Self:
        """Return the limit of a rate a second and a burst on top."""
        requests = rate * tolerance.window + burst
        extra = tolerance.share * requests + tolerance.requests
        overrun = OVERRUN_SHARE * extra
        return cls(requests, overrun, extra - overrun, tolerance.window)


class Tolerance(typing.NamedTuple):
    """What may run beyond limits: a share of each, and requests on top.

    ``window`` is the time in seconds that all limits are counted over.
    """

    window: float = 5.0
    share: float = 0.0
    requests: float = 0.0


def get_reserve(limit: Limit, lost: float, is_known: bool) -> float:
    """Return how much of a limit may be used without a trace.

    ``lost`` is the share of instances that were lost within a window. What
    they have used is known if what a former home wrote down was read.
    """
    if is_known:
        return 0.0
    return max(0.0, lost * limit.requests - limit.tolerance)


def get_initial_reserve(limit: Limit, is_known: bool) -> float:
    """Return how much a new home keeps back until it was told all.

    The home before may go on for those that have not heard of the change.
    """
    beside = limit.overrun + limit.tolerance
    return max(beside, get_reserve(limit, 1.0, is_known))


class Admitted(typing.NamedTuple):
    """The request counts as used."""


class Refused(typing.NamedTuple):
    """The limit has no room; there may be some in ``pause`` seconds.

    ``used`` requests of ``limit`` are counted, and ``expected`` ones are kept
    for programs that have begun; ``is_new`` says that the program has not.
    """

    retry_after: float
    used: int
    expected: int
    limit: float
    is_new: bool


Decision = Admitted | Refused


class AdmissionRequest(typing.NamedTuple):
    """A request that asks to be admitted; '' where there is no program."""

    program: str
    route: str


class _Program:
    def __init__(self, route: str, now: float) -> None:
        self.route = route
        self.began = now
        self.last_used_at = now
        self.sent = 0
        self.is_learned = False


class Window:
    """Counts over a sliding window, by who reported them."""

    def __init__(self, length: float) -> None:
        self.length = length
        self._width = length / SLICES
        self._totals: collections.Counter[int] = collections.Counter()
        self._reported: dict[str, collections.Counter[int]] = {}
        # What a former account counted, of which the reports are a part.
        self._inherited: dict[int, int] = {}

    def add(self, reporter: str, at: float, count: int) -> None:
        """Count requests of a moment; a negative count takes some back."""
        index = int(at / self._width)
        counts = self._reported.setdefault(reporter, collections.Counter())
        counts[index] += count
        self._totals[index] += count

    def remove_reporter(self, reporter: str) -> None:
        """Forget what came from a reporter, who tells it all anew."""
        for index, count in self._reported.pop(reporter, {}).items():
            self._totals[index] -= count

    def restore(self, counts: typing.Iterable[tuple[float, int]]) -> None:
        """Take over a former account: moments and counts of all reporters."""
        self._inherited = {}
        for at, count in counts:
            index = int(at / self._width)
            self._inherited[index] = self._inherited.get(index, 0) + count

    def count(self, now: float, last: float | None = None) -> int:
        """Return the count of the ``last`` seconds, of the window if unset."""
        length = self.length if last is None else last
        first = int((now - length) / self._width)
        return sum(
            count for index, count in self._list_counts() if index >= first
        )

    def estimate_wait(self, now: float, excess: float) -> float:
        """Return in how many seconds so many requests leave the window."""
        for index, count in sorted(self._list_counts()):
            excess -= count
            if excess <= 0:
                left = (index + 1) * self._width + self.length - now
                return min(self.length, max(MIN_PAUSE_SECONDS, left))
        return self.length

    def list_counts(self) -> list[tuple[float, int]]:
        """Return moments and counts of what is in the window."""
        return [
            (index * self._width, count)
            for index, count in self._list_counts()
            if count
        ]

    def prune(self, now: float) -> None:
        """Drop what has left the window."""
        first = int((now - self.length) / self._width)
        for counts in (
            self._totals,
            self._inherited,
            *self._reported.values(),
        ):
            for index in [one for one in counts if one < first]:
                del counts[index]
        for reporter in [one for one, c in self._reported.items() if not c]:
            del self._reported[reporter]

    def _list_counts(self) -> typing.Iterator[tuple[int, int]]:
        if not self._inherited:
            yield from self._totals.items()
            return
        for index in self._totals.keys() | self._inherited.keys():
            inherited = self._inherited.get(index, 0)
            yield index, max(self._totals[index], inherited)


class ProgramStatistics:
    """How many requests programs send and how long they take, by route."""

    def __init__(self) -> None:
        self._found: dict[str, tuple[float, float]] = {}

    def find(self, route: str) -> tuple[float, float]:
        """Return the requests and seconds that a program is taken to need."""
        return self._found.get(route, (USUAL_NEED, USUAL_TIME))

    def learn(self, route: str, requests: float, seconds: float) -> None:
        """Take what a program has needed."""
        need, time = self.find(route)
        self._found[route] = (
            need + LEARNING * (requests - need),
            time + LEARNING * (seconds - time),
        )


class Account:
    """One organisation's use of its limit, as counted in one place.

    ``reserve`` requests of the limit are not given out: they may have been
    used without a trace.
    """

    def __init__(self, window: float, needs: ProgramStatistics) -> None:
        self.window = Window(window)
        self._needs = needs
        self._programs: collections.OrderedDict[str, _Program] = (
            collections.OrderedDict()
        )
        self.limit = Limit(0.0, 0.0, 0.0, window)
        self.version = 0
        self.reserve = 0.0
        self.last_used_at = float('-inf')

    def set_limit(self, limit: Limit, version: int) -> None:
        """Take a limit over unless a newer one is known."""
        if version >= self.version:
            self.limit = limit
            self.version = version

    def record(self, asked: AdmissionRequest, count: int, now: float) -> None:
        """Note requests of a program that were admitted elsewhere."""
        self.last_used_at = now
        if not asked.program:
            return
        program = self._programs.get(asked.program)
        if program is None:
            program = _Program(asked.route, now)
            self._programs[asked.program] = program
            if len(self._programs) > MOST_PROGRAMS:
                self._programs.popitem(last=False)
        program.route = program.route or asked.route
        program.last_used_at = now
        program.sent += count
        self._programs.move_to_end(asked.program)

    def request_admission(
        self, reporter: str, asked: AdmissionRequest, now: float
    ) -> Decision:
        """Admit a request, or refuse it."""
        self._end_programs(now)
        used = self.window.count(now)
        limit = self.limit
        room = limit.requests - self.reserve
        program = self._programs.get(asked.program)
        if program is not None:
            room += limit.overrun
            kept = 0.0
            if self._may_loop(program):
                kept = self._find_expected(now, asked.program)
            excess = used + kept + 1 - room
            if excess <= 0:
                return self._admit(reporter, asked, now)
            retry_after = self.window.estimate_wait(now, excess)
            return Refused(
                retry_after, used, round(kept), limit.requests, False
            )
        return self._ask_new(reporter, asked, used, room, now)

    def is_near_limit(self, now: float) -> bool:
        """Say whether the limit may be reached in a moment."""
        recent = LOOKAHEAD * self.window.count(now, RECENT)
        coming = max(recent, self._find_expected(now))
        used = self.window.count(now) + coming
        return used > CLOSE_SHARE * (self.limit.requests - self.reserve)

    def _ask_new(
        self,
        reporter: str,
        asked: AdmissionRequest,
        used: int,
        room: float,
        now: float,
    ) -> Decision:
        expected = self._find_expected(now)
        need, time = self._needs.find(asked.route)
        # By the middle of the program's time this much has left the window.
        later = self.window.count(now, self.window.length - time / 2)
        excess = later + expected + need - room
        # Alone, a program may be short enough for the smallest limit.
        is_alone = not expected and used + 1 <= room
        if (excess <= 0 and used + 1 <= room) or is_alone:
            return self._admit(reporter, asked, now)
        retry_after = self.window.estimate_wait(now, excess)
        return Refused(
            retry_after, used, round(expected), self.limit.requests, True
        )

    def _admit(
        self, reporter: str, asked: AdmissionRequest, now: float
    ) -> Decision:
        self.window.add(reporter, now, 1)
        self.record(asked, 1, now)
        return Admitted()

    def _may_loop(self, program: _Program) -> bool:
        need, _ = self._needs.find(program.route)
        return program.sent > max(SHORTEST_LOOP, LOOP_TIMES * need)

    def _find_expected(self, now: float, but: str = '') -> float:
        """Return the requests that programs under way may still send.

        The program ``but`` is left out.
        """
        total = 0.0
        for name, program in reversed(self._programs.items()):
            if now - program.last_used_at > PROGRAM_REST:
                break
            if name == but:
                continue
            need, _ = self._needs.find(program.route)
            rest = LEAST_REST * max(need, program.sent)
            total += max(need - program.sent, rest)
        return total

    def _end_programs(self, now: float) -> None:
        """Learn from the programs that have ended, and forget old ones."""
        for name, program in list(self._programs.items()):
            if now - program.last_used_at < PROGRAM_REST:
                break
            if not program.is_learned:
                program.is_learned = True
                time = program.last_used_at - program.began
                self._needs.learn(program.route, program.sent, time)
            if now - program.last_used_at >= PROGRAM_MEMORY:
                del self._programs[name]
