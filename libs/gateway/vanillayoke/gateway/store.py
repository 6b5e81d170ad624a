"""Client of the platform's store, with relays while it is unavailable."""

import asyncio
import typing

from vanillayoke.core import decoding
from vanillayoke.core import timers
from vanillayoke.gateway import availability as availability_module
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import partitions
from vanillayoke.gateway import relays as relays_module
from vanillayoke.transport import client
from vanillayoke.transport import pools

# Statuses of calls that have had no effect.
_TOO_MANY_REQUESTS = 429
_REFUSALS = frozenset((_TOO_MANY_REQUESTS, 503))
_GONE = 410
_OK = 200
# Connecting takes one round trip; after packet loss it is tried again.
CONNECT_TIMEOUT_SECONDS = 1.0
# Statuses of a relay for a call that it could not forward, and for one whose
# outcome it does not know.
REFUSED_STATUS = 503
NO_RESPONSE_STATUS = 504
# Relayed calls are recorded under this name instead of their partition, which
# concerns the instance that sent them.
_RELAYED = 'relayed'
# Between two probes of an unavailable store.
PROBE_PAUSE_SECONDS = 0.25
# From one probed partition to the next; coprime to their number, so that all
# of them get probed.
PROBE_STEP = 101
# Waiting calls are spread over this time after the store's recovery.
RECOVERY_SPREAD_SECONDS = 0.05
# A call times out after this many average latencies, so that a slow store does
# not get each call twice.
TIMEOUT_FACTOR = 8.0
MAX_TIMEOUT_SECONDS = 2.5


class StoreError(Exception):
    """A call to the store failed."""


