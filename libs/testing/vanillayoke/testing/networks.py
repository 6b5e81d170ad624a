"""A network in memory, in virtual time, with the faults that tests cause.

It stands in for the connection calls of an event loop, so that protocols run
unchanged. Bytes arrive in order after a delay; hosts can be cut off, killed
and brought back, and open connections can go silent.
"""

import asyncio
import collections
import contextvars
import typing

DELAY = 0.001
# The host whose code runs; tasks inherit it from whoever started them.
HOST: contextvars.ContextVar[str] = contextvars.ContextVar('host')
# Addresses as ``IP:PORT`` pairs.
Address = tuple[str, int]


def make_context(host: str) -> contextvars.Context:
    """Return a context in which a host's code runs."""
    context = contextvars.copy_context()
    context.run(HOST.set, host)
    return context


class _Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self, network: 'Network', host: str, protocol: asyncio.Protocol
    ) -> None:
        super().__init__()
        self.network = network
        self.host = host
        self.protocol = protocol
        self.peer: _Transport = None
        self.is_silent = False
        self._is_closing = False
        self._is_lost = False
        self._has_sent_eof = False
        # Timers of the same moment fire in any order; what arrives is
        # taken from here, so that it stays in order.
        self._arriving: collections.deque = collections.deque()

    # What protocols use

    def write(self, data: bytes) -> None:
        if data and not self._is_closing and not self._has_sent_eof:
            self._carry(lambda peer, d=bytes(data): peer.take_data(d))

    def write_eof(self) -> None:
        if not self._has_sent_eof:
            self._has_sent_eof = True
            self._carry(lambda peer: peer.take_eof())

    def can_write_eof(self) -> bool:
        return True

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        if not self._is_closing:
            self.write_eof()
            self._end(None)

    def abort(self) -> None:
        if not self._is_closing:
            self._carry(lambda peer: peer.take_reset())
            self._end(None)

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Writers are never made to wait here."""

    def get_extra_info(self, name: str, default=None):
        return default

    # What the network and the other end use

    def arrive(self, deliver: typing.Callable[['_Transport'], None]) -> None:
        """Take something that the other end sent, a delay from now."""
        self._arriving.append(deliver)
        self.network.later(self.host, lambda: self._arriving.popleft()(self))

    def take_data(self, data: bytes) -> None:
        if not self._is_closing:
            self.protocol.data_received(data)

    def take_eof(self) -> None:
        if not self._is_closing and not self.protocol.eof_received():
            self.close()

    def take_reset(self) -> None:
        if not self._is_closing:
            self._end(ConnectionResetError('reset by the other end'))

    def _carry(self, deliver: typing.Callable[['_Transport'], None]) -> None:
        if not self.network.is_path(self.host, self.peer.host):
            return
        if not self.is_silent:
            self.peer.arrive(deliver)

    def _end(self, error: Exception | None) -> None:
        self._is_closing = True
        self.network.transports.discard(self)
        loop = asyncio.get_event_loop()
        context = make_context(self.host)
        loop.call_soon(self._lose, error, context=context)

    def _lose(self, error: Exception | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self.protocol.connection_lost(error)


class _Listener:
    def __init__(self, network: 'Network', address: Address) -> None:
        self._network = network
        self._address = address

    def close(self) -> None:
        self._network.listeners.pop(self._address, None)


class _DatagramTransport(asyncio.DatagramTransport):
    def __init__(
        self,
        network: 'Network',
        address: Address,
        protocol: asyncio.DatagramProtocol,
    ) -> None:
        super().__init__()
        self._network = network
        self.address = address
        self.protocol = protocol

    def sendto(self, data: bytes, addr: Address | None = None) -> None:
        self._network.carry_datagram(bytes(data), self.address, addr)

    def close(self) -> None:
        self._network.sockets.pop(self.address, None)


class Network:
    """Connects the protocols of one loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.delay = DELAY
        self.listeners: dict[Address, typing.Callable] = {}
        self.sockets: dict[Address, _DatagramTransport] = {}
        self.transports: set[_Transport] = set()
        self.dark: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.opened: collections.Counter[Address] = collections.Counter()
        loop.create_connection = self.create_connection
        loop.create_server = self.create_server
        loop.create_datagram_endpoint = self.create_datagram_endpoint

    # In place of the loop's calls

    async def create_connection(self, factory, host: str, port: int):
        own = HOST.get('caller')
        await asyncio.sleep(self.delay)
        if not self.is_path(own, host):
            # Nothing answers; only a time-out of the caller's ends this.
            await asyncio.get_running_loop().create_future()
        make = self.listeners.get((host, port))
        if make is None:
            raise ConnectionRefusedError(f'{host}:{port}')
        self.opened[host, port] += 1
        near = _Transport(self, own, factory())
        far = _Transport(self, host, make())
        near.peer, far.peer = far, near
        self.transports |= {near, far}
        make_context(host).run(far.protocol.connection_made, far)
        near.protocol.connection_made(near)
        return near, near.protocol

    async def create_server(self, factory, host, port, **options):
        self.listeners[host, port] = factory
        return _Listener(self, (host, port))

    async def create_datagram_endpoint(self, factory, local_addr):
        protocol = factory()
        transport = _DatagramTransport(self, local_addr, protocol)
        self.sockets[local_addr] = transport
        protocol.connection_made(transport)
        return transport, protocol

    # Carrying

    def later(self, host: str, deliver: typing.Callable[[], None]) -> None:
        """Deliver to a host after the network's delay."""
        self._loop.call_later(self.delay, deliver, context=make_context(host))

    def is_path(self, one: str, other: str) -> bool:
        """Say whether packets pass between two hosts."""
        if one in self.dark or other in self.dark:
            return False
        return frozenset((one, other)) not in self.cuts

    def carry_datagram(
        self, data: bytes, sender: Address, receiver: Address
    ) -> None:
        """Deliver a datagram if there is a path and a receiver."""
        if not self.is_path(sender[0], receiver[0]):
            return

        def deliver() -> None:
            found = self.sockets.get(receiver)
            if found is not None:
                found.protocol.datagram_received(data, sender)

        self.later(receiver[0], deliver)

    # Faults

    def cut(self, one: str, other: str) -> None:
        """Let no packet pass between two hosts."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Let packets pass everywhere again."""
        self.cuts.clear()
        self.dark.clear()

    def silence(self, host: str) -> None:
        """Let all open connections of a host go silent for good."""
        for transport in self.transports:
            if host in (transport.host, transport.peer.host):
                transport.is_silent = True

    def reset(self, host: str) -> None:
        """Reset all open connections of a host."""
        for transport in list(self.transports):
            if host == transport.host:
                transport.abort()
                transport.take_reset()
