"""One connection of the HTTP server: its requests, timeouts and memory."""

import asyncio
import collections
import fcntl
import http
import sys
import termios
import typing

import httptools

from vanillayoke.core import memory as memory_module
from vanillayoke.transport import connection_memory
from vanillayoke.transport import evictions
from vanillayoke.transport import headers as headers_module
from vanillayoke.transport import request_targets
from vanillayoke.transport import responses
from vanillayoke.transport import sockets
from vanillayoke.transport import upgrade_offers

if typing.TYPE_CHECKING:
    from vanillayoke.transport import server as server_module

# Of the requests that are read at once, since the last one that was begun.
MAX_PIPELINED_REQUESTS = 16
# Input is parsed in parts of this size, so that what follows a complete
# request is not held as requests before their turn.
PARSED_BYTES = 2048
# Closing a socket with unread data resets it, and the client could lose the
# response. So the connection stays open for this time after the last one.
LINGER_SECONDS = 0.5


class Request(typing.NamedTuple):
    """A complete request.

    ``closes_connection`` is set if the client asked to close the connection
    after the response. ``version`` is that of HTTP.
    """

    method: bytes
    target: bytes
    headers: headers_module.Fields
    body: bytes
    closes_connection: bool
    version: str = '1.1'

    @property
    def knows_chunks(self) -> bool:
        """Whether the client understands a body in chunks."""
        return self.version >= '1.1'


