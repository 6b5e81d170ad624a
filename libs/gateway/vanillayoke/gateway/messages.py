"""Data types shared by the modules of a gateway instance.

Times are in seconds, sizes in bytes, lengths of prompts and answers in
tokens.
"""

import enum
import typing

import msgspec

from vanillayoke.core import figures
from vanillayoke.scheduling import quarantine
from vanillayoke.scheduling import quotas
from vanillayoke.transport import headers as headers_module

_BYTE_PATTERN = r'(25[0-5]|2[0-4]\d|1?\d?\d)'
_PORT_PATTERN = (
    r'(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})'
)
# ``IP:PORT``.
Address = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf'\A{_BYTE_PATTERN}(\.{_BYTE_PATTERN}){{3}}:{_PORT_PATTERN}\Z'
    ),
]


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated, and whether they stream."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class Share(typing.NamedTuple):
    """The weight of one of the services that share a route's requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where requests of a host and path prefix go, and how.

    ``timeout`` bounds how long a request is held, ``latency_objective`` is the
    latency that it should be answered in, ``max_gap`` the longest time between
    the events of a stream. ``priority`` 0 is the highest. Requests of a public
    route need no key.
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
    """The properties that all model engines of a service have in common."""

    slots: int
    cache_tokens: int
    event_tokens: int
    max_pin: float


class Service(typing.NamedTuple):
    """A group of targets that serve the same requests."""

    name: str
    max_connections: int
    engine: Engine | None
    health_path: str = ''


class Organisation(typing.NamedTuple):
    """A customer with its own keys and a limit that its programs share.

    The limit over all instances is ``rate`` requests a second plus ``burst``;
    a rate of 0 means no limit. ``priority`` overrides that of the routes
    unless it is ``None``.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None


class CallerLimits(typing.NamedTuple):
    """Limits for what a caller sends and how long it takes."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class Configuration(typing.NamedTuple):
    """One accepted version of the operator's configuration.

    ``organisations`` maps the digests of keys to their organisations. ``None``
    means that there are none, and that requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    organisations: dict[bytes, Organisation] | None = None


class Target(typing.NamedTuple):
    """One process of a server, as it registered itself.

    ``started`` is the start of the process in milliseconds since 1970. It
    tells a restarted server, which has lost its state, from its predecessor.
    ``software_version`` is that of the server's software, not of its model.
    Versions have no order.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    started: int = 0
    software_version: str = ''

    @property
    def software(self) -> quarantine.Software:
        """The software that the process runs."""
        return quarantine.Software(self.service, self.software_version)


class StreamOrigin(typing.NamedTuple):
    """The service and software version whose target began a stream.

    Only targets of both can continue it. What others send does not fit the
    events so far, and targets do not check this.
    """

    service: str
    software_version: str


class Program(typing.NamedTuple):
    """The program of a request, as the request's headers describe it.

    ``time_left`` is the time within which the program should end. ``budget``
    bounds the tokens that all its turns may generate.
    """

    name: str
    session: str
    time_left: float | None
    budget: int | None


class Call(typing.NamedTuple):
    """A request of a caller.

    ``prefix`` lists the parts of the prompt with their lengths, the request's
    own part last. ``key`` is the digest of the caller's key, if it sent one.
    A request that resumes a stream after ``last_event`` names in ``resumes``
    the request that brought the stream's first event.
    """

    request: str
    host: str
    path: str
    method: bytes
    target: bytes
    headers: headers_module.Fields
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
    resumes: str | None = None


class ForwardOptions(typing.NamedTuple):
    """What is added to or removed from a request that is sent to a target.

    ``strips_key`` removes the caller's key.
    """

    target: str
    time_left: float
    urgency: int | None
    last_event: bytes | None
    pin: float | None = None
    organisation: str | None = None
    strips_key: bool = False


class Load(typing.NamedTuple):
    """The load that a target reports with a response.

    ``contention`` is how long work takes on the target's machine relative to
    the usual time; ``None`` if the target does not report it.
    """

    running: int
    waiting: int
    slots: int
    contention: float | None = None


class ResponseMetadata(typing.NamedTuple):
    """Metadata in the headers of a target's response.

    ``request`` is the id of the request that it answers. ``is_signed`` says
    that the signature of the target is present, ``is_load_malformed`` that its
    load report can't be used. ``target`` is the name that the target gives
    itself in responses to health checks.
    """

    request: str | None
    is_not_executed: bool
    is_signed: bool
    load: Load | None
    is_load_malformed: bool = False
    target: str | None = None


class RowKey(typing.NamedTuple):
    """The key of a row; a transaction changes rows of one partition."""

    table: str
    partition: str
    key: str


class Row(typing.NamedTuple):
    """A row as read; ``value`` is ``None`` if it was removed."""

    where: RowKey
    value: bytes | None
    version: int


class Transaction(typing.NamedTuple):
    """Rows to write and remove if their versions are as expected.

    Version 0 means that there is no such row.
    """

    expected: tuple[tuple[RowKey, int], ...]
    writes: tuple[tuple[RowKey, bytes], ...] = ()
    removals: tuple[RowKey, ...] = ()


class Committed(typing.NamedTuple):
    """A transaction was committed at a version."""

    version: int


class Conflict(typing.NamedTuple):
    """A version was not as expected; holds the present rows."""

    rows: tuple[Row, ...]


class Page(typing.NamedTuple):
    """Rows read at one version of the store."""

    rows: tuple[Row, ...]
    version: int
    has_more: bool
    time: float


class StoreSettings(typing.NamedTuple):
    """The store's address, and its limits for all instances together."""

    address: str
    writes_per_second: float
    reads_per_second: float
    partition_writes_per_second: float
    row_bytes: int


