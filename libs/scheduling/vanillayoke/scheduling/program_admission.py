"""Admission of new programs by the capacity of a service's targets.

All instances decide by themselves from the same loads of zones, which are up
to a second old. A program that is admitted occupies slots for one to two
seconds, so a decision that only compares the load with a bound would admit
all programs and then refuse all. Instead, the instances estimate how fast
programs arrive, from the growth of the load and the share of programs that
all of them have admitted, and compute the share that brings the load to its
target within a short time. Each instance admits that share of the programs
that arrive at it, the more urgent ones first.
"""

import collections
import math
import typing

from vanillayoke.scheduling import zone_loads

# Requests per slot that are aimed at while programs are refused. Slightly more
# than one, so that no slot is idle while others have a queue.
TARGET_UTILISATION = 1.1
# For the most urgent programs, whose requests do not wait behind others.
URGENT_TARGET_UTILISATION = 1.3
# Programs are refused from the first utilisation on, until it has fallen below
# the second one.
MIN_REFUSAL_UTILISATION = 0.95
END_OF_REFUSAL_UTILISATION = 0.7
# The time in which the load is brought to its target. It is longer than that
# of a program, as a shorter one makes the load oscillate.
CONTROL_SECONDS = 2.0
# Averaging period of the rate of arrival.
RATE_SECONDS = 2.0
# Avoids a division by zero while no programs arrive.
MIN_RATE = 0.001
# Loads that are measured within this time are not compared with each other:
# they differ mostly by chance.
MIN_SAMPLE_SECONDS = 0.4
# Programs are always admitted at this share of their rate, so that the rate of
# admission can be estimated and no kind is starved.
MIN_SHARE = 0.05
# Averaging period of the shares of priorities. A priority without programs
# for longer has no claim on the capacity.
KIND_SECONDS = 5.0
MAX_KIND_AGE_SECONDS = 10.0
# Programs learned from before estimates are used to refuse a program that
# can't end in time.
MIN_LEARNED_PROGRAMS = 5
LEARNING_RATE = 0.1
INITIAL_TURNS = 4.0
INITIAL_PROGRAM_SECONDS = 1.5
INITIAL_TURN_SECONDS = 0.2
INITIAL_IDLE_RATIO = 0.6
# Allows for programs that take longer than most of their route.
END_MARGIN_SECONDS = 0.05
# How much a waiting request delays a more urgent one, relative to others.
LESS_URGENT_WEIGHT = 0.5
# At least this share of the slots serves the less urgent programs.
MIN_LEFT_RATIO = 0.25
# Weight of a program in the mean duration of programs.
MEAN_SECONDS_RATE = 0.05
# Share of the admissions that is kept for programs that return.
RETURN_RATIO = 0.1
# Programs that return in excess of that are not offset by new ones.
MAX_OWED_ADMISSIONS = 4
# An instance lets a program return at least this often, per second.
MIN_RETURN_RATE = 0.05
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
# Callers ignore a longer pause. The rest of a third allows for the time until
# the caller gets the refusal.
MAX_RETRY_RATIO = 0.3
# A program that returns so much too early is not sent away again.
RETURN_TOLERANCE_SECONDS = 0.05
MAX_REFUSED_PROGRAMS = 2000
REFUSAL_RETENTION_SECONDS = 10.0
# Bounds of the history of shares.
HISTORY_SECONDS = 3.0
HISTORY_STEP_SECONDS = 0.05
INTEGRATION_STEP_SECONDS = 0.1
MAX_UTILISATION = 4.0


class Demand(typing.NamedTuple):
    """What a route's programs need on idle targets.

    ``idle_ratio`` is the share of their time limit that they take.
    """

    turns: float = INITIAL_TURNS
    seconds: float = INITIAL_PROGRAM_SECONDS
    turn_seconds: float = INITIAL_TURN_SECONDS
    idle_ratio: float = INITIAL_IDLE_RATIO
    programs: int = 0

    @property
    def slot_seconds(self) -> float:
        """The total time that a program occupies a slot."""
        return min(self.turns * self.turn_seconds, self.seconds)


