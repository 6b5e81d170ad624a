"""The port for messages between instances."""

import abc
import typing


class PeerTransport(abc.ABC):
    """Sends small one-way messages; any of them may be lost."""

    @abc.abstractmethod
    def subscribe(self, receive: typing.Callable[[bytes], None]) -> None:
        """Call back with each message that arrives."""

    @abc.abstractmethod
    async def send(self, address: str, message: bytes) -> None:
        """Send a message, or drop it where the peer cannot take it."""

    @abc.abstractmethod
    def forget(self, address: str) -> None:
        """Drop the connection to a peer that went silent.

        The next message to it goes over a new connection.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
