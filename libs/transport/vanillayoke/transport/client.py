"""HTTP/1.1 client for targets, the store and other instances.

The exceptions tell whether the request may have run: ``NotSent`` means that
no byte of it was sent; after any other error it may have been processed.
"""

import array
import asyncio
import enum
import socket
import typing

import httptools

from vanillayoke.core import memory as memory_module
from vanillayoke.transport import headers as headers_module
from vanillayoke.transport import sockets

# Subtracted from the server's Keep-Alive timeout, which starts earlier than
# the client's: when the server sends its last byte.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
# Ends connections whose sent data is not acknowledged, as after a network
# failure that closes no connection.
TCP_USER_TIMEOUT_MS = 2000
# A connection is closed after this many named requests. It remembers them all,
# which takes 8 bytes each.
MAX_NAMED_REQUESTS = 256
# Of a response: its status line and header fields, all informational responses
# before it, and what comes between two parts of the body, such as the
# extensions of chunks and trailers.
MAX_HEAD_BYTES = 64 * 1024
MAX_HEAD_FIELDS = 256
# Of a body that is read as a whole.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Of the body of a response that is skipped.
MAX_SKIPPED_BYTES = 1024 * 1024
# Beyond this, the rest of a body is not received until some of it is read.
MAX_BUFFERED_BYTES = 256 * 1024
# The least size that leaves the last part of the account to small bodies.
_LARGE_BYTES = memory_module.LARGE_BYTES + 1


class TransportError(Exception):
    """A request did not receive a complete response."""


class NotSent(TransportError):
    """No byte of the request was sent, so it has not run."""


class ConnectionRefused(NotSent):
    """No process listens at the address."""


class ConnectionLost(TransportError):
    """The connection closed after the request was sent; it may have run."""


class BadAnswer(TransportError):
    """The response is invalid; the request may have run."""


class TimedOut(TransportError):
    """The request timed out; it may have run."""


class Ending(enum.Enum):
    """What marked the end of a response."""

    LENGTH = 'length'
    LAST_CHUNK = 'last_chunk'
    # A response with neither a length nor chunks ends with its connection, and
    # so does one that the end of the server's process cuts short.
    CONNECTION = 'connection'
    # There is no body, by the status or since the request was HEAD.
    HEAD = 'head'


