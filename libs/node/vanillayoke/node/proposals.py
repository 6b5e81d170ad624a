"""What a request or a run's next step asks of a program, as proposals."""

import msgspec

from vanillayoke.core import failures
from vanillayoke.entry import host
from vanillayoke.node import attempts
from vanillayoke.programs import budget
from vanillayoke.programs import checks
from vanillayoke.programs import program as programs
from vanillayoke.programs import records
from vanillayoke.settings import configuration

RUN = 'run'
_MESSAGE_OVERHEAD = 16


class ChildRequest(msgspec.Struct):
    """The arguments of a call that hands work to a sub-agent."""

    text: str = ''


def propose_request(
    settings: configuration.Configuration,
    program: programs.Program,
    request: host.CallRequest,
) -> checks.CallProposal | failures.Failure:
    """Return the first call that a client's request asks for."""
    run = request.key if request.mode == RUN else ''
    if request.tool:
        asked = _find_asked(program, request)
        return _propose_tool(
            settings, program, asked, request.key, request.fingerprint, run
        )
    if request.max_tokens is not None and request.max_tokens < 1:
        return failures.Failure(
            failures.Kind.BAD_REQUEST, 'max_tokens is below 1'
        )
    messages = (
        (records.Message(role='user', content=request.text),)
        if request.text
        else ()
    )
    return _propose_model(
        settings,
        program,
        messages,
        request.key,
        request.fingerprint,
        run,
        request.max_tokens or 0,
    )


def _find_asked(
    program: programs.Program, request: host.CallRequest
) -> records.ToolRequest:
    """Return the model's open request that a client's tool call answers.

    Without one the call stands by itself and the model does not see it.
    """
    for one in program.pending_tools:
        if one.name == request.tool:
            arguments = request.arguments or one.arguments
            return records.ToolRequest(one.id, one.name, arguments)
    return records.ToolRequest('', request.tool, request.arguments)


def propose_step(
    settings: configuration.Configuration, program: programs.Program
) -> checks.CallProposal | failures.Failure:
    """Return the next step of the program's open run."""
    run = program.open_run
    key = checks.make_step_key(run, len(program.calls) + 1)
    pending = program.pending_tools
    if pending:
        return _propose_tool(settings, program, pending[0], key, key, run)
    return _propose_model(settings, program, (), key, key, run)


def _propose_model(
    settings: configuration.Configuration,
    program: programs.Program,
    messages: tuple[records.Message, ...],
    key: str,
    fingerprint: str,
    run: str,
    max_tokens: int = 0,
) -> checks.CallProposal | failures.Failure:
    agent = settings.agents.get(program.agent)
    if agent is None:
        return failures.Failure(
            failures.Kind.UNKNOWN_AGENT, f'there is no agent {program.agent}'
        )
    model = settings.models.get(agent.model, configuration.ModelSettings())
    most_tokens = min(max_tokens or agent.max_tokens, agent.max_tokens)
    return checks.CallProposal(
        kind=records.CallKind.MODEL,
        key=key,
        fingerprint=fingerprint,
        idempotent=True,
        name=agent.model,
        messages=messages,
        run=run,
        reserved=budget.reserve_model_call(
            _estimate_prompt(program, agent, messages),
            most_tokens,
            agent.call_timeout,
            model.money_per_million_tokens,
        ),
        max_tokens=most_tokens,
    )


def _estimate_prompt(
    program: programs.Program,
    agent: configuration.AgentSettings,
    messages: tuple[records.Message, ...],
) -> int:
    characters = program.text_length + len(agent.instructions)
    characters += sum(len(message.content) for message in messages)
    count = len(program.history()) + len(messages) + 1
    return attempts.estimate_tokens(characters) + count * _MESSAGE_OVERHEAD


def _propose_tool(
    settings: configuration.Configuration,
    program: programs.Program,
    asked: records.ToolRequest,
    key: str,
    fingerprint: str,
    run: str,
) -> checks.CallProposal | failures.Failure:
    agent = settings.agents.get(program.agent)
    if agent is not None and asked.name in agent.children:
        return _propose_child(asked, key, fingerprint, run)
    tool = settings.tools.get(asked.name)
    if agent is None or tool is None or asked.name not in agent.tools:
        if asked.id:
            return _propose_unknown(asked, key, fingerprint, run)
        return failures.Failure(
            failures.Kind.UNKNOWN_AGENT,
            f'agent {program.agent} has no tool {asked.name}',
        )
    return checks.CallProposal(
        kind=records.CallKind.TOOL,
        key=key,
        fingerprint=fingerprint,
        idempotent=tool.idempotent,
        name=asked.name,
        arguments=asked.arguments,
        tool_call_id=asked.id,
        run=run,
        reserved=records.Spend(
            calls=1, seconds=tool.timeout, money=tool.reserved_money
        ),
    )


def _propose_unknown(
    asked: records.ToolRequest, key: str, fingerprint: str, run: str
) -> checks.CallProposal:
    """Propose a call of a tool that does not exist.

    It fails without being sent, and the model reads why: models do invent
    tools, and that must not end the run.
    """
    return checks.CallProposal(
        kind=records.CallKind.TOOL,
        key=key,
        fingerprint=fingerprint,
        idempotent=True,
        name=asked.name,
        arguments=asked.arguments,
        tool_call_id=asked.id,
        run=run,
    )


def _propose_child(
    asked: records.ToolRequest, key: str, fingerprint: str, run: str
) -> checks.CallProposal:
    return checks.CallProposal(
        kind=records.CallKind.CHILD,
        key=key,
        fingerprint=fingerprint,
        idempotent=True,
        name=asked.name,
        arguments=asked.arguments,
        tool_call_id=asked.id,
        run=run,
        reserved=records.Spend(calls=1),
    )
