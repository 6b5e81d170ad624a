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


def name_part(index: int) -> str:
    """Return the name of a part."""
    return f'{index:02x}'
