"""Requests to the coordinators of programs, skipping unresponsive ones."""

import typing

from vanillayoke.core import timers
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous

# The second instance in rank is asked if the first does not respond or is
# leaving.
MAX_COORDINATORS = 2
# How long an instance that did not respond is skipped. If it has failed, this
# is detected after about two seconds.
UNRESPONSIVE_SECONDS = 1.0


class CoordinatorClient:
    """Sends requests to coordinators for the turns of this instance."""

    def __init__(
        self,
        membership: rendezvous.MembershipView,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
    ) -> None:
        self._membership = membership
        self._timers = timer_service
        self._spawn = spawn
        self._peers: peers_module.Peers | None = None
        # When a request last timed out, by instance.
        self._unresponsive: dict[str, float] = {}

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to other instances."""
        self._peers = peers

    def list_coordinators(self, program: str) -> list[rendezvous.Peer]:
        """Return the instances to ask, leaving out unresponsive ones.

        All instances that can't reach the coordinator ask the same next one:
        if each reserved for itself, the budget would be split into parts too
        small for a turn. If all instances are leaving, the one with the
        highest score remains the coordinator.
        """
        eligible = (
            self._membership.list_eligible()
            or self._membership.list_reachable()
        )
        self.prune()
        if self._unresponsive:
            eligible = [
                peer
                for peer in eligible
                if peer.instance not in self._unresponsive
            ]
        return rendezvous.list_highest(program, eligible, MAX_COORDINATORS)

    async def reserve(
        self,
        coordinator: rendezvous.Peer,
        request: peer_messages.Reserve,
        deadline: float,
    ) -> peer_messages.Response | None:
        """Request a reservation; settle it if no final response arrives.

        The coordinator may have reserved or may do so later, and nothing else
        would settle a turn that runs elsewhere or not at all.
        """
        response = peer_messages.Pending()
        try:
            response = await self._peers.send_request(
                coordinator.address, request, deadline
            )
            if response is None:
                self._unresponsive[coordinator.instance] = self._timers.now()
        finally:
            if response in (None, peer_messages.Pending()):
                settlement = peer_messages.Settle(
                    request.program, request.turn, 0, request.session
                )
                self._spawn(self.settle(coordinator.address, settlement))
        return response

    async def settle(
        self, address: str, request: peer_messages.Settle
    ) -> None:
        """Notify the instance that made a reservation that its turn ended."""
        await self._peers.send_request(
            address,
            request,
            self._timers.now(),
            peers_module.LONG_RETRY_TIMEOUTS_SECONDS,
        )

    def prune(self) -> None:
        """Stop skipping instances whose timeout has passed."""
        cutoff = self._timers.now() - UNRESPONSIVE_SECONDS
        for name in [
            instance
            for instance, failed_at in self._unresponsive.items()
            if failed_at <= cutoff
        ]:
            del self._unresponsive[name]