class NewProgram(typing.NamedTuple):
    """A program whose first turn waits for admission.

    ``time_left`` is the time within which it has to end, if that is known, and
    ``patience`` the one within which the request has to be answered.
    ``waited`` is the time since the program was first refused. ``is_hot`` says
    that its organisation has used up its share.
    """

    route: str
    priority: int
    time_left: float | None
    patience: float
    is_hot: bool = False
    waited: float = 0.0


class Admitted(typing.NamedTuple):
    """The program is admitted."""


class Refused(typing.NamedTuple):
    """The program is refused, and why.

    ``share`` is the share of such programs that is admitted.
    ``expected_seconds`` is the time that the program would take now. If
    ``is_reserved``, it will be admitted when it returns after ``retry_after``
    seconds.
    """

    retry_after: float
    is_reserved: bool
    share: float
    utilisation: float
    expected_seconds: float
    load_age: float


Decision = Admitted | Refused


class DemandModel:
    """Learns the demand of programs by route."""

    def __init__(self) -> None:
        self._demands: dict[str, Demand] = {}

    def get(self, route: str) -> Demand:
        """Return the demand of a route's programs."""
        return self._demands.get(route, Demand())

    def learn_program(
        self,
        route: str,
        turns: int,
        seconds: float,
        delay: float,
        time_limit: float,
    ) -> None:
        """Learn from a program that has ended.

        ``delay`` of its ``seconds`` was spent waiting.
        """
        if turns < 1 or seconds <= 0 or time_limit <= 0:
            return
        demand = self.get(route)
        rate = max(LEARNING_RATE, 1 / (demand.programs + 1))
        idle = max(0.0, seconds - delay)
        self._demands[route] = demand._replace(
            turns=_approach(demand.turns, turns, rate),
            seconds=_approach(demand.seconds, idle, rate),
            idle_ratio=_approach(
                demand.idle_ratio, min(1.0, idle / time_limit), rate
            ),
            programs=demand.programs + 1,
        )

    def learn_turn(self, route: str, seconds: float) -> None:
        """Learn how long a turn was at its target."""
        demand = self.get(route)
        self._demands[route] = demand._replace(
            turn_seconds=_approach(demand.turn_seconds, seconds, LEARNING_RATE)
        )


class Return(typing.NamedTuple):
    """A program that was refused before.

    ``waited`` is the time since it was first refused. It is admitted in
    ``wait`` seconds, 0 for now; ``None`` if that was not promised.
    """

    waited: float
    wait: float | None


class _RefusedProgram(typing.NamedTuple):
    refused_at: float
    due: float | None


class RefusedPrograms:
    """Programs that were refused, at their coordinator."""

    def __init__(self) -> None:
        self._programs: collections.OrderedDict[str, _RefusedProgram] = (
            collections.OrderedDict()
        )

    def add(self, program: str, due: float | None, now: float) -> None:
        """Record a refusal; ``due`` is when the program will be admitted."""
        self._prune(now)
        known = self._programs.get(program)
        refused_at = now if known is None else known.refused_at
        self._programs[program] = _RefusedProgram(refused_at, due)
        if len(self._programs) > MAX_REFUSED_PROGRAMS:
            self._programs.popitem(last=False)

    def find(self, program: str, now: float) -> Return | None:
        """Return what is known of a program, ``None`` if it is new."""
        known = self._programs.get(program)
        if known is None or now - known.refused_at > REFUSAL_RETENTION_SECONDS:
            return None
        wait = None
        if known.due is not None:
            wait = known.due - now
            if wait <= RETURN_TOLERANCE_SECONDS:
                wait = 0.0
        return Return(now - known.refused_at, wait)

    def _prune(self, now: float) -> None:
        while self._programs:
            oldest = next(iter(self._programs.values()))
            if now - oldest.refused_at < REFUSAL_RETENTION_SECONDS:
                return
            self._programs.popitem(last=False)


class _Sample(typing.NamedTuple):
    """The load of all zones at one time."""

    measured_at: float
    slots: int
    requests: float

    @property
    def utilisation(self) -> float:
        return min(MAX_UTILISATION, self.requests / self.slots)


