"""Partitions of the tables in the store.

The store applies the transactions of one partition in sequence and those of
different partitions in parallel. A row's partition follows from its key, so
that a row is found by its key with one read.
"""

import xxhash

# More partitions give more throughput when the store is slow, and cost one
# read each when expired rows are swept.
PART_COUNT = 256


def find_part(key: str) -> str:
    """Return the partition of a row."""
    index = xxhash.xxh3_64_intdigest(key.encode()) % PART_COUNT
    return name_part(index)


def list_places(key: str, count: int) -> list[str]:
    """Return the partitions that a row may be in, the preferred one first."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    # An odd step visits each partition once before it repeats.
    step = (seed >> 32) % PART_COUNT | 1
    return [
        name_part((seed + number * step) % PART_COUNT)
        for number in range(count)
    ]


def name_part(index: int) -> str:
    """Return the name of a partition."""
    return f'{index:02x}'
