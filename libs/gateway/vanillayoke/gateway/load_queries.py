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

# A round trip between zones takes two milliseconds. Without a response the
# local view of the load is used, which costs less than waiting longer.
QUERY_TIMEOUT_SECONDS = 0.008


class LoadQueries:
    """Reports requests to the coordinators of targets, and queries loads."""

    def __init__(
        self,
        instance: str,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
    ) -> None:
        self._instance = instance
        self._list_eligible = list_eligible
        self._timers = timer_service
        self._load_counts = load_counts.LoadCounts()
        self._peers: peers_module.Peers | None = None
        self._eligible: typing.Sequence[rendezvous.Peer] = ()
        # Coordinators' addresses by target, None for this instance.
        self._coordinators: dict[str, str | None] = {}

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

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
                loads[candidate.name] = self._load_counts.get_load(
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
                response.requests, response.latency_ratio
            )

    def record_start(
        self, target: messages.Target, request: str, max_duration: float
    ) -> None:
        """Record that a request was sent; ``max_duration`` is in seconds."""
        self._notify_coordinator(
            target,
            peer_messages.RequestStarted(target.name, request, max_duration),
        )

    def record_end(
        self,
        target: messages.Target,
        request: str,
        reported_count: int | None,
        latency_ratio: float | None,
    ) -> None:
        """Record that a request has ended; see ``LoadCounts.end``."""
        notification = peer_messages.RequestEnded(
            target.name, request, reported_count, latency_ratio
        )
        self._notify_coordinator(target, notification)

    def handle(self, notification: peer_messages.Notification) -> None:
        """Handle a notification of this or another instance."""
        now = self._timers.now()
        match notification:
            case peer_messages.RequestStarted(target, request, max_duration):
                self._load_counts.begin(
                    target, request, now + max_duration, now
                )
            case peer_messages.RequestEnded(
                target, request, reported_count, latency_ratio
            ):
                self._load_counts.end(
                    target, request, reported_count, latency_ratio, now
                )

    def handle_request(
        self, request: peer_messages.LoadQuery
    ) -> peer_messages.LoadResponse:
        """Return the load for a query of another instance."""
        load = self._load_counts.get_load(request.target, self._timers.now())
        return peer_messages.LoadResponse(load.requests, load.latency_ratio)

    def count_requests(self, target: str) -> float:
        """Return the number of requests at a target, as counted here."""
        return self._load_counts.count(target, self._timers.now())

    def retain(self, targets: typing.Container[str]) -> None:
        """Drop what is known of targets other than these."""
        self._load_counts.retain(targets)
        self._coordinators.clear()

    def handle_restart(self, target: str) -> None:
        """Drop the requests of a target that has restarted."""
        self._load_counts.reset(target)

    def _notify_coordinator(
        self, target: messages.Target, notification: peer_messages.Notification
    ) -> None:
        address = self._find_coordinator(target.name, target.zone)
        if address is None:
            self.handle(notification)
        else:
            self._peers.notify(address, notification)

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
