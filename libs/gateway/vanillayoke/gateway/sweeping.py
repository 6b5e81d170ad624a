"""Removing rows that nobody asks for any more, a little at a time.

Each part of the tables has one instance that sweeps it, the home of the
part's name. Two that both think so remove the same rows once.
"""

import typing

import msgspec

from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import histories
from vanillayoke.gateway import homes_ranking
from vanillayoke.gateway import ledger
from vanillayoke.gateway import limit_accounts
from vanillayoke.gateway import messages
from vanillayoke.gateway import parts
from vanillayoke.gateway import store as store_module
from vanillayoke.programs import grants
from vanillayoke.programs import transcripts

# In this time all parts are swept once. Rows lie for so long at the most
# beyond their time. Seconds.
ROUND = 600.0
# Rows outlast what the routes promise by this factor and time: clocks
# differ, and a program may be about to go on. Seconds.
KEPT_TIMES = 2.0
KEPT_MARGIN = 60.0
# The most rows that one call removes.
MOST_REMOVED = 50
PATIENCE = 2.0

_BUDGETS = msgspec.msgpack.Decoder(grants.BudgetRow)


class Sweeper:
    """Sweeps the parts that are this instance's."""

    def __init__(
        self,
        instance: str,
        store: store_module.StoreClient,
        catalog: catalog_module.Catalog,
        list_members: homes_ranking.ListMembers,
        timer_service: timers.TimerService,
    ) -> None:
        self._instance = instance
        self._store = store
        self._catalog = catalog
        self._list_members = list_members
        self._timers = timer_service
        self.removed = 0

    async def run(self) -> None:
        """Sweep part after part until cancelled."""
        while True:
            for index in range(parts.PART_COUNT):
                await self._timers.sleep(ROUND / parts.PART_COUNT)
                await self._visit(parts.name_part(index))

    async def _visit(self, part: str) -> None:
        home = homes_ranking.find_home(part, self._list_members())
        if home is None or home.instance != self._instance:
            return
        if self._store.is_unavailable or self._catalog.configuration is None:
            return
        for table, read_time in _TABLES:
            try:
                await self._sweep(table, part, read_time)
            except store_module.StoreError:
                # The next round comes by again.
                return

    async def _sweep(
        self,
        table: str,
        part: str,
        read_time: typing.Callable[[bytes], float | None],
    ) -> None:
        page = await self._store.read(table, part, PATIENCE)
        limit = self._timers.wall() - self._find_age()
        old = [
            row
            for row in page.rows
            if (time := read_time(row.value)) is not None and time < limit
        ][:MOST_REMOVED]
        if not old:
            return
        transaction = messages.Transaction(
            tuple((row.where, row.version) for row in old),
            removals=tuple(row.where for row in old),
        )
        outcome = await self._store.transact(transaction, PATIENCE)
        if isinstance(outcome, messages.Committed):
            self.removed += len(old)

    def _find_age(self) -> float:
        routes = self._catalog.configuration.routes
        longest = max((route.retention for route in routes), default=0.0)
        return KEPT_TIMES * longest + KEPT_MARGIN


def read_budget_time(value: bytes) -> float | None:
    """Return when a budget's row was written; ``None`` if unreadable."""
    try:
        return _BUDGETS.decode(value).time
    except msgspec.DecodeError:
        return None


_TABLES = (
    (histories.TABLE, transcripts.read_time),
    (ledger.TABLE, read_budget_time),
    (limit_accounts.TABLE, limit_accounts.read_time),
)
