"""The memory for the bodies of the requests of a server's connection."""

import asyncio
import typing

from vanillayoke.core import memory as memory_module
from vanillayoke.transport import request_sizes

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
        self._sizes = request_sizes.RequestSizes(
            account, memory_module.Kind.REQUESTS
        )
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
            self._sizes.add(size)
        else:
            self._wait(size)

    def add(self, length: int) -> None:
        """Hold memory for a part of a body of unknown length."""
        self._sizes.add(BODY_COPIES * length)
        next_size = memory_module.LARGE_BYTES + 1
        if (
            self._sizes.read > memory_module.LARGE_BYTES
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
            self._sizes.add(BODY_COPIES * length - self._sizes.read)
        self._sizes.enqueue()

    def begin_next(self) -> None:
        """Make the first body of the queue that of the running request."""
        self._sizes.begin_next()

    def end_running(self) -> None:
        """Release the body of the running request."""
        self._sizes.end_running()

    def release_queued(self) -> None:
        """Release the bodies in the queue."""
        self._sizes.release_queued()

    def release(self) -> None:
        """Release all but the body of the running request."""
        self._stop_waiting()
        self._sizes.release()

    def _wait(self, size: int) -> None:
        def read_on() -> None:
            self._waiter = None
            self._timer.cancel()
            self._sizes.add(size)
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
            self._sizes.add(size)
            return
        self._timer = self._loop.call_later(MAX_BODY_WAIT_SECONDS, refuse)
        self._on_change()

    def _stop_waiting(self) -> None:
        if self._waiter is not None:
            self._account.cancel(self._waiter)
            self._waiter = None
            self._timer.cancel()
            self._on_change()
