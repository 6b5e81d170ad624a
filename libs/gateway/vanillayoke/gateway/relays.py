"""Choice of the instance that relays calls to the store."""

import typing

from vanillayoke.core import timers

# Relays that are tried for one call. The store may refuse a third of the
# instances at the same time.
MAX_ATTEMPTS = 3
# A relay that refused a call is not chosen again for this time.
REFUSAL_MEMORY_SECONDS = 2.0
# No relay is tried for this time after all attempts were refused.
PAUSE_SECONDS = 0.3


class Relays:
    """The instances that may reach the store while this one does not."""

    def __init__(
        self,
        list_relays: typing.Callable[[], typing.Sequence[str]],
        timer_service: timers.TimerService,
        random_float: typing.Callable[[], float],
    ) -> None:
        self._list_relays = list_relays
        self._timers = timer_service
        self._random_float = random_float
        self._paused_until = float('-inf')
        # The relay that last forwarded a call, and when others refused.
        self._last: str | None = None
        self._refused_at: dict[str, float] = {}

    @property
    def has_route(self) -> bool:
        """Whether the last relay forwarded a call and has not failed since."""
        return self._last is not None

    @property
    def is_paused(self) -> bool:
        """Whether no relay is tried, as the last attempts were refused."""
        return self._timers.now() < self._paused_until

    def choose(self) -> str | None:
        """Return the address of a relay to try, ``None`` if there is none."""
        if self.is_paused:
            return None
        now = self._timers.now()
        relays = [
            relay
            for relay in self._list_relays()
            if now - self._refused_at.get(relay, float('-inf'))
            > REFUSAL_MEMORY_SECONDS
        ]
        if self._last in relays:
            return self._last
        return (
            relays[int(self._random_float() * len(relays))] if relays else None
        )

    def record_success(self, relay: str) -> None:
        """Record that a relay forwarded a call."""
        self._last = relay

    def record_refusal(self, relay: str) -> None:
        """Record that a relay could not forward a call."""
        self._refused_at[relay] = self._timers.now()
        self._last = None

    def record_no_response(self) -> None:
        """Record that the last relay did not respond."""
        self._last = None

    def pause(self) -> None:
        """Try no relay for ``PAUSE_SECONDS``."""
        if not self.is_paused:
            self._paused_until = self._timers.now() + PAUSE_SECONDS

    def reset(self) -> None:
        """Reset after the recovery of the store."""
        self._refused_at.clear()
        self._last = None
