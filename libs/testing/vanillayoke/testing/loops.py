"""An event loop in virtual time, in which waiting takes no real time."""

import asyncio
import selectors

MAX_ITERATIONS_AT_SAME_TIME = 200_000
MIN_WAIT_SECONDS = 1e-6


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting.

    Real sockets are only polled; a test that uses them needs an ordinary
    loop.
    """

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0
        self._iterations_at_same_time = 0

    def select(self, timeout: float | None = None):
        self._count_iteration(timeout)
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError(
                'deadlock: all tasks are waiting and no timer is scheduled'
            )
        if not ready and timeout > 0:
            # A timeout below the floating-point resolution of the clock would
            # not advance it, and the timer would never become due.
            self.elapsed += max(timeout, MIN_WAIT_SECONDS)
        return ready

    def _count_iteration(self, timeout: float | None) -> None:
        """Raise ``RuntimeError`` after too many iterations at one time."""
        self._iterations_at_same_time = (
            self._iterations_at_same_time + 1 if timeout == 0 else 0
        )
        if self._iterations_at_same_time > MAX_ITERATIONS_AT_SAME_TIME:
            raise RuntimeError(
                'event loop is spinning: virtual time does not advance'
            )


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose clock advances to the next timer without waiting."""

    START_SECONDS = 1000.0

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        return self.START_SECONDS + self._virtual_selector.elapsed

    def finish(self) -> None:
        """Cancel all remaining tasks and wait until they have ended."""
        # A cancelled task may start another one for its cleanup.
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            self.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True)
            )
        self.run_until_complete(self.shutdown_asyncgens())
