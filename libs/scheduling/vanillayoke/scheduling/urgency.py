"""The urgency level of a request, derived from its program's slack.

Targets admit urgent requests first and preempt less urgent ones for them.
Programs with the least slack come first. Programs that can no longer end in
time come after all others.
"""

from vanillayoke.scheduling import program_slack

# Targets know the levels 0 (most urgent) to 9.
LEAST_URGENT_LEVEL = 9
DEFAULT_LEVEL = 5
LATE_LEVEL = 8
# Upper bounds of the slack for each level from BASE_LEVEL on. There are few
# levels, since preempted requests have to process their prompts again: with
# seven levels as many programs ended in time, with a third more preemptions.
SLACK_BOUNDS_SECONDS = (0.4, 1.6)
BASE_LEVEL = 4
# Programs that are overdue by more of their time limit get the lowest level:
# their results are of no more use.
MAX_OVERDUE_RATIO = 1.0
# Slack is multiplied by this factor for each step of lower priority.
PRIORITY_FACTOR = 1.5


def get_level(slack: program_slack.Slack | None, priority: int) -> int:
    """Return the urgency level to send to the target.

    ``priority`` is the route's priority; 0 is the highest.
    """
    if slack is None:
        return DEFAULT_LEVEL
    if slack.overdue > MAX_OVERDUE_RATIO * slack.time_limit:
        return LEAST_URGENT_LEVEL
    if slack.left < 0:
        return LATE_LEVEL
    weighted = slack.left * PRIORITY_FACTOR**priority
    for index, bound in enumerate(SLACK_BOUNDS_SECONDS):
        if weighted <= bound:
            return BASE_LEVEL + index
    return BASE_LEVEL + len(SLACK_BOUNDS_SECONDS)
