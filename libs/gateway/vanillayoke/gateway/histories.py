"""Storage of turns, and retrieval of their history for later turns."""

import collections
import math
import typing

from vanillayoke.core import memory
from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import partitions
from vanillayoke.gateway import retention as retention_module
from vanillayoke.gateway import retries
from vanillayoke.gateway import store as store_module
from vanillayoke.programs import transcripts

TABLE = 'turns'
# Of the latest turns' texts: the next turn of a program often comes to the
# same instance.
MAX_CACHE_BYTES = 8 * 1024 * 1024
# A turn is stored in any one of this number of partitions, so that it can be
# stored while some of them are unavailable. While a third of all partitions
# are down, one turn in thirty finds none of three, and one in three would have
# to wait with a single one. Finding a turn missing takes as many reads.
CANDIDATE_PARTITION_COUNT = 3
# Must stay below the store's limit of 1 MB for an encoded transaction.
MAX_BATCH_BYTES = 512 * 1024


_Result = typing.TypeVar('_Result')


class UnknownTurnError(Exception):
    """The turn is certainly not in the store."""


class Histories:
    """Stores turns and reads the history before a turn."""

    def __init__(
        self,
        store: store_module.StoreClient,
        timer_service: timers.TimerService,
        get_retention: typing.Callable[[], retention_module.Retention],
        memory_account: memory.Account | None = None,
    ) -> None:
        self._get_retention = get_retention
        self._memory = memory_account
        self._store = store
        self._timers = timer_service
        self._cache: collections.OrderedDict[str, transcripts.History] = (
            collections.OrderedDict()
        )
        self._cached_bytes = 0

    async def fetch(self, turn: str, deadline: float) -> transcripts.History:
        """Return the history up to and including a turn.

        Raise ``UnknownTurnError`` if the turn is not in the store, or
        ``StoreError`` if that could not be determined by the deadline. Raise
        ``StoreError`` at once if the whole store is unreachable.
        """
        texts: list[bytes] = []
        expires_at = math.inf
        next_turn = turn
        while next_turn:
            cached = self._cache.get(next_turn)
            if cached is not None:
                self._cache.move_to_end(next_turn)
                texts.append(cached.text)
                expires_at = min(expires_at, cached.expires_at)
                break
            stored = await self._read(next_turn, deadline)
            texts.append(stored.text)
            expires_at = min(expires_at, stored.expires_at)
            next_turn = stored.base
        history = transcripts.History(b''.join(reversed(texts)), expires_at)
        self._add_to_cache(turn, history)
        return history

    async def save(
        self,
        turn: str,
        previous_turn: str,
        history: transcripts.History,
        new_text: bytes,
        deadline: float,
    ) -> None:
        """Store a turn that has run, waiting for the store if necessary.

        ``previous_turn`` is empty if there is none. Raise ``StoreError`` if it
        is unknown at the deadline whether the turn is stored.
        """
        retention = self._get_retention()
        encoded = transcripts.encode_turn(
            turn,
            previous_turn,
            history,
            new_text,
            self._store.row_bytes,
            self._timers.wall(),
            retention.lifetime,
            retention.needed,
        )
        await self._try_partitions(
            turn,
            deadline,
            lambda partition, timeout_seconds: self._write(
                partition, encoded.rows, timeout_seconds
            ),
            waits_when_unreachable=True,
        )
        self._add_to_cache(
            turn,
            transcripts.History(history.text + new_text, encoded.expires_at),
        )

    async def _try_partitions(
        self,
        turn: str,
        deadline: float,
        operation: typing.Callable[[str, float], typing.Awaitable[_Result]],
        waits_when_unreachable: bool,
    ) -> _Result:
        """Retry an operation on a turn's partitions until one succeeds.

        Each round tries every partition once, recently failed ones last, and
        is followed by a pause. Raise the last ``StoreError`` at the deadline
        or, unless ``waits_when_unreachable``, when the whole store is
        unreachable.
        """
        candidates = partitions.list_candidates(
            turn, CANDIDATE_PARTITION_COUNT
        )
        pause = retries.INITIAL_BACKOFF_SECONDS
        while True:
            for partition in sorted(
                candidates, key=self._store.has_recent_failure
            ):
                remaining = deadline - self._timers.now()
                timeout_seconds = min(
                    remaining, retries.compute_timeout(self._store)
                )
                try:
                    return await operation(
                        partition,
                        max(retries.MIN_ATTEMPT_SECONDS, timeout_seconds),
                    )
                except store_module.StoreError as error:
                    failure = error
            pause = min(retries.MAX_BACKOFF_SECONDS, pause * 2)
            remaining = deadline - self._timers.now()
            gives_up = (
                self._store.is_unreachable and not waits_when_unreachable
            )
            if gives_up or remaining <= retries.MIN_ATTEMPT_SECONDS:
                raise failure
            await self._store.wait_before_retry(min(pause, remaining))

    async def _write(
        self,
        partition: str,
        rows: list[tuple[str, bytes]],
        timeout_seconds: float,
    ) -> None:
        keyed_rows = [
            (messages.RowKey(TABLE, partition, key), value)
            for key, value in rows
        ]
        # Readers look for the first row, so it is written last.
        for batch in _split(keyed_rows[1:]):
            transaction = messages.Transaction((), tuple(batch))
            await self._store.transact(transaction, timeout_seconds)
        row_key, value = keyed_rows[0]
        outcome = await self._store.transact(
            messages.Transaction(((row_key, 0),), ((row_key, value),)),
            timeout_seconds,
        )
        if isinstance(outcome, messages.Committed):
            return
        # An earlier attempt may have been applied without a response.
        if not any(row.value == value for row in outcome.rows):
            raise store_module.StoreOutcomeUnknownError(
                f'turn {row_key.key} is stored with different text'
            )

    async def _read(
        self, turn: str, deadline: float
    ) -> transcripts.StoredTurn:
        """Return a turn from whichever of its partitions has it."""
        absent: set[str] = set()

        async def read(
            partition: str, timeout_seconds: float
        ) -> transcripts.StoredTurn:
            stored = await self._read_from(turn, partition, timeout_seconds)
            if stored is not None:
                return stored
            absent.add(partition)
            if len(absent) == CANDIDATE_PARTITION_COUNT:
                raise UnknownTurnError(turn)
            raise store_module.StoreRefusedError(
                f'turn {turn} is missing in some of its partitions'
            )

        return await self._try_partitions(
            turn, deadline, read, waits_when_unreachable=False
        )

    async def _read_from(
        self, turn: str, partition: str, timeout_seconds: float
    ) -> transcripts.StoredTurn | None:
        """Return a turn from a partition; ``None`` if it is not there.

        Reads may be stale. So if a read finds nothing, a transaction that
        expects the row to be absent confirms it or returns the row.
        """
        end = transcripts.get_range_end(turn)
        page = await self._store.read(
            TABLE, partition, timeout_seconds, turn, end
        )
        stored = _decode(turn, page.rows)
        if stored is not None:
            return stored
        row_key = messages.RowKey(TABLE, partition, turn)
        outcome = await self._store.transact(
            messages.Transaction(((row_key, 0),)), timeout_seconds
        )
        if isinstance(outcome, messages.Committed):
            return None
        return _decode(turn, outcome.rows)

    def clear_cache(self) -> None:
        """Drop all histories from the cache; they are in the store."""
        size, self._cached_bytes = self._cached_bytes, 0
        self._cache.clear()
        if self._memory is not None:
            self._memory.add(memory.Kind.HISTORIES, -size)

    def _add_to_cache(self, turn: str, history: transcripts.History) -> None:
        # The cache is cleared only when the pressure begins.
        if self._memory is not None and self._memory.is_under_pressure:
            return
        previous_bytes = self._cached_bytes
        old = self._cache.pop(turn, None)
        if old is not None:
            self._cached_bytes -= len(old.text)
        self._cache[turn] = history
        self._cached_bytes += len(history.text)
        while self._cached_bytes > MAX_CACHE_BYTES:
            _, evicted = self._cache.popitem(last=False)
            self._cached_bytes -= len(evicted.text)
        if self._memory is not None:
            self._memory.add(
                memory.Kind.HISTORIES, self._cached_bytes - previous_bytes
            )


def _decode(
    turn: str, stored_rows: typing.Iterable[messages.Row]
) -> transcripts.StoredTurn | None:
    rows = {row.where.key: row.value for row in stored_rows}
    try:
        return transcripts.decode_rows(turn, rows)
    except transcripts.CorruptTurnError as error:
        raise store_module.StoreOutcomeUnknownError(str(error)) from error


def _split(
    rows: list[tuple[messages.RowKey, bytes]],
) -> typing.Iterator[list[tuple[messages.RowKey, bytes]]]:
    batch: list[tuple[messages.RowKey, bytes]] = []
    size = 0
    for row in rows:
        if batch and size + len(row[1]) > MAX_BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(row)
        size += len(row[1])
    if batch:
        yield batch
