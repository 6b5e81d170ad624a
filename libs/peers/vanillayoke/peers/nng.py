"""Messages between instances over NNG's push and pull sockets.

NNG runs threads of its own; this module adds none. Messages come up through
a file descriptor that the event loop watches, so that no code of ours runs
on NNG's threads.
"""

import asyncio
import collections
import typing

import pynng

from vanillayoke.core import failures
from vanillayoke.peers import ports
from vanillayoke.settings import process

MAX_CONNECTIONS = 64
MAX_MESSAGE = 64 * 1024
SEND_BUFFER = 8
RECEIVE_BUFFER = 256
RECEIVE_BATCH = 64
RECONNECT_MS = 200
MAX_RECONNECT_MS = 2000

_TASK_THREADS = 2
_OTHER_THREADS = 1


class TlsFiles(typing.NamedTuple):
    """Files for mutual TLS, in PEM format.

    ``certificate`` holds an instance's certificate and key, ``authority``
    the certificate that signed those of all instances; all of them carry
    ``server_name``, since instances have no names in DNS.
    """

    authority: str
    certificate: str
    server_name: str = 'vanillayoke-peer'


class NngTransport(ports.PeerTransport):
    """One listening socket, and one sending socket per peer in use.

    At most ``max_connections`` peers stay connected; the one unused for
    longest makes room.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: pynng.Pull0,
        tls: TlsFiles | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.dropped = 0
        self._loop = loop
        self._listener = listener
        self._tls = tls
        self._max_connections = max_connections
        self._senders: collections.OrderedDict[str, pynng.Push0] = (
            collections.OrderedDict()
        )
        self._subscribers: list[typing.Callable[[bytes], None]] = []
        self._loop.add_reader(listener.recv_fd, self._receive)

    @classmethod
    def from_config(
        cls,
        loop: asyncio.AbstractEventLoop,
        settings: process.InstanceSettings,
        tls: TlsFiles | None = None,
    ) -> typing.Self | failures.Failure:
        """Listen where an instance's settings say."""
        address = settings.peer_listen or settings.peer_address
        return cls.listen(loop, address, tls)

    @classmethod
    def listen(
        cls,
        loop: asyncio.AbstractEventLoop,
        address: str,
        tls: TlsFiles | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> typing.Self | failures.Failure:
        """Listen on an ``IP:PORT``; port 0 takes a free one."""
        limit_threads()
        listener = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER,
            recv_max_size=MAX_MESSAGE,
            tls_config=_make_server_tls(tls) if tls else None,
        )
        try:
            listener.listen(_make_url(address, tls))
        except pynng.NNGException as error:
            listener.close()
            return failures.Failure(
                failures.Kind.INTERNAL, f'cannot listen on {address}: {error}'
            )
        return cls(loop, listener, tls, max_connections)

    @property
    def address(self) -> str:
        """The ``IP:PORT`` that this transport listens on."""
        return str(self._listener.listeners[0].local_address)

    @property
    def connections(self) -> int:
        """How many peers there are connections to."""
        return len(self._senders)

    def subscribe(self, receive: typing.Callable[[bytes], None]) -> None:
        self._subscribers.append(receive)

    async def send(self, address: str, message: bytes) -> None:
        sender = self._find_sender(address)
        try:
            sender.send(message, block=False)
        except pynng.TryAgain:
            # The peer takes nothing and the small buffer is full. Waiting
            # would stop all other messages behind one dead peer, and what
            # is sent here is out of date soon, so it is dropped.
            self.dropped += 1
        except pynng.NNGException:
            self.dropped += 1
            self.forget(address)

    def forget(self, address: str) -> None:
        sender = self._senders.pop(address, None)
        if sender is not None:
            sender.close()

    async def close(self) -> None:
        self._loop.remove_reader(self._listener.recv_fd)
        for address in list(self._senders):
            self.forget(address)
        self._listener.close()

    def _receive(self) -> None:
        # A bounded batch keeps a flood of messages from holding up the
        # loop; the descriptor stays readable while more are waiting.
        for _ in range(RECEIVE_BATCH):
            try:
                message = self._listener.recv(block=False)
            except pynng.TryAgain:
                return
            for receive in self._subscribers:
                receive(message)

    def _find_sender(self, address: str) -> pynng.Push0:
        sender = self._senders.get(address)
        if sender is not None:
            self._senders.move_to_end(address)
            return sender
        while len(self._senders) >= self._max_connections:
            _, oldest = self._senders.popitem(last=False)
            oldest.close()
        sender = self._dial(address)
        self._senders[address] = sender
        return sender

    def _dial(self, address: str) -> pynng.Push0:
        sender = pynng.Push0(
            send_buffer_size=SEND_BUFFER,
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=MAX_RECONNECT_MS,
            tls_config=_make_client_tls(self._tls) if self._tls else None,
        )
        sender.dial(_make_url(address, self._tls), block=False)
        return sender


def limit_threads() -> None:
    """Keep NNG from starting two threads per processor.

    It holds for the whole process and works only before its first socket.
    """
    lib = pynng.lib
    limits = (
        (lib.NNG_INIT_NUM_TASK_THREADS, _TASK_THREADS),
        (lib.NNG_INIT_MAX_TASK_THREADS, _TASK_THREADS),
        (lib.NNG_INIT_NUM_EXPIRE_THREADS, _OTHER_THREADS),
        (lib.NNG_INIT_MAX_EXPIRE_THREADS, _OTHER_THREADS),
        (lib.NNG_INIT_NUM_POLLER_THREADS, _OTHER_THREADS),
        (lib.NNG_INIT_MAX_POLLER_THREADS, _OTHER_THREADS),
        (lib.NNG_INIT_NUM_RESOLVER_THREADS, _OTHER_THREADS),
    )
    for parameter, count in limits:
        lib.nng_init_set_parameter(parameter, count)


def _make_url(address: str, tls: TlsFiles | None) -> str:
    scheme = 'tls+tcp' if tls else 'tcp'
    return f'{scheme}://{address}'


def _make_server_tls(tls: TlsFiles) -> pynng.TLSConfig:
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_SERVER,
        ca_files=tls.authority,
        cert_key_file=tls.certificate,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )


def _make_client_tls(tls: TlsFiles) -> pynng.TLSConfig:
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_CLIENT,
        server_name=tls.server_name,
        ca_files=tls.authority,
        cert_key_file=tls.certificate,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )
