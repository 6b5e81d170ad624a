"""How much slower a target makes each event the more requests it works on.

The load that this answers: engines with so many slots that a batch far below
full is already several times slower than an empty one. Counted by full slots
alone, all places below half full look alike, and requests pile up at the
nearest. Engines differ in this, so it is learned from the answers: the time
from event to event against the requests that the target had.
"""

# Weight of what was seen before each new answer: about the last hundred
# count, some seconds of an instance's work.
MEMORY = 0.99
# Before anything is seen a full target counts as half as slow again; that
# guess weighs as much as so many answers.
FIRST_SLOWDOWN = 0.5
FIRST_WEIGHT = 5.0
# No engine gets slower than in proportion to its requests.
STEEPEST = 1.0


class Slowdown:
    """Learns one service's slope by least squares with fading memory."""

    def __init__(self, slots: int) -> None:
        self._weight = 0.0
        self._load = 0.0
        self._gap = 0.0
        self._load_squared = 0.0
        self._load_gap = 0.0
        self._guess = FIRST_SLOWDOWN / max(1, slots)

    def learn(self, load: float, gap: float) -> None:
        """Take an answer's mean time between events, in any unit."""
        self._weight = self._weight * MEMORY + 1
        self._load = self._load * MEMORY + load
        self._gap = self._gap * MEMORY + gap
        self._load_squared = self._load_squared * MEMORY + load * load
        self._load_gap = self._load_gap * MEMORY + load * gap

    @property
    def slope(self) -> float:
        """What each request adds, as a share of the time when idle."""
        if self._weight <= 0:
            return self._guess
        load, gap = self._load / self._weight, self._gap / self._weight
        spread = self._load_squared / self._weight - load * load
        if spread <= 0 or gap <= 0:
            return self._guess
        rise = (self._load_gap / self._weight - load * gap) / spread
        idle = max(gap - rise * load, 0.1 * gap)
        seen = min(STEEPEST, max(0.0, rise / idle))
        # Answers at about the same load say little of the slope.
        weight = self._weight * min(1.0, spread)
        total = weight + FIRST_WEIGHT
        return (seen * weight + self._guess * FIRST_WEIGHT) / total
