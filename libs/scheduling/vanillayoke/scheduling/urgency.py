"""How urgent a request is for its target, by the program behind it.

Targets admit the more urgent first and let them push others out. What counts
is that the program as a whole ends in time: a turn whose program has little
time left goes first while it can still make it, and one whose time is up
goes behind all that can.
"""

import typing

# Levels that targets know; 0 goes first.
MOST_URGENT = 0
LEAST_URGENT = 9
# A program whose time is up, and one that can't make it any more.
LATE = 9
HOPELESS = 8
# Time left in seconds up to which a turn gets each level. The steps double:
# what matters near the end is fractions of a second.
STEPS = (0.5, 1.0, 2.0, 4.0, 8.0)
FIRST_LEVEL = 2


class Outlook(typing.NamedTuple):
    """What is known of a request's program, in seconds.

    ``time_left`` is until the program should be over, ``shortest`` what the
    request itself takes at the least.
    """

    time_left: float
    shortest: float


def rank(outlook: Outlook) -> int:
    """Return the level to tell the target."""
    if outlook.time_left <= 0:
        return LATE
    if outlook.time_left < outlook.shortest:
        return HOPELESS
    for index, step in enumerate(STEPS):
        if outlook.time_left <= step:
            return FIRST_LEVEL + index
    return FIRST_LEVEL + len(STEPS)
