"""What the map of desired owners costs and how evenly it spreads.

Run as ``python -m vanillayoke.bench.shard_maps``; prints one JSON line per
number of members. Times are of the processor, in milliseconds.
"""

import json
import sys
import time
import typing

from vanillayoke.cluster import shards

COUNTS = (12, 400)
ZONES = 4
_LOST = {12: 3, 400: 17}


class Figures(typing.NamedTuple):
    """One number of members; ``lost`` of them go at once at the end."""

    members: int
    build_ms: float
    leave_ms: float
    join_ms: float
    fewest_shards: int
    most_shards: int
    lost: int
    moved_shards: int
    fewest_gained: int
    most_gained: int


def measure(count: int) -> Figures:
    """Measure a map of a number of members."""
    names = [f'instance-{number % ZONES}-{number}' for number in range(count)]
    shards.score_shards.cache_clear()
    built = shards.ShardMap()
    build = _time(lambda: built.update(names))
    leave = _time(lambda: built.update(names[1:]))
    join = _time(lambda: built.update(names))
    owned = [len(built.list_shards(name)) for name in names]
    lost = _LOST[count]
    left = [name for number, name in enumerate(names) if number % ZONES]
    if count > len(left) + lost:
        left = names[lost:]
    before = {name: len(built.list_shards(name)) for name in left}
    moved = built.update(left)
    gained = [len(built.list_shards(name)) - before[name] for name in left]
    return Figures(
        members=count,
        build_ms=build,
        leave_ms=leave,
        join_ms=join,
        fewest_shards=min(owned),
        most_shards=max(owned),
        lost=count - len(left),
        moved_shards=moved,
        fewest_gained=min(gained),
        most_gained=max(gained),
    )


def _time(act: typing.Callable[[], object]) -> float:
    begin = time.process_time()
    act()
    return round((time.process_time() - begin) * 1000, 1)


def main() -> int:
    """Measure all numbers of members."""
    for count in COUNTS:
        print(json.dumps(measure(count)._asdict()))
    return 0


if __name__ == '__main__':
    sys.exit(main())
