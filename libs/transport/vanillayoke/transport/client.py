"""HTTP/1.1 towards targets, the store and peers.

What callers of this module have to know of a failure is whether the request
may have run: ``NotSent`` says that no byte of it has left, every other error
leaves that open.
"""

import asyncio
import socket
import typing

import httptools

from vanillayoke.transport import headers as headers_module

# An idle connection without a stated lifetime is used again for so long.
# Servers close idle ones after seconds; a request that crosses the close of
# its connection is lost, and one that must not run twice with it.
DEFAULT_IDLE = 2.0
# The stated lifetime runs from the server's last byte, ours from when we
# read it; the last second of it is not used.
IDLE_MARGIN = 1.0
# What must not be sent twice goes over connections that rested for no more
# than this share of the time that the server stated: it is the server's word,
# and far from its end no close can cross the request.
STATED_SHARE = 0.5
# Sent bytes that the other end does not acknowledge for so long end the
# connection: cables that were cut answer nothing. Milliseconds.
UNACKNOWLEDGED_MS = 2000


class TransportError(Exception):
    """A request was not answered whole."""


class NotSent(TransportError):
    """No byte of the request has left: it has not run."""


class ConnectionLost(TransportError):
    """The connection broke behind the request; it may have run."""


class BadAnswer(TransportError):
    """What came is not an answer; the request may have run."""


class TimedOut(TransportError):
    """No progress within the time allowed; the request may have run."""


