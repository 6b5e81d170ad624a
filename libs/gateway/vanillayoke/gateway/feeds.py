"""Following a table of the store: a first reading, then its changes."""

import asyncio
import typing

from vanillayoke.gateway import messages
from vanillayoke.gateway import store as store_module

# A connection that went silent is noticed when the longest wait for changes
# and the patience behind it are over.
FEED_PATIENCE = 0.4
READ_TIMEOUT = 1.0
# Between two tries at the most; the store's return ends the pause.
RETRY_PAUSE = 0.3


class TableFeed:
    """Follows one table and hands over what it reads.

    ``on_reading`` gets a whole reading, ``on_change`` each changed row. The
    store is let hold a call for ``wait`` seconds. ``on_current`` is called
    whenever nothing newer was there.
    """

    def __init__(
        self,
        store: store_module.StoreClient,
        table: str,
        on_reading: typing.Callable[[messages.Page], None],
        on_change: typing.Callable[[messages.Row], None],
        wait: float,
        on_current: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._wait = wait
        self._table = table
        self._on_reading = on_reading
        self._on_change = on_change
        self._on_current = on_current
        self.loaded = asyncio.Event()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        position: int | None = None
        while True:
            try:
                if position is None:
                    position = await self._read()
                position = await self._follow(position)
            except store_module.ChangesExpiredError:
                position = None
            except store_module.StoreError:
                await self._store.wait_before_retry(RETRY_PAUSE)

    async def _read(self) -> int:
        page = await self._store.read(self._table, '', READ_TIMEOUT)
        self._on_reading(page)
        self._on_current()
        self.loaded.set()
        return page.version

    async def _follow(self, position: int) -> int:
        page = await self._store.follow(
            self._table, position, self._wait, FEED_PATIENCE
        )
        for row in page.rows:
            self._on_change(row)
        self._on_current()
        return max(position, page.version)
