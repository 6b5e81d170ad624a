"""The tables that an instance follows, and its own row in one of them."""

import typing

import msgspec

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import feeds
from vanillayoke.gateway import members as members_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import store as store_module

# The store is asked to hold a call for this share of the time in which an
# instance has to have found its way again after a connection went silent.
WAIT_SHARE = 0.8
PUBLISH_TIMEOUT = 1.0
PUBLISH_PAUSE = 0.1


class TableSync:
    """Keeps the catalogue and the members up with the store."""

    def __init__(
        self,
        store: store_module.StoreClient,
        dialect: dialect_module.Dialect,
        catalog: catalog_module.Catalog,
        members: members_module.Members,
        timer_service: timers.TimerService,
        log: logs.Logger,
        bounds: messages.Bounds,
        on_restart: typing.Callable[[messages.Target], None],
        on_confirmed: typing.Callable[[], None],
        on_configuration: typing.Callable[[], None],
    ) -> None:
        self._on_configuration = on_configuration
        self._on_restart = on_restart
        self._store = store
        self._dialect = dialect
        self._catalog = catalog
        self._members = members
        self._timers = timer_service
        self._log = log
        wait = bounds.recovery_timeout * WAIT_SHARE

        def follow(table, on_reading, on_change):
            return feeds.TableFeed(store, table, on_reading, on_change, wait)

        self._configuration = feeds.TableFeed(
            store,
            dialect.configuration_table,
            self.apply_configuration,
            self._change_configuration,
            min(wait, bounds.revocation_timeout * WAIT_SHARE),
            on_confirmed,
        )
        self._targets = follow(
            dialect.target_table, self._read_targets, self._change_target
        )
        self._instances = follow(
            members_module.TABLE, self._read_instances, self._change_instance
        )

    def start(self, spawn: typing.Callable[[typing.Coroutine], None]) -> None:
        """Begin to follow."""
        spawn(self._store.watch_availability())
        for one in (self._configuration, self._targets, self._instances):
            spawn(one.run())

    async def wait_until_loaded(self) -> None:
        """Return when routes and targets are known."""
        while self._catalog.configuration is None:
            await self._timers.sleep(0.01)
        await self._targets.loaded.wait()
        await self._instances.loaded.wait()

    async def publish_instance(self, row: messages.InstanceRow) -> None:
        """Make an instance known; tries until it has worked."""
        where = messages.RowKey(members_module.TABLE, '', row.instance)
        value = msgspec.json.encode(row)
        transaction = messages.Transaction((), ((where, value),))
        while True:
            try:
                await self._store.transact(transaction, PUBLISH_TIMEOUT)
                return
            except store_module.StoreError:
                await self._store.wait_before_retry(PUBLISH_PAUSE)

    # Configuration

    def apply_configuration(self, page: messages.Page) -> None:
        """Take a reading of the configuration's table."""
        for row in page.rows:
            self._change_configuration(row)

    def _change_configuration(self, row: messages.Row) -> None:
        if row.where.key != self._dialect.configuration_key:
            return
        if row.value is None:
            return
        try:
            found = self._dialect.decode_configuration(row.value)
        except dialect_module.BadRowError as error:
            self._reject(row, error)
            return
        if self._catalog.put_configuration(found):
            self._log.write(
                log_events.ROUTES_CHANGED,
                version=found.version,
                routes=len(found.routes),
            )
            self._on_configuration()

    # Targets

    def _read_targets(self, page: messages.Page) -> None:
        found = []
        for row in page.rows:
            target = self._decode_target(row)
            if target is None:
                self._drop_spoiled(row)
                continue
            self._note_restart(target)
            found.append((target, row.version))
        self._catalog.replace_targets(found, page.version, self._find_grace())

    def _change_target(self, row: messages.Row) -> None:
        if row.value is None:
            state = 'gone'
            service = None
            changed = self._catalog.mark_target_missing(
                row.where.key, row.version, self._find_grace()
            )
        else:
            target = self._decode_target(row)
            if target is None:
                self._drop_spoiled(row)
                return
            state = 'leaving' if target.is_leaving else 'ready'
            service = target.service
            self._note_restart(target)
            changed = self._catalog.put_target(target, row.version)
        if changed:
            self._log.write(
                log_events.SERVER_CHANGED,
                target=row.where.key,
                service=service,
                state=state,
                version=row.version,
            )

    def _decode_target(self, row: messages.Row) -> messages.Target | None:
        try:
            return self._dialect.decode_target(row.where.key, row.value)
        except dialect_module.BadRowError as error:
            self._reject(row, error)
            return None

    def _drop_spoiled(self, row: messages.Row) -> None:
        """Stop using the server in whose place another writer's row is.

        It has not lapsed, so it is not waited for: it names nobody until the
        server writes its own again.
        """
        self._catalog.mark_target_missing(row.where.key, row.version, None)

    def _note_restart(self, target: messages.Target) -> None:
        """Tell of a server that has started again under its name."""
        if self._catalog.is_restart(target):
            self._on_restart(target)

    def _find_grace(self) -> float | None:
        """Return until when a missing row may come back; ``None`` if not.

        Rows lapse while the store takes no heartbeats, as a whole or in
        the part that they lie in, and are written again soon after.
        """
        availability = self._store.availability
        troubled = max(
            availability.recovered_at, availability.correlated_failure_at
        )
        until = troubled + catalog_module.LAPSE_GRACE_SECONDS
        return until if self._timers.now() < until else None

    # Instances

    def _read_instances(self, page: messages.Page) -> None:
        for row in page.rows:
            self._change_instance(row)

    def _change_instance(self, row: messages.Row) -> None:
        self._members.put_row(row.where.key, row.value)

    def _reject(self, row: messages.Row, error: Exception) -> None:
        self._log.write(
            log_events.ROW_REJECTED, table=row.where.table, error=str(error)
        )
