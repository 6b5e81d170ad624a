"""Reasons for refusing a request, with the status sent to the caller.

The statuses 429 and 503 guarantee that the request has not run and will not
run.
"""

import enum

from vanillayoke.core import failures

_SHORT_RETRY_SECONDS = 0.25
_STORE_RETRY_SECONDS = 1.0
# Another instance may serve the request immediately.
_OTHER_INSTANCE_RETRY_SECONDS = 0.02


class Reason(enum.Enum):
    """Why a request was refused; the values appear in logs and metrics."""

    BAD_REQUEST = 'bad_request'
    NO_CONFIGURATION = 'no_configuration'
    NO_ROUTE = 'no_route'
    UNKNOWN_KEY = 'unknown_key'
    UNCONFIRMED = 'unconfirmed'
    OVER_LIMIT = 'over_limit'
    OVER_LIMIT_URGENT = 'over_limit_urgent'
    NO_TARGET = 'no_target'
    VERSION_GONE = 'version_gone'
    ORIGIN_UNKNOWN = 'origin_unknown'
    EVENTS_UNKNOWN = 'events_unknown'
    BUSY = 'busy'
    NO_CAPACITY = 'no_capacity'
    LATE = 'late'
    LATE_RUNNING = 'late_running'
    BUDGET_SPENT = 'budget_spent'
    UNKNOWN_TURN = 'unknown_turn'
    STORE_UNAVAILABLE = 'store_away'
    ISOLATED = 'isolated'
    MEMORY = 'memory'
    QUARANTINED = 'quarantined'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    NOT_SAVED = 'not_kept'
    FAILED = 'failed'
    FAILED_RUNNING = 'failed_running'
    STARTING = 'starting'
    STOPPING = 'stopping'
    INTERRUPTED = 'interrupted'
    INTERRUPTED_RUNNING = 'interrupted_running'


_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_ROUTE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.UNCONFIRMED: 503,
    Reason.OVER_LIMIT: 429,
    Reason.OVER_LIMIT_URGENT: 429,
    Reason.NO_TARGET: 503,
    Reason.VERSION_GONE: 503,
    Reason.ORIGIN_UNKNOWN: 503,
    Reason.EVENTS_UNKNOWN: 503,
    Reason.BUSY: 503,
    Reason.NO_CAPACITY: 503,
    Reason.LATE: 503,
    Reason.LATE_RUNNING: 504,
    Reason.BUDGET_SPENT: 402,
    Reason.UNKNOWN_TURN: 404,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.ISOLATED: 503,
    Reason.MEMORY: 503,
    Reason.QUARANTINED: 503,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.NOT_SAVED: 502,
    Reason.FAILED: 503,
    Reason.FAILED_RUNNING: 500,
    Reason.STARTING: 503,
    Reason.STOPPING: 503,
    Reason.INTERRUPTED: 503,
    Reason.INTERRUPTED_RUNNING: 504,
}

_RETRY_AFTER_SECONDS = {
    Reason.NO_CONFIGURATION: _STORE_RETRY_SECONDS,
    Reason.UNCONFIRMED: _OTHER_INSTANCE_RETRY_SECONDS,
    Reason.NO_TARGET: _SHORT_RETRY_SECONDS,
    Reason.ORIGIN_UNKNOWN: _OTHER_INSTANCE_RETRY_SECONDS,
    Reason.BUSY: _SHORT_RETRY_SECONDS,
    Reason.NO_CAPACITY: _SHORT_RETRY_SECONDS,
    Reason.LATE: _SHORT_RETRY_SECONDS,
    Reason.STORE_UNAVAILABLE: _STORE_RETRY_SECONDS,
    Reason.MEMORY: _SHORT_RETRY_SECONDS,
    Reason.ISOLATED: _OTHER_INSTANCE_RETRY_SECONDS,
    Reason.FAILED: _SHORT_RETRY_SECONDS,
    Reason.STARTING: _SHORT_RETRY_SECONDS,
    Reason.STOPPING: _OTHER_INSTANCE_RETRY_SECONDS,
    Reason.INTERRUPTED: _OTHER_INSTANCE_RETRY_SECONDS,
}

_RAN = {
    Reason.LATE_RUNNING: failures.Ran.UNKNOWN,
    Reason.OUTCOME_UNKNOWN: failures.Ran.UNKNOWN,
    Reason.NOT_SAVED: failures.Ran.YES,
    Reason.FAILED_RUNNING: failures.Ran.UNKNOWN,
    Reason.INTERRUPTED_RUNNING: failures.Ran.UNKNOWN,
}


class RefusalError(Exception):
    """The gateway answers a request itself, with an error status.

    ``retry_after`` is in seconds and replaces the default of the reason. If
    ``is_exact``, the caller is expected at that time, so no jitter is added.
    """

    def __init__(
        self,
        reason: Reason,
        detail: str = '',
        retry_after: float | None = None,
        is_exact: bool = False,
    ) -> None:
        super().__init__(detail or reason.value)
        self._retry_after = retry_after
        self.is_exact = is_exact
        self.reason = reason
        self.detail = detail

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return _STATUSES[self.reason]

    @property
    def ran(self) -> failures.Ran:
        """Whether the request has run."""
        return _RAN.get(self.reason, failures.Ran.NO)

    @property
    def retry_after(self) -> float | None:
        """Seconds until a retry makes sense, or ``None`` if it never does."""
        if self._retry_after is not None:
            return self._retry_after
        return _RETRY_AFTER_SECONDS.get(self.reason)
