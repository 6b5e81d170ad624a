"""Calls to the platform's store, and what their failures leave open."""

import asyncio
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import availability as availability_module
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import partitions
from vanillayoke.gateway import relays as relays_module
from vanillayoke.transport import client

# Answers that say that nothing was done.
_TOO_MANY = 429
_REFUSALS = frozenset((_TOO_MANY, 503))
_GONE = 410
# A connection to the store takes a round trip; a second try is due soon
# where packets vanish. Seconds.
CONNECT_TIMEOUT = 1.0
# How an instance says that it could not pass a call on, and that it does not
# know what became of it.
REFUSED_STATUS = 503
NO_RESPONSE_STATUS = 504
# What a relayed call counts as: its part is the asker's affair.
_RELAYED = 'relayed'
# Between two probes of a store that is away. Seconds.
PROBE_PAUSE = 0.25
# From one part probed to the next: neighbours lie far apart, and it takes as
# many probes as there are parts to come round.
PROBE_STEP = 101
# Calls that waited for the store's return are spread over this time. Seconds.
RETURN_SPREAD = 0.05
# A call without an answer is tried again after this many usual times, at
# least a quarter of a second: a store that is slow must not get each call
# twice. Seconds.
TIMEOUT_FACTOR = 8.0
MAX_TIMEOUT_SECONDS = 2.5


class StoreError(Exception):
    """A call to the store did not succeed."""


class StoreRefusedError(StoreError):
    """Nothing was done."""


class StoreOutcomeUnknownError(StoreError):
    """No answer came: what was asked may be done, or be done yet."""


class ChangesExpiredError(StoreError):
    """The changes asked for are no longer there; read all anew."""


class Observer(typing.NamedTuple):
    """Who is told of calls (kind, outcome, seconds) and of loss and return."""

    on_call: typing.Callable[[str, str, float], None]
    on_change: typing.Callable[[bool], None]