class Limits(typing.NamedTuple):
    """Limits on request sizes, in bytes, and on times, in seconds.

    ``idle_timeout`` bounds the time between two requests.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Connection(asyncio.Protocol):
    """Reads requests, and passes them to the server's handler one by one.

    At most one complete request waits behind the one that is handled; what
    follows is neither parsed nor, where there is much of it, read. A response
    begins when the caller has taken most of those before.

    Where memory is limited, it holds memory for itself, its requests and its
    unsent bytes, and reads on only when there is memory.
    """

    def __init__(self, server: 'server_module.HttpServer') -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._queue: collections.deque[Request] = collections.deque()
        self._task: asyncio.Task | None = None
        self._responder: responses.Responder | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._is_closing = False
        # Whether the last response is over, and its end is that of the
        # connection.
        self._is_ending_without_length = False
        # Sent after the responses to all requests before the refused one.
        self._error: http.HTTPStatus | None = None
        # Received and not parsed yet.
        self._input = bytearray()
        self._is_parsing = False
        # Whether the parser gets the head of a request once more.
        self._is_repeating_head = False
        self._memory = server.memory
        self._held = connection_memory.ConnectionMemory(
            server.memory, self._update_reading, self._refuse_body
        )
        self._is_paused = False
        # The latest request with a response.
        self.request_name = ''
        self.unsent_bytes = 0
        self._written_bytes = 0
        self._taken_bytes = 0
        self.last_progress_at = 0.0
        # Since when there have been unsent bytes.
        self.behind_since = 0.0
        self._reset_message()

    # Called by the event loop

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=self._server.buffer_bytes)
        self._server.connections.add(self)
        if self._server.is_closed:
            # It was accepted just before.
            self._is_closing = True
            transport.close()
            return
        self._held.open()
        if not self._server.make_room():
            self._is_closing = True
            self.abort()
            return
        self._set_state(evictions.State.IDLE)
        if self._memory is not None:
            sockets.limit_receiving(
                transport,
                self._memory.buffer_bytes,
                self._memory.receive_buffer_bytes,
            )
        self._set_timer(self._server.limits.idle_timeout)

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections.discard(self)
        self._cancel_timer()
        self._can_write.set()
        self._clear_queue()
        self._server.forget(self)
        self._server.evictions.remove(self)
        self._held.release()
        self._memory = None
        self._drop_message()
        # It refers to this connection, too, and such a pair stays until a full
        # garbage collection.
        self._parser = None
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        self._can_write.clear()

    def resume_writing(self) -> None:
        self._can_write.set()
        if self._is_ending_without_length:
            sockets.set_reset_on_close(self._transport, False)
        if self.is_open:
            self._go_on()

    def data_received(self, data: bytes) -> None:
        if self._is_closing:
            return
        self._input += data
        self._parse()

    def _parse(self) -> None:
        """Parse what has been received, up to a request that has to wait."""
        if self._is_parsing:
            return
        self._is_parsing = True
        while self._input and not self._must_wait:
            size = max(PARSED_BYTES, self._missing_body_bytes)
            part = bytes(memoryview(self._input)[:size])
            del self._input[:size]
            self._feed(part)
        self._is_parsing = False
        self._update_reading()

    def _feed(self, data: bytes) -> None:
        was_reading_head = self._is_reading and not self._has_head
        body_size = len(self._body)
        try:
            self._feed_parser(data)
        except httptools.HttpParserError:
            self._refuse(http.HTTPStatus.BAD_REQUEST)
        self._limit_overhead(data, was_reading_head, body_size)
        if self._is_reading and not self._has_head:
            self._held.set_head(max(self._header_size, self._overhead_bytes))

    def _feed_parser(self, data: bytes) -> None:
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as error:
                [end] = error.args
                data = data[end:]
                if self._is_closing:
                    return
                self._repeat_head()

    def _repeat_head(self) -> None:
        """Have a new parser read on behind a head with an offer."""
        head = upgrade_offers.make_plain_head(
            self._parser.get_method(),
            self._parser.get_http_version(),
            self._headers,
        )
        self._parser = httptools.HttpRequestParser(self)
        self._is_repeating_head = True
        self._parser.feed_data(head)

    @property
    def _must_wait(self) -> bool:
        """Whether what has been received must not be parsed yet."""
        return bool(self._queue) or self._held.is_waiting

    @property
    def _missing_body_bytes(self) -> int:
        """How much of a body of known length has not been parsed."""
        return max(0, self._body_length - len(self._body))

    # Called by the parser

    def on_message_begin(self) -> None:
        if self._is_repeating_head:
            return
        self._reset_message()
        self._is_reading = True
        if self._task is None:
            self._set_state(evictions.State.READING)
            self._set_timer(self._server.limits.header_timeout)

    def on_url(self, url: bytes) -> None:
        if self._is_repeating_head:
            return
        self._target += url
        self._limit_header()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_repeating_head:
            return
        if self._has_head:
            self._trailer_size += len(name) + len(value)
        else:
            self._headers.append(name, value)
        self._limit_header()

    def on_headers_complete(self) -> None:
        # Later fields are trailers. They must not be merged into the header
        # (RFC 9110, section 6.5.1) and are dropped.
        self._has_head = True
        if self._is_repeating_head:
            self._is_repeating_head = False
            self._has_offer = False
            return
        if self._is_closing:
            return
        if self._parser.get_method() == b'CONNECT':
            self._refuse(http.HTTPStatus.METHOD_NOT_ALLOWED)
            return
        self._has_offer = self._parser.should_upgrade()
        expect = headers_module.find_header(self._headers, b'expect')
        length = headers_module.find_header(self._headers, b'content-length')
        if length and int(length) > self._server.limits.body_bytes:
            self._refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif (
            expect
            and expect.lower() == b'100-continue'
            # HTTP/1.0 has no interim responses.
            and self._parser.get_http_version() >= '1.1'
        ):
            self._must_continue = True
            self._send_continue()
        if self._task is None:
            self._set_timer(self._server.limits.idle_timeout)
        self._held.set_head(self._header_size)
        if length and not self._is_closing:
            self._body_length = int(length)
            self._held.expect_body(self._body_length)

    def on_body(self, body: bytes) -> None:
        if self._is_closing:
            return
        self._body += body
        if not self._body_length:
            self._held.add_body(len(body))
        if len(self._body) > self._server.limits.body_bytes:
            self._refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        # The parser ends a request with an offer before its body.
        if self._is_closing or self._has_offer:
            return
        self._is_reading = False
        version = self._parser.get_http_version()
        coding = headers_module.find_header(
            self._headers, b'transfer-encoding'
        )
        # HTTP/1.0 has no codings: a proxy on the way may have seen another end
        # of this request, and more of its body would be taken for requests.
        is_framing_doubtful = coding is not None and version < '1.1'
        target, headers = request_targets.make_origin_form(
            bytes(self._target), self._headers
        )
        request = Request(
            self._parser.get_method(),
            target,
            headers,
            bytes(self._body),
            is_framing_doubtful or not self._parser.should_keep_alive(),
            version,
        )
        self._body = bytearray()
        self._body_length = 0
        if len(self._queue) >= MAX_PIPELINED_REQUESTS:
            self._refuse(http.HTTPStatus.BAD_REQUEST)
            return
        self._queue.append(request)
        self._held.enqueue(len(request.body))
        if self._task is None:
            self._begin_next()

    # Called by responders

    @property
    def must_close(self) -> bool:
        """Whether to close the connection after the present response.

        Pipelined requests that have been read are answered before.
        """
        return self._server.is_draining and not (self._queue or self._input)

    @property
    def is_idle(self) -> bool:
        return (
            self._task is None
            and not self._is_reading
            and not self._queue
            and not self._input
        )

    @property
    def is_active(self) -> bool:
        """Whether it has a request, or a response on its way."""
        return (
            not self.is_idle
            or self.has_unsent_bytes
            or (self._is_closing and self.is_open)
        )

    @property
    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    @property
    def has_unsent_bytes(self) -> bool:
        return self._transport.get_write_buffer_size() > 0

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            if self._memory is not None:
                self._written_bytes += len(data)
                self._update_unsent()

    async def drain(self) -> None:
        await self._can_write.wait()

    def end_response(self, closes_connection: bool) -> None:
        if closes_connection:
            self._clear_queue()
            self._is_closing = True
            self._error = None
            self._linger()

    def begin_without_length(self) -> None:
        """Reset the connection if it closes before the response is over.

        The end of this process does that, too.
        """
        if self.is_open:
            sockets.set_reset_on_close(self._transport, True)

    def end_without_length(self) -> None:
        """End a response whose end is that of the connection."""
        if self.is_open:
            self._is_ending_without_length = True
            if not self.has_unsent_bytes:
                sockets.set_reset_on_close(self._transport, False)
            # Otherwise ``resume_writing`` is called once all is sent.
            self._transport.set_write_buffer_limits(high=0)
        self.end_response(True)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    # Called by the server

    def evict(self) -> None:
        """Close the connection to make room for another.

        A request that is being read is refused.
        """
        if self._is_reading and not self._is_closing:
            self._refuse(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self._is_closing = True
        if self.has_unsent_bytes:
            self.abort()
        else:
            self.close()

    def interrupt(self) -> bool:
        """Cancel the handler; return whether there is one.

        A request without a handler is refused.
        """
        if self._task is not None:
            self._task.cancel()
            return True
        if not self.is_idle:
            self._clear_queue()
            self._refuse(http.HTTPStatus.SERVICE_UNAVAILABLE)
        return False

    # Called by the server where memory is limited

    @property
    def address(self) -> str:
        """The caller's address, '' if it is unknown."""
        name = self._transport.get_extra_info('peername')
        return f'{name[0]}:{name[1]}' if name else ''

    def check(self, now: float) -> bool:
        """Update what is unsent; return whether to check again later."""
        self._update_unsent()
        if self.unsent_bytes:
            # The kernel takes more only when a third of its buffer is free,
            # which may need many seconds while the caller reads slowly.
            unacknowledged = _count_unacknowledged(self._transport)
            taken = self._written_bytes - self.unsent_bytes - unacknowledged
            if taken > self._taken_bytes:
                self._taken_bytes = taken
                self.last_progress_at = now
        self._go_on()
        return bool(self.unsent_bytes or (self._task is None and self._queue))

    # Internals

    def _clear_queue(self) -> None:
        """Forget the requests that have not begun."""
        self._queue.clear()
        self._input.clear()
        self._held.release_queued()
        self._update_reading()

    def _update_reading(self) -> None:
        """Receive no more while what has been received has to wait."""
        if self._transport is None or self._transport.is_closing():
            return
        must_pause = bool(self._input) or self._held.is_waiting
        if must_pause and not self._is_paused:
            self._transport.pause_reading()
        elif self._is_paused and not must_pause:
            self._transport.resume_reading()
        self._is_paused = must_pause
        # What a body that waits has received must not keep it waiting.
        holds_unread = must_pause and not self._held.is_waiting
        self._held.set_received(len(self._input), holds_unread)
        if not must_pause:
            return
        if not self._is_parsing and not self._must_wait:
            self._loop.call_soon(self._parse)

    def _update_unsent(self) -> None:
        unsent = self._transport.get_write_buffer_size()
        if unsent and not self.unsent_bytes:
            self.last_progress_at = self.behind_since = self._loop.time()
            self._server.check_later(self)
        self._held.set_unsent(unsent)
        self.unsent_bytes = unsent

    def _reset_message(self) -> None:
        self._target = bytearray()
        self._headers = headers_module.FieldList()
        self._has_head = False
        # Whether the request offers another protocol, and its body is to come.
        self._has_offer = False
        # If it is known.
        self._body_length = 0
        self._trailer_size = 0
        self._overhead_bytes = 0
        self._body = bytearray()
        self._is_reading = False
        self._must_continue = False

    def _drop_message(self) -> None:
        """Forget the request that is being read."""
        self._target = bytearray()
        self._headers = headers_module.FieldList()
        self._body = bytearray()

    def _send_continue(self) -> None:
        """Send the interim response to the request that is being read.

        It comes after the responses to all earlier requests.
        """
        if self._must_continue and self._task is None and not self._queue:
            self._must_continue = False
            if self._is_reading:
                self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    @property
    def _header_size(self) -> int:
        """The size of the head, and of trailers, in bytes."""
        return len(self._target) + self._headers.size + self._trailer_size

    def _limit_header(self) -> None:
        if self._header_size > self._server.limits.header_bytes:
            self._refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _limit_overhead(
        self, data: bytes, was_reading_head: bool, body_size: int
    ) -> None:
        """Refuse a head, or the framing of a chunk, that does not end.

        The parser reports a header field only when it is complete.
        """
        if not self._is_reading:
            return
        is_head = was_reading_head and not self._has_head
        is_framing = self._has_head and len(self._body) == body_size
        if not is_head and not is_framing:
            self._overhead_bytes = 0
            return
        self._overhead_bytes += len(data)
        # A complete head is measured exactly, by its fields.
        if self._overhead_bytes > 2 * self._server.limits.header_bytes:
            self._refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status: http.HTTPStatus) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self._input.clear()
        self._drop_message()
        self._update_reading()
        self._server.on_refused(status)
        self._error = status
        # Responses must be sent in the order of the requests. Requests in the
        # queue run, so a refusal in the place of their responses would be
        # wrong.
        if self._task is None and not self._queue:
            self._send_error(status)

    def _refuse_body(self, size: int) -> None:
        self._server.on_body_refused(size)
        self._refuse(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _send_error(self, status: http.HTTPStatus) -> None:
        retry_after = b''
        if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after = (
                b'Retry-After: %.2f\r\n' % connection_memory.MAX_WAIT_SECONDS
            )
        self.write(
            b'HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%bConnection: close\r\n'
            b'\r\n' % (status, responses.get_phrase(status), retry_after)
        )
        self._linger()

    def _linger(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        try:
            transport.write_eof()
        except OSError:
            # The client has reset the connection, which is not known while it
            # is not read.
            transport.abort()
            return
        self._cancel_timer()
        self._set_state(evictions.State.CLOSING)
        self._timer = self._loop.call_later(LINGER_SECONDS, transport.close)

    def _set_state(self, state: evictions.State) -> None:
        self._server.evictions.set_state(self, state)

    def _go_on(self) -> None:
        """Begin the next request if one waits, or read on."""
        if self._task is None and self._queue:
            self._begin_next()
        elif self._input:
            self._parse()

    @property
    def _has_backlog(self) -> bool:
        """Whether the client has to take more of the responses before."""
        if not self._can_write.is_set():
            return True
        return (
            self._memory is not None
            and self._memory.is_under_pressure
            and self.unsent_bytes > memory_module.LARGE_BYTES
        )

    def _begin_next(self) -> None:
        self._cancel_timer()
        # Responses to pipelined requests must not add up.
        if self._has_backlog:
            self._set_state(evictions.State.READING)
            if self._memory is not None:
                self._server.check_later(self)
            return
        self._held.begin_next()
        self._set_state(evictions.State.BUSY)
        request = self._queue.popleft()
        responder = responses.Responder(
            self,
            request.closes_connection,
            request.knows_chunks,
            request.method == b'HEAD',
        )
        self._responder = responder
        self._task = self._loop.create_task(
            self._server.handle(request, responder)
        )
        self._task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._task = None
        self._held.end_running()
        if task.cancelled():
            self._end_unfinished_response()
        elif task.exception() is not None:
            self._server.on_failure(task.exception())
            self._end_unfinished_response()
        if self._transport is None or self._transport.is_closing():
            return
        if self._queue:
            self._begin_next()
        elif self._error is not None:
            self._send_error(self._error)
        elif not self._is_closing:
            self._set_state(
                evictions.State.READING
                if self._is_reading
                else evictions.State.IDLE
            )
            self._set_timer(self._server.limits.idle_timeout)
            self._send_continue()
            self._go_on()

    def _end_unfinished_response(self) -> None:
        """End the response of a handler that failed or was cancelled."""
        if self._responder.is_finished:
            return
        if self._responder.is_started:
            self.abort()
        elif self.is_open:
            self._responder.close_connection_after()
            self._responder.send(
                http.HTTPStatus.INTERNAL_SERVER_ERROR, [], b''
            )

    def _set_timer(self, delay: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay, self._expire)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        if self._is_reading:
            self._refuse(http.HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close()


def _count_unacknowledged(transport: asyncio.Transport) -> int:
    """Return the bytes in the kernel that the peer has not acknowledged."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return 0
    count = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)