class ServiceCapacity:
    """Computes the share of programs that a service can take.

    The result depends on the loads of the zones only, so that all instances
    get about the same one.
    """

    def __init__(self) -> None:
        self._sample: _Sample | None = None
        # The last load that was compared with an earlier one.
        self._compared: _Sample | None = None
        # Averages of the slots per second, in units of all slots, that
        # admitted programs began to occupy, and of the share admitted.
        self._admitted_rate = 0.0
        self._admitted_share = 0.0
        # Times from which shares applied, and the shares.
        self._shares: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # Slots per second that programs leave, and those that arriving ones
        # would occupy, at the last update.
        self._allowed = 0.0
        self._arriving = 0.0
        self.is_refusing = False
        self.share = 1.0
        self.utilisation = 0.0
        self.load_age = 0.0

    @property
    def is_known(self) -> bool:
        """Whether there is a recent load."""
        return self._sample is not None

    def update(
        self,
        loads: dict[str, zone_loads.ZoneLoad],
        program_seconds: float,
        now: float,
    ) -> None:
        """Update the share from the loads of the zones.

        ``program_seconds`` is the mean duration of programs. Without loads
        all programs are admitted.
        """
        sample = _sum_loads(loads)
        if sample is None or now - sample.measured_at > (
            zone_loads.MAX_AGE_SECONDS
        ):
            self._forget(now)
            return
        self._learn_arrivals(sample, program_seconds)
        self._sample = sample
        self.load_age = now - sample.measured_at
        self.utilisation = self._predict(program_seconds, now)
        self._update_mode()
        self._allowed = _compute_end_rate(self.utilisation, program_seconds)
        self._arriving = self._get_arrival_rate()
        if self._arriving is None:
            # The first load: all that is known is the excess.
            self._arriving = self.utilisation / program_seconds

    def get_share(self, target: float) -> float:
        """Return the share of all programs that leads to a utilisation."""
        if not self.is_refusing:
            return 1.0
        allowed = self._allowed + (target - self.utilisation) / CONTROL_SECONDS
        if allowed <= MIN_SHARE * self._arriving:
            return MIN_SHARE
        return min(1.0, allowed / max(self._arriving, MIN_RATE))

    def _forget(self, now: float) -> None:
        self._sample = self._compared = None
        self._admitted_rate = self._admitted_share = 0.0
        self.is_refusing = False
        self.utilisation = 0.0
        self.load_age = math.inf
        self.record_share(1.0, now)

    def _get_arrival_rate(self) -> float | None:
        """Return the slots per second that arriving programs would occupy.

        It is in units of all present slots. Return ``None`` if there is only
        one load so far.
        """
        if not self._admitted_share:
            return None
        rate = self._admitted_rate / self._admitted_share
        return rate * self._compared.slots / self._sample.slots

    def _learn_arrivals(self, sample: _Sample, program_seconds: float) -> None:
        previous = self._compared
        if previous is None:
            self._compared = sample
            return
        elapsed = sample.measured_at - previous.measured_at
        if elapsed < MIN_SAMPLE_SECONDS:
            return
        self._compared = sample
        # Compared at the present number of slots: targets may have failed.
        self._admitted_rate *= previous.slots / sample.slots
        before = min(MAX_UTILISATION, previous.requests / sample.slots)
        after = sample.utilisation
        ended = _compute_end_rate((before + after) / 2, program_seconds)
        rate = max(0.0, (after - before) / elapsed + ended)
        share = self._average_share(previous.measured_at, sample.measured_at)
        weight = 1 - math.exp(-elapsed / RATE_SECONDS)
        if not self._admitted_share:
            weight = 1.0
        self._admitted_rate += weight * (rate - self._admitted_rate)
        self._admitted_share += weight * (share - self._admitted_share)

    def _predict(self, program_seconds: float, now: float) -> float:
        """Return the utilisation now, after what was admitted since."""
        utilisation = self._sample.utilisation
        rate = self._get_arrival_rate()
        if rate is None:
            return utilisation
        at = self._sample.measured_at
        while at < now:
            step = min(INTEGRATION_STEP_SECONDS, now - at)
            admitted = rate * self._average_share(at, at + step)
            ended = _compute_end_rate(utilisation, program_seconds)
            utilisation += step * (admitted - ended)
            at += step
        return min(MAX_UTILISATION, max(0.0, utilisation))

    def _update_mode(self) -> None:
        bound = MIN_REFUSAL_UTILISATION
        if self.is_refusing:
            bound = END_OF_REFUSAL_UTILISATION
        self.is_refusing = self.utilisation > bound

    def record_share(self, share: float, now: float) -> None:
        """Record the share of all programs that is admitted from now on."""
        self.share = share
        if not self._shares:
            self._shares.append((now, share))
        elif now - self._shares[-1][0] < HISTORY_STEP_SECONDS:
            self._shares[-1] = (self._shares[-1][0], share)
        elif self._shares[-1][1] != share:
            self._shares.append((now, share))
        while len(self._shares) > 1 and (
            self._shares[1][0] < now - HISTORY_SECONDS
        ):
            self._shares.popleft()

    def _average_share(self, start: float, end: float) -> float:
        """Return the average share that applied from start to end."""
        total, until = 0.0, end
        for at, share in reversed(self._shares):
            since = max(start, at)
            if since < until:
                total += share * (until - since)
                until = since
            if at <= start:
                break
        # Before the oldest entry all programs were admitted.
        total += max(0.0, until - start)
        return total / (end - start)


