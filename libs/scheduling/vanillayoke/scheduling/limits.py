"""Per-client limits over all instances, without a coordinator.

Each instance enforces its part of a limit: a client's programs are spread
over instances by hash, so the parts are used about evenly. With ``n``
instances, a limit of ``r`` calls a second lets through at most
``r * t + n * max(1, r / n)`` calls in any ``t`` seconds, and a limit of ``p``
running programs at most ``p + n - 1``, once all know the same ``n``.
"""

import math

from vanillayoke.core import failures
from vanillayoke.settings import configuration


class _Allowance:
    __slots__ = ('tokens', 'at')

    def __init__(self, tokens: float, at: float) -> None:
        self.tokens = tokens
        self.at = at


class ClientLimits:
    """One instance's part of all clients' limits."""

    def __init__(self) -> None:
        self._clients: dict[str, configuration.ClientSettings] = {}
        self._instances = 1
        self._allowances: dict[str, _Allowance] = {}
        self._running: dict[str, int] = {}

    def set_clients(
        self, clients: dict[str, configuration.ClientSettings]
    ) -> None:
        """Take over the limits; clients without one are not limited."""
        self._clients = dict(clients)
        for client in [c for c in self._allowances if c not in clients]:
            del self._allowances[client]

    def set_instances(self, count: int) -> None:
        """Tell over how many instances the limits are split."""
        self._instances = count

    def take_call(self, client: str, now: float) -> failures.Failure | None:
        """Take one call from a client's allowance."""
        settings = self._clients.get(client)
        if settings is None:
            return None
        rate = settings.calls_per_second / self._instances
        most = max(1.0, rate)
        allowance = self._allowances.get(client)
        if allowance is None:
            allowance = self._allowances[client] = _Allowance(most, now)
        grown = allowance.tokens + (now - allowance.at) * rate
        allowance.tokens = min(most, grown)
        allowance.at = now
        if allowance.tokens >= 1:
            allowance.tokens -= 1
            return None
        wait = (1 - allowance.tokens) / rate if rate > 0 else None
        return failures.Failure(
            failures.Kind.LIMIT_REACHED, 'too many calls a second', wait
        )

    def open_program(self, client: str) -> failures.Failure | None:
        """Count a root program that wants to start."""
        settings = self._clients.get(client)
        running = self._running.get(client, 0)
        if settings is not None:
            part = math.ceil(settings.running_programs / self._instances)
            if running >= part:
                return failures.Failure(
                    failures.Kind.LIMIT_REACHED, 'too many programs', 1.0
                )
        self._running[client] = running + 1
        return None

    def close_program(self, client: str) -> None:
        """Count a root program that ended."""
        running = self._running.get(client, 0) - 1
        if running > 0:
            self._running[client] = running
        else:
            self._running.pop(client, None)
