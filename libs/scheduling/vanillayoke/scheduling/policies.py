"""The scheduling policies as data, built from the settings' names.

Each policy has a plain variant, so that the bench can switch one mechanism
off and an operator can go back to it.
"""

import typing

from vanillayoke.settings import configuration


class ExpectedCompletion(typing.NamedTuple):
    """Place by queue wait, missing prefix and distance.

    ``choices`` targets are drawn at random beside the program's own.
    ``recompute_weight`` is what a second of computing a prefix again costs
    all calls of the batch, in seconds.
    """

    choices: int = 2
    recompute_weight: float = 4.0


class LeastLoad(typing.NamedTuple):
    """Place by load alone, out of ``choices`` targets drawn at random."""

    choices: int = 2


class AttainedService(typing.NamedTuple):
    """Order by the service that the whole program tree had so far.

    The most first: a program that was started ends sooner and gives its
    memory up. The least first favours short programs, but among programs
    that were admitted whole it kept the long ones in memory for longer, and
    in the bench everybody then waited longer to start.
    """

    most_first: bool = True


class FirstCome(typing.NamedTuple):
    """Run calls in the order in which they arrive."""


class WorkingSet(typing.NamedTuple):
    """Start a program only where its conversation fits beside the others.

    ``fill`` is the part of an engine's cache that may be promised,
    ``depth`` the calls per batch slot up to which programs are started;
    both widen for programs that have waited.
    """

    fill: float = 0.75
    depth: float = 4.0


class OpenAdmission(typing.NamedTuple):
    """Start every program at once."""


class LearnedReturn(typing.NamedTuple):
    """Export memory when a tool is not expected back soon.

    Only where other programs need the memory. Without ``exports``, for
    engines that cannot, it is freed; the bench shows that to be worse than
    to leave it to the engine's own eviction.
    """

    exports: bool = True


class KeepCache(typing.NamedTuple):
    """Leave memory in a pause to the engine's own eviction."""


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
        """Look the settings' names up; ``KeyError`` for an unknown one."""
        return cls(
            PLACEMENTS[settings.placement],
            ORDERS[settings.order],
            ADMISSIONS[settings.admission],
            CACHE_LIFETIMES[settings.cache_lifetime],
            settings.urgent_reserve,
            settings.retry_fraction,
            settings.repeated_steps,
        )
