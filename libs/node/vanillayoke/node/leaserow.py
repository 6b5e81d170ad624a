"""The instance's own row, written on condition that nobody fenced it."""

import random
import typing

from vanillayoke.cluster import rows
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import timers
from vanillayoke.platform import ports


class Attempt(typing.NamedTuple):
    """A write of the row and what it makes durable.

    ``changes`` counts the requested changes that it holds; ``stored`` and
    ``covered`` are positions of journal records: those in segments that the
    row counts, and those in segments or the tail row.
    """

    sent_at: float
    row: rows.InstanceRow
    changes: int
    stored: int
    covered: int


class LeaseRow:
    """Writes the row and finds out what became of each write."""

    def __init__(
        self,
        incarnation: str,
        table: ports.TableService,
        service: timers.TimerService,
        source: random.Random,
        longest_creation: float,
    ) -> None:
        self._incarnation = incarnation
        self._key = rows.name_instance_row(incarnation)
        self._table = table
        self._timers = service
        self._random = source
        self._longest_creation = longest_creation
        self._version = 0
        self._attempts: dict[str, Attempt] = {}

    async def write(
        self, attempt: Attempt, tail: bytes | None
    ) -> Attempt | failures.Failure:
        """Write the row, and the tail row with it where given.

        Return the attempt that took effect, which may be an earlier one
        than this. ``STORE_UNAVAILABLE``: none did yet, as far as is known.
        ``LEASE_LOST``: none ever will.
        """
        if self._is_creation_overdue():
            return await self._read_back()
        write_id = ids.make_id('row', self._random)
        self._attempts[write_id] = attempt
        result = await self._table.transact(
            write_id, self._make_writes(attempt, tail)
        )
        match result:
            case ports.Committed(versions):
                return self._confirm(write_id, versions[self._key])
            case ports.Conflict():
                return await self._read_back()
            case failures.Failure(kind=failures.Kind.STORE_UNCERTAIN):
                return await self._read_back()
        del self._attempts[write_id]
        return result

    def _make_writes(
        self, attempt: Attempt, tail: bytes | None
    ) -> list[ports.Put]:
        value = rows.encode_row(attempt.row)
        writes = [ports.Put(self._key, value, self._version)]
        if tail is not None:
            tail_key = rows.name_tail_row(self._incarnation)
            writes.append(ports.Put(tail_key, tail, None))
        return writes

    async def _read_back(self) -> Attempt | failures.Failure:
        """Learn from the row itself which of the attempts took effect.

        The reply to a write can be lost after the write took effect; it
        shows as a doubt now or as a conflict at the next write. The row
        names the write it comes from, so neither is taken for a fence.
        """
        found = await self._table.read(self._key)
        if failures.is_failure(found):
            return found
        if found is None:
            return self._judge_absent()
        if found.write_id in self._attempts:
            return self._confirm(found.write_id, found.version)
        if found.version == self._version:
            return _make_undone()
        return make_lost()

    def _judge_absent(self) -> failures.Failure:
        if self._version > 0 or self._is_creation_overdue():
            return make_lost()
        return _make_undone()

    def _is_creation_overdue(self) -> bool:
        """Tell whether the first write has been in doubt for too long.

        It may have taken effect, and have been fenced and cleared away by
        now. The others hold this incarnation for dead then, so that it must
        not come to life by a second first write.
        """
        if self._version > 0 or not self._attempts:
            return False
        oldest = min(attempt.sent_at for attempt in self._attempts.values())
        return self._timers.now() - oldest > self._longest_creation

    def _confirm(self, write_id: str, version: int) -> Attempt:
        attempt = self._attempts[write_id]
        # Older attempts expect a version that the row has left behind.
        self._attempts.clear()
        self._version = version
        return attempt


def make_lost() -> failures.Failure:
    """Return the failure of an instance that was fenced."""
    return failures.Failure(
        failures.Kind.LEASE_LOST, 'another instance has fenced this one'
    )


def _make_undone() -> failures.Failure:
    return failures.Failure(
        failures.Kind.STORE_UNAVAILABLE, 'the row has not been written yet'
    )
