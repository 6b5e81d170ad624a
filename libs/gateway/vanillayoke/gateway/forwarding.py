"""One request at one target: sending it and reading the answer."""

import asyncio
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import load_queries
from vanillayoke.gateway import messages
from vanillayoke.scheduling import occupancy
from vanillayoke.transport import client

# The status of a server that is not the one that was expected.
_MISDIRECTED = 421
_FIRST_FAILURE = 300
# A request that must not run twice goes over a connection only if that has
# been used within this time: the server may close an older one while the
# request is on its way, and then nobody knows whether it ran. Seconds.
MAX_IDLE_BEFORE_UNSAFE_SECONDS = 1.0
# A target that did not begin to answer for so long when its caller gave up
# counts as having failed. Targets begin within some tenths of a second, and
# callers give up after two. Seconds.
NO_RESPONSE_SECONDS = 1.0


class NotExecutedError(Exception):
    """The target did not run the request, and says so."""

    def __init__(self, status: int) -> None:
        super().__init__(f'not executed: {status}')
        self.status = status


class Attempt:
    """A request under way at a target.

    Used as ``async with``: whatever ends the block ends the request at the
    target, unless its answer was read whole.
    """

    def __init__(
        self,
        target: messages.Target,
        request: str,
        deadline: float,
        load_queries: load_queries.LoadQueries,
        pool: client.Pool,
        dialect: dialect_module.Dialect,
        occupancy: occupancy.Occupancy,
        timer_service: timers.TimerService,
    ) -> None:
        self.target = target
        self._request = request
        self._deadline = deadline
        self._load_queries = load_queries
        self._reported: int | None = None
        # Set where the attempt shows how quick the target is.
        self.latency_ratio: float | None = None
        self._pool = pool
        self._dialect = dialect
        self._occupancy = occupancy
        self._timers = timer_service
        self._connection: client.Connection | None = None
        self.is_sent = False
        self.has_head = False
        self.started_at = 0.0
        # When the head of the answer came.
        self.head_received_at = 0.0

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
            self.target, self._request, self._reported, self.latency_ratio
        )
        if isinstance(error, asyncio.CancelledError):
            self._record_no_response()
        if self._connection is not None:
            self._pool.release(self.target.address, self._connection)

    def _record_no_response(self) -> None:
        """Count a request given up on, if the target was silent for long."""
        now = self._timers.now()
        if not self.has_head and now - self.started_at > NO_RESPONSE_SECONDS:
            self._occupancy.record_outcome(self.target.name, False, now)

    async def send(
        self,
        call: messages.Call,
        sending: messages.ForwardOptions,
        is_young: bool,
    ) -> client.Head:
        """Send the request and return the head of the answer.

        Raise ``NotExecutedError`` or a ``TransportError``; after ``NotSent``
        nothing has left. With ``is_young`` only a connection of late is used.
        """
        headers = self._dialect.encode_call(call, sending)
        connection = await self._pool.acquire(
            self.target.address,
            MAX_IDLE_BEFORE_UNSAFE_SECONDS if is_young else None,
        )
        self._connection = connection
        connection.send(
            call.method,
            call.target,
            headers,
            call.body,
            lambda head: self._accepts(call, head),
        )
        self.is_sent = True
        head = await connection.read_head()
        self.has_head = True
        self.head_received_at = self._timers.now()
        facts = self._take_facts(head)
        if facts.is_not_executed or head.status == _MISDIRECTED:
            # Read to its end, so that the connection can be used again.
            await connection.read_body()
            raise NotExecutedError(head.status)
        if not facts.is_signed and head.status < _FIRST_FAILURE:
            raise client.BadAnswer('the answer is not signed')
        return head

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, b'' at its end."""
        return await self._connection.read_chunk()

    async def read_body(self) -> bytes:
        """Return the whole body."""
        return await self._connection.read_body()

    def _accepts(self, call: messages.Call, head: client.Head) -> bool:
        # A late second answer to an earlier request bears that one's id.
        request = self._dialect.decode_answer(head).request
        return request is None or request == call.request

    def _take_facts(self, head: client.Head) -> messages.ResponseMetadata:
        facts = self._dialect.decode_answer(head)
        if facts.load is not None:
            report = occupancy.LoadReport(*facts.load)
            # Old by the time that a stream ends.
            if head.status >= _FIRST_FAILURE:
                self._reported = facts.load.running + facts.load.waiting
            self._occupancy.record_report(
                self.target.name, report, self._timers.now()
            )
        return facts
