"""Partitions of the tables in the store.

The store applies the transactions of one partition in sequence and those of
different partitions in parallel. A row's partition follows from its key, so
that a row is found by its key with one read.
"""

import xxhash

# More partitions give more throughput when the store is slow, and cost one
# read each when expired rows are swept. If the store is a hundred times slower
# than usual, a partition takes a few transactions a second instead of some
# hundred; this many still take all writes of a site.
PARTITION_COUNT = 256


def find_partition(key: str) -> str:
    """Return the partition of a row."""
    index = xxhash.xxh3_64_intdigest(key.encode()) % PARTITION_COUNT
    return name_partition(index)


def list_candidates(key: str, count: int) -> list[str]:
    """Return the partitions that a row may be in, the preferred one first."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    # An odd step visits each partition once before it repeats.
    step = (seed >> 32) % PARTITION_COUNT | 1
    return [
        name_partition((seed + number * step) % PARTITION_COUNT)
        for number in range(count)
    ]


def name_partition(index: int) -> str:
    """Return the name of a partition."""
    return f'{index:02x}'
