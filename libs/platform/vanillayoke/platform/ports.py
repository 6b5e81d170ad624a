"""Ports to what the platform gives: each has an HTTP and a memory backend."""

import abc
import typing

from vanillayoke.core import failures


class Row(typing.NamedTuple):
    """A row of the table service.

    ``version`` grows with every write of the row, also after a deletion.
    ``write_id`` names the transaction that wrote it.
    """

    key: str
    value: bytes
    version: int
    write_id: str


class Put(typing.NamedTuple):
    """Write a row if it still has the expected version.

    ``expected`` 0 means that the row must not exist; ``None`` means any.
    """

    key: str
    value: bytes
    expected: int | None


class Delete(typing.NamedTuple):
    """Delete a row if it still has the expected version."""

    key: str
    expected: int | None


class Committed(typing.NamedTuple):
    """A transaction took effect; ``versions`` maps keys to new versions."""

    versions: dict[str, int]


class Conflict(typing.NamedTuple):
    """A transaction changed nothing since ``key`` had another version."""

    key: str


class TableService(abc.ABC):
    """Rows with versions, changed by transactions of conditional writes."""

    @abc.abstractmethod
    async def read(self, key: str) -> Row | None | failures.Failure:
        """Read a row; ``None`` where there is none."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> list[Row] | failures.Failure:
        """Read rows whose keys start with a prefix, in key order."""

    @abc.abstractmethod
    async def transact(
        self, write_id: str, writes: typing.Sequence[Put | Delete]
    ) -> Committed | Conflict | failures.Failure:
        """Apply all writes or none.

        ``STORE_UNAVAILABLE`` means that nothing was written;
        ``STORE_UNCERTAIN`` that the reply was lost and it may have been.
        """


class ObjectStore(abc.ABC):
    """Immutable blobs by key."""

    @abc.abstractmethod
    async def put(self, key: str, blob: bytes) -> None | failures.Failure:
        """Store a blob; storing the same blob again is harmless."""

    @abc.abstractmethod
    async def get(self, key: str) -> bytes | None | failures.Failure:
        """Read a blob; ``None`` where there is none."""

    @abc.abstractmethod
    async def delete(self, key: str) -> None | failures.Failure:
        """Delete a blob; deleting an absent one is harmless."""

    @abc.abstractmethod
    async def list_keys(self, prefix: str) -> list[str] | failures.Failure:
        """Return the keys that start with a prefix, in order."""


class WeightSet(typing.NamedTuple):
    """One version of a model's or adapter's weights."""

    name: str
    version: str
    size: int


class WeightStore(abc.ABC):
    """The catalogue of weights; engines read the weights themselves."""

    @abc.abstractmethod
    async def list_weights(self) -> list[WeightSet] | failures.Failure:
        """Return all weight sets with their sizes in bytes."""

    @abc.abstractmethod
    async def read_rate(self) -> float | failures.Failure:
        """Return the bytes a second that all readers share."""


class ListedInstance(typing.NamedTuple):
    """An instance as the platform lists it, seconds or minutes late."""

    instance: str
    peer_address: str
    entry_address: str
    zone: str
    region: str
    leaving: bool


class InstanceList(abc.ABC):
    """The platform's lagging list of live and leaving instances."""

    @abc.abstractmethod
    async def list_instances(
        self,
    ) -> list[ListedInstance] | failures.Failure:
        """Return the instances that the platform believes are there."""


class Platform(typing.NamedTuple):
    """All ports of one platform."""

    table: TableService
    objects: ObjectStore
    weights: WeightStore
    instances: InstanceList
