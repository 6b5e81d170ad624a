"""Accounts of the limits that this instance coordinates."""

import asyncio
import typing

import msgspec
import xxhash

from vanillayoke.core import decoding
from vanillayoke.core import figures
from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import partitions
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import store as store_module
from vanillayoke.scheduling import program_statistics
from vanillayoke.scheduling import quotas

TABLE = 'limits'
ACCOUNT_IDLE_SECONDS = 60.0
READ_TIMEOUT_SECONDS = 0.3
# The time in which all instances have reported to a new coordinator. They
# check for a change of coordinators several times a second.
SETTLING_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 1.0


class SavedAccount(msgspec.Struct, frozen=True, array_like=True):
    """An account in the store.

    ``time`` is the wall time of the write in seconds; ``counts`` holds the
    ages in seconds at that time and the numbers of requests.
    """

    time: figures.WallSeconds
    counts: tuple[tuple[figures.Seconds, figures.SignedCount], ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: decoding.Decoder[SavedAccount] = decoding.Decoder.for_msgpack(
    SavedAccount
)


class _Entry:
    """An account and its state in the store."""

    def __init__(self, account: quotas.Account) -> None:
        self.account = account
        self.loading: asyncio.Task | None = None
        # Whether the row of the former coordinator was read.
        self.is_loaded = False
        # When all instances have reported to this coordinator.
        self.settled_at = float('inf')
        self.unsaved_count = 0
        self.is_saving = False


class LimitAccounts:
    """Counts and admits requests on behalf of all instances.

    ``get_lost_ratio`` returns the ratio of instances lost within a window.
    ``is_leaving`` returns whether another instance is to be the coordinator.
    For ``fades_idle_programs`` see ``quotas.Account``.
    """

    def __init__(
        self,
        window: float,
        store: store_module.StoreClient,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
        get_lost_ratio: typing.Callable[[], float],
        is_leaving: typing.Callable[[], bool],
        fades_idle_programs: bool = False,
    ) -> None:
        self._window = window
        self._fades_idle_programs = fades_idle_programs
        self._store = store
        self._timers = timer_service
        self._spawn = spawn
        self._get_lost_ratio = get_lost_ratio
        self._is_leaving = is_leaving
        self._statistics = program_statistics.ProgramStatistics()
        self._entries: dict[str, _Entry] = {}

    def handle_request(
        self, report: peer_messages.UsageReport
    ) -> (
        peer_messages.LimitStatus
        | peer_messages.Unavailable
        | typing.Coroutine[typing.Any, typing.Any, peer_messages.LimitStatus]
    ):
        """Record the reported usage and decide on the request, if any.

        An instance that is leaving refers all others to the next coordinator
        at once: two instances that admit concurrently would admit too much.
        """
        if self._is_leaving():
            return peer_messages.Unavailable(False)
        name = report.organisation
        entry = self._entries.get(name)
        if entry is None:
            entry = _Entry(
                quotas.Account(
                    self._window,
                    self._statistics,
                    self._fades_idle_programs,
                )
            )
            self._entries[name] = entry
            self._start_loading(name, entry)
        elif report.is_reassigned and self._is_settled(entry):
            # Another instance has been the coordinator meanwhile.
            self._start_loading(name, entry)
        self._record_usage(entry, report)
        if entry.loading is not None:
            if report.pending is None:
                return peer_messages.LimitStatus(is_near_limit=True)
            return self._decide_when_loaded(entry, report)
        return self._decide(entry, report)

    def prune(self) -> None:
        """Drop idle accounts."""
        now = self._timers.now()
        for name, entry in list(self._entries.items()):
            entry.account.window.prune(now)
            if now - entry.account.last_used_at > ACCOUNT_IDLE_SECONDS:
                del self._entries[name]

    def _start_loading(self, name: str, entry: _Entry) -> None:
        entry.is_loaded = False
        entry.loading = asyncio.get_running_loop().create_task(
            self._load(name, entry)
        )

    def _is_settled(self, entry: _Entry) -> bool:
        is_over = self._timers.now() > entry.settled_at + SETTLING_SECONDS
        return entry.loading is None and is_over

    def _record_usage(
        self, entry: _Entry, report: peer_messages.UsageReport
    ) -> None:
        now = self._timers.now()
        account = entry.account
        account.set_limit(report.limit, report.version)
        if report.is_full:
            account.window.remove_reporter(report.reporter)
        for record in report.records:
            admitted_at = now - record.age_ms / 1000
            account.window.add(report.reporter, admitted_at, record.count)
            request = quotas.AdmissionRequest(
                record.program, record.route, record.priority
            )
            account.record(request, record.count, now)
            entry.unsaved_count += record.count
        account.last_used_at = now

    async def _decide_when_loaded(
        self, entry: _Entry, report: peer_messages.UsageReport
    ) -> peer_messages.LimitStatus:
        if entry.loading is not None:
            await asyncio.wait((entry.loading,))
        return self._decide(entry, report)

    def _decide(
        self, entry: _Entry, report: peer_messages.UsageReport
    ) -> peer_messages.LimitStatus:
        now = self._timers.now()
        account = entry.account
        if now >= entry.settled_at:
            lost_ratio = self._get_lost_ratio()
            reserve = quotas.get_reserve(
                account.limit, lost_ratio, entry.is_loaded
            )
        else:
            reserve = quotas.get_initial_reserve(
                account.limit, entry.is_loaded
            )
        account.reserve = reserve
        status = peer_messages.LimitStatus(False)
        if report.pending is not None:
            request = quotas.AdmissionRequest(*report.pending, report.priority)
            match account.request_admission(report.reporter, request, now):
                case quotas.Refused() as refusal:
                    status = peer_messages.LimitStatus(
                        False,
                        _describe(refusal, account),
                        refusal.retry_after,
                        refusal.is_new,
                        refusal.urgent,
                    )
                case quotas.Admitted():
                    entry.unsaved_count += 1
        self._schedule_save(report.organisation, entry)
        return msgspec.structs.replace(
            status, is_near_limit=account.is_near_limit(now)
        )

    # The store

    async def _load(self, name: str, entry: _Entry) -> None:
        """Load the counts that a former coordinator has saved."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                saved = await self._read(name)
                entry.is_loaded = True
        except (TimeoutError, store_module.StoreError):
            saved = None
        now = self._timers.now()
        if saved is not None:
            age = max(0.0, self._timers.wall() - saved.time)
            entry.account.window.restore(
                (now - age - entry_age, count)
                for entry_age, count in saved.counts
            )
        entry.loading = None
        entry.settled_at = now + SETTLING_SECONDS

    async def _read(self, name: str) -> SavedAccount | None:
        row_key = _make_row_key(name)
        page = await self._store.read(
            TABLE,
            row_key.partition,
            READ_TIMEOUT_SECONDS,
            row_key.key,
            row_key.key + '\0',
        )
        for row in page.rows:
            try:
                return _DECODER.decode(row.value)
            except decoding.DecodingError:
                # Written by another software version; ignored.
                return None
        return None

    def _schedule_save(self, name: str, entry: _Entry) -> None:
        account = entry.account
        max_unsaved = quotas.SAVE_RATIO * account.limit.tolerance
        if entry.is_saving or entry.unsaved_count <= max_unsaved:
            return
        entry.is_saving = True
        self._spawn(self._save(name, entry))

    async def _save(self, name: str, entry: _Entry) -> None:
        now = self._timers.now()
        count = entry.unsaved_count
        saved = SavedAccount(
            self._timers.wall(),
            tuple(
                (now - admitted_at, count)
                for admitted_at, count in entry.account.window.list_counts()
            ),
        )
        transaction = messages.Transaction(
            (), ((_make_row_key(name), _ENCODER.encode(saved)),)
        )
        try:
            await self._store.transact(transaction, WRITE_TIMEOUT_SECONDS)
            entry.unsaved_count -= count
        except store_module.StoreError:
            # Retried with the next request.
            return
        finally:
            entry.is_saving = False


def _make_row_key(organisation: str) -> messages.RowKey:
    key = f'{xxhash.xxh3_128_intdigest(organisation.encode()):032x}'
    return messages.RowKey(TABLE, partitions.find_partition(key), key)


def _describe(refusal: quotas.Refused, account: quotas.Account) -> str:
    kind = 'a new program' if refusal.is_new else 'a request'
    urgent = ''
    if refusal.urgent:
        urgent = f', {refusal.urgent} for more urgent programs'
    return (
        f'{kind}: {refusal.used} of {refusal.limit:.0f} used,'
        f' {refusal.expected} expected, {account.reserve:.0f} kept back'
        f'{urgent}; limit of version {account.version}'
    )


def read_expiry(value: bytes, lifetime: float) -> float | None:
    """Return when a row may be removed; ``None`` if it can't be decoded."""
    try:
        return _DECODER.decode(value).time + lifetime
    except decoding.DecodingError:
        return None
