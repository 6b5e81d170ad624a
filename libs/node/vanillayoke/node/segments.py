"""Journal segments on their way into the object store and out of it."""

import random
import typing

from vanillayoke.cluster import pacing
from vanillayoke.cluster import rows
from vanillayoke.core import timers
from vanillayoke.node import buffer
from vanillayoke.platform import ports

_SHORTEST_RETRY = 0.1
_LONGEST_RETRY = 1.0


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
        delay = _SHORTEST_RETRY
        while True:
            self._pacer.spend(self._timers.now())
            if await self._objects.put(key, blob) is None:
                return
            await self._timers.sleep(delay * self._random.uniform(0.5, 1.0))
            delay = min(delay * 2, _LONGEST_RETRY)

    async def delete(self, numbers: typing.Iterable[int]) -> None:
        """Delete segments, paced behind the commits.

        What cannot be deleted stays until the whole journal goes.
        """
        for number in numbers:
            wait = self._pacer.ready_at - self._timers.now()
            await self._timers.sleep(max(wait, 0.0))
            self._pacer.spend(self._timers.now())
            key = rows.name_segment(self._incarnation, number)
            await self._objects.delete(key)
