"""Failure detection by random probes, indirect probes and gossip (SWIM).

A pure state machine: ``decide`` takes an event and the time, and returns what
to send and what has changed. The cost of an instance does not depend on the
number of members: it sends one probe per interval, and messages carry a
limited amount of updates. The results affect routing only; ownership is
decided by leases alone.
"""

import math
import random

from vanillayoke.cluster import membership_events
from vanillayoke.cluster import membership_gossip
from vanillayoke.cluster import membership_packets
from vanillayoke.cluster import membership_probes
from vanillayoke.cluster import membership_table
from vanillayoke.cluster import messages
from vanillayoke.settings import process

# If a member lacks more than this ratio of the records, it is sent many.
LARGE_GAP_RATIO = 0.1
DEPARTURE_NOTICE_COUNT = 4
PRUNE_INTERVAL_SECONDS = 30.0


class Membership:
    """One instance's view of all instances."""

    def __init__(
        self,
        me: messages.Member,
        settings: process.ProbeSettings,
        rng: random.Random,
        now: float,
    ) -> None:
        self.me = me
        self._settings = settings
        self._rng = rng
        self._table = membership_table.Table()
        self._plan = membership_probes.ProbePlan(rng)
        self._gossip = membership_gossip.GossipQueue()
        self._known = membership_gossip.KnownUpdates()
        self._composer = membership_packets.Composer(
            self._table, self._known, self._gossip
        )
        self._last_sequence = 0
        self._probe: membership_probes.Probe | None = None
        self._relays = membership_probes.Relays()
        self._listed: set[str] = set()
        # Instances that start together must not probe at the same time.
        self._next_probe = now + rng.random() * settings.interval
        self._next_prune = now + PRUNE_INTERVAL_SECONDS
        self._actions: list[membership_events.Action] = []
        self._gossip.put(messages.MemberUpdate(me))

    def decide(
        self, event: membership_events.Event, now: float
    ) -> list[membership_events.Action]:
        """Handle an event; return the actions that follow from it."""
        self._actions = []
        match event:
            case membership_events.Ticked():
                self._handle_tick(now)
            case membership_events.Received(message):
                self._handle_message(message, now)
            case membership_events.Listed(members):
                self._apply_list(members, now)
            case membership_events.Added(member):
                self._add_listed(member, now)
            case membership_events.Removed(instance):
                self._listed.discard(instance)
            case membership_events.Published(update):
                self._learn(update, now)
            case membership_events.Leaving():
                self._change_own(messages.State.LEAVING)
            case membership_events.Departed():
                self._depart()
        return self._actions

    def next_wake(self) -> float:
        """Return when ``Ticked`` is due next."""
        times = [self._next_probe, self._next_prune]
        if self._probe is not None and self._probe.retry_at is not None:
            times.append(self._probe.retry_at)
        deadline = self._table.find_next_deadline()
        if deadline is not None:
            times.append(deadline)
        return min(times)

    def list_members(self) -> list[messages.Member]:
        """Return all members, this instance first."""
        return [self.me, *self._table.list_members()]

    @property
    def configuration_version(self) -> int:
        """The highest known configuration version."""
        return self._known.configuration

    def _handle_tick(self, now: float) -> None:
        self._allow_for_pause(now)
        probe = self._probe
        if probe and probe.retry_at is not None and now >= probe.retry_at:
            self._probe_indirectly(probe, now)
        if now >= self._next_probe:
            self._end_probe(now)
            self._begin_probe(now)
        for entry in self._table.list_overdue(now):
            failed = entry.member._replace(state=messages.State.FAILED)
            self._merge_member(failed, now)
        if now >= self._next_prune:
            self._prune(now)

    def _allow_for_pause(self, now: float) -> None:
        # After a pause of the process all deadlines have passed at once, while
        # responses wait unread in its sockets. Deadlines are extended by the
        # delay of the tick and by one timeout for reading the responses.
        delay = now - self.next_wake()
        if delay < self._settings.timeout:
            return
        delay += self._settings.timeout
        self._next_probe += delay
        self._next_prune += delay
        self._table.postpone(delay)
        if self._probe is not None and self._probe.retry_at is not None:
            self._probe.retry_at += delay

    # Probing

    def _begin_probe(self, now: float) -> None:
        self._next_probe += self._settings.interval
        self._relays.expire(now)
        name = self._plan.choose()
        entry = self._table.find(name) if name else None
        if entry is None:
            return
        self._last_sequence += 1
        retry_at = now + self._settings.timeout
        self._probe = membership_probes.Probe(
            entry.member, self._last_sequence, retry_at
        )
        self._send_ping(entry.member, self._last_sequence, attempt=0)

    def _probe_indirectly(
        self, probe: membership_probes.Probe, now: float
    ) -> None:
        probe.retry_at = None
        member = probe.member
        # Open connections can become unresponsive while new ones work. The
        # second ping takes a new connection, and its attempt number makes the
        # member renew the connection of its acks.
        self._act(membership_events.Reconnect(member.peer_address))
        self._send_ping(member, probe.sequence, attempt=1)
        for helper in self._choose_helpers(member):
            request = messages.PingRequest(
                probe.sequence,
                self.me.instance,
                self.me.peer_address,
                member.instance,
                member.peer_address,
                self._composer.compose(helper.instance),
            )
            self._act(membership_events.Send(helper.peer_address, request))

    def _choose_helpers(
        self, member: messages.Member
    ) -> list[messages.Member]:
        helpers = [
            other
            for other in self._table.list_live()
            if other.state is not messages.State.SUSPECTED
            and other.instance != member.instance
        ]
        count = min(self._settings.indirect, len(helpers))
        return self._rng.sample(helpers, count)

    def _end_probe(self, now: float) -> None:
        probe = self._probe
        self._probe = None
        if probe is None:
            return
        entry = self._table.find(probe.member.instance)
        if entry is None or entry.member != probe.member:
            return
        if entry.is_alive:
            suspected = messages.State.SUSPECTED
            self._merge_member(entry.member._replace(state=suspected), now)
        elif not entry.is_confirmed:
            failed = messages.State.FAILED
            self._merge_member(entry.member._replace(state=failed), now)

    def _send_ping(
        self, member: messages.Member, sequence: int, attempt: int
    ) -> None:
        entry = self._table.find(member.instance)
        introduce = entry is not None and not entry.is_confirmed
        ping = self._make_ping(sequence, member.instance, attempt, introduce)
        self._act(membership_events.Send(member.peer_address, ping))

    def _make_ping(
        self,
        sequence: int,
        receiver: str,
        attempt: int = 0,
        introduce: bool = False,
    ) -> messages.Ping:
        return messages.Ping(
            sequence,
            self.me.instance,
            self.me.peer_address,
            attempt,
            introduce,
            self._table.confirmed,
            self._table.live - self._table.confirmed,
            self._composer.compose(receiver, self.me if introduce else None),
        )

    # Messages

    def _handle_message(self, message: messages.Message, now: float) -> None:
        incarnation = self.me.incarnation
        for update in messages.decode_updates(message.updates):
            self._learn(update, now)
        refuted = self.me.incarnation != incarnation
        match message:
            case messages.Ping():
                self._acknowledge(message, refuted)
            case messages.Ack():
                self._handle_ack(message)
            case messages.PingRequest():
                self._forward_ping(message, now)

    def _acknowledge(self, ping: messages.Ping, refuted: bool) -> None:
        if ping.attempt > 0:
            self._act(membership_events.Reconnect(ping.reply_to))
        introduce = ping.introduce or refuted
        updates = self._composer.compose(
            ping.sender,
            self.me if introduce else None,
            self._estimate_need(ping),
        )
        ack = messages.Ack(ping.sequence, self.me.instance, updates)
        self._act(membership_events.Send(ping.reply_to, ack))
        if self._table.find(ping.sender) is None:
            self._request_introduction(ping)

    def _estimate_need(self, ping: messages.Ping) -> membership_packets.Need:
        confirmed = self._table.confirmed
        missing = max(ping.unconfirmed, confirmed - ping.confirmed)
        if missing > confirmed * LARGE_GAP_RATIO:
            return membership_packets.Need.MANY
        if missing > 0:
            return membership_packets.Need.SOME
        return membership_packets.Need.NONE

    def _request_introduction(self, ping: messages.Ping) -> None:
        self._last_sequence += 1
        request = self._make_ping(
            self._last_sequence, ping.sender, introduce=True
        )
        self._act(membership_events.Send(ping.reply_to, request))

    def _handle_ack(self, ack: messages.Ack) -> None:
        if self._probe and self._probe.sequence == ack.sequence:
            self._probe = None
            return
        relay = self._relays.take(ack.sequence)
        if relay is None:
            return
        forwarded = messages.Ack(relay.sequence, ack.sender, ack.updates)
        self._act(membership_events.Send(relay.reply_to, forwarded))

    def _forward_ping(self, request: messages.PingRequest, now: float) -> None:
        self._last_sequence += 1
        expires_at = now + self._settings.interval
        relay = membership_probes.Relay(
            request.reply_to, request.sequence, expires_at
        )
        if not self._relays.add(self._last_sequence, relay):
            return
        ping = self._make_ping(self._last_sequence, request.instance)
        self._act(membership_events.Send(request.address, ping))

    # Updates

    def _learn(self, update: messages.Update, now: float) -> None:
        if isinstance(update, messages.MemberUpdate):
            self._learn_member(update.member, now)
        elif self._known.learn(update):
            self._gossip.put(update)
            self._act(membership_events.UpdateLearned(update))

    def _learn_member(self, record: messages.Member, now: float) -> None:
        if record.instance == self.me.instance:
            self._refute(record)
            return
        entry = self._table.find(record.instance)
        if record.state is messages.State.FAILED and entry and entry.is_alive:
            # After a network partition has healed, the other side reports
            # members as failed that this side can reach. They get the time to
            # refute it, as after a failed probe of this instance.
            record = record._replace(state=messages.State.SUSPECTED)
        self._merge_member(record, now)

    def _merge_member(self, record: messages.Member, now: float) -> None:
        change = self._table.merge(record, now)
        if change is None:
            return
        entry = self._table.find(record.instance)
        if entry.is_confirmed and record.state is messages.State.SUSPECTED:
            self._table.suspect(entry, now + self._suspicion_time())
        if entry.is_confirmed:
            self._gossip.put(messages.MemberUpdate(record))
        self._assign_ring(record)
        self._act(membership_events.MemberChanged(change.before, change.after))

    def _suspicion_time(self) -> float:
        # The suspicion has to reach the member, and the refutation everyone;
        # both take intervals in proportion to the logarithm of their number.
        members = len(self._table) + 1
        return self._settings.suspicion * max(1.0, math.log2(members) / 2)

    def _assign_ring(self, member: messages.Member) -> None:
        if member.state is messages.State.LEFT:
            self._plan.discard(member.instance)
            return
        local = member.region == self.me.region
        failed = member.state is messages.State.FAILED
        self._plan.assign_ring(member.instance, local, failed)

    def _refute(self, record: messages.Member) -> None:
        if not membership_table.is_newer(record, self.me):
            return
        self.me = self.me._replace(incarnation=record.incarnation + 1)
        self._gossip.put(messages.MemberUpdate(self.me))
        self._act(membership_events.Refuted(self.me.incarnation))

    # The platform's list, departure, removal

    def _apply_list(
        self, members: tuple[messages.Member, ...], now: float
    ) -> None:
        self._listed.clear()
        for member in members:
            self._add_listed(member, now)

    def _add_listed(self, member: messages.Member, now: float) -> None:
        self._listed.add(member.instance)
        if member.instance == self.me.instance:
            return
        if self._table.find(member.instance) is None:
            unconfirmed = member._replace(
                incarnation=membership_table.LISTED_INCARNATION,
                state=messages.State.SUSPECTED,
            )
            self._merge_member(unconfirmed, now)

    def _change_own(self, state: messages.State) -> None:
        self.me = self.me._replace(
            incarnation=self.me.incarnation + 1, state=state
        )
        self._gossip.put(messages.MemberUpdate(self.me))

    def _depart(self) -> None:
        self._change_own(messages.State.LEFT)
        live = self._table.list_live()
        count = min(DEPARTURE_NOTICE_COUNT, len(live))
        for member in self._rng.sample(live, count):
            updates = self._composer.compose(member.instance, self.me)
            notice = messages.Notice(self.me.instance, updates)
            self._act(membership_events.Send(member.peer_address, notice))

    def _prune(self, now: float) -> None:
        self._next_prune = now + PRUNE_INTERVAL_SECONDS
        for instance in self._table.prune(now, self._listed):
            self._plan.discard(instance)

    def _act(self, action: membership_events.Action) -> None:
        self._actions.append(action)
