"""Choice of the target at which a request is expected to complete first.

All terms are in seconds: the wait for a slot, the reading of the prompt tokens
that the target has not cached, the generation of the expected events at the
target's present speed, the distance to its zone, and the delay that the
request causes to others. Without the last term, requests would queue at fast
targets while slow ones have free slots: each request completes earlier in the
queue, but delays all that come after it.
"""

import typing

from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import prefixes
from vanillayoke.scheduling import program_slack

# Initial estimates, replaced by the first observations. The engines in use
# need 39 and 46 ms for an event, and their turns have 4 to 5 events; the
# shortest calls of other services take 10 ms.
INITIAL_EVENT_SECONDS = 0.04
INITIAL_EVENT_COUNT = 5.0
INITIAL_LATENCY_SECONDS = 0.02
# The engines in use read 123 and 221 tokens per ms.
INITIAL_READ_SECONDS = 1 / 160_000
# The initial read time counts like five samples that differ from their mean
# by a thousand tokens, a typical prompt.
INITIAL_READ_WEIGHT = 5 * 1000.0**2
# The learned read time is within this factor of the initial one.
MAX_READ_CHANGE = 20.0
# Times to the first event are clipped to the expected one multiplied by this
# factor. A single one, measured by an instance that stood still for 3 s,
# would raise the learned read time by a factor of 18.
MAX_READ_RATIO = 4.0
# Weight of all earlier samples of the read time relative to a new one.
READ_DECAY_FACTOR = 0.99
# A round trip between zones takes 1 to 3 ms.
ZONE_DISTANCE_SECONDS = 0.002
# The cost of a byte between zones. A turn of 8 KB is sent to another zone only
# if it completes 32 ms earlier there, a fifth of its duration. With a demand
# of the zones that oscillates by 55%, half this cost sends up to a tenth more
# turns to other zones, and the mean duration stays the same.
ZONE_BYTE_SECONDS = 4e-6
BYTES_PER_TOKEN = 4
# Random addition relative to the time of the work, so that instances with the
# same outdated view do not all choose the same target. In the simulation of
# ``tests/scheduling``, 0.3 lowers the mean duration by 3% with views that are
# 0.2 s old and makes no difference with present ones, but it is more than the
# time to read a typical prompt. The target with the session's cache gets no
# addition, since each program has another one.
MAX_JITTER = 0.1
# The delay of others. A request that waits delays those that come after it: a
# weight of 4 instead of 1 lowers the mean duration at unequal engines by 14%
# if they are 90% full and by 32% if they are 97% full. A request that takes
# one of the last slots is likely to make others wait, by up to the time of its
# work. Tokens that are read into a full cache displace others, which have to
# be read again.
WAIT_WEIGHT = 4.0
MAX_OCCUPANCY_COST = 1.0
# A coordinator has lost contact to other instances if it knows of requests at
# a target but of none that began or ended in this multiple of their duration.
MAX_SILENCE = 1.5
# Further candidates are considered if the best of the first ones is expected
# to take longer than an idle target of mean speed by this factor: a slow one
# (1.7) or a contended one (2.5) does not suffice.
MAX_SLOWDOWN = 1.5
# Further candidates: the remaining ones of the own zone, and of other zones.
MAX_FURTHER_LOCAL = 5
MAX_FURTHER_REMOTE = occupancy.MAX_CANDIDATES


class TargetState(typing.NamedTuple):
    """The present state of a target.

    ``requests`` counts the running and waiting ones. ``speed`` is the
    long-term time of its work relative to the service's mean, ``contention``
    the present one relative to its usual time. ``latency_ratio`` is a slowness
    that these do not explain.
    """

    requests: float
    slots: int
    speed: float = 1.0
    contention: float = 1.0
    latency_ratio: float = 1.0

    @property
    def waiting(self) -> float:
        """The number of requests that wait for a slot."""
        return max(0.0, self.requests - self.slots)

    @property
    def slowness(self) -> float:
        """The time of work relative to an idle target of mean speed."""
        return self.speed * self.contention * self.latency_ratio


