"""A wake-up call for a task that waits for work or for a time."""

import asyncio

from vanillayoke.core import timers


class Alarm:
    """Wakes one waiting task, early when rung."""

    def __init__(self, service: timers.TimerService) -> None:
        self._timers = service
        self._event = asyncio.Event()

    def ring(self) -> None:
        """Wake the task now, or spare it its next wait."""
        self._event.set()

    async def wait_until(self, moment: float) -> None:
        """Wait for a monotonic time or until rung."""
        delay = max(moment - self._timers.now(), 0.0)
        subscription = self._timers.call_after(delay, self._event.set)
        try:
            await self._event.wait()
        finally:
            subscription.cancel()
        self._event.clear()
