"""States of a target's process after an attempt at it broke off."""

import enum


class State(enum.Enum):
    """What is known of a target's process after an attempt broke off."""

    ENDED = 'ended'
    RESTARTED = 'restarted'
    LEAVING = 'leaving'
    RUNNING = 'running'
    UNKNOWN = 'unknown'

    @property
    def has_crashed(self) -> bool:
        """Whether the process certainly ended without having announced it."""
        return self in (State.ENDED, State.RESTARTED)

    @property
    def may_have_crashed(self) -> bool:
        """Whether a restart that follows shows that the process crashed."""
        return self in (State.RUNNING, State.UNKNOWN)
