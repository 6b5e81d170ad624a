"""All error kinds and the response to a caller for each.

Functions return a ``Failure`` as a sentinel value instead of raising, so that
their signatures show that they may fail.
"""

import enum
import typing


class Ran(enum.Enum):
    """Whether a failed request was executed."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class Kind(enum.Enum):
    """The kinds of errors that callers may receive."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    UNAUTHENTICATED = 'unauthenticated'
    NOT_FOUND = 'not_found'
    UNKNOWN_AGENT = 'unknown_agent'
    KEY_REUSED = 'key_reused'
    CALL_IN_PROGRESS = 'call_in_progress'
    PROGRAM_ENDED = 'program_ended'
    PROGRAM_STOPPED = 'program_stopped'
    BUDGET_EXHAUSTED = 'budget_exhausted'
    LIMIT_REACHED = 'limit_reached'
    OVERLOADED = 'overloaded'
    DEADLINE_PASSED = 'deadline_passed'
    DEADLINE_PASSED_RUNNING = 'deadline_passed_running'
    NO_TARGET = 'no_target'
    TARGET_REFUSED = 'target_refused'
    TARGET_FAILED = 'target_failed'
    TARGETS_FAILED = 'targets_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    STORE_UNAVAILABLE = 'store_unavailable'
    STORE_UNCERTAIN = 'store_uncertain'
    NOT_OWNER = 'not_owner'
    LEASE_LOST = 'lease_lost'
    DRAINING = 'draining'
    CANCELLED = 'cancelled'
    CONFLICT = 'conflict'
    INTERNAL = 'internal'


class Answer(typing.NamedTuple):
    """The response to a caller for an error kind.

    ``status`` is the HTTP status, ``ran`` whether the request was executed,
    ``may_retry`` whether sending the same request again may succeed.
    """

    status: int
    ran: Ran
    may_retry: bool
    text: str


ANSWERS: dict[Kind, Answer] = {
    Kind.BAD_REQUEST: Answer(400, Ran.NO, False, 'The request is malformed.'),
    Kind.BODY_TOO_LARGE: Answer(
        413, Ran.NO, False, 'The request body is too large.'
    ),
    Kind.UNAUTHENTICATED: Answer(
        401, Ran.NO, False, 'The client key is missing or not known.'
    ),
    Kind.NOT_FOUND: Answer(
        404, Ran.NO, False, 'There is no such program or call.'
    ),
    Kind.UNKNOWN_AGENT: Answer(
        422, Ran.NO, False, 'The configuration has no such agent or tool.'
    ),
    Kind.KEY_REUSED: Answer(
        422,
        Ran.NO,
        False,
        'The idempotency key was used before with another request.',
    ),
    Kind.CALL_IN_PROGRESS: Answer(
        409, Ran.NO, True, 'An earlier call of the program is running.'
    ),
    Kind.PROGRAM_ENDED: Answer(409, Ran.NO, False, 'The program has ended.'),
    Kind.PROGRAM_STOPPED: Answer(
        409, Ran.NO, False, 'The program was stopped as a runaway.'
    ),
    Kind.BUDGET_EXHAUSTED: Answer(
        402, Ran.NO, False, "The program's budget does not cover the call."
    ),
    Kind.LIMIT_REACHED: Answer(
        429, Ran.NO, True, "The client's limit is reached."
    ),
    Kind.OVERLOADED: Answer(
        503, Ran.NO, True, 'No capacity before the deadline.'
    ),
    Kind.DEADLINE_PASSED: Answer(
        504, Ran.NO, False, 'The deadline passed before the call ran.'
    ),
    Kind.DEADLINE_PASSED_RUNNING: Answer(
        504, Ran.UNKNOWN, False, 'The deadline passed while the call ran.'
    ),
    Kind.NO_TARGET: Answer(
        503, Ran.NO, True, 'No target serves what the call needs.'
    ),
    Kind.TARGET_REFUSED: Answer(
        502, Ran.NO, True, 'The target refused the call without running it.'
    ),
    Kind.TARGET_FAILED: Answer(
        502, Ran.YES, False, 'The target ran the call and failed.'
    ),
    Kind.TARGETS_FAILED: Answer(
        503,
        Ran.UNKNOWN,
        True,
        'All attempts failed; the call changes nothing and may be repeated.',
    ),
    Kind.OUTCOME_UNKNOWN: Answer(
        502, Ran.UNKNOWN, False, 'The call may or may not have run.'
    ),
    Kind.STORE_UNAVAILABLE: Answer(
        503, Ran.NO, True, "The platform's store cannot be reached."
    ),
    Kind.STORE_UNCERTAIN: Answer(
        503, Ran.UNKNOWN, True, 'The answer could not be made durable.'
    ),
    Kind.NOT_OWNER: Answer(
        503, Ran.UNKNOWN, True, 'The program is moving between instances.'
    ),
    Kind.LEASE_LOST: Answer(
        503, Ran.UNKNOWN, True, 'The instance lost its lease meanwhile.'
    ),
    Kind.DRAINING: Answer(503, Ran.NO, True, 'The instance is stopping.'),
    Kind.CANCELLED: Answer(409, Ran.UNKNOWN, False, 'The call was cancelled.'),
    Kind.CONFLICT: Answer(409, Ran.NO, True, 'Another writer came first.'),
    Kind.INTERNAL: Answer(
        500, Ran.UNKNOWN, False, 'The instance failed in an unforeseen way.'
    ),
}


class Failure(typing.NamedTuple):
    """A sentinel value that stands for an error, with its reason.

    ``reason`` is for operators and contains no client text; ``retry_after`` is
    in seconds, ``None`` if retrying does not help.
    """

    kind: Kind
    reason: str
    retry_after: float | None = None

    @property
    def answer(self) -> Answer:
        """Return the response for this failure's kind."""
        return ANSWERS[self.kind]


def is_failure(value: object) -> typing.TypeGuard[Failure]:
    """Return whether a returned value is a failure."""
    return isinstance(value, Failure)
