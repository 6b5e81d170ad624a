"""Keeps the catalog and the membership in sync with the store's tables."""

import typing

import msgspec

from vanillayoke.core import decoding
from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import supervision
from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import confirmation
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import feeds
from vanillayoke.gateway import members as members_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import store as store_module
from vanillayoke.scheduling import software_versions

# How long the store may hold a call for changes, as a ratio of the time within
# which an instance must recover from an unresponsive connection.
WAIT_RATIO = 0.8
# The same for the configuration, as a ratio of the time for which keys count
# as confirmed: from when one call was sent until the next one is answered.
CONFIRMATION_WAIT_RATIO = WAIT_RATIO / 2
# The share of the store's reads that confirmations may take.
CONFIRMATION_READ_RATIO = 0.25
READS_PER_CONFIRMATION = 2
PUBLISH_TIMEOUT_SECONDS = 1.0
PUBLISH_RETRY_PAUSE_SECONDS = 0.1


class TableSync:
    """Applies the rows of the configuration, target and instance tables."""

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
        on_confirmed: typing.Callable[[float], None],
        on_configuration: typing.Callable[[], None],
        versions: software_versions.SoftwareVersions,
        on_rejected: typing.Callable[[str, decoding.Reason], None],
        supervisor: supervision.Supervisor,
    ) -> None:
        self._on_rejected = on_rejected
        self._supervisor = supervisor
        self._sources = {
            dialect.configuration_table: 'configuration',
            dialect.target_table: 'targets',
            members_module.TABLE: 'instances',
        }
        self._versions = versions
        self._on_configuration = on_configuration
        self._on_restart = on_restart
        self._store = store
        self._dialect = dialect
        self._catalog = catalog
        self._members = members
        self._timers = timer_service
        self._log = log
        wait = bounds.recovery_timeout * WAIT_RATIO

        self._configuration = feeds.TableFeed(
            store,
            dialect.configuration_table,
            self.apply_configuration,
            self._change_configuration,
            self._reject,
            min(wait, bounds.revocation_timeout * CONFIRMATION_WAIT_RATIO),
            timer_service,
            on_confirmed,
        )
        self._targets = feeds.TableFeed(
            store,
            dialect.target_table,
            self._read_targets,
            self._change_target,
            self._reject,
            wait,
            timer_service,
            versions.record_news,
        )
        self._instances = feeds.TableFeed(
            store,
            members_module.TABLE,
            self._read_instances,
            self._change_instance,
            self._reject,
            wait,
            timer_service,
        )
        self._confirmation = confirmation.Confirmation(
            self._read_changes, self._compute_interval, timer_service
        )

    def start(self, spawn: typing.Callable[[typing.Coroutine], None]) -> None:
        """Start the feeds."""
        runs = {
            'store probes': self._store.watch_availability,
            'configuration feed': self._configuration.run,
            'target feed': self._targets.run,
            'instance feed': self._instances.run,
        }
        for name, run in runs.items():
            spawn(self._supervisor.run(name, run))

    async def wait_until_loaded(self) -> None:
        """Return when configuration, targets and instances have been read."""
        while self._catalog.configuration is None:
            await self._timers.sleep(0.01)
        await self._targets.loaded.wait()
        await self._instances.loaded.wait()

    async def confirm(self, timeout_seconds: float) -> bool:
        """Return whether all changes of before this call are known.

        This concerns the configuration and the targets.
        """
        return await self._confirmation.confirm(timeout_seconds)

    def _compute_interval(self) -> float:
        """Return the seconds between confirmations, if all instances do so."""
        rate = max(1.0, self._store.reads_per_second * CONFIRMATION_READ_RATIO)
        count = len(self._members.list_eligible())
        return READS_PER_CONFIRMATION * count / rate

    async def _read_changes(self) -> bool:
        try:
            version = await self._configuration.read()
            await self._targets.catch_up(version)
        except store_module.StoreError:
            return False
        return True

    async def publish_instance(self, row: messages.InstanceRow) -> None:
        """Write an instance's row; retry until it succeeds."""
        key = messages.RowKey(members_module.TABLE, '', row.instance)
        value = msgspec.json.encode(row)
        transaction = messages.Transaction((), ((key, value),))
        while True:
            try:
                await self._store.transact(
                    transaction, PUBLISH_TIMEOUT_SECONDS
                )
                return
            except store_module.StoreError:
                await self._store.wait_before_retry(
                    PUBLISH_RETRY_PAUSE_SECONDS
                )

    # Configuration

    def apply_configuration(self, page: messages.Page) -> None:
        """Apply the rows of the configuration's table."""
        for row in page.rows:
            self._apply(self._change_configuration, row)

    def _change_configuration(self, row: messages.Row) -> None:
        if row.where.key != self._dialect.configuration_key:
            return
        if row.value is None:
            return
        try:
            configuration = self._dialect.decode_configuration(row.value)
        except dialect_module.BadRowError as error:
            self._reject(row, error)
            return
        if self._catalog.put_configuration(configuration):
            self._log.write(
                log_events.ROUTES_CHANGED,
                version=configuration.version,
                routes=len(configuration.routes),
            )
            self._record_routes(configuration)
            self._on_configuration()

    def _record_routes(self, configuration: messages.Configuration) -> None:
        destinations = {
            route.name: (route.host, route.prefix, route.shares)
            for route in configuration.routes
            if route.is_resumable
        }
        self._versions.record_routes(destinations, self._timers.now())

    # Targets

    def _read_targets(self, page: messages.Page) -> None:
        self._versions.record_read(self._timers.now())
        targets = []
        for row in page.rows:
            target = self._decode_target(row)
            if target is None:
                self._drop_unreadable(row)
                continue
            self._record_use(target)
            self._report_restart(target)
            targets.append((target, row.version))
        self._catalog.replace_targets(
            targets, page.version, self._find_grace_deadline()
        )

    def _change_target(self, row: messages.Row) -> None:
        if row.value is None:
            state = 'gone'
            service = software = None
            self._record_use(self._catalog.get_target(row.where.key))
            changed = self._catalog.mark_target_missing(
                row.where.key, row.version, self._find_grace_deadline()
            )
        else:
            target = self._decode_target(row)
            if target is None:
                self._drop_unreadable(row)
                return
            state = 'leaving' if target.is_leaving else 'ready'
            service = target.service
            software = target.software_version
            self._record_use(target)
            self._report_restart(target)
            changed = self._catalog.put_target(target, row.version)
            if changed and target.is_leaving:
                self._catalog.record_draining(target, self._timers.now())
        if changed:
            self._log.write(
                log_events.SERVER_CHANGED,
                target=row.where.key,
                service=service,
                software=software,
                state=state,
                version=row.version,
            )

    def _record_use(self, target: messages.Target | None) -> None:
        now = self._timers.now()
        if target is None:
            self._versions.record_missed(now)
        else:
            self._versions.record_use(
                target.service, target.software_version, now
            )

    def _decode_target(self, row: messages.Row) -> messages.Target | None:
        try:
            return self._dialect.decode_target(row.where.key, row.value)
        except dialect_module.BadRowError as error:
            self._reject(row, error)
            return None

    def _drop_unreadable(self, row: messages.Row) -> None:
        """Drop a target whose row can't be decoded.

        Another writer has overwritten the row, so there is no grace as for an
        expired row; the target is used again once it writes its own row.
        """
        self._catalog.mark_target_missing(row.where.key, row.version, None)

    def _report_restart(self, target: messages.Target) -> None:
        """Report a target that has restarted under its name."""
        if self._catalog.is_restart(target):
            self._on_restart(target)

    def _find_grace_deadline(self) -> float | None:
        """Return the deadline of missing rows, ``None`` if they get no grace.

        Rows expire while the store, or the partition that they lie in, accepts
        no heartbeats, and are written again after its recovery.
        """
        availability = self._store.availability
        last_outage_at = max(
            availability.recovered_at, availability.correlated_failure_at
        )
        deadline = last_outage_at + catalog_module.MISSING_ROW_GRACE_SECONDS
        return deadline if self._timers.now() < deadline else None

    # Instances

    def _read_instances(self, page: messages.Page) -> None:
        for row in page.rows:
            self._apply(self._change_instance, row)

    def _change_instance(self, row: messages.Row) -> None:
        self._members.put_row(row.where.key, row.value)

    # Rejected rows

    def _apply(
        self, change: typing.Callable[[messages.Row], None], row: messages.Row
    ) -> None:
        """Apply a row; one that can't be used must not stop the others."""
        try:
            change(row)
        except Exception as error:
            self._reject(row, error)

    def _reject(self, row: messages.Row, error: Exception) -> None:
        match error:
            case dialect_module.BadRowError() | decoding.DecodingError():
                reason, text = error.reason, str(error)
            case _:
                reason = decoding.Reason.INVALID
                text = f'{type(error).__name__}: {error}'
        table = row.where.table
        self._on_rejected(self._sources[table], reason)
        self._log.write(
            log_events.ROW_REJECTED,
            table=table,
            row=row.where.key,
            reason=reason.value,
            error=text,
        )
