"""How long rows of programs are kept in the store, in seconds.

A route promises that a turn can be continued for its retention. Rows are kept
for longer, since later turns need those of earlier ones, clocks differ, and a
program may be about to continue.
"""

import typing

from vanillayoke.gateway import messages

LIFETIME_FACTOR = 2.0
LIFETIME_MARGIN_SECONDS = 60.0
# Covers the difference between the clocks of two instances, and the time until
# a turn that has been read is saved.
SAFETY_MARGIN_SECONDS = 20.0


class Retention(typing.NamedTuple):
    """``promised`` is the longest retention of all routes.

    A row is removed when it has not been written for ``lifetime``.
    """

    promised: float
    lifetime: float

    @classmethod
    def from_configuration(
        cls, configuration: messages.Configuration | None
    ) -> typing.Self:
        """Return the retention of a configuration, of none by default."""
        routes = () if configuration is None else configuration.routes
        promised = max((route.retention for route in routes), default=0.0)
        return cls(
            promised, LIFETIME_FACTOR * promised + LIFETIME_MARGIN_SECONDS
        )

    @property
    def needed(self) -> float:
        """How much longer a row must last when something relies on it."""
        return self.promised + SAFETY_MARGIN_SECONDS

    @property
    def renewal_age(self) -> float:
        """The age at which a row of a running program is written again.

        Another instance may have taken over the program in between, without
        knowing the age of the row, and waits for as long.
        """
        return (self.lifetime - self.needed) / 2
