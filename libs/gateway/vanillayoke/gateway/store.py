"""Calls to the platform's store, and what their failures leave open."""

import asyncio
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import messages
from vanillayoke.transport import client

# Answers that say that nothing was done.
_REFUSALS = frozenset((429, 503))
_GONE = 410
# A connection to the store takes a round trip; a second try is due soon
# where packets vanish. Seconds.
CONNECT_TIMEOUT = 1.0
# So many calls in a row have to fail before the store counts as away: a
# single lost reply is no outage.
AWAY_FAILURES = 2

# Pauses between tries of a write: the first outlasts a short refusal, the
# longest keeps a returning store from a stampede. Seconds.
FIRST_PAUSE = 0.02
LONGEST_PAUSE = 0.4
SHORTEST_TRY = 0.02
# A call without an answer is tried again after this many usual times, at
# least a quarter of a second: a store that is slow must not get each call
# twice. Seconds.
PATIENCE_TIMES = 8.0
SHORTEST_PATIENCE = 0.25
LONGEST_PATIENCE = 2.5


class StoreError(Exception):
    """A call to the store did not succeed."""


class StoreRefusedError(StoreError):
    """Nothing was done."""


class StoreSilentError(StoreError):
    """No answer came: what was asked may be done, or be done yet."""


class HistoryGoneError(StoreError):
    """The changes asked for are no longer there; read all anew."""


class StoreClient:
    """Sends calls to the store and keeps up how it answers."""

    def __init__(
        self,
        settings: messages.StoreSettings,
        dialect: dialect_module.Dialect,
        timer_service: timers.TimerService,
        on_call: typing.Callable[[str, str, float], None],
        on_change: typing.Callable[[bool], None],
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._timers = timer_service
        self._on_call = on_call
        self._on_change = on_change
        self._pool = client.Pool(CONNECT_TIMEOUT)
        self._failures = 0
        self.is_away = False
        self.returned_at = float('-inf')
        # The time that a call takes, as an average over the last few.
        self.usual_time = 0.01

    @property
    def row_bytes(self) -> int:
        """The most bytes that one row's value may hold."""
        return self._settings.row_bytes

    async def transact(
        self, transaction: messages.Transaction, patience: float
    ) -> messages.Committed | messages.Conflict:
        """Apply all of a transaction or nothing.

        Raise ``StoreRefusedError`` or ``StoreSilentError``.
        """
        request = self._dialect.encode_transaction(transaction)
        status, body = await self._call('transact', request, patience)
        return self._decode(self._dialect.decode_outcome, status, body)

    async def read(
        self,
        table: str,
        part: str,
        patience: float,
        start: str = '',
        end: str | None = None,
    ) -> messages.Page:
        """Return all rows of a part from ``start`` on, before ``end``."""
        rows: list[messages.Row] = []
        while True:
            request = self._dialect.encode_read(table, part, start, end)
            _, body = await self._call('read', request, patience)
            page = self._decode(self._dialect.decode_page, body)
            rows += page.rows
            if not page.has_more or not page.rows:
                return page._replace(rows=tuple(rows), has_more=False)
            start = page.rows[-1].where.key + '\0'

    async def follow(
        self, table: str, after: int, wait: float, patience: float
    ) -> messages.Page:
        """Return the next changes behind a version, none after ``wait``.

        Raise ``HistoryGoneError`` where they are no longer kept.
        """
        request = self._dialect.encode_follow(table, after, wait)
        status, body = await self._call('follow', request, patience + wait)
        if status == _GONE:
            raise HistoryGoneError(f'{table} after {after}')
        return self._decode(self._dialect.decode_page, body)

    def close(self) -> None:
        """Drop the connections."""
        self._pool.close()

    def prune(self) -> None:
        """Drop the connections that have rested too long."""
        self._pool.prune()

    async def _call(
        self, kind: str, request: dialect_module.StoreRequest, patience: float
    ) -> tuple[int, bytes]:
        began = self._timers.now()
        try:
            status, body = await self._exchange(request, patience)
        except client.NotSent as error:
            self._note_failure(kind, 'unreachable', began)
            raise StoreRefusedError(str(error)) from error
        except (client.TransportError, TimeoutError) as error:
            self._note_silence(kind, began)
            raise StoreSilentError(str(error) or 'no answer') from error
        if status in _REFUSALS:
            self._note_failure(kind, 'refused', began)
            raise StoreRefusedError(f'the store answered {status}')
        self._note_success(kind, began)
        return status, body

    async def _exchange(
        self, request: dialect_module.StoreRequest, patience: float
    ) -> tuple[int, bytes]:
        address = self._settings.address
        fields = [
            (b'Host', address.encode()),
            (b'Content-Type', b'application/json'),
        ]
        connection = await self._pool.acquire(address)
        try:
            async with asyncio.timeout(patience):
                connection.send(
                    request.method, request.target, fields, request.body
                )
                head = await connection.read_head()
                body = await connection.read_body()
        except BaseException:
            connection.abort()
            raise
        self._pool.release(address, connection)
        return head.status, body

    def _decode(self, decode: typing.Callable, *given: typing.Any):
        try:
            return decode(*given)
        except dialect_module.BadRowError as error:
            raise StoreSilentError(str(error)) from error

    def _note_success(self, kind: str, began: float) -> None:
        taken = self._timers.now() - began
        self._on_call(kind, 'answered', taken)
        self._failures = 0
        if kind != 'follow':
            self.usual_time += (taken - self.usual_time) / 4
        if self.is_away:
            self.is_away = False
            self.returned_at = self._timers.now()
            self._on_change(True)

    def _note_silence(self, kind: str, began: float) -> None:
        # A slow store must not be asked again and again before it can have
        # answered: each silence doubles the patience for the next call.
        if kind != 'follow':
            taken = self._timers.now() - began
            self.usual_time = max(self.usual_time, 2 * taken / PATIENCE_TIMES)
        self._note_failure(kind, 'silent', began)

    def _note_failure(self, kind: str, outcome: str, began: float) -> None:
        self._on_call(kind, outcome, self._timers.now() - began)
        self._failures += 1
        if self._failures >= AWAY_FAILURES and not self.is_away:
            self.is_away = True
            self._on_change(False)


async def commit(
    store: StoreClient,
    transaction: messages.Transaction,
    until: float,
    timer_service: timers.TimerService,
    draw: typing.Callable[[], float],
) -> messages.Committed | messages.Conflict:
    """Apply a transaction whose repetition is harmless, until a time.

    A try without an answer may take effect later, yet only while its
    conditions hold; the caller tells its own write in a ``Conflict`` by the
    value found. Raise the last ``StoreError`` when the time is over.
    """
    pause = FIRST_PAUSE
    while True:
        left = until - timer_service.now()
        try:
            return await store.transact(
                transaction, max(SHORTEST_TRY, min(left, find_patience(store)))
            )
        except StoreError:
            pause = min(LONGEST_PAUSE, pause * 2)
            wait = pause * (0.5 + draw())
            if timer_service.now() + wait >= until:
                raise
            await timer_service.sleep(wait)


def find_patience(store: StoreClient) -> float:
    """Return how long to wait for one answer of the store."""
    return min(
        LONGEST_PATIENCE,
        max(SHORTEST_PATIENCE, PATIENCE_TIMES * store.usual_time),
    )
