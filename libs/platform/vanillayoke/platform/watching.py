"""Ports that report how the platform's services do: events and metrics."""

import typing

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import logs
from vanillayoke.core import metrics
from vanillayoke.core import timers
from vanillayoke.platform import ports

Result = typing.TypeVar('Result')


class Reporters(typing.NamedTuple):
    """Where the state of the services is reported to."""

    clock: timers.TimerService
    logger: logs.Logger
    registry: metrics.Metrics


class ServiceWatch:
    """Reports one service's outages, their ends, and lost replies.

    A lost reply alone is no outage: the service may have done its work. It
    sets the metric, and the next request tells more.
    """

    def __init__(self, service: str, reporters: Reporters) -> None:
        self._service = service
        self._clock, self._logger, self._registry = reporters
        self._down_since: float | None = None

    async def report(self, request: typing.Awaitable[Result]) -> Result:
        """Wait for a request and report its result."""
        result = await request
        match result:
            case failures.Failure(failures.Kind.STORE_UNAVAILABLE, reason):
                self._note_down(reason)
            case failures.Failure(failures.Kind.STORE_UNCERTAIN):
                self._set_up(False)
                self._logger.write(
                    events.STORE_UNCERTAIN, service=self._service
                )
            case _:
                self._note_up()
        return result

    def _note_down(self, reason: str) -> None:
        self._set_up(False)
        if self._down_since is not None:
            return
        self._down_since = self._clock.now()
        self._logger.write(
            events.STORE_DOWN, service=self._service, reason=reason
        )

    def _note_up(self) -> None:
        self._set_up(True)
        if self._down_since is None:
            return
        seconds = round(self._clock.now() - self._down_since, 3)
        self._down_since = None
        self._logger.write(
            events.STORE_UP, service=self._service, seconds=seconds
        )

    def _set_up(self, is_up: bool) -> None:
        self._registry.store_up.set(int(is_up), service=self._service)


class WatchedTable(ports.TableService):
    """A table service that is watched; counts its writes."""

    def __init__(
        self, table: ports.TableService, reporters: Reporters
    ) -> None:
        self._table = table
        self._watch = ServiceWatch('table', reporters)
        self._writes = reporters.registry.store_writes

    async def read(self, key: str) -> ports.Row | None | failures.Failure:
        return await self._watch.report(self._table.read(key))

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> list[ports.Row] | failures.Failure:
        return await self._watch.report(self._table.scan(prefix, after, limit))

    async def transact(
        self, write_id: str, writes: typing.Sequence[ports.Put | ports.Delete]
    ) -> ports.Committed | ports.Conflict | failures.Failure:
        self._writes.add()
        return await self._watch.report(self._table.transact(write_id, writes))


class WatchedObjects(ports.ObjectStore):
    """An object store that is watched."""

    def __init__(
        self, objects: ports.ObjectStore, reporters: Reporters
    ) -> None:
        self._objects = objects
        self._watch = ServiceWatch('objects', reporters)

    async def put(self, key: str, blob: bytes) -> None | failures.Failure:
        return await self._watch.report(self._objects.put(key, blob))

    async def get(self, key: str) -> bytes | None | failures.Failure:
        return await self._watch.report(self._objects.get(key))

    async def delete(self, key: str) -> None | failures.Failure:
        return await self._watch.report(self._objects.delete(key))

    async def list_keys(self, prefix: str) -> list[str] | failures.Failure:
        return await self._watch.report(self._objects.list_keys(prefix))


class WatchedWeights(ports.WeightStore):
    """A weight store that is watched."""

    def __init__(
        self, weights: ports.WeightStore, reporters: Reporters
    ) -> None:
        self._weights = weights
        self._watch = ServiceWatch('weights', reporters)

    async def list_weights(
        self,
    ) -> list[ports.WeightSet] | failures.Failure:
        return await self._watch.report(self._weights.list_weights())

    async def read_rate(self) -> float | failures.Failure:
        return await self._watch.report(self._weights.read_rate())


class WatchedInstances(ports.InstanceList):
    """A list of instances that is watched."""

    def __init__(
        self, instances: ports.InstanceList, reporters: Reporters
    ) -> None:
        self._instances = instances
        self._watch = ServiceWatch('instances', reporters)

    async def list_instances(
        self,
    ) -> list[ports.ListedInstance] | failures.Failure:
        return await self._watch.report(self._instances.list_instances())


def watch_platform(
    platform: ports.Platform, reporters: Reporters
) -> ports.Platform:
    """Return the same ports, watched."""
    return ports.Platform(
        WatchedTable(platform.table, reporters),
        WatchedObjects(platform.objects, reporters),
        WatchedWeights(platform.weights, reporters),
        WatchedInstances(platform.instances, reporters),
    )