class StoreRefusedError(StoreError):
    """The call had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """There was no usable response; the call may still take effect."""


class ChangesExpiredError(StoreError):
    """The requested changes have expired; the table must be read again."""


class Observer(typing.NamedTuple):
    """Callbacks for calls and for changes of the store's availability.

    ``on_call`` gets the kind of a call, its outcome and its seconds,
    ``on_change`` whether the store is available, and ``on_rejected`` why a
    response could not be decoded.
    """

    on_call: typing.Callable[[str, str, float], None]
    on_change: typing.Callable[[bool], None]
    on_rejected: typing.Callable[[decoding.Reason], None] = lambda reason: None


class StoreClient:
    """Sends calls to the store and tracks its availability.

    While the store is unavailable to this instance, calls are relayed by other
    instances, since it may refuse some machines and serve others.
    """

    def __init__(
        self,
        settings: messages.StoreSettings,
        dialect: dialect_module.Dialect,
        timer_service: timers.TimerService,
        random_float: typing.Callable[[], float],
        list_relays: typing.Callable[[], typing.Sequence[str]],
        observer: Observer,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._timers = timer_service
        self._random_float = random_float
        self._relays = relays_module.Relays(
            list_relays, timer_service, random_float
        )
        self._observer = observer
        self._pool = pools.Pool(CONNECT_TIMEOUT_SECONDS)
        self.availability = availability_module.Availability()
        self._probed_index = int(random_float() * partitions.PARTITION_COUNT)
        self._recovered = asyncio.Event()
        self._outage_started = asyncio.Event()
        # Moving average of the seconds that a call takes.
        self.average_latency = 0.01

    @property
    def row_bytes(self) -> int:
        """The maximum bytes of a row's value."""
        return self._settings.row_bytes

    @property
    def reads_per_second(self) -> float:
        """The maximum rate of calls of all instances that read."""
        return self._settings.reads_per_second

    @property
    def is_unreachable(self) -> bool:
        """Whether the store can be reached neither directly nor by a relay.

        Nothing that needs the store should be tried then. Probes find out when
        a route works again.
        """
        return self.is_unavailable and not self._relays.has_route

    @property
    def is_unavailable(self) -> bool:
        """Whether the store does not serve this instance directly."""
        return self.availability.is_unavailable

    def has_recent_failure(self, partition: str) -> bool:
        """Return whether a partition failed recently."""
        return self.availability.has_recent_failure(
            partition, self._timers.now()
        )

    async def transact(
        self, transaction: messages.Transaction, timeout_seconds: float
    ) -> messages.Committed | messages.Conflict:
        """Apply a transaction atomically.

        Raise ``StoreRefusedError`` or ``StoreOutcomeUnknownError``.
        """
        request = self._dialect.encode_transaction(transaction)
        partition = _find_partition(transaction)
        status, body = await self._call(
            'transact', partition, request, timeout_seconds
        )
        return self._decode(self._dialect.decode_outcome, status, body)

    async def read(
        self,
        table: str,
        partition: str,
        timeout_seconds: float,
        start: str = '',
        end: str | None = None,
    ) -> messages.Page:
        """Return the rows of a partition from ``start`` to before ``end``.

        All changes up to the page's version are in it.
        """
        rows: list[messages.Row] = []
        version: int | None = None
        while True:
            request = self._dialect.encode_read(table, partition, start, end)
            status, body = await self._call(
                'read', partition, request, timeout_seconds
            )
            page = self._decode_page(status, body)
            rows += page.rows
            if version is None:
                # Rows of this page may change while the next one is read.
                version = page.version
            if not page.has_more or not page.rows:
                return page._replace(
                    rows=tuple(rows), version=version, has_more=False
                )
            start = page.rows[-1].where.key + '\0'

    async def follow(
        self, table: str, after: int, wait: float, timeout_seconds: float
    ) -> messages.Page:
        """Return the changes after a version, none if ``wait`` is over.

        Raise ``ChangesExpiredError`` if they are no longer kept.
        """
        request = self._dialect.encode_follow(table, after, wait)
        status, body = await self._call(
            'follow', f'all of {table}', request, timeout_seconds + wait
        )
        if status == _GONE:
            raise ChangesExpiredError(
                f'changes of {table} after version {after} have expired'
            )
        return self._decode_page(status, body)

    async def read_via_relay(
        self, relay: str, table: str, timeout_seconds: float
    ) -> messages.Page:
        """Return the first page of a table, read by a relay."""
        request = self._dialect.encode_read(table, '', '', None)
        status, body = await self._call_relay(
            'read', relay, request, timeout_seconds
        )
        return self._decode_page(status, body)

    async def relay(
        self, request: dialect_module.StoreRequest
    ) -> tuple[int, bytes]:
        """Send the call of another instance; return status and body.

        It is never relayed further: two instances without access to the store
        would relay it to each other forever.
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
        """Probe the store while it is unavailable; runs until cancelled.

        The response to a probe wakes all calls that wait for the store. Probes
        overlap: each waits as long as a slow store may take, and one sent
        while the store is unresponsive gets no response after the recovery.
        """
        while True:
            await self._outage_started.wait()
            async with asyncio.TaskGroup() as probe_tasks:
                while self.is_unavailable:
                    probe_tasks.create_task(self._probe())
                    if not self._relays.has_route:
                        probe_tasks.create_task(self._probe_relays())
                    pause = PROBE_PAUSE_SECONDS * (
                        0.75 + 0.5 * self._random_float()
                    )
                    await self._timers.sleep(pause)

    async def _probe(self) -> None:
        """Probe one partition of the store."""
        # Another partition each time: some may be down while others work.
        self._probed_index = (
            self._probed_index + PROBE_STEP
        ) % partitions.PARTITION_COUNT
        partition = partitions.name_partition(self._probed_index)
        request = self._dialect.encode_probe(partition)
        try:
            await self._call_directly(
                'probe', partition, request, MAX_TIMEOUT_SECONDS
            )
        except StoreError:
            return

    async def _probe_relays(self) -> None:
        """Probe the store through a relay."""
        request = self._dialect.encode_probe(partitions.name_partition(0))
        try:
            await self._call_by_relay('probe', request, MAX_TIMEOUT_SECONDS)
        except StoreError:
            return

    async def wait_before_retry(self, max_pause: float) -> None:
        """Wait until the store recovers, at most ``max_pause`` seconds.

        If the store is available, wait for a random part of that time.
        """
        if not self.is_unavailable:
            await self._timers.sleep(
                max_pause * (0.5 + self._random_float() / 2)
            )
            return
        try:
            async with asyncio.timeout(max_pause):
                await self._recovered.wait()
        except TimeoutError:
            return
        # Avoids a stampede of all calls that waited.
        await self._timers.sleep(
            RECOVERY_SPREAD_SECONDS * self._random_float()
        )

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def prune(self) -> None:
        """Close the connections that were idle for too long."""
        self._pool.prune()

    async def _call(
        self,
        kind: str,
        partition: str,
        request: dialect_module.StoreRequest,
        timeout_seconds: float,
    ) -> tuple[int, bytes]:
        if self.is_unavailable:
            return await self._call_by_relay(kind, request, timeout_seconds)
        return await self._call_directly(
            kind, partition, request, timeout_seconds
        )

    async def _call_directly(
        self,
        kind: str,
        partition: str,
        request: dialect_module.StoreRequest,
        timeout_seconds: float,
    ) -> tuple[int, bytes]:
        sent_at = self._timers.now()
        try:
            status, body = await self._exchange(
                self._settings.address, request, timeout_seconds
            )
        except client.NotSent as error:
            self._record_failure(kind, partition, 'unreachable', sent_at)
            raise StoreRefusedError(str(error)) from error
        except (client.TransportError, TimeoutError) as error:
            self._record_no_response(kind, partition, sent_at)
            raise StoreOutcomeUnknownError(
                str(error) or 'no response'
            ) from error
        if status in _REFUSALS:
            is_rate_limited = status == _TOO_MANY_REQUESTS
            self._record_failure(
                kind, partition, 'refused', sent_at, is_rate_limited
            )
            raise StoreRefusedError(f'the store returned status {status}')
        self._record_success(kind, partition, sent_at)
        return status, body

    async def _call_by_relay(
        self,
        kind: str,
        request: dialect_module.StoreRequest,
        timeout_seconds: float,
    ) -> tuple[int, bytes]:
        for _ in range(relays_module.MAX_ATTEMPTS):
            relay = self._relays.choose()
            if relay is None:
                break
            try:
                response = await self._call_relay(
                    kind, relay, request, timeout_seconds
                )
            except StoreRefusedError:
                self._relays.record_refusal(relay)
                continue
            except StoreOutcomeUnknownError:
                self._relays.record_no_response()
                raise
            self._relays.record_success(relay)
            return response
        self._relays.pause()
        raise StoreRefusedError(
            'neither the store nor a relay to it is available'
        )

    async def _call_relay(
        self,
        kind: str,
        relay: str,
        request: dialect_module.StoreRequest,
        timeout_seconds: float,
    ) -> tuple[int, bytes]:
        sent_at = self._timers.now()
        try:
            status, body = await self._exchange(
                relay, request, timeout_seconds
            )
        except client.NotSent as error:
            raise StoreRefusedError(str(error)) from error
        except (client.TransportError, TimeoutError) as error:
            raise StoreOutcomeUnknownError(
                str(error) or 'no response'
            ) from error
        duration = self._timers.now() - sent_at
        if status == REFUSED_STATUS:
            self._observer.on_call(kind, 'relay_refused', duration)
            raise StoreRefusedError(
                'the relay could not forward the call to the store'
            )
        if status == NO_RESPONSE_STATUS:
            raise StoreOutcomeUnknownError(
                'the relay got no response from the store'
            )
        self._observer.on_call(kind, 'relayed', duration)
        return status, body

    async def _exchange(
        self,
        address: str,
        request: dialect_module.StoreRequest,
        timeout_seconds: float,
    ) -> tuple[int, bytes]:
        fields = [
            (b'Host', address.encode()),
            (b'Content-Type', b'application/json'),
        ]
        connection = await self._pool.acquire(address)
        try:
            async with asyncio.timeout(timeout_seconds):
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

    def _decode_page(self, status: int, body: bytes) -> messages.Page:
        if status != _OK:
            # The body of an error may decode as a page without rows.
            raise StoreOutcomeUnknownError(
                f'unexpected status {status} from the store'
            )
        return self._decode(self._dialect.decode_page, body)

    def _decode(self, decode: typing.Callable, *arguments: typing.Any):
        try:
            return decode(*arguments)
        except dialect_module.BadRowError as error:
            self._observer.on_rejected(error.reason)
            raise StoreOutcomeUnknownError(str(error)) from error

    def _record_success(
        self, kind: str, partition: str, sent_at: float
    ) -> None:
        now = self._timers.now()
        duration = now - sent_at
        self._observer.on_call(kind, 'answered', duration)
        if kind != 'follow':
            self.average_latency += (duration - self.average_latency) / 4
        if self.availability.record_success(partition, now):
            self.average_latency = duration
            self._relays.reset()
            self._outage_started.clear()
            self._recovered.set()
            self._observer.on_change(True)

    def _record_no_response(
        self, kind: str, partition: str, sent_at: float
    ) -> None:
        # Back off: a call without a response doubles the timeout of the next
        # one, so that a slow store is not sent calls faster than it responds.
        if kind not in ('follow', 'probe'):
            duration = self._timers.now() - sent_at
            self.average_latency = max(
                self.average_latency, 2 * duration / TIMEOUT_FACTOR
            )
        self._record_failure(kind, partition, 'silent', sent_at)

    def _record_failure(
        self,
        kind: str,
        partition: str,
        outcome: str,
        sent_at: float,
        is_rate_limited: bool = False,
    ) -> None:
        now = self._timers.now()
        self._observer.on_call(kind, outcome, now - sent_at)
        if self.availability.record_failure(
            partition, now, is_rate_limited, sent_at
        ):
            self._recovered.clear()
            self._outage_started.set()
            self._observer.on_change(False)


def _find_partition(transaction: messages.Transaction) -> str:
    """Return the partition of a transaction, which all its rows share."""
    for key, _ in (*transaction.expected, *transaction.writes):
        return key.partition
    return ''
