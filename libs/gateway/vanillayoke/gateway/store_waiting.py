"""Turns that wait for the store: until when, and what they are told then."""

import typing

from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import dispatch
from vanillayoke.gateway import refusals
from vanillayoke.scheduling import outages

# How often a turn that waits asks whether its time is over. Seconds.
PAUSE = 0.1
# Callers give a stream up when nothing comes for two seconds, four times its
# objective or eight times its longest pause, whichever is longest; an answer
# has to be there a little before. Seconds.
SHORTEST_SILENCE = 2.0
OBJECTIVE_TIMES = 4.0
GAP_TIMES = 8.0
SILENCE_MARGIN = 0.2
# A turn is taken to need this share of its caller's time at the most.
MOST_NEEDED = 0.5


class StoreWaiting:
    """Carries out what ``scheduling.outages`` decides.

    ``find_need`` says about how many seconds it takes to serve a turn.
    """

    def __init__(
        self,
        context: context_module.Context,
        find_need: typing.Callable[[dispatch.Progress], float],
    ) -> None:
        self._context = context
        self._find_usual_need = find_need

    async def wait(
        self, progress: dispatch.Progress, error: Exception
    ) -> None:
        """Wait a little for the store, or refuse where that does not pay.

        Whether it pays is decided once: the chance to be served in what is
        left falls as a wait goes on, and who gave up on that would throw the
        waited time away.
        """
        now = self._context.timers.now()
        if progress.store_wait_deadline is None:
            progress.store_wait_deadline = now + self._find_wait(
                progress, error
            )
        left = progress.store_wait_deadline - now
        if left <= 0:
            raise refusals.RefusalError(
                refusals.Reason.STORE_UNAVAILABLE,
                str(error),
                outages.MIN_PAUSE_SECONDS,
            ) from error
        await self._context.store.wait_before_retry(min(left, PAUSE))

    def find_latest_start(self, progress: dispatch.Progress) -> float:
        """Return until when a turn can wait and still be served."""
        return self._find_silence_end(progress) - self._find_need(progress)

    def find_save_deadline(self, progress: dispatch.Progress) -> float:
        """Return until when a turn that has run waits for its row."""
        now = self._context.timers.now()
        turn = outages.CompletedTurn(progress.deadline - now)
        match outages.decide(self._find_outage(now), turn):
            case outages.Wait(longest):
                return now + longest
            case outages.Refuse():
                return now

    def _find_wait(
        self, progress: dispatch.Progress, error: Exception
    ) -> float:
        """Return how long a turn may wait for the store, in seconds."""
        now = self._context.timers.now()
        outage = self._find_outage(now)
        turn = outages.PendingTurn(
            progress.deadline - now,
            self._find_silence_end(progress) - now,
            self._find_need(progress),
        )
        match outages.decide(outage, turn):
            case outages.Wait(longest):
                return longest
            case outages.Refuse(pause):
                detail = (
                    f'{error}; away for {outage.age:.2f} s,'
                    f' {turn.time_left:.2f} s'
                    f' left, {turn.service_time:.2f} s needed'
                )
                raise refusals.RefusalError(
                    refusals.Reason.STORE_UNAVAILABLE, detail, pause
                ) from error

    def _find_outage(self, now: float) -> outages.Outage:
        availability = self._context.store.availability
        return outages.Outage(
            availability.get_outage_duration(now),
            tuple(availability.outage_durations),
        )

    def _find_silence_end(self, progress: dispatch.Progress) -> float:
        """Return when the caller gives up if nothing comes until then."""
        route = progress.route
        silence = max(
            SHORTEST_SILENCE,
            OBJECTIVE_TIMES * route.latency_objective,
            GAP_TIMES * route.max_gap,
        )
        return min(
            progress.deadline, progress.started_at + silence - SILENCE_MARGIN
        )

    def _find_need(self, progress: dispatch.Progress) -> float:
        longest = MOST_NEEDED * (progress.deadline - progress.started_at)
        return min(longest, self._find_usual_need(progress))
