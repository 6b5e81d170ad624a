"""How long a fenced holder goes on, by its lease alone and told by peers.

Run as ``python -m vanillayoke.bench.fencing``; prints one JSON line per kind
of fault. The holder loses the store and not its peers; a taker watches its
lease row, fences it and tells the others. Times are virtual.
"""

import json
import random
import statistics
import sys
import typing

from vanillayoke.bench import membership
from vanillayoke.bench import membership_cluster
from vanillayoke.cluster import leases
from vanillayoke.cluster import messages
from vanillayoke.settings import process

COUNT = 24
SEEDS = range(1, 21)
LEASE = process.LeaseSettings()
RENEWAL_INTERVAL = 1.0
PAUSE = 30.0
STEP = 0.01
LONGEST_WATCH = 30.0
INCARNATION = 'lease-1'


class Fault(typing.NamedTuple):
    """What befalls the holder besides losing the store."""

    name: str
    paused: bool
    suspended: bool


FAULTS = (
    Fault('cut_off', paused=False, suspended=False),
    Fault('paused', paused=True, suspended=False),
    Fault('suspended', paused=True, suspended=True),
)


class Window(typing.NamedTuple):
    """Seconds in which the fenced holder ran and held itself the holder."""

    by_lease: float
    with_news: float


class Run:
    """One holder, one taker and the members between them."""

    def __init__(self, cluster: membership_cluster.Cluster) -> None:
        self.cluster = cluster
        self.holder, self.taker = cluster.nodes[0], cluster.nodes[1]
        self.lease = leases.LeaseHolder.from_config(LEASE)
        self.is_told = False
        self.holder.members.subscribe_news(self._hear)

    def _hear(self, news: messages.News) -> None:
        match news:
            case messages.FencedNews(_, incarnation):
                self.is_told |= incarnation == INCARNATION

    async def measure(self, fault: Fault, phase: float) -> Window:
        """Return how long the holder stays stale after its last renewal."""
        service = self.cluster.timers
        self.lease.renew(self.holder.timers.now())
        renewed_at = service.now()
        await service.sleep(phase)
        if fault.paused:
            self.holder.pause()
        fenced_at = renewed_at + LEASE.time_to_live + LEASE.margin
        await service.sleep(fenced_at - service.now())
        self.taker.members.publish_news(
            messages.FencedNews(self.holder.name, INCARNATION)
        )
        if fault.paused:
            await service.sleep(PAUSE)
            self.holder.resume(fault.suspended)
        return await self._watch()

    async def _watch(self) -> Window:
        by_lease = with_news = 0.0
        for _ in range(int(LONGEST_WATCH / STEP)):
            if not self.lease.may_act(self.holder.timers.now()):
                break
            by_lease += STEP
            with_news += 0.0 if self.is_told else STEP
            await self.cluster.timers.sleep(STEP)
        return Window(by_lease, with_news)


async def measure_once(fault: Fault, seed: int) -> Window:
    """Measure one holder at a random point of its renewal interval."""
    cluster = membership_cluster.Cluster(seed)
    await cluster.start(COUNT)
    await cluster.wait_until(cluster.sees_all_alive, LONGEST_WATCH)
    phase = random.Random(seed).uniform(0.0, RENEWAL_INTERVAL)
    window = await Run(cluster).measure(fault, phase)
    await cluster.stop()
    return window


def summarise(fault: Fault, windows: list[Window]) -> dict:
    """Return medians and worst cases of one fault."""
    by_lease = [window.by_lease for window in windows]
    with_news = [window.with_news for window in windows]
    return {
        'fault': fault.name,
        'runs': len(windows),
        'lease_median_s': round(statistics.median(by_lease), 2),
        'lease_worst_s': round(max(by_lease), 2),
        'news_median_s': round(statistics.median(with_news), 2),
        'news_worst_s': round(max(with_news), 2),
    }


def main() -> int:
    """Print the figures of each fault."""
    for fault in FAULTS:
        windows = [
            membership.run_virtual(measure_once(fault, seed)) for seed in SEEDS
        ]
        print(json.dumps(summarise(fault, windows)), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
