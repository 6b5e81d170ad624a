"""Whom to probe next, and which probes wait for an ack."""

import random
import typing

from vanillayoke.cluster import messages

FAR_TURNS = 4
LOST_TURNS = 8
MAX_RELAYS = 64


class Ring:
    """Names in a shuffled order that each round takes all of.

    Going round a shuffled list bounds the time until a member is probed;
    choosing at random each time would leave some out for long.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._names: list[str] = []
        self._known: set[str] = set()
        self._position = 0

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        """Put a name at a random place, so that joiners do not line up."""
        if name in self._known:
            return
        self._known.add(name)
        place = self._source.randint(0, len(self._names))
        self._names.insert(place, name)
        if place < self._position:
            self._position += 1

    def discard(self, name: str) -> None:
        """Take a name out."""
        if name not in self._known:
            return
        self._known.remove(name)
        place = self._names.index(name)
        del self._names[place]
        if place < self._position:
            self._position -= 1

    def choose(self) -> str:
        """Return the next name; the ring must not be empty."""
        if self._position >= len(self._names):
            self._source.shuffle(self._names)
            self._position = 0
        name = self._names[self._position]
        self._position += 1
        return name


class ProbePlan:
    """Shares the probes between own region, other regions and lost members.

    Most probes stay in the own region, where most traffic and the shortest
    ways are. Lost members get a small share, so that a healed partition is
    noticed; a failed member thus costs no more than a live one.
    """

    def __init__(self, source: random.Random) -> None:
        self._near = Ring(source)
        self._far = Ring(source)
        self._lost = Ring(source)
        self._turn = 0

    def place(self, name: str, near: bool, lost: bool) -> None:
        """Put a member into the ring that fits it now."""
        if lost:
            fitting = self._lost
        else:
            fitting = self._near if near else self._far
        for ring in (self._near, self._far, self._lost):
            if ring is not fitting:
                ring.discard(name)
        fitting.add(name)

    def discard(self, name: str) -> None:
        """Probe a member no more."""
        for ring in (self._near, self._far, self._lost):
            ring.discard(name)

    def choose(self) -> str | None:
        """Return whom to probe now; ``None`` where there is nobody."""
        self._turn += 1
        for ring in self._rank_rings():
            if len(ring):
                return ring.choose()
        return None

    def _rank_rings(self) -> tuple[Ring, ...]:
        if self._turn % LOST_TURNS == 0:
            return (self._lost, self._near, self._far)
        if self._turn % FAR_TURNS == 1:
            return (self._far, self._near, self._lost)
        return (self._near, self._far, self._lost)


class Probe:
    """The probe that now waits for its ack.

    ``retry_at`` is ``None`` once it was repeated.
    """

    def __init__(
        self, member: messages.Member, sequence: int, retry_at: float
    ) -> None:
        self.member = member
        self.sequence = sequence
        self.retry_at: float | None = retry_at


class Relay(typing.NamedTuple):
    """A ping sent for another instance, which waits for the answer."""

    reply_to: str
    sequence: int
    expires: float


class Relays:
    """The pings sent for others, a bounded number of them."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay] = {}

    def add(self, sequence: int, relay: Relay) -> bool:
        """Keep a relay unless there are too many."""
        if len(self._relays) >= MAX_RELAYS:
            return False
        self._relays[sequence] = relay
        return True

    def take(self, sequence: int) -> Relay | None:
        """Return and drop the relay of a ping."""
        return self._relays.pop(sequence, None)

    def expire(self, now: float) -> None:
        """Drop the relays whose answers nobody waits for any more."""
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if relay.expires > now
        }
