"""Whether and when a failed call is sent again."""

import random
import typing

from vanillayoke.core import failures
from vanillayoke.scheduling import calls

_FIRST_BACKOFF = 0.05
_LONGEST_BACKOFF = 5.0
_MOST_SAVED = 20.0
_NOT_RUN = 'refused'


class Retry(typing.NamedTuple):
    """Send the call again after some seconds, with the new demand."""

    demand: calls.CallDemand
    after: float


class RetryBudget:
    """Retries as a fraction of the calls of one instance.

    When targets fail for everybody, each call would be sent several times
    and the retries would keep the targets down. The budget bounds them to a
    fraction of the first attempts.
    """

    def __init__(self, fraction: float, source: random.Random) -> None:
        self._fraction = fraction
        self._source = source
        self._saved = _MOST_SAVED

    def note_call(self) -> None:
        """Count a first attempt."""
        self._saved = min(_MOST_SAVED, self._saved + self._fraction)

    def plan(
        self,
        demand: calls.CallDemand,
        outcome: calls.Outcome,
        attempt: int,
        now: float,
    ) -> Retry | failures.Failure:
        """Plan a retry of a call whose ``attempt`` (from 1) failed.

        Only an idempotent call, or one that has proven not to have run, is
        sent again.
        """
        if outcome.state != _NOT_RUN and not demand.idempotent:
            return failures.Failure(
                failures.Kind.OUTCOME_UNKNOWN, 'the call may not be repeated'
            )
        after = self._draw_backoff(attempt)
        if now + after >= demand.deadline:
            return self._give_up(outcome, 'the deadline is too near')
        if self._saved < 1:
            return self._give_up(outcome, 'too many calls are being retried')
        self._saved -= 1
        avoid = demand.avoid | {outcome.target}
        return Retry(demand._replace(avoid=avoid), after)

    def may_hedge(self, demand: calls.CallDemand) -> bool:
        """Tell whether a slow call may be sent to a second target."""
        if not demand.idempotent or self._saved < 1:
            return False
        self._saved -= 1
        return True

    def _draw_backoff(self, attempt: int) -> float:
        longest = _FIRST_BACKOFF * 2 ** min(attempt, 10)
        return self._source.uniform(0, min(longest, _LONGEST_BACKOFF))

    def _give_up(
        self, outcome: calls.Outcome, reason: str
    ) -> failures.Failure:
        match outcome.state:
            case 'refused':
                return failures.Failure(
                    failures.Kind.TARGET_REFUSED, reason, 1.0
                )
            case 'failed':
                return failures.Failure(failures.Kind.TARGET_FAILED, reason)
        return failures.Failure(failures.Kind.OUTCOME_UNKNOWN, reason)
