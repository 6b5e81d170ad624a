"""Promises of an instance to give programs no more credit.

Others keep back what an instance may have given on credit until it has
promised to give no more and has recorded the rest in the budget's row.
"""

import collections
import typing

from vanillayoke.core import timers

# The promise outlives the account, since another instance may go on with the
# program.
PROMISE_SECONDS = 900.0


class Statement(typing.NamedTuple):
    """Says that all credit of a process is recorded and no more follows.

    ``creditor`` names the process. ``was_only_coordinator`` says that no other
    instance can have given the program credit.
    """

    creditor: str
    was_only_coordinator: bool


class _Promise(typing.NamedTuple):
    made_at: float
    was_only_coordinator: bool


class CreditPromises:
    """The promises of this process.

    ``creditor`` names the process: an instance that has restarted does not
    know what it gave on credit before.
    """

    def __init__(
        self, creditor: str, timer_service: timers.TimerService
    ) -> None:
        self.creditor = creditor
        self._timers = timer_service
        # By program, the latest last.
        self._promises: collections.OrderedDict[str, _Promise] = (
            collections.OrderedDict()
        )

    def __contains__(self, program: str) -> bool:
        return program in self._promises

    def add(self, program: str, is_only_coordinator: bool) -> None:
        """Promise to give a program no more credit.

        ``is_only_coordinator`` says that no other instance can have given
        credit until now.
        """
        previous = self._promises.pop(program, None)
        was_only = previous is not None and previous.was_only_coordinator
        self._promises[program] = _Promise(
            self._timers.now(), was_only or is_only_coordinator
        )

    def make_statement(self, program: str) -> Statement | None:
        """Return the statement of a process that owes no credit.

        ``None`` if it has not promised to give no more.
        """
        promise = self._promises.get(program)
        if promise is None:
            return None
        return Statement(self.creditor, promise.was_only_coordinator)

    def prune(self) -> None:
        """Drop old promises."""
        cutoff = self._timers.now() - PROMISE_SECONDS
        while self._promises:
            program, promise = next(iter(self._promises.items()))
            if promise.made_at > cutoff:
                return
            del self._promises[program]
