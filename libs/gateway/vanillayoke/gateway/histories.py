"""Turns kept in the store, and their text for the turns that follow."""

import collections
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import partitions
from vanillayoke.gateway import retries
from vanillayoke.gateway import store as store_module
from vanillayoke.programs import transcripts

TABLE = 'turns'
# Texts of the latest turns stay in memory up to this many bytes: the next
# turn of a program often comes to the same instance.
CACHE_BYTES = 8 * 1024 * 1024
# The parts that a turn's rows may lie in. While a third of the parts are
# down, one turn in thirty finds none of three; one in three has to wait where
# there is but one. A turn that no place has takes as many reads.
CANDIDATE_PARTITION_COUNT = 3
# A transaction takes 1 MB as it travels; rows of longer turns go in several.
BATCH_BYTES = 512 * 1024


_Result = typing.TypeVar('_Result')


class UnknownTurnError(Exception):
    """It is certain that no such turn is kept."""


class Histories:
    """Keeps turns and finds what came before."""

    def __init__(
        self,
        store: store_module.StoreClient,
        timer_service: timers.TimerService,
    ) -> None:
        self._store = store
        self._timers = timer_service
        self._cache: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self._cached_bytes = 0

    async def fetch(self, turn: str, until: float) -> bytes:
        """Return all text up to and with a turn.

        Raise ``UnknownTurnError`` or, if that is open, ``StoreError``; that
        at once where the store is out of reach as a whole.
        """
        texts: list[bytes] = []
        wanted = turn
        while wanted:
            cached = self._cache.get(wanted)
            if cached is not None:
                self._cache.move_to_end(wanted)
                texts.append(cached)
                break
            stored = await self._read(wanted, until)
            texts.append(stored.text)
            wanted = stored.base
        text = b''.join(reversed(texts))
        self._remember(turn, text)
        return text

    async def save(
        self,
        turn: str,
        base: str,
        before: bytes,
        added: bytes,
        until: float,
    ) -> None:
        """Make a turn durable; raise ``StoreError`` if that is open.

        It has run, so this waits for the store until then.
        """
        rows = transcripts.make_rows(
            turn,
            base,
            before,
            added,
            self._store.row_bytes,
            self._timers.wall(),
        )
        await self._try_places(
            turn,
            until,
            lambda part, left: self._write(part, rows, left),
            is_patient=True,
        )
        self._remember(turn, before + added)

    async def _try_places(
        self,
        turn: str,
        until: float,
        work: typing.Callable[[str, float], typing.Awaitable[_Result]],
        is_patient: bool,
    ) -> _Result:
        """Do something in one of a turn's places, until a time.

        Parts of the store may be down while others work: each place is tried
        once, those that failed of late at the end, then all again after a
        pause. Raise the last ``StoreError`` when the time is over or, unless
        ``is_patient``, when the whole store is out of reach.
        """
        places = partitions.list_candidates(turn, CANDIDATE_PARTITION_COUNT)
        pause = retries.INITIAL_BACKOFF_SECONDS
        while True:
            for part in sorted(places, key=self._store.has_recent_failure):
                left = until - self._timers.now()
                patience = min(left, retries.compute_timeout(self._store))
                try:
                    return await work(
                        part, max(retries.MIN_ATTEMPT_SECONDS, patience)
                    )
                except store_module.StoreError as error:
                    failure = error
            pause = min(retries.MAX_BACKOFF_SECONDS, pause * 2)
            left = until - self._timers.now()
            is_hopeless = self._store.is_unreachable and not is_patient
            if is_hopeless or left <= retries.MIN_ATTEMPT_SECONDS:
                raise failure
            await self._store.wait_before_retry(min(pause, left))

    async def _write(
        self, part: str, rows: list[tuple[str, bytes]], patience: float
    ) -> None:
        placed = [
            (messages.RowKey(TABLE, part, key), value) for key, value in rows
        ]
        # The first row makes the turn exist: it goes last.
        for batch in _split(placed[1:]):
            transaction = messages.Transaction((), tuple(batch))
            await self._store.transact(transaction, patience)
        where, value = placed[0]
        outcome = await self._store.transact(
            messages.Transaction(((where, 0),), ((where, value),)), patience
        )
        if isinstance(outcome, messages.Committed):
            return
        # An earlier try of ours may have taken effect without an answer.
        if not any(found.value == value for found in outcome.rows):
            raise store_module.StoreOutcomeUnknownError(
                f'turn {where.key} is kept with another text'
            )

    async def _read(self, turn: str, until: float) -> transcripts.StoredTurn:
        """Return a turn from whichever of its places has it."""
        absent: set[str] = set()

        async def look(part: str, patience: float) -> transcripts.StoredTurn:
            stored = await self._look(turn, part, patience)
            if stored is not None:
                return stored
            absent.add(part)
            if len(absent) == CANDIDATE_PARTITION_COUNT:
                raise UnknownTurnError(turn)
            raise store_module.StoreRefusedError(
                f'turn {turn} is not in all places'
            )

        return await self._try_places(turn, until, look, is_patient=False)

    async def _look(
        self, turn: str, part: str, patience: float
    ) -> transcripts.StoredTurn | None:
        """Return a turn from one place; ``None`` if it surely is not there.

        Reads may lag behind what is committed; a transaction that expects
        the row to be absent does not, and shows the row if it is there.
        """
        end = transcripts.get_range_end(turn)
        page = await self._store.read(TABLE, part, patience, turn, end)
        stored = _decode(turn, page.rows)
        if stored is not None:
            return stored
        where = messages.RowKey(TABLE, part, turn)
        outcome = await self._store.transact(
            messages.Transaction(((where, 0),)), patience
        )
        if isinstance(outcome, messages.Committed):
            return None
        return _decode(turn, outcome.rows)

    def _remember(self, turn: str, text: bytes) -> None:
        old = self._cache.pop(turn, None)
        if old is not None:
            self._cached_bytes -= len(old)
        self._cache[turn] = text
        self._cached_bytes += len(text)
        while self._cached_bytes > CACHE_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)


def _decode(
    turn: str, found: typing.Iterable[messages.Row]
) -> transcripts.StoredTurn | None:
    rows = {row.where.key: row.value for row in found}
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
        if batch and size + len(row[1]) > BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(row)
        size += len(row[1])
    if batch:
        yield batch
