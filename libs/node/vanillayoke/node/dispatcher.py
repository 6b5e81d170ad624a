"""Carries the scheduler's decisions out and tells it what happened."""

import asyncio
import collections
import typing

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import scheduler


class CacheOrders(typing.Protocol):
    """Carries out what the scheduler decides on engines' caches."""

    def release(self, target: str, program: str) -> None:
        """Start telling a target to free a program's memory."""

    def export(self, target: str, program: str) -> None:
        """Start exporting a program's cache from a target."""


class Dispatcher:
    """Asks the scheduler for placements and wakes the calls that wait.

    The scheduler is asked after every event and whenever it said that
    time alone changes its answer.
    """

    def __init__(
        self,
        decisions: scheduler.Scheduler,
        clock: timers.TimerService,
        cache_orders: CacheOrders,
    ) -> None:
        self._scheduler = decisions
        self._clock = clock
        self._cache_orders = cache_orders
        self._waiting: dict[str, asyncio.Future] = {}
        self._wake: timers.Subscription | None = None
        self._placements: dict[str, collections.deque] = {}

    @property
    def waiting(self) -> int:
        """Return how many calls wait for a placement."""
        return len(self._waiting)

    async def place(
        self, demand: calls.CallDemand
    ) -> calls.Placement | failures.Failure:
        """Wait until a call is placed or refused."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[demand.call] = future
        self._scheduler.submit(demand, self._clock.now())
        self.pump()
        try:
            result = await future
            if isinstance(result, calls.Placement):
                self._remember(demand.program, result)
            return result
        except asyncio.CancelledError:
            self._scheduler.withdraw(demand.call)
            raise
        finally:
            self._waiting.pop(demand.call, None)

    def finish(self, outcome: calls.Outcome) -> None:
        """Tell how a placed call ended."""
        self._scheduler.finish(outcome, self._clock.now())
        self.pump()

    def pause(self, program: str, tool: str) -> None:
        """Tell that a program waits for a tool."""
        self._scheduler.pause(program, tool, self._clock.now())
        self.pump()

    def end(self, program: str) -> None:
        """Tell that a program ended and its caches can go."""
        self.forget(program)
        self._scheduler.end(program, self._clock.now())
        self.pump()

    def list_placements(self, program: str) -> list[calls.Placement]:
        """Return a hosted program's last placements, oldest first."""
        return list(self._placements.get(program, ()))

    def forget(self, program: str) -> None:
        """Drop what is remembered of a program that left this instance."""
        self._placements.pop(program, None)

    def _remember(self, program: str, placement: calls.Placement) -> None:
        kept = self._placements.setdefault(
            program, collections.deque(maxlen=_REMEMBERED)
        )
        kept.append(placement)

    def pump(self) -> None:
        """Carry out what the scheduler decides now."""
        now = self._clock.now()
        for decision in self._scheduler.decide(now):
            self._carry_out(decision)
        self._set_wake(now)

    def _carry_out(self, decision: calls.Decision) -> None:
        match decision:
            case calls.Placement(call=call):
                self._answer(call, decision)
            case calls.Refusal(call=call, failure=failure):
                self._answer(call, failure)
            case calls.CacheRelease(target=target, program=program):
                self._cache_orders.release(target, program)
            case calls.CacheExport(target=target, program=program):
                self._cache_orders.export(target, program)

    def _answer(
        self, call: str, result: calls.Placement | failures.Failure
    ) -> None:
        future = self._waiting.get(call)
        if future is not None and not future.done():
            future.set_result(result)

    def _set_wake(self, now: float) -> None:
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None
        at = self._scheduler.next_wake(now)
        if at is not None:
            self._wake = self._clock.call_after(
                max(at - now, _SHORTEST_WAKE), self.pump
            )

    def stop(self) -> None:
        """Drop the pending wake-up."""
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None


# Placements kept of each program for operators who ask why.
_REMEMBERED = 20
# A wake-up time in the past must not spin the loop.
_SHORTEST_WAKE = 0.001
