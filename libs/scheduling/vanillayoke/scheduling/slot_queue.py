"""The queue of requests that wait for a slot of one target.

Slots are granted in an order that serves urgent requests first and keeps each
organisation at its share. A request that can't start in time is refused.
Times are in seconds on one clock.
"""

import enum
import typing

from vanillayoke.scheduling import attained_service
from vanillayoke.scheduling import slot_usage

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
# One grant in this many goes to the organisation with the least service.
FAIR_GRANT_INTERVAL = 4
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


class _Grant:
    __slots__ = ('charge', 'claim', 'expires_at')

    def __init__(
        self, claim: Claim, expires_at: float, charge: attained_service.Charge
    ) -> None:
        self.claim = claim
        self.expires_at = expires_at
        self.charge = charge


class SlotQueue:
    """The slots of one target, and the requests that wait for them."""

    def __init__(self, slots: int) -> None:
        self._usage = slot_usage.SlotUsage(slots)
        self._waiting: dict[str, _Waiter] = {}
        self._grants: dict[str, _Grant] = {}
        self._service = attained_service.AttainedService()
        self._grant_count = 0
        self._evicted: list[Decision] = []
        self.expired_grants = 0

    @property
    def waiting_count(self) -> int:
        """The number of waiting requests."""
        return len(self._waiting)

    @property
    def slots(self) -> int:
        """How many requests the target runs at a time."""
        return self._usage.slots

    @slots.setter
    def slots(self, slots: int) -> None:
        self._usage.slots = slots

    @property
    def hold(self) -> float:
        """The average time that a request occupies a slot."""
        return self._usage.hold

    @property
    def capacity(self) -> int:
        """How many requests may be at the target."""
        return self._usage.capacity

    def count_occupied(self, now: float) -> float:
        """Return the estimated number of requests at the target."""
        return self._usage.count(len(self._grants), now)

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
        charge = None
        for ticket, grant in self._grants.items():
            if grant.claim.request == request:
                charge = self._grants.pop(ticket).charge
                break
        self._usage.begin(request, max_duration, charge, now)

    def end(self, request: str, reported: int | None, now: float) -> None:
        """Record that a request has ended; see ``SlotUsage.end``."""
        ended = self._usage.end(request, reported, now)
        if ended is not None and ended.charge is not None:
            organisation, weight, charged = ended.charge
            self._service.add(organisation, weight, ended.held - charged, now)

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
        self._usage.reset()

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
        if not self._usage.is_hold_known:
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
        charge = attained_service.Charge(
            claim.organisation, claim.weight, self.hold
        )
        self._grants[claim.ticket] = _Grant(claim, expires_at, charge)
        self._service.add(*charge, now)
        return Granted(expires_at, position)

    def _take_back(self, grant: _Grant, now: float) -> None:
        organisation, weight, charged = grant.charge
        self._service.add(organisation, weight, -charged, now)
