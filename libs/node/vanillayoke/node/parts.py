"""What the drivers of calls share within one process."""

import asyncio
import dataclasses
import typing

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import logs
from vanillayoke.core import metrics
from vanillayoke.core import timers
from vanillayoke.node import configuration
from vanillayoke.node import dispatcher
from vanillayoke.node import hosted
from vanillayoke.scheduling import retries
from vanillayoke.targets import ports


class Ownership(typing.Protocol):
    """What the drivers ask before they act for a program."""

    def epoch_of(self, shard: int) -> int | None:
        """Return the epoch under which irreversible acts are allowed."""

    def held_epoch(self, shard: int) -> int | None:
        """Return the epoch of a shard held, though the lease may lapse."""


class Journal(typing.Protocol):
    """What makes records durable."""

    @property
    def is_failing(self) -> bool:
        """Tell whether the last attempt to reach the store failed."""

    async def flush(self) -> None | failures.Failure:
        """Wait until all that was appended before is durable."""


class Adapters(typing.Protocol):
    """The adapters of the configured targets."""

    def get_engine(self, target: str) -> ports.Engine | None:
        """Return the adapter of an engine."""

    def get_service(self, target: str) -> ports.Service | None:
        """Return the adapter of a service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The parts of one process that drive calls together.

    ``exports`` maps programs to the handles of their exported caches.
    """

    clock: timers.TimerService
    logger: logs.Logger
    registry: metrics.Metrics
    programs: hosted.HostedPrograms
    journal: Journal
    ownership: Ownership
    dispatcher: dispatcher.Dispatcher
    adapters: Adapters
    configuration: configuration.ConfigurationHolder
    retries: retries.RetryBudget
    exports: dict[str, str]
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)

    def start_task(self, work: typing.Coroutine) -> asyncio.Task:
        """Run work beside what goes on; an unforeseen error is logged."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.logger.write(
            events.TASK_FAILED,
            task=task.get_name(),
            error=repr(task.exception()),
        )
