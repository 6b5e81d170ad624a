"""Change feeds of the store's tables: a full read, then the changes."""

import asyncio
import typing

from vanillayoke.gateway import messages
from vanillayoke.gateway import store as store_module

# An unresponsive connection is detected when the wait for changes and this
# time are over.
FEED_TIMEOUT_SECONDS = 0.4
READ_TIMEOUT_SECONDS = 1.0
# The pause ends early when the store recovers.
MAX_RETRY_PAUSE_SECONDS = 0.3


class TableFeed:
    """Reads one table and then its changes.

    ``on_read`` gets the whole table, ``on_change`` each changed row. A row for
    which ``on_change`` fails is passed to ``on_failure`` with the error, and
    the rows after it are applied. The store may hold a call for changes for
    ``wait`` seconds. ``on_current`` is called after each read and each call
    for changes, when the rows are up to date.
    """

    def __init__(
        self,
        store: store_module.StoreClient,
        table: str,
        on_read: typing.Callable[[messages.Page], None],
        on_change: typing.Callable[[messages.Row], None],
        on_failure: typing.Callable[[messages.Row, Exception], None],
        wait: float,
        on_current: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._wait = wait
        self._table = table
        self._on_read = on_read
        self._on_change = on_change
        self._on_failure = on_failure
        self._on_current = on_current
        self.loaded = asyncio.Event()

    async def run(self) -> None:
        """Read the table and follow its changes until cancelled."""
        version: int | None = None
        while True:
            try:
                if version is None:
                    version = await self._read()
                version = await self._follow(version)
            except store_module.ChangesExpiredError:
                version = None
            except store_module.StoreError:
                await self._store.wait_before_retry(MAX_RETRY_PAUSE_SECONDS)

    async def _read(self) -> int:
        page = await self._store.read(self._table, '', READ_TIMEOUT_SECONDS)
        self._on_read(page)
        self._on_current()
        self.loaded.set()
        return page.version

    async def _follow(self, version: int) -> int:
        page = await self._store.follow(
            self._table, version, self._wait, FEED_TIMEOUT_SECONDS
        )
        for row in page.rows:
            try:
                self._on_change(row)
            except Exception as error:
                self._on_failure(row, error)
        self._on_current()
        return max(version, page.version)
