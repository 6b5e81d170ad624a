"""What instances ask of the platform's store, by their number.

Whole instances run in one loop in virtual time; the stand-in of the table
service counts the requests that reach it.
"""

import typing

from vanillayoke.bench import slopes_fit
from vanillayoke.harness import virtual

COUNTS = (6, 12, 18, 24)
# Of this many zones one is lost; fewer instances lose one instance.
ZONE_COUNT = 24
SETTLE_TIME = 40.0
IDLE_TIME = 40.0
LOSS_TIME = 60.0


class Rates(typing.NamedTuple):
    """Requests a second to the table service."""

    idle_reads: float
    idle_writes: float


class Loss(typing.NamedTuple):
    """Requests in the minute after a zone was lost.

    The peaks are those of the worst second.
    """

    loss_reads: float
    loss_writes: float
    loss_peak_reads: float
    loss_peak_writes: float


_RATE_UNITS = {'idle_reads': 'reads/s', 'idle_writes': 'writes/s'}
_LOSS_UNITS = {
    'loss_reads': 'reads in 60 s',
    'loss_writes': 'writes in 60 s',
    'loss_peak_reads': 'reads in the worst second',
    'loss_peak_writes': 'writes in the worst second',
}


async def start_site(site: virtual.VirtualSite, count: int) -> None:
    """Start instances in three zones and let their shards settle."""
    for number in range(count):
        zone = virtual.ZONES[number % len(virtual.ZONES)]
        await site.start_instance(f'instance-{number:03d}', zone)
    await site.publish()
    await site.clock.sleep(SETTLE_TIME)


async def measure_idle(site: virtual.VirtualSite) -> Rates:
    """Measure instances that have no programs."""
    counters = site.platform.table.counters
    reads, writes = counters.reads, counters.writes
    await site.clock.sleep(IDLE_TIME)
    return Rates(
        (counters.reads - reads) / IDLE_TIME,
        (counters.writes - writes) / IDLE_TIME,
    )


async def measure_loss(site: virtual.VirtualSite) -> Loss:
    """Kill the instances of a zone and count requests by the second."""
    lost = max(len(site.instances) // ZONE_COUNT, 1)
    for name in list(site.instances)[:lost]:
        site.kill(name)
    counters = site.platform.table.counters
    reads, writes = [counters.reads], [counters.writes]
    for _ in range(int(LOSS_TIME)):
        await site.clock.sleep(1.0)
        reads.append(counters.reads)
        writes.append(counters.writes)
    return Loss(
        reads[-1] - reads[0],
        writes[-1] - writes[0],
        _find_peak(reads),
        _find_peak(writes),
    )


def _find_peak(counts: typing.Sequence[int]) -> int:
    return max(
        after - before
        for before, after in zip(counts, counts[1:], strict=False)
    )


async def measure_one(
    site: virtual.VirtualSite, count: int
) -> tuple[Rates, Loss]:
    """Measure a number of instances idle and after a loss."""
    await start_site(site, count)
    return await measure_idle(site), await measure_loss(site)


def measure(
    run_site: typing.Callable[..., typing.Any],
    counts: typing.Sequence[int] = COUNTS,
) -> list[slopes_fit.Slope]:
    """Return the slopes of reads and writes over instances."""
    found = [(count, run_site(measure_one, count)) for count in counts]
    unit = 'instances'
    idle = [(count, rates) for count, (rates, loss) in found]
    lost = [(count, loss) for count, (rates, loss) in found]
    return [
        *slopes_fit.make_slopes(unit, _RATE_UNITS, idle),
        *slopes_fit.make_slopes(unit, _LOSS_UNITS, lost),
    ]
