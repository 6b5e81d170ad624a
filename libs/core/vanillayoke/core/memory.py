"""An account of the bytes that a process holds for others.

It is used where the process has a memory limit. Whoever keeps a body, an
unsent response or a history adds its size to the account. What is held is
bounded by sizes and not by numbers of requests: large bodies have to wait
first, so that there is always memory for small ones.
"""

import bisect
import enum
import itertools
import typing

# What a process needs for itself: 28 MB were measured when idle, and 60 MB
# with all modules and a large deployment's tables.
OWN_BYTES = 64 * 1024 * 1024
# The rest is for copies that exist for a moment, and for fragmentation.
USABLE_RATIO = 0.75
# A process with less memory than it needs for itself may still hold this part
# of its limit.
MIN_RATIO = 0.05
# Above this part of the capacity, slow callers have to make progress.
PRESSURE_RATIO = 0.7
RELIEF_RATIO = 0.6
# Small bodies may fill the account up to this part.
SMALL_RATIO = 0.95
# A body of at most this size never waits. Prompts and responses of programs
# have a few KB.
LARGE_BYTES = 64 * 1024
# A buffer of a connection may take this part of the capacity, within bounds.
BUFFER_RATIO = 1 / 1024
MIN_BUFFER_BYTES = 16 * 1024
MAX_BUFFER_BYTES = 256 * 1024
# A window that is smaller than a segment, which has up to 64 KB on loopback,
# lets each wait for a delayed acknowledgement.
MIN_RECEIVE_BUFFER_BYTES = 64 * 1024
# A body that alone takes more than this part of what large ones may fill could
# never be held; it has to wait until this much is free.
MAX_BODY_RATIO = 0.7


class Kind(enum.IntEnum):
    """What bytes are held for."""

    CONNECTIONS = 0
    REQUESTS = 1
    EXPECTED = 2
    TARGETS = 3
    RESPONSES = 4
    HISTORIES = 5
    HEADS = 6
    # Only waited for; what it takes is held as histories.
    SAVES = 7

    @property
    def label(self) -> str:
        """The name in log lines and metrics."""
        return self.name.lower()


# What is large may fill the account only up to these parts. New requests stop
# first: with the same part for all, requests would wait with their bodies for
# the memory of their responses, which only their ends would release.
LARGE_RATIOS = {
    Kind.HISTORIES: 0.5,
    Kind.REQUESTS: 0.5,
    Kind.EXPECTED: 0.6,
    Kind.TARGETS: 0.75,
    Kind.SAVES: 0.85,
}


class Waiter(typing.NamedTuple):
    """Someone who waits for memory; smaller ones are first."""

    size: int
    number: int
    on_room: typing.Callable[[], None]


class Account:
    """The bytes that a process holds, by kind.

    It is under pressure when it is nearly full or someone waits for memory.
    ``on_pressure`` is called when this begins and ends.
    """

    def __init__(
        self,
        capacity: int,
        on_pressure: typing.Callable[[bool], None] = lambda is_pressed: None,
    ) -> None:
        self.capacity = capacity
        # Of each buffer of a connection.
        self.buffer_bytes = int(
            min(
                MAX_BUFFER_BYTES,
                max(MIN_BUFFER_BYTES, BUFFER_RATIO * capacity),
            )
        )
        # Of what the kernel receives for a connection that is not read.
        self.receive_buffer_bytes = max(
            MIN_RECEIVE_BUFFER_BYTES, self.buffer_bytes
        )
        self._pressure_bytes = PRESSURE_RATIO * capacity
        self.total = 0
        self.held = dict.fromkeys(Kind, 0)
        self.is_under_pressure = False
        self._on_pressure = on_pressure
        self._waiters: dict[Kind, list[Waiter]] = {
            kind: [] for kind in LARGE_RATIOS
        }
        self._numbers = itertools.count()
        self._has_refused = False

    def add(self, kind: Kind, size: int) -> None:
        """Add bytes that are held; negative if they are no longer held."""
        self.held[kind] += size
        self.total += size
        if self.is_under_pressure:
            self._update_pressure()
        elif self.total > self._pressure_bytes:
            self._set_pressure(True)

    def record_refusal(self) -> None:
        """Record that a request was refused, as there was no memory for it."""
        self._has_refused = True

    def take_refusal(self) -> bool:
        """Return whether a request was refused since the last call."""
        has_refused, self._has_refused = self._has_refused, False
        return has_refused

    @property
    def excess(self) -> float:
        """How many bytes have to be released to end the pressure."""
        excess = self.total - RELIEF_RATIO * self.capacity
        for kind, waiters in self._waiters.items():
            if waiters:
                bound = self._compute_bound(kind, waiters[0].size)
                excess = max(excess, self.total - bound + 1)
        return excess

    def reserve(self, kind: Kind, size: int) -> 'Reservation':
        """Add bytes that are held until the reservation is released."""
        reservation = Reservation(self, kind)
        reservation.add(size)
        return reservation

    def has_room(self, kind: Kind, size: int) -> bool:
        """Return whether so many more bytes of a kind may be held."""
        return self.total <= self._compute_bound(kind, size)

    def _compute_bound(self, kind: Kind, size: int) -> float:
        """Return the total up to which so many more bytes may be held."""
        if size <= LARGE_BYTES:
            return SMALL_RATIO * self.capacity - size
        largest = LARGE_RATIOS[kind] * self.capacity
        return largest - min(size, MAX_BODY_RATIO * largest)

    def wait(
        self, kind: Kind, size: int, on_room: typing.Callable[[], None]
    ) -> Waiter | None:
        """Call ``on_room`` once so many more bytes of a kind may be held.

        It has to add them before it returns. It is never called before
        ``wait`` returns: return ``None`` if they may be held now, since the
        begin of the pressure released others.
        """
        if not self.is_under_pressure:
            self._set_pressure(True)
            if self.has_room(kind, size):
                self._update_pressure()
                return None
        waiter = Waiter(size, next(self._numbers), on_room)
        bisect.insort(self._waiters[kind], waiter)
        if not self.is_under_pressure:
            # The pressure ended meanwhile, and waiters are served under
            # pressure only. There is nothing left to release.
            self._set_pressure(True)
        return waiter

    def cancel(self, waiter: Waiter) -> None:
        """Forget a waiter."""
        for kind, waiters in self._waiters.items():
            if waiter in waiters:
                waiters.remove(waiter)
                self.add(kind, 0)

    def _update_pressure(self) -> None:
        for kind, waiters in self._waiters.items():
            while waiters and self.has_room(kind, waiters[0].size):
                waiters.pop(0).on_room()
        if self.is_under_pressure and self.excess <= 0:
            self._set_pressure(False)

    def _set_pressure(self, is_pressed: bool) -> None:
        self.is_under_pressure = is_pressed
        self._on_pressure(is_pressed)


class Reservation:
    """Bytes that are held until they are released."""

    def __init__(self, account: Account, kind: Kind) -> None:
        self._account = account
        self._kind = kind
        self._size = 0

    def add(self, size: int) -> None:
        """Hold more bytes."""
        self._size += size
        self._account.add(self._kind, size)

    def release(self) -> None:
        """Release what is held; without effect the second time."""
        size, self._size = self._size, 0
        if size:
            self._account.add(self._kind, -size)


def compute_capacity(memory_limit: int) -> int:
    """Return how many bytes a process with this limit may hold."""
    usable = USABLE_RATIO * (memory_limit - OWN_BYTES)
    return int(max(MIN_RATIO * memory_limit, usable))
