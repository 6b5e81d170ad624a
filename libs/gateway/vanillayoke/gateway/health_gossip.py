"""Gossip among the instances about the health states of targets."""

import random

from vanillayoke.core import timers
from vanillayoke.gateway import instrumentation as instrumentation_module
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.scheduling import shared_health as shared_health_module

# Random peers to which an instance forwards a state that is new to it. With
# four, a state reaches nearly all instances within a few hops.
FANOUT = 4


class HealthGossip:
    """Spreads health states: each instance forwards new ones to some peers."""

    def __init__(
        self,
        instance: str,
        shared_health: shared_health_module.SharedHealth,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
        rng: random.Random,
        instrumentation: instrumentation_module.Instrumentation,
    ) -> None:
        self._instance = instance
        self._shared_health = shared_health
        self._list_eligible = list_eligible
        self._timers = timer_service
        self._rng = rng
        self._instrumentation = instrumentation
        self._peers: peers_module.Peers | None = None

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    def count_instances(self) -> int:
        """Return the number of instances, of which a quorum has to agree."""
        return len(self._list_eligible())

    def publish(self, state: shared_health_module.HealthState) -> None:
        """Spread a state that this instance has found out."""
        self._instrumentation.record_health_state(state)
        self._spread(state)

    def receive(self, state: shared_health_module.HealthState) -> None:
        """Merge a state of another instance, and forward it if it was new.

        It is logged only if it changes whether the target counts as unhealthy.
        """
        count = self.count_instances()
        was_unhealthy = self._shared_health.is_unhealthy(state.target, count)
        merged = self._shared_health.merge(state, self._timers.now(), count)
        if merged is None:
            return
        if (
            self._shared_health.is_unhealthy(state.target, count)
            != was_unhealthy
        ):
            self._instrumentation.record_health_state(merged)
        self._spread(merged)

    def _spread(self, state: shared_health_module.HealthState) -> None:
        addresses = [
            peer.address
            for peer in self._list_eligible()
            if peer.instance != self._instance
        ]
        self._rng.shuffle(addresses)
        if self._peers is not None:
            self._peers.send_health_state(addresses[:FANOUT], state)
