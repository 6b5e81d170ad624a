"""Typed messages between the parts of a gateway instance.

Times are in seconds, sizes in bytes, lengths of prompts and answers in
tokens.
"""

import enum
import typing

import msgspec

from vanillayoke.scheduling import quotas
from vanillayoke.transport import headers as headers_module


class RouteKind(enum.Enum):
    """What may be done again with a request of a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class Share(typing.NamedTuple):
    """One of the services that a route's requests are split over."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where requests of a host and path prefix go, and how.

    ``timeout`` bounds how long a request is held, ``objective`` is the
    latency that it should be answered in. ``priority`` 0 is the highest.
    Requests of a public route need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    latency_objective: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    keeps_history: bool
    retention: float
    is_resumable: bool
    max_gap: float
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


class Engine(typing.NamedTuple):
    """What all model engines of a service have in common."""

    slots: int
    cache_tokens: int
    event_tokens: int
    max_pin: float


class Service(typing.NamedTuple):
    """A group of targets that serve the same requests."""

    name: str
    max_connections: int
    engine: Engine | None


class Organisation(typing.NamedTuple):
    """A customer: its keys open routes, and its programs share a limit.

    ``rate`` requests a second and ``burst`` on top may run, summed over all
    instances; a rate of 0 is no limit. ``priority`` goes before that of the
    routes, unless it is ``None``.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None


class CallerLimits(typing.NamedTuple):
    """What a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class Configuration(typing.NamedTuple):
    """One accepted version of what the operator wants.

    ``organisations`` are kept by the digests of their keys. ``None`` means
    that there are none, and requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    organisations: dict[bytes, Organisation] | None = None


class Target(typing.NamedTuple):
    """One incarnation of a server, as it registered itself.

    ``started`` is when its process started, in milliseconds since 1970: a
    server that crashed may start again under its name, and then holds and
    knows nothing of before.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    started: int = 0


class Program(typing.NamedTuple):
    """What a request says of the program that it belongs to.

    ``time_left`` is how long from now the program should take at most.
    ``budget`` bounds the tokens that all its turns may generate.
    """

    name: str
    session: str
    time_left: float | None
    budget: int | None


class Call(typing.NamedTuple):
    """One request of a caller.

    ``prefix`` lists the parts of the prompt with their tokens, the request's
    own part last. ``key`` is the digest of the caller's key, if there is one.
    """

    request: str
    host: str
    path: str
    method: bytes
    target: bytes
    headers: headers_module.Headers
    body: bytes
    time_left: float | None
    program: Program | None
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[tuple[str, int], ...]
    expected_tokens: int | None
    previous_turn: str | None
    last_event: bytes | None
    key: bytes | None = None


class ForwardOptions(typing.NamedTuple):
    """What the system tells a target beside the caller's own request.

    ``hides_key`` keeps the caller's key from the target.
    """

    target: str
    time_left: float
    urgency: int | None
    last_event: bytes | None
    pin: float | None = None
    organisation: str | None = None
    strips_key: bool = False


class Load(typing.NamedTuple):
    """What a target reports of itself in an answer."""

    running: int
    waiting: int
    slots: int


class ResponseMetadata(typing.NamedTuple):
    """What the head of a target's answer says beside its status."""

    request: str | None
    is_not_executed: bool
    is_signed: bool
    load: Load | None


class RowKey(typing.NamedTuple):
    """Where a row lies; rows of one part change in one transaction."""

    table: str
    partition: str
    key: str


class Row(typing.NamedTuple):
    """A row as read; ``value`` is ``None`` for one that was removed."""

    where: RowKey
    value: bytes | None
    version: int


class Transaction(typing.NamedTuple):
    """Rows to write and remove if ``expected`` versions hold; 0 is absent."""

    expected: tuple[tuple[RowKey, int], ...]
    writes: tuple[tuple[RowKey, bytes], ...] = ()
    removals: tuple[RowKey, ...] = ()


class Committed(typing.NamedTuple):
    """A transaction took effect at a version."""

    version: int


class Conflict(typing.NamedTuple):
    """A condition failed; the rows as they are, absent ones left out."""

    rows: tuple[Row, ...]


class Page(typing.NamedTuple):
    """Rows read at one version of the store."""

    rows: tuple[Row, ...]
    version: int
    has_more: bool
    time: float


class StoreSettings(typing.NamedTuple):
    """Where the store is and what it takes from all instances together."""

    address: str
    writes_per_second: float
    reads_per_second: float
    partition_writes_per_second: float
    row_bytes: int


class Bounds(typing.NamedTuple):
    """Times that the platform holds the system to.

    ``grace`` is how long a process may go on after it was told to stop,
    ``contact`` how long after a disruption an instance has to have found
    its way again, ``leaving`` how long a target still serves after it said
    that it leaves. ``limits`` says how limits of organisations are counted.
    An instance that could not
    confirm its configuration for ``revocation`` refuses all keys, if
    ``is_revocation_strict``.
    """

    grace: float
    recovery_timeout: float
    target_drain_timeout: float
    max_address_ttl: float
    limits: quotas.Tolerance = quotas.Tolerance()
    revocation_timeout: float = 5.0
    is_revocation_strict: bool = False


class Settings(typing.NamedTuple):
    """What an instance is told at its start; addresses are ``IP:PORT``.

    ``is_first_start`` says that the whole system starts for the first time.
    """

    instance: str
    zone: str
    region: str
    ip: str
    front: str
    ready: str
    directory: str
    peer_ports: tuple[int, int]
    store: StoreSettings
    bounds: Bounds
    is_first_start: bool = False


class InstanceRow(msgspec.Struct, frozen=True, kw_only=True):
    """How an instance makes itself known to the others in the store."""

    instance: str
    incarnation: int
    zone: str
    region: str
    front: str
    peer: str
