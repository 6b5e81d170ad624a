"""Gossip among the instances about the newest configuration version.

The store may refuse one instance, or not respond to it, while it serves the
others. Such an instance learns of a new version by gossip and reads it through
the instance that announced it.
"""

import random
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import store as store_module

# Random peers to which an instance announces a version that is new to it.
FANOUT = 4
# One random peer is sent the version each interval, since datagrams get lost
# and an instance that was disconnected has missed some.
INTERVAL_SECONDS = 1.0
# Time for the feed of the store to deliver a version learned by gossip.
FEED_DELAY_SECONDS = 0.2
READ_TIMEOUT_SECONDS = 0.5
# Attempts to read a version; the next announcement starts over.
MAX_READ_ATTEMPTS = 3


class VersionGossip:
    """Spreads versions, and reads those that this instance has missed.

    ``relay`` is the address where this instance forwards calls to the store.
    ``get_version`` returns the version in force here; ``apply`` takes rows
    read from the configuration's table.
    """

    def __init__(
        self,
        me: messages.InstanceRow,
        relay: str,
        table: str,
        store: store_module.StoreClient,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
        rng: random.Random,
        spawn: typing.Callable[[typing.Coroutine], None],
        get_version: typing.Callable[[], int],
        apply: typing.Callable[[messages.Page], None],
    ) -> None:
        self._me = me
        self._relay = relay
        self._table = table
        self._store = store
        self._list_eligible = list_eligible
        self._timers = timer_service
        self._rng = rng
        self._spawn = spawn
        self._get_version = get_version
        self._apply = apply
        self._peers: peers_module.Peers | None = None
        self._is_catching_up = False

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    def start(self) -> timers.Subscription:
        """Send the version to one random peer each interval."""
        return self._timers.call_every(
            INTERVAL_SECONDS, lambda: self._spread(1)
        )

    def publish(self) -> None:
        """Spread the version that has just come into force here."""
        self._spread(FANOUT)

    def receive(self, announced: peer_messages.ConfigurationVersion) -> None:
        """Read a newer version, or answer an older one with that in force."""
        version = self._get_version()
        if announced.version < version:
            self._send(announced.address)
        elif announced.version > version and not self._is_catching_up:
            self._is_catching_up = True
            self._spawn(self._catch_up(announced))

    async def _catch_up(
        self, announced: peer_messages.ConfigurationVersion
    ) -> None:
        try:
            await self._timers.sleep(FEED_DELAY_SECONDS)
            for _ in range(MAX_READ_ATTEMPTS):
                if self._get_version() >= announced.version:
                    return
                page = await self._read(announced.relay)
                if page is not None:
                    self._apply(page)
        finally:
            self._is_catching_up = False

    async def _read(self, relay: str) -> messages.Page | None:
        """Read the configuration directly, else through a relay."""
        try:
            return await self._store.read(
                self._table, '', READ_TIMEOUT_SECONDS
            )
        except store_module.StoreError:
            pass
        try:
            return await self._store.read_via_relay(
                relay, self._table, READ_TIMEOUT_SECONDS
            )
        except store_module.StoreError:
            return None

    def _spread(self, count: int) -> None:
        addresses = [
            peer.address
            for peer in self._list_eligible()
            if peer.instance != self._me.instance
        ]
        for address in self._rng.sample(addresses, min(count, len(addresses))):
            self._send(address)

    def _send(self, address: str) -> None:
        version = self._get_version()
        if self._peers is not None and version:
            announced = peer_messages.ConfigurationVersion(
                version, self._me.peer, self._relay
            )
            self._peers.send_version(address, announced)
