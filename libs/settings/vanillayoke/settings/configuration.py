"""The configuration that operators publish: agents, tools, targets, ...

All instances share it; one version is in force at a time.
"""

import typing

import msgspec

TARGET_KINDS = ('engine', 'service')
FENCING = ('checks', 'ignores')
PLACEMENTS = ('expected_completion', 'least_load')
ORDERS = ('attained_service', 'least_attained', 'first_come')
ADMISSIONS = ('working_set', 'open')
CACHE_LIFETIMES = ('learned_return', 'release', 'keep')


class ToolSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A tool that agents may call on a service target.

    ``service`` names the service group of targets that run it; ``timeout``
    is in seconds; ``idempotent`` is required, since it decides whether a
    call may be repeated. ``reserved_money`` is in millionths.
    """

    service: str
    path: str
    idempotent: bool
    timeout: float = 10.0
    description: str = ''
    parameters: dict[str, typing.Any] = {}
    reserved_money: int = 0


class BudgetSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Limits on what one program may use; ``money`` in millionths."""

    tokens: int = 1_000_000
    calls: int = 500
    seconds: float = 3600.0
    money: int = 1_000_000_000


class AgentSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """An agent: the model, its instructions, its tools and sub-agents."""

    model: str
    instructions: str = ''
    tools: tuple[str, ...] = ()
    children: tuple[str, ...] = ()
    max_tokens: int = 512
    call_timeout: float = 120.0
    progress_timeout: float = 10.0
    budget: BudgetSettings = BudgetSettings()


class TargetSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A back end; ``kind`` is ``engine`` or ``service``.

    ``group`` is the service group of a service. ``fencing`` is ``checks``
    if the target rejects orders with an old epoch, otherwise ``ignores``.
    ``query`` tells whether the service can report the outcome of a call.
    ``cache_tokens`` is the capacity of an engine's prefix cache. ``slots``
    limits an engine's batch or a service's concurrent calls.
    """

    kind: str
    address: str
    zone: str
    region: str
    group: str = ''
    fencing: str = 'ignores'
    query: bool = False
    signed_orders: bool = False
    cache_tokens: int = 200_000
    slots: int = 16


class ClientSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A customer: its keys (SHA-256, hex), share and limits.

    ``weight`` is its share of capacity; ``calls_per_second`` and
    ``running_programs`` apply to all instances together.
    """

    key_hashes: tuple[str, ...]
    agents: tuple[str, ...] = ()
    weight: float = 1.0
    calls_per_second: float = 1000.0
    running_programs: int = 100_000


class ModelSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A model: the version in force and the required number of copies."""

    version: str = '1'
    minimum_copies: int = 1
    pinned: tuple[str, ...] = ()
    money_per_million_tokens: int = 0


class PolicySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Names of the scheduling policies in force and their parameters."""

    placement: str = 'expected_completion'
    order: str = 'attained_service'
    admission: str = 'working_set'
    cache_lifetime: str = 'learned_return'
    urgent_reserve: float = 0.1
    retry_fraction: float = 0.1
    repeated_steps: int = 8


class Configuration(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The merged and checked settings folder."""

    agents: dict[str, AgentSettings] = {}
    tools: dict[str, ToolSettings] = {}
    targets: dict[str, TargetSettings] = {}
    clients: dict[str, ClientSettings] = {}
    models: dict[str, ModelSettings] = {}
    policy: PolicySettings = PolicySettings()


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change; ``write_id`` names the write that made it."""

    version: int
    author: str
    write_id: str


class PublishedConfiguration(
    msgspec.Struct, frozen=True, kw_only=True, tag='configuration'
):
    """A configuration with its version, as stored in the table.

    Each accepted change increments ``version`` by one. ``changes`` holds the
    most recent changes, ending with the one that made this version.
    """

    version: int
    author: str
    configuration: Configuration
    changes: tuple[Change, ...] = ()


class PublishedPointer(
    msgspec.Struct, frozen=True, kw_only=True, tag='pointer'
):
    """A table row that refers to a large configuration.

    ``key`` names the object that holds the ``PublishedConfiguration``.
    """

    version: int
    author: str
    key: str
    changes: tuple[Change, ...] = ()


Published = PublishedConfiguration | PublishedPointer


def encode_published(published: Published) -> bytes:
    """Encode for the table, the object store and other instances."""
    return msgspec.msgpack.encode(published)


def decode_published(blob: bytes) -> PublishedConfiguration:
    """Decode a configuration; raises ``msgspec.DecodeError`` if malformed."""
    return msgspec.msgpack.decode(blob, type=PublishedConfiguration)


def decode_row(blob: bytes) -> Published:
    """Decode a table row; raises ``msgspec.DecodeError`` if malformed."""
    return msgspec.msgpack.decode(blob, type=Published)
