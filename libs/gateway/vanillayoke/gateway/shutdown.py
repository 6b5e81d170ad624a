"""The planned stop of this instance: its phases and its last requests."""

import typing

from vanillayoke.core import timers
from vanillayoke.gateway import directory
from vanillayoke.gateway import messages
from vanillayoke.transport import server

# Callers may use an address for up to three times its lifetime; the last
# second is for requests sent at the end of that time.
MIN_ACCEPT_SECONDS = 3 * directory.TTL_SECONDS + 1.0
# At most, of the grace period.
MAX_ACCEPT_RATIO = 1 / 2
# Of the grace period, for accepted requests to end. The rest is for handing
# over state.
FINISH_RATIO = 5 / 6
# Reserved at the end of the grace period for ending the process.
GRACE_MARGIN_SECONDS = 0.7
# For handlers that are interrupted to send their responses.
INTERRUPTION_SECONDS = 0.2
POLL_INTERVAL_SECONDS = 0.05


class Schedule(typing.NamedTuple):
    """When the phases of a shutdown end, in seconds of the monotonic clock.

    Requests are accepted until ``accept_until``. What runs then may end until
    ``finish_until``. State is handed over until ``end_by``.
    """

    started_at: float
    accept_until: float
    finish_until: float
    end_by: float

    @classmethod
    def from_config(cls, bounds: messages.Bounds, now: float) -> typing.Self:
        """Return the schedule of a shutdown that starts now."""
        accept_seconds = min(
            MIN_ACCEPT_SECONDS, MAX_ACCEPT_RATIO * bounds.grace
        )
        return cls(
            now,
            now + accept_seconds,
            now + FINISH_RATIO * bounds.grace,
            now
            + max(
                FINISH_RATIO * bounds.grace,
                bounds.grace - GRACE_MARGIN_SECONDS,
            ),
        )


class Shutdown:
    """Whether the instance stops, and which requests it still accepts."""

    def __init__(self) -> None:
        self._schedule: Schedule | None = None
        self._is_accepting = True

    def start(self, schedule: Schedule) -> None:
        """Record that the shutdown begins."""
        self._schedule = schedule

    def stop_accepting(self) -> None:
        """Record that no more requests are accepted."""
        self._is_accepting = False

    def find_age(self, now: float) -> float | None:
        """Return the time since the shutdown began, ``None`` before it."""
        if self._schedule is None:
            return None
        return now - self._schedule.started_at

    def accepts(self, deadline: float, is_safe: bool) -> bool:
        """Return whether to accept a request that has to end by a deadline."""
        return self._is_accepting and self.may_send(deadline, is_safe)

    def may_send(self, deadline: float, is_safe: bool) -> bool:
        """Return whether to send a request to a target for the first time.

        One that may last longer than this instance would be cut short. Its
        caller could not know its outcome, or get the rest of its stream, while
        another instance can serve all of it. A safe request can be repeated.
        """
        if self._schedule is None or is_safe:
            return True
        return deadline <= self._schedule.finish_until


async def finish_requests(
    servers: typing.Sequence[server.HttpServer],
    timer_service: timers.TimerService,
    deadline: float,
) -> int:
    """Stop listening, and close the connections when their requests ended.

    Handlers that still run at the deadline are interrupted, so that they
    respond. Return the number of these.
    """
    for http_server in servers:
        http_server.stop_listening()
    await _wait_until_inactive(servers, timer_service, deadline)
    interrupted = sum(http_server.interrupt() for http_server in servers)
    await _wait_until_inactive(
        servers, timer_service, timer_service.now() + INTERRUPTION_SECONDS
    )
    for http_server in servers:
        http_server.close()
    return interrupted


async def _wait_until_inactive(
    servers: typing.Sequence[server.HttpServer],
    timer_service: timers.TimerService,
    deadline: float,
) -> None:
    while timer_service.now() < deadline and any(
        http_server.active_connections for http_server in servers
    ):
        await timer_service.sleep(POLL_INTERVAL_SECONDS)
