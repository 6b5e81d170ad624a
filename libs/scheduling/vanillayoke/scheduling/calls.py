"""What the scheduler is told of calls and targets, and what it answers."""

import typing

from vanillayoke.core import failures


class CallDemand(typing.NamedTuple):
    """A call that wants to run.

    Times are monotonic seconds of the deciding process. ``prefix_tokens``
    is the length of the conversation so far, ``new_tokens`` the part of it
    that no engine has seen yet, ``output_tokens`` the expected answer.
    ``attained`` is the service that the whole program tree had so far, in
    engine seconds. ``model`` is empty for a service call and ``group``
    empty for a model call. ``avoid`` names targets that failed this call.
    """

    call: str
    program: str
    root: str
    client: str
    model: str
    version: str
    group: str
    prefix_tokens: int
    new_tokens: int
    output_tokens: int
    attained: float
    urgent: bool
    idempotent: bool
    accepted_at: float
    deadline: float
    avoid: frozenset[str] = frozenset()


class TargetSpec(typing.NamedTuple):
    """What is configured of a target; ``kind`` ``engine`` or ``service``."""

    target: str
    kind: str
    group: str
    zone: str
    region: str
    cache_tokens: int
    slots: int


class TargetReport(typing.NamedTuple):
    """A load report, stamped with this process's time of receipt."""

    target: str
    received_at: float
    running: int
    waiting: int
    cache_used: int
    cache_size: int
    models: frozenset[tuple[str, str]]
    role: str
    leaving: bool


class Candidate(typing.NamedTuple):
    """A target that was weighed.

    ``cost`` is the expected seconds to the end of the call there,
    ``cached`` the prefix tokens believed to be there.
    """

    target: str
    cost: float
    cached: int
    reason: str


class Placement(typing.NamedTuple):
    """Run a call on a target now.

    ``priority`` goes to the engine, lower first. ``weighed`` explains the
    choice. ``restore`` tells to import the program's exported KV cache on
    the target before the call.
    """

    call: str
    target: str
    priority: int
    weighed: tuple[Candidate, ...]
    restore: bool = False


class Refusal(typing.NamedTuple):
    """A call that will not run; it has not been sent anywhere."""

    call: str
    failure: failures.Failure


class CacheRelease(typing.NamedTuple):
    """Tell a target to free a program's engine memory."""

    target: str
    program: str


class CacheExport(typing.NamedTuple):
    """Tell a target to export a program's KV cache and then free it."""

    target: str
    program: str


Decision = Placement | Refusal | CacheRelease | CacheExport


class Outcome(typing.NamedTuple):
    """How a placed call ended on its target.

    ``state`` is ``answered``, ``refused`` (not run), ``failed``,
    ``unknown`` or ``cancelled`` (by the caller, which says nothing of the
    target); tokens are what the target reported.
    """

    call: str
    target: str
    state: str
    seconds: float
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