class StoreClient:
    """Sends calls to the store and keeps up how it answers.

    While the store does not answer this instance, calls go through other
    instances: it may turn some machines away and serve the others.
    """

    def __init__(
        self,
        settings: messages.StoreSettings,
        dialect: dialect_module.Dialect,
        timer_service: timers.TimerService,
        draw: typing.Callable[[], float],
        list_relays: typing.Callable[[], typing.Sequence[str]],
        observer: Observer,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._timers = timer_service
        self._draw = draw
        self._relays = relays_module.Relays(list_relays, timer_service, draw)
        self._observer = observer
        self._pool = client.Pool(CONNECT_TIMEOUT)
        self.availability = availability_module.Availability()
        self._probed = int(draw() * partitions.PARTITION_COUNT)
        self._returned = asyncio.Event()
        self._lost = asyncio.Event()
        # The time that a call takes, as an average over the last few.
        self.average_latency = 0.01

    @property
    def row_bytes(self) -> int:
        """The most bytes that one row's value may hold."""
        return self._settings.row_bytes

    @property
    def is_unreachable(self) -> bool:
        """Whether neither the store nor another instance's way to it works.

        What needs the store need not be tried then. Probes find the way, so
        that no turn is begun for nothing while it is not known.
        """
        return self.is_unavailable and not self._relays.has_route

    @property
    def is_unavailable(self) -> bool:
        """Whether the store does not answer this instance."""
        return self.availability.is_unavailable

    def has_recent_failure(self, part: str) -> bool:
        """Say whether a part of the store failed a moment ago."""
        return self.availability.has_recent_failure(part, self._timers.now())

    async def transact(
        self, transaction: messages.Transaction, patience: float
    ) -> messages.Committed | messages.Conflict:
        """Apply all of a transaction or nothing.

        Raise ``StoreRefusedError`` or ``StoreSilentError``.
        """
        request = self._dialect.encode_transaction(transaction)
        part = _find_part(transaction)
        status, body = await self._call('transact', part, request, patience)
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
            _, body = await self._call('read', part, request, patience)
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
        status, body = await self._call(
            'follow', f'all of {table}', request, patience + wait
        )
        if status == _GONE:
            raise ChangesExpiredError(f'{table} after {after}')
        return self._decode(self._dialect.decode_page, body)

    async def read_via_relay(
        self, relay: str, table: str, patience: float
    ) -> messages.Page:
        """Return the first rows of a table, by way of another instance."""
        request = self._dialect.encode_read(table, '', '', None)
        _, body = await self._ask_relay('read', relay, request, patience)
        return self._decode(self._dialect.decode_page, body)

    async def relay(
        self, request: dialect_module.StoreRequest
    ) -> tuple[int, bytes]:
        """Send another instance's call; return status and body.

        It is never passed on to a third instance: two that both miss the
        store would pass it to and fro.
        """
        if self.is_unavailable:
            return REFUSED_STATUS, b''
        try:
            return await self._call_directly(
                'relay', _RELAYED, request, MAX_TIMEOUT_SECONDS
            )
        except StoreRefusedError:
            return REFUSED_STATUS, b''
        except StoreOutcomeUnknownError:
            return NO_RESPONSE_STATUS, b''

    async def watch_availability(self) -> None:
        """Find out when the store is back; runs until cancelled.

        All calls that wait hear of a probe's answer, instead of each asking
        again. A probe waits as long as a slow store may take, and others
        follow it meanwhile: those sent into a silence get no answer even
        when the store is back.
        """
        while True:
            await self._lost.wait()
            async with asyncio.TaskGroup() as probes:
                while self.is_unavailable:
                    probes.create_task(self._probe())
                    if not self._relays.has_route:
                        probes.create_task(self._probe_relays())
                    pause = PROBE_PAUSE * (0.75 + 0.5 * self._draw())
                    await self._timers.sleep(pause)

    async def _probe(self) -> None:
        """Find out whether any part of the store answers."""
        # Another part each time: some may be down while others work.
        self._probed = (self._probed + PROBE_STEP) % partitions.PARTITION_COUNT
        part = partitions.name_partition(self._probed)
        request = self._dialect.encode_probe(part)
        try:
            await self._call_directly(
                'probe', part, request, MAX_TIMEOUT_SECONDS
            )
        except StoreError:
            return

    async def _probe_relays(self) -> None:
        """Find out whether another instance reaches the store."""
        request = self._dialect.encode_probe(partitions.name_partition(0))
        try:
            await self._call_by_relay('probe', request, MAX_TIMEOUT_SECONDS)
        except StoreError:
            return

    async def wait_before_retry(self, longest: float) -> None:
        """Return when a call is worth trying again, at the latest then."""
        if not self.is_unavailable:
            await self._timers.sleep(longest * (0.5 + self._draw() / 2))
            return
        try:
            async with asyncio.timeout(longest):
                await self._returned.wait()
        except TimeoutError:
            return
        # All that waited would else call at once.
        await self._timers.sleep(RETURN_SPREAD * self._draw())

    def close(self) -> None:
        """Drop the connections."""
        self._pool.close()

    def prune(self) -> None:
        """Drop the connections that have rested too long."""
        self._pool.prune()

    async def _call(
        self,
        kind: str,
        part: str,
        request: dialect_module.StoreRequest,
        patience: float,
    ) -> tuple[int, bytes]:
        if self.is_unavailable:
            return await self._call_by_relay(kind, request, patience)
        return await self._call_directly(kind, part, request, patience)

    async def _call_directly(
        self,
        kind: str,
        part: str,
        request: dialect_module.StoreRequest,
        patience: float,
    ) -> tuple[int, bytes]:
        began = self._timers.now()
        try:
            status, body = await self._exchange(
                self._settings.address, request, patience
            )
        except client.NotSent as error:
            self._note_failure(kind, part, 'unreachable', began)
            raise StoreRefusedError(str(error)) from error
        except (client.TransportError, TimeoutError) as error:
            self._note_silence(kind, part, began)
            raise StoreOutcomeUnknownError(
                str(error) or 'no answer'
            ) from error
        if status in _REFUSALS:
            is_rate_limited = status == _TOO_MANY
            self._note_failure(kind, part, 'refused', began, is_rate_limited)
            raise StoreRefusedError(f'the store answered {status}')
        self._note_success(kind, part, began)
        return status, body

    async def _call_by_relay(
        self, kind: str, request: dialect_module.StoreRequest, patience: float
    ) -> tuple[int, bytes]:
        for _ in range(relays_module.MOST):
            relay = self._relays.choose()
            if relay is None:
                break
            try:
                answer = await self._ask_relay(kind, relay, request, patience)
            except StoreRefusedError:
                self._relays.record_refusal(relay)
                continue
            except StoreOutcomeUnknownError:
                self._relays.record_no_response()
                raise
            self._relays.record_success(relay)
            return answer
        self._relays.pause()
        raise StoreRefusedError('the store is away for others too')

    async def _ask_relay(
        self,
        kind: str,
        relay: str,
        request: dialect_module.StoreRequest,
        patience: float,
    ) -> tuple[int, bytes]:
        began = self._timers.now()
        try:
            status, body = await self._exchange(relay, request, patience)
        except client.NotSent as error:
            raise StoreRefusedError(str(error)) from error
        except (client.TransportError, TimeoutError) as error:
            raise StoreOutcomeUnknownError(
                str(error) or 'no answer'
            ) from error
        taken = self._timers.now() - began
        if status == REFUSED_STATUS:
            self._observer.on_call(kind, 'relay_refused', taken)
            raise StoreRefusedError('another instance was refused too')
        if status == NO_RESPONSE_STATUS:
            raise StoreOutcomeUnknownError('no answer for another instance')
        self._observer.on_call(kind, 'relayed', taken)
        return status, body

    async def _exchange(
        self,
        address: str,
        request: dialect_module.StoreRequest,
        patience: float,
    ) -> tuple[int, bytes]:
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
            raise StoreOutcomeUnknownError(str(error)) from error

    def _note_success(self, kind: str, part: str, began: float) -> None:
        now = self._timers.now()
        taken = now - began
        self._observer.on_call(kind, 'answered', taken)
        if kind != 'follow':
            self.average_latency += (taken - self.average_latency) / 4
        if self.availability.record_success(part, now):
            self.average_latency = taken
            self._relays.forget()
            self._lost.clear()
            self._returned.set()
            self._observer.on_change(True)

    def _note_silence(self, kind: str, part: str, began: float) -> None:
        # A slow store must not be asked again and again before it can have
        # answered: each silence doubles the patience for the next call.
        if kind not in ('follow', 'probe'):
            taken = self._timers.now() - began
            self.average_latency = max(
                self.average_latency, 2 * taken / TIMEOUT_FACTOR
            )
        self._note_failure(kind, part, 'silent', began)

    def _note_failure(
        self,
        kind: str,
        part: str,
        outcome: str,
        began: float,
        is_rate_limited: bool = False,
    ) -> None:
        now = self._timers.now()
        self._observer.on_call(kind, outcome, now - began)
        if self.availability.record_failure(part, now, is_rate_limited, began):
            self._returned.clear()
            self._lost.set()
            self._observer.on_change(False)


def _find_part(transaction: messages.Transaction) -> str:
    """Return the part that a transaction is about; all its rows share it."""
    for where, _ in (*transaction.expected, *transaction.writes):
        return where.partition
    return ''
