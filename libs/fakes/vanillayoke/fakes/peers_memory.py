"""A network of peers in memory, with cut links, delay and loss."""

import random
import typing

from vanillayoke.core import timers
from vanillayoke.peers import ports


class MemoryNetwork:
    """Carries messages between transports; faults are set on it.

    ``sent_messages`` and ``sent_bytes`` count by sender, lost ones too.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        source: random.Random,
        delay: float = 0.001,
    ) -> None:
        self.timers = timer_service
        self.delay = delay
        self.loss = 0.0
        self.sent_messages: dict[str, int] = {}
        self.sent_bytes: dict[str, int] = {}
        self._source = source
        self._ports: dict[str, MemoryTransport] = {}
        self._cut: set[frozenset[str]] = set()
        self._silent: set[tuple[str, str]] = set()

    def open(self, address: str, region: str = '') -> 'MemoryTransport':
        """Return the transport of an address."""
        transport = MemoryTransport(self, address, region)
        self._ports[address] = transport
        self.sent_messages[address] = 0
        self.sent_bytes[address] = 0
        return transport

    def cut(self, one: str, other: str) -> None:
        """Lose all messages between two addresses or two regions."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Mend all links that were cut."""
        self._cut.clear()

    def silence(self, sender: str, receiver: str) -> None:
        """Lose all messages of one open connection, not of a new one."""
        self._silent.add((sender, receiver))

    def renew(self, sender: str, receiver: str) -> None:
        """Open a new connection."""
        self._silent.discard((sender, receiver))

    def close(self, address: str) -> None:
        """Lose all messages to an address."""
        self._ports.pop(address, None)

    def carry(self, sender: str, receiver: str, message: bytes) -> None:
        """Deliver a message after the delay, or lose it."""
        self.sent_messages[sender] += 1
        self.sent_bytes[sender] += len(message)
        if self._source.random() < self.loss:
            return

        def deliver() -> None:
            if not self._is_lost(sender, receiver):
                self._ports[receiver].receive(message)

        self.timers.call_after(self.delay, deliver)

    def _is_lost(self, sender: str, receiver: str) -> bool:
        one, other = self._ports.get(sender), self._ports.get(receiver)
        if one is None or other is None:
            return True
        if (sender, receiver) in self._silent:
            return True
        regions = frozenset((one.region, other.region))
        return bool(self._cut & {frozenset((sender, receiver)), regions})


class MemoryTransport(ports.PeerTransport):
    """One instance's end of the network; ``paused`` holds messages back."""

    def __init__(
        self, network: MemoryNetwork, address: str, region: str
    ) -> None:
        self.region = region
        self.paused = False
        self._network = network
        self._address = address
        self._waiting: list[bytes] = []
        self._subscribers: list[typing.Callable[[bytes], None]] = []

    def subscribe(self, receive: typing.Callable[[bytes], None]) -> None:
        self._subscribers.append(receive)

    def receive(self, message: bytes) -> None:
        """Take a message from the network."""
        self._waiting.append(message)
        if not self.paused:
            self.resume()

    def resume(self) -> None:
        """Hand out what was held back."""
        self.paused = False
        waiting, self._waiting = self._waiting, []
        for message in waiting:
            for receive in self._subscribers:
                receive(message)

    def drop_waiting(self) -> None:
        """Lose what was held back."""
        self._waiting.clear()

    async def send(self, address: str, message: bytes) -> None:
        self._network.carry(self._address, address, message)

    def forget(self, address: str) -> None:
        self._network.renew(self._address, address)

    async def close(self) -> None:
        self._network.close(self._address)
