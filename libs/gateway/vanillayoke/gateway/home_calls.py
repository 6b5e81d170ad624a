"""Asking the homes of programs, and passing over those that are silent."""

import typing

from vanillayoke.core import timers
from vanillayoke.gateway import homes_ranking
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module

# How many homes of a program are asked: the second one where the first does
# not answer or leaves, as while many instances stop or start.
MOST_ASKED = 2
# For how long a home that did not answer is passed over. It is found to have
# failed some two seconds later. Seconds.
SILENCE = 1.0


class HomeCalls:
    """Asks homes on behalf of this instance's turns."""

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
        # When homes were last asked in vain, by instance.
        self._silent: dict[str, float] = {}

    def use(self, peers: peers_module.Peers) -> None:
        """Ask other instances through this from now on."""
        self._peers = peers

    def list_homes(self, program: str) -> list[homes_ranking.HomeMember]:
        """Return the best homes, those that were silent a moment ago left out.

        All that miss a home ask the same next one. Each for itself would
        split the budget into parts that are too small for a turn. Where all
        are told to stop, the best of them stays the home.
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
    ) -> peer_messages.Response | None:
        """Ask a home to reserve; settle there what no answer tells of.

        The home may have reserved, or do so later; nobody else would ever
        end a turn that goes on elsewhere or not at all.
        """
        answer = peer_messages.Pending()
        try:
            answer = await self._peers.send_request(
                home.address, question, until
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
        """Tell the keeper of a reservation that its turn is over."""
        await self._peers.send_request(
            address,
            question,
            self._timers.now(),
            peers_module.LONG_RETRY_TIMEOUTS_SECONDS,
        )

    def prune(self) -> None:
        """Forget who was silent longer ago."""
        limit = self._timers.now() - SILENCE
        for name in [one for one, at in self._silent.items() if at <= limit]:
            del self._silent[name]
