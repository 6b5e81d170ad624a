"""The loop that commits records and renews the lease."""

import asyncio
import random
import typing

import msgspec

from vanillayoke.cluster import leases
from vanillayoke.cluster import pacing
from vanillayoke.cluster import rows
from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.node import alarm
from vanillayoke.node import backoff
from vanillayoke.node import leaserow
from vanillayoke.node import tail
from vanillayoke.node import waiters

FLUSH_PATIENCE = 2.0
_RENEWALS_PER_LEASE = 3
# A write that takes longer is taken for one that fails, in seconds.
_SLOW_WRITE = 1.0

LostCallback = typing.Callable[[], None]
RenewedCallback = typing.Callable[[float], None]


class CommitLoop:
    """Writes the instance's row whenever a commit or a renewal is due.

    ``covered`` counts the records that are durable, ``sealed`` those that
    are so in segments.
    """

    def __init__(
        self,
        row: rows.InstanceRow,
        lease_row: leaserow.LeaseRow,
        records_tail: tail.JournalTail,
        lease: leases.LeaseHolder,
        pacer: pacing.WritePacer,
        service: timers.TimerService,
        source: random.Random,
        logger: logs.Logger,
        time_to_live: float,
    ) -> None:
        self.row = row
        self.lease = lease
        self.covered = 0
        self.sealed = 0
        self.covered_waiters = waiters.PositionWaiters()
        self.sealed_waiters = waiters.PositionWaiters()
        self.row_waiters = waiters.PositionWaiters()
        self._row_changes = 0
        self._lease_row = lease_row
        self._tail = records_tail
        self._pacer = pacer
        self._timers = service
        self._logger = logger
        self._renewal_interval = time_to_live / _RENEWALS_PER_LEASE
        self._alarm = alarm.Alarm(service)
        self._backoff = backoff.Backoff(source)
        self._confirmed: rows.InstanceRow | None = None
        self._last_sent = float('-inf')
        self._writing_since: float | None = None
        self._runner: asyncio.Task | None = None
        self._lost_callbacks: list[LostCallback] = []
        self._renewed_callbacks: list[RenewedCallback] = []

    @property
    def is_failing(self) -> bool:
        """Tell whether the row cannot be written, as far as is known.

        A store that gives no answer at all shows by a write that takes
        long, some seconds before that write counts as failed.
        """
        if self._backoff.is_failing:
            return True
        since = self._writing_since
        return since is not None and self._timers.now() - since > _SLOW_WRITE

    def subscribe_lost(self, callback: LostCallback) -> None:
        """Call back once if the lease is lost for good."""
        self._lost_callbacks.append(callback)

    def subscribe_renewed(self, callback: RenewedCallback) -> None:
        """Call back with each renewal's time of sending."""
        self._renewed_callbacks.append(callback)

    def start(self) -> None:
        """Begin to take out the lease and to keep it."""
        self._runner = asyncio.ensure_future(self._run())
        self._runner.add_done_callback(self._note_end)

    async def stop(self, failure: failures.Failure) -> None:
        """Stop writing; give all that wait a failure."""
        if self._runner is not None:
            self._runner.cancel()
            await asyncio.gather(self._runner, return_exceptions=True)
        await self._tail.stop()
        self.lease.lose()
        self._fail_waiters(failure)

    def ring(self) -> None:
        """Look now whether there is something to write."""
        self._alarm.ring()

    def change_row(
        self, changes: dict[str, typing.Any]
    ) -> asyncio.Future[waiters.Outcome]:
        """Change fields of the row; the future is done once it is written."""
        self.amend_row(**changes)
        self._row_changes += 1
        self._alarm.ring()
        return self.row_waiters.add(self._row_changes)

    def amend_row(self, **changes: typing.Any) -> None:
        """Change fields of the row; the next renewal writes them."""
        self.row = msgspec.structs.replace(self.row, **changes)

    async def _run(self) -> None:
        while not self.lease.is_lost:
            now = self._timers.now()
            # First, or steady commits would leave no turn for it while the
            # tail that each of them writes grows.
            self._start_spill(now)
            if self._is_row_due(now):
                await self._write_row()
            else:
                await self._alarm.wait_until(self._find_next_time())

    def _note_end(self, task: asyncio.Task) -> None:
        # An unforeseen exception would leave a process that believes in a
        # lease that nobody renews; giving the lease up stops its work.
        if not task.cancelled() and task.exception() is not None:
            self.lose(repr(task.exception()))

    def _count_committable(self) -> int:
        """Return the position up to which a row write could commit."""
        if self._tail.fits:
            return self._tail.appended
        return max(self._tail.stored, self.covered)

    def _is_row_due(self, now: float) -> bool:
        if now < self._backoff.retry_at:
            return False
        if self.row_waiters.highest or now >= self._renewal_at:
            return True
        if self._has_new_segment():
            return True
        return self._has_new_tail() and now >= self._pacer.ready_at

    def _has_new_segment(self) -> bool:
        """Tell whether somebody waits for the row to count a segment."""
        stored = self._tail.stored
        sealed = min(stored, self.sealed_waiters.highest)
        return stored > self.covered or sealed > self.sealed

    def _has_new_tail(self) -> bool:
        """Tell whether the tail row would make anything durable."""
        return self._count_committable() > self.covered

    @property
    def _renewal_at(self) -> float:
        return self._last_sent + self._renewal_interval

    def _find_next_time(self) -> float:
        moment = self._renewal_at
        if self._has_new_tail() or self._has_spill():
            moment = min(moment, self._pacer.ready_at)
        return max(moment, self._backoff.retry_at)

    async def _write_row(self) -> None:
        attempt = self._make_attempt()
        self._last_sent = attempt.sent_at
        self._pacer.spend(attempt.sent_at)
        encoded = self._encode_tail(attempt)
        self._writing_since = attempt.sent_at
        result = await self._lease_row.write(attempt, encoded)
        self._writing_since = None
        match result:
            case leaserow.Attempt():
                self._confirm(result)
            case failures.Failure(kind=failures.Kind.LEASE_LOST):
                self.lose('its row was written by another instance')
            case _:
                self._note_failure()

    def _make_attempt(self) -> leaserow.Attempt:
        covered = self._count_committable()
        stored = self._tail.stored
        self.amend_row(head=self._tail.head, tail=covered > stored)
        return leaserow.Attempt(
            sent_at=self._timers.now(),
            row=self.row,
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
        if is_same and attempt.covered == self.covered:
            return None
        count = attempt.covered - attempt.stored
        return self._tail.encode(attempt.row.head, count)

    def _confirm(self, attempt: leaserow.Attempt) -> None:
        self._log_confirmed(attempt)
        self._confirmed = attempt.row
        self.sealed = attempt.stored
        self.covered = attempt.covered
        self._backoff.note_success()
        self.lease.renew(attempt.sent_at)
        for callback in self._renewed_callbacks:
            callback(attempt.sent_at)
        self.sealed_waiters.reach(self.sealed)
        self.covered_waiters.reach(self.covered)
        self.row_waiters.reach(attempt.changes)
        if attempt.row.state is rows.InstanceState.GONE:
            # What would be committed behind this would be read by nobody.
            self.lease.lose()
            self._fail_waiters(leaserow.make_lost())

    def _log_confirmed(self, attempt: leaserow.Attempt) -> None:
        if self._confirmed is None:
            self._logger.write(
                events.LEASE_GAINED, incarnation=self.row.incarnation
            )
        seconds = round(self._timers.now() - attempt.sent_at, 4)
        count = attempt.covered - self.covered
        if count > 0:
            self._logger.write(
                events.COMMITTED, records=count, seconds=seconds
            )
        else:
            self._logger.write(events.LEASE_RENEWED, seconds=seconds)

    def _note_failure(self) -> None:
        failed_for = self._backoff.note_failure(self._timers.now())
        if failed_for >= FLUSH_PATIENCE:
            self._fail_waiters(make_unavailable())

    def _has_spill(self) -> bool:
        return self._tail.has_spill(self.sealed_waiters.highest)

    def _start_spill(self, now: float) -> None:
        if self._has_spill() and now >= self._pacer.ready_at:
            self._tail.start_spill(self._end_spill)

    def _end_spill(self, task: asyncio.Task) -> None:
        self._note_end(task)
        self._alarm.ring()

    def lose(self, reason: str) -> None:
        """Give the lease up for good."""
        if self.lease.is_lost:
            return
        self.lease.lose()
        self._logger.write(
            events.FENCED, incarnation=self.row.incarnation, reason=reason
        )
        self._fail_waiters(leaserow.make_lost())
        for callback in self._lost_callbacks:
            callback()

    def _fail_waiters(self, failure: failures.Failure) -> None:
        self.covered_waiters.fail(failure)
        self.sealed_waiters.fail(failure)
        self.row_waiters.fail(failure)


def make_unavailable() -> failures.Failure:
    """Return the failure of a write that takes too long."""
    return failures.Failure(
        failures.Kind.STORE_UNAVAILABLE,
        "the journal could not reach the platform's store in time",
        retry_after=1.0,
    )
