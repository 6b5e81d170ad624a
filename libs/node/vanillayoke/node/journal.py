"""The journal of this instance: group commit and lease renewal in one.

A commit is a conditional write of the instance's row, together with the row
that holds the newest records; records that do not fit there go into segment
objects first. An instance that another one fenced cannot write its row any
more: so none of its callers is told that a record is durable which the
taker's replay has missed.
"""

import asyncio
import random
import typing

from vanillayoke.cluster import leases
from vanillayoke.cluster import pacing
from vanillayoke.cluster import rows
from vanillayoke.cluster import takeover
from vanillayoke.core import failures
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.node import commitloop
from vanillayoke.node import extents
from vanillayoke.node import leaserow
from vanillayoke.node import tail
from vanillayoke.node import waiters
from vanillayoke.platform import ports
from vanillayoke.programs import records
from vanillayoke.settings import process

# Most bytes that the tail row may hold.
INLINE_LIMIT = 256 * 1024
_INCARNATION_BITS = 32


def make_incarnation(name: str, source: random.Random) -> str:
    """Make an incarnation id: a restarted process is another holder."""
    return f'{name}-{source.getrandbits(_INCARNATION_BITS):08x}'


class Journal:
    """Makes appended records durable and keeps the lease meanwhile."""

    def __init__(
        self,
        *,
        row: rows.InstanceRow,
        service: timers.TimerService,
        table: ports.TableService,
        objects: ports.ObjectStore,
        source: random.Random,
        lease: process.LeaseSettings,
        store: process.StoreSettings,
        logger: logs.Logger,
        inline_limit: int = INLINE_LIMIT,
    ) -> None:
        self.lease = leases.LeaseHolder.from_config(lease)
        self.pacer = pacing.WritePacer(
            store.writes_per_second, store.shortest_commit_interval
        )
        self._timers = service
        self._tail = tail.JournalTail(
            row.incarnation, objects, service, source, self.pacer, inline_limit
        )
        self._loop = commitloop.CommitLoop(
            row,
            leaserow.LeaseRow(
                row.incarnation, table, service, source, lease.time_to_live
            ),
            self._tail,
            self.lease,
            self.pacer,
            service,
            source,
            logger,
            lease.time_to_live,
        )

    @classmethod
    def from_config(
        cls,
        settings: process.ProcessSettings,
        platform: ports.Platform,
        service: timers.TimerService,
        source: random.Random,
        logger: logs.Logger | None = None,
        inline_limit: int = INLINE_LIMIT,
    ) -> 'Journal':
        """Build the journal of a new incarnation."""
        instance = settings.instance
        row = rows.InstanceRow(
            name=instance.name,
            incarnation=make_incarnation(instance.name, source),
            zone=instance.zone,
            region=instance.region,
            entry_address=instance.entry_address,
            peer_address=instance.peer_address,
            started=service.wall(),
        )
        return cls(
            row=row,
            service=service,
            table=platform.table,
            objects=platform.objects,
            source=source,
            lease=settings.lease,
            store=settings.store,
            logger=logger or logs.Logger.from_config(instance.name, service),
            inline_limit=inline_limit,
        )

    @property
    def incarnation(self) -> str:
        """Return the id under which the table knows this process."""
        return self._loop.row.incarnation

    @property
    def extents(self) -> extents.JournalExtents:
        """Return what the journal's segments hold."""
        return self._tail.extents

    @property
    def row(self) -> rows.InstanceRow:
        """Return the instance's row as it is to be written next."""
        return self._loop.row

    @property
    def pending_records(self) -> int:
        """Return how many records are not durable yet."""
        return self._tail.appended - self._loop.covered

    @property
    def pending_bytes(self) -> int:
        """Return the bytes of records that are in no segment."""
        return self._tail.size

    @property
    def is_failing(self) -> bool:
        """Tell whether the last attempt to write the row failed."""
        return self._loop.is_failing

    def subscribe_lost(self, callback: commitloop.LostCallback) -> None:
        """Call back once if another instance has fenced this one."""
        self._loop.subscribe_lost(callback)

    def subscribe_renewed(self, callback: commitloop.RenewedCallback) -> None:
        """Call back with each renewal's time of sending."""
        self._loop.subscribe_renewed(callback)

    async def start(self) -> None | failures.Failure:
        """Take out the lease; a failure says why there is none yet.

        The journal goes on trying after a failure.
        """
        self._loop.start()
        return await self.change_row()

    async def close(self) -> None | failures.Failure:
        """Make everything durable and give the lease back.

        The journal is final from then on: its heirs may have read it.
        """
        failure = await self.flush()
        if failure is None:
            failure = await self.change_row(state=rows.InstanceState.GONE)
        await self.stop()
        return failure

    async def stop(self) -> None:
        """Stop writing; what is not durable by now is not made so."""
        await self._loop.stop(
            failures.Failure(failures.Kind.DRAINING, 'the journal is closed')
        )

    def append(self, added: typing.Sequence[records.AnyRecord]) -> None:
        """Take records in, in order, to be made durable soon."""
        if self.lease.is_lost:
            return
        self._tail.append(added)
        self._loop.ring()

    async def flush(self) -> None | failures.Failure:
        """Wait until all that was appended before the call is durable.

        ``STORE_UNAVAILABLE``: not yet, the journal goes on trying.
        ``LEASE_LOST``: another instance has fenced this one.
        """
        if self.lease.is_lost:
            return leaserow.make_lost()
        position = self._tail.appended
        if position <= self._loop.covered:
            return None
        return await self._wait_patiently(
            self._loop.covered_waiters.add(position)
        )

    async def store(
        self, added: typing.Sequence[records.AnyRecord]
    ) -> takeover.Extent | failures.Failure:
        """Append records and make them durable as segment objects.

        Return the segments that hold them, perhaps among others. This waits
        however long the store is down; the failure is ``LEASE_LOST``.
        """
        begin = self._tail.appended
        self.append(added)
        end = self._tail.appended
        while self._loop.sealed < end:
            if self.lease.is_lost:
                return leaserow.make_lost()
            self._loop.ring()
            await self._loop.sealed_waiters.add(end)
        return self.extents.find(begin, end)

    async def change_row(
        self, **changes: typing.Any
    ) -> None | failures.Failure:
        """Change fields of the instance's row and wait for the write.

        After ``STORE_UNAVAILABLE`` the change is still written when the
        store is back.
        """
        if self.lease.is_lost:
            return leaserow.make_lost()
        return await self._wait_patiently(self._loop.change_row(changes))

    def amend_row(self, **changes: typing.Any) -> None:
        """Change fields of the row; the next renewal writes them."""
        self._loop.amend_row(**changes)

    async def delete_segments(self, base: int) -> None:
        """Delete the segments below the base that the row has by now."""
        await self._tail.delete_segments(base)

    async def _wait_patiently(
        self, future: asyncio.Future
    ) -> None | failures.Failure:
        patience = commitloop.FLUSH_PATIENCE + 2 * self.pacer.interval
        return await waiters.wait_patiently(
            self._timers, future, patience, commitloop.make_unavailable()
        )

    def give_up(self) -> None:
        """Give the lease up: a peer says that another instance took it."""
        self._loop.lose('a peer has seen the fence')
