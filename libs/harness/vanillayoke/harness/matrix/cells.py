"""Running one cell of the matrix."""

import asyncio
import typing

from vanillayoke.core import events
from vanillayoke.harness.matrix import faults
from vanillayoke.harness.matrix import invariants
from vanillayoke.harness.matrix import steps
from vanillayoke.harness.matrix import world
from vanillayoke.testing import loops

SEED = 7


class Result(typing.NamedTuple):
    """What a cell found; ``struck`` is false where the step never came."""

    step: str
    fault: str
    struck: bool
    broken: tuple[str, ...]


def run_cell(
    step: steps.Step,
    struck_by: typing.Sequence[faults.Fault],
    seed: int = SEED,
) -> Result:
    """Run the workload, let the faults strike at the step, check all."""
    loop = loops.VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run(loop, step, struck_by, seed))
    finally:
        loop.finish()
        asyncio.set_event_loop(None)
        loop.close()


async def _run(
    loop: asyncio.AbstractEventLoop,
    step: steps.Step,
    struck_by: typing.Sequence[faults.Fault],
    seed: int,
) -> Result:
    one = world.World(loop, seed)
    await one.start()
    strike = _Strike(one, step, struck_by)
    one.site.listeners.append(strike.watch)
    if step.prepare is not None:
        step.prepare(one)
    stories = await one.play()
    await one.site.clock.sleep(world.SETTLE)
    broken = [
        found
        for check in invariants.list_checks()
        for found in check(one, stories)
    ]
    name = ' + '.join(fault.name for fault in struck_by)
    return Result(step.name, name, strike.struck, tuple(broken))


class _Strike:
    """Lets the faults strike once, at the first event of the step."""

    def __init__(
        self,
        one: world.World,
        step: steps.Step,
        struck_by: typing.Sequence[faults.Fault],
    ) -> None:
        self._world = one
        self._step = step
        self._faults = struck_by
        self.struck = False

    def watch(self, instance: str, event: events.Event, fields: dict) -> None:
        """Strike where the event is the step."""
        if self.struck:
            return
        if not self._step.matches(self._world, instance, event, fields):
            return
        self.struck = True
        delay = self._step.delay
        if delay:
            self._world.site.clock.call_after(
                delay, lambda: self._strike(instance)
            )
        else:
            self._strike(instance)

    def _strike(self, instance: str) -> None:
        self._world.struck.add(instance)
        for fault in self._faults:
            fault.strike(self._world, instance)
