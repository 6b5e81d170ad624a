"""Decisions about the engine memory that targets hold for a program."""

from vanillayoke.programs import program as programs
from vanillayoke.programs import records


def hold_cache(
    program: programs.Program, target: str, epoch: int
) -> list[records.AnyRecord]:
    """Record that a target may hold engine memory for a program.

    An intended model call records that by itself; this is for a cache that
    comes by another way, such as an import.
    """
    if target in program.cache_targets:
        return []
    return [records.CacheHeld(program.id, epoch, target=target)]


def release_cache(
    program: programs.Program, target: str, epoch: int
) -> list[records.AnyRecord]:
    """Record a target's word that it holds no memory for a program.

    A late word is not taken while a model call runs there: the engine
    fills its cache again, and nobody would release that.
    """
    running = program.running
    is_in_use = running is not None and running.target == target
    if target not in program.cache_targets or is_in_use:
        return []
    return [records.CacheReleased(program.id, epoch, target=target)]
