"""The memory that a server's connection holds for its client."""

import typing

from vanillayoke.core import memory as memory_module
from vanillayoke.transport import body_memory
from vanillayoke.transport import request_sizes

# How long a request waits for memory before it is refused.
MAX_WAIT_SECONDS = body_memory.MAX_BODY_WAIT_SECONDS
# Protocol, parser, transport and buffers of a connection that is in use.
CONNECTION_BYTES = 16 * 1024
# The head as read and the copy that is written to the target.
HEAD_COPIES = 2
# The handler of a request, without its head and body.
REQUEST_BYTES = 8 * 1024


class ConnectionMemory:
    """Holds memory for a connection, its requests and what is not sent.

    Without an account, nothing is counted. While the body that is being read
    has to wait for memory, ``is_waiting`` is set; see ``BodyMemory`` for
    ``on_change`` and ``on_refused``.
    """

    def __init__(
        self,
        account: memory_module.Account | None,
        on_change: typing.Callable[[], None],
        on_refused: typing.Callable[[int], None],
    ) -> None:
        self._account = account
        self._heads = request_sizes.RequestSizes(
            account, memory_module.Kind.HEADS
        )
        self._bodies: body_memory.BodyMemory | None = None
        if account is not None:
            self._bodies = body_memory.BodyMemory(
                account, on_change, on_refused
            )
        # Of the connection itself and of what it has received.
        self._connection_bytes = 0
        self._head_bytes = 0
        self.unsent_bytes = 0

    @property
    def is_waiting(self) -> bool:
        """Whether the body must not be read further."""
        return self._bodies is not None and self._bodies.is_waiting

    def open(self) -> None:
        """Hold memory for the connection."""
        self.set_received(0, False)

    def set_received(self, size: int, holds_unread: bool) -> None:
        """Set how many bytes are received and not parsed.

        With ``holds_unread``, the kernel holds more for the process.
        """
        if self._account is None:
            return
        size += CONNECTION_BYTES
        if holds_unread:
            size += self._account.receive_buffer_bytes
        if size != self._connection_bytes:
            self._account.add(
                memory_module.Kind.CONNECTIONS, size - self._connection_bytes
            )
            self._connection_bytes = size

    def set_unsent(self, size: int) -> None:
        """Set how many bytes the client has not taken."""
        if self._account is not None and size != self.unsent_bytes:
            self._account.add(
                memory_module.Kind.RESPONSES, size - self.unsent_bytes
            )
            self.unsent_bytes = size

    # Requests

    def set_head(self, size: int) -> None:
        """Set how many bytes the head that is being read has so far."""
        if size > self._head_bytes:
            self._heads.add(HEAD_COPIES * (size - self._head_bytes))
            self._head_bytes = size

    def expect_body(self, length: int) -> None:
        """Hold memory for a body of known length, or wait for it."""
        if self._bodies is not None:
            self._bodies.expect(length)

    def add_body(self, length: int) -> None:
        """Hold memory for a part of a body of unknown length."""
        if self._bodies is not None:
            self._bodies.add(length)

    def enqueue(self, body_length: int) -> None:
        """Move the request that has been read to the end of the queue."""
        self._heads.add(REQUEST_BYTES)
        self._heads.enqueue()
        self._head_bytes = 0
        if self._bodies is not None:
            self._bodies.enqueue(body_length)

    def begin_next(self) -> None:
        """Make the first request of the queue the running one."""
        self._heads.begin_next()
        if self._bodies is not None:
            self._bodies.begin_next()

    def end_running(self) -> None:
        """Release the running request."""
        self._heads.end_running()
        if self._bodies is not None:
            self._bodies.end_running()

    def release_queued(self) -> None:
        """Release the requests in the queue."""
        self._heads.release_queued()
        if self._bodies is not None:
            self._bodies.release_queued()

    def release(self) -> None:
        """Release all but the running request."""
        self._heads.release()
        if self._bodies is not None:
            self._bodies.release()
        if self._account is not None:
            self.set_unsent(0)
            self._account.add(
                memory_module.Kind.CONNECTIONS, -self._connection_bytes
            )
            self._connection_bytes = 0
            # Nothing more is held.
            self._account = None
