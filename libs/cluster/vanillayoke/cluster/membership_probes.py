"""The order of probes, and the probes that wait for an ack."""

import random
import typing

from vanillayoke.cluster import messages

# One of so many probes goes to another region, or to a failed member.
REMOTE_PROBE_INTERVAL = 4
FAILED_PROBE_INTERVAL = 8
MAX_RELAYS = 64


class Ring:
    """Names in a random order, each of which is chosen once in every round.

    This bounds the time until a member is probed, unlike a random choice each
    time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: list[str] = []
        self._known: set[str] = set()
        self._position = 0

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        """Insert a name at a random position.

        Members that joined together should not be probed in a row.
        """
        if name in self._known:
            return
        self._known.add(name)
        index = self._rng.randint(0, len(self._names))
        self._names.insert(index, name)
        if index < self._position:
            self._position += 1

    def discard(self, name: str) -> None:
        """Remove a name."""
        if name not in self._known:
            return
        self._known.remove(name)
        index = self._names.index(name)
        del self._names[index]
        if index < self._position:
            self._position -= 1

    def choose(self) -> str:
        """Return the next name; the ring must not be empty."""
        if self._position >= len(self._names):
            self._rng.shuffle(self._names)
            self._position = 0
        name = self._names[self._position]
        self._position += 1
        return name


class ProbePlan:
    """Divides probes among the own region, other regions and failed members.

    Most probes stay in the own region, where most of the traffic is. Failed
    members are probed more rarely, so that the end of a network partition is
    detected.
    """

    def __init__(self, rng: random.Random) -> None:
        self._local = Ring(rng)
        self._remote = Ring(rng)
        self._failed = Ring(rng)
        self._probe_count = 0

    def assign_ring(self, name: str, local: bool, failed: bool) -> None:
        """Put a member into the ring of its region or of failed members."""
        if failed:
            ring_of_member = self._failed
        else:
            ring_of_member = self._local if local else self._remote
        for ring in (self._local, self._remote, self._failed):
            if ring is not ring_of_member:
                ring.discard(name)
        ring_of_member.add(name)

    def discard(self, name: str) -> None:
        """Stop probing a member."""
        for ring in (self._local, self._remote, self._failed):
            ring.discard(name)

    def choose(self) -> str | None:
        """Return the member to probe next, ``None`` if there is none."""
        self._probe_count += 1
        for ring in self._order_rings():
            if len(ring):
                return ring.choose()
        return None

    def _order_rings(self) -> tuple[Ring, ...]:
        if self._probe_count % FAILED_PROBE_INTERVAL == 0:
            return (self._failed, self._local, self._remote)
        if self._probe_count % REMOTE_PROBE_INTERVAL == 1:
            return (self._remote, self._local, self._failed)
        return (self._local, self._remote, self._failed)


class Probe:
    """The probe that waits for its ack.

    ``retry_at`` is ``None`` once the probe was repeated.
    """

    def __init__(
        self, member: messages.Member, sequence: int, retry_at: float
    ) -> None:
        self.member = member
        self.sequence = sequence
        self.retry_at: float | None = retry_at


class Relay(typing.NamedTuple):
    """A ping sent on behalf of another instance, which awaits the ack."""

    reply_to: str
    sequence: int
    expires_at: float


class Relays:
    """The pings sent on behalf of other instances, at most ``MAX_RELAYS``."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay] = {}

    def add(self, sequence: int, relay: Relay) -> bool:
        """Add a relay; return False if there are too many."""
        if len(self._relays) >= MAX_RELAYS:
            return False
        self._relays[sequence] = relay
        return True

    def take(self, sequence: int) -> Relay | None:
        """Remove and return the relay of a ping."""
        return self._relays.pop(sequence, None)

    def expire(self, now: float) -> None:
        """Drop the relays whose acks are no longer awaited."""
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if relay.expires_at > now
        }
