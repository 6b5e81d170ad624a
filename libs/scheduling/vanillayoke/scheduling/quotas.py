"""Admission of requests by the rate limits of organisations.

A limit is a number of requests in a sliding window. Refusing a request in the
middle of a program wastes all its previous requests. A request of a running
program is therefore admitted while the limit is not reached, a new program
only if the limit also covers the expected requests of all running programs
and its own.

Where requests carry the priority of their route, a new program is admitted
only if the limit also covers the more urgent programs that are expected to
start before the usage that is counted now has left the window.
"""

import collections
import math
import typing

from vanillayoke.core import figures
from vanillayoke.scheduling import program_starts
from vanillayoke.scheduling import program_statistics
from vanillayoke.scheduling import request_windows

# A program without requests for this time has no expected requests. Pauses
# between the requests of a program are far shorter.
PROGRAM_IDLE_SECONDS = 2.0
# The longer a program has been idle, the more likely it has ended: its pauses
# are a tenth to a third of a second. Where this is taken into account, a
# program that is idle for this time has no expected requests. Counting ended
# programs in full left a sixth of a limit unused while programs were refused.
PROGRAM_FADE_SECONDS = 1.0
# A program counts as running for this time after its last request: it may be
# waiting for an outage to end.
PROGRAM_RETENTION_SECONDS = 20.0
# A program is expected to send at least this share of the requests that it
# has already sent. How long one goes on that has exceeded the average can't be
# known.
MIN_EXPECTED_RATIO = 0.25
# Programs with more requests than this, both relative to the average and in
# total, may be in an endless loop. Other programs take precedence over them.
LOOP_FACTOR = 6.0
MIN_LOOP_REQUESTS = 50
MAX_PROGRAMS = 1000
# An account is near its limit if the present usage, together with the usage
# of the last RECENT_SECONDS times LOOKAHEAD_FACTOR or the expected requests of
# its programs, exceeds this share of the limit.
NEAR_LIMIT_RATIO = 0.8
RECENT_SECONDS = 0.5
LOOKAHEAD_FACTOR = 2.0
# Share of the tolerance beyond a limit that running programs may use. The
# rest covers requests that are not counted.
OVERRUN_RATIO = 0.4
# The shortest time for which the limit has to cover more urgent programs. It
# allows for starts that are not evenly spaced.
MIN_LOOKAHEAD_SECONDS = 0.5
# Points in time of the lookahead, from the next moment to a whole window.
LOOKAHEAD_STEPS = 5
# How long after an account has come near its limit all instances have reported
# what they admitted without asking. Before, a running program may be unknown
# and must not be taken for a new one that is to wait for more urgent ones.
REPORT_SECONDS = 0.5
# How long an account with programs of several priorities stays near its limit.
NEAR_LIMIT_SECONDS = 1.0
# A coordinator saves an account whenever it has admitted this share of that
# rest. The remainder covers requests admitted while the save is in progress.
SAVE_RATIO = 0.6

AdmissionRequest = program_starts.AdmissionRequest


class Limit(typing.NamedTuple):
    """The number of requests allowed in a window of ``length`` seconds.

    Running programs may exceed it by ``overrun``, so that they can end.
    ``tolerance`` bounds the excess that may result from lost counts.
    """

    requests: figures.Amount
    overrun: figures.Amount
    tolerance: figures.Amount
    length: figures.Seconds

    @classmethod
    def from_rate(
        cls, rate: float, burst: float, tolerance: 'Tolerance'
    ) -> typing.Self:
        """Return the limit for a rate per second and an additional burst."""
        requests = rate * tolerance.window + burst
        extra = tolerance.share * requests + tolerance.requests
        overrun = OVERRUN_RATIO * extra
        return cls(requests, overrun, extra - overrun, tolerance.window)


class Tolerance(typing.NamedTuple):
    """By how much limits may be exceeded: a share of each plus some requests.

    ``window`` is the length in seconds of the window of all limits.
    """

    window: float = 5.0
    share: float = 0.0
    requests: float = 0.0


def get_reserve(limit: Limit, lost: float, is_known: bool) -> float:
    """Return the requests of a limit to hold back for usage that was lost.

    ``lost`` is the share of instances that failed within a window.
    ``is_known`` tells that the usage saved by a previous coordinator was
    read, so that nothing has to be held back.
    """
    if is_known:
        return 0.0
    return max(0.0, lost * limit.requests - limit.tolerance)


