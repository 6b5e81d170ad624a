"""The platform's services in memory, with faults to inject.

All four share one ``PlatformFaults``, which a test changes at any moment.
``for_caller`` gives an instance its own view, whose link can be cut by name.
"""

import copy
import enum
import random
import typing

import msgspec

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.platform import ports

Apply = typing.Callable[[], typing.Any]
Write = ports.Put | ports.Delete


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong now; times in seconds.

    ``timeout`` is when a caller gives up. Of the writes, the next
    ``lost_replies`` take effect unanswered, the next ``lost_requests``
    vanish, and the next ``late_requests`` take effect ``late_by`` after
    their caller gave up. The ``_share`` fields do the same to a random
    part of all writes. ``list_lag`` is how old the list of instances is.
    """

    down: bool = False
    cut_callers: set[str] = msgspec.field(default_factory=set)
    delay: float = 0.0
    timeout: float = 2.0
    lost_replies: int = 0
    lost_requests: int = 0
    late_requests: int = 0
    lost_replies_share: float = 0.0
    lost_requests_share: float = 0.0
    late_requests_share: float = 0.0
    late_by: float = 1.0
    list_lag: float = 0.0


class OperationCounters(msgspec.Struct):
    """Operations that reached a service; a transaction is one write."""

    reads: int = 0
    writes: int = 0
    rows: int = 0


class _Fate(enum.Enum):
    ANSWERED = ''
    REPLY_LOST = 'lost_replies'
    REQUEST_LOST = 'lost_requests'
    REQUEST_LATE = 'late_requests'


_FAULTY = (_Fate.REPLY_LOST, _Fate.REQUEST_LOST, _Fate.REQUEST_LATE)
_DOWN = failures.Failure(
    failures.Kind.STORE_UNAVAILABLE, 'the stand-in cannot be reached'
)
_IN_DOUBT = failures.Failure(
    failures.Kind.STORE_UNCERTAIN, 'the stand-in lost a request or reply'
)
_TAKEN = failures.Failure(failures.Kind.CONFLICT, 'the key has another blob')


class _Service:
    """What all services share: faults, counters and the caller's name."""

    def __init__(
        self,
        service: timers.TimerService,
        source: random.Random,
        faults: PlatformFaults,
    ) -> None:
        self._timers = service
        self._random = source
        self._faults = faults
        self._caller = ''
        self.counters = OperationCounters()

    def for_caller(self, caller: str) -> typing.Self:
        """Return a view of the same contents over a link of its own."""
        view = copy.copy(self)
        view._caller = caller
        return view

    async def _read(self, apply: Apply) -> typing.Any:
        faults = self._faults
        fails = self._is_cut() or faults.delay >= faults.timeout
        await self._timers.sleep(faults.timeout if fails else faults.delay)
        if fails or self._is_cut():
            return _DOWN
        self.counters.reads += 1
        return apply()

    async def _write(self, apply: Apply, rows: int = 1) -> typing.Any:
        def take_effect() -> typing.Any:
            self.counters.writes += 1
            self.counters.rows += rows
            return apply()

        faults = self._faults
        if self._is_cut():
            await self._timers.sleep(faults.timeout)
            return _DOWN
        await self._timers.sleep(min(faults.delay, faults.timeout))
        late = faults.delay - faults.timeout
        if late >= 0:
            self._timers.call_after(late, take_effect)
            return _IN_DOUBT
        fate = self._draw_fate()
        if fate is _Fate.ANSWERED:
            return take_effect()
        if fate is _Fate.REPLY_LOST:
            take_effect()
        if fate is _Fate.REQUEST_LATE:
            late = faults.timeout + faults.late_by
            self._timers.call_after(late, take_effect)
        await self._timers.sleep(faults.timeout)
        return _IN_DOUBT

    def _is_cut(self) -> bool:
        return self._faults.down or self._caller in self._faults.cut_callers

    def _draw_fate(self) -> _Fate:
        if self._is_cut():
            return _Fate.REQUEST_LOST
        for fate in _FAULTY:
            left = getattr(self._faults, fate.value)
            if left > 0:
                setattr(self._faults, fate.value, left - 1)
                return fate
        drawn = self._random.random()
        for fate in _FAULTY:
            drawn -= getattr(self._faults, f'{fate.value}_share')
            if drawn < 0:
                return fate
        return _Fate.ANSWERED


