"""The planned stop of this instance, as handlers of requests see it."""


class Shutdown:
    """Whether the instance stops, and since when, in seconds."""

    def __init__(self) -> None:
        self.started_at: float | None = None

    def start(self, now: float) -> None:
        """Record that the shutdown begins."""
        self.started_at = now

    def find_age(self, now: float) -> float | None:
        """Return the time since the shutdown began, ``None`` before it."""
        return None if self.started_at is None else now - self.started_at
