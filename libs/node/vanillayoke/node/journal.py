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

import msgspec

from vanillayoke.cluster import leases
from vanillayoke.cluster import pacing
from vanillayoke.cluster import rows
from vanillayoke.cluster import takeover
from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.node import alarm
from vanillayoke.node import backoff
from vanillayoke.node import buffer
from vanillayoke.node import extents
from vanillayoke.node import leaserow
from vanillayoke.node import segments
from vanillayoke.node import waiters
from vanillayoke.platform import ports
from vanillayoke.programs import records
from vanillayoke.settings import process

INLINE_LIMIT = 64 * 1024
SEGMENT_LIMIT = 4 * 1024 * 1024
FLUSH_PATIENCE = 2.0
_SPILL_SHARE = 0.5
_RENEWALS_PER_LEASE = 3
_INCARNATION_BITS = 32

LostCallback = typing.Callable[[], None]
RenewedCallback = typing.Callable[[float], None]


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
        self.extents = extents.JournalExtents()
        self._row = row
        self._timers = service
        self._logger = logger
        self._renewal_interval = lease.time_to_live / _RENEWALS_PER_LEASE
        self._inline_limit = inline_limit
        self._lease_row = leaserow.LeaseRow(
            row.incarnation, table, service, source, lease.time_to_live
        )
        self._segments = segments.SegmentStore(
            row.incarnation, objects, service, source, self.pacer
        )
        self._alarm = alarm.Alarm(service)
        self._buffer = buffer.RecordBuffer()
        self._covered_waiters = waiters.PositionWaiters()
        self._sealed_waiters = waiters.PositionWaiters()
        self._row_waiters = waiters.PositionWaiters()
        self._row_changes = 0
        self._lost_callbacks: list[LostCallback] = []
        self._renewed_callbacks: list[RenewedCallback] = []
        self._confirmed: rows.InstanceRow | None = None
        self._sealed = 0
        self._covered = 0
        self._last_sent = float('-inf')
        self._backoff = backoff.Backoff(source)
        self._runner: asyncio.Task | None = None
        self._spill: asyncio.Task | None = None

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
        return self._row.incarnation

    @property
    def row(self) -> rows.InstanceRow:
        """Return the instance's row as it is to be written next."""
        return self._row

    @property
    def pending_records(self) -> int:
        """Return how many records are not durable yet."""
        return self._buffer.appended - self._covered

    @property
    def pending_bytes(self) -> int:
        """Return the bytes of records that are in no segment."""
        return self._buffer.size

    @property
    def is_failing(self) -> bool:
        """Tell whether the last attempt to write the row failed."""
        return self._backoff.is_failing

    def subscribe_lost(self, callback: LostCallback) -> None:
        """Call back once if another instance has fenced this one."""
        self._lost_callbacks.append(callback)

    def subscribe_renewed(self, callback: RenewedCallback) -> None:
        """Call back with each renewal's time of sending."""
        self._renewed_callbacks.append(callback)

    async def start(self) -> None | failures.Failure:
        """Take out the lease; a failure says why there is none yet.

        The journal goes on trying after a failure.
        """
        self._runner = asyncio.ensure_future(self._run())
        self._runner.add_done_callback(self._note_end)
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
        tasks = [task for task in (self._runner, self._spill) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.lease.lose()
        self._fail_waiters(
            failures.Failure(failures.Kind.DRAINING, 'the journal is closed')
        )

    def append(self, added: typing.Sequence[records.AnyRecord]) -> None:
        """Take records in, in order, to be made durable soon."""
        if self.lease.is_lost:
            return
        self._buffer.append(added)
        self._alarm.ring()

    async def flush(self) -> None | failures.Failure:
        """Wait until all that was appended before the call is durable.

        ``STORE_UNAVAILABLE``: not yet, the journal goes on trying.
        ``LEASE_LOST``: another instance has fenced this one.
        """
        if self.lease.is_lost:
            return leaserow.make_lost()
        position = self._buffer.appended
        if position <= self._covered:
            return None
        return await self._wait_patiently(self._covered_waiters.add(position))

    async def store(
        self, added: typing.Sequence[records.AnyRecord]
    ) -> takeover.Extent | failures.Failure:
        """Append records and make them durable as segment objects.

        Return the segments that hold them, perhaps among others. This waits
        however long the store is down; the failure is ``LEASE_LOST``.
        """
        begin = self._buffer.appended
        self.append(added)
        end = self._buffer.appended
        while self._sealed < end:
            if self.lease.is_lost:
                return leaserow.make_lost()
            self._alarm.ring()
            await self._sealed_waiters.add(end)
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
        self.amend_row(**changes)
        self._row_changes += 1
        future = self._row_waiters.add(self._row_changes)
        self._alarm.ring()
        return await self._wait_patiently(future)

    def amend_row(self, **changes: typing.Any) -> None:
        """Change fields of the row; the next renewal writes them."""
        self._row = msgspec.structs.replace(self._row, **changes)

    async def delete_segments(self, base: int) -> None:
        """Delete the segments below the base that the row has by now."""
        await self._segments.delete(self.extents.drop_before(base))

    async def _wait_patiently(
        self, future: asyncio.Future
    ) -> None | failures.Failure:
        patience = FLUSH_PATIENCE + 2 * self.pacer.interval
        subscription = self._timers.call_after(
            patience, lambda: waiters.resolve(future, _make_unavailable())
        )
        try:
            return await future
        finally:
            subscription.cancel()

    async def _run(self) -> None:
        while not self.lease.is_lost:
            now = self._timers.now()
            if self._is_row_due(now):
                await self._write_row()
                continue
            self._start_spill(now)
            await self._alarm.wait_until(self._find_next_time())

    def _note_end(self, task: asyncio.Task) -> None:
        # An unforeseen exception would leave a process that believes in a
        # lease that nobody renews; giving the lease up stops its work.
        if not task.cancelled() and task.exception() is not None:
            self._lose()

    def _count_committable(self) -> int:
        """Return the position up to which a row write could commit."""
        if self._buffer.size <= self._inline_limit:
            return self._buffer.appended
        return max(self._buffer.stored, self._covered)

    def _is_row_due(self, now: float) -> bool:
        if now < self._backoff.retry_at:
            return False
        if self._row_waiters.highest or now >= self._renewal_at:
            return True
        if self._has_new_segment():
            return True
        return self._has_new_tail() and now >= self.pacer.ready_at

    def _has_new_segment(self) -> bool:
        """Tell whether somebody waits for the row to count a segment."""
        stored = self._buffer.stored
        sealed = min(stored, self._sealed_waiters.highest)
        return stored > self._covered or sealed > self._sealed

    def _has_new_tail(self) -> bool:
        """Tell whether the tail row would make anything durable."""
        return self._count_committable() > self._covered

    @property
    def _renewal_at(self) -> float:
        return self._last_sent + self._renewal_interval

    def _find_next_time(self) -> float:
        moment = self._renewal_at
        if self._has_new_tail() or self._has_spill():
            moment = min(moment, self.pacer.ready_at)
        return max(moment, self._backoff.retry_at)

    async def _write_row(self) -> None:
        attempt = self._make_attempt()
        self._last_sent = attempt.sent_at
        self.pacer.spend(attempt.sent_at)
        tail = self._encode_tail(attempt)
        result = await self._lease_row.write(attempt, tail)
        match result:
            case leaserow.Attempt():
                self._confirm(result)
            case failures.Failure(kind=failures.Kind.LEASE_LOST):
                self._lose()
            case _:
                self._note_failure()

    def _make_attempt(self) -> leaserow.Attempt:
        covered = self._count_committable()
        stored = self._buffer.stored
        self.amend_row(tail=covered > stored)
        return leaserow.Attempt(
            sent_at=self._timers.now(),
            row=self._row,
            changes=self._row_changes,
            stored=stored,
            covered=covered,
        )

    def _encode_tail(self, attempt: leaserow.Attempt) -> bytes | None:
        """Return the tail row's value, ``None`` where it can stay."""
        if not attempt.row.tail:
            return None
        before = self._confirmed
        is_same = before is not None and before.head == attempt.row.head
        if is_same and attempt.covered == self._covered:
            return None
        count = attempt.covered - attempt.stored
        return self._buffer.encode_tail(attempt.row.head, count)

    def _confirm(self, attempt: leaserow.Attempt) -> None:
        self._log_confirmed(attempt)
        self._confirmed = attempt.row
        self._sealed = attempt.stored
        self._covered = attempt.covered
        self._backoff.note_success()
        self.lease.renew(attempt.sent_at)
        for callback in self._renewed_callbacks:
            callback(attempt.sent_at)
        self._sealed_waiters.reach(self._sealed)
        self._covered_waiters.reach(self._covered)
        self._row_waiters.reach(attempt.changes)
        if attempt.row.state is rows.InstanceState.GONE:
            # What would be committed behind this would be read by nobody.
            self.lease.lose()
            self._fail_waiters(leaserow.make_lost())

    def _log_confirmed(self, attempt: leaserow.Attempt) -> None:
        if self._confirmed is None:
            self._logger.write(
                events.LEASE_GAINED, incarnation=self.incarnation
            )
        seconds = round(self._timers.now() - attempt.sent_at, 4)
        count = attempt.covered - self._covered
        if count > 0:
            self._logger.write(
                events.COMMITTED, records=count, seconds=seconds
            )
        else:
            self._logger.write(events.LEASE_RENEWED, seconds=seconds)

    def _note_failure(self) -> None:
        failed_for = self._backoff.note_failure(self._timers.now())
        if failed_for >= FLUSH_PATIENCE:
            self._fail_waiters(_make_unavailable())

    def _has_spill(self) -> bool:
        """Tell whether records should move into a segment object."""
        if self._spill is not None or self._buffer.size == 0:
            return False
        if self._sealed_waiters.highest > self._buffer.stored:
            return True
        return self._buffer.size > self._inline_limit * _SPILL_SHARE

    def _start_spill(self, now: float) -> None:
        if not self._has_spill() or now < self.pacer.ready_at:
            return
        self._spill = asyncio.ensure_future(self._write_segment())
        self._spill.add_done_callback(self._end_spill)

    async def _write_segment(self) -> None:
        number = self._row.head + 1
        taken = self._buffer.take(SEGMENT_LIMIT)
        await self._segments.put(number, taken)
        self.extents.add(number, self._buffer.stored, taken)
        self._buffer.drop(len(taken))
        self.amend_row(head=number)

    def _end_spill(self, task: asyncio.Task) -> None:
        self._spill = None
        self._note_end(task)
        self._alarm.ring()

    def give_up(self) -> None:
        """Give the lease up: a peer says that another instance took it."""
        self._lose()

    def _lose(self) -> None:
        if self.lease.is_lost:
            return
        self.lease.lose()
        self._fail_waiters(leaserow.make_lost())
        for callback in self._lost_callbacks:
            callback()

    def _fail_waiters(self, failure: failures.Failure) -> None:
        self._covered_waiters.fail(failure)
        self._sealed_waiters.fail(failure)
        self._row_waiters.fail(failure)


def _make_unavailable() -> failures.Failure:
    return failures.Failure(
        failures.Kind.STORE_UNAVAILABLE,
        "the journal could not reach the platform's store in time",
        retry_after=1.0,
    )
