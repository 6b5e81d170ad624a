"""Turns that wait for the store: until when, and what they are told then."""

import typing

from vanillayoke.gateway import dispatch
from vanillayoke.gateway import refusals
from vanillayoke.gateway import shared
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


class Holding:
    """Carries out what ``scheduling.outages`` decides.

    ``find_need`` says about how many seconds it takes to serve a turn.
    """

    def __init__(
        self,
        parts: shared.Parts,
        find_need: typing.Callable[[dispatch.Progress], float],
    ) -> None:
        self._parts = parts
        self._find_usual_need = find_need

    async def hold(
        self, progress: dispatch.Progress, error: Exception
    ) -> None:
        """Wait a little for the store, or refuse where that does not pay.

        Whether it pays is decided once: the chance to be served in what is
        left falls as a wait goes on, and who gave up on that would throw the
        waited time away.
        """
        now = self._parts.timers.now()
        if progress.waits_until is None:
            progress.waits_until = now + self._find_wait(progress, error)
        left = progress.waits_until - now
        if left <= 0:
            raise refusals.RefusalError(
                refusals.Reason.STORE_AWAY, str(error), outages.SHORTEST_PAUSE
            ) from error
        await self._parts.store.wait_before_retry(min(left, PAUSE))

    def find_latest_start(self, progress: dispatch.Progress) -> float:
        """Return until when a turn can wait and still be served."""
        return self._find_silence_end(progress) - self._find_need(progress)

    def find_keeping_end(self, progress: dispatch.Progress) -> float:
        """Return until when a turn that has run waits for its row."""
        now = self._parts.timers.now()
        turn = outages.Finished(progress.until - now)
        match outages.decide(self._find_outage(now), turn):
            case outages.Wait(longest):
                return now + longest
            case outages.Refuse():
                return now

    def _find_wait(
        self, progress: dispatch.Progress, error: Exception
    ) -> float:
        """Return how long a turn may wait for the store, in seconds."""
        now = self._parts.timers.now()
        outage = self._find_outage(now)
        turn = outages.Waiting(
            progress.until - now,
            self._find_silence_end(progress) - now,
            self._find_need(progress),
        )
        match outages.decide(outage, turn):
            case outages.Wait(longest):
                return longest
            case outages.Refuse(pause):
                detail = (
                    f'{error}; away for {outage.age:.2f} s, {turn.left:.2f} s'
                    f' left, {turn.needed:.2f} s needed'
                )
                raise refusals.RefusalError(
                    refusals.Reason.STORE_AWAY, detail, pause
                ) from error

    def _find_outage(self, now: float) -> outages.Outage:
        availability = self._parts.store.availability
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
        return min(progress.until, progress.began + silence - SILENCE_MARGIN)

    def _find_need(self, progress: dispatch.Progress) -> float:
        longest = MOST_NEEDED * (progress.until - progress.began)
        return min(longest, self._find_usual_need(progress))
