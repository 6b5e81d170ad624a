"""Waiting of turns for the store during an outage."""

import typing

from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import dispatch
from vanillayoke.gateway import refusals
from vanillayoke.scheduling import outages

POLL_SECONDS = 0.1
# Callers abort a stream when they receive nothing for the longest of: the
# minimum below, a multiple of the route's latency objective, and a multiple
# of its longest gap between events.
MIN_RESPONSE_TIMEOUT_SECONDS = 2.0
OBJECTIVE_FACTOR = 4.0
GAP_FACTOR = 8.0
RESPONSE_MARGIN_SECONDS = 0.2
# Upper bound of a turn's estimated service time, relative to its time limit.
MAX_SERVICE_TIME_RATIO = 0.5


class StoreWaiting:
    """Applies the decisions of ``scheduling.outages`` to turns.

    ``estimate_service_time`` returns the time in seconds that serving a turn
    typically takes.
    """

    def __init__(
        self,
        context: context_module.Context,
        estimate_service_time: typing.Callable[[dispatch.Progress], float],
    ) -> None:
        self._context = context
        self._estimate_typical_time = estimate_service_time

    async def wait(
        self, progress: dispatch.Progress, error: Exception
    ) -> None:
        """Wait for the store for up to ``POLL_SECONDS``.

        Raise ``RefusalError`` if the store is unlikely to recover in time.
        The deadline is set on the first call and kept, so that a turn does
        not give up after most of its wait because its chances decrease.
        """
        now = self._context.timers.now()
        if progress.store_wait_deadline is None:
            progress.store_wait_deadline = now + self._find_wait(
                progress, error
            )
        remaining = progress.store_wait_deadline - now
        if remaining <= 0:
            raise refusals.RefusalError(
                refusals.Reason.STORE_UNAVAILABLE,
                str(error),
                outages.MIN_PAUSE_SECONDS,
            ) from error
        await self._context.store.wait_before_retry(
            min(remaining, POLL_SECONDS)
        )

    def find_latest_start(self, progress: dispatch.Progress) -> float:
        """Return the latest time at which a turn can start and finish."""
        return self._find_response_deadline(
            progress
        ) - self._estimate_service_time(progress)

    def find_save_deadline(self, progress: dispatch.Progress) -> float:
        """Return the deadline for storing a turn that has run."""
        now = self._context.timers.now()
        turn = outages.CompletedTurn(progress.deadline - now)
        match outages.decide(self._find_outage(now), turn):
            case outages.Wait(timeout):
                return now + timeout
            case outages.Refuse():
                return now

    def _find_wait(
        self, progress: dispatch.Progress, error: Exception
    ) -> float:
        """Return how long a turn may wait for the store, in seconds.

        Raise ``RefusalError`` if it should not wait.
        """
        now = self._context.timers.now()
        outage = self._find_outage(now)
        turn = outages.PendingTurn(
            progress.deadline - now,
            self._find_response_deadline(progress) - now,
            self._estimate_service_time(progress),
        )
        match outages.decide(outage, turn):
            case outages.Wait(timeout):
                return timeout
            case outages.Refuse(retry_after):
                detail = (
                    f'{error}; outage age {outage.age:.2f} s, time left'
                    f' {turn.time_left:.2f} s, needed'
                    f' {turn.service_time:.2f} s'
                )
                raise refusals.RefusalError(
                    refusals.Reason.STORE_UNAVAILABLE, detail, retry_after
                ) from error

    def _find_outage(self, now: float) -> outages.Outage:
        availability = self._context.store.availability
        return outages.Outage(
            availability.get_outage_duration(now),
            tuple(availability.outage_durations),
        )

    def _find_response_deadline(self, progress: dispatch.Progress) -> float:
        """Return the time by which the caller must receive the first event."""
        route = progress.route
        response_timeout = max(
            MIN_RESPONSE_TIMEOUT_SECONDS,
            OBJECTIVE_FACTOR * route.latency_objective,
            GAP_FACTOR * route.max_gap,
        )
        return min(
            progress.deadline,
            progress.started_at + response_timeout - RESPONSE_MARGIN_SECONDS,
        )

    def _estimate_service_time(self, progress: dispatch.Progress) -> float:
        limit = MAX_SERVICE_TIME_RATIO * (
            progress.deadline - progress.started_at
        )
        return min(limit, self._estimate_typical_time(progress))
