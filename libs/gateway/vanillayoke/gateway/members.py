"""Membership of the instances: datagram probes and the store's table."""

import random
import typing

from vanillayoke.cluster import membership
from vanillayoke.cluster import membership_events
from vanillayoke.cluster import membership_table
from vanillayoke.cluster import messages as cluster_messages
from vanillayoke.core import decoding
from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import rendezvous
from vanillayoke.settings import process

TABLE = 'instances'
# A failed instance is detected within about two seconds: another instance
# probes it in each interval, and it has the suspicion time to refute.
PROBE_SETTINGS = process.ProbeSettings(
    interval=0.3, timeout=0.15, suspicion=0.5
)

# On the first start of the whole system all instances start within this time.
FIRST_START_SECONDS = 5.0
# Connected instances receive datagrams several times a second.
LOST_CONTACT_SECONDS = 1.0
# With fewer other instances, their failures say little about this one.
MIN_OTHER_COUNT = 2
_SUSPECTED_OR_FAILED = frozenset(
    (cluster_messages.State.SUSPECTED, cluster_messages.State.FAILED)
)
_LEAVING_OR_LEFT = frozenset(
    (cluster_messages.State.LEAVING, cluster_messages.State.LEFT)
)

_FAILED_OR_LEFT = frozenset(
    (cluster_messages.State.FAILED, cluster_messages.State.LEFT)
)
_REACHABLE = frozenset(
    (
        cluster_messages.State.ALIVE,
        cluster_messages.State.SUSPECTED,
        cluster_messages.State.LEAVING,
    )
)

ROW_DECODER: decoding.Decoder[messages.InstanceRow] = (
    decoding.Decoder.for_json(messages.InstanceRow)
)


