"""HTTP/1.1 server: complete requests in, streamed responses out.

The handler is called with a complete request and a responder. It runs as a
task that is cancelled when the client disconnects. Pipelined requests are
handled one at a time.
"""

import asyncio
import http
import typing

from vanillayoke.core import memory as memory_module
from vanillayoke.transport import evictions
from vanillayoke.transport import responses
from vanillayoke.transport import server_connection
from vanillayoke.transport import sockets

# Names that handlers need.
Request = server_connection.Request
Responder = responses.Responder
Limits = server_connection.Limits

# Under memory pressure a caller that took no byte for this time is
# disconnected. Callers give up after 2 s without an event, so it no longer
# reads; those that read slowly take some bytes at least every few seconds,
# since the receiver's window opens in steps of up to 64 KB.
MAX_STALL_SECONDS = 5.0
# If the account is full, the caller with the most unsent bytes that took none
# for this time is disconnected.
FULL_STALL_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.1
# Of connections that the kernel keeps until they are accepted.
BACKLOG = 1024
# Of the most connections, how many are accepted at a time. Each needs a
# descriptor before it can be closed for being one too many.
ACCEPTED_RATIO = 1 / 8
# Of what is written and not sent, where memory is not limited.
WRITE_BUFFER_BYTES = 256 * 1024


class StalledCaller(typing.NamedTuple):
    """A caller that was disconnected because it took none of its response.

    ``request`` is the latest request that a response was sent to, and
    ``seconds`` is the time for which it took nothing.
    """

    address: str
    request: str
    unsent_bytes: int
    seconds: float


# Called with the state of a connection that was closed for a new one, ``None``
# if it was the new one.
OnEvicted = typing.Callable[[evictions.State | None], None]
Handler = typing.Callable[
    [Request, Responder], typing.Coroutine[typing.Any, typing.Any, None]
]


