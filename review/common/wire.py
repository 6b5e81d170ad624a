"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import typing

HEADERS = dict[str, str]


class Request(typing.NamedTuple):
    """A request; header names are in lower case."""

    method: str
    target: str
    headers: HEADERS
    body: bytes


class Response(typing.NamedTuple):
    """A response; ``is_whole`` says that its body is complete."""

    status: int
    headers: HEADERS
    body: bytes
    is_whole: bool


Handler = typing.Callable[
    [Request, asyncio.StreamWriter], typing.Awaitable[bool]
]


async def _read_headers(reader: asyncio.StreamReader) -> HEADERS:
    headers: HEADERS = {}
    while True:
        line = (await reader.readline()).decode('latin-1')
        if not line:
            raise ConnectionError('closed within a header')
        if line in ('\r\n', '\n'):
            return headers
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            raise ConnectionError('closed within a chunked body')
        size = int(line.split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


async def _read_body(reader: asyncio.StreamReader, headers: HEADERS) -> bytes:
    if 'chunked' in headers.get('transfer-encoding', ''):
        return await _read_chunks(reader)
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, ``None`` at the end of the connection."""
    line = (await reader.readline()).decode('latin-1')
    if not line:
        return None
    method, target, _ = line.split(' ', 2)
    headers = await _read_headers(reader)
    body = await _read_body(reader, headers)
    return Request(method, target, headers, body)


class Server:
    """Passes each request to a handler, one at a time per connection.

    The handler writes the response and returns whether the connection stays
    open. It is cancelled when the connection closes.
    """

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int = 0) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._respond(request, reader, writer):
                    break
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        task = asyncio.ensure_future(self._handle(request, writer))
        try:
            while not task.done():
                await asyncio.wait((task,), timeout=0.05)
                if reader.at_eof() or writer.transport.is_closing():
                    break
            if task.done():
                return task.result()
            return False
        finally:
            task.cancel()


async def send_response(
    writer: asyncio.StreamWriter,
    status: int,
    headers: HEADERS,
    body: bytes,
) -> None:
    """Write a response with a length."""
    writer.write(encode_response(status, headers, body))
    await writer.drain()


def encode_response(status: int, headers: HEADERS, body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Client:
    """One kept connection to an address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection, within one second."""
        host, _, port = self.address.rpartition(':')
        async with asyncio.timeout(1.0):
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent."""
        return (
            self._writer is not None
            and not self._writer.transport.is_closing()
            and not self._reader.at_eof()
        )

    async def send(
        self, method: str, target: str, headers: HEADERS, body: bytes
    ) -> Response:
        """Send a request; raise ``OSError`` or EOF errors without a status.

        A response that breaks off is returned with ``is_whole`` unset.
        """
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        lines += ['', '']
        self._writer.write('\r\n'.join(lines).encode('latin-1') + body)
        await self._writer.drain()
        line = (await self._reader.readline()).decode('latin-1')
        if not line:
            raise ConnectionError('closed without a response')
        status = int(line.split(' ')[1])
        fields = await _read_headers(self._reader)
        try:
            received = await _read_body(self._reader, fields)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return Response(status, fields, b'', False)
        if fields.get('connection', '').lower() == 'close':
            self.close()
        return Response(status, fields, received, True)

    async def stream(
        self,
        target: str,
        headers: HEADERS,
        body: bytes,
        received: bytearray,
    ) -> Response:
        """Send a POST request and add to ``received`` what arrives."""
        lines = [f'POST {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        self._writer.write('\r\n'.join(lines).encode('latin-1') + body)
        await self._writer.drain()
        line = (await self._reader.readline()).decode('latin-1')
        if not line:
            raise ConnectionError('closed without a response')
        status = int(line.split(' ')[1])
        fields = await _read_headers(self._reader)
        if 'chunked' not in fields.get('transfer-encoding', ''):
            received += await _read_body(self._reader, fields)
            return Response(status, fields, bytes(received), True)
        is_whole = False
        try:
            while not is_whole:
                size = int(await self._reader.readline(), 16)
                received += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
                is_whole = not size
        except (OSError, ValueError, asyncio.IncompleteReadError):
            self.close()
        return Response(status, fields, bytes(received), is_whole)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
