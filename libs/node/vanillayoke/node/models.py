"""Model calls: placed on an engine, streamed, resumed or run again."""

import asyncio
import contextlib
import typing

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.node import attempts as call_attempts
from vanillayoke.node import parts
from vanillayoke.node import streams
from vanillayoke.programs import calls as program_calls
from vanillayoke.programs import program as programs
from vanillayoke.programs import records
from vanillayoke.scheduling import calls
from vanillayoke.settings import configuration
from vanillayoke.targets import ports

Result = ports.Completion | failures.Failure

_REPEATABLE = frozenset(
    (
        failures.Kind.NO_TARGET,
        failures.Kind.OUTCOME_UNKNOWN,
        failures.Kind.OVERLOADED,
        failures.Kind.TARGET_REFUSED,
    )
)
_RETRY_AFTER = 1.0
_RESTORE_LIMIT = 2.0


class ModelCalls:
    """Runs the model calls of hosted programs.

    A model call is idempotent towards the outside world, so an attempt
    that broke off is resumed on its engine, else run again elsewhere.
    """

    def __init__(
        self, shared: parts.Parts, settler: call_attempts.CallSettler
    ) -> None:
        self._parts = shared
        self._settler = settler

    async def execute(
        self,
        program: programs.Program,
        call: program_calls.Call,
        stream: streams.RunStream,
    ) -> None | failures.Failure:
        """Run a call until it is final; a failure where it may not go on."""
        agent = self._parts.configuration.current.agents.get(program.agent)
        attempts = self._settler.begin(program, call)
        if agent is None:
            return self._settler.fail(attempts, _make_unknown(program))
        begin = stream.length
        while True:
            demand = self._make_demand(attempts, agent)
            placed = await self._settler.place(attempts, demand)
            if failures.is_failure(placed):
                return self._give_up(attempts, placed)
            failure = self._settler.intend(attempts, placed.target)
            if failure is not None:
                self._drop_placement(demand, placed)
                return failure
            result = await self._attempt(
                attempts, agent, demand, placed, stream, begin
            )
            if isinstance(result, ports.Completion):
                return self._answer(attempts, placed.target, result)
            if not await self._may_repeat(attempts, result, placed.target):
                return self._give_up(attempts, result)
            stream.truncate(begin)

    def _give_up(
        self, attempts: call_attempts.Attempts, failure: failures.Failure
    ) -> None | failures.Failure:
        """Record the failure; what may be repeated is told as such."""
        if attempts.proven_not_run:
            if failure.answer.may_retry and failure.retry_after is None:
                failure = failure._replace(retry_after=_RETRY_AFTER)
            return self._settler.fail(attempts, failure, not_run=True)
        if failure.kind in _REPEATABLE:
            failure = failures.Failure(
                failures.Kind.TARGETS_FAILED, failure.reason, _RETRY_AFTER
            )
        return self._settler.fail(attempts, failure)

    async def _may_repeat(
        self,
        attempts: call_attempts.Attempts,
        failure: failures.Failure,
        target: str,
    ) -> bool:
        attempts.proven_not_run &= failure.answer.ran is failures.Ran.NO
        if failure.kind is failures.Kind.DEADLINE_PASSED_RUNNING:
            return False
        return await self._settler.wait_before_retry(attempts, failure, target)

    async def _attempt(
        self,
        attempts: call_attempts.Attempts,
        agent: configuration.AgentSettings,
        demand: calls.CallDemand,
        placed: calls.Placement,
        stream: streams.RunStream,
        begin: int,
    ) -> Result:
        clock = self._parts.clock
        engine = self._parts.adapters.get_engine(placed.target)
        if engine is None:
            result = failures.Failure(
                failures.Kind.TARGET_REFUSED, 'the target was removed'
            )
            self._finish(demand, placed, result, 0.0)
            return result
        started = clock.now()
        if placed.restore:
            await self._restore(engine, attempts.program.id)
        request = self._make_request(attempts, agent, placed)
        try:
            result = await self._read(
                attempts, engine.stream(request), stream, placed.target
            )
            if _is_broken(result):
                # A connection can break or fall silent while the engine
                # goes on; taking up the rest costs less than a new run.
                rest = engine.resume(request, stream.length - begin)
                result = await self._read(
                    attempts, rest, stream, placed.target
                )
        except asyncio.CancelledError:
            self._cancel_soon(engine, request)
            cancelled = failures.Failure(
                failures.Kind.CANCELLED, 'the call was cancelled'
            )
            self._finish(demand, placed, cancelled, clock.now() - started)
            raise
        self._finish(demand, placed, result, clock.now() - started)
        return result

    async def _restore(self, engine: ports.Engine, program: str) -> None:
        """Import an exported cache; without it the engine computes it anew.

        A slow or failing import must not cost more than it saves, so it is
        given up after a short time.
        """
        handle = self._parts.exports.pop(program, None)
        if handle is None:
            return
        try:
            async with asyncio.timeout(_RESTORE_LIMIT):
                await engine.import_cache(program, handle)
        except TimeoutError:
            return

    async def _read(
        self,
        attempts: call_attempts.Attempts,
        items: typing.AsyncIterator[ports.Delta | Result],
        stream: streams.RunStream,
        target: str,
    ) -> Result:
        first = True
        async with contextlib.aclosing(items):
            async for item in items:
                if not isinstance(item, ports.Delta):
                    return item
                stream.append(item.text)
                if first:
                    first = False
                    self._log_first_text(attempts, target)
        return failures.Failure(
            failures.Kind.OUTCOME_UNKNOWN, "the engine's stream just ended"
        )

    def _log_first_text(
        self, attempts: call_attempts.Attempts, target: str
    ) -> None:
        accepted = attempts.call.accepted_at
        self._parts.logger.write(
            events.CALL_FIRST_TEXT,
            program=attempts.program.id,
            call=attempts.call.number,
            target=target,
            seconds=round(self._parts.clock.wall() - accepted, 4),
        )

    def _answer(
        self,
        attempts: call_attempts.Attempts,
        target: str,
        completion: ports.Completion,
    ) -> None | failures.Failure:
        message = records.Message(
            role='assistant',
            content=completion.text,
            tool_calls=tuple(
                records.ToolRequest(one['id'], one['name'], one['arguments'])
                for one in completion.tool_calls
            ),
        )
        return self._settler.answer(
            attempts,
            message,
            completion.finish_reason,
            self._measure_spend(attempts, completion.usage),
            target,
        )

    def _measure_spend(
        self, attempts: call_attempts.Attempts, usage: ports.Usage
    ) -> records.Spend:
        tokens = usage.prompt + usage.completion
        elapsed = self._parts.clock.wall() - attempts.call.accepted_at
        seconds = min(max(elapsed, 0.0), attempts.call.reserved.seconds)
        settings = self._parts.configuration.current
        agent = settings.agents.get(attempts.program.agent)
        model = settings.models.get(agent.model) if agent else None
        price = model.money_per_million_tokens if model else 0
        return records.Spend(
            tokens=tokens,
            calls=1,
            seconds=seconds,
            money=tokens * price // 1_000_000,
        )

    def _make_demand(
        self,
        attempts: call_attempts.Attempts,
        agent: configuration.AgentSettings,
    ) -> calls.CallDemand:
        program = attempts.program
        call = attempts.call
        root = self._parts.programs.find_root(program)
        models = self._parts.configuration.current.models
        model = models.get(agent.model, configuration.ModelSettings())
        prefix = call_attempts.estimate_tokens(program.text_length)
        added = sum(len(message.content) for message in call.messages)
        return calls.CallDemand(
            call=f'{attempts.name}/{call.attempts + 1}',
            program=program.id,
            root=root.id,
            client=program.client,
            model=agent.model,
            version=model.version,
            group='',
            prefix_tokens=prefix,
            new_tokens=min(prefix, call_attempts.estimate_tokens(added)),
            output_tokens=call.max_tokens or agent.max_tokens,
            attained=root.committed.seconds,
            urgent=root.urgent,
            idempotent=True,
            accepted_at=self._parts.clock.now(),
            deadline=min(
                attempts.deadline,
                self._parts.clock.now() + agent.call_timeout,
            ),
            avoid=attempts.avoid,
        )

    def _make_request(
        self,
        attempts: call_attempts.Attempts,
        agent: configuration.AgentSettings,
        placed: calls.Placement,
    ) -> ports.EngineRequest:
        call = attempts.call
        left = attempts.deadline - self._parts.clock.now()
        return ports.EngineRequest(
            call_id=f'{attempts.name}/{call.attempts}',
            session=attempts.program.id,
            model=agent.model,
            messages=_make_messages(attempts.program, agent),
            tools=self._make_tools(agent),
            max_tokens=call.max_tokens or agent.max_tokens,
            priority=placed.priority,
            timeout=min(left, agent.call_timeout),
            progress_timeout=agent.progress_timeout,
        )

    def _make_tools(
        self, agent: configuration.AgentSettings
    ) -> list[ports.ToolSpec]:
        known = self._parts.configuration.current.tools
        tools = [
            ports.ToolSpec(
                name=name,
                description=known[name].description,
                parameters=known[name].parameters,
            )
            for name in agent.tools
            if name in known
        ]
        return tools + [_make_child_tool(name) for name in agent.children]

    def _finish(
        self,
        demand: calls.CallDemand,
        placed: calls.Placement,
        result: Result,
        seconds: float,
    ) -> None:
        usage = ports.Usage(0, 0, 0)
        if isinstance(result, ports.Completion):
            usage = result.usage
            self._count_tokens(demand.client, usage)
        self._parts.dispatcher.finish(
            call_attempts.make_outcome(
                demand,
                placed.target,
                result,
                seconds,
                usage.prompt,
                usage.cached,
                usage.completion,
            )
        )

    def _count_tokens(self, client: str, usage: ports.Usage) -> None:
        tokens = self._parts.registry.tokens
        tokens.add(usage.prompt - usage.cached, client=client, kind='prompt')
        tokens.add(usage.cached, client=client, kind='cached')
        tokens.add(usage.completion, client=client, kind='completion')

    def _drop_placement(
        self, demand: calls.CallDemand, placed: calls.Placement
    ) -> None:
        refused = failures.Failure(
            failures.Kind.TARGET_REFUSED, 'the call was not sent'
        )
        self._finish(demand, placed, refused, 0.0)

    def _cancel_soon(
        self, engine: ports.Engine, request: ports.EngineRequest
    ) -> None:
        self._parts.start_task(engine.cancel(request.call_id))


