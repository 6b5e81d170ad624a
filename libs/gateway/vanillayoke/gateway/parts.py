"""Parts of the system's tables: rows of one program lie in one part."""

import math

import xxhash

# The parts together take this many times the writes that the store takes,
# so that chance does not overload one of them.
SPREAD = 2.0
MOST_PARTS = 64


def count_parts(writes_per_second: float, part_writes: float) -> int:
    """Return over how many parts rows are spread."""
    wanted = math.ceil(SPREAD * writes_per_second / max(1.0, part_writes))
    return max(1, min(MOST_PARTS, wanted))


def find_part(program: str, count: int) -> str:
    """Return the part of a program's rows."""
    return name_part(xxhash.xxh3_64_intdigest(program.encode()) % count)


def name_part(index: int) -> str:
    """Return the name of a part."""
    return f'p{index:02d}'
