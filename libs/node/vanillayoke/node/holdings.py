"""The shards that this instance owns by the table, and how far along."""

import enum
import typing

from vanillayoke.core import events
from vanillayoke.core import ids
from vanillayoke.core import logs
from vanillayoke.programs import program as programs

Programs = list[programs.Program]
GainedCallback = typing.Callable[[Programs], None]
LostCallback = typing.Callable[[frozenset[ids.Shard]], None]


class Phase(enum.Enum):
    """What an owned shard is ready for."""

    REPLAYING = enum.auto()
    SERVING = enum.auto()
    GIVING = enum.auto()


class Holding(typing.NamedTuple):
    """An owned shard's epoch and phase."""

    epoch: int
    phase: Phase


class Holdings:
    """Owned shards; tells subscribers which are served and which not."""

    def __init__(self, logger: logs.Logger) -> None:
        self._logger = logger
        self._held: dict[ids.Shard, Holding] = {}
        self._gained: list[GainedCallback] = []
        self._lost: list[LostCallback] = []

    def __contains__(self, shard: ids.Shard) -> bool:
        return shard in self._held

    def subscribe_gained(self, callback: GainedCallback) -> None:
        """Call back with the programs of shards that are served now."""
        self._gained.append(callback)

    def subscribe_lost(self, callback: LostCallback) -> None:
        """Call back with shards that are not served any more."""
        self._lost.append(callback)

    def find_epoch(self, shard: ids.Shard) -> int | None:
        """Return the epoch of a shard that is served."""
        held = self._held.get(shard)
        if held is None or held.phase is not Phase.SERVING:
            return None
        return held.epoch

    def list_in(self, phase: Phase) -> list[ids.Shard]:
        """Return the shards in a phase."""
        return [
            shard for shard, held in self._held.items() if held.phase is phase
        ]

    def gain(self, shard: ids.Shard, epoch: int) -> None:
        """Add a shard that the table gives to this instance."""
        self._held[shard] = Holding(epoch, Phase.REPLAYING)

    def is_replaying(self, shard: ids.Shard, epoch: int) -> bool:
        """Tell whether a shard still waits for its replay."""
        return self._held.get(shard) == Holding(epoch, Phase.REPLAYING)

    def serve(
        self, shards: typing.Collection[ids.Shard], rebuilt: Programs
    ) -> None:
        """Serve replayed shards from now on."""
        for shard in shards:
            epoch = self._held[shard].epoch
            self._held[shard] = Holding(epoch, Phase.SERVING)
        owned = len(self.list_in(Phase.SERVING))
        self._logger.write(
            events.SHARDS_GAINED, count=len(shards), owned=owned
        )
        for callback in self._gained:
            callback(rebuilt)

    def give_up(self, shards: typing.Iterable[ids.Shard]) -> None:
        """Serve shards no more; they stay held until the table says so."""
        served = set()
        for shard in shards:
            held = self._held[shard]
            if held.phase is Phase.SERVING:
                served.add(shard)
            self._held[shard] = Holding(held.epoch, Phase.GIVING)
        self._tell_lost(served)

    def remove(self, shards: typing.Iterable[ids.Shard]) -> None:
        """Drop shards that belong to others by the table."""
        for shard in shards:
            self._held.pop(shard, None)

    def clear(self) -> None:
        """Drop everything: the lease is lost for good."""
        served = set(self.list_in(Phase.SERVING))
        self._held.clear()
        self._tell_lost(served)

    def _tell_lost(self, served: typing.AbstractSet[ids.Shard]) -> None:
        if not served:
            return
        owned = len(self.list_in(Phase.SERVING))
        self._logger.write(events.SHARDS_LOST, count=len(served), owned=owned)
        for callback in self._lost:
            callback(frozenset(served))
