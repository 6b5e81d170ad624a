"""The queue of requests that wait for a slot of one target.

Slots are granted in an order that serves urgent requests first and keeps each
organisation at its share. A request that can't start in time is refused.
Times are in seconds on one clock.
"""

import enum
import math
import typing

from vanillayoke.scheduling import program_slack

# A request is sent as soon as its grant arrives. A busy instance takes some
# tens of milliseconds.
GRANT_SECONDS = 0.05
# Waiting requests are renewed every 0.1 s (gateway.slot_requests). Those of an
# instance that has failed are dropped after this time.
LOST_SECONDS = 0.25
# With this many waiting requests for each slot, the last one would wait for
# 32 times the time that a slot is held: 0.8 s for tool calls of 25 ms and 8 s
# for turns of 0.25 s, which is longer than the slack of programs.
MAX_WAITING_PER_SLOT = 32
# Between the end of a request and the start of the next one a slot is idle for
# the time of three messages. As many requests as slots are idle at a time are
# sent in addition; the target's own queue holds them. It is none if less than
# MIN_IDLE_SLOTS are idle. So it is 1 or 2 at a service with 6 slots and calls
# of 10 to 50 ms, and none at an engine with turns of 0.2 s: engines preempt
# running requests for a more urgent one in their own queue.
MESSAGES_SECONDS = 0.003
MIN_IDLE_SLOTS = 0.3
# One grant in this many goes to the organisation with the least service.
FAIR_GRANT_INTERVAL = 4
# Service attained earlier counts less: bursts last from 6 to 20 s.
SERVICE_HALF_LIFE_SECONDS = 2.0
# Attained service is rescaled, and negligible records are dropped, when its
# unit has doubled this many times.
MAX_DOUBLINGS = 8
MIN_SERVICE_RATIO = 0.05
# Assumed until a request has ended.
INITIAL_HOLD_SECONDS = 0.1
# Requests whose end was not reported, because an instance failed or a datagram
# was lost, do not occupy a slot for longer than this.
MAX_HOLD_RATIO = 6.0
MIN_MAX_HOLD_SECONDS = 0.3
# The same until the first end of a request is reported. It is several times
# the duration of a turn; time limits of programs are longer.
INITIAL_MAX_HOLD_SECONDS = 2.0
MIN_RETRY_AFTER_SECONDS = 0.02


class Reason(enum.Enum):
    """Why a request was refused."""

    LATE = 'late'
    FULL = 'full'


class Claim(typing.NamedTuple):
    """A request that needs a slot.

    ``ticket`` is unique among all waits. ``weight`` is the share that the
    organisation is due. ``is_first`` says that the request begins a program.
    ``in_time_until`` is the latest start with which its program can still end
    in time, ``slack_until`` when its slack is used up. ``deadline`` is when it
    has to be complete.
    """

    ticket: str
    request: str
    organisation: str
    weight: float
    priority: int
    is_first: bool
    slack_until: float
    in_time_until: float
    deadline: float
    arrived_at: float


class Granted(typing.NamedTuple):
    """A slot was granted until ``expires_at``, if the request starts by then.

    ``position`` is the request's position when it came, 0 the first.
    """

    expires_at: float
    position: int = 0


class Refused(typing.NamedTuple):
    """The request is refused; ``retry_after`` is when there is capacity.

    The other fields are the inputs of the decision: ``predicted`` is the
    predicted wait, ``time_left`` the longest possible one.
    """

    reason: Reason
    retry_after: float
    position: int
    waiting: int
    hold: float
    predicted: float
    time_left: float


class Dropped(typing.NamedTuple):
    """A waiting request was not renewed: its instance has failed."""


Outcome = Granted | Refused | Dropped


class Decision(typing.NamedTuple):
    """The end of a request's wait."""

    claim: Claim
    outcome: Outcome


class _Waiter:
    __slots__ = ('claim', 'position', 'renewed_at')

    def __init__(self, claim: Claim, position: int, now: float) -> None:
        self.claim = claim
        self.position = position
        self.renewed_at = now