class Bounds(typing.NamedTuple):
    """Time limits that the platform sets.

    ``grace`` is how long a process may run after it was told to stop,
    ``recovery_timeout`` how long an instance may take to recover from a
    network failure, ``target_drain_timeout`` how long a target still serves
    after it said that it leaves. ``max_address_ttl`` bounds how long callers
    may cache addresses. ``limits`` says how the limits of organisations are
    counted. If ``is_revocation_strict``, an instance that has not been able to
    confirm its configuration for ``revocation_timeout`` refuses all keys.
    """

    grace: float
    recovery_timeout: float
    target_drain_timeout: float
    max_address_ttl: float
    limits: quotas.Tolerance = quotas.Tolerance()
    revocation_timeout: float = 5.0
    is_revocation_strict: bool = False


class Feature(enum.Enum):
    """A mechanism that only some deployments use."""

    COMPLETION_TIME = 'completion_time'
    SLOT_QUEUE = 'slot_queue'
    PROGRAM_ADMISSION = 'program_admission'
    ROUTE_PRIORITY = 'route_priority'
    ZONE_BALANCING = 'zone_balancing'
    HEDGING = 'hedging'
    MEMORY_LIMIT = 'memory_limit'


# Enabled by ``Settings.has_overload_control``.
OVERLOAD_CONTROL_FEATURES = frozenset(
    (
        Feature.SLOT_QUEUE,
        Feature.PROGRAM_ADMISSION,
        Feature.ROUTE_PRIORITY,
        Feature.HEDGING,
    )
)
# Enabled for targets that report how slow their machine is. Zone balancing is
# not enabled for others: with equal engines, a third of which was lost during
# a burst, fewer programs ended in time with it than without.
CONTENTION_FEATURES = frozenset(
    (Feature.COMPLETION_TIME, Feature.ZONE_BALANCING)
)


class Settings(typing.NamedTuple):
    """The settings of an instance; addresses are ``IP:PORT``.

    ``is_first_start`` says that the whole system starts for the first time.
    ``has_overload_control`` says that callers compete for capacity.
    ``memory_limit``, in bytes, and ``descriptor_limit`` are those of the
    process; ``None`` means that there is no limit. ``enabled_features`` are
    used and ``disabled_features`` are not, whatever the deployment calls for.
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
    has_overload_control: bool = False
    memory_limit: int | None = None
    disabled_features: frozenset[Feature] = frozenset()
    enabled_features: frozenset[Feature] = frozenset()
    descriptor_limit: int | None = None

    def has_feature(
        self, feature: Feature, reports_contention: bool = False
    ) -> bool:
        """Return whether a feature is enabled.

        ``reports_contention`` says that the targets in question report how
        slow their machine is.
        """
        if feature in self.disabled_features:
            return False
        if feature in self.enabled_features:
            return True
        if feature is Feature.MEMORY_LIMIT:
            return self.memory_limit is not None
        if reports_contention and feature in CONTENTION_FEATURES:
            return True
        return (
            self.has_overload_control and feature in OVERLOAD_CONTROL_FEATURES
        )


class InstanceRow(msgspec.Struct, frozen=True, kw_only=True):
    """The row that announces an instance; encoded as JSON by field names."""

    instance: str
    incarnation: figures.Ordinal
    zone: str
    region: str
    front: Address
    peer: Address
