"""An event loop in virtual time: waiting costs nothing and is exact."""

import asyncio
import selectors

MOST_TURNS = 200_000
SHORTEST_WAIT = 1e-6


class _JumpingSelector(selectors.SelectSelector):
    """Moves the loop's clock on instead of waiting for it.

    Real sockets are polled without waiting; a test that uses them must use
    a real loop instead.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = 0.0
        self._turns = 0

    def select(self, timeout: float | None = None):
        self._note_turn(timeout)
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError('deadlock: every task waits for ever')
        if not ready and timeout > 0:
            # A wait too short to change the clock's float would leave a
            # task that waits for a time waiting for it for ever.
            self.clock += max(timeout, SHORTEST_WAIT)
        return ready

    def _note_turn(self, timeout: float | None) -> None:
        """Fail where tasks keep each other busy while time stands still."""
        self._turns = self._turns + 1 if timeout == 0 else 0
        if self._turns > MOST_TURNS:
            raise RuntimeError('the loop spins without time going on')


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose clock starts at ``START`` and jumps to the next timer."""

    START = 1000.0

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        return self.START + self._jumping.clock

    def finish(self) -> None:
        """Cancel the tasks that a test left behind and let them end."""
        # A cancelled task may start another one to clean up behind it.
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            self.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True)
            )
        self.run_until_complete(self.shutdown_asyncgens())
