"""Priority numbers of calls, by which engines order their queues."""

import math

from vanillayoke.scheduling import calls
from vanillayoke.scheduling import policies

_URGENT_OFFSET = -1000
_LEVELS_PER_DOUBLING = 4
_MIN_SERVICE_SECONDS = 0.02
_MAX_SERVICE_SECONDS = 10.0
"""Attained service is clipped to this range.

The upper bound prevents a program in an endless loop from having precedence
over all others for ever.
"""


def compute_priority(policy: policies.Order, demand: calls.CallDemand) -> int:
    """Return a call's priority number; lower numbers run first.

    It depends on the attained service of the program tree and not on clocks,
    so that it is comparable between instances without coordination.
    """
    offset = _URGENT_OFFSET if demand.urgent else 0
    match policy:
        case policies.FirstCome():
            return offset
        case policies.AttainedService(most_first):
            level = _compute_level(demand.attained)
            return offset - level if most_first else offset + level


def _compute_level(attained: float) -> int:
    if attained <= _MIN_SERVICE_SECONDS:
        return 0
    attained = min(attained, _MAX_SERVICE_SECONDS)
    doublings = math.log2(attained / _MIN_SERVICE_SECONDS)
    return 1 + int(doublings * _LEVELS_PER_DOUBLING)
