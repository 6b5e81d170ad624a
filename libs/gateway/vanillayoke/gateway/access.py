"""Who may send a request: the key of each is looked up anew."""

import typing

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import refusals


class Access:
    """Finds the organisation that a request belongs to."""

    def __init__(
        self,
        get_bounds: typing.Callable[[], messages.Bounds],
        timer_service: timers.TimerService,
    ) -> None:
        self._get_bounds = get_bounds
        self._timers = timer_service
        self._confirmed_at = float('-inf')

    def record_confirmation(self) -> None:
        """Note that the configuration in force is the newest one."""
        self._confirmed_at = self._timers.now()

    def identify(
        self,
        configuration: messages.Configuration,
        route: messages.Route | None,
        key: bytes | None,
    ) -> messages.Organisation | None:
        """Return the organisation of a key.

        ``None`` where requests need no key. Raise a refusal for a key that is
        not in force, or may not be any more.
        """
        if configuration.organisations is None:
            return None
        organisation = configuration.organisations.get(key)
        if route is not None and route.is_public:
            return organisation
        if organisation is None:
            raise refusals.RefusalError(refusals.Reason.UNKNOWN_KEY)
        self._refuse_unconfirmed(configuration)
        return organisation

    def _refuse_unconfirmed(
        self, configuration: messages.Configuration
    ) -> None:
        """Refuse all keys, if any may have been taken away since."""
        bounds = self._get_bounds()
        age = self._timers.now() - self._confirmed_at
        if bounds.is_revocation_strict and age > bounds.revocation_timeout:
            raise refusals.RefusalError(
                refusals.Reason.UNCONFIRMED,
                f'configuration {configuration.version} was confirmed'
                f' {age:.2f} s ago',
            )
