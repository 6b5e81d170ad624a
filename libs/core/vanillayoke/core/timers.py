"""The timer service: the only module that reads a clock."""

import abc
import asyncio
import time
import typing


class Subscription(abc.ABC):
    """A scheduled callback that can be cancelled."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancel the callback; calling this twice is harmless."""


class TimerService(abc.ABC):
    """Provides times and scheduled callbacks, in seconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return this process's monotonic time."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return the wall-clock time since the epoch; not monotonic."""

    @abc.abstractmethod
    def call_after(
        self, delay: float, callback: typing.Callable[[], None]
    ) -> Subscription:
        """Call ``callback`` once after a delay."""

    @abc.abstractmethod
    def call_every(
        self, interval: float, callback: typing.Callable[[], None]
    ) -> Subscription:
        """Call ``callback`` after each interval until cancelled."""

    @abc.abstractmethod
    async def sleep(self, delay: float) -> None:
        """Suspend the calling task for a delay."""


class _OnceSubscription(Subscription):
    def __init__(self, handle: asyncio.TimerHandle) -> None:
        self._handle = handle

    def cancel(self) -> None:
        self._handle.cancel()


class _RepeatingSubscription(Subscription):
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        interval: float,
        callback: typing.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._interval = interval
        self._callback = callback
        self._handle = loop.call_later(interval, self._fire)

    def _fire(self) -> None:
        self._handle = self._loop.call_later(self._interval, self._fire)
        self._callback()

    def cancel(self) -> None:
        self._handle.cancel()


class LoopTimers(TimerService):
    """Timer service on an event loop's clock; tests use a virtual one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        read_wall: typing.Callable[[], float] = time.time,
    ) -> None:
        self._loop = loop
        self._read_wall = read_wall

    def now(self) -> float:
        return self._loop.time()

    def wall(self) -> float:
        return self._read_wall()

    def call_after(
        self, delay: float, callback: typing.Callable[[], None]
    ) -> Subscription:
        return _OnceSubscription(self._loop.call_later(delay, callback))

    def call_every(
        self, interval: float, callback: typing.Callable[[], None]
    ) -> Subscription:
        return _RepeatingSubscription(self._loop, interval, callback)

    async def sleep(self, delay: float) -> None:
        await asyncio.sleep(delay)
