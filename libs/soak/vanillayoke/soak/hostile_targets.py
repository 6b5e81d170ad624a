"""A server whose bytes break the protocol: late copies, and no end."""

import asyncio
import collections
import enum

from vanillayoke.standins import targets
from vanillayoke.transport import server

_PIECE = b'x' * 16 * 1024


class Hostility(enum.Enum):
    """What a server does wrong with a request."""

    # Sends the rejection of the request again, as the response to the next
    # request on the connection is expected.
    REPEAT_REJECTION = 'repeat_rejection'
    # The same, with a copy that has no request ID.
    REPEAT_UNNAMED = 'repeat_unnamed'
    ENDLESS_FIELD = 'endless_field'
    ENDLESS_HEAD = 'endless_head'
    ENDLESS_BODY = 'endless_body'
    ENDLESS_EVENT = 'endless_event'


_REPETITIONS = frozenset(
    (Hostility.REPEAT_REJECTION, Hostility.REPEAT_UNNAMED)
)
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
# How a response begins, and what follows again and again.
_ENDLESS = {
    Hostility.ENDLESS_FIELD: (b'A: ', _PIECE),
    Hostility.ENDLESS_HEAD: (b'', b'A: b\r\n' * 2000),
    Hostility.ENDLESS_BODY: (_CHUNKED, b'4000\r\n%b\r\n' % _PIECE),
    Hostility.ENDLESS_EVENT: (_CHUNKED, b'4006\r\ndata: %b\r\n' % _PIECE),
}


class HostileTarget(targets.FakeTarget):
    """Does wrong with requests as ``hostilities`` says, in turn.

    Repetitions take the next requests that the server rejects, all others the
    next ones that it runs. ``sent_bytes`` counts those of endless responses.
    """

    def __init__(self, name: str, slots: int = 4) -> None:
        super().__init__(name, slots)
        self.hostilities: collections.deque[Hostility] = collections.deque()
        self.sent_bytes = 0
        self._copies: dict[object, bytes] = {}

    def behave(self) -> None:
        """Drop all faults, and copies of rejections, that are left."""
        self.faults.clear()
        self.hostilities.clear()
        self._copies.clear()

    async def handle(
        self, request: server.Request, responder: server.Responder
    ) -> None:
        copy = self._copies.pop(responder._connection, None)
        if copy is not None:
            responder._connection.write(copy)
        await super().handle(request, responder)

    async def _execute(
        self,
        execution: targets.Execution,
        fault: targets.Fault | None,
        responder: server.Responder,
    ) -> None:
        if self.hostilities and self.hostilities[0] in _ENDLESS:
            hostility = self.hostilities.popleft()
            await self._respond_endlessly(
                execution.request, responder, *_ENDLESS[hostility]
            )
            return
        await super()._execute(execution, fault, responder)

    async def _respond_endlessly(
        self,
        request: str,
        responder: server.Responder,
        beginning: bytes,
        piece: bytes,
    ) -> None:
        connection = responder._connection
        fields = self._make_headers(request)
        lines = b''.join(b'%s: %s\r\n' % field for field in fields)
        connection.write(b'HTTP/1.1 200 OK\r\n' + lines + beginning)
        while not connection._transport.is_closing():
            connection.write(piece)
            self.sent_bytes += len(piece)
            await connection.drain()
            await asyncio.sleep(0.001)

    def _send(
        self,
        responder: server.Responder,
        status: int,
        request: str,
        body: bytes,
        executed: bool = True,
    ) -> None:
        super()._send(responder, status, request, body, executed)
        if executed or not self.hostilities:
            return
        if self.hostilities[0] in _REPETITIONS:
            hostility = self.hostilities.popleft()
            fields = self._make_headers(request, executed)
            if hostility is Hostility.REPEAT_UNNAMED:
                fields = fields[1:]
            lines = b''.join(b'%s: %s\r\n' % field for field in fields)
            self._copies[responder._connection] = (
                b'HTTP/1.1 503 Full\r\n%bContent-Length: 0\r\n\r\n' % lines
            )
