"""Authentication of requests by the keys of organisations."""

import typing

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import refusals


class Access:
    """Finds the organisation of each request.

    ``get_bounds`` returns the bounds from the current settings.
    """

    def __init__(
        self,
        get_bounds: typing.Callable[[], messages.Bounds],
        timer_service: timers.TimerService,
    ) -> None:
        self._get_bounds = get_bounds
        self._timers = timer_service
        self._confirmed_at = float('-inf')

    def record_confirmation(self, asked_at: float) -> None:
        """Record that the active configuration was the latest one then."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def identify(
        self,
        configuration: messages.Configuration,
        route: messages.Route | None,
        key: bytes | None,
    ) -> messages.Organisation | None:
        """Return the organisation of a key.

        Return ``None`` if no key is required. Raise ``RefusalError`` if the
        key is unknown, or if it may have been revoked in the meantime.
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
        """Refuse all keys if the configuration may be outdated."""
        bounds = self._get_bounds()
        age = self._timers.now() - self._confirmed_at
        if bounds.is_revocation_strict and age > bounds.revocation_timeout:
            raise refusals.RefusalError(
                refusals.Reason.UNCONFIRMED,
                f'configuration {configuration.version} was confirmed'
                f' {age:.2f} s ago',
            )