class Demand(typing.NamedTuple):
    """What a request needs, in seconds at an idle target of mean speed.

    ``work`` is the time to generate its events, or its usual latency. A
    typical request of the service holds its slot for ``hold``. ``slope`` is
    the relative time that each other request at the target adds.
    ``transfer_bytes`` are sent between zones if its target is in another one.
    ``cache_fullness`` is the share of the engines' caches that is in use.
    """

    work: float
    hold: float
    slope: float = 0.0
    prompt_tokens: int = 0
    shared_tokens: int = 0
    read_seconds: float = 0.0
    transfer_bytes: float = 0.0
    cache_fullness: float = 0.0


class Estimate(typing.NamedTuple):
    """The expected completion of a request at a target.

    ``seconds`` is the total and includes ``wait``, the time until a slot is
    free. ``cost`` also includes the delay of other requests. ``state`` is that
    of the target when it was chosen.
    """

    target: str
    seconds: float
    cost: float
    wait: float
    uncached_tokens: float
    state: TargetState


def estimate(
    target: str,
    state: TargetState,
    demand: Demand,
    uncached_tokens: float,
    is_remote: bool,
) -> Estimate:
    """Return when a request is expected to complete at a target."""
    slots = max(1, state.slots)
    others = min(state.requests, slots - 1.0)
    slowdown = 1.0 + demand.slope * others
    # The slots free up one by one; a free slot needs no wait.
    preceding = max(0.0, state.requests - (slots - 1.0))
    wait = preceding / slots * demand.hold * slowdown * state.slowness
    work = demand.work * slowdown + uncached_tokens * demand.read_seconds
    seconds = wait + work * state.slowness
    if is_remote:
        seconds += compute_distance(demand)
    occupied = min(1.0, state.requests / slots)
    cost = seconds + (WAIT_WEIGHT - 1.0) * wait
    displaced = uncached_tokens * demand.cache_fullness
    others_work = MAX_OCCUPANCY_COST * occupied**2 * demand.work
    others_work += displaced * demand.read_seconds
    cost += others_work * state.slowness
    return Estimate(target, seconds, cost, wait, uncached_tokens, state)


def compute_distance(demand: Demand) -> float:
    """Return the cost of a target in another zone, in seconds."""
    return ZONE_DISTANCE_SECONDS + demand.transfer_bytes * ZONE_BYTE_SECONDS


def choose(
    candidates: typing.Sequence[occupancy.Candidate],
    states: typing.Mapping[str, TargetState],
    demand: Demand,
    criteria: occupancy.PlacementCriteria,
    zone: str,
    random_float: typing.Callable[[], float],
) -> Estimate | None:
    """Return the best expected completion, ``None`` without candidates.

    ``zone`` is that of the instance.
    """
    ranks = (
        occupancy.rank_within_zones(candidates, criteria)
        if criteria.rank_cost > 0
        else {}
    )
    best = None
    lowest = 0.0
    for candidate in candidates:
        uncached_tokens = count_uncached_tokens(
            candidate.name, demand, criteria, ranks
        )
        one = estimate(
            candidate.name,
            states[candidate.name],
            demand,
            uncached_tokens,
            candidate.zone != zone,
        )
        cost = one.cost
        if candidate.name != criteria.affinity_target:
            cost += MAX_JITTER * demand.work * random_float()
        if best is None or cost < lowest:
            best, lowest = one, cost
    return best


def count_uncached_tokens(
    target: str,
    demand: Demand,
    criteria: occupancy.PlacementCriteria,
    ranks: typing.Mapping[str, int],
) -> float:
    """Return the number of prompt tokens that a target is expected to read.

    The target with the session's cache has the prompt, apart from the new
    tokens that each target has to read. The others may have the shared prefix:
    if the caches are full, each further rank gets half as many requests with
    it and is half as likely to have it.
    """
    if target == criteria.affinity_target:
        return 0.0
    if criteria.rank_cost <= 0:
        return float(demand.prompt_tokens)
    rank = ranks.get(target, prefixes.MAX_RANK)
    missing = demand.cache_fullness * (1.0 - 0.5**rank)
    own = max(0, demand.prompt_tokens - demand.shared_tokens)
    return own + demand.shared_tokens * missing


