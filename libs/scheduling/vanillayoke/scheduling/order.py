"""The priority numbers that engines order their queues by."""

import math

from vanillayoke.scheduling import calls
from vanillayoke.scheduling import policies

_URGENT = -1000
_LEVELS_PER_DOUBLING = 4
_LEAST_SERVICE = 0.02
_MOST_SERVICE = 10.0
"""Engine seconds between which service makes a difference to the order.

Beyond the upper end programs are alike, so that one that loops does not
go before all others for ever.
"""


def find_priority(policy: policies.Order, demand: calls.CallDemand) -> int:
    """Return a call's priority number, lower first.

    The number carries the order over all instances to the engine's queue,
    so that no two instances need to agree on one. It is made of the service
    of the whole tree, which is the same whoever reads it, and not of any
    clock, which is not.
    """
    urgent = _URGENT if demand.urgent else 0
    match policy:
        case policies.FirstCome():
            return urgent
        case policies.AttainedService(most_first):
            level = _find_level(demand.attained)
            return urgent - level if most_first else urgent + level


def _find_level(attained: float) -> int:
    if attained <= _LEAST_SERVICE:
        return 0
    attained = min(attained, _MOST_SERVICE)
    doublings = math.log2(attained / _LEAST_SERVICE)
    return 1 + int(doublings * _LEVELS_PER_DOUBLING)