class _Running:
    __slots__ = ('claim', 'charged', 'deadline', 'started_at')

    def __init__(
        self,
        started_at: float,
        deadline: float,
        claim: Claim | None,
        charged: float,
    ) -> None:
        self.started_at = started_at
        self.deadline = deadline
        self.claim = claim
        self.charged = charged


class _Grant:
    __slots__ = ('charged', 'claim', 'expires_at')

    def __init__(
        self, claim: Claim, expires_at: float, charged: float
    ) -> None:
        self.claim = claim
        self.expires_at = expires_at
        self.charged = charged


class AttainedService:
    """The service that organisations attained, relative to their weights.

    Earlier service decays. It is stored in a unit that grows with time, so
    that only the record of the organisation served has to change.
    """

    def __init__(self) -> None:
        self._records: dict[str, tuple[float, float]] = {}
        self._total = 0.0
        self._total_weight = 0.0
        self._epoch = 0.0

    def add(
        self, organisation: str, weight: float, seconds: float, now: float
    ) -> None:
        """Record that an organisation was served."""
        doublings = (now - self._epoch) / SERVICE_HALF_LIFE_SECONDS
        if doublings > MAX_DOUBLINGS:
            self._rescale(doublings)
            self._epoch = now
            doublings = 0.0
        value, former_weight = self._records.get(organisation, (0.0, 0.0))
        added = max(seconds * 2.0**doublings, -value)
        self._records[organisation] = (value + added, weight)
        self._total += added
        self._total_weight += weight - former_weight

    def get_share(self, organisation: str, weight: float, now: float) -> float:
        """Return the attained service relative to the weight."""
        value, _ = self._records.get(organisation, (0.0, 0.0))
        return value * self._compute_decay(now) / weight

    def get_level(
        self, organisation: str, weight: float, allowance: float, now: float
    ) -> int:
        """Return how far an organisation is above the average share.

        Level 0 is at most the average, each further level up to twice as
        much. Within a level, slack decides. ``allowance`` is the service of
        one request, which alone does not raise the level.
        """
        record = self._records.get(organisation)
        if record is None:
            return 0
        decay = self._compute_decay(now)
        share = (record[0] * decay - allowance) / weight
        mean = self._total * decay / self._total_weight
        if share <= mean or mean <= 0:
            return 0
        return 1 + int(math.log2(share / mean))

    def _compute_decay(self, now: float) -> float:
        return 0.5 ** ((now - self._epoch) / SERVICE_HALF_LIFE_SECONDS)

    def _rescale(self, doublings: float) -> None:
        factor = 0.5**doublings
        threshold = MIN_SERVICE_RATIO * self._total * factor
        threshold /= max(1, len(self._records))
        self._records = {
            name: (value * factor, weight)
            for name, (value, weight) in self._records.items()
            if value * factor > threshold
        }
        self._total = sum(value for value, _ in self._records.values())
        self._total_weight = sum(w for _, w in self._records.values())


