"""Exit statuses of the command line."""

import enum


class Exit(enum.IntEnum):
    """Exit statuses; their meanings are in ``reference``."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    RACE_LOST = 3
    NOT_REACHABLE = 4
