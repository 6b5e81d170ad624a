"""Looking out for leases that run out and for news in the table."""

import asyncio
import random
import typing

from vanillayoke.cluster import leases
from vanillayoke.cluster import rows
from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.node import alarm
from vanillayoke.node import claims
from vanillayoke.node import holdings
from vanillayoke.node import neighbours
from vanillayoke.node import notices
from vanillayoke.node import shardtable
from vanillayoke.node import watcher
from vanillayoke.settings import process

# Reads a second that all instances together use for looking out.
READS_PER_SECOND = 500.0
_SHORTEST_POLL = 0.25
_LONGEST_POLL = 1.0
_SHORTEST_SHARE = 0.8
_WATCH_SHARE = 1 / 12
_NOTICE_SHARE = 1 / 3
_NEVER = float('inf')


def find_watch_interval(instances: int, time_to_live: float) -> float:
    """Return how often a lease is looked at while nothing is in doubt."""
    reads = instances * neighbours.WATCHERS_PER_LEASE
    return max(reads / READS_PER_SECOND, time_to_live * _WATCH_SHARE)


class Lookout:
    """Polls leases under watch, and the news; often while it matters."""

    def __init__(
        self,
        lease: leases.LeaseHolder,
        settings: process.LeaseSettings,
        service: timers.TimerService,
        source: random.Random,
        around: neighbours.Neighbours,
        known: watcher.Watcher,
        news: notices.Notices,
        table: shardtable.ShardTable,
        held: holdings.Holdings,
        claimer: claims.Claimer,
    ) -> None:
        self._lease = lease
        self._time_to_live = settings.time_to_live
        self._timers = service
        self._random = source
        self._neighbours = around
        self._watcher = known
        self._notices = news
        self._table = table
        self._held = held
        self._claimer = claimer
        self._polled: dict[str, float] = {}
        self._watch_alarm = alarm.Alarm(service)
        self._notice_alarm = alarm.Alarm(service)

    def hurry(self) -> None:
        """Look now: membership has news of an instance that is not well."""
        if not self._neighbours.is_calm:
            self._watch_alarm.ring()
            self._notice_alarm.ring()

    async def watch(self) -> None:
        """Watch other instances' leases until the own one is lost."""
        while not self._lease.is_lost:
            due = self._list_due()
            now = self._timers.now()
            self._polled.update((incarnation, now) for incarnation in due)
            await self._watcher.poll(due)
            await self._wait_about(
                self._watch_alarm,
                self._poll_interval,
                self._find_next_expiry(),
            )

    def _find_next_expiry(self) -> float:
        """Return when the next lease under watch may run out."""
        now = self._timers.now()
        expiries = map(self._watcher.find_expiry, self._polled)
        return min((one for one in expiries if one > now), default=_NEVER)

    def _list_due(self) -> list[str]:
        watched = self._neighbours.list_watched()
        self._polled = {
            incarnation: self._polled.get(incarnation, float('-inf'))
            for incarnation in watched
        }
        return [one for one in watched if self._is_due(one)]

    def _is_due(self, incarnation: str) -> bool:
        interval = find_watch_interval(
            self._neighbours.count, self._time_to_live
        )
        if self._neighbours.is_in_doubt(incarnation):
            interval = self._poll_interval
        return self._timers.now() - self._polled[incarnation] >= interval

    @property
    def _poll_interval(self) -> float:
        interval = self._neighbours.count / READS_PER_SECOND
        return min(max(interval, _SHORTEST_POLL), _LONGEST_POLL)

    async def follow_notices(self) -> None:
        """Follow the news of fences and handovers."""
        while not self._lease.is_lost:
            fresh = await self._notices.read_new()
            if not failures.is_failure(fresh):
                await self._take_notices(fresh)
            await self._wait_about(
                self._notice_alarm, self._find_notice_interval()
            )

    async def _wait_about(
        self, bell: alarm.Alarm, interval: float, latest: float = _NEVER
    ) -> None:
        # Instances that started together would else read all at once.
        jitter = self._random.uniform(_SHORTEST_SHARE, 1.0)
        moment = self._timers.now() + interval * jitter
        await bell.wait_until(min(moment, latest))

    def _find_notice_interval(self) -> float:
        if self._neighbours.is_calm and not self._expects_shards():
            return self._time_to_live * _NOTICE_SHARE
        return self._poll_interval

    def _expects_shards(self) -> bool:
        """Tell whether shards are due to come here by a handover."""
        mine = self._neighbours.list_own_shards()
        return any(shard not in self._held for shard in mine)

    async def _take_notices(
        self, fresh: typing.Iterable[rows.NoticeRow]
    ) -> None:
        handed = set()
        for notice in fresh:
            if notice.fenced:
                self._watcher.mark_fenced(notice.incarnation)
            handed.update(notice.handed.get(self._claimer.claimant, ()))
        handed = {shard for shard in handed if shard not in self._held}
        await asyncio.gather(*map(self._table.refresh, sorted(handed)))
        if handed:
            self._claimer.adopt()
