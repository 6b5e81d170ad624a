"""Spreading what is found out about sick targets among the instances."""

import random

from vanillayoke.core import timers
from vanillayoke.gateway import instrumentation as instrumentation_module
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.scheduling import shared_health as shared_health_module

# How many others an instance tells of a verdict that is new to it: with four,
# 98 in 100 hear of it within a few hops, and the rest by its repetition.
FANOUT = 4


class HealthGossip:
    """Tells a few others of each verdict; each tells a few more."""

    def __init__(
        self,
        instance: str,
        verdicts: shared_health_module.SharedHealth,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
        source: random.Random,
        instrumentation: instrumentation_module.Instrumentation,
    ) -> None:
        self._instance = instance
        self._verdicts = verdicts
        self._list_eligible = list_eligible
        self._timers = timer_service
        self._source = source
        self._instrumentation = instrumentation
        self._peers: peers_module.Peers | None = None

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Tell other instances through this from now on."""
        self._peers = peers

    def count_instances(self) -> int:
        """Return how many instances there are to agree."""
        return len(self._list_eligible())

    def publish(self, verdict: shared_health_module.HealthState) -> None:
        """Spread what this instance found out."""
        self._instrumentation.record_health_state(verdict)
        self._spread(verdict)

    def receive(self, verdict: shared_health_module.HealthState) -> None:
        """Take what another instance tells; pass on what is new.

        A line is written only where it changes what this instance does.
        """
        count = self.count_instances()
        was_sick = self._verdicts.is_unhealthy(verdict.target, count)
        merged = self._verdicts.merge(verdict, self._timers.now(), count)
        if merged is None:
            return
        if self._verdicts.is_unhealthy(verdict.target, count) != was_sick:
            self._instrumentation.record_health_state(merged)
        self._spread(merged)

    def _spread(self, verdict: shared_health_module.HealthState) -> None:
        others = [
            home.address
            for home in self._list_eligible()
            if home.instance != self._instance
        ]
        self._source.shuffle(others)
        if self._peers is not None:
            self._peers.send_health_state(others[:FANOUT], verdict)