class Head(typing.NamedTuple):
    """Status and header fields of a response."""

    status: int
    headers: headers_module.Headers

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header field.

        ``name`` is in lower case.
        """
        return headers_module.find_header(self.headers, name)


Acceptor = typing.Callable[[Head], bool]
OnClosed = typing.Callable[['Connection', bool], None]


class Connection(asyncio.Protocol):
    """A connection with at most one request in progress.

    Responses that ``accept`` rejects are skipped: a faulty server may send a
    second response to an earlier request. The connection is not reused
    afterwards. Such a response may also come late, so a connection carries no
    two requests of one name: ``accept`` could not tell their responses apart.

    A response whose head or whose body is too long closes the connection and
    raises ``BadAnswer``.

    Responses are held in the account ``memory``, if there is one, until the
    connection is idle or closed. ``expected`` is what was reserved for the
    response before its size was known.

    ``on_closed`` is called once when the connection has closed, with whether
    the end of the peer's process may have closed it. Times are those of the
    event loop.
    """

    def __init__(
        self,
        memory: memory_module.Account | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
        on_closed: OnClosed = lambda connection, is_broken: None,
    ) -> None:
        self._memory = memory
        self._on_closed = on_closed
        self.opened_at = 0.0
        # When the last bytes arrived.
        self.received_at = 0.0
        # When the peer closed the connection.
        self.ended_at = 0.0
        # Called when a response without a length has ended.
        self.on_unmarked_end: typing.Callable[[], None] | None = None
        self._max_body_bytes = max_body_bytes
        self._max_buffered_bytes = MAX_BUFFERED_BYTES
        if memory is not None:
            self._max_buffered_bytes = memory.buffer_bytes
        self.expected: memory_module.Reservation | None = None
        self._held_bytes = 0
        # Whether the memory for the whole response is held.
        self._is_reserved = False
        self._is_paused = False
        self._unread_bytes = 0
        self._waiter: memory_module.Waiter | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._wakeup = asyncio.Event()
        self.is_closed = False
        self._is_reset = False
        self.is_clean = True
        self.idle_deadline = 0.0
        self.idle_since = 0.0
        self.keep_alive_seconds: float | None = None
        self._is_busy = False
        self._is_named = False
        self._is_head_request = False
        # Hashes of the names of all requests so far.
        self._names = array.array('q')
        self._accept: Acceptor | None = None
        self.head: Head | None = None
        self._reset()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self.opened_at = self._loop.time()
        sock = transport.get_extra_info('socket')
        if sock is not None:
            _set_socket_options(sock)
        if self._memory is not None:
            sockets.limit_receiving(
                transport,
                self._memory.buffer_bytes,
                self._memory.receive_buffer_bytes,
            )

    def connection_lost(self, error: Exception | None) -> None:
        self._is_reset = error is not None
        # A server resets a connection that is one too many, and drops idle
        # ones without notice. A process that ends closes them.
        is_cut = self._is_busy and self._is_named and not self._is_complete
        self._mark_closed(is_broken=error is None or is_cut)
        self._wakeup.set()

    def eof_received(self) -> bool:
        is_open = self._is_busy and not self._is_complete
        if is_open and self.head is not None and not self._has_length:
            # A response without a length is delimited by the end of the
            # connection. A reset does not call eof_received, so a response
            # that was reset is never taken as complete.
            self._is_complete = not self._is_chunked
            if self._is_complete:
                self.ending = Ending.CONNECTION
        self.ended_at = self._loop.time()
        is_announced = self._is_complete and not self.is_clean
        self._mark_closed(is_broken=not is_announced)
        if self.ending is Ending.CONNECTION and self.on_unmarked_end:
            self.on_unmarked_end()
        self._wakeup.set()
        return False

    def data_received(self, data: bytes) -> None:
        if not self._is_busy or self._is_complete:
            # These bytes belong to no request.
            self.abort()
            return
        self.received_at = self._loop.time()
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail('the response is not valid HTTP')
        if self._overhead_bytes > MAX_HEAD_BYTES and not self._is_complete:
            self._fail('the head of the response is too long')
        self._update_reading()
        self._wakeup.set()

    # Called by the parser

    def on_message_begin(self) -> None:
        if self._is_complete:
            self.is_clean = False
        self._fields: headers_module.Headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_complete:
            return
        self._field_count += 1
        self._field_bytes += len(name) + len(value)
        if (
            self._field_count > MAX_HEAD_FIELDS
            or self._field_bytes > MAX_HEAD_BYTES
        ):
            self._fail('the head of the response is too long')
        # Later fields are trailers, which are dropped.
        elif self.head is None:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        if self._is_complete or self._failure:
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
        self._is_chunked = coding not in (None, b'identity')
        length = head.find(b'content-length')
        self._has_length = length is not None
        if length is not None and length.isdigit():
            self._content_length = int(length)
        if not self._parser.should_keep_alive():
            self.is_clean = False
        self._read_keep_alive(head)
        if self._is_head_request:
            self._is_complete = True
            self.is_clean = False
            self.ending = Ending.HEAD
        elif self._memory is not None:
            self._hold_response(self._memory)

    def on_body(self, body: bytes) -> None:
        if self._is_skipping:
            self._skipped_bytes += len(body)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                self._fail('a response to another request is too long')
        self._overhead_bytes = 0
        if not self._is_skipping and not self._is_complete:
            self._chunks.append(body)
            self._buffered_bytes += len(body)
            if self._memory is not None and not self._is_reserved:
                self._hold_chunk(self._memory, len(body))

    def on_message_complete(self) -> None:
        if self._is_skipping:
            self._is_skipping = False
        elif self.head is not None and not self._failure:
            self._is_complete = True
            self.ending = self._find_ending()

    # Public interface

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: headers_module.Headers,
        body: bytes,
        accept: Acceptor | None = None,
        name: str = '',
    ) -> None:
        """Send a request; raise ``NotSent`` if the connection is closed.

        ``name`` identifies the request to the server; '' if nothing does.
        """
        if self.is_closed or self._transport.is_closing():
            raise NotSent('the connection is closed')
        self._reset()
        if name:
            self._names.append(hash(name))
        self._is_busy = True
        self._is_named = bool(name)
        self._is_head_request = method == b'HEAD'
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
        """Return the status and header of the response."""
        while self.head is None:
            self._raise_if_failed()
            await self._wait()
        return self.head

    async def read_chunk(self) -> bytes:
        """Return the body bytes received so far, b'' at the end."""
        data = await self._take_chunk()
        if self._memory is not None and not self._is_reserved:
            self._add_memory(self._memory, -len(data))
            if self._held_bytes <= memory_module.LARGE_BYTES:
                self._stop_waiting(self._memory)
        return data

    async def _take_chunk(self) -> bytes:
        while not self._chunks:
            if self._is_complete:
                return b''
            self._raise_if_failed()
            await self._wait()
        data = b''.join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        self._update_reading()
        return data

    async def read_body(self) -> bytes:
        """Return the whole body; raise ``BadAnswer`` if it is too long."""
        size = self._content_length or 0
        if size <= self._max_body_bytes:
            size = 0
            while data := await self._take_chunk():
                self._body_parts.append(data)
                size += len(data)
                # The connection counts its parts; the traceback of an error
                # would keep those of a local variable.
                del data
                if size > self._max_body_bytes:
                    break
        if size > self._max_body_bytes:
            self._fail('the body of the response is too long')
            self._body_parts.clear()
            self._raise_if_failed()
        body = b''.join(self._body_parts)
        self._body_parts.clear()
        return body

    @property
    def is_unframed(self) -> bool:
        """Whether the response ends with its connection only."""
        return (
            self.head is not None
            and self.ending in (None, Ending.CONNECTION)
            and not (self._has_length or self._is_chunked)
        )

    @property
    def is_receiving(self) -> bool:
        """Whether a response is under way, and its end would be noticed."""
        return self._is_busy and not self._is_complete and not self._is_paused

    @property
    def is_drained(self) -> bool:
        """Whether it is open, and all has been read that was sent on it."""
        return (
            not self.is_closed
            and not self._is_paused
            and sockets.is_drained(self._transport)
        )

    @property
    def waits_for_memory(self) -> bool:
        """Whether the response is not read because memory is short."""
        return self._waiter is not None

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self._is_complete
            and self.is_clean
            and not self.is_closed
            and len(self._names) < MAX_NAMED_REQUESTS
        )

    @property
    def named_request_count(self) -> int:
        """The number of requests with a name sent on this connection."""
        return len(self._names)

    def has_carried(self, name: str) -> bool:
        """Return whether a request of this name may have been sent on it."""
        return bool(name) and hash(name) in self._names

    def mark_idle(self) -> None:
        """Mark the connection idle; data received while idle closes it."""
        self._is_busy = False
        self._drop_exchange()
        self._update_reading()
        self._release_memory()

    def abort(self) -> None:
        """Close the connection at once, without finishing its request."""
        self._drop_exchange()
        self._close()

    def _drop_exchange(self) -> None:
        """Forget the request and the response.

        ``accept`` refers to the request with its body, and the connection may
        stay until a full garbage collection.
        """
        self._accept = None
        self._chunks.clear()
        self._body_parts.clear()
        self._buffered_bytes = 0

    def _close(self) -> None:
        self._mark_closed(is_broken=False)
        self.is_clean = False
        self._release_memory()
        if self._transport is not None:
            self._transport.abort()

    # Memory

    def _hold_response(self, memory: memory_module.Account) -> None:
        """Hold memory for a response; pause reading if there is none.

        Small responses are read at once.
        """
        if self.expected is not None:
            self.expected.release()
        size = self._content_length
        # What is too long for a whole response is held as it arrives.
        if size is None or size > self._max_body_bytes:
            return
        self._is_reserved = True
        if size <= memory_module.LARGE_BYTES or memory.has_room(
            memory_module.Kind.TARGETS, size
        ):
            self._add_memory(memory, size)
        else:
            self._wait_for_memory(memory, size)

    def _hold_chunk(self, memory: memory_module.Account, size: int) -> None:
        """Hold memory for a part of a response of unknown length.

        Only responses whose caller is slow are not read at once.
        """
        self._add_memory(memory, size)
        if (
            self._held_bytes > memory_module.LARGE_BYTES
            and self._waiter is None
            and not memory.has_room(memory_module.Kind.TARGETS, _LARGE_BYTES)
        ):
            self._wait_for_memory(memory, 0)

    def _wait_for_memory(
        self, memory: memory_module.Account, size: int
    ) -> None:
        def read_on() -> None:
            self._waiter = None
            self._add_memory(memory, size)
            self._update_reading()

        self._waiter = memory.wait(
            memory_module.Kind.TARGETS, max(_LARGE_BYTES, size), read_on
        )
        if self._waiter is None:
            self._add_memory(memory, size)
            return
        self._update_reading()

    def _stop_waiting(self, memory: memory_module.Account) -> None:
        if self._waiter is not None:
            memory.cancel(self._waiter)
            self._waiter = None
            self._update_reading()

    def _update_reading(self) -> None:
        """Receive no more while memory is short or much is unread."""
        if self._transport is None or self._transport.is_closing():
            return
        must_pause = (
            self._waiter is not None
            or self._buffered_bytes > self._max_buffered_bytes
        )
        if must_pause and not self._is_paused:
            self._transport.pause_reading()
        elif self._is_paused and not must_pause:
            self._transport.resume_reading()
        self._is_paused = must_pause
        # One that waits for memory would wait for what it is charged, too.
        self._hold_unread(must_pause and self._waiter is None)

    def _hold_unread(self, is_paused: bool) -> None:
        """Hold memory for what the kernel receives for a slow caller."""
        if self._memory is None:
            return
        size = self._memory.receive_buffer_bytes if is_paused else 0
        if size != self._unread_bytes:
            self._memory.add(
                memory_module.Kind.TARGETS, size - self._unread_bytes
            )
            self._unread_bytes = size

    def _add_memory(self, memory: memory_module.Account, size: int) -> None:
        self._held_bytes += size
        memory.add(memory_module.Kind.TARGETS, size)

    def _release_memory(self) -> None:
        if self._memory is not None:
            self.expected = None
            self._stop_waiting(self._memory)
            self._add_memory(self._memory, -self._held_bytes)
            self._hold_unread(False)

    # Internals

    def _mark_closed(self, is_broken: bool) -> None:
        if not self.is_closed:
            self.is_closed = True
            self._on_closed(self, is_broken)

    def _reset(self) -> None:
        self._is_reserved = False
        self._parser = httptools.HttpResponseParser(self)
        self.head = None
        # What ended the response, None until it is complete.
        self.ending: Ending | None = None
        self._fields = []
        self._chunks: list[bytes] = []
        # What has been read of a body that is read as a whole.
        self._body_parts: list[bytes] = []
        self._is_complete = False
        self._is_skipping = False
        self._failure = ''
        self._overhead_bytes = 0
        self._field_count = 0
        self._field_bytes = 0
        self._skipped_bytes = 0
        self._buffered_bytes = 0
        self._content_length: int | None = None
        self._is_chunked = False
        self._has_length = False

    def _find_ending(self) -> Ending:
        if self._is_chunked:
            return Ending.LAST_CHUNK
        return Ending.LENGTH if self._has_length else Ending.HEAD

    def _raise_if_failed(self) -> None:
        if self._failure:
            raise BadAnswer(self._failure)
        if self.is_closed:
            how = 'reset' if self._is_reset else 'closed'
            raise ConnectionLost(f'connection {how} before the response ended')

    def _fail(self, detail: str) -> None:
        """Close the connection, as its response can't be used."""
        self._failure = self._failure or detail
        self._close()

    async def _wait(self) -> None:
        self._wakeup.clear()
        await self._wakeup.wait()

    def _read_keep_alive(self, head: Head) -> None:
        field = head.find(b'keep-alive')
        if field is None:
            return
        for parameter in field.split(b','):
            name, _, value = parameter.strip().partition(b'=')
            if name.lower() == b'timeout' and value.strip().isdigit():
                self.keep_alive_seconds = max(
                    0.0, float(value) - KEEP_ALIVE_MARGIN_SECONDS
                )


def _set_socket_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    option = getattr(socket, 'TCP_USER_TIMEOUT', None)
    if option is not None:
        sock.setsockopt(socket.IPPROTO_TCP, option, TCP_USER_TIMEOUT_MS)
