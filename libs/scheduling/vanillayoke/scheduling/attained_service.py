"""The service that organisations have attained at one target.

Times are in seconds on one clock.
"""

import math
import typing

# Service attained earlier counts less: bursts last from 6 to 20 s.
SERVICE_HALF_LIFE_SECONDS = 2.0
# Attained service is rescaled, and negligible records are dropped, when its
# unit has doubled this many times.
MAX_DOUBLINGS = 8
MIN_SERVICE_RATIO = 0.05


class Charge(typing.NamedTuple):
    """The service that an organisation was charged with a grant."""

    organisation: str
    weight: float
    seconds: float


class AttainedService:
    """The service that organisations attained, relative to their weights.

    Earlier service decays. It is stored in a unit that grows with time, so
    that only the record of the organisation served has to change.
    """

    def __init__(self) -> None:
        self._records: dict[str, tuple[float, float]] = {}
        self._total = 0.0
        self._total_weight = 0.0
        self._epoch = 0.0

    def add(
        self, organisation: str, weight: float, seconds: float, now: float
    ) -> None:
        """Record that an organisation was served."""
        doublings = (now - self._epoch) / SERVICE_HALF_LIFE_SECONDS
        if doublings > MAX_DOUBLINGS:
            self._rescale(doublings)
            self._epoch = now
            doublings = 0.0
        value, former_weight = self._records.get(organisation, (0.0, 0.0))
        added = max(seconds * 2.0**doublings, -value)
        self._records[organisation] = (value + added, weight)
        self._total += added
        self._total_weight += weight - former_weight

    def get_share(self, organisation: str, weight: float, now: float) -> float:
        """Return the attained service relative to the weight."""
        value, _ = self._records.get(organisation, (0.0, 0.0))
        return value * self._compute_decay(now) / weight

    def get_level(
        self, organisation: str, weight: float, allowance: float, now: float
    ) -> int:
        """Return how far an organisation is above the average share.

        Level 0 is at most the average, each further level up to twice as
        much. Within a level, slack decides. ``allowance`` is the service of
        one request, which alone does not raise the level.
        """
        record = self._records.get(organisation)
        if record is None:
            return 0
        decay = self._compute_decay(now)
        share = (record[0] * decay - allowance) / weight
        mean = self._total * decay / self._total_weight
        if share <= mean or mean <= 0:
            return 0
        return 1 + int(math.log2(share / mean))

    def _compute_decay(self, now: float) -> float:
        return 0.5 ** ((now - self._epoch) / SERVICE_HALF_LIFE_SECONDS)

    def _rescale(self, doublings: float) -> None:
        factor = 0.5**doublings
        threshold = MIN_SERVICE_RATIO * self._total * factor
        threshold /= max(1, len(self._records))
        self._records = {
            name: (value * factor, weight)
            for name, (value, weight) in self._records.items()
            if value * factor > threshold
        }
        self._total = sum(value for value, _ in self._records.values())
        self._total_weight = sum(w for _, w in self._records.values())
