"""Restarts of long-running tasks that fail unexpectedly."""

import typing

from vanillayoke.core import timers

INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0
# A task that has run for this time since its last failure counts as sound.
RECOVERY_SECONDS = 10.0


class Supervisor:
    """Runs tasks, and starts those that fail again after a backoff.

    ``on_failure`` is called with the name of a task, its error and the seconds
    until it is started again.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        on_failure: typing.Callable[[str, Exception, float], None],
    ) -> None:
        self._timers = timer_service
        self._on_failure = on_failure
        self._failed_at: dict[str, float] = {}

    async def run(
        self,
        name: str,
        start: typing.Callable[
            [], typing.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        """Run a task until it returns; ``start`` is called for each run."""
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                await start()
                return
            except Exception as error:
                now = self._timers.now()
                if not self._is_failing(name, now):
                    backoff = INITIAL_BACKOFF_SECONDS
                self._failed_at[name] = now
                self._on_failure(name, error, backoff)
            await self._timers.sleep(backoff)
            backoff = min(MAX_BACKOFF_SECONDS, 2 * backoff)

    def list_failing(self) -> list[str]:
        """Return the tasks that failed in the last ``RECOVERY_SECONDS``."""
        now = self._timers.now()
        return [
            name for name in self._failed_at if self._is_failing(name, now)
        ]

    def _is_failing(self, name: str, now: float) -> bool:
        failed_at = self._failed_at.get(name)
        return failed_at is not None and now - failed_at < RECOVERY_SECONDS
