"""Freezing one instance of many that share an event loop.

All that moves an instance on is a timer, a reply of a port or a message.
Behind a closed gate these wait; what was sent before takes effect all the
same, as with a real process that is stopped or dies.
"""

import asyncio
import functools
import inspect
import typing

from vanillayoke.core import timers


class Gate:
    """Open while its instance runs."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self._held_back: list[typing.Callable[[], None]] = []

    @property
    def is_open(self) -> bool:
        """Tell whether the instance runs."""
        return self._open.is_set()

    def close(self) -> None:
        """Freeze the instance."""
        self._open.clear()

    def open(self) -> None:
        """Let the instance go on; held-back callbacks come first."""
        self._open.set()
        held_back, self._held_back = self._held_back, []
        for callback in held_back:
            callback()

    async def pass_through(self) -> None:
        """Wait until the instance runs."""
        await self._open.wait()

    def call(self, callback: typing.Callable[[], None]) -> None:
        """Call back now, or when the instance goes on."""
        if self.is_open:
            callback()
        else:
            self._held_back.append(callback)


class GatedTimers(timers.TimerService):
    """The timer service of an instance that can be frozen.

    ``rate`` is how fast its monotonic clock runs against the loop's.
    """

    def __init__(
        self, inner: timers.TimerService, gate: Gate, rate: float = 1.0
    ) -> None:
        self._inner = inner
        self._gate = gate
        self._rate = rate

    def now(self) -> float:
        return self._inner.now() * self._rate

    def wall(self) -> float:
        return self._inner.wall()

    def call_after(
        self, delay: float, callback: typing.Callable[[], None]
    ) -> timers.Subscription:
        return self._inner.call_after(
            delay / self._rate, lambda: self._gate.call(callback)
        )

    def call_every(
        self, interval: float, callback: typing.Callable[[], None]
    ) -> timers.Subscription:
        return self._inner.call_every(
            interval / self._rate, lambda: self._gate.call(callback)
        )

    async def sleep(self, delay: float) -> None:
        await self._inner.sleep(delay / self._rate)
        await self._gate.pass_through()


class GatedPort:
    """Any port, with the replies held back while the gate is closed.

    A request is not sent either while it is closed: the instance does not
    run.
    """

    def __init__(self, inner: typing.Any, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate

    def __getattr__(self, name: str) -> typing.Any:
        found = getattr(self._inner, name)
        if inspect.isasyncgenfunction(found):
            return functools.partial(self._iterate, found)
        if inspect.iscoroutinefunction(found):
            return functools.partial(self._wait, found)
        return found

    async def _wait(
        self, function: typing.Callable, *arguments: typing.Any
    ) -> typing.Any:
        await self._gate.pass_through()
        result = await function(*arguments)
        await self._gate.pass_through()
        return result

    async def _iterate(
        self, function: typing.Callable, *arguments: typing.Any
    ) -> typing.AsyncIterator:
        await self._gate.pass_through()
        async for item in function(*arguments):
            await self._gate.pass_through()
            yield item
