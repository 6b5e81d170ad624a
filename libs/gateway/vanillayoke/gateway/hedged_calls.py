"""Calls that are sent to a second target if the first one is slow.

The first complete response wins, and the other call is cancelled, which makes
its target drop the request.
"""

import asyncio
import copy
import typing

from vanillayoke.core import events as log_events
from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import dispatch
from vanillayoke.gateway import forwarding
from vanillayoke.gateway import messages
from vanillayoke.gateway import refusals
from vanillayoke.scheduling import hedging
from vanillayoke.scheduling import load_counts
from vanillayoke.transport import client


class Call:
    """One of the calls of a request, at a target.

    ``choice`` is the progress with which the target was chosen. That of a
    second call is a copy, so that its choice changes nothing of the first
    call. ``attempt`` is set when the call starts.
    """

    def __init__(
        self, choice: dispatch.Progress, target: messages.Target
    ) -> None:
        self.choice = choice
        self.target = target
        self.attempt: forwarding.Attempt | None = None
        self.task: asyncio.Task | None = None


Send = typing.Callable[
    [dispatch.Progress, Call],
    typing.Coroutine[typing.Any, typing.Any, typing.Any],
]


class HedgedCalls:
    """Sends requests to a first target, and to a second one if it is slow.

    ``send`` sends a call and returns its complete response.
    """

    def __init__(
        self,
        context: context_module.Context,
        dispatcher: dispatch.Dispatcher,
        send: Send,
    ) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.send = send
        self._routes: dict[str, hedging.RouteHedging] = {}

    def may_hedge(self, progress: dispatch.Progress) -> bool:
        """Return whether a request may be sent to two targets at a time.

        A request that must not run twice is never hedged.
        """
        route = progress.route
        return (
            route.kind is messages.RouteKind.SAFE
            and len(progress.started_targets) + 1 < route.max_attempts
            and not progress.is_hedged
            and not self.context.quarantine.is_suspect(progress.runs)
            and self.context.settings.has_feature(messages.Feature.HEDGING)
        )

    async def run(
        self,
        progress: dispatch.Progress,
        target: messages.Target,
        excluded: set[str],
    ) -> typing.Any:
        """Send a request, and return its complete response.

        Return ``None`` if no call succeeded and the request may be sent
        again; the failed targets are then added to ``excluded``. Raise
        ``RefusalError`` if it must not be sent again.
        """
        hedging_state = self.get_route(progress.route.name)
        race = _Race(self, progress, hedging_state, excluded)
        try:
            return await race.run(target)
        finally:
            await race.finish()

    def get_route(self, name: str) -> hedging.RouteHedging:
        """Return what is known of a route's calls."""
        state = self._routes.get(name)
        if state is None:
            state = self._routes[name] = hedging.RouteHedging()
        return state


