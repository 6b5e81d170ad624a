"""Loads of the zones, merged from what their instances report."""

import typing


class ZoneLoad(typing.NamedTuple):
    """The load of a service's healthy targets in one zone.

    ``capacity`` is the number of slots weighted by the speed of their targets.
    ``measured_at`` is on the clock of the instance that holds this.
    """

    slots: int
    running: float
    waiting: float
    capacity: float
    measured_at: float

    @property
    def utilisation(self) -> float:
        """Running and waiting requests per slot.

        A zone without slots is infinitely utilised.
        """
        if self.slots <= 0:
            return float('inf')
        return (self.running + self.waiting) / self.slots
