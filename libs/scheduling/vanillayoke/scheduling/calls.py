"""Input and output types of the scheduler: calls, targets and decisions."""

import typing

from vanillayoke.core import failures


class CallDemand(typing.NamedTuple):
    """A call to be scheduled, with its requirements.

    Times are monotonic seconds of the deciding process. ``prefix_tokens``
    is the length of the conversation so far, ``new_tokens`` the part of it
    that no engine has processed yet, ``output_tokens`` the expected length of
    the response. ``attained`` is the service that the whole program tree has
    attained so far, in seconds of engine time. ``model`` is empty for a
    service call and ``group`` for a model call. ``avoid`` names targets at
    which this call has failed.
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
    """A configured target; ``kind`` is ``engine`` or ``service``."""

    target: str
    kind: str
    group: str
    zone: str
    region: str
    cache_tokens: int
    slots: int


class TargetReport(typing.NamedTuple):
    """A load report with the time of receipt at this process."""

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
    """A target that was evaluated for a call.

    ``cost`` is the expected time in seconds to complete the call there,
    ``cached`` the number of prefix tokens assumed to be cached there.
    """

    target: str
    cost: float
    cached: int
    reason: str


class Placement(typing.NamedTuple):
    """Run a call on a target now.

    ``priority`` is sent to the engine; lower numbers run first. ``weighed``
    lists the candidates. ``restore`` means that the program's exported KV
    cache is to be imported on the target before the call.
    """

    call: str
    target: str
    priority: int
    weighed: tuple[Candidate, ...]
    restore: bool = False


class Refusal(typing.NamedTuple):
    """A call that will not run and was not sent to any target."""

    call: str
    failure: failures.Failure


class CacheRelease(typing.NamedTuple):
    """Request that a target releases a program's engine memory."""

    target: str
    program: str


class CacheExport(typing.NamedTuple):
    """Request that a target exports a program's KV cache and releases it."""

    target: str
    program: str


Decision = Placement | Refusal | CacheRelease | CacheExport


class Outcome(typing.NamedTuple):
    """The outcome of a placed call.

    ``state`` is ``answered``, ``refused`` (not run), ``failed``, ``unknown``
    or ``cancelled`` (by the caller, independently of the target). Token
    counts are those reported by the target.
    """

    call: str
    target: str
    state: str
    seconds: float
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
