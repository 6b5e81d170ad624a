"""What stand-ins of servers record of requests, and their faults."""

import enum
import typing


class Fault(enum.Enum):
    """A fault of one request."""

    SHED = 'shed'
    LOSE_ANSWER = 'lose_answer'
    TRUNCATE_ANSWER = 'cut_answer'
    EXTRA_ANSWER = 'extra_answer'
    GARBAGE = 'garbage'
    UNRESPONSIVE = 'mute'
    ERROR = 'error'


class Execution(typing.NamedTuple):
    """A request that a server started, ``started_at`` in event loop time."""

    request: str
    method: bytes
    target: bytes
    body: bytes
    headers: dict[bytes, bytes]
    started_at: float
