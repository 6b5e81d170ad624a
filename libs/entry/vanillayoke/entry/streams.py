"""Writing of streamed bodies: batches, heartbeats and slow readers."""

import asyncio
import socket
import typing

import aiohttp
from aiohttp import abc as aiohttp_abc
from aiohttp import web

from vanillayoke.core import timers as core_timers
from vanillayoke.entry import events

# Text beyond this many bytes waits in the call, not in the reader's buffer.
LARGEST_BACKLOG = 16 * 1024


class BodyWriter:
    """Writes the body of one response.

    Data added in one turn of the loop goes out in one write to the socket.
    aiohttp's own writer needs an await for each write, so this one frames
    the chunks itself and hands them to the transport.
    """

    def __init__(
        self,
        request: web.Request,
        writer: aiohttp_abc.AbstractStreamWriter,
        timers: core_timers.TimerService,
        slow_reader_timeout: float,
    ) -> None:
        self._transport = request.transport
        if self._transport is not None:
            self._transport.set_write_buffer_limits(high=LARGEST_BACKLOG)
        self._is_chunked = request.version >= aiohttp.HttpVersion11
        self._writer = writer
        self._timers = timers
        self._slow_reader_timeout = slow_reader_timeout
        self._call_soon = asyncio.get_running_loop().call_soon
        self._pending: list[bytes] = []
        self._pending_size = 0
        self._was_written = False

    def add(self, data: bytes) -> None:
        """Add data; it is sent when the running task next waits."""
        if not self._pending:
            self._call_soon(self.flush)
        self._pending.append(data)
        self._pending_size += len(data)

    def flush(self) -> None:
        """Send what was added without waiting."""
        if not self._pending:
            return
        data = b''.join(self._pending)
        self._pending.clear()
        self._pending_size = 0
        self._was_written = True
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._transport.write(data)

    def send_heartbeat(self) -> None:
        """Send a comment unless something was sent since the last one."""
        if not self._was_written:
            self.add(events.HEARTBEAT)
        self._was_written = False

    def is_full(self) -> bool:
        """Tell whether to drain before anything more is added."""
        backlog = self._pending_size
        if self._transport is not None:
            backlog += self._transport.get_write_buffer_size()
        return backlog > LARGEST_BACKLOG

    async def drain(self) -> None:
        """Send what was added and wait for room."""
        self.flush()
        # A reader that stops reading but keeps its connection would hold
        # this task and its buffer for ever. It shows as a drain that does
        # not end; cutting the connection cancels the task, and the reader
        # can resume by offset.
        guard = self._timers.call_after(self._slow_reader_timeout, self._cut)
        try:
            await self._writer.drain()
            # A reader that takes all at once never makes the line above
            # wait: a long text read from its start would hold up all other
            # streams meanwhile.
            await self._timers.sleep(0)
        finally:
            guard.cancel()

    def _cut(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def watch_peer(transport: asyncio.Transport, timeout: float) -> None:
    """Have the connection closed once its peer is silent for too long.

    A peer that is cut off acknowledges nothing, yet heartbeats still fit
    the kernel's buffer for a quarter of an hour; the task that sends them
    would last as long.
    """
    sock = transport.get_extra_info('socket')
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout * 1000)
    )


async def send_whole(
    request: web.Request,
    response: web.StreamResponse,
    timers: core_timers.TimerService,
    slow_reader_timeout: float,
) -> None:
    """Send what is left of a response and wait until the reader has it."""
    transport = request.transport
    if transport is None:
        return
    # A reader that does not take its answer would hold it in memory for
    # ever; cutting the connection frees both.
    guard = timers.call_after(slow_reader_timeout, transport.abort)
    try:
        writer = await response.prepare(request)
        await response.write_eof()
        transport.set_write_buffer_limits(high=0)
        await writer.drain()
    finally:
        guard.cancel()
        transport.set_write_buffer_limits()


async def start_body(
    request: web.Request,
    response: web.StreamResponse,
    timers: core_timers.TimerService,
    slow_reader_timeout: float,
) -> BodyWriter:
    """Send a response's head and return the writer of its body."""
    writer = await response.prepare(request)
    return BodyWriter(
        request,
        typing.cast(aiohttp_abc.AbstractStreamWriter, writer),
        timers,
        slow_reader_timeout,
    )
