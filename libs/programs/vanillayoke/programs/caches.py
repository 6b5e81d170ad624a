"""Decisions about engine caches that targets hold for a program."""

from vanillayoke.programs import program as programs
from vanillayoke.programs import records


def hold_cache(
    program: programs.Program, target: str, epoch: int
) -> list[records.AnyRecord]:
    """Record that a target may hold an engine cache for a program.

    A ``CallIntended`` of a model call implies this; use it for caches with
    another origin, such as an import.
    """
    if target in program.cache_targets:
        return []
    return [records.CacheHeld(program.id, epoch, target=target)]


def release_cache(
    program: programs.Program, target: str, epoch: int
) -> list[records.AnyRecord]:
    """Record a target's confirmation that it holds no cache for a program.

    The confirmation is ignored while a call runs at the target: the engine
    fills its cache again, and that cache would never be released.
    """
    running = program.running
    is_in_use = running is not None and running.target == target
    if target not in program.cache_targets or is_in_use:
        return []
    return [records.CacheReleased(program.id, epoch, target=target)]
