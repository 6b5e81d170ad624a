"""Per-client limits over all instances, without a coordinator.

Each instance enforces an equal share of a limit, since a client's programs
are distributed over the instances by hash. With ``n`` instances, a limit of
``r`` calls per second admits at most ``r * t + n * max(1, r / n)`` calls in
any ``t`` seconds, and a limit of ``p`` running programs at most ``p + n - 1``,
once all instances know the same ``n``.
"""

import math

from vanillayoke.core import failures
from vanillayoke.settings import configuration


class _TokenBucket:
    __slots__ = ('tokens', 'updated_at')

    def __init__(self, tokens: float, updated_at: float) -> None:
        self.tokens = tokens
        self.updated_at = updated_at


class ClientLimits:
    """One instance's share of all clients' limits."""

    def __init__(self) -> None:
        self._clients: dict[str, configuration.ClientSettings] = {}
        self._instances = 1
        self._buckets: dict[str, _TokenBucket] = {}
        self._running: dict[str, int] = {}

    def set_clients(
        self, clients: dict[str, configuration.ClientSettings]
    ) -> None:
        """Set the limits; clients without one are not limited."""
        self._clients = dict(clients)
        for client in [c for c in self._buckets if c not in clients]:
            del self._buckets[client]

    def set_instances(self, count: int) -> None:
        """Set the number of instances that share the limits."""
        self._instances = count

    def take_call(self, client: str, now: float) -> failures.Failure | None:
        """Count a call; return a failure if it exceeds the client's rate."""
        settings = self._clients.get(client)
        if settings is None:
            return None
        rate = settings.calls_per_second / self._instances
        capacity = max(1.0, rate)
        bucket = self._buckets.get(client)
        if bucket is None:
            bucket = self._buckets[client] = _TokenBucket(capacity, now)
        refilled = bucket.tokens + (now - bucket.updated_at) * rate
        bucket.tokens = min(capacity, refilled)
        bucket.updated_at = now
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return None
        retry_after = (1 - bucket.tokens) / rate if rate > 0 else None
        return failures.Failure(
            failures.Kind.LIMIT_REACHED,
            'too many calls per second',
            retry_after,
        )

    def open_program(self, client: str) -> failures.Failure | None:
        """Count a root program; return a failure if there are too many."""
        settings = self._clients.get(client)
        running = self._running.get(client, 0)
        if settings is not None:
            share = math.ceil(settings.running_programs / self._instances)
            if running >= share:
                return failures.Failure(
                    failures.Kind.LIMIT_REACHED,
                    'too many running programs',
                    1.0,
                )
        self._running[client] = running + 1
        return None

    def close_program(self, client: str) -> None:
        """Record the end of a root program."""
        running = self._running.get(client, 0) - 1
        if running > 0:
            self._running[client] = running
        else:
            self._running.pop(client, None)
