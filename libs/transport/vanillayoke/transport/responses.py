"""Responses of the HTTP server."""

import http
import typing

from vanillayoke.transport import headers as headers_module

if typing.TYPE_CHECKING:
    from vanillayoke.transport import server_connection


# RFC 9112, section 6.3.
_STATUSES_WITHOUT_BODY = (
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
)


class Responder:
    """Sends the response to one request.

    Callers that don't know chunks get a body of unknown length up to the end
    of the connection, which is reset if the response is not complete. With
    ``is_head_only``, the body is not sent (RFC 9110, section 9.3.2), nor is it
    with a status that can have none.
    """

    def __init__(
        self,
        connection: 'server_connection.Connection',
        closes_connection: bool,
        knows_chunks: bool = True,
        is_head_only: bool = False,
    ) -> None:
        self._connection = connection
        self._knows_chunks = knows_chunks
        self._has_body = not is_head_only
        self._ends_with_connection = False
        self._is_chunked = False
        self._closes_connection = closes_connection
        self._unsent: int | None = None
        self.written_bytes = 0
        self.is_started = False
        self.is_finished = False

    @property
    def is_connected(self) -> bool:
        """Whether the caller is still connected."""
        return self._connection.is_open

    def set_request_name(self, name: str) -> None:
        """Set the name of the request for reports on the connection."""
        self._connection.request_name = name

    def close_connection_after(self) -> None:
        """Close the connection after this response."""
        self._closes_connection = True

    def send(
        self, status: int, headers: headers_module.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        self.start(status, headers, len(body))
        self.write(body)
        self.finish()

    def start(
        self,
        status: int,
        headers: headers_module.Headers,
        length: int | None,
    ) -> None:
        """Send the status and header.

        If ``length`` is ``None``, the body is sent in chunks, or ends with the
        connection.
        """
        self.is_started = True
        can_have_body = status not in _STATUSES_WITHOUT_BODY
        self._has_body = self._has_body and can_have_body
        if length is None and can_have_body and not self._knows_chunks:
            self._ends_with_connection = True
            if self._has_body:
                self._connection.begin_without_length()
        if self._connection.must_close or self._ends_with_connection:
            self._closes_connection = True
        lines = [b'HTTP/1.1 %d %s\r\n' % (status, get_phrase(status))]
        for name, value in headers:
            lines.append(b'%s: %s\r\n' % (name, value))
        if can_have_body:
            lines += self._make_framing(length)
        if self._closes_connection:
            lines.append(b'Connection: close\r\n')
        lines.append(b'\r\n')
        self._connection.write(b''.join(lines))

    def _make_framing(self, length: int | None) -> list[bytes]:
        """Return the lines of the header that tell where the body ends."""
        if length is not None:
            self._unsent = length
            return [b'Content-Length: %d\r\n' % length]
        if self._knows_chunks:
            self._is_chunked = True
            return [b'Transfer-Encoding: chunked\r\n']
        return []

    def write(self, data: bytes) -> None:
        """Send some bytes of the body."""
        if not data or not self._has_body:
            return
        self.written_bytes += len(data)
        if self._is_chunked:
            self._connection.write(b'%x\r\n%b\r\n' % (len(data), data))
            return
        if self._unsent is not None:
            self._unsent -= len(data)
        self._connection.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._connection.drain()

    def finish(self) -> None:
        """End the response.

        Aborts the connection if the body is shorter than announced.
        """
        if self.is_finished:
            return
        self.is_finished = True
        if self._has_body and self._ends_with_connection:
            self._connection.end_without_length()
            return
        if self._has_body and self._unsent:
            self._connection.abort()
            return
        if self._has_body and self._is_chunked:
            self._connection.write(b'0\r\n\r\n')
        self._connection.end_response(self._closes_connection)

    def abort(self) -> None:
        """Abort the connection, so that the client sees a truncated body."""
        self.is_finished = True
        self._connection.abort()


def get_phrase(status: int) -> bytes:
    """Return the reason phrase of a status code."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
