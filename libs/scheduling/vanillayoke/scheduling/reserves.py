"""How full a target may be for a request to be sent there, by its urgency.

The load that this answers: a burst over capacity at engines that admit in
order of arrival. Sent at once, all turns queue there alike, and programs end
late together. Instead the last places of each engine are kept for turns whose
programs can still end in time but have little left to lose; those that have
time wait a little, and those that can't make it any more take what the others
leave. Every instance goes by the same count of the engine's requests, so this
needs no queue that they share (trunk reservation, as in telephone networks).

A wait is bounded: a turn that has waited for its share of time is sent
whatever is there, so nobody starves.
"""

from vanillayoke.scheduling import urgency

# The fill up to which a target takes requests of a level. The most urgent may
# queue there, one behind every sixth place, so that a place that comes free
# is taken at once.
_FILLS = {
    urgency.FIRST_LEVEL: 1.15,
    urgency.FIRST_LEVEL + 1: 1.0,
    urgency.FIRST_LEVEL + 2: 0.9,
    urgency.LATE: 0.75,
    urgency.LEAST_URGENT: 0.5,
}
# The share of its caller's time that a turn waits for a place at the most.
# What is left has to do for the turn itself.
MOST_WAIT = 0.4


def find_limit(level: int, slots: int) -> float:
    """Return with how many requests a target takes no more of a level."""
    return max(1.0, _FILLS.get(level, 1.0) * slots)
