"""Taking up the programs that this instance gained."""

import typing

from vanillayoke.core import events
from vanillayoke.node import parts
from vanillayoke.node import runs
from vanillayoke.programs import program as programs
from vanillayoke.scheduling import scheduler


class Recovery:
    """Hosts programs rebuilt from a journal and goes on with them."""

    def __init__(
        self,
        shared: parts.Parts,
        runner: runs.Runner,
        decisions: scheduler.Scheduler,
    ) -> None:
        self._parts = shared
        self._runner = runner
        self._scheduler = decisions

    def take_over(self, gained: typing.Sequence[programs.Program]) -> None:
        """Host programs rebuilt from a journal."""
        self._parts.programs.add(gained)
        for program in gained:
            self._parts.logger.write(
                events.PROGRAM_REPLAYED,
                program=program.id,
                records=program.sequence,
            )
            self._remember_caches(program)
            self._runner.take_up(program)
        if gained:
            self._parts.dispatcher.pump()

    def _remember_caches(self, program: programs.Program) -> None:
        """Let the scheduler free, in time, what the last owner held."""
        for target in program.cache_targets:
            self._scheduler.hold(target, program.id)
        if not program.is_active:
            self._parts.dispatcher.end(program.id)