def is_good_enough(best: Estimate, demand: Demand) -> bool:
    """Return whether no further candidates need to be considered."""
    own = max(0, demand.prompt_tokens - demand.shared_tokens)
    usual = demand.work + own * demand.read_seconds
    return best.wait <= 0.0 and best.seconds <= MAX_SLOWDOWN * usual


def is_outdated(
    requests: float, silence: float, demand: Demand, slowness: float
) -> bool:
    """Return whether a coordinator's count of requests is outdated.

    ``silence`` is the time since it was last notified of a request there.
    """
    duration = demand.hold * slowness
    return requests > 0.5 and silence > MAX_SILENCE * duration


def limit_further(
    candidates: typing.Sequence[occupancy.Candidate], zone: str
) -> list[occupancy.Candidate]:
    """Return a bounded number of further candidates."""
    local = [one for one in candidates if one.zone == zone]
    remote = [one for one in candidates if one.zone != zone]
    return local[:MAX_FURTHER_LOCAL] + remote[:MAX_FURTHER_REMOTE]


class ReadTime:
    """Learns the time that engines of a service need to read one token.

    It is the slope of the time to the first event over the number of uncached
    tokens, by least squares with exponential decay.
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._tokens_squared = 0.0
        self._tokens_seconds = 0.0

    def learn(self, tokens: float, seconds: float) -> None:
        """Add the time to the first event of a response."""
        if self._weight > 0.0:
            mean_tokens = self._tokens / self._weight
            mean_seconds = self._seconds / self._weight
            expected = mean_seconds + self.value * (tokens - mean_tokens)
            # The line through few samples may be far too low.
            expected = max(expected, INITIAL_EVENT_SECONDS)
            seconds = min(seconds, MAX_READ_RATIO * expected)
        decay = READ_DECAY_FACTOR
        self._weight = self._weight * decay + 1.0
        self._tokens = self._tokens * decay + tokens
        self._seconds = self._seconds * decay + seconds
        self._tokens_squared = self._tokens_squared * decay + tokens * tokens
        self._tokens_seconds = self._tokens_seconds * decay + tokens * seconds

    @property
    def value(self) -> float:
        """The time to read one token, in seconds."""
        if self._weight <= 0.0:
            return INITIAL_READ_SECONDS
        mean = self._tokens / self._weight
        variance = self._tokens_squared - mean * self._tokens
        covariance = self._tokens_seconds - mean * self._seconds
        value = (covariance + INITIAL_READ_WEIGHT * INITIAL_READ_SECONDS) / (
            variance + INITIAL_READ_WEIGHT
        )
        return min(
            INITIAL_READ_SECONDS * MAX_READ_CHANGE,
            max(INITIAL_READ_SECONDS / MAX_READ_CHANGE, value),
        )


class Average:
    """A moving average that begins with its first sample."""

    def __init__(self, initial: float) -> None:
        self.value = initial
        self._average: program_slack.AverageTime | None = None

    def learn(self, sample: float) -> None:
        """Add a sample."""
        if self._average is None:
            self._average = program_slack.AverageTime(sample)
        self._average.learn(sample)
        self.value = self._average.value


class ServiceTimes:
    """The usual times of a service, at an idle target of mean speed."""

    def __init__(self) -> None:
        self.event_seconds = Average(INITIAL_EVENT_SECONDS)
        self.event_count = Average(INITIAL_EVENT_COUNT)
        self.read_time = ReadTime()
        # The time that requests hold their slot; 0 if unknown.
        self.hold = Average(0.0)
        self._latencies: dict[str, Average] = {}

    def get_latency(self, route: str) -> Average:
        """Return the usual latency of a route without events."""
        latency = self._latencies.get(route)
        if latency is None:
            latency = Average(INITIAL_LATENCY_SECONDS)
            self._latencies[route] = latency
        return latency
