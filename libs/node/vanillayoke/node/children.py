"""Calls that hand work to a sub-agent and wait for its final answer."""

import typing

import msgspec

from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.entry import host
from vanillayoke.node import attempts as call_attempts
from vanillayoke.node import parts
from vanillayoke.node import proposals
from vanillayoke.node import streams
from vanillayoke.programs import calls as program_calls
from vanillayoke.programs import opening
from vanillayoke.programs import program as programs
from vanillayoke.programs import records

_RUN_KEY = 'run'


class RunStarter(typing.Protocol):
    """What starts a sub-agent's run, or joins it."""

    def start(
        self, program: programs.Program, request: host.CallRequest, epoch: int
    ) -> streams.RunStream | failures.Failure:
        """Accept a request and start driving it, or join it."""


class ChildCalls:
    """Runs the calls by which a program's model asks for a sub-agent.

    The sub-agent's id and its run's key come from the call, so that a
    call taken up again after a takeover finds both and joins them.
    """

    def __init__(
        self,
        shared: parts.Parts,
        settler: call_attempts.CallSettler,
        starter: RunStarter,
    ) -> None:
        self._parts = shared
        self._settler = settler
        self._starter = starter

    async def execute(
        self, program: programs.Program, call: program_calls.Call
    ) -> None | failures.Failure:
        """Run a call until it is final; a failure where it may not go on."""
        attempts = self._settler.begin(program, call)
        failure = self._settler.intend(attempts, call.name)
        if failure is not None:
            return failure
        stream = self._start(program, call)
        if failures.is_failure(stream):
            return self._settler.fail(attempts, stream)
        final = await stream.wait()
        if failures.is_failure(final):
            if final.kind is failures.Kind.LEASE_LOST:
                return final
            return self._settler.fail(attempts, final)
        message = records.Message(
            role='tool', content=final.text, tool_call_id=call.tool_call_id
        )
        return self._settler.answer(
            attempts, message, 'stop', records.Spend(calls=1), call.name
        )

    def _start(
        self, program: programs.Program, call: program_calls.Call
    ) -> streams.RunStream | failures.Failure:
        epoch = self._settler.find_epoch(program)
        if epoch is None:
            return call_attempts.make_lost()
        text = _read_text(call.arguments)
        if failures.is_failure(text):
            return text
        child = self._open(program, call, epoch)
        if failures.is_failure(child):
            return child
        request = host.CallRequest(
            key=_RUN_KEY,
            fingerprint=_RUN_KEY,
            mode=proposals.RUN,
            text=text,
            tool='',
            arguments='',
            max_tokens=None,
        )
        return self._starter.start(child, request, epoch)

    def _open(
        self,
        program: programs.Program,
        call: program_calls.Call,
        epoch: int,
    ) -> programs.Program | failures.Failure:
        opened = self._make_opened(program, call, epoch)
        hosted = self._parts.programs
        above = (program, *hosted.list_ancestors(program))
        decided = opening.open_program(
            hosted.find(opened.program),
            opening.clamp_child(opened, above),
            above,
            self._parts.clock.wall(),
        )
        if isinstance(decided, list):
            hosted.write(decided)
            return hosted.find(opened.program)
        return decided

    def _make_opened(
        self,
        program: programs.Program,
        call: program_calls.Call,
        epoch: int,
    ) -> records.ProgramOpened:
        key = str(call.number)
        return records.ProgramOpened(
            ids.derive_child_id(program.id, f'call\n{key}'),
            epoch,
            client=program.client,
            agent=call.name,
            key=key,
            fingerprint=key,
            budget=program.budget,
            deadline=program.deadline,
            urgent=program.urgent,
            opened_at=self._parts.clock.wall(),
            parent=program.id,
            parent_call=call.number,
            root=program.root,
            config_version=self._parts.configuration.version,
        )


def _read_text(arguments: str) -> str | failures.Failure:
    try:
        decoded = msgspec.json.decode(arguments, type=proposals.ChildRequest)
    except msgspec.DecodeError as error:
        return failures.Failure(
            failures.Kind.BAD_REQUEST, f'arguments: {error}'
        )
    return decoded.text
