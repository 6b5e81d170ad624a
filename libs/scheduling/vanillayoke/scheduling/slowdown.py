"""How much a target slows down with the number of its requests.

Engines with many slots can become several times slower long before all slots
are used. By used slots alone, all targets below half full would look alike and
requests would pile up at the nearest ones. The slope differs between engines
and is therefore learned from the time between events of a response and the
target's load.
"""

# Weight of all earlier samples relative to a new one: about the last hundred
# samples count.
DECAY_FACTOR = 0.99
# Initial estimate of the relative slowdown of a full target, and its weight
# in samples.
INITIAL_SLOWDOWN = 0.5
INITIAL_WEIGHT = 5.0
# Latency grows at most in proportion to the requests.
MAX_SLOPE = 1.0


class Slowdown:
    """Learns a service's slope by least squares with exponential decay."""

    def __init__(self, slots: int) -> None:
        self._weight = 0.0
        self._load = 0.0
        self._interval = 0.0
        self._load_squared = 0.0
        self._load_interval = 0.0
        self._initial_slope = INITIAL_SLOWDOWN / max(1, slots)

    def learn(self, load: float, interval: float) -> None:
        """Add a sample: load and average time between events, in any unit."""
        self._weight = self._weight * DECAY_FACTOR + 1
        self._load = self._load * DECAY_FACTOR + load
        self._interval = self._interval * DECAY_FACTOR + interval
        self._load_squared = self._load_squared * DECAY_FACTOR + load * load
        self._load_interval = (
            self._load_interval * DECAY_FACTOR + load * interval
        )

    @property
    def slope(self) -> float:
        """The latency that each request adds, relative to an idle target."""
        if self._weight <= 0:
            return self._initial_slope
        load, interval = (
            self._load / self._weight,
            self._interval / self._weight,
        )
        variance = self._load_squared / self._weight - load * load
        if variance <= 0 or interval <= 0:
            return self._initial_slope
        increase = (
            self._load_interval / self._weight - load * interval
        ) / variance
        idle = max(interval - increase * load, 0.1 * interval)
        observed = min(MAX_SLOPE, max(0.0, increase / idle))
        # Samples at similar loads carry little information on the slope.
        weight = self._weight * min(1.0, variance)
        total = weight + INITIAL_WEIGHT
        return (
            observed * weight + self._initial_slope * INITIAL_WEIGHT
        ) / total