class _Kind:
    """Arrivals of programs of one priority at this instance."""

    def __init__(self, now: float, random_number: float) -> None:
        self.last_at = now
        self.rate = 0.0
        # What is left of the share after the last program. Instances start at
        # different values, so that not all refuse their first program.
        self.rest = random_number
        # Admissions that returning programs have taken from new ones.
        self.owed = 0

    def add(self, now: float, weight: float) -> None:
        """Count a program that occupies ``weight`` slots."""
        self.rate = self.get_rate(now) + weight / KIND_SECONDS
        self.last_at = now

    def get_rate(self, now: float) -> float:
        """Return the slots per second, 0 if there were none recently."""
        elapsed = now - self.last_at
        if elapsed > MAX_KIND_AGE_SECONDS:
            return 0.0
        return self.rate * math.exp(-elapsed / KIND_SECONDS)


class ProgramAdmission:
    """Admits the new programs that arrive at one instance."""

    def __init__(self, demands: DemandModel) -> None:
        self._demands = demands
        self._services: dict[str, _Service] = {}

    def get_capacity(self, service: str) -> ServiceCapacity:
        """Return what is known of a service's capacity."""
        return self._get_service(service).capacity

    def list_rates(self, service: str, now: float) -> list[float]:
        """Return the slots per second of arriving programs, by urgency."""
        return self._get_service(service).list_rates(now)

    def update(
        self,
        service: str,
        loads: dict[str, zone_loads.ZoneLoad],
        now: float,
    ) -> ServiceCapacity:
        """Update the share of programs that a service can take."""
        state = self._get_service(service)
        state.update(loads, now)
        return state.capacity

    def record_arrival(
        self,
        service: str,
        program: NewProgram,
        now: float,
        random_number: float,
        is_certain: bool = True,
    ) -> None:
        """Count a program that may have begun before if not ``is_certain``.

        One that was refused before is not counted again.
        ``random_number`` is between 0 and 1.
        """
        if program.waited:
            return
        demand = self._demands.get(program.route)
        count = 1.0 if is_certain else 1.0 / max(1.0, demand.turns)
        self._get_service(service).record_arrival(
            program, demand, count, now, random_number
        )

    def decide(
        self,
        service: str,
        program: NewProgram,
        now: float,
        wait: float | None = None,
    ) -> Decision:
        """Admit or refuse a new program, after its arrival was recorded.

        ``wait`` is the time until it will be admitted if that was promised.
        """
        state = self._get_service(service)
        demand = self._demands.get(program.route)
        capacity = state.capacity
        if not capacity.is_refusing:
            return Admitted()
        queue = state.estimate_queue(program, now)
        expected = _estimate_seconds(demand, program, queue)
        share = state.get_share(program)
        # A program that was refused for good has made room for later ones, so
        # it is admitted only when all new ones are. Otherwise the number of
        # programs that ask would grow with that of refusals, and the share
        # would follow it too late.
        if (
            (not program.waited or share >= 1.0)
            and _can_end(demand, program, expected)
            and state.take(program, share)
        ):
            return Admitted()
        longest = _get_longest_wait(program)
        if wait is None:
            latest = longest
            if program.time_left is not None:
                idle = _estimate_seconds(demand, program, 0.0)
                spare = program.time_left - idle - END_MARGIN_SECONDS
                latest = min(longest, spare)
            wait = state.reserve_return(now, latest)
        return Refused(
            longest if wait is None else min(longest, wait),
            wait is not None,
            share,
            capacity.utilisation,
            expected,
            capacity.load_age,
        )

    def admit_returning(
        self, service: str, program: NewProgram, now: float
    ) -> bool:
        """Return whether a program that returns when told to is admitted."""
        state = self._get_service(service)
        demand = self._demands.get(program.route)
        queue = state.estimate_queue(program, now)
        expected = _estimate_seconds(demand, program, queue)
        if not _can_end(demand, program, expected):
            return False
        state.record_return(program)
        return True

    def _get_service(self, name: str) -> '_Service':
        state = self._services.get(name)
        if state is None:
            state = self._services[name] = _Service()
        return state


