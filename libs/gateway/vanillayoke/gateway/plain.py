"""Requests with one answer: read whole, then passed on."""

import asyncio
import typing

from vanillayoke.gateway import dispatch
from vanillayoke.gateway import forwarding
from vanillayoke.gateway import messages
from vanillayoke.gateway import shared
from vanillayoke.scheduling import outlook
from vanillayoke.scheduling import tallies
from vanillayoke.transport import client
from vanillayoke.transport import headers as headers_module
from vanillayoke.transport import server

# Written anew for the caller.
_DROPPED = frozenset((b'content-length',))
# A safe call is given up on after this many times its usual time, and not
# before this share of its time: a server that is four times slower than
# usual is still waited for, and the caller's second try has room.
PATIENCE_TIMES = 10.0
PATIENCE_SHARE = 0.35
# A route whose own time is about as short ends by that: its requests may
# well last longer, which says nothing of the server. Seconds.
SHORTEST_PATIENCE = 0.5


class Answer(typing.NamedTuple):
    """A target's whole answer."""

    head: client.Head
    body: bytes


class PlainCalls:
    """Serves the requests of routes that do not stream."""

    def __init__(self, parts: shared.Parts) -> None:
        self._parts = parts
        self._dispatcher = dispatch.Dispatcher(parts)
        self._usual: dict[str, outlook.Usual] = {}
        self._means: dict[str, outlook.Mean] = {}

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
            self._learn(progress)
            return answer

    async def _try(
        self, progress: dispatch.Progress, target: messages.Target
    ) -> Answer:
        progress.tries += 1
        async with self._dispatcher.make_attempt(progress, target) as attempt:
            sending = self._dispatcher.make_sending(progress, target)
            progress.may_have_run = True
            if progress.route.kind is not messages.RouteKind.SAFE:
                return await self._exchange(progress, attempt, sending)
            try:
                async with asyncio.timeout(self._find_patience(progress)):
                    return await self._exchange(progress, attempt, sending)
            except TimeoutError as error:
                attempt.pace = tallies.MOST_SLOWNESS
                raise client.TimedOut('no answer for too long') from error

    async def _exchange(
        self,
        progress: dispatch.Progress,
        attempt: forwarding.Attempt,
        sending: messages.ForwardOptions,
    ) -> Answer:
        head = await attempt.send(
            progress.call, sending, not progress.route.is_idempotent
        )
        answer = Answer(head, await attempt.read_body())
        taken = self._parts.timers.now() - attempt.began
        mean = self._means.setdefault(progress.route.name, outlook.Mean(taken))
        attempt.pace = taken / mean.value
        mean.learn(taken)
        return answer

    def _find_patience(self, progress: dispatch.Progress) -> float:
        """Return how long to wait for the answer to a safe call.

        A server that says nothing for many times as long as usual is not
        going to; the caller can try again in what time is left.
        """
        whole = progress.until - progress.began
        usual = self._usual.get(progress.route.name)
        times = 0.0 if usual is None else PATIENCE_TIMES * usual.value
        return max(times, PATIENCE_SHARE * whole, SHORTEST_PATIENCE)

    def _learn(self, progress: dispatch.Progress) -> None:
        name = progress.route.name
        taken = self._parts.timers.now() - progress.began
        usual = self._usual.get(name)
        if usual is None:
            usual = self._usual[name] = outlook.Usual(taken)
        usual.learn(taken)


def send_answer(
    answer: Answer, progress: dispatch.Progress, responder: server.Responder
) -> None:
    """Pass a whole answer on as the target gave it."""
    progress.status = answer.head.status
    headers = headers_module.drop_hop_by_hop(answer.head.headers, _DROPPED)
    responder.send(answer.head.status, headers, answer.body)
