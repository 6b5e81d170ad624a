"""Deleting the journals of dead incarnations that no shard needs."""

import random
import typing

from vanillayoke.cluster import rows
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.platform import ports

Spend = typing.Callable[[int], None]


class Cleaner:
    """Deletes what a dead incarnation leaves in the store."""

    def __init__(
        self,
        table: ports.TableService,
        objects: ports.ObjectStore,
        source: random.Random,
        spend: Spend,
    ) -> None:
        self._table = table
        self._objects = objects
        self._random = source
        self._spend = spend

    async def delete_journal(
        self, incarnation: str
    ) -> None | failures.Failure:
        """Delete an incarnation's segments, and then its rows.

        The rows go last, so that a cleaner that dies half-way leaves the
        incarnation to be found by the next one.
        """
        prefix = rows.name_segment_prefix(incarnation)
        keys = await self._objects.list_keys(prefix)
        if failures.is_failure(keys):
            return keys
        for key in keys:
            self._spend(1)
            failure = await self._objects.delete(key)
            if failure is not None:
                return failure
        return await self._delete_rows(incarnation)

    async def _delete_rows(self, incarnation: str) -> None | failures.Failure:
        named = (
            rows.name_tail_row(incarnation),
            rows.name_notice_row(incarnation),
            rows.name_instance_row(incarnation),
        )
        self._spend(1)
        result = await self._table.transact(
            ids.make_id('clean', self._random),
            [ports.Delete(key, None) for key in named],
        )
        return result if failures.is_failure(result) else None
