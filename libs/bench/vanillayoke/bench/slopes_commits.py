"""What the time between two commits adds to a program's turn.

Whole instances run in virtual time. The rate of writes is set so low that
each instance has the share which it would have among many more.
"""

import asyncio
import statistics
import typing

from vanillayoke.bench import slopes_fit
from vanillayoke.core import failures
from vanillayoke.harness import virtual
from vanillayoke.harness import virtual_caller
from vanillayoke.settings import process

# Seconds between two writes of one instance; 400 instances that share 300
# writes a second have the last one.
INTERVALS = (0.1, 0.4, 0.8, 1.333)
_INSTANCES = 3
_PROGRAMS = 12
_TURNS = 5
_PATIENCE = 120.0
_SETTLE_TIME = 20.0
_SPREAD = 3.0
_PLAIN = '[[say:20]]'
_ORDER = 'Order it. [[tool:order {"sku":"oak-14"}]] [[say:20]]'


class Turn(typing.NamedTuple):
    """Mean seconds of a turn, and writes a second of all instances."""

    plain_turn: float
    ordering_turn: float
    busy_writes: float


_UNITS = {
    'plain_turn': 'seconds',
    'ordering_turn': 'seconds',
    'busy_writes': 'writes/s of 3 instances',
}


async def measure_one(site: virtual.VirtualSite, interval: float) -> Turn:
    """Run turns without and with a non-idempotent call."""
    for name in ('engine-1', 'engine-2'):
        site.add_engine(name)
    site.add_service('supplier-1', 'supplier')
    site.add_service('orders-1', 'orders')
    store = process.StoreSettings(writes_per_second=_INSTANCES / interval)
    for number in range(_INSTANCES):
        zone = virtual.ZONES[number]
        await site.start_instance(f'instance-{number}', zone, store=store)
    await site.publish()
    await site.clock.sleep(_SETTLE_TIME)
    writes = site.platform.table.counters.writes
    began = site.clock.now()
    turns = await asyncio.gather(
        *(_run_program(site, number) for number in range(_PROGRAMS))
    )
    spent = site.clock.now() - began
    written = site.platform.table.counters.writes - writes
    return Turn(
        statistics.mean(one for plain, order in turns for one in plain),
        statistics.mean(one for plain, order in turns for one in order),
        written / spent,
    )


async def _run_program(
    site: virtual.VirtualSite, number: int
) -> tuple[list[float], list[float]]:
    """Return the seconds of a program's plain and of its ordering turns."""
    await site.clock.sleep(site.source.uniform(0.0, _SPREAD))
    caller = virtual_caller.VirtualCaller(site, _PATIENCE)
    opened = await caller.open(f'open-{number}')
    if failures.is_failure(opened):
        raise RuntimeError(opened.reason)
    plain, ordering = [], []
    for turn in range(_TURNS):
        for kind, text, taken in (
            ('plain', _PLAIN, plain),
            ('order', _ORDER, ordering),
        ):
            began = site.clock.now()
            told = await caller.run(opened['program'], f'{kind}-{turn}', text)
            if failures.is_failure(told.final):
                raise RuntimeError(told.final.reason)
            taken.append(site.clock.now() - began)
            await site.clock.sleep(site.source.uniform(0.0, _SPREAD))
    return plain, ordering


def measure(
    run_site: typing.Callable[..., typing.Any],
    intervals: typing.Sequence[float] = INTERVALS,
) -> list[slopes_fit.Slope]:
    """Return the slopes of a turn's time over the commit interval."""
    rows = [(one, run_site(measure_one, one)) for one in intervals]
    return slopes_fit.make_slopes('seconds between writes', _UNITS, rows)
