"""Requests with one answer: read whole, then passed on."""

import typing

from vanillayoke.gateway import dispatch
from vanillayoke.gateway import forwarding
from vanillayoke.gateway import messages
from vanillayoke.gateway import shared
from vanillayoke.transport import client
from vanillayoke.transport import headers as headers_module
from vanillayoke.transport import server

# Written anew for the caller.
_DROPPED = frozenset((b'content-length',))


class Answer(typing.NamedTuple):
    """A target's whole answer."""

    head: client.Head
    body: bytes


class PlainCalls:
    """Serves the requests of routes that do not stream."""

    def __init__(self, parts: shared.Parts) -> None:
        self._parts = parts
        self._dispatcher = dispatch.Dispatcher(parts)

    async def serve(
        self, progress: dispatch.Progress, responder: server.Responder
    ) -> None:
        """Answer one request."""
        answer = await self._run(progress)
        send_answer(answer, progress, responder)

    async def _run(self, progress: dispatch.Progress) -> Answer:
        passed: set[str] = set()
        while True:
            target = await self._dispatcher.choose(progress, passed)
            try:
                answer = await self._try(progress, target)
            except (client.TransportError, forwarding.NotExecutedError) as e:
                passed.add(target.name)
                self._dispatcher.note_failure(progress, target, e)
                continue
            progress.status = answer.head.status
            self._dispatcher.note_success(progress, target)
            return answer

    async def _try(
        self, progress: dispatch.Progress, target: messages.Target
    ) -> Answer:
        progress.tries += 1
        async with self._dispatcher.make_attempt(target) as attempt:
            sending = self._dispatcher.make_sending(progress, target)
            progress.may_have_run = True
            head = await attempt.send(
                progress.call, sending, not progress.route.is_idempotent
            )
            return Answer(head, await attempt.read_body())


def send_answer(
    answer: Answer, progress: dispatch.Progress, responder: server.Responder
) -> None:
    """Pass a whole answer on as the target gave it."""
    progress.status = answer.head.status
    headers = headers_module.drop_hop_by_hop(answer.head.headers, _DROPPED)
    responder.send(answer.head.status, headers, answer.body)