class _Service:
    """The programs of one service that arrive at this instance."""

    def __init__(self) -> None:
        self.capacity = ServiceCapacity()
        self.mean_seconds = INITIAL_PROGRAM_SECONDS
        self._kinds: dict[int, _Kind] = {}
        self._level_shares: dict[int, float] = {}
        # The last time that was reserved for a program that returns.
        self._last_return_at = -math.inf
        # Programs per second that arrive.
        self._rate = 0.0
        self._last_at = -math.inf

    def update(
        self, loads: dict[str, zone_loads.ZoneLoad], now: float
    ) -> None:
        """Update the capacity, and the share of each kind of program.

        More urgent programs take their part of the capacity first.
        """
        self.capacity.update(loads, self.mean_seconds, now)
        rates = {
            level: rate
            for level, kind in sorted(self._kinds.items())
            if (rate := kind.get_rate(now))
        }
        total = sum(rates.values())
        admitted = 0.0
        self._level_shares = {}
        for number, (level, rate) in enumerate(rates.items()):
            target = TARGET_UTILISATION
            if not number and len(rates) > 1:
                target = URGENT_TARGET_UTILISATION
            share = self.capacity.get_share(target)
            # Rounding must not leave a share slightly below 1, at which
            # returning programs are refused.
            if share < 1.0:
                left = share * total - admitted
                share = min(1.0, max(MIN_SHARE, left / rate))
            self._level_shares[level] = share
            admitted += share * rate
        if total:
            share = admitted / total
        else:
            share = self.capacity.get_share(TARGET_UTILISATION)
        self.capacity.record_share(share, now)

    def record_arrival(
        self,
        program: NewProgram,
        demand: Demand,
        count: float,
        now: float,
        random_number: float,
    ) -> None:
        """Count a program that arrives."""
        level = _get_level(program)
        kind = self._kinds.get(level)
        if kind is None:
            kind = self._kinds[level] = _Kind(now, random_number)
        seconds = max(0.05, demand.seconds)
        kind.add(now, count * demand.slot_seconds / seconds)
        weight = MEAN_SECONDS_RATE * count
        self.mean_seconds += weight * (seconds - self.mean_seconds)
        decay = math.exp((self._last_at - now) / KIND_SECONDS)
        self._rate = self._rate * decay + count / KIND_SECONDS
        self._last_at = now

    def list_rates(self, now: float) -> list[float]:
        """Return the slots per second of arriving programs, by urgency."""
        return [self._kinds[key].get_rate(now) for key in sorted(self._kinds)]

    def get_share(self, program: NewProgram) -> float:
        """Return the share of programs of this priority to admit."""
        return self._level_shares.get(_get_level(program), self.capacity.share)

    def estimate_queue(self, program: NewProgram, now: float) -> float:
        """Return how many requests per slot a request would wait behind.

        Less urgent ones come after it, unless they have begun. More urgent
        ones that arrive later go before it.
        """
        level = _get_level(program)
        before = after = total = 0.0
        for other, kind in self._kinds.items():
            share = self._level_shares.get(other, self.capacity.share)
            rate = share * kind.get_rate(now)
            total += rate
            if other < level:
                before += rate
            elif other > level:
                after += rate
        if not total:
            return max(0.0, self.capacity.utilisation - 1.0)
        ahead = 1 - after / total * (1 - LESS_URGENT_WEIGHT)
        queue = max(0.0, self.capacity.utilisation * ahead - 1.0)
        return queue / max(MIN_LEFT_RATIO, 1 - before / total)

    def take(self, program: NewProgram, share: float) -> bool:
        """Return whether the next program is within the share."""
        kind = self._kinds.get(_get_level(program))
        if kind is None:
            # The program was refused at another instance, and none of its kind
            # has arrived at this one yet.
            return share >= 1.0
        kind.rest += share
        if kind.rest < 1.0:
            return False
        kind.rest -= 1.0
        if kind.owed:
            # A returning program was admitted in place of this one.
            kind.owed -= 1
            return False
        return True

    def reserve_return(self, now: float, longest: float) -> float | None:
        """Reserve the next time for a program to return.

        Return in how many seconds, ``None`` if it would be too long.
        """
        rate = RETURN_RATIO * self.capacity.share * self._rate
        interval = 1 / max(MIN_RETURN_RATE, rate)
        due = max(now + MIN_RETRY_SECONDS, self._last_return_at + interval)
        if due - now > longest:
            return None
        self._last_return_at = due
        return due - now

    def record_return(self, program: NewProgram) -> None:
        """Record that a returning program was admitted."""
        kind = self._kinds.get(_get_level(program))
        if kind is None:
            # Its kind has not arrived at this instance yet.
            return
        kind.owed = min(kind.owed + 1, MAX_OWED_ADMISSIONS)


