"""Telling other instances which version of the configuration is the newest.

The store may turn an instance away, or be silent to it, while it serves the
others. Such an instance hears of a new version from them, and reads it through
the one that told it.
"""

import random
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import store as store_module

# How many others are told of a version that is new here; they tell as many.
FANOUT = 4
# One other instance is told each interval, whoever it is: datagrams get lost,
# and an instance that was cut off has missed some. Seconds.
INTERVAL = 1.0
# How long an instance's own way to the store has to bring a version that it
# has heard of. Seconds.
HEAD_START = 0.2
READ_PATIENCE = 0.5
# How often a version is asked for; the next instance that tells of it starts
# over.
MOST_TRIES = 3


class VersionGossip:
    """Spreads versions; reads those that this instance has missed.

    ``relay`` is where this instance passes calls on to the store.
    ``get_version`` returns the version in force here, and ``take`` a reading
    of the configuration's table.
    """

    def __init__(
        self,
        me: messages.InstanceRow,
        relay: str,
        table: str,
        store: store_module.StoreClient,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
        source: random.Random,
        spawn: typing.Callable[[typing.Coroutine], None],
        get_version: typing.Callable[[], int],
        take: typing.Callable[[messages.Page], None],
    ) -> None:
        self._me = me
        self._relay = relay
        self._table = table
        self._store = store
        self._list_eligible = list_eligible
        self._timers = timer_service
        self._source = source
        self._spawn = spawn
        self._get_version = get_version
        self._take = take
        self._peers: peers_module.Peers | None = None
        self._is_catching_up = False

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Tell other instances through this from now on."""
        self._peers = peers

    def start(self) -> timers.Subscription:
        """Tell one other instance each interval."""
        return self._timers.call_every(INTERVAL, lambda: self._spread(1))

    def publish(self) -> None:
        """Spread the version that has just come into force here."""
        self._spread(FANOUT)

    def receive(self, news: peer_messages.ConfigurationVersion) -> None:
        """Take what another instance tells, or tell it what is newer."""
        version = self._get_version()
        if news.version < version:
            self._tell(news.address)
        elif news.version > version and not self._is_catching_up:
            self._is_catching_up = True
            self._spawn(self._catch_up(news))

    async def _catch_up(
        self, news: peer_messages.ConfigurationVersion
    ) -> None:
        try:
            await self._timers.sleep(HEAD_START)
            for _ in range(MOST_TRIES):
                if self._get_version() >= news.version:
                    return
                page = await self._read(news.relay)
                if page is not None:
                    self._take(page)
        finally:
            self._is_catching_up = False

    async def _read(self, relay: str) -> messages.Page | None:
        """Read the configuration by the own way, else through the teller."""
        try:
            return await self._store.read(self._table, '', READ_PATIENCE)
        except store_module.StoreError:
            pass
        try:
            return await self._store.read_via_relay(
                relay, self._table, READ_PATIENCE
            )
        except store_module.StoreError:
            return None

    def _spread(self, count: int) -> None:
        others = [
            home.address
            for home in self._list_eligible()
            if home.instance != self._me.instance
        ]
        for address in self._source.sample(others, min(count, len(others))):
            self._tell(address)

    def _tell(self, address: str) -> None:
        version = self._get_version()
        if self._peers is not None and version:
            news = peer_messages.ConfigurationVersion(
                version, self._me.peer, self._relay
            )
            self._peers.send_version(address, news)