class Head(typing.NamedTuple):
    """Status and fields of an answer."""

    status: int
    headers: headers_module.Headers

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a field; ``name`` in lower case."""
        return headers_module.find_header(self.headers, name)


Acceptor = typing.Callable[[Head], bool]


class Connection(asyncio.Protocol):
    """One connection with at most one request under way.

    An answer that the acceptor declines is skipped: a faulty server may send
    a second answer to an earlier request, which arrives where the answer to
    this one is expected. The connection is not used again then.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._wakeup = asyncio.Event()
        self.is_closed = False
        self.is_clean = True
        self.idle_until = 0.0
        self.rested_at = 0.0
        self.server_idle: float | None = None
        self._is_busy = False
        self._accept: Acceptor | None = None
        self.head: Head | None = None
        self._reset()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            _tune(sock)

    def connection_lost(self, error: Exception | None) -> None:
        self.is_closed = True
        self._wakeup.set()

    def eof_received(self) -> bool:
        is_open = self._is_busy and not self._is_complete
        if is_open and self.head is not None and not self._has_length:
            # An answer without a length ends with its connection. A reset
            # does not come here, so what was reset never looks complete.
            self._is_complete = not self._is_chunked
        self.is_closed = True
        self._wakeup.set()
        return False

    def data_received(self, data: bytes) -> None:
        if not self._is_busy or self._is_complete:
            # Bytes that nobody asked for belong to no request.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._is_bad = True
            self.abort()
        self._wakeup.set()

    # Called by the parser

    def on_message_begin(self) -> None:
        if self._is_complete:
            self.is_clean = False
        self._fields: headers_module.Headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._is_complete:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        head = Head(status, self._fields)
        if self._accept is not None and not self._accept(head):
            self.is_clean = False
            self._is_skipping = True
            return
        self.head = head
        coding = head.find(b'transfer-encoding')
        self._is_chunked = coding is not None
        self._has_length = head.find(b'content-length') is not None
        if not self._parser.should_keep_alive():
            self.is_clean = False
        self._note_lifetime(head)

    def on_body(self, body: bytes) -> None:
        if not self._is_skipping and not self._is_complete:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        if self._is_skipping:
            self._is_skipping = False
        elif self.head is not None:
            self._is_complete = True

    # Called by users

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: headers_module.Headers,
        body: bytes,
        accept: Acceptor | None = None,
    ) -> None:
        """Send a request; raise ``NotSent`` if the connection is gone."""
        if self.is_closed or self._transport.is_closing():
            raise NotSent('the connection is closed')
        self._reset()
        self._is_busy = True
        self._accept = accept
        lines = [b'%b %b HTTP/1.1\r\n' % (method, target)]
        for name, value in headers:
            lines.append(b'%b: %b\r\n' % (name, value))
        if body or method not in (b'GET', b'HEAD', b'DELETE'):
            lines.append(b'Content-Length: %d\r\n' % len(body))
        lines.append(b'\r\n')
        lines.append(body)
        self._transport.write(b''.join(lines))

    async def read_head(self) -> Head:
        """Return the head of the answer."""
        while self.head is None:
            self._raise_if_over()
            await self._wait()
        return self.head

    async def read_chunk(self) -> bytes:
        """Return what came of the body, b'' at its end."""
        while not self._chunks:
            if self._is_complete:
                return b''
            self._raise_if_over()
            await self._wait()
        data = b''.join(self._chunks)
        self._chunks.clear()
        return data

    async def read_body(self) -> bytes:
        """Return the whole body."""
        parts = []
        while data := await self.read_chunk():
            parts.append(data)
        return b''.join(parts)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may go over this connection."""
        return self._is_complete and self.is_clean and not self.is_closed

    def rest(self) -> None:
        """Mark the connection idle: bytes that come now close it."""
        self._is_busy = False

    def abort(self) -> None:
        """Drop the connection at once, with what is under way on it."""
        self.is_closed = True
        self.is_clean = False
        if self._transport is not None:
            self._transport.abort()

    # Inside

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.head = None
        self._fields = []
        self._chunks: list[bytes] = []
        self._is_complete = False
        self._is_skipping = False
        self._is_bad = False
        self._is_chunked = False
        self._has_length = False

    def _raise_if_over(self) -> None:
        if self._is_bad:
            raise BadAnswer('what came is not an answer')
        if self.is_closed:
            raise ConnectionLost('the connection broke before the end')

    async def _wait(self) -> None:
        self._wakeup.clear()
        await self._wakeup.wait()

    def _note_lifetime(self, head: Head) -> None:
        stated = head.find(b'keep-alive')
        if stated is None:
            return
        for part in stated.split(b','):
            name, _, value = part.strip().partition(b'=')
            if name.lower() == b'timeout' and value.strip().isdigit():
                self.server_idle = max(0.0, float(value) - IDLE_MARGIN)


class Pool:
    """Connections to addresses, used again while they are clean and young.

    ``on_opened`` is called with each new connection's address.
    """

    def __init__(
        self,
        connect_timeout: float,
        on_opened: typing.Callable[[str], None] = lambda address: None,
    ) -> None:
        self._connect_timeout = connect_timeout
        self._on_opened = on_opened
        self._idle: dict[str, list[Connection]] = {}

    async def acquire(self, address: str, idle: float | None = None):
        """Return a connection to ``IP:PORT``; raise ``NotSent`` if none.

        ``idle`` bounds, in seconds, how long a kept one may have rested; one
        whose server stated how long it keeps it may have rested longer.
        """
        kept = self._take_kept(address, idle)
        if kept is not None:
            return kept
        return await self.open(address)

    async def open(self, address: str) -> Connection:
        """Return a new connection; raise ``NotSent`` if there is none."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._on_opened(address)
        try:
            async with asyncio.timeout(self._connect_timeout):
                _, connection = await loop.create_connection(
                    Connection, host, int(port)
                )
        except TimeoutError:
            raise NotSent(f'no connection to {address} in time') from None
        except (OSError, ValueError) as error:
            raise NotSent(f'no connection to {address}: {error}') from error
        return connection

    def release(self, address: str, connection: Connection) -> None:
        """Keep a connection for the next request, or drop it."""
        if not connection.is_reusable:
            connection.abort()
            return
        connection.rest()
        idle = connection.server_idle
        now = asyncio.get_running_loop().time()
        connection.rested_at = now
        connection.idle_until = now + (DEFAULT_IDLE if idle is None else idle)
        self._idle.setdefault(address, []).append(connection)

    def _take_kept(
        self, address: str, idle: float | None
    ) -> Connection | None:
        now = asyncio.get_running_loop().time()
        kept = self._idle.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.is_closed or now >= connection.idle_until:
                connection.abort()
                continue
            if idle is not None:
                stated = connection.server_idle or 0.0
                longest = max(idle, STATED_SHARE * stated)
                if now - connection.rested_at > longest:
                    connection.abort()
                    continue
            return connection
        return None

    def prune(self) -> None:
        """Drop the idle connections whose time is over."""
        now = asyncio.get_running_loop().time()
        for address, kept in list(self._idle.items()):
            for connection in kept:
                if connection.is_closed or now >= connection.idle_until:
                    connection.abort()
            left = [one for one in kept if not one.is_closed]
            if left:
                self._idle[address] = left
            else:
                del self._idle[address]

    def drop(self, address: str) -> None:
        """Drop the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close(self) -> None:
        """Drop all idle connections."""
        for kept in self._idle.values():
            for connection in kept:
                connection.abort()
        self._idle.clear()


def _tune(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    option = getattr(socket, 'TCP_USER_TIMEOUT', None)
    if option is not None:
        sock.setsockopt(socket.IPPROTO_TCP, option, UNACKNOWLEDGED_MS)
