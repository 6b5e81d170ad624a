"""Frees engine memory of programs until the engine says that it is free."""

import asyncio

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.node import hosted
from vanillayoke.node import parts
from vanillayoke.programs import caches
from vanillayoke.scheduling import scheduler
from vanillayoke.targets import ports

RELEASE = 'release'
_FIRST_DELAY = 0.5
_LONGEST_DELAY = 5.0


class CacheReleaser:
    """Gives release orders and repeats them until they are confirmed.

    What a program may hold is in its journal, so the next owner goes on
    where this one stops. A release needs no fencing: freeing a cache that
    is still wanted costs a prefill, nothing else.
    """

    def __init__(
        self,
        programs: hosted.HostedPrograms,
        adapters: parts.Adapters,
        ownership: parts.Ownership,
        clock: timers.TimerService,
        logger: logs.Logger,
        decisions: scheduler.Scheduler,
    ) -> None:
        self._programs = programs
        self._adapters = adapters
        self._ownership = ownership
        self._clock = clock
        self._logger = logger
        self._scheduler = decisions
        self._tasks: dict[tuple[str, str], asyncio.Task] = {}
        self.exports: dict[str, str] = {}

    def release(self, target: str, program: str) -> None:
        """Start freeing a program's memory on a target."""
        key = (target, program)
        if key in self._tasks:
            return
        task = asyncio.ensure_future(self._release(target, program))
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    def reconcile(self, target: str, session: str) -> None:
        """Take in that a target holds memory for a session.

        An owner can die between sending a model call and making that
        durable; its successor then knows of no memory to free, and it
        would stay with a program that has ended. What an engine itself
        reports closes the gap. Only the program's owner acts upon it.
        """
        epoch = self._ownership.held_epoch(ids.find_shard(session))
        if epoch is None:
            return
        program = self._programs.find(session)
        if program is None or not program.is_active:
            self.release(target, session)
        elif target not in program.cache_targets:
            self._programs.write(caches.hold_cache(program, target, epoch))
            self._scheduler.hold(target, session)

    def export(self, target: str, program: str) -> None:
        """Start exporting a program's cache, then freeing it."""
        task = asyncio.ensure_future(self._export(target, program))
        self._tasks[(target, f'export {program}')] = task
        task.add_done_callback(
            lambda _: self._tasks.pop((target, f'export {program}'), None)
        )

    def forget(self, program: str) -> None:
        """Forget the exported cache of a program that is not here any more."""
        self.exports.pop(program, None)

    def stop(self) -> None:
        """Stop; the next owner of the programs goes on."""
        for task in list(self._tasks.values()):
            task.cancel()

    async def _export(self, target: str, program: str) -> None:
        engine = self._adapters.get_engine(target)
        if engine is not None:
            handle = await engine.export_cache(program)
            if not failures.is_failure(handle):
                self.exports[program] = handle
        self.release(target, program)

    async def _release(self, target: str, program: str) -> None:
        delay = _FIRST_DELAY
        epoch = 0
        while True:
            engine = self._adapters.get_engine(target)
            if engine is None:
                # A target that was removed from the configuration keeps
                # nothing that anybody could still use.
                return self._confirm(target, program)
            order = ports.Order(RELEASE, program, '', epoch, 0)
            failure = await engine.give_order(order)
            if not failures.is_failure(failure):
                return self._confirm(target, program)
            if failure.kind is failures.Kind.CONFLICT:
                epoch = await _read_epoch(engine, epoch)
            await self._clock.sleep(delay)
            delay = min(2 * delay, _LONGEST_DELAY)

    def _confirm(self, target: str, program: str) -> None:
        self._scheduler.release_confirmed(target, program)
        hosted_program = self._programs.find(program)
        epoch = self._ownership.held_epoch(ids.find_shard(program))
        if hosted_program is None or epoch is None:
            return
        released = caches.release_cache(hosted_program, target, epoch)
        self._programs.write(released)
        self._logger.write(
            events.CACHE_RELEASED, program=program, target=target, tokens=None
        )


async def _read_epoch(engine: ports.Engine, known: int) -> int:
    """Return the highest epoch that a target says it has seen.

    A target that checks epochs refuses a release of a program's owner once
    the giver of its own shard has ordered something: two shards' epochs
    have nothing to do with each other. The memory would never be freed. An
    epoch that the target has seen fences nobody out, and it is only used
    where an order that comes too late does no harm.
    """
    state = await engine.read_state()
    return known if failures.is_failure(state) else state.epoch
