"""A caller in virtual time that repeats its keys at any instance."""

import asyncio
import typing

from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.entry import host
from vanillayoke.harness import virtual

_PAUSE = 0.25
_ANSWER_TIMEOUT = 15.0


class Told(typing.NamedTuple):
    """What a caller was told in the end, with every failure on the way."""

    text: str
    final: host.FinalAnswer | failures.Failure
    failed: tuple[failures.Failure, ...]


OnRefusal = typing.Callable[[str, str, failures.Failure], None]


class VirtualCaller:
    """Opens programs and runs them as a client's application would.

    It goes round the instances like one whose connection broke, since a
    frozen or dead instance gives no answer at all.
    """

    def __init__(
        self,
        site: virtual.VirtualSite,
        patience: float,
        client: str = virtual.CLIENT,
        on_refusal: OnRefusal = lambda program, text, failure: None,
    ) -> None:
        self._site = site
        self._patience = patience
        self._client = client
        self._on_refusal = on_refusal
        self._turn = 0

    async def open(
        self, key: str, agent: str = 'board', **fields: typing.Any
    ) -> host.ProgramView | failures.Failure:
        """Open a program."""
        request = host.OpenRequest(
            **{
                'key': key,
                'fingerprint': f'{agent}-{fields}',
                'agent': agent,
                'deadline': 300.0,
                'urgent': False,
                'tokens': None,
                'calls': None,
                'seconds': None,
                'money': None,
                'parent': '',
                **fields,
            }
        )
        program = ids.derive_program_id(self._client, key)
        return await self._ask(
            program,
            lambda owner: owner.open_program(self._client, request),
        )

    async def end(self, program: str) -> host.ProgramView | failures.Failure:
        """End a program."""
        return await self._ask(
            program,
            lambda owner: owner.end_program(self._client, program, 'end'),
        )

    async def read_history(
        self, program: str
    ) -> list[host.HistoryEntry] | failures.Failure:
        """Read a program's whole history."""
        return await self._ask(
            program,
            lambda owner: owner.read_history(self._client, program, 0, 10_000),
        )

    async def view(self, program: str) -> host.ProgramView | failures.Failure:
        """Read a program's state."""
        return await self._ask(
            program,
            lambda owner: owner.view_program(self._client, program),
        )

    async def run(self, program: str, key: str, text: str) -> Told:
        """Run a program to its next answer, repeating what may be."""
        request = host.CallRequest(
            key=key,
            fingerprint=f'{key}-{text}',
            mode='run',
            text=text,
            tool='',
            arguments='',
            max_tokens=None,
        )
        failed: list[failures.Failure] = []
        deadline = self._site.clock.now() + self._patience
        while True:
            read, final = await self._run_once(program, request)
            if isinstance(final, host.FinalAnswer):
                return Told(read, final, tuple(failed))
            failed.append(final)
            self._on_refusal(program, text, final)
            late = self._site.clock.now() > deadline
            if late or not final.answer.may_retry:
                return Told(read, final, tuple(failed))
            self._turn += 1
            await self._site.clock.sleep(_PAUSE)

    async def _run_once(
        self, program: str, request: host.CallRequest
    ) -> tuple[str, host.FinalAnswer | failures.Failure]:
        owner = await self._find_owner(program)
        if failures.is_failure(owner):
            return '', owner
        stream = await owner.served.host.start_call(
            self._client, program, request
        )
        if failures.is_failure(stream):
            return '', stream
        return await self._follow(owner, stream)

    async def _follow(
        self, owner: virtual.VirtualInstance, stream: host.CallStream
    ) -> tuple[str, host.FinalAnswer | failures.Failure]:
        read = ''
        items = stream.follow(0)
        while True:
            item = await self._wait(owner, anext(items))
            match item:
                case host.TextPiece(offset, text):
                    read = read[:offset] + text
                case host.TextReset(offset):
                    read = read[:offset]
                case host.FinalAnswer() | failures.Failure():
                    return read, item

    async def _ask(
        self, program: str, ask: typing.Callable[[host.Host], typing.Any]
    ) -> typing.Any:
        deadline = self._site.clock.now() + self._patience
        while True:
            owner = await self._find_owner(program)
            result = owner
            if not failures.is_failure(owner):
                result = await self._wait(owner, ask(owner.served.host))
            if not failures.is_failure(result):
                return result
            late = self._site.clock.now() > deadline
            if late or not result.answer.may_retry:
                return result
            self._turn += 1
            await self._site.clock.sleep(_PAUSE)

    async def _find_owner(
        self, program: str
    ) -> virtual.VirtualInstance | failures.Failure:
        """Ask one instance where the program is, as entry does."""
        known = list(self._site.instances.values())
        asked = known[self._turn % len(known)]
        place = await self._wait(asked, asked.served.host.locate(program))
        match place:
            case None:
                return asked
            case host.Elsewhere(instance=name):
                if name in self._site.instances:
                    return self._site.instances[name]
                return failures.Failure(
                    failures.Kind.NOT_OWNER, f'{name} is gone'
                )
        return place

    async def _wait(
        self, asked: virtual.VirtualInstance, work: typing.Awaitable
    ) -> typing.Any:
        """Wait for an instance's answer like one on a connection.

        Nothing comes from an instance that is frozen or was killed.
        """

        async def answer() -> typing.Any:
            await asked.gate.pass_through()
            result = await work
            await asked.gate.pass_through()
            return result

        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT):
                return await answer()
        except TimeoutError:
            return failures.Failure(
                failures.Kind.LEASE_LOST, f'{asked.name} gave no answer'
            )
