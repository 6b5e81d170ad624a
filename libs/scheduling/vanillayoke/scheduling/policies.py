"""Scheduling policies, selected by name in the settings.

Each policy has a simple variant, which benchmarks use for comparison and
operators as a fallback.
"""

import typing

from vanillayoke.settings import configuration


class ExpectedCompletion(typing.NamedTuple):
    """Place calls by queueing time, missing prefix and network distance.

    ``choices`` random targets are compared, in addition to the one that holds
    the program's prefix. ``recompute_weight`` is the cost of computing a
    prefix for one second, in seconds: it delays all calls of the batch.
    """

    choices: int = 2
    recompute_weight: float = 4.0


class LeastLoad(typing.NamedTuple):
    """Place calls by load alone, out of ``choices`` random targets."""

    choices: int = 2


class AttainedService(typing.NamedTuple):
    """Order calls by the service that their program tree attained so far.

    With ``most_first``, started programs end sooner and release their memory.
    Otherwise short programs are favoured, but long ones occupy memory for
    longer, and in the bench all programs waited longer to start.
    """

    most_first: bool = True


class FirstCome(typing.NamedTuple):
    """Run calls in the order of their arrival."""


class WorkingSet(typing.NamedTuple):
    """Start a program only if its conversation fits into an engine's cache.

    ``fill`` is the share of the cache that may be reserved, ``depth`` the
    number of calls per slot up to which programs are started. Both grow with
    the time that a program has waited.
    """

    fill: float = 0.75
    depth: float = 4.0


class OpenAdmission(typing.NamedTuple):
    """Start every program at once."""


class LearnedReturn(typing.NamedTuple):
    """Export a cached prefix if a tool call is expected to take long.

    This happens only if other programs need the memory. Without ``exports``,
    for engines that do not support it, the prefix is released instead. In the
    bench that is worse than to leave it to the engine's own eviction.
    """

    exports: bool = True


class KeepCache(typing.NamedTuple):
    """Leave cached prefixes to the engine's own eviction."""


Placement = ExpectedCompletion | LeastLoad
Order = AttainedService | FirstCome
Admission = WorkingSet | OpenAdmission
CacheLifetime = LearnedReturn | KeepCache

PLACEMENTS: dict[str, Placement] = {
    'expected_completion': ExpectedCompletion(),
    'least_load': LeastLoad(),
}
ORDERS: dict[str, Order] = {
    'attained_service': AttainedService(),
    'least_attained': AttainedService(most_first=False),
    'first_come': FirstCome(),
}
ADMISSIONS: dict[str, Admission] = {
    'working_set': WorkingSet(),
    'open': OpenAdmission(),
}
CACHE_LIFETIMES: dict[str, CacheLifetime] = {
    'learned_return': LearnedReturn(),
    'release': LearnedReturn(exports=False),
    'keep': KeepCache(),
}


class Policies(typing.NamedTuple):
    """The policies in force."""

    placement: Placement = ExpectedCompletion()
    order: Order = AttainedService()
    admission: Admission = WorkingSet()
    cache_lifetime: CacheLifetime = LearnedReturn()
    urgent_reserve: float = 0.1
    retry_fraction: float = 0.1
    repeated_steps: int = 8

    @classmethod
    def from_config(cls, settings: configuration.PolicySettings) -> 'Policies':
        """Return the policies named in settings; ``KeyError`` if unknown."""
        return cls(
            PLACEMENTS[settings.placement],
            ORDERS[settings.order],
            ADMISSIONS[settings.admission],
            CACHE_LIFETIMES[settings.cache_lifetime],
            settings.urgent_reserve,
            settings.retry_fraction,
            settings.repeated_steps,
        )
