"""Publish a configuration by one compare-and-set, and read what is there.

The table row holds a small configuration itself. A large one goes into an
object of its own first, and the row only names it: instances read the row
every few seconds, and tables bound the size of a row.
"""

import typing

import msgspec

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.platform import ports
from vanillayoke.settings import configuration

ROW_KEY = 'configuration/current'
OBJECT_PREFIX = 'configuration/'
LARGEST_INLINE = 32 * 1024
KEPT_CHANGES = 16
KEPT_OBJECTS = 8
_ATTEMPTS = 6
_FIRST_DELAY = 0.2
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


class _Retry(typing.NamedTuple):
    """Nothing is known to be written; the attempt may be repeated."""

    failure: failures.Failure


class Publisher:
    """Reads and publishes configurations."""

    def __init__(
        self,
        table: ports.TableService,
        objects: ports.ObjectStore,
        service: timers.TimerService,
    ) -> None:
        self._table = table
        self._objects = objects
        self._timers = service

    async def read_current(self) -> Current | failures.Failure:
        """Return what is published now."""
        missing = failures.Failure(
            failures.Kind.INTERNAL, 'the configuration object is missing'
        )
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
        return missing

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
            stored = await self._store(pointer.key, published)
            if failures.is_failure(stored):
                return stored
        put = ports.Put(
            ROW_KEY,
            configuration.encode_published(pointer or published),
            draft.base.row_version,
        )
        result = await self._commit(draft, put)
        if pointer is not None and isinstance(result, RaceLost):
            await self._objects.delete(pointer.key)
        if isinstance(result, Accepted):
            await self._delete_old(result.version)
        return result

    async def _commit(
        self, draft: Draft, put: ports.Put
    ) -> Accepted | RaceLost | failures.Failure:
        in_doubt: failures.Failure | None = None
        delay = _FIRST_DELAY
        for _ in range(_ATTEMPTS):
            result = await self._try_commit(draft, put)
            if not isinstance(result, _Retry):
                return result
            if result.failure.kind is failures.Kind.STORE_UNCERTAIN:
                in_doubt = result.failure
            await self._timers.sleep(delay)
            delay *= 2
        return in_doubt or result.failure

    async def _try_commit(
        self, draft: Draft, put: ports.Put
    ) -> Accepted | RaceLost | _Retry | failures.Failure:
        answer = await self._table.transact(draft.write_id, [put])
        if isinstance(answer, ports.Committed):
            return Accepted(_find_version(draft))
        if failures.is_failure(answer):
            if answer.kind is failures.Kind.STORE_UNAVAILABLE:
                return _Retry(answer)
            if answer.kind is not failures.Kind.STORE_UNCERTAIN:
                return answer
        # Guards against a reply that is lost after the write took effect:
        # the operator would be told of a failure, or, after a repeat, of a
        # lost race against the own change. The row and its list of changes
        # carry the write's id, which tells whose change it is. Repeating
        # the write is safe, since its expected version allows it once.
        outcome = await self._judge(draft)
        if isinstance(outcome, _Retry) and failures.is_failure(answer):
            return _Retry(answer)
        return outcome

    async def _judge(
        self, draft: Draft
    ) -> Accepted | RaceLost | _Retry | failures.Failure:
        row = await self._table.read(ROW_KEY)
        if failures.is_failure(row):
            doubt = failures.Kind.STORE_UNCERTAIN
            return _Retry(row._replace(kind=doubt))
        version = row.version if row else 0
        if version == draft.base.row_version:
            reason = 'the change is not in the table yet'
            doubt = failures.Failure(failures.Kind.STORE_UNCERTAIN, reason)
            return _Retry(doubt)
        if row is None:
            return RaceLost(0, '')
        found = _decode(row.value)
        if failures.is_failure(found):
            return found
        return _find_winner(draft, found)

    async def _store(
        self, key: str, published: configuration.PublishedConfiguration
    ) -> None | failures.Failure:
        blob = configuration.encode_published(published)
        delay = _FIRST_DELAY
        for _ in range(_ATTEMPTS):
            stored = await self._objects.put(key, blob)
            if stored is None:
                return None
            await self._timers.sleep(delay)
            delay *= 2
        # Whatever became of the object, no row names it yet.
        return stored._replace(kind=failures.Kind.STORE_UNAVAILABLE)

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
