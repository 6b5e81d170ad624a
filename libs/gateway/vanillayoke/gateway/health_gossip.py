"""Gossip among the instances about the health states of targets."""

import random

from vanillayoke.core import timers
from vanillayoke.gateway import homes_ranking
from vanillayoke.gateway import notes as notes_module
from vanillayoke.gateway import peers as peers_module
from vanillayoke.scheduling import verdicts as verdicts_module

# Random peers to which an instance forwards a state that is new to it. With
# four, a state reaches nearly all instances within a few hops.
FANOUT = 4


class HealthGossip:
    """Spreads health states: each instance forwards new ones to some peers."""

    def __init__(
        self,
        instance: str,
        verdicts: verdicts_module.Verdicts,
        list_eligible: homes_ranking.ListMembers,
        timer_service: timers.TimerService,
        rng: random.Random,
        notes: notes_module.Notes,
    ) -> None:
        self._instance = instance
        self._verdicts = verdicts
        self._list_eligible = list_eligible
        self._timers = timer_service
        self._rng = rng
        self._notes = notes
        self._peers: peers_module.Peers | None = None

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    def count_instances(self) -> int:
        """Return the number of instances, of which a quorum has to agree."""
        return len(self._list_eligible())

    def publish(self, state: verdicts_module.Verdict) -> None:
        """Spread a state that this instance has found out."""
        self._notes.note_verdict(state)
        self._spread(state)

    def receive(self, state: verdicts_module.Verdict) -> None:
        """Merge a state of another instance, and forward it if it was new.

        It is logged only if it changes whether the target counts as unhealthy.
        """
        count = self.count_instances()
        was_unhealthy = self._verdicts.is_sick(state.target, count)
        merged = self._verdicts.merge(state, self._timers.now(), count)
        if merged is None:
            return
        if self._verdicts.is_sick(state.target, count) != was_unhealthy:
            self._notes.note_verdict(merged)
        self._spread(merged)

    def _spread(self, state: verdicts_module.Verdict) -> None:
        addresses = [
            peer.address
            for peer in self._list_eligible()
            if peer.instance != self._instance
        ]
        self._rng.shuffle(addresses)
        if self._peers is not None:
            self._peers.send_health_state(addresses[:FANOUT], state)