def get_initial_reserve(limit: Limit, is_known: bool) -> float:
    """Return the requests that a new coordinator holds back at first.

    Until all instances have reported their usage to the new coordinator, the
    previous one may still admit requests.
    """
    excess = limit.overrun + limit.tolerance
    return max(excess, get_reserve(limit, 1.0, is_known))


class Admitted(typing.NamedTuple):
    """The request is admitted and counted."""


class Refused(typing.NamedTuple):
    """The limit is reached; a retry may succeed in ``retry_after`` seconds.

    ``used`` requests are counted against ``limit``, and ``expected`` ones are
    reserved for running programs. ``is_new`` means that the request would
    start a program. ``urgent`` requests are kept for more urgent programs; if
    it is not 0, the program would have been admitted without them.
    """

    retry_after: float
    used: int
    expected: int
    limit: float
    is_new: bool
    urgent: int = 0


Decision = Admitted | Refused


class _Program:
    def __init__(self, route: str, now: float) -> None:
        self.route = route
        self.started_at = now
        self.last_used_at = now
        self.sent = 0
        self.is_learned = False


class Account:
    """One organisation's usage of its limit, as counted by its coordinator.

    ``reserve`` requests of the limit are held back, since their usage may
    have been lost. If ``fades_idle_programs`` is set, fewer requests are
    expected from programs the longer they have been idle.
    """

    def __init__(
        self,
        window: float,
        statistics: program_statistics.ProgramStatistics,
        fades_idle_programs: bool = False,
    ) -> None:
        self.window = request_windows.Window(window)
        self._statistics = statistics
        self._fades_idle_programs = fades_idle_programs
        self._programs: collections.OrderedDict[str, _Program] = (
            collections.OrderedDict()
        )
        self._starts = program_starts.ProgramStarts()
        self._near_limit_since: float | None = None
        self._near_limit_at = float('-inf')
        self.limit = Limit(0.0, 0.0, 0.0, window)
        self.version = 0
        self.reserve = 0.0
        self.last_used_at = float('-inf')

    def set_limit(self, limit: Limit, version: int) -> None:
        """Set the limit unless a newer version of it is known."""
        if version >= self.version:
            self.limit = limit
            self.version = version

    def record(
        self, request: AdmissionRequest, count: int, now: float
    ) -> None:
        """Record requests of a program that were admitted elsewhere."""
        self.last_used_at = now
        if not request.program:
            return
        program = self._programs.get(request.program)
        if program is None:
            if request.priority is not None:
                self._starts.record_admission(self._starts.add(request, now))
            program = _Program(request.route, now)
            self._programs[request.program] = program
            if len(self._programs) > MAX_PROGRAMS:
                self._programs.popitem(last=False)
        program.route = program.route or request.route
        program.last_used_at = now
        program.sent += count
        self._programs.move_to_end(request.program)

    def request_admission(
        self, reporter: str, request: AdmissionRequest, now: float
    ) -> Decision:
        """Admit or refuse a request."""
        self._end_programs(now)
        self._starts.prune(now)
        used = self.window.count(now)
        limit = self.limit
        available = limit.requests - self.reserve
        program = self._programs.get(request.program)
        if program is not None:
            available += limit.overrun
            expected = 0.0
            if self._may_loop(program):
                expected = self._estimate_expected(now, request.program)
            excess = used + expected + 1 - available
            if excess <= 0:
                return self._admit(reporter, request, now)
            retry_after = self.window.estimate_wait(now, excess)
            return Refused(
                retry_after, used, round(expected), limit.requests, False
            )
        return self._request_start(reporter, request, used, available, now)

    def is_near_limit(self, now: float) -> bool:
        """Return whether the expected usage is close to the limit.

        If so, each request has to be admitted by the coordinator. Otherwise
        instances admit requests and report them afterwards.
        """
        self._starts.prune(now)
        recent = LOOKAHEAD_FACTOR * self.window.count(now, RECENT_SECONDS)
        expected = self._estimate_expected(now)
        used = self.window.count(now) + max(recent, expected)
        available = NEAR_LIMIT_RATIO * (self.limit.requests - self.reserve)
        is_near = used > available
        if not self._starts.has_several_kinds:
            self._near_limit_since = None
            return is_near
        if not is_near:
            lowest = self._starts.lowest_priority
            peak, _ = self._estimate_peak(lowest, 0.0, now)
            is_near = peak + expected > available
        if is_near:
            self._near_limit_at = now
        elif now - self._near_limit_at >= NEAR_LIMIT_SECONDS:
            self._near_limit_since = None
            return False
        if self._near_limit_since is None:
            self._near_limit_since = now
        return True

    def _request_start(
        self,
        reporter: str,
        request: AdmissionRequest,
        used: int,
        available: float,
        now: float,
    ) -> Decision:
        """Admit or refuse the first request of a program."""
        name = self._starts.add(request, now)
        expected = self._estimate_expected(now)
        requests, seconds = self._statistics.get(request.route)
        # Usage that is still in the window after half of the program's time.
        remaining = self.window.count(now, self.window.length - seconds / 2)
        excess = remaining + expected + requests - available
        # Otherwise no program could start if the limit is lower than the
        # average number of requests.
        is_only = not expected and used + 1 <= available
        urgent = 0
        if (excess <= 0 and used + 1 <= available) or is_only:
            needed = expected + requests - available
            total, urgent = self._find_shortage(request, needed, seconds, now)
            if total <= 0:
                self._starts.record_admission(name)
                return self._admit(reporter, request, now)
            excess = total
        retry_after = self.window.estimate_wait(now, excess)
        return Refused(
            retry_after,
            used,
            round(expected),
            self.limit.requests,
            True,
            urgent,
        )

    def _find_shortage(
        self,
        request: AdmissionRequest,
        needed: float,
        seconds: float,
        now: float,
    ) -> tuple[float, int]:
        """Return what a new program's limit lacks for more urgent programs.

        ``needed`` is what it lacks without them and without the usage in the
        window, ``seconds`` the duration of the program. Also return the
        requests kept for more urgent programs; 0 if nothing is lacking.
        """
        priority = request.priority
        if priority is None or self._near_limit_since is None:
            return 0.0, 0
        if now - self._near_limit_since < REPORT_SECONDS:
            return 0.0, 0
        if self._starts.has_credit(priority):
            return 0.0, 0
        peak, urgent = self._estimate_peak(priority, seconds / 2, now)
        shortage = peak + needed
        if urgent <= 0 or shortage <= 0:
            return 0.0, 0
        return shortage, max(1, round(urgent))

    def _estimate_peak(
        self, priority: int, start: float, now: float
    ) -> tuple[float, float]:
        """Return the highest usage within the next window, and its share.

        It is the usage that is still in the window then and that of the more
        urgent programs expected until then; the latter is also returned by
        itself. The peak is searched from ``start`` seconds on.
        """
        count, requests = 0, 0.0
        for route, number in self._starts.list_more_urgent(priority):
            count += number
            requests += number * self._statistics.get(route)[0]
        if not count:
            return 0.0, 0.0
        average = requests / count
        length = self.window.length
        peak, urgent = 0.0, 0.0
        for step in range(LOOKAHEAD_STEPS + 1):
            ahead = start + (length - start) * step / LOOKAHEAD_STEPS
            period = max(MIN_LOOKAHEAD_SECONDS, ahead)
            number = count * period / program_starts.START_RATE_SECONDS
            # Starts are random: one standard deviation more than the mean.
            arriving = average * (number + math.sqrt(number))
            usage = self.window.count(now, length - ahead) + arriving
            if usage > peak:
                peak, urgent = usage, arriving
        return peak, urgent

    def _admit(
        self, reporter: str, request: AdmissionRequest, now: float
    ) -> Decision:
        self.window.add(reporter, now, 1)
        self.record(request, 1, now)
        return Admitted()

    def _may_loop(self, program: _Program) -> bool:
        requests, _ = self._statistics.get(program.route)
        return program.sent > max(MIN_LOOP_REQUESTS, LOOP_FACTOR * requests)

    def _estimate_expected(self, now: float, excluded: str = '') -> float:
        """Return the number of requests expected from running programs."""
        total = 0.0
        for name, program in reversed(self._programs.items()):
            if now - program.last_used_at > PROGRAM_IDLE_SECONDS:
                break
            if name == excluded:
                continue
            requests, _ = self._statistics.get(program.route)
            minimum = MIN_EXPECTED_RATIO * max(requests, program.sent)
            expected = max(requests - program.sent, minimum)
            if self._fades_idle_programs:
                idle = now - program.last_used_at
                expected *= max(0.0, 1.0 - idle / PROGRAM_FADE_SECONDS)
            total += expected
        return total

    def _end_programs(self, now: float) -> None:
        """Update the statistics and discard programs that have ended."""
        for name, program in list(self._programs.items()):
            if now - program.last_used_at < PROGRAM_IDLE_SECONDS:
                break
            if not program.is_learned:
                program.is_learned = True
                seconds = program.last_used_at - program.started_at
                self._statistics.learn(program.route, program.sent, seconds)
            if now - program.last_used_at >= PROGRAM_RETENTION_SECONDS:
                del self._programs[name]
