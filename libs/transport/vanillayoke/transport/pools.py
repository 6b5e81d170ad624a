"""Pool of connections to targets, by address."""

import asyncio
import enum
import typing

from vanillayoke.core import memory as memory_module
from vanillayoke.transport import client
from vanillayoke.transport import open_connections

# Used for servers that send no Keep-Alive timeout. Servers close idle
# connections after seconds; a request sent while its connection is being
# closed is lost.
DEFAULT_KEEP_ALIVE_SECONDS = 2.0
# Requests that must not run twice may use a connection that has been idle for
# up to this part of the server's Keep-Alive timeout: long before its end, the
# server does not close the connection while a request is in transit.
UNSAFE_KEEP_ALIVE_RATIO = 0.5
# A process that ends may close its connections before its listening socket, so
# that it still accepts or resets new ones. It refuses them after this time.
PROBE_SECONDS = 0.01
# How long it is remembered that connections to an address broke off.
BROKEN_MEMORY_SECONDS = 10.0


class Reachability(enum.Enum):
    """What a new connection tells of the process at an address."""

    LISTENING = 'listening'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class Pool:
    """Connection pool, by address.

    ``on_opened`` is called with the address of each new connection. Responses
    are held in the account ``memory``, if there is one. Bodies that are read
    as a whole have at most ``max_body_bytes``.
    """

    def __init__(
        self,
        connect_timeout: float,
        on_opened: typing.Callable[[str], None] = lambda address: None,
        memory: memory_module.Account | None = None,
        max_body_bytes: int = client.MAX_BODY_BYTES,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._connect_timeout = connect_timeout
        self._on_opened = on_opened
        self._memory = memory
        self._idle: dict[str, list[client.Connection]] = {}
        self._open = open_connections.OpenConnections()
        # Addresses to which a second connection is being opened.
        self._opening: set[str] = set()

    async def acquire(
        self, address: str, max_idle: float | None = None, name: str = ''
    ) -> client.Connection:
        """Return a connection to ``IP:PORT``; raise ``NotSent`` if none.

        A pooled connection is used only if it has been idle for at most
        ``max_idle`` seconds, or longer where the server's Keep-Alive timeout
        allows it, and has not carried a request of this name.
        """
        pooled = self._pop_idle(address, max_idle, name)
        if pooled is not None:
            return pooled
        return await self.open(address)

    async def probe(self, address: str) -> Reachability:
        """Return whether a process listens at ``IP:PORT``.

        The connection is kept for the next request.
        """
        for _ in range(2):
            try:
                connection = await self.open(address)
            except client.ConnectionRefused:
                return Reachability.REFUSED
            except client.NotSent:
                connection = None
            await asyncio.sleep(PROBE_SECONDS)
            if connection is not None and not connection.is_closed:
                self._keep(address, connection)
                return Reachability.LISTENING
        return Reachability.UNKNOWN

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to ``IP:PORT`` is open."""
        return any(not one.is_closed for one in self._idle.get(address, ()))

    async def open(self, address: str) -> client.Connection:
        """Open a connection to ``IP:PORT``; raise ``NotSent`` on failure."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._on_opened(address)
        try:
            async with asyncio.timeout(self._connect_timeout):
                _, connection = await loop.create_connection(
                    lambda: client.Connection(
                        self._memory,
                        self._max_body_bytes,
                        lambda closed, is_broken: self._open.remove(
                            address, closed, is_broken
                        ),
                    ),
                    host,
                    int(port),
                )
        except TimeoutError:
            raise client.NotSent(
                f'connecting to {address} timed out'
            ) from None
        except ConnectionRefusedError as error:
            raise client.ConnectionRefused(
                f'cannot connect to {address}: {error}'
            ) from error
        except (OSError, ValueError, OverflowError) as error:
            raise client.NotSent(
                f'cannot connect to {address}: {error}'
            ) from error
        if not connection.is_closed:
            self._open.add(address, connection)
        return connection

    async def ensure_second(self, address: str) -> None:
        """Have an idle connection beside a response without a length.

        A reply on it shows that the process at the address still runs. It is
        kept as long as such a response is under way.
        """
        if address in self._opening or self.has_idle(address):
            return
        self._opening.add(address)
        try:
            self._keep(address, await self.open(address))
        except client.NotSent:
            pass
        finally:
            self._opening.discard(address)

    def pop_older(
        self, address: str, opened_before: float
    ) -> client.Connection | None:
        """Return an idle connection that was opened before a time."""
        for connection in reversed(self._idle.get(address, [])):
            if (
                connection.opened_at < opened_before
                and not connection.is_closed
            ):
                self._idle[address].remove(connection)
                return connection
        return None

    def is_receiving(self, address: str, opened_before: float) -> bool:
        """Return whether a response is under way on an older connection."""
        return self._open.is_receiving(address, opened_before)

    def has_received_since(self, address: str, time: float) -> bool:
        """Return whether bytes have arrived since then on an older one."""
        return self._open.has_received_since(address, time)

    def has_unread(self, address: str, opened_before: float) -> bool:
        """Return whether an older connection has something to be read."""
        return self._open.has_unread(address, opened_before)

    def has_broken_since(self, address: str, time: float) -> bool:
        """Return whether the peer has broken off a connection since then.

        Connections whose end ended a response do not count.
        """
        return self._open.has_broken_since(address, time)

    def release(self, address: str, connection: client.Connection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if not connection.is_reusable:
            connection.abort()
            return
        self._keep(address, connection)

    def _keep(self, address: str, connection: client.Connection) -> None:
        connection.mark_idle()
        lifetime = connection.keep_alive_seconds
        now = asyncio.get_running_loop().time()
        connection.idle_since = now
        connection.idle_deadline = now + (
            DEFAULT_KEEP_ALIVE_SECONDS if lifetime is None else lifetime
        )
        self._idle.setdefault(address, []).append(connection)

    def _pop_idle(
        self,
        address: str,
        max_idle: float | None,
        name: str,
    ) -> client.Connection | None:
        now = asyncio.get_running_loop().time()
        pooled = self._idle.get(address, [])
        kept = self._find_kept(address)
        for connection in reversed(pooled[:]):
            if connection.has_carried(name) or connection is kept:
                continue
            pooled.remove(connection)
            if connection.is_closed or now >= connection.idle_deadline:
                connection.abort()
                continue
            if max_idle is not None:
                keep_alive = connection.keep_alive_seconds or 0.0
                allowed = max(max_idle, UNSAFE_KEEP_ALIVE_RATIO * keep_alive)
                if now - connection.idle_since > allowed:
                    connection.abort()
                    continue
            return connection
        return None

    def _find_kept(self, address: str) -> client.Connection | None:
        """Return the idle connection kept beside unframed responses."""
        if not self._open.has_unframed(address):
            return None
        return next(
            (one for one in self._idle.get(address, ()) if not one.is_closed),
            None,
        )

    def prune(self) -> None:
        """Close idle connections that have expired."""
        now = asyncio.get_running_loop().time()
        self._open.prune(now - BROKEN_MEMORY_SECONDS)
        for address, pooled in list(self._idle.items()):
            kept = self._find_kept(address)
            for connection in pooled:
                has_expired = now >= connection.idle_deadline
                if connection.is_closed or (
                    has_expired and connection is not kept
                ):
                    connection.abort()
            usable = [
                connection for connection in pooled if not connection.is_closed
            ]
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for pooled in self._idle.values():
            for connection in pooled:
                connection.abort()
        self._idle.clear()