class MemoryTable(_Service, ports.TableService):
    """A table service in memory; transactions are atomic."""

    def __init__(self, *shared: typing.Any) -> None:
        super().__init__(*shared)
        self._rows: dict[str, ports.Row] = {}
        # Outlives the rows, so that a version never comes back.
        self._versions: dict[str, int] = {}

    async def read(self, key: str) -> ports.Row | None | failures.Failure:
        return await self._read(lambda: self._rows.get(key))

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> list[ports.Row] | failures.Failure:
        def apply() -> list[ports.Row]:
            keys = sorted(key for key in self._rows if key.startswith(prefix))
            return [self._rows[key] for key in keys if key > after][:limit]

        return await self._read(apply)

    async def transact(
        self, write_id: str, writes: typing.Sequence[Write]
    ) -> ports.Committed | ports.Conflict | failures.Failure:
        if len({write.key for write in writes}) < len(writes):
            raise ValueError('a transaction names a key twice')
        return await self._write(
            lambda: self._apply(write_id, writes), len(writes)
        )

    def _apply(
        self, write_id: str, writes: typing.Sequence[Write]
    ) -> ports.Committed | ports.Conflict:
        for write in writes:
            row = self._rows.get(write.key)
            version = row.version if row else 0
            if write.expected not in (None, version):
                return ports.Conflict(write.key)
        return ports.Committed(
            {write.key: self._apply_one(write_id, write) for write in writes}
        )

    def _apply_one(self, write_id: str, write: Write) -> int:
        version = self._versions.get(write.key, 0) + 1
        self._versions[write.key] = version
        match write:
            case ports.Put(key, value, _):
                self._rows[key] = ports.Row(key, value, version, write_id)
            case ports.Delete(key, _):
                self._rows.pop(key, None)
        return version


class MemoryObjects(_Service, ports.ObjectStore):
    """An object store in memory; another blob for a key is a conflict."""

    def __init__(self, *shared: typing.Any) -> None:
        super().__init__(*shared)
        self._blobs: dict[str, bytes] = {}

    async def put(self, key: str, blob: bytes) -> None | failures.Failure:
        def apply() -> None | failures.Failure:
            same = self._blobs.setdefault(key, blob) == blob
            return None if same else _TAKEN

        return await self._write(apply)

    async def get(self, key: str) -> bytes | None | failures.Failure:
        return await self._read(lambda: self._blobs.get(key))

    async def delete(self, key: str) -> None | failures.Failure:
        failed = await self._write(lambda: self._blobs.pop(key, None))
        return failed if failures.is_failure(failed) else None

    async def list_keys(self, prefix: str) -> list[str] | failures.Failure:
        return await self._read(
            lambda: sorted(
                key for key in self._blobs if key.startswith(prefix)
            )
        )


class MemoryWeights(_Service, ports.WeightStore):
    """A weight catalogue; ``rate`` is in bytes a second."""

    def __init__(self, *shared: typing.Any) -> None:
        super().__init__(*shared)
        self.weights: list[ports.WeightSet] = []
        self.rate = 1e9

    async def list_weights(
        self,
    ) -> list[ports.WeightSet] | failures.Failure:
        return await self._read(lambda: list(self.weights))

    async def read_rate(self) -> float | failures.Failure:
        return await self._read(lambda: self.rate)


class _Listing(typing.NamedTuple):
    since: float
    instances: dict[str, ports.ListedInstance]


class MemoryInstances(_Service, ports.InstanceList):
    """A list of instances that lags by ``faults.list_lag`` seconds."""

    def __init__(self, *shared: typing.Any) -> None:
        super().__init__(*shared)
        self._history = [_Listing(self._timers.now(), {})]

    def register(self, instance: ports.ListedInstance) -> None:
        """Add an instance, or replace the one of the same name."""
        latest = self._history[-1].instances
        self._append({**latest, instance.instance: instance})

    def remove(self, name: str) -> None:
        """Take an instance off; an unknown name is harmless."""
        latest = self._history[-1].instances
        self._append({key: latest[key] for key in latest if key != name})

    def _append(self, instances: dict[str, ports.ListedInstance]) -> None:
        self._history.append(_Listing(self._timers.now(), instances))

    async def list_instances(
        self,
    ) -> list[ports.ListedInstance] | failures.Failure:
        return await self._read(self._list_lagging)

    def _list_lagging(self) -> list[ports.ListedInstance]:
        horizon = self._timers.now() - self._faults.list_lag
        for listing in reversed(self._history):
            if listing.since <= horizon:
                return list(listing.instances.values())
        return []


class MemoryPlatform:
    """All services of one platform in memory, behind one fault gate."""

    def __init__(
        self, service: timers.TimerService, source: random.Random
    ) -> None:
        self.faults = PlatformFaults()
        shared = (service, source, self.faults)
        self.table = MemoryTable(*shared)
        self.objects = MemoryObjects(*shared)
        self.weights = MemoryWeights(*shared)
        self.instances = MemoryInstances(*shared)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Copy the faults into the object that all services share."""
        for name in faults.__struct_fields__:
            setattr(self.faults, name, getattr(faults, name))

    def for_caller(self, caller: str) -> ports.Platform:
        """Return the ports as one instance reaches them."""
        return ports.Platform(
            self.table.for_caller(caller),
            self.objects.for_caller(caller),
            self.weights.for_caller(caller),
            self.instances.for_caller(caller),
        )
