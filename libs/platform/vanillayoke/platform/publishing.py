"""Publish a configuration by one compare-and-set, and read what is there.

The table row holds a small configuration itself. A large one goes into an
object of its own first, and the row only names it: instances read the row
every few seconds, and tables bound the size of a row.
"""

import typing

import msgspec

from vanillayoke.core import failures
from vanillayoke.platform import ports
from vanillayoke.settings import configuration

ROW_KEY = 'configuration/current'
OBJECT_PREFIX = 'configuration/'
LARGEST_INLINE = 32 * 1024
KEPT_CHANGES = 16
KEPT_OBJECTS = 8
_OBJECT_READS = 3


class Current(typing.NamedTuple):
    """What is published; version 0 and no configuration before any.

    ``row_version`` is the table's own count of writes of the row.
    """

    version: int
    author: str
    configuration: configuration.Configuration
    changes: tuple[configuration.Change, ...]
    row_version: int


class Accepted(typing.NamedTuple):
    """The configuration was accepted as this version."""

    version: int


class RaceLost(typing.NamedTuple):
    """Another operator's change was accepted first; nothing was written."""

    version: int
    author: str


class Draft(typing.NamedTuple):
    """A checked configuration that is to be published on top of ``base``.

    ``floor`` is the highest version that any instance reports; the new one
    is above it, also where the table was restored from an older copy.
    ``write_id`` must be new for each change.
    """

    base: Current
    configuration: configuration.Configuration
    author: str
    write_id: str
    floor: int = 0


class Publisher:
    """Reads and publishes configurations.

    The table and object store given are those that retry.
    """

    def __init__(
        self, table: ports.TableService, objects: ports.ObjectStore
    ) -> None:
        self._table = table
        self._objects = objects

    async def read_current(self) -> Current | failures.Failure:
        """Return what is published now."""
        for _ in range(_OBJECT_READS):
            row = await self._table.read(ROW_KEY)
            if failures.is_failure(row):
                return row
            if row is None:
                return Current(0, '', configuration.Configuration(), (), 0)
            published = await read_published(row.value, self._objects)
            if failures.is_failure(published):
                return published
            # Old objects are deleted after some more changes, so one may
            # go between the two reads; the row then names a newer one.
            if published is not None:
                return _make_current(published, row)
        return failures.Failure(
            failures.Kind.INTERNAL, 'the configuration object is missing'
        )

    async def publish(
        self, draft: Draft
    ) -> Accepted | RaceLost | failures.Failure:
        """Publish a draft if its base is still what is published.

        ``STORE_UNAVAILABLE`` means that nothing was published,
        ``STORE_UNCERTAIN`` that it may have been.
        """
        published = _make_published(draft)
        pointer = _make_pointer(draft, published)
        if pointer is not None:
            blob = configuration.encode_published(published)
            stored = await self._objects.put(pointer.key, blob)
            if failures.is_failure(stored):
                # Whatever became of the object, no row names it.
                return stored._replace(kind=failures.Kind.STORE_UNAVAILABLE)
        row = configuration.encode_published(pointer or published)
        result = await self._commit(draft, row)
        if pointer is not None and isinstance(result, RaceLost):
            await self._objects.delete(pointer.key)
        if isinstance(result, Accepted):
            await self._delete_old(result.version)
        return result

    async def _commit(
        self, draft: Draft, row: bytes
    ) -> Accepted | RaceLost | failures.Failure:
        put = ports.Put(ROW_KEY, row, draft.base.row_version)
        done = await self._table.transact(draft.write_id, [put])
        match done:
            case ports.Committed():
                return Accepted(_find_version(draft))
            case ports.Conflict():
                return await self._find_outcome(draft)
            case failures.Failure(failures.Kind.STORE_UNCERTAIN):
                outcome = await self._find_outcome(draft)
                return done if failures.is_failure(outcome) else outcome
        return done

    async def _find_outcome(
        self, draft: Draft
    ) -> Accepted | RaceLost | failures.Failure:
        # Guards against a reply that is lost after the write took effect:
        # the operator would be told of a failure, or of a race lost against
        # the own change. The published list of changes carries the id of
        # each write and so tells whose change it is, even where another
        # operator has published on top of it since.
        row = await self._table.read(ROW_KEY)
        if failures.is_failure(row):
            return row._replace(kind=failures.Kind.STORE_UNCERTAIN)
        if row is None or row.version == draft.base.row_version:
            return failures.Failure(
                failures.Kind.STORE_UNCERTAIN, 'the change is not there yet'
            )
        found = _decode(row.value)
        if failures.is_failure(found):
            return found
        return _find_winner(draft, found)

    async def _delete_old(self, version: int) -> None:
        keys = await self._objects.list_keys(OBJECT_PREFIX)
        if failures.is_failure(keys):
            return
        for key in keys:
            if _read_key_version(key) <= version - KEPT_OBJECTS:
                await self._objects.delete(key)


async def read_published(
    blob: bytes, objects: ports.ObjectStore
) -> configuration.PublishedConfiguration | None | failures.Failure:
    """Return the configuration of a table row.

    ``None`` means that the object which the row names is gone, so that the
    row must be read anew.
    """
    found = _decode(blob)
    if failures.is_failure(found):
        return found
    if isinstance(found, configuration.PublishedConfiguration):
        return found
    stored = await objects.get(found.key)
    if stored is None or failures.is_failure(stored):
        return stored
    try:
        return configuration.decode_published(stored)
    except msgspec.DecodeError as error:
        return _fail_damaged(error)


def _decode(blob: bytes) -> configuration.Published | failures.Failure:
    try:
        return configuration.decode_row(blob)
    except msgspec.DecodeError as error:
        return _fail_damaged(error)


def _fail_damaged(error: Exception) -> failures.Failure:
    return failures.Failure(
        failures.Kind.INTERNAL, f'the published configuration: {error}'
    )


def _make_current(
    published: configuration.PublishedConfiguration, row: ports.Row
) -> Current:
    return Current(
        published.version,
        published.author,
        published.configuration,
        published.changes,
        row.version,
    )


def _find_version(draft: Draft) -> int:
    return max(draft.base.version, draft.floor) + 1


def _make_published(draft: Draft) -> configuration.PublishedConfiguration:
    version = _find_version(draft)
    change = configuration.Change(
        version=version, author=draft.author, write_id=draft.write_id
    )
    return configuration.PublishedConfiguration(
        version=version,
        author=draft.author,
        configuration=draft.configuration,
        changes=(*draft.base.changes, change)[-KEPT_CHANGES:],
    )


def _make_pointer(
    draft: Draft, published: configuration.PublishedConfiguration
) -> configuration.PublishedPointer | None:
    blob = configuration.encode_published(published)
    if len(blob) <= LARGEST_INLINE:
        return None
    return configuration.PublishedPointer(
        version=published.version,
        author=published.author,
        key=f'{OBJECT_PREFIX}{published.version}/{draft.write_id}',
        changes=published.changes,
    )


def _read_key_version(key: str) -> int:
    number = key.removeprefix(OBJECT_PREFIX).partition('/')[0]
    return int(number) if number.isdecimal() else 0


def _find_winner(
    draft: Draft, found: configuration.Published
) -> Accepted | RaceLost:
    for change in found.changes:
        if change.write_id == draft.write_id:
            return Accepted(change.version)
    later = [
        change
        for change in found.changes
        if change.version > draft.base.version
    ]
    if later:
        return RaceLost(later[0].version, later[0].author)
    return RaceLost(found.version, found.author)
