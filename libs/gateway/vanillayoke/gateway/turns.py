"""Turns of programs: streams within a budget, with history where kept."""

import msgspec

from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import dispatch
from vanillayoke.gateway import forwarding
from vanillayoke.gateway import histories
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import refusals
from vanillayoke.gateway import sse
from vanillayoke.gateway import store as store_module
from vanillayoke.gateway import store_waiting
from vanillayoke.gateway import unary
from vanillayoke.scheduling import program_slack
from vanillayoke.transport import client
from vanillayoke.transport import headers as headers_module
from vanillayoke.transport import server

_DROPPED = frozenset((b'content-length',))
_FIRST_FAILURE = 300
# Events of a turn that said nothing about its length.
USUAL_EVENTS = 8
# What the first event and each next one take, before any has been seen;
# what is seen soon outweighs it. Seconds.
FIRST_EVENT = 0.06
NEXT_EVENT = 0.03
_AWAY = store_module.StoreRefusedError('the store is away')


class _Turn:
    """One turn under way: what it began from and what came of it."""

    def __init__(self, progress: dispatch.Progress, event_tokens: int) -> None:
        self.progress = progress
        self.event_tokens = event_tokens
        self.before = b''
        # Under which name its tokens are reserved.
        self.reserved_as = progress.call.request
        self.call = progress.call
        self.data: list[bytes] = []
        self.events = 0
        self.is_whole = False
        # A stream that breaks off goes on behind the last whole event that
        # the caller has.
        self.last_event = progress.call.last_event

    @property
    def used(self) -> int:
        """The tokens handed to the caller."""
        return self.events * self.event_tokens

    def make_added(self) -> bytes:
        """Return what the turn adds to its history."""
        return self.progress.call.body + b''.join(
            data + b'\n' for data in self.data
        )


