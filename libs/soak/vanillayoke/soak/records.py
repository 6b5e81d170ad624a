"""Records of events in a run, written by its processes.

Times are seconds of the monotonic clock that all processes of a run share.
Records of one process arrive in order, those of different processes may not.
"""

import typing

import msgspec

MIN_PADDING = 1000
PADDING = '.'


def shorten(body: str) -> str:
    """Return a body with the length of its padding instead of the padding.

    Bodies that differ still differ, so that they can be compared.
    """
    start = body.rstrip(PADDING)
    size = len(body) - len(start)
    return body if size < MIN_PADDING else f'{start}<padding of {size}>'


class Sent(msgspec.Struct, frozen=True, tag=True):
    """A caller starts to send a request; ``kind`` is that of the route.

    ``resumed`` is the request that began the stream that it resumes after
    ``last_event``, which the caller got with ``last_request``.
    """

    at: float
    request: str
    kind: str
    instance: str
    method: str
    target: str
    body: str
    program: str = ''
    budget: int = 0
    most: int = 0
    previous: str = ''
    is_resumable: bool = False
    key: str = ''
    resumed: str = ''
    last_event: int = 0
    last_request: str = ''


class Answered(msgspec.Struct, frozen=True, tag=True):
    """A request has ended for its caller.

    ``status`` is 0 if there was no response. ``is_whole`` tells whether the
    response was received completely, ``gave_up`` whether the caller closed
    the connection early.
    """

    at: float
    request: str
    status: int
    is_whole: bool
    body: str = ''
    gave_up: bool = False


class Started(msgspec.Struct, frozen=True, tag=True):
    """A server starts to execute a request, after ``last_event`` if set.

    With ``is_unframed`` its response has no length.
    """

    at: float
    server: str
    service: str
    request: str
    method: str
    target: str
    body: str
    organisation: str = ''
    has_key: bool = False
    software_version: str = ''
    last_event: int = 0
    is_unframed: bool = False


class Ended(msgspec.Struct, frozen=True, tag=True):
    """A server stops executing a request; ``is_cut`` if it was aborted."""

    at: float
    server: str
    request: str
    is_cut: bool


class Leaving(msgspec.Struct, frozen=True, tag=True):
    """The store acknowledged that a server is draining."""

    at: float
    server: str


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The store acknowledged a configuration.

    ``services`` maps routes to services. ``keys`` are the keys in force and
    ``limit`` is the maximum number of requests in a window.
    """

    at: float
    version: int
    services: dict[str, str]
    keys: tuple[str, ...] = ()
    limit: float = 0.0


class Process(msgspec.Struct, frozen=True, tag=True):
    """An instance's process starts, gets a request to stop, or has ended."""

    at: float
    instance: str
    event: typing.Literal['started', 'told', 'ended']
    status: int = 0


class Memory(msgspec.Struct, frozen=True, tag=True):
    """The peak resident size and the limit of an instance, in bytes."""

    at: float
    instance: str
    peak: int
    limit: int


class Probed(msgspec.Struct, frozen=True, tag=True):
    """Probes were sent to an idle site, from ``at`` to ``until``.

    ``requests`` has the last request of each probe, ``slots`` the slots of
    each server that the probes are enough to fill.
    """

    at: float
    until: float
    requests: tuple[str, ...]
    slots: dict[str, int]


class Disturbed(msgspec.Struct, frozen=True, tag=True):
    """A fault that affects ``where`` from ``at`` to ``until``."""

    at: float
    until: float
    kind: str
    where: str


Record = (
    Sent | Answered | Started | Ended | Leaving | Accepted | Process
    | Memory | Probed | Disturbed
)  # fmt: skip

DECODER = msgspec.json.Decoder(Record)
ENCODER = msgspec.json.Encoder()


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the checks apply; times in seconds."""

    leaving: float = 2.0
    configuration: float = 2.0
    rollback: float = 0.25
    grace: float = 8.0
    recovery: float = 12.0
    event_tokens: int = 10
    # Tolerance for delays between processes on a busy machine.
    slack: float = 1.0
