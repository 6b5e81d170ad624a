"""Incremental removal of expired rows from the store.

Each partition of the tables is swept by its coordinator. If two instances
both regard themselves as such, the conditions of the transactions prevent
double removal.
"""

import typing

from vanillayoke.core import decoding
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
RETENTION_FACTOR = 2.0
RETENTION_MARGIN_SECONDS = 60.0
MAX_REMOVED_ROWS = 50
STORE_TIMEOUT_SECONDS = 2.0

_BUDGET_DECODER: decoding.Decoder[grants.BudgetRow] = (
    decoding.Decoder.for_msgpack(grants.BudgetRow)
)


class Sweeper:
    """Sweeps the partitions that this instance coordinates."""

    def __init__(
        self,
        instance: str,
        store: store_module.StoreClient,
        catalog: catalog_module.Catalog,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
    ) -> None:
        self._instance = instance
        self._store = store
        self._catalog = catalog
        self._list_eligible = list_eligible
        self._timers = timer_service
        self.removed_count = 0

    async def run(self) -> None:
        """Sweep one partition after another until cancelled."""
        while True:
            for index in range(partitions.PARTITION_COUNT):
                await self._timers.sleep(
                    SWEEP_INTERVAL_SECONDS / partitions.PARTITION_COUNT
                )
                await self._sweep_partition(partitions.name_partition(index))

    async def _sweep_partition(self, partition: str) -> None:
        coordinator = rendezvous.find_coordinator(
            partition, self._list_eligible()
        )
        if coordinator is None or coordinator.instance != self._instance:
            return
        if self._store.is_unavailable or self._catalog.configuration is None:
            return
        for table, read_time in _TABLES:
            try:
                await self._sweep_table(table, partition, read_time)
            except store_module.StoreError:
                # The next sweep tries again.
                return

    async def _sweep_table(
        self,
        table: str,
        partition: str,
        read_time: typing.Callable[[bytes], float | None],
    ) -> None:
        page = await self._store.read(table, partition, STORE_TIMEOUT_SECONDS)
        cutoff = self._timers.wall() - self._get_max_age()
        expired = [
            row
            for row in page.rows
            if (time := read_time(row.value)) is not None and time < cutoff
        ][:MAX_REMOVED_ROWS]
        if not expired:
            return
        transaction = messages.Transaction(
            tuple((row.where, row.version) for row in expired),
            removals=tuple(row.where for row in expired),
        )
        outcome = await self._store.transact(
            transaction, STORE_TIMEOUT_SECONDS
        )
        if isinstance(outcome, messages.Committed):
            self.removed_count += len(expired)

    def _get_max_age(self) -> float:
        routes = self._catalog.configuration.routes
        max_retention = max((route.retention for route in routes), default=0.0)
        return RETENTION_FACTOR * max_retention + RETENTION_MARGIN_SECONDS


def read_budget_time(value: bytes) -> float | None:
    """Return when a row was written; ``None`` if it can't be decoded."""
    try:
        return _BUDGET_DECODER.decode(value).time
    except decoding.DecodingError:
        return None


_TABLES = (
    (histories.TABLE, transcripts.decode_time),
    (ledger.TABLE, read_budget_time),
    (limit_accounts.TABLE, limit_accounts.read_time),
)
