"""Failure detection by random probing with indirect probes and gossip.

A pure state machine in the manner of SWIM: ``decide`` takes an event and the
time, and returns what to send and what changed. The cost of an instance does
not depend on the number of members: one probe per interval, whose messages
carry a bounded amount of news. What it finds steers routing only; ownership
moves by leases alone.
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

MUCH_SHARE = 0.1
DEPARTURE_NOTICES = 4
FORGET_INTERVAL = 30.0


class Membership:
    """The view that one instance has of all."""

    def __init__(
        self,
        me: messages.Member,
        settings: process.ProbeSettings,
        source: random.Random,
        now: float,
    ) -> None:
        self.me = me
        self._settings = settings
        self._source = source
        self._table = membership_table.Table()
        self._plan = membership_probes.ProbePlan(source)
        self._queue = membership_gossip.GossipQueue()
        self._known = membership_gossip.KnownUpdates()
        self._composer = membership_packets.Composer(
            self._table, self._known, self._queue
        )
        self._sequence = 0
        self._probe: membership_probes.Probe | None = None
        self._relays = membership_probes.Relays()
        self._listed: set[str] = set()
        # Instances started together must not probe in step.
        self._next_probe = now + source.random() * settings.interval
        self._next_forget = now + FORGET_INTERVAL
        self._actions: list[membership_events.Action] = []
        self._queue.put(messages.MemberUpdate(me))

    def decide(
        self, event: membership_events.Event, now: float
    ) -> list[membership_events.Action]:
        """Return what follows from an event."""
        self._actions = []
        match event:
            case membership_events.Ticked():
                self._tick(now)
            case membership_events.Received(message):
                self._receive(message, now)
            case membership_events.Listed(members):
                self._take_list(members, now)
            case membership_events.Added(member):
                self._add_listed(member, now)
            case membership_events.Removed(instance):
                self._listed.discard(instance)
            case membership_events.Published(news):
                self._learn(news, now)
            case membership_events.Leaving():
                self._change_own(messages.State.LEAVING)
            case membership_events.Departed():
                self._depart()
        return self._actions

    def next_wake(self) -> float:
        """Return when ``Ticked`` is due next."""
        times = [self._next_probe, self._next_forget]
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
        """The highest configuration version heard of."""
        return self._known.configuration

    def _tick(self, now: float) -> None:
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
        if now >= self._next_forget:
            self._forget(now)

    def _allow_for_pause(self, now: float) -> None:
        # A process that was paused finds all its deadlines passed at once,
        # while the answers wait unread in its sockets: it would suspect the
        # member it was probing and fail those it suspected. The time that
        # the tick came late by is given back to them, and one more timeout
        # to read the answers in.
        late = now - self.next_wake()
        if late < self._settings.timeout:
            return
        late += self._settings.timeout
        self._next_probe += late
        self._next_forget += late
        self._table.postpone(late)
        if self._probe is not None and self._probe.retry_at is not None:
            self._probe.retry_at += late

    # Probing

    def _begin_probe(self, now: float) -> None:
        self._next_probe += self._settings.interval
        self._relays.expire(now)
        name = self._plan.choose()
        entry = self._table.find(name) if name else None
        if entry is None:
            return
        self._sequence += 1
        retry_at = now + self._settings.timeout
        self._probe = membership_probes.Probe(
            entry.member, self._sequence, retry_at
        )
        self._send_ping(entry.member, self._sequence, attempt=0)

    def _probe_indirectly(
        self, probe: membership_probes.Probe, now: float
    ) -> None:
        probe.retry_at = None
        member = probe.member
        # Open connections can go silent for good while new ones work: pings
        # then vanish though the member lives. The second ping goes over a
        # new connection, and its attempt number makes the member renew the
        # connection that its answers take.
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
        return self._source.sample(helpers, count)

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

    # Receiving

    def _receive(self, message: messages.Message, now: float) -> None:
        incarnation = self.me.incarnation
        for news in messages.decode_updates(message.updates):
            self._learn(news, now)
        refuted = self.me.incarnation != incarnation
        match message:
            case messages.Ping():
                self._answer(message, refuted)
            case messages.Ack():
                self._take_ack(message)
            case messages.PingRequest():
                self._relay(message, now)

    def _answer(self, ping: messages.Ping, refuted: bool) -> None:
        if ping.attempt > 0:
            self._act(membership_events.Reconnect(ping.reply_to))
        introduce = ping.introduce or refuted
        news = self._composer.compose(
            ping.sender,
            self.me if introduce else None,
            self._judge_need(ping),
        )
        ack = messages.Ack(ping.sequence, self.me.instance, news)
        self._act(membership_events.Send(ping.reply_to, ack))
        if self._table.find(ping.sender) is None:
            self._ask_to_introduce(ping)

    def _judge_need(self, ping: messages.Ping) -> membership_packets.Need:
        heard = self._table.confirmed
        missing = max(ping.unconfirmed, heard - ping.confirmed)
        if missing > heard * MUCH_SHARE:
            return membership_packets.Need.MANY
        if missing > 0:
            return membership_packets.Need.SOME
        return membership_packets.Need.NONE

    def _ask_to_introduce(self, ping: messages.Ping) -> None:
        self._sequence += 1
        question = self._make_ping(self._sequence, ping.sender, introduce=True)
        self._act(membership_events.Send(ping.reply_to, question))

    def _take_ack(self, ack: messages.Ack) -> None:
        if self._probe and self._probe.sequence == ack.sequence:
            self._probe = None
            return
        relay = self._relays.take(ack.sequence)
        if relay is None:
            return
        answer = messages.Ack(relay.sequence, ack.sender, ack.updates)
        self._act(membership_events.Send(relay.reply_to, answer))

    def _relay(self, request: messages.PingRequest, now: float) -> None:
        self._sequence += 1
        expires = now + self._settings.interval
        relay = membership_probes.Relay(
            request.reply_to, request.sequence, expires
        )
        if not self._relays.add(self._sequence, relay):
            return
        ping = self._make_ping(self._sequence, request.instance)
        self._act(membership_events.Send(request.address, ping))

    # News

    def _learn(self, news: messages.Update, now: float) -> None:
        if isinstance(news, messages.MemberUpdate):
            self._learn_member(news.member, now)
        elif self._known.learn(news):
            self._queue.put(news)
            self._act(membership_events.UpdateLearned(news))

    def _learn_member(self, news: messages.Member, now: float) -> None:
        if news.instance == self.me.instance:
            self._refute(news)
            return
        entry = self._table.find(news.instance)
        if news.state is messages.State.FAILED and entry and entry.is_alive:
            # Word from behind a healing partition calls members failed that
            # this side has been talking to all the time. They get the time
            # to refute it, as after a failed probe of our own.
            news = news._replace(state=messages.State.SUSPECTED)
        self._merge_member(news, now)

    def _merge_member(self, news: messages.Member, now: float) -> None:
        change = self._table.merge(news, now)
        if change is None:
            return
        entry = self._table.find(news.instance)
        if entry.is_confirmed and news.state is messages.State.SUSPECTED:
            self._table.suspect(entry, now + self._suspicion_time())
        if entry.is_confirmed:
            self._queue.put(messages.MemberUpdate(news))
        self._place(news)
        self._act(membership_events.MemberChanged(change.before, change.after))

    def _suspicion_time(self) -> float:
        # The suspicion has to reach the member and its refutation everybody,
        # each in a number of intervals that grows with the logarithm.
        members = len(self._table) + 1
        return self._settings.suspicion * max(1.0, math.log2(members) / 2)

    def _place(self, member: messages.Member) -> None:
        if member.state is messages.State.LEFT:
            self._plan.discard(member.instance)
            return
        near = member.region == self.me.region
        lost = member.state is messages.State.FAILED
        self._plan.place(member.instance, near, lost)

    def _refute(self, news: messages.Member) -> None:
        if not membership_table.is_newer(news, self.me):
            return
        self.me = self.me._replace(incarnation=news.incarnation + 1)
        self._queue.put(messages.MemberUpdate(self.me))
        self._act(membership_events.Refuted(self.me.incarnation))

    # The platform's list, leaving, forgetting

    def _take_list(
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
            unheard = member._replace(
                incarnation=membership_table.LISTED_INCARNATION,
                state=messages.State.SUSPECTED,
            )
            self._merge_member(unheard, now)

    def _change_own(self, state: messages.State) -> None:
        self.me = self.me._replace(
            incarnation=self.me.incarnation + 1, state=state
        )
        self._queue.put(messages.MemberUpdate(self.me))

    def _depart(self) -> None:
        self._change_own(messages.State.LEFT)
        live = self._table.list_live()
        count = min(DEPARTURE_NOTICES, len(live))
        for member in self._source.sample(live, count):
            news = self._composer.compose(member.instance, self.me)
            notice = messages.Notice(self.me.instance, news)
            self._act(membership_events.Send(member.peer_address, notice))

    def _forget(self, now: float) -> None:
        self._next_forget = now + FORGET_INTERVAL
        for instance in self._table.forget(now, self._listed):
            self._plan.discard(instance)

    def _act(self, action: membership_events.Action) -> None:
        self._actions.append(action)
