"""UDP sockets for messages between instances."""

import asyncio
import functools
import ipaddress
import socket
import typing

Receiver = typing.Callable[[bytes, str], None]

MAX_DATAGRAM_BYTES = 65536
# Received in one iteration of the event loop, so that others have their turn.
MAX_BATCH_SIZE = 64


class DatagramSocket(asyncio.DatagramProtocol):
    """A UDP socket.

    ``receive`` is called with the data and the sender's ``IP:PORT``,
    ``on_unsent`` for each datagram that is sent after ``close``.
    """

    def __init__(
        self,
        receive: Receiver,
        on_unsent: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._receive = receive
        self._on_unsent = on_unsent
        self._transport: asyncio.DatagramTransport | None = None
        # A second descriptor of the transport's socket.
        self._socket: socket.socket | None = None

    @classmethod
    async def bind(
        cls,
        host: str,
        port: int,
        receive: Receiver,
        on_unsent: typing.Callable[[], None] = lambda: None,
    ) -> typing.Self:
        """Open a socket bound to an address."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: cls(receive, on_unsent), local_addr=(host, port)
        )
        return protocol

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport
        shared = transport.get_extra_info('socket')
        if shared is not None:
            self._socket = shared.dup()
            self._socket.setblocking(False)

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        self._receive(data, f'{sender[0]}:{sender[1]}')
        # The transport reads one datagram in an iteration of the loop. On a
        # busy one, a queue of them would delay all by many iterations.
        for _ in range(MAX_BATCH_SIZE - 1):
            if self._socket is None:
                return
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # None is left. An error is reported by the transport.
                return
            self._receive(data, f'{sender[0]}:{sender[1]}')

    def error_received(self, error: Exception) -> None:
        # Nothing listens at the destination; the sender's timeout covers it.
        pass

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram to ``IP:PORT``, without confirming delivery.

        Nothing is sent to an invalid address: it would close the socket.
        """
        destination = _parse_address(address)
        if self._transport is None:
            self._on_unsent()
        elif destination is not None:
            self._transport.sendto(data, destination)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None


@functools.lru_cache(maxsize=4096)
def _parse_address(address: str) -> tuple[str, int] | None:
    """Return the host and port of an ``IP:PORT``, ``None`` if invalid."""
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        return None
    return (host, number) if 0 < number < 65536 else None
