"""The open connections to each address, and when others last broke off."""

import asyncio
import typing


class Connection(typing.Protocol):
    """What is known of a connection; times are those of the event loop."""

    @property
    def opened_at(self) -> float:
        """When it was opened."""

    @property
    def received_at(self) -> float:
        """When the last bytes arrived."""

    @property
    def is_drained(self) -> bool:
        """Whether it is open, and all has been read that was sent on it."""

    @property
    def is_unframed(self) -> bool:
        """Whether it carries a response that ends with the connection."""

    @property
    def is_receiving(self) -> bool:
        """Whether it carries a response and its end would be noticed."""


class OpenConnections:
    """Records the connections of a pool.

    Connections to the process at an address tell whether it still runs: all of
    them close when it ends.
    """

    def __init__(self) -> None:
        self._open: dict[str, set[Connection]] = {}
        self._broken_at: dict[str, float] = {}

    def add(self, address: str, connection: Connection) -> None:
        """Record a connection that has just been opened."""
        self._open.setdefault(address, set()).add(connection)

    def remove(
        self, address: str, connection: Connection, is_broken: bool
    ) -> None:
        """Record that a connection has closed.

        ``is_broken`` tells that the end of the peer's process may have closed
        it.
        """
        connections = self._open.get(address, set())
        connections.discard(connection)
        if not connections:
            self._open.pop(address, None)
        if is_broken:
            self._broken_at[address] = asyncio.get_running_loop().time()

    def has_unframed(self, address: str) -> bool:
        """Return whether a response without a length is under way."""
        return any(each.is_unframed for each in self._open.get(address, ()))

    def is_receiving(self, address: str, opened_before: float) -> bool:
        """Return whether a response is under way on an older connection.

        The end of an idle connection may not have arrived yet, nor that of
        one that is not being read.
        """
        return any(
            each.opened_at < opened_before and each.is_receiving
            for each in self._open.get(address, ())
        )

    def has_received_since(self, address: str, time: float) -> bool:
        """Return whether bytes have arrived since then on an older one.

        Bytes that are read late show nothing: the end of the connection may
        have arrived behind them.
        """
        return any(
            each.opened_at < time < each.received_at and each.is_drained
            for each in self._open.get(address, ())
        )

    def has_unread(self, address: str, opened_before: float) -> bool:
        """Return whether a response on an older connection is to be read on.

        Its next bytes, or its end, have arrived and were not read yet.
        """
        return any(
            each.opened_at < opened_before
            and each.is_receiving
            and not each.is_drained
            for each in self._open.get(address, ())
        )

    def has_broken_since(self, address: str, time: float) -> bool:
        """Return whether a connection has broken off since a time."""
        return self._broken_at.get(address, -float('inf')) >= time

    def prune(self, earliest: float) -> None:
        """Forget what happened before a time."""
        for address, broken_at in list(self._broken_at.items()):
            if broken_at < earliest:
                del self._broken_at[address]
