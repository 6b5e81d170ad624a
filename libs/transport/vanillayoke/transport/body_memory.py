"""The memory for the bodies of the requests of a server's connection."""

import asyncio
import collections
import typing

from vanillayoke.core import memory as memory_module

# The body as read and the copy that is written to the target.
BODY_COPIES = 2
# How long a large body waits for memory. The caller gives up after 2 s
# without a response, and may have to repeat the request elsewhere.
MAX_BODY_WAIT_SECONDS = 1.0


class BodyMemory:
    """Holds memory for the bodies that are being read, queued or handled.

    If there is no memory for a large body, it waits and ``is_waiting`` is set;
    ``on_change`` is called when that changes. After ``MAX_BODY_WAIT_SECONDS``,
    ``on_refused`` is called with the number of bytes that it waited for.
    """

    def __init__(
        self,
        account: memory_module.Account,
        on_change: typing.Callable[[], None],
        on_refused: typing.Callable[[int], None],
    ) -> None:
        self._account = account
        self._on_change = on_change
        self._on_refused = on_refused
        self._loop = asyncio.get_running_loop()
        self._read_size = 0
        self._queued_sizes: collections.deque[int] = collections.deque()
        self._running_size = 0
        self._waiter: memory_module.Waiter | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the body must not be read further."""
        return self._waiter is not None

    def expect(self, length: int) -> None:
        """Hold memory for a body of known length, or wait for it."""
        size = BODY_COPIES * length
        if size <= memory_module.LARGE_BYTES or self._account.has_room(
            memory_module.Kind.REQUESTS, size
        ):
            self._hold(size)
        else:
            self._wait(size)

    def add(self, length: int) -> None:
        """Hold memory for a part of a body of unknown length."""
        self._hold(BODY_COPIES * length)
        next_size = memory_module.LARGE_BYTES + 1
        if (
            self._read_size > memory_module.LARGE_BYTES
            and self._waiter is None
            and not self._account.has_room(
                memory_module.Kind.REQUESTS, next_size
            )
        ):
            self._wait(0)

    def enqueue(self, length: int) -> None:
        """Move a complete body to the end of the queue."""
        if self._waiter is not None:
            # All of it was already received when reading was paused.
            self._stop_waiting()
            self._hold(BODY_COPIES * length - self._read_size)
        self._queued_sizes.append(self._read_size)
        self._read_size = 0

    def begin_next(self) -> None:
        """Make the first body of the queue that of the running request."""
        self._running_size = self._queued_sizes.popleft()

    def end_running(self) -> None:
        """Release the body of the running request."""
        size, self._running_size = self._running_size, 0
        if size:
            self._account.add(memory_module.Kind.REQUESTS, -size)

    def release_queued(self) -> None:
        """Release the bodies in the queue."""
        size = sum(self._queued_sizes)
        self._queued_sizes.clear()
        self._account.add(memory_module.Kind.REQUESTS, -size)

    def release(self) -> None:
        """Release all but the body of the running request."""
        self._stop_waiting()
        self.release_queued()
        self._hold(-self._read_size)

    def _hold(self, size: int) -> None:
        self._read_size += size
        self._account.add(memory_module.Kind.REQUESTS, size)

    def _wait(self, size: int) -> None:
        def read_on() -> None:
            self._waiter = None
            self._timer.cancel()
            self._hold(size)
            self._on_change()

        def refuse() -> None:
            self._on_refused(size)
            self._stop_waiting()

        self._waiter = self._account.wait(
            memory_module.Kind.REQUESTS,
            max(size, memory_module.LARGE_BYTES + 1),
            read_on,
        )
        if self._waiter is None:
            self._hold(size)
            return
        self._timer = self._loop.call_later(MAX_BODY_WAIT_SECONDS, refuse)
        self._on_change()

    def _stop_waiting(self) -> None:
        if self._waiter is not None:
            self._account.cancel(self._waiter)
            self._waiter = None
            self._timer.cancel()
            self._on_change()
