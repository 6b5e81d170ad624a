"""What a connection holds for its requests: read, queued and running."""

import collections

from vanillayoke.core import memory as memory_module


class RequestSizes:
    """Holds memory of one kind for the requests of a connection.

    Without an account, nothing is held. Sizes are in bytes.
    """

    def __init__(
        self,
        account: memory_module.Account | None,
        kind: memory_module.Kind,
    ) -> None:
        self._account = account
        self._kind = kind
        self.read = 0
        self._queued: collections.deque[int] = collections.deque()
        self._running = 0

    def add(self, size: int) -> None:
        """Hold more for the request that is being read."""
        if self._account is not None:
            self.read += size
            self._account.add(self._kind, size)

    def enqueue(self) -> None:
        """Move the request that has been read to the end of the queue."""
        self._queued.append(self.read)
        self.read = 0

    def begin_next(self) -> None:
        """Make the first request of the queue the running one."""
        self._running = self._queued.popleft()

    def end_running(self) -> None:
        """Release the running request."""
        size, self._running = self._running, 0
        if size:
            self._account.add(self._kind, -size)

    def release_queued(self) -> None:
        """Release the requests in the queue."""
        size = sum(self._queued)
        self._queued.clear()
        if size:
            self._account.add(self._kind, -size)

    def release(self) -> None:
        """Release all but the running request."""
        self.release_queued()
        self.add(-self.read)
