"""Watching the other instances' leases and fencing those that ran out."""

import asyncio
import random
import typing

import msgspec

from vanillayoke.cluster import leases
from vanillayoke.cluster import rows
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import timers
from vanillayoke.platform import ports
from vanillayoke.settings import process

_PAGE = 1000


class KnownInstance(typing.NamedTuple):
    """An incarnation's row and the version it was read with."""

    row: rows.InstanceRow
    version: int


FinalCallback = typing.Callable[[str], None]


class Watcher:
    """What this instance knows of the other incarnations' rows.

    ``final`` ones can write no more, so that their shards are free.
    """

    def __init__(
        self,
        incarnation: str,
        table: ports.TableService,
        service: timers.TimerService,
        source: random.Random,
        settings: process.LeaseSettings,
        spend: typing.Callable[[int], None],
    ) -> None:
        self._me = incarnation
        self._table = table
        self._timers = service
        self._random = source
        self._settings = settings
        self._spend = spend
        self._evidence = leases.StoreEvidence.from_config(settings)
        self._known: dict[str, KnownInstance] = {}
        self._by_name: dict[str, set[str]] = {}
        self._absent: set[str] = set()
        self._watches: dict[str, leases.LeaseWatch] = {}
        self._callbacks: list[FinalCallback] = []

    @property
    def known(self) -> typing.Mapping[str, KnownInstance]:
        """Return the rows of all incarnations that are known."""
        return self._known

    def subscribe_final(self, callback: FinalCallback) -> None:
        """Call back with each incarnation that can write no more."""
        self._callbacks.append(callback)

    def note_renewal(self, sent_at: float) -> None:
        """Note that this instance's own renewal got through."""
        if self._evidence.note_renewal(sent_at):
            self._restart_watches()

    def is_final(self, incarnation: str) -> bool:
        """Tell whether an incarnation is known to write no more."""
        if incarnation in self._absent:
            return True
        known = self._known.get(incarnation)
        return known is not None and known.row.state.is_final

    def list_final(self) -> list[str]:
        """Return the known incarnations that can write no more."""
        return [one for one in self._known if self.is_final(one)]

    def find_live(self, name: str) -> rows.InstanceRow | None:
        """Return the row of an instance's live incarnation, if known.

        The latest one counts where an earlier one is not fenced yet.
        """
        live = [
            self._known[incarnation].row
            for incarnation in self._by_name.get(name, ())
            if self._known[incarnation].row.state is rows.InstanceState.LIVE
        ]
        return max(live, key=lambda row: row.started, default=None)

    async def scan(self) -> None | failures.Failure:
        """Read the rows of all incarnations."""
        found = await self._read_all(rows.INSTANCE_PREFIX)
        if failures.is_failure(found):
            return found
        return await self._confirm_absent(found)

    async def scan_name(self, name: str) -> None | failures.Failure:
        """Read the rows of all incarnations of an instance."""
        found = await self._read_all(rows.name_instance_row(f'{name}-'))
        return found if failures.is_failure(found) else None

    async def _read_all(self, prefix: str) -> set[str] | failures.Failure:
        found: set[str] = set()
        after = ''
        while True:
            page = await self._table.scan(prefix, after, _PAGE)
            if failures.is_failure(page):
                return page
            for row in page:
                self._take(row)
                found.add(row.key)
            if len(page) < _PAGE:
                return found
            after = page[-1].key

    async def _confirm_absent(
        self, found: typing.Container[str]
    ) -> None | failures.Failure:
        """Find out which rows are gone, one by one.

        A scan is no snapshot: it misses a row that was made behind it, and
        a live instance would be taken for a dead one.
        """
        for incarnation in list(self._known):
            if rows.name_instance_row(incarnation) not in found:
                row = await self.read(incarnation)
                if failures.is_failure(row):
                    return row
        return None

    async def read(
        self, incarnation: str
    ) -> rows.InstanceRow | None | failures.Failure:
        """Read an incarnation's row; ``None`` where there is none any more."""
        found = await self._table.read(rows.name_instance_row(incarnation))
        if failures.is_failure(found):
            return found
        if found is None:
            self._note_absent(incarnation)
            return None
        return self._take(found).row

    def mark_fenced(self, incarnation: str) -> None:
        """Believe the news that an incarnation was fenced.

        Its row is not read for it: after the loss of a zone each instance
        would read the rows of all the dead.
        """
        known = self._known.get(incarnation)
        if known is None or known.row.state.is_final:
            return
        row = msgspec.structs.replace(
            known.row, state=rows.InstanceState.FENCED
        )
        self._known[incarnation] = KnownInstance(row, known.version)
        self._announce(incarnation)

    def forget(self, incarnation: str) -> None:
        """Drop an incarnation whose row has been deleted."""
        known = self._known.pop(incarnation, None)
        if known is not None:
            self._by_name[known.row.name].discard(incarnation)
        self._watches.pop(incarnation, None)

    def _note_absent(self, incarnation: str) -> None:
        self.forget(incarnation)
        if incarnation not in self._absent:
            self._absent.add(incarnation)
            self._announce(incarnation)

    def _take(self, row: ports.Row) -> KnownInstance:
        value = rows.decode_row(row.value, rows.InstanceRow)
        before = self._known.get(value.incarnation)
        if before is not None and before.version >= row.version:
            return before
        known = KnownInstance(value, row.version)
        self._known[value.incarnation] = known
        self._by_name.setdefault(value.name, set()).add(value.incarnation)
        was_final = before is not None and before.row.state.is_final
        if value.state.is_final and not was_final:
            self._announce(value.incarnation)
        return known

    def _announce(self, incarnation: str) -> None:
        if incarnation == self._me:
            return
        for callback in self._callbacks:
            callback(incarnation)

    def find_expiry(self, incarnation: str) -> float:
        """Return when a watched lease may run out; never, if unknown."""
        watch = self._watches.get(incarnation)
        expires_at = watch.expires_at if watch else None
        return float('inf') if expires_at is None else expires_at

    async def poll(self, incarnations: typing.Iterable[str]) -> None:
        """Read leases under watch and fence those that have run out."""
        await asyncio.gather(*map(self._poll_one, incarnations))

    async def _poll_one(self, incarnation: str) -> None:
        found = await self._table.read(rows.name_instance_row(incarnation))
        now = self._timers.now()
        if failures.is_failure(found):
            self._restart_watches()
            return
        if found is None:
            self._note_absent(incarnation)
            return
        known = self._take(found)
        watch = self._watches.get(incarnation)
        if watch is None:
            watch = leases.LeaseWatch.from_config(self._settings)
            self._watches[incarnation] = watch
        watch.observe(found.version, now)
        if watch.is_expired(now) and self._evidence.may_judge(now):
            await self._fence(known)

    def _restart_watches(self) -> None:
        for watch in self._watches.values():
            watch.restart()

    async def _fence(self, known: KnownInstance) -> None:
        """Stop a holder for good; its journal is final from then on.

        The write expects the version under watch: a holder that renewed
        at the last moment keeps its lease.
        """
        incarnation = known.row.incarnation
        notice = await self._table.read(rows.name_notice_row(incarnation))
        if failures.is_failure(notice):
            return
        fenced = msgspec.structs.replace(
            known.row,
            state=rows.InstanceState.FENCED,
            fenced_by=self._me,
        )
        self._spend(1)
        result = await self._table.transact(
            ids.make_id('fence', self._random),
            [
                ports.Put(
                    rows.name_instance_row(incarnation),
                    rows.encode_row(fenced),
                    known.version,
                ),
                ports.Put(
                    rows.name_notice_row(incarnation),
                    rows.encode_row(_mark_fenced(notice, incarnation)),
                    notice.version if notice else 0,
                ),
            ],
        )
        # After a conflict or a doubt the next poll shows what the row says.
        if isinstance(result, ports.Committed):
            await self.read(incarnation)


def _mark_fenced(notice: ports.Row | None, incarnation: str) -> rows.NoticeRow:
    if notice is None:
        return rows.NoticeRow(incarnation, fenced=True)
    before = rows.decode_row(notice.value, rows.NoticeRow)
    return msgspec.structs.replace(before, fenced=True)