def _is_broken(result: Result) -> bool:
    return (
        failures.is_failure(result)
        and result.kind is failures.Kind.OUTCOME_UNKNOWN
    )


def _make_unknown(program: programs.Program) -> failures.Failure:
    return failures.Failure(
        failures.Kind.UNKNOWN_AGENT, f'there is no agent {program.agent}'
    )


def _make_messages(
    program: programs.Program, agent: configuration.AgentSettings
) -> list[ports.ChatMessage]:
    messages = [_make_message(message) for message in program.history()]
    if agent.instructions:
        system = ports.ChatMessage(role='system', content=agent.instructions)
        messages.insert(0, system)
    return messages


def _make_message(message: records.Message) -> ports.ChatMessage:
    made = ports.ChatMessage(role=message.role, content=message.content)
    if message.tool_calls:
        made['tool_calls'] = [
            ports.ToolCall(id=one.id, name=one.name, arguments=one.arguments)
            for one in message.tool_calls
        ]
    if message.tool_call_id:
        made['tool_call_id'] = message.tool_call_id
    return made


def _make_child_tool(agent: str) -> ports.ToolSpec:
    return ports.ToolSpec(
        name=agent,
        description=f'Hand work to the sub-agent {agent}.',
        parameters={
            'type': 'object',
            'properties': {'text': {'type': 'string'}},
            'required': ['text'],
        },
    )