def _get_longest_wait(program: NewProgram) -> float:
    """Return the longest pause that the caller will wait for."""
    patience = program.patience
    if program.time_left is not None:
        patience = min(patience, program.time_left)
    return min(MAX_RETRY_SECONDS, max(0.0, MAX_RETRY_RATIO * patience))


def _get_level(program: NewProgram) -> int:
    """Return the order of a program among others, 0 first.

    A hot organisation's programs come after all others of their priority.
    """
    return 2 * program.priority + program.is_hot


def _estimate_seconds(
    demand: Demand, program: NewProgram, queue: float
) -> float:
    """Return how long a program would take.

    If there is one request per slot in the queue before it, a turn waits as
    long as another one holds a slot.
    """
    idle = demand.seconds
    if program.time_left is not None and demand.programs:
        # Programs of a route differ in length, as do their time limits.
        idle = demand.idle_ratio * (program.time_left + program.waited)
    return idle + demand.slot_seconds * queue


def _can_end(demand: Demand, program: NewProgram, expected: float) -> bool:
    """Return whether a program can end in time, as far as that is known."""
    if program.time_left is None or demand.programs < MIN_LEARNED_PROGRAMS:
        return True
    return expected + END_MARGIN_SECONDS <= program.time_left


def _compute_end_rate(utilisation: float, program_seconds: float) -> float:
    """Return the slots per second that programs that end leave.

    It is in units of all slots; requests that wait for a slot do not progress.
    """
    return min(1.0, utilisation) / program_seconds


def _sum_loads(loads: dict[str, zone_loads.ZoneLoad]) -> _Sample | None:
    slots = sum(load.slots for load in loads.values())
    if not slots:
        return None
    return _Sample(
        sum(load.slots * load.measured_at for load in loads.values()) / slots,
        slots,
        sum(load.running + load.waiting for load in loads.values()),
    )


def _approach(value: float, observed: float, rate: float) -> float:
    return value + rate * (observed - value)
