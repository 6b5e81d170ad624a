"""Incremental removal of expired rows from the store.

Each partition of the tables is swept by its coordinator. If two instances
both regard themselves as such, the conditions of the transactions prevent
double removal.
"""

import typing

import msgspec

from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import histories
from vanillayoke.gateway import ledger
from vanillayoke.gateway import limit_accounts
from vanillayoke.gateway import messages
from vanillayoke.gateway import partitions
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import store as store_module
from vanillayoke.programs import grants
from vanillayoke.programs import transcripts

# The time in which all partitions are swept once.
SWEEP_INTERVAL_SECONDS = 600.0
# Rows are kept longer than the retention of the routes, since clocks differ
# and a program may be about to continue.
KEPT_TIMES = 2.0
KEPT_MARGIN = 60.0
MOST_REMOVED = 50
PATIENCE = 2.0

_BUDGETS = msgspec.msgpack.Decoder(grants.BudgetRow)


class Sweeper:
    """Sweeps the partitions that this instance coordinates."""

    def __init__(
        self,
        instance: str,
        store: store_module.StoreClient,
        catalog: catalog_module.Catalog,
        list_members: rendezvous.ListPeers,
        timer_service: timers.TimerService,
    ) -> None:
        self._instance = instance
        self._store = store
        self._catalog = catalog
        self._list_members = list_members
        self._timers = timer_service
        self.removed_count = 0

    async def run(self) -> None:
        """Sweep one partition after another until cancelled."""
        while True:
            for index in range(partitions.PARTITION_COUNT):
                await self._timers.sleep(
                    SWEEP_INTERVAL_SECONDS / partitions.PARTITION_COUNT
                )
                await self._visit(partitions.name_partition(index))

    async def _visit(self, part: str) -> None:
        home = rendezvous.find_coordinator(part, self._list_members())
        if home is None or home.instance != self._instance:
            return
        if self._store.is_unavailable or self._catalog.configuration is None:
            return
        for table, read_time in _TABLES:
            try:
                await self._sweep(table, part, read_time)
            except store_module.StoreError:
                # The next sweep tries again.
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
            self.removed_count += len(old)

    def _find_age(self) -> float:
        routes = self._catalog.configuration.routes
        longest = max((route.retention for route in routes), default=0.0)
        return KEPT_TIMES * longest + KEPT_MARGIN


def read_budget_time(value: bytes) -> float | None:
    """Return when a row was written; ``None`` if it can't be decoded."""
    try:
        return _BUDGETS.decode(value).time
    except msgspec.DecodeError:
        return None


_TABLES = (
    (histories.TABLE, transcripts.decode_time),
    (ledger.TABLE, read_budget_time),
    (limit_accounts.TABLE, limit_accounts.read_time),
)