class HttpServer:
    """Listens on addresses and passes requests to a handler.

    ``on_failure`` is called with exceptions that a handler raises,
    ``on_refused`` with the status of each invalid or timed-out request. Where
    ``memory`` is limited, ``on_body_refused`` is called with the size of each
    body without room, and ``on_stalled`` with each disconnected caller.

    With ``max_connections``, others are closed to make room for new ones, and
    ``on_evicted`` is called each time.
    """

    def __init__(
        self,
        handler: Handler,
        on_failure: typing.Callable[[BaseException], None],
        on_refused: typing.Callable[[http.HTTPStatus], None],
        memory: memory_module.Account | None = None,
        on_body_refused: typing.Callable[[int], None] = lambda size: None,
        on_stalled: typing.Callable[[StalledCaller], None] = (
            lambda caller: None
        ),
        max_connections: int | None = None,
        on_evicted: OnEvicted = lambda state: None,
    ) -> None:
        self.limits = Limits()
        self.connections: set[server_connection.Connection] = set()
        self.is_draining = False
        self.is_closed = False
        self.on_failure = on_failure
        self.on_refused = on_refused
        self.handle = handler
        self.memory = memory
        self.on_body_refused = on_body_refused
        self._on_stalled = on_stalled
        self.max_connections = max_connections
        self._on_evicted = on_evicted
        self.evictions = evictions.Evictions()
        # Connections with unsent bytes or with requests that wait.
        self._checked: set[server_connection.Connection] = set()
        self._check_timer: asyncio.TimerHandle | None = None
        self._servers: list[asyncio.Server] = []

    @property
    def buffer_bytes(self) -> int:
        """From how many unsent bytes on a handler has to wait."""
        if self.memory is None:
            return WRITE_BUFFER_BYTES
        return self.memory.buffer_bytes

    async def listen(self, host: str, port: int) -> None:
        """Accept connections on an address."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: server_connection.Connection(self),
            host,
            port,
            # The event loop accepts as many at a time.
            backlog=self._find_accepted_at_once(),
        )
        sockets.set_backlog(server, BACKLOG)
        self._servers.append(server)

    def _find_accepted_at_once(self) -> int:
        if self.max_connections is None:
            return BACKLOG
        share = int(ACCEPTED_RATIO * self.max_connections)
        return max(1, min(BACKLOG, share))

    def make_room(self) -> bool:
        """Close a connection if the newest one is one too many.

        Return ``False`` if that is to be closed, since all others are busy.
        """
        has_many = (
            self.max_connections is not None
            and len(self.connections) > self.max_connections
        )
        is_full = (
            self.memory is not None
            and self.memory.total > self.memory.capacity
        )
        if not has_many and not is_full:
            return True
        found = self.evictions.pop()
        if found is None:
            self._on_evicted(None)
            return False
        connection, state = found
        self._on_evicted(state)
        connection.evict()
        return True

    @property
    def active_connections(self) -> int:
        """The number of connections with a request or a response.

        The latter is counted until the client has received it or the
        connection has lingered long enough.
        """
        return sum(connection.is_active for connection in self.connections)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True

    def stop_listening(self) -> None:
        """Accept no connections, and close those without a request.

        The others are closed after their response.
        """
        self.drain()
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            if not connection.is_active:
                connection.close()

    def interrupt(self) -> int:
        """Cancel all handlers, and refuse requests that are being read.

        Handlers may still respond. Return the number of handlers.
        """
        return sum(
            connection.interrupt() for connection in list(self.connections)
        )

    def close(self) -> None:
        """Stop listening, and close all connections.

        Unsent bytes are sent as long as the event loop runs.
        """
        self.stop_listening()
        self.is_closed = True
        for connection in list(self.connections):
            connection.close()

    # Where memory is limited

    def check_later(self, connection: server_connection.Connection) -> None:
        """Check a connection regularly until it needs no check."""
        self._checked.add(connection)
        if self._check_timer is None:
            self._check_timer = asyncio.get_running_loop().call_later(
                CHECK_INTERVAL_SECONDS, self._check
            )

    def forget(self, connection: server_connection.Connection) -> None:
        """Do not check a connection any more."""
        self._checked.discard(connection)

    def _check(self) -> None:
        self._check_timer = None
        now = asyncio.get_running_loop().time()
        for connection in list(self._checked):
            if not connection.check(now):
                self.forget(connection)
        if self.memory is not None and self.memory.is_under_pressure:
            self._disconnect_stalled(now)
        if self.memory is not None and self.memory.take_refusal():
            self._disconnect_slowest(now)
        for connection in list(self._checked):
            self.check_later(connection)

    def _disconnect_stalled(self, now: float) -> None:
        """Disconnect callers that do not read, the largest first."""
        by_size = sorted(
            self._checked,
            key=lambda connection: connection.unsent_bytes,
            reverse=True,
        )
        excess = self.memory.excess
        is_full = self.memory.total > self.memory.capacity
        bound = FULL_STALL_SECONDS if is_full else MAX_STALL_SECONDS
        for connection in by_size:
            if excess <= 0:
                return
            seconds = now - connection.last_progress_at
            if connection.unsent_bytes and seconds >= bound:
                excess -= connection.unsent_bytes
                self._disconnect(connection, seconds)

    def _disconnect_slowest(self, now: float) -> None:
        """Disconnect the caller that has been behind for longest.

        Callers that take a little now and then never stall. Together they can
        fill the account, so that the requests of others are refused.
        """
        behind = [
            connection
            for connection in self._checked
            if connection.unsent_bytes
            and now - connection.behind_since >= MAX_STALL_SECONDS
        ]
        if behind:
            slowest = min(behind, key=lambda one: one.behind_since)
            self._disconnect(slowest, now - slowest.last_progress_at)

    def _disconnect(
        self, connection: server_connection.Connection, seconds: float
    ) -> None:
        self._on_stalled(
            StalledCaller(
                connection.address,
                connection.request_name,
                connection.unsent_bytes,
                seconds,
            )
        )
        connection.abort()
