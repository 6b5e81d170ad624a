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
from vanillayoke.gateway import retention as retention_module
from vanillayoke.gateway import store as store_module
from vanillayoke.programs import grants
from vanillayoke.programs import transcripts

# The time in which all partitions are swept once.
SWEEP_INTERVAL_SECONDS = 600.0
MAX_REMOVED_ROWS = 50
STORE_TIMEOUT_SECONDS = 2.0

_BUDGET_DECODER: decoding.Decoder[grants.BudgetRow] = (
    decoding.Decoder.for_msgpack(grants.BudgetRow)
)


class Sweeper:
    """Sweeps the partitions that this instance coordinates.

    ``on_removed`` is called with a table and the number of rows removed.
    """

    def __init__(
        self,
        instance: str,
        store: store_module.StoreClient,
        catalog: catalog_module.Catalog,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
        limit_window: float,
        on_removed: typing.Callable[[str, int], None],
    ) -> None:
        self._on_removed = on_removed
        self._limit_window = limit_window
        self._instance = instance
        self._store = store
        self._catalog = catalog
        self._list_eligible = list_eligible
        self._timers = timer_service

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
        retention = retention_module.Retention.from_configuration(
            self._catalog.configuration
        )
        lifetime = retention.lifetime
        for table, read_expiry, min_lifetime in (
            (histories.TABLE, transcripts.decode_expiry, 0.0),
            (ledger.TABLE, read_budget_expiry, 0.0),
            # Counts are needed for as long as they are in the window.
            (
                limit_accounts.TABLE,
                limit_accounts.read_expiry,
                self._limit_window + retention_module.SAFETY_MARGIN_SECONDS,
            ),
        ):
            try:
                await self._sweep_table(
                    table, partition, read_expiry, max(lifetime, min_lifetime)
                )
            except store_module.StoreError:
                # The next sweep tries again.
                return

    async def _sweep_table(
        self,
        table: str,
        partition: str,
        read_expiry: typing.Callable[[bytes, float], float | None],
        lifetime: float,
    ) -> None:
        page = await self._store.read(table, partition, STORE_TIMEOUT_SECONDS)
        now = self._timers.wall()
        expired = [
            row
            for row in page.rows
            if (expiry := read_expiry(row.value, lifetime)) is not None
            and expiry < now
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
            self._on_removed(table, len(expired))


def read_budget_expiry(value: bytes, lifetime: float) -> float | None:
    """Return when a row may be removed; ``None`` if it can't be decoded."""
    try:
        return _BUDGET_DECODER.decode(value).time + lifetime
    except decoding.DecodingError:
        return None
