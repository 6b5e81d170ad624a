"""Change feeds of the store's tables: a full read, then the changes."""

import asyncio
import typing

from vanillayoke.core import timers
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
    for changes with the time at which the store was asked: all changes until
    then have been applied.
    """

    def __init__(
        self,
        store: store_module.StoreClient,
        table: str,
        on_read: typing.Callable[[messages.Page], None],
        on_change: typing.Callable[[messages.Row], None],
        on_failure: typing.Callable[[messages.Row, Exception], None],
        wait: float,
        timer_service: timers.TimerService,
        on_current: typing.Callable[[float], None] = lambda asked_at: None,
    ) -> None:
        self._store = store
        self._wait = wait
        self._table = table
        self._on_read = on_read
        self._on_change = on_change
        self._on_failure = on_failure
        self._timers = timer_service
        self._on_current = on_current
        # All changes up to this version have been applied; ``None`` if the
        # table has to be read again.
        self._version: int | None = None
        self.loaded = asyncio.Event()

    async def run(self) -> None:
        """Read the table and follow its changes until cancelled."""
        while True:
            try:
                if self._version is None:
                    await self.read()
                await self._follow(self._wait)
            except store_module.ChangesExpiredError:
                self._version = None
            except store_module.StoreError:
                await self._store.wait_before_retry(MAX_RETRY_PAUSE_SECONDS)

    async def read(self) -> int:
        """Read the table now; return the version of the store.

        Raise ``StoreError`` if it can't be read.
        """
        asked_at = self._timers.now()
        page = await self._store.read(self._table, '', READ_TIMEOUT_SECONDS)
        self._on_read(page)
        self._advance(page.version, asked_at)
        self.loaded.set()
        return page.version

    async def catch_up(self, version: int) -> None:
        """Apply all changes up to a version of the store now.

        Raise ``StoreError`` if they can't be read.
        """
        if self._version is not None:
            try:
                await self._follow(0.0)
            except store_module.ChangesExpiredError:
                self._version = None
        # The changes may lag behind the table.
        if self._version is None or self._version < version:
            await self.read()

    async def _follow(self, wait: float) -> None:
        asked_at = self._timers.now()
        page = await self._store.follow(
            self._table, self._version, wait, FEED_TIMEOUT_SECONDS
        )
        for row in page.rows:
            # Another call may have been answered first.
            if self._version is not None and row.version <= self._version:
                continue
            try:
                self._on_change(row)
            except Exception as error:
                self._on_failure(row, error)
        self._advance(page.version, asked_at)

    def _advance(self, version: int, asked_at: float) -> None:
        self._version = max(version, self._version or 0)
        self._on_current(asked_at)
