"""Retrying wrappers of the table service and the object store."""

import asyncio
import functools
import random
import typing

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.platform import attempts
from vanillayoke.platform import evidence
from vanillayoke.platform import ports

_LEFT_UNKNOWN = failures.Failure(
    failures.Kind.STORE_UNCERTAIN,
    'the rows do not tell whether the transaction took effect',
)


class RetryingTable(ports.TableService):
    """Repeats what is safe and finds out what became of lost replies."""

    def __init__(
        self,
        table: ports.TableService,
        service: timers.TimerService,
        source: random.Random,
        settings: attempts.RetrySettings | None = None,
    ) -> None:
        self._table = table
        self._pacer = attempts.Pacer(
            settings or attempts.RetrySettings(), service, source
        )

    @property
    def health(self) -> attempts.Health:
        """Return how the table does, as seen from here."""
        return self._pacer.meter.health

    async def read(self, key: str) -> ports.Row | None | failures.Failure:
        return await self._pacer.repeat(
            lambda: self._table.read(key), self._pacer.begin()
        )

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> list[ports.Row] | failures.Failure:
        return await self._pacer.repeat(
            lambda: self._table.scan(prefix, after, limit),
            self._pacer.begin(),
        )

    async def transact(
        self,
        write_id: str,
        writes: typing.Sequence[ports.Put | ports.Delete],
        deadline: float | None = None,
    ) -> ports.Committed | ports.Conflict | failures.Failure:
        """Apply all writes or none, each at most once.

        ``write_id`` must be new. ``deadline`` is a monotonic time that can
        only shorten the settings' one. A lost reply is settled by reading
        back; ``STORE_UNCERTAIN`` is left where that does not tell.
        """
        pacing = self._pacer.begin(deadline)
        while True:
            done = await self._send(write_id, writes)
            if not attempts.is_store_failure(done):
                return done
            if done.kind is failures.Kind.STORE_UNCERTAIN:
                return await self._settle(write_id, writes, pacing)
            following = await self._pacer.wait(pacing)
            if following is None:
                return done
            pacing = following

    async def settle(
        self,
        write_id: str,
        writes: typing.Sequence[ports.Put | ports.Delete],
        deadline: float | None = None,
    ) -> ports.Committed | ports.Conflict | failures.Failure:
        """Take up a transaction that ``transact`` left uncertain.

        Commits it still where that is safe.
        """
        pacing = self._pacer.begin(deadline)
        return await self._settle(write_id, writes, pacing)

    async def _settle(
        self,
        write_id: str,
        writes: typing.Sequence[ports.Put | ports.Delete],
        pacing: attempts.Pacing,
    ) -> ports.Committed | ports.Conflict | failures.Failure:
        # Guards against a reply lost after the write took effect: a plain
        # repeat would be refused by the write's own new version, and the
        # caller would take its own write for a rival's and do it again.
        # It shows as a counter that grows by two. The rows carry the id of
        # the transaction that wrote them, and a repeat expects the same
        # versions, so that a delayed first request and its repeats can take
        # effect once between them.
        refused_key: str | None = None
        while True:
            readings = await self._read_back(writes, pacing)
            verdict = evidence.judge(
                write_id, readings, closed=refused_key is not None
            )
            following = None
            if verdict is evidence.Verdict.PENDING:
                following = await self._pacer.wait(pacing)
            if following is None:
                break
            pacing = following
            done = await self._send(write_id, writes)
            match done:
                case ports.Committed():
                    self._pacer.meter.note_verdict(evidence.Verdict.COMMITTED)
                    return done
                case ports.Conflict(key) if _is_pinned_key(key, writes):
                    refused_key = key
        self._pacer.meter.note_verdict(verdict)
        match verdict:
            case evidence.Verdict.COMMITTED:
                versions = evidence.find_versions(write_id, writes, readings)
                return ports.Committed(versions)
            case evidence.Verdict.LOST:
                key = evidence.find_taken(readings) or refused_key
                return ports.Conflict(key)
        return _LEFT_UNKNOWN

    async def _send(
        self, write_id: str, writes: typing.Sequence[evidence.Write]
    ) -> ports.Committed | ports.Conflict | failures.Failure:
        return await self._pacer.attempt(
            lambda: self._table.transact(write_id, writes)
        )

    async def _read_back(
        self,
        writes: typing.Sequence[evidence.Write],
        pacing: attempts.Pacing,
    ) -> list[evidence.Reading]:
        """Read the rows; those that could not be read are left out."""
        if self._pacer.is_over(pacing):
            return []
        rows = await asyncio.gather(
            *(
                self._pacer.repeat(
                    functools.partial(self._table.read, write.key), pacing
                )
                for write in writes
            )
        )
        return [
            evidence.Reading(write, row)
            for write, row in zip(writes, rows, strict=True)
            if not failures.is_failure(row)
        ]


class RetryingObjects(ports.ObjectStore):
    """Repeats everything: blobs are immutable, so that all is harmless."""

    def __init__(
        self,
        objects: ports.ObjectStore,
        service: timers.TimerService,
        source: random.Random,
        settings: attempts.RetrySettings | None = None,
    ) -> None:
        self._objects = objects
        self._pacer = attempts.Pacer(
            settings or attempts.RetrySettings(), service, source
        )

    @property
    def health(self) -> attempts.Health:
        """Return how the object store does, as seen from here."""
        return self._pacer.meter.health

    async def put(self, key: str, blob: bytes) -> None | failures.Failure:
        return await self._repeat(lambda: self._objects.put(key, blob))

    async def get(self, key: str) -> bytes | None | failures.Failure:
        return await self._repeat(lambda: self._objects.get(key))

    async def delete(self, key: str) -> None | failures.Failure:
        return await self._repeat(lambda: self._objects.delete(key))

    async def list_keys(self, prefix: str) -> list[str] | failures.Failure:
        return await self._repeat(lambda: self._objects.list_keys(prefix))

    async def _repeat(self, act: typing.Callable) -> typing.Any:
        return await self._pacer.repeat(act, self._pacer.begin())


def _is_pinned_key(key: str, writes: typing.Sequence[evidence.Write]) -> bool:
    return any(
        write.key == key and evidence.is_pinned(write) for write in writes
    )
