"""What an instance pays for each row of the tables that it follows.

Run as ``python -m vanillayoke.bench.tables``. Readings of several sizes are
taken over in this process; one JSON line a figure, in seconds. The exit
status is 0 only if every bound held.
"""

import json
import random
import sys
import time
import typing

import msgspec

from vanillayoke.core import timers
from vanillayoke.gateway import catalog
from vanillayoke.gateway import members
from vanillayoke.gateway import messages
from vanillayoke.gateway import rendezvous
from vanillayoke.testing import loops

# Tokens come every 28 ms at the size that this is designed for. A reading
# that holds the event loop for longer delays all streams of an instance; the
# smallest ones have half of a core.
LONGEST_HOLD = 0.014
# Of 1,700 targets each writes a row a second, and control may take 1.6% of a
# core: half of that is left to these rows.
LONGEST_ROW = 0.008 / 1700
TARGETS = (22, 400, 1700)
# The last is beyond what this is designed for, and shows how it goes on.
INSTANCES = (13, 195, 400, 1000)
MOST_INSTANCES = 400
ROUNDS = 200


class Figure(typing.NamedTuple):
    """What one piece of work took, and what it may take, in seconds."""

    name: str
    rows: int
    seconds: float
    bound: float | None


def _measure(work: typing.Callable[[], typing.Any], times: int = 1) -> float:
    began = time.perf_counter()
    for _ in range(times):
        work()
    return (time.perf_counter() - began) / times


def measure_targets(rows: int) -> typing.Iterator[Figure]:
    """Measure the first reading of the targets and a later row."""
    targets = [
        messages.Target(f't{n}', 's', f'10.0.0.{n}:80', 'z', 6, False, 1)
        for n in range(rows)
    ]
    known = catalog.Catalog()
    reading = [(one, 1) for one in targets]
    taken = _measure(lambda: known.replace_targets(reading, 2, None))
    yield Figure('first reading of targets', rows, taken, LONGEST_HOLD)
    versions = iter(range(10, 10 + ROUNDS))

    def take_heartbeat() -> None:
        version = next(versions)
        known.put_target(targets[version % rows], version)
        known.list_targets('s')

    taken = _measure(take_heartbeat, ROUNDS)
    yield Figure('heartbeat of a target', rows, taken, LONGEST_ROW)


def measure_instances(rows: int) -> typing.Iterator[Figure]:
    """Measure the first reading of the instances and a look-up of a home."""
    values = [
        messages.InstanceRow(
            instance=f'i{n}',
            incarnation=1,
            zone='z',
            region='r',
            front=f'10.0.0.{n}:1',
            peer=f'10.0.0.{n}:2',
        )
        for n in range(rows)
    ]
    known = members.Members(
        values[0],
        timers.LoopTimers(loops.VirtualLoop()),
        random.Random(1),
        lambda address, data: None,
        lambda before, after: None,
    )
    encoded = [(one.instance, msgspec.json.encode(one)) for one in values]

    def read() -> None:
        for key, value in encoded:
            known.put_row(key, value)

    taken = _measure(read)
    bound = LONGEST_HOLD if rows <= MOST_INSTANCES else None
    yield Figure('first reading of instances', rows, taken, bound)
    taken = _measure(
        lambda: rendezvous.find_coordinator('program', known.list_eligible()),
        ROUNDS,
    )
    yield Figure('home of a program', rows, taken, None)


def main() -> int:
    """Print all figures; return 1 if a bound was broken."""
    figures = [one for rows in TARGETS for one in measure_targets(rows)]
    figures += [one for rows in INSTANCES for one in measure_instances(rows)]
    for figure in figures:
        print(json.dumps(figure._asdict()))
    broken = [
        one
        for one in figures
        if one.bound is not None and one.seconds > one.bound
    ]
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
