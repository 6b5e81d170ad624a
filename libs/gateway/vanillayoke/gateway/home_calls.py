"""Requests to the coordinators of programs, skipping unresponsive ones."""

import typing

from vanillayoke.core import timers
from vanillayoke.gateway import homes_ranking
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module

# The second instance in rank is asked if the first does not respond or is
# leaving.
MOST_ASKED = 2
# How long an instance that did not respond is skipped.
SILENCE = 1.0


class HomeCalls:
    """Sends requests to coordinators for the turns of this instance."""

    def __init__(
        self,
        roster: homes_ranking.Roster,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
    ) -> None:
        self._roster = roster
        self._timers = timer_service
        self._spawn = spawn
        self._peers: peers_module.Peers | None = None
        # When a request last timed out, by instance.
        self._silent: dict[str, float] = {}

    def use(self, peers: peers_module.Peers) -> None:
        """Set the connection to other instances."""
        self._peers = peers

    def list_homes(self, program: str) -> list[homes_ranking.HomeMember]:
        """Return the instances to ask, leaving out unresponsive ones.

        All instances that can't reach the coordinator ask the same next one:
        if each reserved for itself, the budget would be split into parts too
        small for a turn. If all instances are leaving, the one with the
        highest score remains the coordinator.
        """
        members = self._roster.list_homes() or self._roster.list_reachable()
        self.prune()
        if self._silent:
            members = [
                one for one in members if one.instance not in self._silent
            ]
        return homes_ranking.list_best(program, members, MOST_ASKED)

    async def reserve(
        self,
        home: homes_ranking.HomeMember,
        question: peer_messages.Reserve,
        until: float,
    ) -> peer_messages.Answer | None:
        """Request a reservation; settle it if no final response arrives.

        The coordinator may have reserved or may do so later, and nothing else
        would settle a turn that runs elsewhere or not at all.
        """
        answer = peer_messages.Pending()
        try:
            answer = await self._peers.ask(home.address, question, until)
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
        await self._peers.ask(
            address,
            question,
            self._timers.now(),
            peers_module.LASTING_REPEATS,
        )

    def prune(self) -> None:
        """Stop skipping instances whose timeout has passed."""
        limit = self._timers.now() - SILENCE
        for name in [one for one, at in self._silent.items() if at <= limit]:
            del self._silent[name]
