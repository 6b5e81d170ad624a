"""Deleting the journals of dead incarnations that no shard needs."""

import random

import msgspec

from vanillayoke.cluster import pacing
from vanillayoke.cluster import rows
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import timers
from vanillayoke.node import segments
from vanillayoke.platform import ports


class Cleaner:
    """Deletes what a dead incarnation leaves in the store."""

    def __init__(
        self,
        table: ports.TableService,
        objects: ports.ObjectStore,
        service: timers.TimerService,
        source: random.Random,
        pacer: pacing.WritePacer,
    ) -> None:
        self._table = table
        self._objects = objects
        self._random = source
        self._timers = service
        self._pacer = pacer

    async def delete_journal(
        self, incarnation: str
    ) -> None | failures.Failure:
        """Delete an incarnation's segments, and then its rows.

        The rows go last, so that a cleaner that dies half-way leaves the
        incarnation to be found by the next one.
        """
        failure = await self._empty(incarnation)
        if failure is not None:
            return failure
        prefix = rows.name_segment_prefix(incarnation)
        keys = await self._objects.list_keys(prefix)
        if failures.is_failure(keys):
            return keys
        for key in keys:
            await segments.wait_for_share(self._timers, self._pacer)
            failure = await self._objects.delete(key)
            if failure is not None:
                return failure
        return await self._delete_rows(incarnation)

    async def _empty(self, incarnation: str) -> None | failures.Failure:
        """Say in the row that the journal holds nothing any more.

        A handover to the dead incarnation that was on its way may still
        land and make a row name the journal, which holds nothing of that
        epoch. Its taker would look for segments that are deleted, and the
        shard would never be served again.
        """
        key = rows.name_instance_row(incarnation)
        found = await self._table.read(key)
        if found is None or failures.is_failure(found):
            return found
        row = rows.decode_row(found.value, rows.InstanceRow)
        emptied = msgspec.structs.replace(row, base=row.head + 1, tail=False)
        await segments.wait_for_share(self._timers, self._pacer)
        result = await self._table.transact(
            ids.make_id('clean', self._random),
            [ports.Put(key, rows.encode_row(emptied), found.version)],
        )
        if isinstance(result, ports.Committed):
            return None
        return failures.Failure(
            failures.Kind.CONFLICT, f'the row of {incarnation} has changed'
        )

    async def _delete_rows(self, incarnation: str) -> None | failures.Failure:
        named = (
            rows.name_tail_row(incarnation),
            rows.name_notice_row(incarnation),
            rows.name_instance_row(incarnation),
        )
        await segments.wait_for_share(self._timers, self._pacer)
        result = await self._table.transact(
            ids.make_id('clean', self._random),
            [ports.Delete(key, None) for key in named],
        )
        return result if failures.is_failure(result) else None
