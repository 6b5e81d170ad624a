"""Tool calls on plain services; some of them must not be repeated."""

import enum

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.node import attempts as call_attempts
from vanillayoke.node import parts
from vanillayoke.programs import calls as program_calls
from vanillayoke.programs import program as programs
from vanillayoke.programs import records
from vanillayoke.scheduling import calls
from vanillayoke.settings import configuration
from vanillayoke.targets import ports

Result = ports.ServiceAnswer | failures.Failure
_STORE_PAUSE = 0.25


class StorePolicy(enum.StrEnum):
    """What a non-idempotent call does while its intent cannot be kept."""

    REFUSE = 'refuse'
    WAIT = 'wait'


class ServiceCalls:
    """Runs the tool calls of hosted programs on services."""

    def __init__(
        self,
        shared: parts.Parts,
        settler: call_attempts.CallSettler,
        store_policy: StorePolicy,
    ) -> None:
        self._parts = shared
        self._settler = settler
        self._store_policy = store_policy

    async def execute(
        self, program: programs.Program, call: program_calls.Call
    ) -> None | failures.Failure:
        """Run a call until it is final; a failure where it may not go on."""
        tool = self._parts.configuration.current.tools.get(call.name)
        attempts = self._settler.begin(program, call)
        if tool is None:
            unknown = failures.Failure(
                failures.Kind.UNKNOWN_AGENT, f'there is no tool {call.name}'
            )
            return self._settler.fail(attempts, unknown)
        while True:
            demand = self._make_demand(attempts, tool)
            placed = await self._settler.place(attempts, demand)
            if failures.is_failure(placed):
                return self._settler.fail(
                    attempts, placed, attempts.proven_not_run
                )
            result = await self._attempt(attempts, tool, demand, placed)
            if isinstance(result, ports.ServiceAnswer):
                return self._answer(attempts, tool, placed.target, result)
            if result.kind is failures.Kind.LEASE_LOST:
                return result
            if not await self._may_repeat(attempts, result, placed.target):
                return self._settler.fail(
                    attempts, result, attempts.proven_not_run
                )

    async def _may_repeat(
        self,
        attempts: call_attempts.Attempts,
        failure: failures.Failure,
        target: str,
    ) -> bool:
        """Tell, after a wait, whether another attempt may follow.

        A reply can be lost behind the work. Only a call that is idempotent
        or that provably did not run is sent again; else an order would be
        delivered and invoiced twice.
        """
        attempts.proven_not_run &= failure.answer.ran is failures.Ran.NO
        match failure.kind:
            case failures.Kind.TARGET_REFUSED:
                may = True
            case failures.Kind.OUTCOME_UNKNOWN:
                may = attempts.call.idempotent
            case _:
                may = False
        if not may:
            return False
        return await self._settler.wait_before_retry(attempts, failure, target)

    async def _attempt(
        self,
        attempts: call_attempts.Attempts,
        tool: configuration.ToolSettings,
        demand: calls.CallDemand,
        placed: calls.Placement,
    ) -> Result:
        clock = self._parts.clock
        started = clock.now()
        result: Result = failures.Failure(
            failures.Kind.CANCELLED, 'the call was cancelled'
        )
        try:
            result = await self._send(attempts, tool, placed)
        finally:
            seconds = clock.now() - started
            self._parts.dispatcher.finish(
                call_attempts.make_outcome(
                    demand, placed.target, result, seconds
                )
            )
        return result

    async def _send(
        self,
        attempts: call_attempts.Attempts,
        tool: configuration.ToolSettings,
        placed: calls.Placement,
    ) -> Result:
        service = self._parts.adapters.get_service(placed.target)
        if service is None:
            return failures.Failure(
                failures.Kind.TARGET_REFUSED, 'the target was removed'
            )
        failure = self._settler.intend(attempts, placed.target)
        if failure is not None:
            return failure
        if not attempts.call.idempotent:
            failure = await self._make_intent_durable(attempts)
            if failure is not None:
                return failure
        left = attempts.deadline - self._parts.clock.now()
        if left <= 0:
            return failures.Failure(
                failures.Kind.DEADLINE_PASSED, 'the deadline passed unsent'
            )
        request = ports.ServiceRequest(
            key=attempts.name,
            path=tool.path,
            arguments=attempts.call.arguments,
            timeout=min(left, tool.timeout),
        )
        result = await service.call(request)
        if _is_doubtful(result) and self._has_query(placed.target):
            return _explain_query(await service.query(request.key))
        return result

    async def _make_intent_durable(
        self, attempts: call_attempts.Attempts
    ) -> None | failures.Failure:
        """Wait until the intent is durable and the lease still holds.

        Sending before that could lose the only trace of the call: whoever
        takes over would take it for never sent and send it again. The
        lease is asked last, since a pause may have come meanwhile.
        """
        while True:
            failure = await self._parts.journal.flush()
            if failure is None:
                break
            if not await self._may_wait_for_store(attempts, failure):
                return failure
        if not self._settler.may_act(attempts.program):
            return call_attempts.make_lost()
        self._parts.logger.write(
            events.CALL_INTENDED,
            program=attempts.program.id,
            call=attempts.call.number,
            target=attempts.call.target,
        )
        return None

    async def _may_wait_for_store(
        self, attempts: call_attempts.Attempts, failure: failures.Failure
    ) -> bool:
        if failure.kind is not failures.Kind.STORE_UNAVAILABLE:
            return False
        if self._store_policy is StorePolicy.REFUSE:
            return False
        if self._parts.clock.now() + _STORE_PAUSE >= attempts.deadline:
            return False
        await self._parts.clock.sleep(_STORE_PAUSE)
        return True

    def _has_query(self, target: str) -> bool:
        targets = self._parts.configuration.current.targets
        return target in targets and targets[target].query

    async def ask_outcome(
        self, program: programs.Program, call: program_calls.Call
    ) -> None:
        """Ask a target what became of a call that a lost instance sent.

        Without a clear word the call stays for ``recover_program``.
        """
        service = self._parts.adapters.get_service(call.target)
        if service is None or not self._has_query(call.target):
            return
        tool = self._parts.configuration.current.tools.get(call.name)
        attempts = self._settler.begin(program, call)
        answer = await service.query(attempts.name)
        if isinstance(answer, ports.ServiceAnswer) and tool is not None:
            self._answer(attempts, tool, call.target, answer)

    def _answer(
        self,
        attempts: call_attempts.Attempts,
        tool: configuration.ToolSettings,
        target: str,
        answer: ports.ServiceAnswer,
    ) -> None | failures.Failure:
        call = attempts.call
        elapsed = self._parts.clock.wall() - call.accepted_at
        spent = records.Spend(
            calls=1,
            seconds=min(max(elapsed, 0.0), call.reserved.seconds),
            money=tool.reserved_money,
        )
        message = records.Message(
            role='tool',
            content=answer.body,
            tool_call_id=call.tool_call_id,
        )
        return self._settler.answer(attempts, message, 'stop', spent, target)

    def _make_demand(
        self,
        attempts: call_attempts.Attempts,
        tool: configuration.ToolSettings,
    ) -> calls.CallDemand:
        program = attempts.program
        root = self._parts.programs.find_root(program)
        now = self._parts.clock.now()
        return calls.CallDemand(
            call=f'{attempts.name}/{attempts.call.attempts + 1}',
            program=program.id,
            root=root.id,
            client=program.client,
            model='',
            version='',
            group=tool.service,
            prefix_tokens=0,
            new_tokens=0,
            output_tokens=0,
            attained=root.committed.seconds,
            urgent=root.urgent,
            idempotent=attempts.call.idempotent,
            accepted_at=now,
            deadline=min(attempts.deadline, now + tool.timeout),
            avoid=attempts.avoid,
        )


def _is_doubtful(result: Result) -> bool:
    return (
        failures.is_failure(result)
        and result.kind is failures.Kind.OUTCOME_UNKNOWN
    )


def _explain_query(
    answer: ports.ServiceAnswer | None | failures.Failure,
) -> Result:
    """Return a query's word as a call's result.

    A service that says "never ran" also promises to refuse the key from
    then on, so that a request still on its way cannot run later.
    """
    if answer is None:
        return failures.Failure(
            failures.Kind.TARGET_REFUSED, 'the service says that it never ran'
        )
    return answer
