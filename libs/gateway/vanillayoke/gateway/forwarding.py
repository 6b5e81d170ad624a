"""A single attempt to forward a request to a target."""

import asyncio
import http
import typing

from vanillayoke.core import memory
from vanillayoke.core import timers
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import load_queries
from vanillayoke.gateway import messages
from vanillayoke.gateway import response_ends as response_ends_module
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import target_load
from vanillayoke.transport import client
from vanillayoke.transport import pools

_FIRST_NON_SUCCESS_STATUS = 300
# Requests that must not run twice use a pooled connection only if it has been
# idle for less than this. The server might close an older one while the
# request is in transit, and it would be unknown whether the request ran.
MAX_IDLE_BEFORE_UNSAFE_SECONDS = 1.0
# If the caller disconnects after this time without a response from the target,
# the attempt counts as a failure of the target. Targets begin to respond
# within some tenths of a second, and callers give up after two seconds.
NO_RESPONSE_SECONDS = 1.0


class NotExecutedError(Exception):
    """The target responded that it did not run the request."""

    def __init__(self, status: int) -> None:
        super().__init__(f'target did not run the request: status {status}')
        self.status = status


class Attempt:
    """An attempt to send a request to a target.

    ``on_skipped`` is called for each response to another request.
    Use it with ``async with``. Leaving the block cancels the request at the
    target unless the complete response has been read.
    """

    def __init__(
        self,
        target: messages.Target,
        request: str,
        deadline: float,
        load_queries: load_queries.LoadQueries,
        pool: pools.Pool,
        dialect: dialect_module.Dialect,
        occupancy: occupancy.Occupancy,
        timer_service: timers.TimerService,
        response_ends: response_ends_module.ResponseEnds,
        expected: memory.Reservation | None = None,
        on_skipped: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self.target = target
        self._request = request
        self._deadline = deadline
        self._load_queries = load_queries
        self._reported_count: int | None = None
        # Latency relative to the average; None if it was not measured.
        self.latency_ratio: float | None = None
        # The time for one unit of work, see ``scheduling.target_load``; None
        # if it was not measured.
        self.pace: float | None = None
        # As the target reported it with the head of the response.
        self.contention: float | None = None
        self._is_contention_unexpected = False
        self._pool = pool
        self._dialect = dialect
        self._occupancy = occupancy
        self._timers = timer_service
        self._response_ends = response_ends
        # Memory for the response until its size is known.
        self._expected = expected
        self._on_skipped = on_skipped
        self._connection: client.Connection | None = None
        # The check of a response that has ended with its connection.
        self._end_check: asyncio.Task[None] | None = None
        self.is_sent = False
        self.has_head = False
        self.started_at = 0.0
        self.head_received_at = 0.0
        # When the first and the last bytes of a body read in chunks arrived.
        self.first_chunk_at = 0.0
        self.last_chunk_at = 0.0
        # When the whole body had arrived and was read.
        self.ended_at = 0.0

    async def __aenter__(self) -> typing.Self:
        self.started_at = self._timers.now()
        self._occupancy.begin(self.target.name)
        self._load_queries.record_start(
            self.target, self._request, self._deadline - self.started_at
        )
        self._occupancy.record_probe(self.target.name, self.started_at)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: object,
    ) -> None:
        self._occupancy.end(self.target.name)
        self._load_queries.record_end(
            self.target,
            self._request,
            self._reported_count,
            self.latency_ratio,
            self._make_sample(),
        )
        if isinstance(error, asyncio.CancelledError):
            self._record_no_response()
        if self._connection is not None:
            self._pool.release(self.target.address, self._connection)

    def _notify_contention(self) -> None:
        if self._is_contention_unexpected:
            age = self._timers.now() - self.head_received_at
            self._load_queries.notify_contention(
                self.target, self.contention, age
            )

    def _make_sample(self) -> target_load.Sample | None:
        if self.contention is None and self.pace is None:
            return None
        age = self._timers.now() - self.head_received_at
        return target_load.Sample(self.contention, age, self.pace)

    def _record_no_response(self) -> None:
        """Count a cancelled attempt as a failure if there was no response."""
        now = self._timers.now()
        if not self.has_head and now - self.started_at > NO_RESPONSE_SECONDS:
            self._occupancy.record_outcome(self.target.name, False, now)

    async def send(
        self,
        call: messages.Call,
        options: messages.ForwardOptions,
        must_run_once: bool,
    ) -> client.Head:
        """Send the request and return the head of the response.

        Raise ``NotExecutedError`` or a ``TransportError``; on ``NotSent``, no
        byte was sent. ``must_run_once`` restricts the choice of pooled
        connections to recently used ones.
        """
        connection = await self._pool.acquire(
            self.target.address,
            MAX_IDLE_BEFORE_UNSAFE_SECONDS if must_run_once else None,
            call.request,
        )
        self._connection = connection
        connection.expected = self._expected
        connection.send(
            call.method,
            call.target,
            # Not kept while the response is waited for.
            self._dialect.encode_call(call, options),
            call.body,
            lambda head: self._accepts(call, head),
            call.request,
        )
        self.is_sent = True
        head = await connection.read_head()
        self.has_head = True
        self.head_received_at = self._timers.now()
        metadata = self._read_metadata(head)
        if metadata.request is None and connection.named_request_count > 1:
            # It may be a second response to any earlier request.
            raise client.BadAnswer('the response names no request')
        if metadata.is_not_executed or (
            head.status == http.HTTPStatus.MISDIRECTED_REQUEST
        ):
            # The connection can be reused only after a complete response.
            await connection.read_body()
            raise NotExecutedError(head.status)
        if not metadata.is_signed and head.status < _FIRST_NON_SUCCESS_STATUS:
            raise client.BadAnswer('the response is not signed')
        if connection.is_unframed:
            self._watch_end(connection)
        return head

    def _watch_end(self, connection: client.Connection) -> None:
        """Have the end of a response without a length checked."""

        def begin_check() -> None:
            self._end_check = self._response_ends.begin(
                response_ends_module.EndedResponse(
                    self._request,
                    self.target,
                    connection.ended_at,
                    self._deadline,
                )
            )

        if connection.ending is client.Ending.CONNECTION:
            begin_check()
            return
        connection.on_unmarked_end = begin_check
        self._response_ends.prepare(self.target.address, connection)

    @property
    def waits_for_memory(self) -> bool:
        """Whether the response is not read because memory is short."""
        return (
            self._connection is not None and self._connection.waits_for_memory
        )

    @property
    def ending(self) -> client.Ending | None:
        """What ended the response, ``None`` if it is not complete."""
        return None if self._connection is None else self._connection.ending

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, b'' at the end.

        Raise ``ConnectionLost`` if the end of the target's process has cut
        the response short.
        """
        chunk = await self._connection.read_chunk()
        if not chunk:
            self.ended_at = self._timers.now()
            await self._confirm_end()
        else:
            self.last_chunk_at = self._timers.now()
            if not self.first_chunk_at:
                self.first_chunk_at = self.last_chunk_at
                self._notify_contention()
        return chunk

    async def read_body(self) -> bytes:
        """Return the whole body; raise as ``read_chunk`` does."""
        body = await self._connection.read_body()
        self.ended_at = self._timers.now()
        await self._confirm_end()
        return body

    async def _confirm_end(self) -> None:
        if self._end_check is not None:
            await asyncio.shield(self._end_check)

    def _accepts(self, call: messages.Call, head: client.Head) -> bool:
        # A duplicate response to an earlier request carries that request's ID.
        request = self._dialect.decode_answer(head).request
        if request is None or request == call.request:
            return True
        self._on_skipped()
        return False

    def _read_metadata(self, head: client.Head) -> messages.ResponseMetadata:
        metadata = self._dialect.decode_answer(head)
        if metadata.is_load_malformed:
            self._load_queries.record_malformed_report(self.target)
        if metadata.load is not None:
            self.contention = metadata.load.contention
            self._is_contention_unexpected = self._load_queries.record_report(
                self.target, self.contention
            )
            report = occupancy.LoadReport(*metadata.load[:3])
            # For successful streams, the count would be outdated by their end.
            if head.status >= _FIRST_NON_SUCCESS_STATUS:
                self._reported_count = (
                    metadata.load.running + metadata.load.waiting
                )
            self._occupancy.record_report(
                self.target.name, report, self._timers.now()
            )
        return metadata
