"""Who lives among the instances: probing by datagrams, listed in the store."""

import random
import typing

import msgspec

from vanillayoke.cluster import membership
from vanillayoke.cluster import membership_events
from vanillayoke.cluster import membership_table
from vanillayoke.cluster import messages as cluster_messages
from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import rendezvous
from vanillayoke.settings import process

TABLE = 'instances'
# An instance that has failed is found within about two seconds: it is probed
# by some other one each interval, and has the suspicion time to refute.
# Probes are datagrams of some 200 bytes. Seconds.
PROBES = process.ProbeSettings(interval=0.3, timeout=0.15, suspicion=0.5)

# Within this time all instances start where the whole system starts for the
# first time. Seconds.
FIRST_START = 5.0
# Instances that are in touch hear of one another far more often. Seconds.
LONGEST_SILENCE = 1.0
# With fewer others their silence says little about this instance.
FEWEST_OTHERS = 2
_OUT_OF_REACH = frozenset(
    (cluster_messages.State.SUSPECTED, cluster_messages.State.FAILED)
)
_GONE = frozenset(
    (cluster_messages.State.LEAVING, cluster_messages.State.LEFT)
)

_REACHABLE = frozenset(
    (
        cluster_messages.State.ALIVE,
        cluster_messages.State.SUSPECTED,
        cluster_messages.State.LEAVING,
    )
)

_ROWS = msgspec.json.Decoder(messages.InstanceRow)