class Turns:
    """Serves the requests of routes that stream."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._dispatcher = dispatch.Dispatcher(context)
        self._usual: dict[
            str, tuple[program_slack.TypicalTime, program_slack.TypicalTime]
        ] = {}
        self._gaps: dict[str, program_slack.AverageTime] = {}
        self._store_waiting = store_waiting.StoreWaiting(
            context, self._find_need
        )

    async def serve(
        self, progress: dispatch.Progress, responder: server.Responder
    ) -> None:
        """Answer one turn."""
        turn = _Turn(progress, self._find_event_tokens(progress.service))
        program = progress.call.program
        if program is None or program.budget is None:
            await self._serve_granted(turn, responder)
            return
        await self._reserve(turn, program)
        try:
            await self._serve_granted(turn, responder)
        finally:
            question = peer_messages.Settle(
                progress.qualify(program.name),
                turn.reserved_as,
                turn.used,
                program.session,
                self._find_loss(turn),
                progress.target if turn.is_whole else None,
            )
            self._context.spawn(
                self._context.reservations.settle(
                    progress.coordinator or '', question
                )
            )

    def _find_loss(self, turn: _Turn) -> float:
        """Return by how much a turn took longer than such turns usually do.

        A turn that failed is done again: all its time is lost.
        """
        progress = turn.progress
        taken = self._context.timers.now() - progress.started_at
        if progress.first_event_delay is None or not turn.is_whole:
            return taken
        first, each = self._find_usual(progress.service)
        first.learn(progress.first_event_delay)
        rest = taken - progress.first_event_delay
        if turn.events > 1:
            each.learn(rest / (turn.events - 1))
        usual = first.value + each.value * max(0, turn.events - 1)
        return max(0.0, taken - usual)

    def _find_latency_ratio(
        self, turn: _Turn, attempt: forwarding.Attempt
    ) -> float | None:
        """Return how long the events took against what they usually take."""
        if turn.events < 2:
            return None
        gap = (self._context.timers.now() - attempt.head_received_at) / (
            turn.events - 1
        )
        progress = turn.progress
        if progress.target_load is not None:
            slowdown = self._dispatcher.get_slowdown(progress.service)
            slowdown.learn(progress.target_load, gap)
        mean = self._gaps.setdefault(
            progress.service, program_slack.AverageTime(gap)
        )
        pace = gap / mean.value
        mean.learn(gap)
        return pace

    def _find_usual(
        self, service: str
    ) -> tuple[program_slack.TypicalTime, program_slack.TypicalTime]:
        found = self._usual.get(service)
        if found is None:
            found = (
                program_slack.TypicalTime(FIRST_EVENT),
                program_slack.TypicalTime(NEXT_EVENT),
            )
            self._usual[service] = found
        return found

    def _find_event_tokens(self, service: str) -> int:
        found = self._context.catalog.configuration.services.get(service)
        if found is None or found.engine is None:
            return 1
        return found.engine.event_tokens

    async def _reserve(self, turn: _Turn, program: messages.Program) -> None:
        progress = turn.progress
        question = peer_messages.Reserve(
            progress.qualify(program.name),
            program.budget,
            progress.call.request,
            progress.call.max_tokens,
            program.session,
            progress.route.name,
            program.time_left,
            not progress.route.keeps_history,
        )
        found = self._context.reservations.reserve_locally(question)
        asked = 0
        while found is None:
            self._refuse_if_isolated()
            question = self._name_reservation(turn, question, asked)
            asked += 1
            try:
                found = await self._context.reservations.reserve(
                    question, self._store_waiting.find_latest_start(progress)
                )
            except store_module.StoreError as error:
                await self._store_waiting.wait(progress, error)
        if not found.is_granted:
            raise refusals.RefusalError(refusals.Reason.BUDGET_SPENT)
        progress.coordinator = found.coordinator
        progress.slack = found.slack
        progress.affinity_target = found.target
        progress.slack_updated_at = self._context.timers.now()

    def _name_reservation(
        self, turn: _Turn, question: peer_messages.Reserve, asked: int
    ) -> peer_messages.Reserve:
        """Name each further reservation anew.

        The one before may have been made without an answer, and its end,
        which is on the way, must not end this one.
        """
        if asked:
            turn.reserved_as = f'{turn.progress.call.request}.{asked}'
        return msgspec.structs.replace(question, turn=turn.reserved_as)

    def _find_need(self, progress: dispatch.Progress) -> float:
        """Return about how long it takes to serve a turn, in seconds."""
        first, each = self._find_usual(progress.service)
        events = USUAL_EVENTS
        if progress.call.expected_tokens:
            size = self._find_event_tokens(progress.service)
            events = progress.call.expected_tokens / size
        return first.value + each.value * events

    def _refuse_if_isolated(self) -> None:
        if self._context.is_isolated():
            raise refusals.RefusalError(refusals.Reason.ISOLATED)

    async def _serve_granted(
        self, turn: _Turn, responder: server.Responder
    ) -> None:
        progress = turn.progress
        if progress.route.keeps_history:
            await self._prepare_kept(turn)
        passed: set[str] = set()
        while True:
            target = await self._dispatcher.choose(progress, passed)
            try:
                await self._try(turn, target, responder)
            except (client.TransportError, forwarding.NotExecutedError) as e:
                passed.add(target.name)
                self._dispatcher.record_failure(progress, target, e)
                continue
            self._dispatcher.record_success(progress, target)
            return

    async def _prepare_kept(self, turn: _Turn) -> None:
        """Return when a turn can run and be kept; fetch what came before."""
        progress = turn.progress
        while True:
            # A turn that can't be kept would run for nothing.
            self._refuse_if_isolated()
            if self._context.store.is_unreachable:
                await self._store_waiting.wait(progress, _AWAY)
                continue
            if not progress.call.previous_turn:
                return
            try:
                turn.before = await self._context.histories.fetch(
                    progress.qualify(progress.call.previous_turn),
                    self._store_waiting.find_latest_start(progress),
                )
            except histories.UnknownTurnError as error:
                raise refusals.RefusalError(
                    refusals.Reason.UNKNOWN_TURN, str(error)
                ) from error
            except store_module.StoreError as error:
                await self._store_waiting.wait(progress, error)
                continue
            turn.call = progress.call._replace(
                body=turn.before + progress.call.body
            )
            return

    async def _try(
        self,
        turn: _Turn,
        target: messages.Target,
        responder: server.Responder,
    ) -> None:
        progress = turn.progress
        progress.attempts += 1
        async with self._dispatcher.make_attempt(progress, target) as attempt:
            sending = self._dispatcher.make_forward_options(
                progress, target, turn.last_event
            )
            progress.may_have_run = True
            head = await attempt.send(
                turn.call, sending, not progress.route.is_idempotent
            )
            if head.status >= _FIRST_FAILURE and responder.is_started:
                await attempt.read_body()
                raise refusals.RefusalError(
                    refusals.Reason.OUTCOME_UNKNOWN,
                    f'the stream could not go on: {head.status}',
                )
            if head.status >= _FIRST_FAILURE:
                answer = unary.Response(head, await attempt.read_body())
                unary.send_response(answer, progress, responder)
                return
            await self._relay(turn, head, attempt, responder)
            turn.is_whole = True
            attempt.latency_ratio = self._find_latency_ratio(turn, attempt)
        if progress.route.keeps_history:
            await self._keep(turn)
        responder.finish()

    async def _relay(
        self,
        turn: _Turn,
        head: client.Head,
        attempt: forwarding.Attempt,
        responder: server.Responder,
    ) -> None:
        """Pass whole events on as they come; what ends within one is lost."""
        reader = sse.EventParser()
        # The head goes out with the first event: until then another target
        # can still answer.
        while chunk := await attempt.read_chunk():
            for event in reader.feed(chunk):
                if not responder.is_started:
                    self._start(turn, head, responder)
                responder.write(event.raw)
                if event.event_id is not None:
                    turn.last_event = event.event_id
                if event.data is not None:
                    turn.events += 1
                    turn.data.append(event.data)
            await responder.drain()
        if reader.pending:
            raise client.BadAnswer('the stream ended within an event')
        if not responder.is_started:
            self._start(turn, head, responder)

    def _start(
        self, turn: _Turn, head: client.Head, responder: server.Responder
    ) -> None:
        progress = turn.progress
        progress.status = head.status
        progress.first_event_delay = (
            self._context.timers.now() - progress.started_at
        )
        headers = headers_module.drop_hop_by_hop(head.headers, _DROPPED)
        responder.start(head.status, headers, None)

    async def _keep(self, turn: _Turn) -> None:
        progress = turn.progress
        call = progress.call
        previous = call.previous_turn
        try:
            await self._context.histories.save(
                progress.qualify(call.request),
                progress.qualify(previous) if previous else '',
                turn.before,
                turn.make_added(),
                self._store_waiting.find_save_deadline(progress),
            )
        except store_module.StoreError as error:
            raise refusals.RefusalError(
                refusals.Reason.NOT_SAVED, str(error)
            ) from error
