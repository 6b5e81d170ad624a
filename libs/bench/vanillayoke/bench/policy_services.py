"""A service beside the engines: some calls at once, the rest wait."""

import collections


class Service:
    """A service with a limit of its own; waiting calls run in order.

    ``most_present`` is the highest number of calls that were there at
    once, running or waiting, to show what limits let through.
    """

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.running = 0
        self.most_present = 0
        self._slots = slots
        self._waiting: collections.deque[tuple[str, float]] = (
            collections.deque()
        )

    @property
    def waiting(self) -> int:
        """Calls that wait for others to end."""
        return len(self._waiting)

    def submit(self, call: str, seconds: float, now: float) -> None:
        """Queue a call that takes some seconds of its own."""
        self._waiting.append((call, seconds))
        present = self.running + self.waiting
        self.most_present = max(self.most_present, present)

    def start(self, now: float) -> list[tuple[str, float]]:
        """Start what there is room for; return calls and when they end."""
        started = []
        while self._waiting and self.running < self._slots:
            call, seconds = self._waiting.popleft()
            self.running += 1
            started.append((call, now + seconds))
        return started

    def finish(self) -> None:
        """Make room for the next call."""
        self.running -= 1
