"""The accounts of the limits that have their home at this instance."""

import asyncio
import typing

import msgspec
import xxhash

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import parts
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import store as store_module
from vanillayoke.scheduling import quotas

TABLE = 'limits'
# Accounts that nobody has used for so long are forgotten. Seconds.
IDLE_ACCOUNT = 60.0
# How long a new home waits for the row of the one before. Seconds.
READ_PATIENCE = 0.3
# Within this time all instances have told a new home what they have admitted:
# they look for a change of homes several times a second. Seconds.
SETTLING = 1.0
WRITE_PATIENCE = 1.0


class Saved(msgspec.Struct, frozen=True, array_like=True):
    """An account in the store: the wall time, ages in seconds and counts."""

    time: float
    counts: tuple[tuple[float, int], ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Saved)


class _Entry:
    """An account and what the store knows of it."""

    def __init__(self, account: quotas.Account) -> None:
        self.account = account
        self.opening: asyncio.Task | None = None
        # Whether it is known what a former home has written down, and by when
        # all instances have told the rest.
        self.is_known = False
        self.settled_at = float('inf')
        self.unsaved = 0
        self.is_saving = False


class LimitAccounts:
    """Keeps accounts for all instances that ask.

    ``find_lost_share`` returns the share of instances that were lost within a
    window.
    ``is_leaving`` says that another instance is to be the home.
    """

    def __init__(
        self,
        window: float,
        store: store_module.StoreClient,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
        find_lost_share: typing.Callable[[], float],
        is_leaving: typing.Callable[[], bool],
    ) -> None:
        self._window = window
        self._store = store
        self._timers = timer_service
        self._spawn = spawn
        self._find_lost_share = find_lost_share
        self._is_leaving = is_leaving
        self._needs = quotas.Needs()
        self._entries: dict[str, _Entry] = {}

    def answer(
        self, question: peer_messages.UsageReport
    ) -> (
        peer_messages.LimitStatus
        | peer_messages.Unavailable
        | typing.Coroutine[typing.Any, typing.Any, peer_messages.LimitStatus]
    ):
        """Take what an instance has used; admit what it asks for.

        An instance that stops sends all to the next home at once: two that
        admit side by side would admit too much.
        """
        if self._is_leaving():
            return peer_messages.Unavailable(False)
        name = question.organisation
        entry = self._entries.get(name)
        if entry is None:
            entry = _Entry(quotas.Account(self._window, self._needs))
            self._entries[name] = entry
            self._begin(name, entry)
        elif question.is_reassigned and self._is_settled(entry):
            # Another instance has been the home meanwhile.
            self._begin(name, entry)
        self._take(entry, question)
        if entry.opening is not None:
            if question.pending is None:
                return peer_messages.LimitStatus(is_near_limit=True)
            return self._answer_opened(entry, question)
        return self._decide(entry, question)

    def prune(self) -> None:
        """Forget accounts that nobody has used for a window."""
        now = self._timers.now()
        for name, entry in list(self._entries.items()):
            entry.account.window.prune(now)
            if now - entry.account.seen > IDLE_ACCOUNT:
                del self._entries[name]

    def _begin(self, name: str, entry: _Entry) -> None:
        entry.is_known = False
        entry.opening = asyncio.get_running_loop().create_task(
            self._open(name, entry)
        )

    def _is_settled(self, entry: _Entry) -> bool:
        is_over = self._timers.now() > entry.settled_at + SETTLING
        return entry.opening is None and is_over

    def _take(
        self, entry: _Entry, question: peer_messages.UsageReport
    ) -> None:
        now = self._timers.now()
        account = entry.account
        account.set_limit(question.limit, question.version)
        if question.is_full:
            account.window.forget(question.reporter)
        for used in question.records:
            at = now - used.age_ms / 1000
            account.window.add(question.reporter, at, used.count)
            asked = quotas.Asked(used.program, used.route)
            account.note(asked, used.count, now)
            entry.unsaved += used.count
        account.seen = now

    async def _answer_opened(
        self, entry: _Entry, question: peer_messages.UsageReport
    ) -> peer_messages.LimitStatus:
        if entry.opening is not None:
            await asyncio.wait((entry.opening,))
        return self._decide(entry, question)

    def _decide(
        self, entry: _Entry, question: peer_messages.UsageReport
    ) -> peer_messages.LimitStatus:
        now = self._timers.now()
        account = entry.account
        if now >= entry.settled_at:
            lost = self._find_lost_share()
            reserve = quotas.find_reserve(account.limit, lost, entry.is_known)
        else:
            reserve = quotas.find_first_reserve(account.limit, entry.is_known)
        account.reserve = reserve
        standing = peer_messages.LimitStatus(False)
        if question.pending is not None:
            asked = quotas.Asked(*question.pending)
            match account.ask(question.reporter, asked, now):
                case quotas.Refused() as found:
                    standing = peer_messages.LimitStatus(
                        False,
                        _describe(found, account),
                        found.pause,
                        found.is_new,
                    )
                case quotas.Admitted():
                    entry.unsaved += 1
        self._save_soon(question.organisation, entry)
        return msgspec.structs.replace(
            standing, is_near_limit=account.is_close(now)
        )

    # The store

    async def _open(self, name: str, entry: _Entry) -> None:
        """Take over what a home before this one has written down."""
        try:
            async with asyncio.timeout(READ_PATIENCE):
                saved = await self._read(name)
                entry.is_known = True
        except (TimeoutError, store_module.StoreError):
            saved = None
        now = self._timers.now()
        if saved is not None:
            age = max(0.0, self._timers.wall() - saved.time)
            entry.account.window.inherit(
                (now - age - one, count) for one, count in saved.counts
            )
        entry.opening = None
        entry.settled_at = now + SETTLING

    async def _read(self, name: str) -> Saved | None:
        where = _locate(name)
        page = await self._store.read(
            TABLE, where.partition, READ_PATIENCE, where.key, where.key + '\0'
        )
        for row in page.rows:
            try:
                return _DECODER.decode(row.value)
            except msgspec.DecodeError:
                # Another version's row counts as none.
                return None
        return None

    def _save_soon(self, name: str, entry: _Entry) -> None:
        account = entry.account
        most = quotas.SAVED_SHARE * account.limit.tolerance
        if entry.is_saving or entry.unsaved <= most:
            return
        entry.is_saving = True
        self._spawn(self._save(name, entry))

    async def _save(self, name: str, entry: _Entry) -> None:
        now = self._timers.now()
        count = entry.unsaved
        saved = Saved(
            self._timers.wall(),
            tuple(
                (now - at, count)
                for at, count in entry.account.window.list_counts()
            ),
        )
        transaction = messages.Transaction(
            (), ((_locate(name), _ENCODER.encode(saved)),)
        )
        try:
            await self._store.transact(transaction, WRITE_PATIENCE)
            entry.unsaved -= count
        except store_module.StoreError:
            # Written again with the next request.
            return
        finally:
            entry.is_saving = False


def _locate(organisation: str) -> messages.RowKey:
    key = f'{xxhash.xxh3_128_intdigest(organisation.encode()):032x}'
    return messages.RowKey(TABLE, parts.find_part(key), key)


def _describe(found: quotas.Refused, account: quotas.Account) -> str:
    kind = 'a new program' if found.is_new else 'a request'
    return (
        f'{kind}: {found.used} of {found.limit:.0f} used,'
        f' {found.expected} expected, {account.reserve:.0f} kept back;'
        f' limit of version {account.version}'
    )


def read_time(value: bytes) -> float | None:
    """Return when a row was written; ``None`` if it can't be read."""
    try:
        return _DECODER.decode(value).time
    except msgspec.DecodeError:
        return None
