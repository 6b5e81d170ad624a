"""Which other instance is asked to pass a call on to the store."""

import typing

from vanillayoke.core import timers

# So many instances are asked in a row before none counts as a way; one that
# refused is passed over for this time. A third of them may be turned away by
# the store together with this one. Seconds.
MOST = 3
MEMORY = 2.0
# For how long their refusals stand for all instances. Seconds.
CLOSED = 0.3


class Relays:
    """The instances that may reach the store when this one does not."""

    def __init__(
        self,
        list_relays: typing.Callable[[], typing.Sequence[str]],
        timer_service: timers.TimerService,
        draw: typing.Callable[[], float],
    ) -> None:
        self._list_relays = list_relays
        self._timers = timer_service
        self._draw = draw
        self._closed_until = float('-inf')
        # The address that passed on a call last, and when others refused.
        self._last: str | None = None
        self._refused_at: dict[str, float] = {}

    @property
    def has_route(self) -> bool:
        """Whether another instance has passed a call on, and still does."""
        return self._last is not None

    @property
    def is_paused(self) -> bool:
        """Whether those asked last have refused a moment ago."""
        return self._timers.now() < self._closed_until

    def choose(self) -> str | None:
        """Return the address of an instance to ask, if there is one."""
        if self.is_paused:
            return None
        now = self._timers.now()
        relays = [
            relay
            for relay in self._list_relays()
            if now - self._refused_at.get(relay, float('-inf')) > MEMORY
        ]
        if self._last in relays:
            return self._last
        return relays[int(self._draw() * len(relays))] if relays else None

    def record_success(self, relay: str) -> None:
        """Note that an instance passed a call on."""
        self._last = relay

    def record_refusal(self, relay: str) -> None:
        """Note that an instance could not pass a call on."""
        self._refused_at[relay] = self._timers.now()
        self._last = None

    def record_no_response(self) -> None:
        """Note that the instance asked last did not answer."""
        self._last = None

    def pause(self) -> None:
        """Ask nobody for a while."""
        if not self.is_paused:
            self._closed_until = self._timers.now() + CLOSED

    def forget(self) -> None:
        """Forget who refused or helped: the store is back."""
        self._refused_at.clear()
        self._last = None
