"""Drives calls and runs of hosted programs to their durable end."""

import asyncio
import dataclasses

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.entry import host
from vanillayoke.node import attempts as call_attempts
from vanillayoke.node import children
from vanillayoke.node import models
from vanillayoke.node import parts
from vanillayoke.node import proposals
from vanillayoke.node import results
from vanillayoke.node import services
from vanillayoke.node import streams
from vanillayoke.programs import calls as program_calls
from vanillayoke.programs import checks
from vanillayoke.programs import decisions
from vanillayoke.programs import endings
from vanillayoke.programs import loops
from vanillayoke.programs import program as programs
from vanillayoke.programs import records

_STORE_PAUSE = 0.25
_STORE_RETRY = 5.0


@dataclasses.dataclass(slots=True)
class Run:
    """A call, or a run of several, that is being driven.

    ``key`` is the run's key, empty for a single call.
    """

    program: programs.Program
    first: int
    key: str
    stream: streams.RunStream
    task: asyncio.Task | None = None


class Runner:
    """Drives what hosted programs have to do, one run a program at a time.

    A run goes on though its caller left, and is taken up again by the
    instance that takes the program over.
    """

    def __init__(
        self, shared: parts.Parts, store_policy: services.StorePolicy
    ) -> None:
        self._parts = shared
        self._store_policy = store_policy
        self._settler = call_attempts.CallSettler(shared)
        self._models = models.ModelCalls(shared, self._settler)
        self._services = services.ServiceCalls(
            shared, self._settler, store_policy
        )
        self._children = children.ChildCalls(shared, self._settler, self)
        self._runs: dict[str, Run] = {}
        self._unsettled: set[str] = set()

    @property
    def count(self) -> int:
        """Return how many runs are being driven."""
        return len(self._runs)

    def find_run(self, program: str) -> Run | None:
        """Return what is being driven for a program."""
        return self._runs.get(program)

    def start(
        self, program: programs.Program, request: host.CallRequest, epoch: int
    ) -> streams.RunStream | failures.Failure:
        """Accept a request and start driving it, or join what it started."""
        proposal = proposals.propose_request(
            self._parts.configuration.current, program, request
        )
        if failures.is_failure(proposal):
            return proposal
        refused = self._check_store(program, proposal)
        if refused is not None:
            return refused
        accepted = self._accept(program, proposal, epoch)
        match accepted:
            case failures.Failure():
                return accepted
            case decisions.DuplicateCall(number=number):
                return self.join(program, number)
        return self._drive_soon(program, accepted).stream

    def _check_store(
        self, program: programs.Program, proposal: checks.CallProposal
    ) -> failures.Failure | None:
        """Refuse a non-idempotent call before it gets its place.

        An accepted call may become durable any time; a successor would
        then run what its caller was told did not run. Without a record
        nobody ever will. A key that has a record already may yet become
        durable, so of that one "not run" is not said.
        """
        known = program.find_key(proposal.key)
        is_new = known is None or decisions.may_restart(program, known)
        if proposal.idempotent or not is_new:
            return None
        if self._store_policy is not services.StorePolicy.REFUSE:
            return None
        if not self._parts.journal.is_failing:
            return None
        kind = (
            failures.Kind.STORE_UNAVAILABLE
            if known is None
            else failures.Kind.STORE_UNCERTAIN
        )
        return failures.Failure(
            kind, 'its intent cannot be made durable now', _STORE_RETRY
        )

    def join(
        self, program: programs.Program, number: int
    ) -> streams.RunStream | failures.Failure:
        """Return the stream of a call, or of the run that it is a step of.

        What has ended is rebuilt from the history. What should run but is
        not being driven, as after a takeover, is taken up here.
        """
        call = program.find_call(number)
        if call is None:
            return failures.Failure(
                failures.Kind.NOT_FOUND, f'there is no call {number}'
            )
        first = results.find_first(program, call)
        run = self._runs.get(program.id)
        if run is not None and run.first == first.number:
            return run.stream
        if results.is_open(program, first):
            return self._drive_soon(program, first).stream
        return streams.end_stream(
            first.number,
            results.read_text(program, first),
            results.make_final(program, first),
        )

    def take_up(self, program: programs.Program) -> None:
        """Go on with what a program was doing when it was taken over."""
        call = program.running or (
            program.calls[-1] if program.open_run else None
        )
        if call is None or program.id in self._runs:
            return
        self._unsettled.add(program.id)
        self._drive_soon(program, results.find_first(program, call))

    def cancel(
        self, program: programs.Program, failure: failures.Failure
    ) -> None:
        """Stop driving a program; its stream ends with the failure."""
        self._unsettled.discard(program.id)
        run = self._runs.pop(program.id, None)
        if run is None:
            return
        if run.task is not None:
            run.task.cancel()
        run.stream.finish(failure)

    async def wait_idle(self) -> None:
        """Wait until nothing is being driven."""
        while self._runs:
            tasks = [run.task for run in self._runs.values() if run.task]
            await asyncio.wait(tasks)

    def _accept(
        self,
        program: programs.Program,
        proposal: checks.CallProposal,
        epoch: int,
    ) -> program_calls.Call | decisions.DuplicateCall | failures.Failure:
        decided = decisions.accept_call(
            program,
            self._parts.programs.list_ancestors(program),
            proposal,
            epoch,
            self._parts.clock.wall(),
        )
        if not isinstance(decided, list):
            return decided
        self._parts.programs.write(decided)
        call = program.calls[-1]
        self._parts.logger.write(
            events.CALL_ACCEPTED,
            program=program.id,
            call=call.number,
            kind=call.kind.value,
        )
        return call

    def _drive_soon(
        self, program: programs.Program, first: program_calls.Call
    ) -> Run:
        text = results.read_text(program, first)
        stream = streams.RunStream(first.number, text)
        run = Run(program, first.number, first.run, stream)
        self._runs[program.id] = run
        run.task = self._parts.start_task(self._drive(run))
        return run

    async def _drive(self, run: Run) -> None:
        try:
            final = await self._run_steps(run) or await self._commit(run)
        except Exception:
            self._give_up(run)
            raise
        finally:
            if self._runs.get(run.program.id) is run:
                del self._runs[run.program.id]
        run.stream.finish(final)

    def _give_up(self, run: Run) -> None:
        """End what an unforeseen error stopped.

        The call would else stay running for ever and block the program.
        """
        failure = failures.Failure(
            failures.Kind.INTERNAL, 'driving the call failed'
        )
        program = run.program
        epoch = self._settler.find_epoch(program)
        if epoch is not None:
            above = self._parts.programs.list_ancestors(program)
            stopped = endings.cancel_call(program, above, failure, epoch)
            self._parts.programs.write(stopped)
        run.stream.finish(failure)

    def _log_committed(self, run: Run) -> None:
        self._parts.logger.write(
            events.CALL_COMMITTED,
            program=run.program.id,
            call=len(run.program.calls),
        )

    async def _run_steps(self, run: Run) -> None | failures.Failure:
        """Drive step after step; a failure where the program moved away."""
        program = run.program
        failure = await self._settle_taken_over(program)
        if failure is not None:
            return failure
        while True:
            call = program.running
            if call is not None:
                failure = await self._execute(run, call)
                if failure is not None:
                    return failure
                self._stop_runaway(program)
            if not run.key or program.open_run != run.key:
                return None
            failure = self._begin_step(run)
            if failure is not None:
                return failure

    async def _settle_taken_over(
        self, program: programs.Program
    ) -> None | failures.Failure:
        """Settle what a takeover cannot know before anything goes on.

        A non-idempotent call that the lost owner may have sent is never
        sent again: its target is asked where it can answer, else its
        outcome is unknown. A caller that repeats its key the moment the
        program is here joins this run, and so waits for it as well.
        """
        if program.id not in self._unsettled:
            return None
        call = program.running
        if call is not None and call.is_intended and not call.idempotent:
            await self._services.ask_outcome(program, call)
        epoch = self._settler.find_epoch(program)
        if epoch is None:
            return call_attempts.make_lost()
        above = self._parts.programs.list_ancestors(program)
        settled = endings.recover_program(program, above, epoch)
        self._parts.programs.write(settled)
        self._unsettled.discard(program.id)
        if settled:
            self._parts.logger.write(
                events.CALL_OUTCOME_UNKNOWN,
                program=program.id,
                call=call.number,
                target=call.target,
            )
        return None

    async def _execute(
        self, run: Run, call: program_calls.Call
    ) -> None | failures.Failure:
        program = run.program
        match call.kind:
            case records.CallKind.MODEL:
                return await self._models.execute(program, call, run.stream)
            case records.CallKind.CHILD:
                execute = self._children.execute
            case _:
                execute = self._services.execute
        run.stream.note_step(call.number, call.name, 'started')
        self._parts.dispatcher.pause(program.id, call.name)
        failure = await execute(program, call)
        run.stream.note_step(call.number, call.name, str(call.state))
        return failure

    def _begin_step(self, run: Run) -> None | failures.Failure:
        """Accept the next step, or end the run with the reason why not."""
        program = run.program
        epoch = self._settler.find_epoch(program)
        if epoch is None:
            return call_attempts.make_lost()
        proposal = proposals.propose_step(
            self._parts.configuration.current, program
        )
        accepted = (
            proposal
            if failures.is_failure(proposal)
            else self._accept(program, proposal, epoch)
        )
        if failures.is_failure(accepted):
            ended = endings.end_run(program, accepted, epoch)
            self._parts.programs.write(ended)
        return None

    def _stop_runaway(self, program: programs.Program) -> None:
        """End a program that only repeats itself or burns its budget."""
        policy = self._parts.configuration.current.policy
        limits = loops.RunawayLimits(repeats=policy.repeated_steps)
        reason = loops.find_runaway(program, limits, self._parts.clock.wall())
        epoch = self._settler.find_epoch(program)
        if reason is None or epoch is None or not program.open_run:
            return
        failure = failures.Failure(failures.Kind.PROGRAM_STOPPED, reason)
        ended = endings.end_run(program, failure, epoch)
        self._parts.programs.write(ended)
        self._parts.logger.write(
            events.PROGRAM_STOPPED,
            program=program.id,
            client=program.client,
            reason=reason,
        )

    async def _commit(self, run: Run) -> host.FinalAnswer | failures.Failure:
        """Wait until the run's end is durable and return it.

        An answer told before that could be gone with this instance, and
        the caller would hold a text that the history does not have; it is
        waited for up to the program's deadline. A failure is not: its
        caller is told at once to come back with its key.
        """
        clock = self._parts.clock
        deadline = clock.now() + run.program.deadline - clock.wall()
        first = run.program.find_call(run.first)
        final = results.make_final(run.program, first)
        while True:
            failure = await self._parts.journal.flush()
            if failure is None:
                self._log_committed(run)
                return final
            if failure.kind is not failures.Kind.STORE_UNAVAILABLE:
                return call_attempts.make_lost()
            if failures.is_failure(final) or clock.now() >= deadline:
                return failures.Failure(
                    failures.Kind.STORE_UNCERTAIN,
                    'the end of the call is not durable yet',
                    retry_after=_STORE_RETRY,
                )
            await clock.sleep(_STORE_PAUSE)
