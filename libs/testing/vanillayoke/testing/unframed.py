"""Responses that are delimited by the end of their connection only.

HTTP/1.1 allows a response with neither a length nor chunks (RFC 9112, section
6.3). The end of the server's process looks like the end of such a response.
"""

from vanillayoke.transport import headers as headers_module
from vanillayoke.transport import responses
from vanillayoke.transport import server_connection


class UnframedResponder:
    """Sends a response without a length; has the methods of a responder."""

    def __init__(self, responder: responses.Responder) -> None:
        self._responder = responder
        self._connection: server_connection.Connection = responder._connection
        self.is_finished = False

    def send(
        self, status: int, headers: headers_module.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        self.start(status, headers)
        self.write(body)
        self.finish()

    def start(
        self,
        status: int,
        headers: headers_module.Headers,
        length: int | None = None,
    ) -> None:
        """Send the status and header; the length is not sent."""
        self._responder.is_started = True
        lines = [
            b'HTTP/1.1 %d %b\r\n' % (status, responses.get_phrase(status)),
            *(b'%b: %b\r\n' % field for field in headers),
            b'Connection: close\r\n\r\n',
        ]
        self._connection.write(b''.join(lines))

    def write(self, data: bytes) -> None:
        """Send some bytes of the body."""
        self._connection.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._connection.drain()

    def finish(self) -> None:
        """End the response by closing the connection."""
        self._mark_finished()
        self._connection.end_response(True)

    def abort(self) -> None:
        """Break the response off.

        A simulated network resets the connection. A real one does so only if
        bytes are unread or the socket's linger time is zero.
        """
        self._mark_finished()
        self._responder.abort()

    def close(self) -> None:
        """Close the connection at once, as the end of the process does."""
        self._mark_finished()
        self._connection.close()

    def _mark_finished(self) -> None:
        self.is_finished = True
        self._responder.is_finished = True
