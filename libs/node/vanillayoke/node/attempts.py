"""What model and service calls share: placing, sending, settling."""

import dataclasses
import typing

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.node import parts
from vanillayoke.programs import calls as program_calls
from vanillayoke.programs import decisions
from vanillayoke.programs import program as programs
from vanillayoke.programs import records
from vanillayoke.scheduling import calls

MOST_ATTEMPTS = 4
NO_TARGET_PAUSE = 0.5
NO_TARGET_PATIENCE = 10.0
_TOKENS_PER_CHARACTER = 0.3

Decide = typing.Callable[
    [tuple[programs.Program, ...], int], list[records.AnyRecord]
]


@dataclasses.dataclass(slots=True)
class Attempts:
    """How far one call has come with its targets.

    ``ran`` counts attempts that may have run; ``proven_not_run`` holds
    while every attempt was refused unrun.
    """

    program: programs.Program
    call: program_calls.Call
    deadline: float
    began: float
    ran: int = 0
    avoid: frozenset[str] = frozenset()
    proven_not_run: bool = True

    @property
    def name(self) -> str:
        """Return the call's name towards targets: alike on all attempts."""
        return f'{self.program.id}/{self.call.number}'


class CallSettler:
    """Writes what became of calls, and finds out whether it still may.

    Every method asks the ownership anew: between two awaits the instance
    may have been paused past its lease and replaced.
    """

    def __init__(self, shared: parts.Parts) -> None:
        self._parts = shared

    def begin(
        self, program: programs.Program, call: program_calls.Call
    ) -> Attempts:
        """Return the attempts of a call, with its deadline."""
        clock = self._parts.clock
        left = program.deadline - clock.wall()
        # Of attempts that another instance made before it was lost, nobody
        # here can prove that they did not run: an order that it sent would
        # be sent again.
        unsent = call.attempts == 0
        now = clock.now()
        return Attempts(program, call, now + left, now, proven_not_run=unsent)

    def find_epoch(self, program: programs.Program) -> int | None:
        """Return the epoch held for a program, whether it may act or not."""
        shard = ids.find_shard(program.id)
        return self._parts.ownership.held_epoch(shard)

    def may_act(self, program: programs.Program) -> bool:
        """Tell whether the lease allows what cannot be taken back."""
        shard = ids.find_shard(program.id)
        return self._parts.ownership.epoch_of(shard) is not None

    async def place(
        self, attempts: Attempts, demand: calls.CallDemand
    ) -> calls.Placement | failures.Failure:
        """Wait for a target; for a while also where none takes the call.

        All engines can fail one call in turn, or all their circuit
        breakers be open for a moment: a program of many turns must not end
        by that. Targets that failed the call are then as good as others.
        """
        clock = self._parts.clock
        began = clock.now()
        while True:
            placed = await self._parts.dispatcher.place(demand)
            if isinstance(placed, calls.Placement):
                self._log_placed(attempts, placed, clock.now() - began)
                return placed
            if not self._may_wait(placed, demand, began):
                return placed
            attempts.avoid = frozenset()
            demand = demand._replace(avoid=attempts.avoid)
            await clock.sleep(NO_TARGET_PAUSE)

    def _may_wait(
        self,
        failure: failures.Failure,
        demand: calls.CallDemand,
        began: float,
    ) -> bool:
        if failure.kind is not failures.Kind.NO_TARGET:
            return False
        next_try = self._parts.clock.now() + NO_TARGET_PAUSE
        end = min(began + NO_TARGET_PATIENCE, demand.deadline)
        return next_try < end

    def _log_placed(
        self, attempts: Attempts, placed: calls.Placement, waited: float
    ) -> None:
        self._parts.logger.write(
            events.CALL_PLACED,
            program=attempts.program.id,
            call=attempts.call.number,
            target=placed.target,
            waited=round(waited, 4),
        )

    def intend(
        self, attempts: Attempts, target: str
    ) -> None | failures.Failure:
        """Record that a call is about to be sent."""
        epoch = self.find_epoch(attempts.program)
        if epoch is None:
            return make_lost()
        call = attempts.call
        decided = decisions.intend_call(
            attempts.program,
            call.number,
            call.attempts + 1,
            target,
            epoch,
            earlier_not_run=attempts.proven_not_run and call.attempts > 0,
        )
        if failures.is_failure(decided):
            return decided
        self._parts.programs.write(decided)
        if call.attempts == 1:
            self._parts.retries.record_call()
        self._parts.logger.write(
            events.CALL_DISPATCHED,
            program=attempts.program.id,
            call=call.number,
            target=target,
            attempt=call.attempts,
        )
        return None

    def answer(
        self,
        attempts: Attempts,
        message: records.Message,
        finish_reason: str,
        spent: records.Spend,
        target: str,
    ) -> None | failures.Failure:
        """Record a call's answer; a failure where the program moved."""
        failure = self._record(
            attempts,
            lambda above, epoch: decisions.answer_call(
                attempts.program,
                above,
                attempts.call.number,
                message,
                finish_reason,
                spent,
                target,
                epoch,
            ),
        )
        if failure is not None:
            return failure
        self._parts.logger.write(
            events.CALL_ANSWERED,
            program=attempts.program.id,
            call=attempts.call.number,
            target=target,
            seconds=round(spent.seconds, 4),
        )
        return None

    def fail(
        self,
        attempts: Attempts,
        failure: failures.Failure,
        not_run: bool = False,
    ) -> None | failures.Failure:
        """Record a call's final error; a failure where the program moved."""
        lost = self._record(
            attempts,
            lambda above, epoch: decisions.fail_call(
                attempts.program,
                above,
                attempts.call.number,
                failure,
                epoch,
                not_run=not_run and attempts.proven_not_run,
            ),
        )
        if lost is not None:
            return lost
        self._parts.logger.write(
            events.CALL_FAILED,
            program=attempts.program.id,
            call=attempts.call.number,
            target=attempts.call.target or None,
            kind=failure.kind.value,
            reason=failure.reason,
        )
        return None

    def _record(
        self, attempts: Attempts, decide: Decide
    ) -> None | failures.Failure:
        """Write what is decided of a call; a failure where it moved away."""
        epoch = self.find_epoch(attempts.program)
        if epoch is None:
            return make_lost()
        above = self._parts.programs.list_ancestors(attempts.program)
        self._parts.programs.write(decide(above, epoch))
        return None

    async def wait_before_retry(
        self, attempts: Attempts, failure: failures.Failure, target: str
    ) -> bool:
        """Wait before another attempt; ``False`` where none may follow.

        Attempts that may have run are counted, and all of them together
        are bounded by the retry budget. Refusals cost the targets nothing
        and come in no time, so the time bounds those instead.
        """
        refused = failure.kind is failures.Kind.TARGET_REFUSED
        budget = self._parts.retries
        delay = budget.draw_backoff(attempts.call.attempts)
        next_try = self._parts.clock.now() + delay
        if next_try >= attempts.deadline:
            return False
        if refused and next_try > attempts.began + NO_TARGET_PATIENCE:
            return False
        attempts.ran += not refused
        if attempts.ran >= MOST_ATTEMPTS:
            return False
        if not refused and not budget.take():
            return False
        attempts.avoid |= {target}
        self._parts.logger.write(
            events.CALL_RETRIED,
            program=attempts.program.id,
            call=attempts.call.number,
            target=target,
            kind=failure.kind.value,
            delay=round(delay, 3),
        )
        await self._parts.clock.sleep(delay)
        return True


def make_lost() -> failures.Failure:
    """Return what a caller is told whose program moves away meanwhile."""
    return failures.Failure(
        failures.Kind.LEASE_LOST,
        'the program moves to another instance',
        retry_after=1.0,
    )


def estimate_tokens(characters: int) -> int:
    """Estimate, rather too high, how many tokens a text has."""
    return int(characters * _TOKENS_PER_CHARACTER) + 1


def make_outcome(
    demand: calls.CallDemand,
    target: str,
    result: typing.Any,
    seconds: float,
    prompt_tokens: int = 0,
    cached_tokens: int = 0,
    output_tokens: int = 0,
) -> calls.Outcome:
    """Return what the scheduler is told of an attempt's end."""
    return calls.Outcome(
        call=demand.call,
        target=target,
        state=_name_state(result),
        seconds=seconds,
        prompt_tokens=prompt_tokens,
        cached_tokens=cached_tokens,
        output_tokens=output_tokens,
    )


def _name_state(result: typing.Any) -> str:
    if not failures.is_failure(result):
        return 'answered'
    match result.kind:
        case failures.Kind.TARGET_REFUSED:
            return 'refused'
        case failures.Kind.TARGET_FAILED:
            return 'failed'
        case _:
            return 'unknown'
