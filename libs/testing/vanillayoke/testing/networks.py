"""An in-memory network in virtual time with fault injection.

Replaces the connection methods of an event loop, so that protocols run
unchanged. Data arrives in order after a delay. Tests can make hosts
unreachable, block paths between hosts, and stall or reset open connections.
"""

import asyncio
import collections
import contextvars
import typing

DELAY_SECONDS = 0.001
_WRITE_BUFFER_BYTES = 64 * 1024
# The host whose code is running; tasks inherit it from their creator.
CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar('host')
# IP address and port.
Address = tuple[str, int]


def make_context(host: str) -> contextvars.Context:
    """Return a context in which ``CURRENT_HOST`` is a host."""
    context = contextvars.copy_context()
    context.run(CURRENT_HOST.set, host)
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
        self.is_stalled = False
        self._is_closing = False
        self._is_reported_closed = False
        self._has_sent_eof = False
        # Timers that are due at the same time fire in any order; the queue
        # keeps deliveries in the order in which they were sent.
        self._pending_deliveries: collections.deque = collections.deque()
        # Data that arrived while reading is paused, b'' for the end. It is in
        # the write buffer of the peer.
        self._unread: collections.deque[bytes] = collections.deque()
        self._is_reading_paused = False
        # Bytes that have not yet arrived at the peer.
        self._in_flight = 0
        self._high_water_mark = _WRITE_BUFFER_BYTES
        self._is_writing_paused = False

    # Methods called by protocols

    def write(self, data: bytes) -> None:
        if data and not self._is_closing and not self._has_sent_eof:
            self._in_flight += len(data)
            self._send(lambda peer, d=bytes(data): peer.receive_data(d))

    def write_eof(self) -> None:
        if not self._has_sent_eof:
            self._has_sent_eof = True
            self._send(lambda peer: peer.receive_eof())

    def can_write_eof(self) -> bool:
        return True

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        if not self._is_closing:
            self.write_eof()
            self._close(None)

    def abort(self) -> None:
        if not self._is_closing:
            self._send(lambda peer: peer.receive_reset())
            self._close(None)

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Set from which size of the write buffer on writing is paused."""
        self._high_water_mark = high or _WRITE_BUFFER_BYTES

    def get_write_buffer_size(self) -> int:
        if not self.peer._is_reading_paused:
            return 0
        return self._in_flight + sum(len(data) for data in self.peer._unread)

    def pause_reading(self) -> None:
        self._is_reading_paused = True

    def resume_reading(self) -> None:
        self._is_reading_paused = False
        while self._unread and not self._is_reading_paused:
            self.read_some(len(self._unread[0]))

    def read_some(self, size: int) -> None:
        """Receive up to ``size`` bytes although reading is paused."""
        while self._unread and not self._is_closing:
            data = self._unread.popleft()
            if not data:
                self._end()
                return
            self.protocol.data_received(data[:size])
            if len(data) > size:
                self._unread.appendleft(data[size:])
                break
            size -= len(data)
            if not size:
                break
        self.peer.update_writing()

    def update_writing(self) -> None:
        """Pause or resume writing if the size of the buffer calls for it."""
        if self._is_closing:
            return
        size = self.get_write_buffer_size()
        if size > self._high_water_mark and not self._is_writing_paused:
            self._is_writing_paused = True
            self.protocol.pause_writing()
        elif size <= self._high_water_mark // 4 and self._is_writing_paused:
            self._is_writing_paused = False
            self.protocol.resume_writing()

    def get_extra_info(self, name: str, default=None):
        return default

    # Methods called by the network and the peer

    def schedule_delivery(
        self, deliver: typing.Callable[['_Transport'], None]
    ) -> None:
        """Receive something from the peer after the network delay."""
        self._pending_deliveries.append(deliver)
        self.network.deliver_later(
            self.peer.host,
            self.host,
            lambda: self._pending_deliveries.popleft()(self),
        )

    def receive_data(self, data: bytes) -> None:
        self.peer._in_flight -= len(data)
        if self._is_closing:
            return
        if self._is_reading_paused or self._unread:
            self._unread.append(data)
            self.peer.update_writing()
        else:
            self.protocol.data_received(data)

    def receive_eof(self) -> None:
        if self._is_reading_paused or self._unread:
            self._unread.append(b'')
        else:
            self._end()

    def _end(self) -> None:
        if not self._is_closing and not self.protocol.eof_received():
            self.close()

    def receive_reset(self) -> None:
        if not self._is_closing:
            self._close(ConnectionResetError('reset by the other end'))

    def _send(self, deliver: typing.Callable[['_Transport'], None]) -> None:
        if not self.network.has_path(self.host, self.peer.host):
            return
        if not self.is_stalled:
            self.peer.schedule_delivery(deliver)

    def _close(self, error: Exception | None) -> None:
        self._is_closing = True
        self._unread.clear()
        self.network.transports.discard(self)
        loop = asyncio.get_event_loop()
        context = make_context(self.host)
        loop.call_soon(self._report_closed, error, context=context)

    def _report_closed(self, error: Exception | None) -> None:
        if not self._is_reported_closed:
            self._is_reported_closed = True
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
        self._is_closed = False

    def sendto(self, data: bytes, addr: Address | None = None) -> None:
        if self._is_closed:
            # As asyncio's transport does.
            raise AttributeError(
                "'NoneType' object has no attribute 'call_exception_handler'"
            )
        self._network.send_datagram(bytes(data), self.address, addr)

    def close(self) -> None:
        self._is_closed = True
        self._network.sockets.pop(self.address, None)


class Network:
    """The network of one event loop; replaces its connection methods."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.delay = DELAY_SECONDS
        self.listeners: dict[Address, typing.Callable] = {}
        self.sockets: dict[Address, _DatagramTransport] = {}
        self.transports: set[_Transport] = set()
        self.unreachable_hosts: set[str] = set()
        self.blocked_paths: set[frozenset[str]] = set()
        # Packets that are held, by sender and receiver.
        self._held: dict[tuple[str, str], list[typing.Callable]] = {}
        self.connection_counts: collections.Counter[Address] = (
            collections.Counter()
        )
        loop.create_connection = self.create_connection
        loop.create_server = self.create_server
        loop.create_datagram_endpoint = self.create_datagram_endpoint

    # Replacements of methods of the loop

    async def create_connection(self, factory, host: str, port: int):
        local_host = CURRENT_HOST.get('caller')
        await asyncio.sleep(self.delay)
        if not self.has_path(local_host, host):
            # Without a path this never completes; the caller must time out.
            await asyncio.get_running_loop().create_future()
        protocol_factory = self.listeners.get((host, port))
        if protocol_factory is None:
            raise ConnectionRefusedError(f'{host}:{port}')
        self.connection_counts[host, port] += 1
        local_end = _Transport(self, local_host, factory())
        remote_end = _Transport(self, host, protocol_factory())
        local_end.peer, remote_end.peer = remote_end, local_end
        self.transports |= {local_end, remote_end}
        make_context(host).run(remote_end.protocol.connection_made, remote_end)
        local_end.protocol.connection_made(local_end)
        return local_end, local_end.protocol

    async def create_server(self, factory, host, port, **options):
        self.listeners[host, port] = factory
        return _Listener(self, (host, port))

    async def create_datagram_endpoint(self, factory, local_addr):
        protocol = factory()
        transport = _DatagramTransport(self, local_addr, protocol)
        self.sockets[local_addr] = transport
        protocol.connection_made(transport)
        return transport, protocol

    # Delivery

    def deliver_later(
        self, sender: str, host: str, deliver: typing.Callable[[], None]
    ) -> None:
        """Call ``deliver`` in a host's context after the network delay.

        Packets of a sender that are held arrive when they are released.
        """
        self._loop.call_later(
            self.delay,
            self._arrive,
            sender,
            host,
            deliver,
            context=make_context(host),
        )

    def _arrive(
        self, sender: str, host: str, deliver: typing.Callable[[], None]
    ) -> None:
        held = self._held.get((sender, host))
        if held is None:
            deliver()
        else:
            held.append(deliver)

    def has_path(self, host: str, other_host: str) -> bool:
        """Return whether packets pass between two hosts."""
        if (
            host in self.unreachable_hosts
            or other_host in self.unreachable_hosts
        ):
            return False
        return frozenset((host, other_host)) not in self.blocked_paths

    def send_datagram(
        self, data: bytes, sender: Address, receiver: Address
    ) -> None:
        """Deliver a datagram if there is a path to an open socket."""
        if not self.has_path(sender[0], receiver[0]):
            return

        def deliver() -> None:
            transport = self.sockets.get(receiver)
            if transport is not None:
                transport.protocol.datagram_received(data, sender)

        self.deliver_later(sender[0], receiver[0], deliver)

    # Fault injection

    def block_path(self, host: str, other_host: str) -> None:
        """Block all packets between two hosts, in both directions."""
        self.blocked_paths.add(frozenset((host, other_host)))

    def hold_packets(self, sender: str, host: str) -> None:
        """Hold all packets from a sender to a host until they are released."""
        self._held.setdefault((sender, host), [])

    def release_packets(self, sender: str, host: str) -> None:
        """Deliver the packets that were held, in order."""
        for deliver in self._held.pop((sender, host), ()):
            make_context(host).run(deliver)

    def restore_paths(self) -> None:
        """Remove all blocked paths and make all hosts reachable."""
        self.blocked_paths.clear()
        self.unreachable_hosts.clear()

    def stall_connections(self, host: str) -> None:
        """Drop all further data on the open connections of a host."""
        for transport in self.transports:
            if host in (transport.host, transport.peer.host):
                transport.is_stalled = True

    def reset_connections(self, host: str) -> None:
        """Reset all open connections of a host."""
        for transport in list(self.transports):
            if host == transport.host:
                transport.abort()
                transport.receive_reset()