class Members:
    """This instance's view of all instances."""

    def __init__(
        self,
        me: messages.InstanceRow,
        timer_service: timers.TimerService,
        source: random.Random,
        send: typing.Callable[[str, bytes], None],
        on_change: typing.Callable[
            [cluster_messages.Member | None, cluster_messages.Member], None
        ],
        is_first_start: bool = False,
    ) -> None:
        self._timers = timer_service
        # The wall time by which all have started that start together.
        self._settled_at = 0.0
        if is_first_start:
            self._settled_at = timer_service.wall() + FIRST_START
        self._send = send
        self._on_change = on_change
        self._heard_at = timer_service.now()
        member = cluster_messages.Member(
            me.instance, me.incarnation, me.zone, me.region, me.front, me.peer
        )
        self._membership = membership.Membership(
            member, PROBES, source, timer_service.now()
        )
        # The instances that the table lists, by the keys of their rows.
        self._listed: dict[str, str] = {}
        self._tick: timers.Subscription | None = None
        self.is_leaving = False
        # Made when asked for: while many instances start, one changes after
        # another, and nobody asks between.
        self._homes: tuple[rendezvous.Peer, ...] | None = None

    def start(self) -> None:
        """Begin to probe."""
        self._schedule()

    def receive(self, data: bytes, sender: str) -> None:
        """Take a datagram of another instance."""
        self._heard_at = self._timers.now()
        packet = cluster_messages.decode_packet(data)
        if packet is not None:
            self._decide(membership_events.Received(packet.message))

    def put_row(self, key: str, value: bytes | None) -> None:
        """Take a row of the table over; a removed one is forgotten."""
        if value is None:
            name = self._listed.pop(key, None)
            if name is not None:
                self._decide(membership_events.Removed(name))
            return
        try:
            row = _ROWS.decode(value)
        except msgspec.DecodeError:
            return
        self._listed[key] = row.instance
        member = cluster_messages.Member(
            row.instance, 0, row.zone, row.region, row.front, row.peer
        )
        self._decide(membership_events.Added(member))

    def list_members(self) -> list[cluster_messages.Member]:
        """Return all known instances, this one first."""
        return self._membership.list_members()

    def list_live(self) -> list[cluster_messages.Member]:
        """Return the instances that live and are not leaving."""
        alive = cluster_messages.State.ALIVE
        return [one for one in self.list_members() if one.state is alive]

    def list_eligible(self) -> typing.Sequence[rendezvous.Peer]:
        """Return the instances that may keep programs.

        It is the same sequence for as long as nothing changes.
        """
        if self._homes is None:
            self._homes = tuple(
                _make_home(one)
                for one in self.list_members()
                if _may_be_home(one)
            )
        return self._homes

    def list_live_eligible(self) -> list[rendezvous.Peer]:
        """Return the instances that keep programs and were heard of."""
        return [_make_home(one) for one in self.list_live()]

    def list_reachable(self) -> list[rendezvous.Peer]:
        """Return the instances that answer, or may do so in a moment.

        Those that are leaving are no homes any more, and still hold what
        they were granted.
        """
        return [
            _make_home(one)
            for one in self.list_members()
            if one.state in _REACHABLE
        ]

    def list_failed(self) -> list[rendezvous.Peer]:
        """Return the instances that did not answer and may yet come back."""
        failed = cluster_messages.State.FAILED
        return [
            _make_home(one)
            for one in self.list_members()
            if one.state is failed
        ]

    def compute_lost_ratio(self, age: float) -> float:
        """Return the share of instances lost within ``age`` seconds.

        Most of those that started since have taken the place of a former
        process. Instances that start together with the whole system have not.
        """
        members = [
            one for one in self.list_members() if one.state not in _GONE
        ]
        if not members:
            return 0.0
        since = max(self._timers.wall() - age, self._settled_at) * 1000
        failed = cluster_messages.State.FAILED
        lost = sum(
            one.state is failed or one.incarnation > since for one in members
        )
        return lost / len(members)

    @property
    def incarnation(self) -> int:
        """This instance's incarnation; it grows when others miss it."""
        return self._membership.me.incarnation

    @property
    def is_in_minority(self) -> bool:
        """Whether most of the other instances are out of reach.

        Then it is this instance that was cut off, rather than they.
        """
        others = [
            one
            for one in self.list_members()[1:]
            if one.state not in _GONE and one.instance in self._listed
        ]
        lost = sum(one.state in _OUT_OF_REACH for one in others)
        return len(others) >= FEWEST_OTHERS and lost > len(others) / 2

    @property
    def has_lost_contact(self) -> bool:
        """Whether no other instance was heard for a while.

        Each is probed and answered several times a second: one that was cut
        off knows by that before it has found all the others silent.
        """
        silence = self._timers.now() - self._heard_at
        return silence > LONGEST_SILENCE and len(self._listed) > FEWEST_OTHERS

    def leave(self) -> None:
        """Tell the others that this instance takes no new work."""
        self.is_leaving = True
        self._decide(membership_events.Leaving())

    def depart(self) -> None:
        """Tell the others that this instance stops now."""
        if self._tick is not None:
            self._tick.cancel()
        self._decide(membership_events.Departed())

    def _decide(self, event: membership_events.Event) -> None:
        now = self._timers.now()
        for action in self._membership.decide(event, now):
            match action:
                case membership_events.Send(address, message):
                    packet = cluster_messages.Packet(0, message)
                    self._send(address, cluster_messages.encode_packet(packet))
                case membership_events.MemberChanged(before, after):
                    self._homes = None
                    self._on_change(before, after)
        if isinstance(event, membership_events.Leaving):
            self._homes = None

    def _schedule(self) -> None:
        delay = max(0.0, self._membership.next_wake() - self._timers.now())
        self._tick = self._timers.call_after(delay, self._fire)

    def _fire(self) -> None:
        self._decide(membership_events.Ticked())
        self._schedule()


def _may_be_home(member: cluster_messages.Member) -> bool:
    """Say whether an instance may keep programs.

    One that is listed and was not heard of yet may: where all start at the
    same moment it takes them seconds to hear of one another, and each would
    meanwhile be the home of all programs that come to it.
    """
    if member.state is cluster_messages.State.SUSPECTED:
        return member.incarnation == membership_table.LISTED_INCARNATION
    return member.state is cluster_messages.State.ALIVE


def _make_home(member: cluster_messages.Member) -> rendezvous.Peer:
    return rendezvous.Peer(member.instance, member.peer_address, member.zone)
