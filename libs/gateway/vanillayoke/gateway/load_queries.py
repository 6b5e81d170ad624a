"""Load queries: how many requests all instances have sent to a target.

The load of a target is counted by its coordinator, an instance of the target's
own zone if there is one: most requests stay in their zone, and so do the
datagrams about them.
"""

import asyncio
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import target_load

# A round trip between zones takes two milliseconds. Without a response the
# local view of the load is used, which costs less than waiting longer.
QUERY_TIMEOUT_SECONDS = 0.008
# Times are sent up to this value: older reports have decayed to nothing.
MAX_AGE_MS = 60_000


class LoadQueries:
    """Reports requests to the coordinators of targets, and queries loads.

    Reports of contention are ignored if ``uses_contention`` is not set.
    ``record_malformed_report`` is called with a target whose load report can't
    be used.
    """

    def __init__(
        self,
        instance: str,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
        uses_contention: bool = True,
        record_malformed_report: typing.Callable[
            [messages.Target], None
        ] = lambda target: None,
    ) -> None:
        self._instance = instance
        self._list_eligible = list_eligible
        self._timers = timer_service
        self.load_counts = load_counts.LoadCounts()
        # Called with each notification that this instance counts.
        self._observer: (
            typing.Callable[[peer_messages.Notification], None] | None
        ) = None
        self._uses_contention = uses_contention
        self.record_malformed_report = record_malformed_report
        # This instance's own view of the targets' speed and contention.
        self.performance = target_load.PerformanceView()
        self._peers: peers_module.Peers | None = None
        self._eligible: typing.Sequence[rendezvous.Peer] = ()
        # Coordinators' addresses by target, None for this instance.
        self._coordinators: dict[str, str | None] = {}

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    def set_observer(
        self, observer: typing.Callable[[peer_messages.Notification], None]
    ) -> None:
        """Set what is called with each notification after it was counted."""
        self._observer = observer

    async def query(
        self, candidates: typing.Iterable[occupancy.Candidate]
    ) -> dict[str, load_counts.Load]:
        """Return the loads of targets whose coordinators respond in time."""
        loads: dict[str, load_counts.Load] = {}
        queries = []
        for candidate in candidates:
            address = self._find_coordinator(candidate.name, candidate.zone)
            if address is None:
                now = self._timers.now()
                loads[candidate.name] = self.load_counts.get_load(
                    candidate.name, now
                )
            else:
                queries.append(self._query(address, candidate.name, loads))
        if queries:
            await asyncio.gather(*queries)
        return loads

    async def _query(
        self, address: str, target: str, loads: dict[str, load_counts.Load]
    ) -> None:
        response = await self._peers.send_request(
            address,
            peer_messages.LoadQuery(target),
            self._timers.now() + QUERY_TIMEOUT_SECONDS,
            (QUERY_TIMEOUT_SECONDS,),
        )
        if isinstance(response, peer_messages.LoadResponse):
            loads[target] = load_counts.Load(
                response.requests,
                response.latency_ratio,
                response.waiting,
                performance=_decode_performance(response.performance),
                silence=_decode_silence(response.performance),
            )

    def record_start(
        self, target: messages.Target, request: str, max_duration: float
    ) -> None:
        """Record that a request was sent; ``max_duration`` is in seconds."""
        self._notify_coordinator(
            target,
            peer_messages.RequestStarted(target.name, request, max_duration),
        )

    def record_report(
        self, target: messages.Target, contention: float | None
    ) -> bool:
        """Record a target's load report, ``None`` if without contention.

        Return whether the contention was unexpected.
        """
        if not self._uses_contention:
            return False
        return self.performance.record_report(
            target.service, target.name, contention, self._timers.now()
        )

    def notify_contention(
        self, target: messages.Target, contention: float, age: float
    ) -> None:
        """Notify the coordinator of an unexpected contention at once.

        By the end of a response that has just begun, most of the time that
        the contention lasts may be over.
        """
        self.record_end(
            target, '', None, None, target_load.Sample(contention, age)
        )

    def record_end(
        self,
        target: messages.Target,
        request: str,
        reported_count: int | None,
        latency_ratio: float | None,
        performance: target_load.Sample | None = None,
    ) -> None:
        """Record that a request has ended; see ``LoadCounts.end``."""
        if not self._uses_contention:
            performance = None
        notification = peer_messages.RequestEnded(
            target.name,
            request,
            reported_count,
            latency_ratio,
            performance=_encode_performance(performance),
        )
        self._notify_coordinator(target, notification)

    def handle(self, notification: peer_messages.Notification) -> None:
        """Handle a notification of this or another instance."""
        now = self._timers.now()
        match notification:
            case peer_messages.RequestStarted(target, request, max_duration):
                self.load_counts.begin(
                    target, request, now + max_duration, now
                )
            case peer_messages.RequestEnded(
                target, request, reported_count, latency_ratio
            ):
                self.load_counts.end(
                    target,
                    request,
                    reported_count,
                    latency_ratio,
                    now,
                    _decode_performance(notification.performance),
                )
        if self._observer is not None:
            self._observer(notification)

    def handle_request(
        self, request: peer_messages.LoadQuery
    ) -> peer_messages.LoadResponse:
        """Return the load for a query of another instance."""
        load = self.load_counts.get_load(request.target, self._timers.now())
        return peer_messages.LoadResponse(
            load.requests,
            load.latency_ratio,
            load.waiting,
            _encode_performance(load.performance, load.silence),
        )

    def count_requests(self, target: str) -> float:
        """Return the number of requests at a target, as counted here.

        It includes those that wait for its slots.
        """
        return self.load_counts.get_load(target, self._timers.now()).total

    def get_relative_capacity(self, target: messages.Target) -> float:
        """Return what a slot does relative to the mean of its service.

        It is 1.0 if the target is not coordinated here or its speed unknown.
        """
        now = self._timers.now()
        load = self.load_counts.get_load(target.name, now)
        if load.performance is None:
            return 1.0
        return 1.0 / self.performance.compute_speed(
            target.service, load.performance.pace, now
        )

    def retain(self, targets: typing.Container[str]) -> None:
        """Drop what is known of targets other than these."""
        self.load_counts.retain(targets)
        self.performance.retain(targets)
        self._coordinators.clear()

    def handle_restart(self, target: str) -> None:
        """Drop the requests and the speed of a target that has restarted."""
        self.load_counts.reset(target)
        self.performance.reset(target)

    def _notify_coordinator(
        self, target: messages.Target, notification: peer_messages.Notification
    ) -> None:
        address = self.find_coordinator(target)
        if address is None:
            self.handle(notification)
        else:
            self._peers.notify(address, notification)

    def find_coordinator(self, target: messages.Target) -> str | None:
        """Return the coordinator's address, ``None`` for this instance."""
        return self._find_coordinator(target.name, target.zone)

    def _find_coordinator(self, target: str, zone: str) -> str | None:
        """Return the coordinator's address, ``None`` for this instance."""
        eligible = self._list_eligible()
        if eligible is not self._eligible:
            self._eligible = eligible
            self._coordinators.clear()
        if target not in self._coordinators:
            self._coordinators[target] = self._choose_coordinator(target, zone)
        return self._coordinators[target]

    def _choose_coordinator(self, target: str, zone: str) -> str | None:
        local = [peer for peer in self._eligible if peer.zone == zone]
        addresses = {
            peer.instance: peer.address for peer in local or self._eligible
        }
        instance = rendezvous.find_highest(target, addresses)
        return (
            None if instance in (None, self._instance) else addresses[instance]
        )


def _encode_performance(
    sample: target_load.Sample | None, silence: float = 0.0
) -> peer_messages.Performance | None:
    if sample is None:
        return None
    return peer_messages.Performance(
        None if sample.contention is None else round(100 * sample.contention),
        min(MAX_AGE_MS, round(1000 * sample.age)),
        None if sample.pace is None else round(1_000_000 * sample.pace),
        min(MAX_AGE_MS, round(1000 * silence)),
    )


def _decode_performance(
    performance: peer_messages.Performance | None,
) -> target_load.Sample | None:
    if performance is None:
        return None
    contention, age_ms, pace = (
        performance.contention,
        performance.age_ms,
        performance.pace,
    )
    return target_load.Sample(
        None if contention is None else contention / 100,
        age_ms / 1000,
        None if pace is None else pace / 1_000_000,
    )


def _decode_silence(performance: peer_messages.Performance | None) -> float:
    return 0.0 if performance is None else performance.silence_ms / 1000
