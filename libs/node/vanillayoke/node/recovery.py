"""Taking up the programs that this instance gained."""

import typing

from vanillayoke.core import events
from vanillayoke.core import ids
from vanillayoke.node import parts
from vanillayoke.node import runs
from vanillayoke.programs import endings
from vanillayoke.programs import program as programs
from vanillayoke.scheduling import scheduler


class Recovery:
    """Settles what a takeover cannot know, then goes on.

    A non-idempotent call that may have been sent is never sent again: its
    target is asked where it can answer, else its outcome is unknown.
    """

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
            if program.running is not None or program.open_run:
                self._parts.start_task(self._recover(program))
        if gained:
            self._parts.dispatcher.pump()

    def _remember_caches(self, program: programs.Program) -> None:
        """Let the scheduler free, in time, what the last owner held."""
        for target in program.held:
            self._scheduler.hold(target, program.id)
        if not program.is_active:
            self._parts.dispatcher.end(program.id)

    async def _recover(self, program: programs.Program) -> None:
        await self._runner.ask_outcome(program)
        shard = ids.find_shard(program.id)
        epoch = self._parts.ownership.held_epoch(shard)
        if epoch is None or self._parts.programs.find(program.id) is None:
            return
        above = self._parts.programs.list_ancestors(program)
        settled = endings.recover_program(program, above, epoch)
        self._parts.programs.write(settled)
        if settled:
            self._parts.logger.write(
                events.CALL_OUTCOME_UNKNOWN,
                program=program.id,
                call=len(program.calls),
                target=program.calls[-1].target,
            )
        self._runner.take_up(program)
