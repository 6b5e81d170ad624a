"""Journal segments on their way into the object store and out of it."""

import random
import typing

from vanillayoke.cluster import pacing
from vanillayoke.cluster import rows
from vanillayoke.core import timers
from vanillayoke.node import backoff
from vanillayoke.node import buffer
from vanillayoke.platform import ports

_TURNS_FOR_COMMITS = 2


class SegmentStore:
    """This incarnation's segment objects."""

    def __init__(
        self,
        incarnation: str,
        objects: ports.ObjectStore,
        service: timers.TimerService,
        source: random.Random,
        pacer: pacing.WritePacer,
    ) -> None:
        self._incarnation = incarnation
        self._objects = objects
        self._timers = service
        self._random = source
        self._pacer = pacer

    async def put(
        self, number: int, taken: typing.Sequence[buffer.EncodedRecord]
    ) -> None:
        """Write a segment, however long that takes.

        The same blob again until it is known to be there: a segment whose
        put was in doubt must never get other contents.
        """
        blob = buffer.encode_segment(self._incarnation, number, taken)
        key = rows.name_segment(self._incarnation, number)
        delays = backoff.Backoff(self._random)
        while True:
            self._pacer.spend(self._timers.now())
            if await self._objects.put(key, blob) is None:
                return
            delays.note_failure(self._timers.now())
            await self._timers.sleep(delays.retry_at - self._timers.now())

    async def delete(self, numbers: typing.Iterable[int]) -> None:
        """Delete segments, paced behind the commits.

        What cannot be deleted stays until the whole journal goes.
        """
        for number in numbers:
            await wait_for_share(self._timers, self._pacer)
            key = rows.name_segment(self._incarnation, number)
            await self._objects.delete(key)


async def wait_for_share(
    service: timers.TimerService, pacer: pacing.WritePacer
) -> None:
    """Wait until a write that is not urgent fits the share, and count it.

    Commits go first: callers wait for them. After a few turns the write is
    made all the same, so that deletions keep up with what is written.
    """
    for _ in range(_TURNS_FOR_COMMITS):
        wait = max(pacer.ready_at - service.now(), pacer.interval)
        await service.sleep(wait)
        if service.now() >= pacer.ready_at:
            break
    pacer.spend(service.now())
