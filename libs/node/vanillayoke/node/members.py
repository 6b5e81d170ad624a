"""Membership at work: probing over a transport, seeded by the platform."""

import asyncio
import collections
import random
import typing

from vanillayoke.cluster import membership
from vanillayoke.cluster import membership_events
from vanillayoke.cluster import messages
from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import logs
from vanillayoke.core import metrics
from vanillayoke.core import timers
from vanillayoke.peers import ports as peer_ports
from vanillayoke.platform import ports as platform_ports
from vanillayoke.settings import process

LIST_INTERVAL = 15.0
LIST_RETRY_INTERVAL = 2.0
MAX_UNSENT = 1000
DEPARTURE_TIME = 0.1
SHORTEST_WAKE = 0.001

_STATE_EVENTS = {
    messages.State.ALIVE: events.MEMBER_JOINED,
    messages.State.LEAVING: events.MEMBER_LEAVING,
    messages.State.SUSPECTED: events.MEMBER_SUSPECTED,
    messages.State.FAILED: events.MEMBER_FAILED,
    messages.State.LEFT: events.MEMBER_LEFT,
}
_GAUGED_STATES = (
    messages.State.ALIVE,
    messages.State.LEAVING,
    messages.State.SUSPECTED,
    messages.State.FAILED,
)

MembersCallback = typing.Callable[[list[messages.Member]], None]
NewsCallback = typing.Callable[[messages.Update], None]


