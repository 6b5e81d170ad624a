"""Short news in the table: who was fenced, and who was handed what."""

import random
import typing

from vanillayoke.cluster import rows
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.platform import ports

_PAGE = 1000


class Notices:
    """Reads the other instances' news and writes this one's."""

    def __init__(
        self,
        incarnation: str,
        table: ports.TableService,
        source: random.Random,
        spend: typing.Callable[[int], None],
    ) -> None:
        self._me = incarnation
        self._table = table
        self._random = source
        self._spend = spend
        self._seen: dict[str, int] = {}

    async def read_new(self) -> list[rows.NoticeRow] | failures.Failure:
        """Return the news that have changed since they were last read."""
        page = await self._table.scan(rows.NOTICE_PREFIX, '', _PAGE)
        if failures.is_failure(page):
            return page
        fresh = [row for row in page if self._seen.get(row.key) != row.version]
        self._seen = {row.key: row.version for row in page}
        return [rows.decode_row(row.value, rows.NoticeRow) for row in fresh]

    async def announce_handed(
        self, handed: dict[str, tuple[ids.Shard, ...]]
    ) -> None:
        """Tell new owners what was handed to them.

        Where the write fails they find out at their next scan.
        """
        notice = rows.NoticeRow(self._me, handed=handed)
        self._spend(1)
        await self._table.transact(
            ids.make_id('notice', self._random),
            [
                ports.Put(
                    rows.name_notice_row(self._me),
                    rows.encode_row(notice),
                    None,
                )
            ],
        )
