"""Requests to the coordinators of programs, skipping unresponsive ones."""

import typing

from vanillayoke.core import timers
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous

# The second instance in rank is asked if the first does not respond or is
# leaving.
MOST_ASKED = 2
# How long an instance that did not respond is skipped.
SILENCE = 1.0


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
        self._silent: dict[str, float] = {}

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
        members = (
            self._membership.list_eligible()
            or self._membership.list_reachable()
        )
        self.prune()
        if self._silent:
            members = [
                one for one in members if one.instance not in self._silent
            ]
        return rendezvous.list_highest(program, members, MOST_ASKED)

    async def reserve(
        self,
        home: rendezvous.Peer,
        question: peer_messages.Reserve,
        deadline: float,
    ) -> peer_messages.Response | None:
        """Request a reservation; settle it if no final response arrives.

        The coordinator may have reserved or may do so later, and nothing else
        would settle a turn that runs elsewhere or not at all.
        """
        answer = peer_messages.Pending()
        try:
            answer = await self._peers.send_request(
                home.address, question, deadline
            )
            if answer is None:
                self._silent[home.instance] = self._timers.now()
        finally:
            if answer in (None, peer_messages.Pending()):
                given_up = peer_messages.Settle(
                    question.program, question.turn, 0, question.session
                )
                self._spawn(self.settle(home.address, given_up))
        return answer

    async def settle(
        self, address: str, question: peer_messages.Settle
    ) -> None:
        """Notify the instance that made a reservation that its turn ended."""
        await self._peers.send_request(
            address,
            question,
            self._timers.now(),
            peers_module.LONG_RETRY_TIMEOUTS_SECONDS,
        )

    def prune(self) -> None:
        """Stop skipping instances whose timeout has passed."""
        limit = self._timers.now() - SILENCE
        for name in [one for one, at in self._silent.items() if at <= limit]:
            del self._silent[name]
