"""A loopback proxy that injects network faults."""

import asyncio
import contextlib
import enum
import socket
import struct

from vanillayoke.soak import control

_CHUNK_BYTES = 16 * 1024
# Sockets are closed with a reset.
RESET_OPTION = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """How a link handles connections.

    ``RESET`` aborts open connections. ``SILENT`` makes open connections
    unresponsive for good, while new ones work. ``ONE_WAY`` forwards requests
    but no responses, and ``CUT`` nothing.
    """

    PASS = 'pass'
    RESET = 'reset'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    CUT = 'cut'


class Pipe:
    """One proxied connection."""

    def __init__(
        self, client: asyncio.StreamWriter, server: asyncio.StreamWriter
    ) -> None:
        self.writers = (client, server)
        self.is_silent = False

    def abort(self) -> None:
        """Reset both connections.

        Without the option they would end as a complete response does.
        """
        for writer in self.writers:
            sock = writer.get_extra_info('socket')
            if not writer.transport.is_closing():
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_OPTION
                )
            writer.transport.abort()


class LinkProxy:
    """Forwards connections from one address to another."""

    def __init__(self, to: str) -> None:
        self.to = to
        self.mode = Mode.PASS
        self.delay = 0.0
        self.rate = 0.0
        self._pipes: set[Pipe] = set()
        self._changed = asyncio.Event()

    async def listen(self, address: str) -> None:
        """Start to accept connections."""
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def change(self, command: control.Link) -> None:
        """Apply a command."""
        self.mode = Mode(command.mode)
        self.delay, self.rate = command.delay, command.rate
        if self.mode is Mode.RESET:
            for pipe in list(self._pipes):
                pipe.abort()
            # New connections work normally.
            self.mode = Mode.PASS
        if self.mode is Mode.SILENT:
            for pipe in self._pipes:
                pipe.is_silent = True
            self.mode = Mode.PASS
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.to.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pipe = Pipe(writer, upstream[1])
        self._pipes.add(pipe)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(pipe, reader, upstream[1], True)
                )
                group.create_task(
                    self._forward(pipe, upstream[0], writer, False)
                )
        except* OSError:
            # A reset of one connection resets the other one.
            pipe.abort()
        finally:
            self._pipes.discard(pipe)
            pipe.abort()

    async def _forward(
        self,
        pipe: Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self.delay:
                await asyncio.sleep(self.delay)
            if self.rate:
                await asyncio.sleep(len(data) / self.rate)
            await self._wait_until_open(pipe, is_request)
            writer.write(data)
            await writer.drain()
        await self._wait_until_open(pipe, is_request)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _wait_until_open(self, pipe: Pipe, is_request: bool) -> None:
        """Wait while the link does not forward data in this direction."""
        while (
            pipe.is_silent
            or self.mode is Mode.CUT
            or (self.mode is Mode.ONE_WAY and not is_request)
        ):
            await self._changed.wait()


async def run() -> None:
    """Run the proxy until standard input is closed."""
    proxies: dict[str, LinkProxy] = {}
    async for command in control.read_commands():
        match command:
            case control.Forward(address, to):
                if address in proxies:
                    proxies[address].to = to
                    continue
                proxies[address] = LinkProxy(to)
                await proxies[address].listen(address)
            case control.Link():
                proxies[command.address].change(command)