class _Race:
    """The calls of one request."""

    def __init__(
        self,
        hedged_calls: HedgedCalls,
        progress: dispatch.Progress,
        state: hedging.RouteHedging,
        excluded: set[str],
    ) -> None:
        self._hedged_calls = hedged_calls
        self._context = hedged_calls.context
        self._dispatcher = hedged_calls.dispatcher
        self._progress = progress
        self._state = state
        self._excluded = excluded
        self._calls: list[Call] = []
        self._pending: list[Call] = []
        self._winner: Call | None = None
        # Raised if the other call fails, too.
        self._refusal: refusals.RefusalError | None = None
        self._delay = 0.0

    async def run(self, target: messages.Target) -> typing.Any:
        """Return the first complete response, ``None`` if all calls failed."""
        self._state.budget.record_call(self._context.timers.now())
        self._delay = self._state.latency.compute_delay(
            self._progress.route.latency_objective
        )
        first = Call(self._progress, target)
        self._start(first)
        await asyncio.wait((first.task,), timeout=self._delay)
        if not first.task.done():
            second = await self._choose_second(first)
            if second is not None:
                self._progress.is_hedged = True
                self._start(second)
        while self._pending and self._winner is None:
            await asyncio.wait(
                [call.task for call in self._pending],
                return_when=asyncio.FIRST_COMPLETED,
            )
            for call in list(self._pending):
                if call.task.done():
                    self._record_end(call)
        if self._winner is not None:
            return self._winner.task.result()
        if self._refusal is not None:
            raise self._refusal
        return None

    async def finish(self) -> None:
        """Cancel the calls that have not ended, and record the outcome."""
        for call in self._pending:
            if self._winner is not None and call is self._calls[0]:
                self._record_overtaken(call)
            call.task.cancel()
        if self._pending:
            await asyncio.wait([call.task for call in self._pending])
        if len(self._calls) > 1:
            for call in self._pending:
                self._record_cancelled(call)
            self._write_outcome()
        for call in self._pending:
            if not call.task.cancelled():
                # Marks the exception as handled.
                call.task.exception()
        self._drop_errors()

    def _drop_errors(self) -> None:
        """Drop the errors of calls.

        Their tracebacks refer to the calls, so that these and the request
        would stay until a full garbage collection.
        """
        self._refusal = None
        for call in self._calls:
            call.task = None

    def _start(self, call: Call) -> None:
        call.task = asyncio.get_running_loop().create_task(
            self._hedged_calls.send(self._progress, call)
        )
        self._calls.append(call)
        self._pending.append(call)

    async def _choose_second(self, first: Call) -> Call | None:
        """Return a call at another target, ``None`` without one.

        The choice ends at the latest with the first call.
        """
        timers = self._context.timers
        if not self._state.budget.allows_call(timers.now()):
            self._count('no_budget')
            return None
        if not self._has_capacity(first.target):
            self._count('no_capacity')
            return None
        if self._context.quarantine.is_suspect(self._progress.runs):
            return None
        choice = copy.copy(self._progress)
        choice.started_targets = {*choice.started_targets, first.target.name}
        choosing = asyncio.get_running_loop().create_task(
            self._dispatcher.choose(
                choice, {*self._excluded, first.target.name}
            )
        )
        try:
            await asyncio.wait(
                (first.task, choosing), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            choosing.cancel()
            await asyncio.wait((choosing,))
        if choosing.cancelled() or isinstance(
            choosing.exception(), refusals.RefusalError
        ):
            return None
        target = choosing.result()
        if first.task.done():
            return None
        load = choice.target_load
        # The choice may have waited, which clears the excluded targets.
        if target.name == first.target.name or (
            load is not None and load >= target.slots
        ):
            self._count('no_capacity')
            return None
        # Other calls may have used up the budget during the choice.
        if not self._state.budget.allows_call(timers.now()):
            self._count('no_budget')
            return None
        self._state.budget.record_second_call(timers.now())
        return Call(choice, target)

    def _has_capacity(self, first: messages.Target) -> bool:
        """Return whether another target appears to have a free slot."""
        occupancy = self._context.occupancy
        now = self._context.timers.now()
        service = self._progress.service
        return any(
            target.name != first.name
            and target.name not in self._excluded
            and not occupancy.should_avoid(target.name, now)
            and not occupancy.has_recently_shed(target.name, now)
            and occupancy.get_utilisation(dispatch.make_candidate(target), now)
            < 1
            for target in self._context.catalog.list_targets(service)
        )

    def _record_end(self, call: Call) -> None:
        """Record a call that has ended by itself."""
        progress = self._progress
        error = call.task.exception()
        if error is None:
            if self._winner is None:
                self._pending.remove(call)
                self._winner = call
                progress.target = call.target.name
                progress.status = call.task.result().head.status
                self._dispatcher.record_success(progress, call.target)
            return
        self._pending.remove(call)
        if isinstance(error, refusals.RefusalError):
            self._refusal = error
            self._record_cancelled(call)
            return
        if not isinstance(
            error, client.TransportError | forwarding.NotExecutedError
        ):
            raise error
        self._excluded.add(call.target.name)
        try:
            self._dispatcher.record_failure(progress, call.target, error)
        except refusals.RefusalError as refusal:
            self._refusal = refusal
        if self._pending or self._winner is not None:
            progress.may_have_run = True

    def _record_overtaken(self, first: Call) -> None:
        """Learn from a first call that the second call overtook.

        Its target counts as slow like after a timeout. The time until the
        cancellation would say little: a target that hangs would get more
        calls until the budget is used up, and these would time out.
        """
        now = self._context.timers.now()
        self._state.latency.learn(now - first.attempt.started_at)
        first.attempt.latency_ratio = load_counts.MAX_LATENCY_RATIO

    def _record_cancelled(self, call: Call) -> None:
        """Record a call that may have run, and whose response is not used."""
        if call.attempt is not None and call.attempt.is_sent:
            self._progress.started_targets.add(call.target.name)
            self._progress.broken_attempts += 1

    def _write_outcome(self) -> None:
        first, second = self._calls
        outcome = 'failed'
        if self._winner is not None:
            outcome = 'first' if self._winner is first else 'second'
        elif self._pending:
            outcome = 'cancelled'
        self._count(outcome)
        progress = self._progress
        self._context.log.write(
            log_events.CALL_HEDGED,
            request=progress.call.request,
            organisation=progress.organisation_name,
            service=progress.service,
            target=first.target.name,
            second=second.target.name,
            winner=self._winner and self._winner.target.name,
            outcome=outcome,
            delay_ms=round(self._delay * 1000, 1),
        )

    def _count(self, outcome: str) -> None:
        self._context.metrics.hedged_calls.add(1, outcome=outcome)
