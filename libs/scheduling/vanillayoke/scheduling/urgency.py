"""How urgent a request is for its target, by the program behind it.

Targets admit the more urgent first and let them push others out. What counts
is that programs as a whole end in time: the one with the least left to lose
goes first while it can still make it; one that can't any more goes behind
all that can, and one so late that its end is worth nothing goes last.
"""

from vanillayoke.scheduling import program_slack

# Levels that targets know: 0 goes first, 9 last, 5 if nothing is said.
LEAST_URGENT = 9
DEFAULT_LEVEL = 5
LATE = 8
# What a program may still lose, in seconds, up to which it gets each level: a
# turn or two of waiting, and a few more. Few levels, since each step lets a
# turn push another one out, whose prompt is then read again: seven levels
# ended as many programs in time with a third more turns pushed out.
STEPS = (0.4, 1.6)
FIRST_LEVEL = 4
# Programs later than this share of their time end worthless.
WORTHLESS = 1.0
# A rank of priority counts as much as so many times the slack: the same
# slack of a less important program lasts longer.
PRIORITY_FACTOR = 1.5


def get_level(slack: program_slack.Slack | None, priority: int) -> int:
    """Return the level to tell the target.

    ``priority`` is the route's rank, 0 the highest.
    """
    if slack is None:
        return DEFAULT_LEVEL
    if slack.overdue > WORTHLESS * slack.time_limit:
        return LEAST_URGENT
    if slack.left < 0:
        return LATE
    weighed = slack.left * PRIORITY_FACTOR**priority
    for index, step in enumerate(STEPS):
        if weighed <= step:
            return FIRST_LEVEL + index
    return FIRST_LEVEL + len(STEPS)