class Members:
    """The other instances as this one sees them, and news among them.

    Peers are inside the deployment's trust; the transport's mutual TLS keeps
    others out.
    """

    def __init__(
        self,
        me: messages.Member,
        settings: process.ProbeSettings,
        transport: peer_ports.PeerTransport,
        instances: platform_ports.InstanceList,
        timer_service: timers.TimerService,
        source: random.Random,
        logger: logs.Logger,
        registry: metrics.Metrics,
    ) -> None:
        self._transport = transport
        self._instances = instances
        self._timers = timer_service
        self._source = source
        self._logger = logger
        self._metrics = registry
        self._clock = logger.timeline.clock
        self._machine = membership.Membership(
            me, settings, source, timer_service.now()
        )
        self._subscribers: list[MembersCallback] = []
        self._news_subscribers: list[NewsCallback] = []
        self._unsent: collections.deque = collections.deque(maxlen=MAX_UNSENT)
        self._has_unsent = asyncio.Event()
        self._wake: timers.Subscription | None = None
        self._tasks: list[asyncio.Task] = []
        self._running = False

    @classmethod
    def from_config(
        cls,
        instance: process.InstanceSettings,
        settings: process.ProbeSettings,
        transport: peer_ports.PeerTransport,
        instances: platform_ports.InstanceList,
        timer_service: timers.TimerService,
        source: random.Random,
        logger: logs.Logger,
        registry: metrics.Metrics,
    ) -> typing.Self:
        """Make the membership of an instance that starts now."""
        me = messages.Member(
            instance=instance.name,
            # A start later than an earlier one of the same name overrides
            # its record at once; where the wall clock went back, the others
            # say so and the incarnation is raised above theirs.
            incarnation=max(1, int(timer_service.wall())),
            zone=instance.zone,
            region=instance.region,
            entry_address=instance.entry_address,
            peer_address=instance.peer_address,
        )
        return cls(
            me,
            settings,
            transport,
            instances,
            timer_service,
            source,
            logger,
            registry,
        )

    async def start(self) -> None:
        """Begin to probe and to answer probes."""
        self._running = True
        self._transport.subscribe(self._receive)
        await self._read_list()
        self._tasks = [
            asyncio.create_task(self._send_queued()),
            asyncio.create_task(self._follow_list()),
        ]
        self._schedule()

    async def stop(self) -> None:
        """Tell some members that this one has left, and close."""
        if not self._running:
            return
        self._running = False
        if self._wake is not None:
            self._wake.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._decide(membership_events.Departed())
        await self._flush()
        # Closing a connection drops what has not gone out yet, and a new
        # one takes a moment to open.
        await self._timers.sleep(DEPARTURE_TIME)
        await self._transport.close()

    def members(self) -> list[messages.Member]:
        """Return all members in any state, this instance first."""
        return self._machine.list_members()

    @property
    def configuration_heard(self) -> int:
        """The highest configuration version that any news told of."""
        return self._machine.configuration_version

    def subscribe(self, callback: MembersCallback) -> None:
        """Call back with all members after each change."""
        self._subscribers.append(callback)

    def subscribe_news(self, callback: NewsCallback) -> None:
        """Call back with each piece of news that is not of members."""
        self._news_subscribers.append(callback)

    def publish_news(self, news: messages.Update) -> None:
        """Tell all members; known or older news goes nowhere."""
        self._decide(membership_events.Published(news))

    def leave(self) -> None:
        """Tell all members that this one is leaving."""
        self._decide(membership_events.Leaving())
        self._notify(self.members())

    def _receive(self, data: bytes) -> None:
        if not self._running:
            return
        self._metrics.peer_messages.add(direction='received')
        self._metrics.peer_bytes.add(len(data), direction='received')
        packet = messages.decode_packet(data)
        if packet is None:
            return
        self._clock.merge(packet.time)
        self._decide(membership_events.Received(packet.message))

    def _tick(self) -> None:
        self._decide(membership_events.Ticked())

    def _decide(self, event: membership_events.Event) -> None:
        now = self._timers.now()
        actions = self._machine.decide(event, now)
        for action in actions:
            self._carry_out(action)
        kinds = {type(action) for action in actions}
        if membership_events.MemberChanged in kinds:
            self._notify(self.members())
        if self._running:
            self._schedule()

    def _schedule(self) -> None:
        if self._wake is not None:
            self._wake.cancel()
        # An event loop may fire a timer a fraction of a millisecond early.
        # Without a shortest delay, ticks that come too early would follow
        # each other at once until the time is there.
        delay = self._machine.next_wake() - self._timers.now()
        delay = max(SHORTEST_WAKE, delay)
        self._wake = self._timers.call_after(delay, self._tick)

    def _carry_out(self, action: membership_events.Action) -> None:
        match action:
            case membership_events.Send() | membership_events.Reconnect():
                self._unsent.append(action)
                self._has_unsent.set()
            case membership_events.MemberChanged(before, after):
                self._log_change(before, after)
            case membership_events.UpdateLearned(news):
                for callback in self._news_subscribers:
                    callback(news)
            case membership_events.Refuted(incarnation):
                self._logger.write(
                    events.SUSPICION_REFUTED, incarnation=incarnation
                )

    def _log_change(
        self, before: messages.Member | None, after: messages.Member
    ) -> None:
        if before is None or before.state is not after.state:
            self._logger.write(
                _STATE_EVENTS[after.state],
                member=after.instance,
                incarnation=after.incarnation,
            )

    def _notify(self, members: list[messages.Member]) -> None:
        states = [member.state for member in members]
        for state in _GAUGED_STATES:
            self._metrics.members.set(
                states.count(state), state=state.name.lower()
            )
        for callback in self._subscribers:
            callback(members)

    async def _send_queued(self) -> None:
        while True:
            await self._has_unsent.wait()
            await self._flush()

    async def _flush(self) -> None:
        while self._unsent:
            action = self._unsent.popleft()
            match action:
                case membership_events.Send(address, message):
                    await self._send(address, message)
                case membership_events.Reconnect(address):
                    self._transport.forget(address)
        self._has_unsent.clear()

    async def _send(self, address: str, message: messages.Message) -> None:
        packet = messages.Packet(self._clock.read(), message)
        data = messages.encode_packet(packet)
        self._metrics.peer_messages.add(direction='sent')
        self._metrics.peer_bytes.add(len(data), direction='sent')
        await self._transport.send(address, data)

    async def _follow_list(self) -> None:
        wait = LIST_INTERVAL
        while True:
            # Jitter keeps instances started together from reading the list
            # in step.
            await self._timers.sleep(wait * self._source.uniform(0.8, 1.2))
            known = await self._read_list()
            wait = LIST_INTERVAL if known else LIST_RETRY_INTERVAL

    async def _read_list(self) -> bool:
        listed = await self._instances.list_instances()
        if failures.is_failure(listed):
            return False
        members = tuple(_make_listed(instance) for instance in listed)
        self._decide(membership_events.Listed(members))
        return True


def _make_listed(
    listed: platform_ports.ListedInstance,
) -> messages.Member:
    return messages.Member(
        instance=listed.instance,
        incarnation=0,
        zone=listed.zone,
        region=listed.region,
        entry_address=listed.entry_address,
        peer_address=listed.peer_address,
    )