class Members:
    """The membership view of this instance."""

    def __init__(
        self,
        me: messages.InstanceRow,
        timer_service: timers.TimerService,
        rng: random.Random,
        send: typing.Callable[[str, bytes], None],
        on_change: typing.Callable[
            [cluster_messages.Member | None, cluster_messages.Member], None
        ],
    ) -> None:
        self._timers = timer_service
        # Wall time after which starts no longer belong to the first start.
        self._first_start_ends_at = 0.0
        self._send = send
        self._on_change = on_change
        self._last_received_at = timer_service.now()
        member = cluster_messages.Member(
            me.instance, me.incarnation, me.zone, me.region, me.front, me.peer
        )
        self._membership = membership.Membership(
            member, PROBE_SETTINGS, rng, timer_service.now()
        )
        # Instances in the store's table, by row key.
        self._listed: dict[str, str] = {}
        self._probe_timer: timers.Subscription | None = None
        self.is_leaving = False
        # Built on demand, as membership changes far more often than it is read
        # while many instances start.
        self._eligible: tuple[rendezvous.Peer, ...] | None = None

    def start(self) -> None:
        """Start probing."""
        self._schedule()

    def record_first_start(self) -> None:
        """Record that the whole system starts for the first time."""
        self._first_start_ends_at = self._timers.wall() + FIRST_START_SECONDS

    def receive(self, data: bytes, sender: str) -> bool:
        """Handle a membership datagram; return whether it could be decoded."""
        self._last_received_at = self._timers.now()
        packet = cluster_messages.decode_packet(data)
        if packet is None:
            return False
        self._decide(membership_events.Received(packet.message))
        return True

    def put_row(self, key: str, value: bytes | None) -> None:
        """Apply a row of the table; ``None`` says that it was removed.

        Raise ``DecodingError`` if it can't be decoded; what is known of the
        instance stays.
        """
        if value is None:
            instance = self._listed.pop(key, None)
            if instance is not None:
                self._decide(membership_events.Removed(instance))
            return
        row = ROW_DECODER.decode(value)
        self._listed[key] = row.instance
        member = cluster_messages.Member(
            row.instance, 0, row.zone, row.region, row.front, row.peer
        )
        self._decide(membership_events.Added(member))

    def list_members(self) -> list[cluster_messages.Member]:
        """Return all known instances, this one first."""
        return self._membership.list_members()

    def list_live(self) -> list[cluster_messages.Member]:
        """Return the instances that are alive and not leaving."""
        alive = cluster_messages.State.ALIVE
        return [m for m in self.list_members() if m.state is alive]

    def list_eligible(self) -> typing.Sequence[rendezvous.Peer]:
        """Return the instances that are eligible as coordinators.

        The same sequence object is returned until the membership changes.
        """
        if self._eligible is None:
            self._eligible = tuple(
                _make_peer(member)
                for member in self.list_members()
                if _is_eligible(member)
            )
        return self._eligible

    def list_live_eligible(self) -> list[rendezvous.Peer]:
        """Return the eligible instances that are known to be alive."""
        return [_make_peer(member) for member in self.list_live()]

    def list_reachable(self) -> list[rendezvous.Peer]:
        """Return the instances that are alive, suspected or leaving.

        Leaving instances are no longer eligible as coordinators, but still
        hold what they were granted.
        """
        return [
            _make_peer(member)
            for member in self.list_members()
            if member.state in _REACHABLE
        ]

    def list_lost(self) -> list[rendezvous.Peer]:
        """Return the instances that failed or left.

        They may have recovered, or started again under their name.
        """
        return [
            _make_peer(member)
            for member in self.list_members()
            if member.state in _FAILED_OR_LEFT
        ]

    def compute_lost_ratio(self, age: float) -> float:
        """Return the ratio of instances that failed or were replaced.

        An instance that started within the last ``age`` seconds counts as
        replaced, unless it started with the first start of the whole system.
        """
        members = [
            m for m in self.list_members() if m.state not in _LEAVING_OR_LEFT
        ]
        if not members:
            return 0.0
        since = (
            max(self._timers.wall() - age, self._first_start_ends_at) * 1000
        )
        failed = cluster_messages.State.FAILED
        lost = sum(m.state is failed or m.incarnation > since for m in members)
        return lost / len(members)

    @property
    def incarnation(self) -> int:
        """This instance's incarnation, raised to refute a suspicion."""
        return self._membership.me.incarnation

    @property
    def is_in_minority(self) -> bool:
        """Whether most of the other instances are unreachable.

        This instance is then on the smaller side of a network partition.
        """
        others = [
            member
            for member in self.list_members()[1:]
            if member.state not in _LEAVING_OR_LEFT
            and member.instance in self._listed
        ]
        lost = sum(member.state in _SUSPECTED_OR_FAILED for member in others)
        return len(others) >= MIN_OTHER_COUNT and lost > len(others) / 2

    @property
    def has_lost_contact(self) -> bool:
        """Whether no datagram was received for ``LOST_CONTACT_SECONDS``.

        This detects a network partition before the probes of all the other
        instances have failed.
        """
        idle = self._timers.now() - self._last_received_at
        return (
            idle > LOST_CONTACT_SECONDS and len(self._listed) > MIN_OTHER_COUNT
        )

    def leave(self) -> None:
        """Announce that this instance accepts no new work."""
        self.is_leaving = True
        self._decide(membership_events.Leaving())

    def depart(self) -> None:
        """Announce that this instance stops now, and stop probing."""
        if self._probe_timer is not None:
            self._probe_timer.cancel()
        self._decide(membership_events.Departed())

    def _decide(self, event: membership_events.Event) -> None:
        now = self._timers.now()
        for action in self._membership.decide(event, now):
            match action:
                case membership_events.Send(address, message):
                    packet = cluster_messages.Packet(0, message)
                    self._send(address, cluster_messages.encode_packet(packet))
                case membership_events.MemberChanged(before, after):
                    self._eligible = None
                    self._on_change(before, after)
        if isinstance(event, membership_events.Leaving):
            self._eligible = None

    def _schedule(self) -> None:
        delay = max(0.0, self._membership.next_wake() - self._timers.now())
        self._probe_timer = self._timers.call_after(delay, self._tick)

    def _tick(self) -> None:
        try:
            self._decide(membership_events.Ticked())
        finally:
            self._schedule()


def _is_eligible(member: cluster_messages.Member) -> bool:
    """Return whether an instance is eligible as a coordinator.

    Instances that are only listed yet are eligible: if all start together,
    each would otherwise coordinate every program until gossip has spread.
    """
    if member.state is cluster_messages.State.SUSPECTED:
        return member.incarnation == membership_table.LISTED_INCARNATION
    return member.state is cluster_messages.State.ALIVE


def _make_peer(member: cluster_messages.Member) -> rendezvous.Peer:
    return rendezvous.Peer(member.instance, member.peer_address, member.zone)
