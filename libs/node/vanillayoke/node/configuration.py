"""The configuration in force in this process, kept up with the table."""

import asyncio
import hashlib
import typing

from vanillayoke.cluster import versions
from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.platform import ports
from vanillayoke.platform import publishing
from vanillayoke.settings import configuration

ROW_KEY = 'configuration/current'
POLL_INTERVAL = 2.0

AskPeers = typing.Callable[
    [], typing.Awaitable[configuration.PublishedConfiguration | None]
]
Listener = typing.Callable[[configuration.PublishedConfiguration], None]


class ConfigurationHolder:
    """Holds the highest configuration version ever seen.

    A lower version is never taken: a row read late, or a peer that lags,
    would otherwise bring back what operators replaced.
    """

    def __init__(
        self,
        table: ports.TableService,
        objects: ports.ObjectStore,
        clock: timers.TimerService,
        ask_peers: AskPeers | None = None,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._ask_peers = ask_peers
        self._versions = versions.VersionTracker()
        self._published = configuration.PublishedConfiguration(
            version=0, author='', configuration=configuration.Configuration()
        )
        self._row_version = 0
        self._clients: dict[str, str] = {}
        self._listeners: list[Listener] = []
        self._poll: timers.Subscription | None = None
        self._refreshing: asyncio.Task | None = None

    @property
    def version(self) -> int:
        """Return the version in force; 0 before any is known."""
        return self._versions.in_force

    @property
    def published(self) -> configuration.PublishedConfiguration:
        """Return what is in force with its version and author."""
        return self._published

    @property
    def current(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self._published.configuration

    def subscribe(self, listener: Listener) -> None:
        """Call back with each version that comes into force."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Read the configuration and go on watching it."""
        await self.refresh()
        self._poll = self._clock.call_every(POLL_INTERVAL, self._refresh_soon)

    def stop(self) -> None:
        """Stop watching."""
        if self._poll is not None:
            self._poll.cancel()
        if self._refreshing is not None:
            self._refreshing.cancel()

    def hear(self, version: int) -> None:
        """Take news from a peer that a version exists."""
        if self._versions.hear(version):
            self._refresh_soon()

    async def refresh(self) -> None | failures.Failure:
        """Read the table, or ask peers, and take what is newer."""
        failure = await self._read_table()
        if failure is not None and self._may_be_behind():
            await self._read_from_peer()
        return failure

    def _may_be_behind(self) -> bool:
        return self.version == 0 or self._versions.missing is not None

    async def _read_from_peer(self) -> None:
        """Take a peer's version while the table cannot be reached.

        An instance that starts in an outage would else know no client, and
        a change that others have in force would stop halfway.
        """
        if self._ask_peers is None:
            return
        published = await self._ask_peers()
        if published is not None:
            self.offer(published)

    async def _read_table(self) -> None | failures.Failure:
        row = await self._table.read(ROW_KEY)
        if failures.is_failure(row):
            return row
        if row is None or row.version == self._row_version:
            return None
        published = await publishing.read_published(row.value, self._objects)
        if published is None or failures.is_failure(published):
            return published
        self._row_version = row.version
        self.offer(published)
        return None

    def offer(self, published: configuration.PublishedConfiguration) -> bool:
        """Take a configuration if it is newer than the one in force."""
        if not self._versions.adopt(published.version):
            return False
        self._put_in_force(published)
        return True

    def find_client(self, key: str) -> str | None:
        """Return the client whose key this is."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self._clients.get(digest)

    def _put_in_force(
        self, published: configuration.PublishedConfiguration
    ) -> None:
        self._published = published
        self._clients = {
            key_hash: client
            for client, settings in published.configuration.clients.items()
            for key_hash in settings.key_hashes
        }
        for listener in self._listeners:
            listener(published)

    def _refresh_soon(self) -> None:
        if self._refreshing is None or self._refreshing.done():
            self._refreshing = asyncio.ensure_future(self.refresh())