class SlotQueue:
    """The slots of one target, and the requests that wait for them."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._waiting: dict[str, _Waiter] = {}
        self._grants: dict[str, _Grant] = {}
        self._running: dict[str, _Running] = {}
        self._average_hold: program_slack.AverageTime | None = None
        self._reported = 0.0
        self._reported_at = float('-inf')
        self._service = AttainedService()
        self._grant_count = 0
        self._evicted: list[Decision] = []
        self.expired_grants = 0

    @property
    def waiting_count(self) -> int:
        """The number of waiting requests."""
        return len(self._waiting)

    @property
    def hold(self) -> float:
        """The average time that a request occupies a slot."""
        if self._average_hold is None:
            return INITIAL_HOLD_SECONDS
        return self._average_hold.value

    @property
    def capacity(self) -> int:
        """How many requests may be at the target."""
        if self._average_hold is None:
            return self.slots
        idle = self.slots * MESSAGES_SECONDS / max(MESSAGES_SECONDS, self.hold)
        return self.slots + max(0, math.ceil(idle - MIN_IDLE_SLOTS))

    def count_occupied(self, now: float) -> float:
        """Return the estimated number of requests at the target."""
        count = len(self._grants) + len(self._list_counted(now))
        # What the target reported when it refused a request. It has served
        # the others since then.
        served = (now - self._reported_at) * self.slots / self.hold
        return max(float(count), self._reported - served)

    def _list_counted(self, now: float) -> list[str]:
        """Return the requests that occupy a slot.

        Those whose end was not reported are left out after some time.
        """
        longest = INITIAL_MAX_HOLD_SECONDS
        if self._average_hold is not None:
            longest = max(MIN_MAX_HOLD_SECONDS, MAX_HOLD_RATIO * self.hold)
        return [
            name
            for name, running in self._running.items()
            if running.deadline > now and running.started_at + longest > now
        ]

    def request(self, claim: Claim, now: float) -> Outcome | None:
        """Grant or refuse a request; ``None`` if it has to wait.

        Call ``advance`` before. A claim that waits already is renewed.
        """
        grant = self._grants.get(claim.ticket)
        if grant is not None:
            grant.expires_at = now + GRANT_SECONDS
            return Granted(grant.expires_at)
        if not self._waiting and self.count_occupied(now) + 1 <= self.capacity:
            return self._grant(claim, 0, now)
        known = self._waiting.get(claim.ticket)
        if known is not None:
            claim = known.claim
        position = self._find_position(claim, now)
        refused = self._check(claim, position, now)
        if refused is not None:
            self._waiting.pop(claim.ticket, None)
            return refused
        if known is not None:
            known.renewed_at = now
            return None
        if len(self._waiting) >= MAX_WAITING_PER_SLOT * self.slots:
            if position >= len(self._waiting):
                return self._refuse(Reason.FULL, claim, position, now)
            self._evict_last(now)
        self._waiting[claim.ticket] = _Waiter(claim, position, now)
        return None

    def begin(self, request: str, max_duration: float, now: float) -> None:
        """Record that a request was sent to the target."""
        claim, charged = None, 0.0
        for ticket, grant in self._grants.items():
            if grant.claim.request == request:
                claim, charged = grant.claim, grant.charged
                del self._grants[ticket]
                break
        self._running[request] = _Running(
            now, now + max_duration, claim, charged
        )
        if len(self._running) > 4 * self.slots:
            self._drop_uncounted(now)

    def end(self, request: str, reported: int | None, now: float) -> None:
        """Record that a request has ended.

        ``reported`` counts the requests at the target, including this one,
        ``None`` if the target did not report it.
        """
        running = self._running.pop(request, None)
        if reported is not None:
            self._reported = max(0, reported - 1)
            self._reported_at = now
        if running is None:
            return
        # If this instance stood still, start and end arrive at the same time.
        held = max(MESSAGES_SECONDS, now - running.started_at)
        if reported is None:
            if self._average_hold is None:
                self._average_hold = program_slack.AverageTime(held)
            self._average_hold.learn(held)
        if running.claim is not None:
            self._service.add(
                running.claim.organisation,
                running.claim.weight,
                held - running.charged,
                now,
            )

    def cancel(self, ticket: str, now: float) -> Claim | None:
        """Remove a waiting request, or return its grant.

        Return the claim if it had a grant.
        """
        self._waiting.pop(ticket, None)
        grant = self._grants.pop(ticket, None)
        if grant is None:
            return None
        self._take_back(grant, now)
        return grant.claim

    def advance(self, now: float) -> list[Decision]:
        """Return the waits that end now.

        Grants that were not used in time expire. Requests that can't start in
        time are refused, and free slots are granted.
        """
        decisions = self._evicted
        self._evicted = []
        for ticket in [
            ticket
            for ticket, grant in self._grants.items()
            if grant.expires_at <= now
        ]:
            self._take_back(self._grants.pop(ticket), now)
            self.expired_grants += 1
        if not self._waiting:
            return decisions
        self._end_hopeless(decisions, now)
        free = int(self.capacity - self.count_occupied(now))
        while free > 0 and self._waiting:
            claim = self._choose(now)
            waiter = self._waiting.pop(claim.ticket)
            granted = self._grant(claim, waiter.position, now)
            decisions.append(Decision(claim, granted))
            free -= 1
        return decisions

    def release(self) -> list[Claim]:
        """Remove all waiting requests and return them."""
        claims = [waiter.claim for waiter in self._waiting.values()]
        self._waiting.clear()
        return claims

    def reset(self) -> None:
        """Forget the requests at a target that has restarted."""
        self._grants.clear()
        self._running.clear()
        self._reported = 0.0

    def _choose(self, now: float) -> Claim:
        """Return the waiting request that is to be served next."""
        claims = [waiter.claim for waiter in self._waiting.values()]
        self._grant_count += 1
        rank = self._make_ranking(now)
        if self._grant_count % FAIR_GRANT_INTERVAL:
            return min(claims, key=rank)
        shares = {
            claim.organisation: self._service.get_share(
                claim.organisation, claim.weight, now
            )
            for claim in claims
        }

        def rank_fairly(claim: Claim) -> tuple:
            # A slot is not spent on a request that can't end in time, since
            # this would not serve the organisation.
            return (
                claim.in_time_until < now,
                shares[claim.organisation],
                rank(claim),
            )

        return min(claims, key=rank_fairly)

    def _make_ranking(
        self, now: float
    ) -> typing.Callable[[Claim], tuple[typing.Any, ...]]:
        """Return the key function of the order at a time."""
        levels: dict[str, int] = {}
        service, allowance = self._service, self.hold

        def rank(claim: Claim) -> tuple[typing.Any, ...]:
            level = levels.get(claim.organisation)
            if level is None:
                level = levels[claim.organisation] = service.get_level(
                    claim.organisation, claim.weight, allowance, now
                )
            return (
                claim.in_time_until < now,
                claim.priority,
                claim.is_first,
                level,
                claim.slack_until,
                claim.arrived_at,
            )

        return rank

    def _find_position(self, claim: Claim, now: float) -> int:
        rank = self._make_ranking(now)
        own = rank(claim)
        return sum(
            rank(waiter.claim) < own for waiter in self._waiting.values()
        )

    def _check(
        self, claim: Claim, position: int, now: float
    ) -> Refused | None:
        """Refuse a request whose predicted start is too late."""
        if now + self._predict(position) <= claim.deadline - self.hold:
            return None
        return self._refuse(Reason.LATE, claim, position, now)

    def _predict(self, position: int) -> float:
        """Return the predicted wait; later, more urgent requests add to it."""
        if self._average_hold is None:
            return 0.0
        return (position + 1) * self.hold / self.slots

    def _refuse(
        self, reason: Reason, claim: Claim, position: int, now: float
    ) -> Refused:
        waiting = len(self._waiting)
        return Refused(
            reason,
            max(MIN_RETRY_AFTER_SECONDS, self._predict(waiting)),
            position,
            waiting,
            self.hold,
            self._predict(position),
            claim.deadline - self.hold - now,
        )

    def _evict_last(self, now: float) -> None:
        rank = self._make_ranking(now)
        claims = [waiter.claim for waiter in self._waiting.values()]
        last = max(claims, key=rank)
        refused = self._refuse(Reason.FULL, last, len(claims) - 1, now)
        del self._waiting[last.ticket]
        self._evicted.append(Decision(last, refused))

    def _end_hopeless(self, decisions: list[Decision], now: float) -> None:
        """Drop requests of failed instances, refuse those that are too late.

        ``decisions`` gets what was decided.
        """
        latest_end = now + self.hold
        for waiter in list(self._waiting.values()):
            claim = waiter.claim
            if waiter.renewed_at + LOST_SECONDS < now:
                outcome: Outcome = Dropped()
            elif claim.deadline < latest_end:
                outcome = self._refuse(
                    Reason.LATE, claim, self._find_position(claim, now), now
                )
            else:
                continue
            del self._waiting[claim.ticket]
            decisions.append(Decision(claim, outcome))

    def _grant(self, claim: Claim, position: int, now: float) -> Granted:
        expires_at = now + GRANT_SECONDS
        charged = self.hold
        self._grants[claim.ticket] = _Grant(claim, expires_at, charged)
        self._service.add(claim.organisation, claim.weight, charged, now)
        return Granted(expires_at, position)

    def _take_back(self, grant: _Grant, now: float) -> None:
        claim = grant.claim
        self._service.add(
            claim.organisation, claim.weight, -grant.charged, now
        )

    def _drop_uncounted(self, now: float) -> None:
        self._running = {
            name: self._running[name] for name in self._list_counted(now)
        }
