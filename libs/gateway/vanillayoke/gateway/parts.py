"""Parts of the system's tables.

The store applies the transactions of one part one after another, and rows of
many parts at once. A row's part follows from its key alone, so whoever knows
the key finds it with one read.
"""

import xxhash

# When the store is a hundred times slower than usual, a part takes a few
# transactions a second instead of some hundred; this many parts still take
# what a whole site writes. Each is one more read for sweeping old rows away.
PART_COUNT = 256


def find_part(key: str) -> str:
    """Return the part that a row lies in."""
    index = xxhash.xxh3_64_intdigest(key.encode()) % PART_COUNT
    return name_part(index)


def list_places(key: str, count: int) -> list[str]:
    """Return the parts that a row may lie in, the usual one first."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    # An odd step never comes back to the same part within so few steps.
    step = (seed >> 32) % PART_COUNT | 1
    return [
        name_part((seed + number * step) % PART_COUNT)
        for number in range(count)
    ]


def name_part(index: int) -> str:
    """Return the name of a part."""
    return f'{index:02x}'
