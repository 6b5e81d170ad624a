"""Turns of programs: streamed requests with a budget and stored history."""

import msgspec

from vanillayoke.core import events as log_events
from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import dispatch
from vanillayoke.gateway import event_order
from vanillayoke.gateway import forwarding
from vanillayoke.gateway import histories
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import refusals
from vanillayoke.gateway import resumptions
from vanillayoke.gateway import sse
from vanillayoke.gateway import store as store_module
from vanillayoke.gateway import store_waiting
from vanillayoke.gateway import stream_texts
from vanillayoke.gateway import text_memory
from vanillayoke.gateway import unary
from vanillayoke.programs import transcripts
from vanillayoke.scheduling import program_slack
from vanillayoke.transport import client
from vanillayoke.transport import headers as headers_module
from vanillayoke.transport import server

_DROPPED = frozenset((b'content-length',))
_FIRST_NON_SUCCESS_STATUS = 300
# Of the events of a turn whose text is kept.
MAX_TEXT_BYTES = 4 * 1024 * 1024
# Assumed for turns whose expected length is unknown.
DEFAULT_EVENT_COUNT = 8
# Initial estimates, replaced by measured times.
INITIAL_FIRST_EVENT_SECONDS = 0.06
INITIAL_EVENT_INTERVAL_SECONDS = 0.03
_STORE_UNAVAILABLE = store_module.StoreRefusedError('the store is unavailable')


class _Turn:
    """The state of a turn while it runs."""

    def __init__(
        self,
        progress: dispatch.Progress,
        event_tokens: int,
        held: text_memory.TextMemory,
    ) -> None:
        self.progress = progress
        self.event_tokens = event_tokens
        self.history = transcripts.History()
        self.reservation_name = progress.call.request
        self.call = progress.call
        # Of the events so far.
        self._text = bytearray()
        self._data_bytes = 0
        self.event_count = 0
        self.is_complete = False
        self.order = event_order.EventOrder(progress.call.last_event)
        # Memory for the history, the prompt with it, and the new text.
        self.held = held
        # What the caller has of the stream from an earlier response.
        self.resumed: stream_texts.Resumed | None = None
        # Records the text for a caller that resumes this response.
        self.recorder: stream_texts.Recorder | None = None

    @property
    def used_tokens(self) -> int:
        """The number of tokens sent to the caller."""
        return self.event_count * self.event_tokens

    @property
    def last_event(self) -> bytes | None:
        """Where the stream resumes if it is interrupted."""
        return self.order.last_id

    async def resume(self, resumed: stream_texts.Resumed) -> None:
        """Begin the text with what the caller has of an earlier response.

        Raise ``RefusalError`` if there is no memory for it.
        """
        await self.held.add(len(resumed.text))
        self.resumed = resumed
        self._text += resumed.text
        self._data_bytes = len(resumed.text)

    async def add_data(self, data: bytes) -> None:
        """Add the data of an event to the text that the turn adds.

        Raise ``BadAnswer`` if the text becomes too long, ``RefusalError`` if
        there is no memory for it.
        """
        await self.held.add(len(data) + 1)
        self._text += data
        self._text += b'\n'
        self._data_bytes += len(data)
        if self._data_bytes > MAX_TEXT_BYTES:
            raise client.BadAnswer('the text of the stream is too long')

    def make_new_text(self) -> bytes:
        """Return the text that the turn adds to the history."""
        return b''.join((self.progress.call.body, self._text))


def _feed(parser: sse.EventParser, chunk: bytes) -> list[sse.StreamEvent]:
    """Return the events that a chunk completes."""
    try:
        return parser.feed(chunk)
    except sse.EventTooLongError as error:
        raise client.BadAnswer(f'an event is too long: {error}') from error


def _describe_id(event_id: bytes | None) -> str | None:
    """Return an event's ID for the log."""
    return None if event_id is None else event_id.decode('latin-1')


def _name_stream(
    progress: dispatch.Progress, request: str
) -> resumptions.StreamName:
    """Return the name of the stream that ``request`` began."""
    name = progress.qualify(request) if request else ''
    program = progress.call.program
    if program is None:
        return resumptions.StreamName(name, '', progress.runs.fingerprint)
    session = progress.qualify(f'{program.name}/{program.session}')
    return resumptions.StreamName(name, session)


def _name_text(progress: dispatch.Progress) -> stream_texts.Stream:
    """Return the stream whose text the caller of a request has."""
    stream = _name_stream(progress, progress.call.resumes or '')
    return stream_texts.Stream(
        stream.key, progress.runs.fingerprint, stream.request
    )


def _compute_lifetime(progress: dispatch.Progress) -> float:
    """Return for how many seconds a caller may resume a stream."""
    return max(progress.call.time_left or 0.0, progress.route.timeout)


class Turns:
    """Serves requests on routes that stream."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._dispatcher = dispatch.Dispatcher(context)
        self._typical_times: dict[
            str, tuple[program_slack.TypicalTime, program_slack.TypicalTime]
        ] = {}
        self._average_intervals: dict[str, program_slack.AverageTime] = {}
        self._store_waiting = store_waiting.StoreWaiting(
            context, self._estimate_service_time
        )

    async def serve(
        self, progress: dispatch.Progress, responder: server.Responder
    ) -> None:
        """Serve a turn."""
        await self._find_origin(progress)
        held = text_memory.TextMemory(self._context.memory_limit.account)
        turn = _Turn(progress, self._get_event_tokens(progress.service), held)
        try:
            await self._find_events(turn)
            await self._serve_turn(turn, responder)
        finally:
            held.release()

    async def _find_origin(self, progress: dispatch.Progress) -> None:
        """Bind a request that resumes a stream to the stream's origin."""
        call = progress.call
        if call.resumes is None and call.last_event is None:
            return
        progress.origin = await self._context.resumptions.find_origin(
            call.request,
            _name_stream(progress, call.resumes or ''),
            progress.route,
        )
        progress.service = progress.origin.service

    async def _find_events(self, turn: _Turn) -> None:
        """Find the events before a break, which belong to the history."""
        progress = turn.progress
        if turn.last_event is None or not progress.route.keeps_history:
            return
        await turn.resume(
            await self._context.stream_texts.find(
                progress.call.request, _name_text(progress), turn.last_event
            )
        )

    async def _serve_turn(
        self, turn: _Turn, responder: server.Responder
    ) -> None:
        progress = turn.progress
        program = progress.call.program
        if program is None or program.budget is None:
            await self._serve_granted(turn, responder)
            return
        await self._reserve(turn, program)
        try:
            await self._serve_granted(turn, responder)
        finally:
            settlement = peer_messages.Settle(
                progress.qualify(program.name),
                turn.reservation_name,
                turn.used_tokens,
                program.session,
                self._compute_delay(turn),
                progress.target if turn.is_complete else None,
            )
            self._context.spawn(
                self._context.reservations.settle(
                    progress.coordinator or '', settlement
                )
            )

    def _compute_delay(self, turn: _Turn) -> float:
        """Return the time that a turn took beyond the typical duration.

        A failed turn has to be repeated, so all its time counts.
        """
        progress = turn.progress
        duration = self._context.timers.now() - progress.started_at
        if progress.first_event_delay is None or not turn.is_complete:
            return duration
        first, interval = self._get_typical_times(progress.service)
        first.learn(progress.first_event_delay)
        rest = duration - progress.first_event_delay
        if turn.event_count > 1:
            interval.learn(rest / (turn.event_count - 1))
        typical = first.value + interval.value * max(0, turn.event_count - 1)
        self._context.program_admission.learn_turn(
            progress.route.name, typical
        )
        return max(0.0, duration - typical)

    def _find_latency_ratio(
        self, turn: _Turn, attempt: forwarding.Attempt
    ) -> float | None:
        """Return the interval between events, relative to the average.

        Return ``None`` if the turn has fewer than two events, or if all of it
        came at once.
        """
        duration = attempt.ended_at - attempt.head_received_at
        if turn.event_count < 2 or duration <= 0:
            return None
        if self._dispatcher.completion_times.is_used(turn.progress.service):
            return self._dispatcher.completion_times.learn_turn(
                turn.progress, attempt, turn.event_count
            )
        interval = duration / (turn.event_count - 1)
        progress = turn.progress
        if progress.target_load is not None:
            slowdown = self._dispatcher.get_slowdown(progress.service)
            slowdown.learn(progress.target_load, interval)
        average = self._average_intervals.setdefault(
            progress.service, program_slack.AverageTime(interval)
        )
        latency_ratio = interval / average.value
        average.learn(interval)
        return latency_ratio

    def _get_typical_times(
        self, service: str
    ) -> tuple[program_slack.TypicalTime, program_slack.TypicalTime]:
        """Return the typical time to the first event and between events."""
        times = self._typical_times.get(service)
        if times is None:
            times = (
                program_slack.TypicalTime(INITIAL_FIRST_EVENT_SECONDS),
                program_slack.TypicalTime(INITIAL_EVENT_INTERVAL_SECONDS),
            )
            self._typical_times[service] = times
        return times

    def _get_event_tokens(self, service: str) -> int:
        settings = self._context.catalog.configuration.services.get(service)
        if settings is None or settings.engine is None:
            return 1
        return settings.engine.event_tokens

    async def _reserve(self, turn: _Turn, program: messages.Program) -> None:
        progress = turn.progress
        request = peer_messages.Reserve(
            progress.qualify(program.name),
            program.budget,
            progress.call.request,
            progress.call.max_tokens,
            program.session,
            progress.route.name,
            program.time_left,
            not progress.route.keeps_history,
        )
        reservation = self._context.reservations.reserve_locally(request)
        attempt_count = 0
        while reservation is None:
            self._refuse_if_isolated()
            request = self._name_reservation(turn, request, attempt_count)
            attempt_count += 1
            try:
                reservation = await self._context.reservations.reserve(
                    request, self._store_waiting.find_latest_start(progress)
                )
            except store_module.StoreError as error:
                await self._store_waiting.wait(progress, error)
        if not reservation.is_granted:
            raise refusals.RefusalError(refusals.Reason.BUDGET_SPENT)
        progress.coordinator = reservation.coordinator
        progress.slack = reservation.slack
        progress.affinity_target = reservation.target
        progress.slack_updated_at = self._context.timers.now()

    def _name_reservation(
        self, turn: _Turn, request: peer_messages.Reserve, attempt_count: int
    ) -> peer_messages.Reserve:
        """Give each further attempt a reservation name of its own.

        The previous attempt may have succeeded without a response. The
        settlement of that reservation must not settle the new one.
        """
        if attempt_count:
            turn.reservation_name = (
                f'{turn.progress.call.request}.{attempt_count}'
            )
        return msgspec.structs.replace(request, turn=turn.reservation_name)

    def _estimate_service_time(self, progress: dispatch.Progress) -> float:
        """Return the typical time to serve a turn, in seconds."""
        first, interval = self._get_typical_times(progress.service)
        event_count = DEFAULT_EVENT_COUNT
        if progress.call.expected_tokens:
            event_tokens = self._get_event_tokens(progress.service)
            event_count = progress.call.expected_tokens / event_tokens
        return first.value + interval.value * event_count

    def _refuse_if_isolated(self) -> None:
        if self._context.is_isolated():
            raise refusals.RefusalError(refusals.Reason.ISOLATED)

    async def _serve_granted(
        self, turn: _Turn, responder: server.Responder
    ) -> None:
        progress = turn.progress
        if progress.route.keeps_history:
            await self._load_history(turn)
        excluded: set[str] = set()
        while True:
            target = await self._dispatcher.choose(progress, excluded)
            try:
                await self._try(turn, target, responder)
            except (client.TransportError, forwarding.NotExecutedError) as e:
                excluded.add(target.name)
                self._dispatcher.record_failure(progress, target, e)
                if not turn.order.can_resume:
                    raise refusals.RefusalError(
                        refusals.Reason.OUTCOME_UNKNOWN, str(e)
                    ) from e
                continue
            self._dispatcher.record_success(progress, target)
            return

    async def _load_history(self, turn: _Turn) -> None:
        """Load the turn's history, waiting for the store if necessary."""
        progress = turn.progress
        while True:
            # A turn that cannot be stored must not run.
            self._refuse_if_isolated()
            if self._context.store.is_unreachable:
                await self._store_waiting.wait(progress, _STORE_UNAVAILABLE)
                continue
            if not progress.call.previous_turn:
                return
            try:
                turn.history = await self._context.histories.fetch(
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
            history_size = len(turn.history.text)
            await turn.held.add(2 * history_size + len(progress.call.body))
            turn.call = progress.call._replace(
                body=turn.history.text + progress.call.body
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
            options = self._dispatcher.make_forward_options(
                progress, target, turn.last_event
            )
            progress.may_have_run = True
            if turn.last_event is not None:
                self._log_continued(turn, target)
            head = await attempt.send(
                turn.call, options, not progress.route.is_idempotent
            )
            if (
                head.status >= _FIRST_NON_SUCCESS_STATUS
                and responder.is_started
            ):
                await attempt.read_body()
                raise refusals.RefusalError(
                    refusals.Reason.OUTCOME_UNKNOWN,
                    f'target refused to resume the stream: {head.status}',
                )
            if head.status >= _FIRST_NON_SUCCESS_STATUS:
                body = await attempt.read_body()
                response = unary.Response(head, body, attempt.ending)
                unary.send_response(response, progress, responder)
                return
            await self._relay(turn, head, attempt, responder)
            progress.ending = attempt.ending
            turn.is_complete = True
            attempt.latency_ratio = self._find_latency_ratio(turn, attempt)
        if progress.route.keeps_history:
            await self._save(turn)
        responder.finish()

    def _log_continued(self, turn: _Turn, target: messages.Target) -> None:
        call = turn.progress.call
        self._context.log.write(
            log_events.STREAM_CONTINUED,
            request=call.request,
            resumes=call.resumes,
            program=call.program.name if call.program else None,
            target=target.name,
            software=target.software_version,
            last_event=turn.last_event.decode('latin-1'),
        )

    async def _relay(
        self,
        turn: _Turn,
        head: client.Head,
        attempt: forwarding.Attempt,
        responder: server.Responder,
    ) -> None:
        """Forward complete events to the caller as they arrive.

        An incomplete event at the end of a stream is not forwarded.
        """
        parser = sse.EventParser()
        turn.order.begin_run()
        # The head is sent with the first event. Until then, another target
        # can still serve the request.
        while chunk := await attempt.read_chunk():
            for event in _feed(parser, chunk):
                if not self._is_next(turn, event, attempt.target):
                    continue
                if not responder.is_started:
                    self._start(turn, head, responder)
                    self._record_origin(turn, attempt.target)
                self._record_text(turn, event)
                responder.write(event.raw)
                if event.data is not None:
                    turn.event_count += 1
                    if turn.progress.route.keeps_history:
                        await turn.add_data(event.data)
            await responder.drain()
        if parser.pending:
            raise client.BadAnswer('the stream ended within an event')
        if not responder.is_started:
            self._start(turn, head, responder)

    def _is_next(
        self, turn: _Turn, event: sse.StreamEvent, target: messages.Target
    ) -> bool:
        """Return whether to pass an event on to the caller.

        Raise ``BadAnswer`` if its run does not go on after the last event.
        """
        last_event = turn.last_event
        decision = turn.order.decide(event)
        match decision:
            case event_order.Decision.PASS_ON:
                return True
            case event_order.Decision.DROP:
                log_event = log_events.EVENT_REPEATED
            case event_order.Decision.LEAVE_RUN:
                log_event = log_events.RUN_NOT_JOINED
        self._context.metrics.event_order_faults.add(
            1, target=target.name, decision=decision.value
        )
        self._context.log.write(
            log_event,
            request=turn.call.request,
            target=target.name,
            software=target.software_version,
            last_event=_describe_id(last_event),
            event_id=_describe_id(event.event_id),
        )
        if decision is event_order.Decision.LEAVE_RUN:
            raise client.BadAnswer('the run does not continue the stream')
        return False

    def _record_origin(self, turn: _Turn, target: messages.Target) -> None:
        """Record which target sent the first event of a response.

        When the caller has resumed the stream, it may do so once more.
        """
        progress = turn.progress
        call = progress.call
        is_resumed = progress.origin is not None
        if not is_resumed:
            progress.origin = messages.StreamOrigin(
                target.service, target.software_version
            )
        if not progress.route.is_resumable:
            return
        lifetime = _compute_lifetime(progress)
        recorder = self._context.resumptions
        if is_resumed:
            stream = _name_stream(progress, call.resumes or '')
            recorder.record_resumed(stream, progress.origin, lifetime)
        else:
            stream = _name_stream(progress, call.request)
            recorder.record_begun(stream, progress.origin, lifetime)

    def _record_text(self, turn: _Turn, event: sse.StreamEvent) -> None:
        """Record an event that the caller may name when it resumes."""
        progress = turn.progress
        route = progress.route
        if not (route.keeps_history and route.is_resumable):
            return
        if turn.recorder is None:
            turn.recorder = self._context.stream_texts.begin(
                _name_text(progress),
                progress.qualify(progress.call.request),
                _compute_lifetime(progress),
                turn.resumed,
            )
        event_id = event_order.strip_id(event.event_id)
        if event.data is None and event_id is None:
            return
        data = b'' if event.data is None else event.data + b'\n'
        turn.recorder.add(data, event_id or b'')

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

    async def _save(self, turn: _Turn) -> None:
        progress = turn.progress
        call = progress.call
        previous = call.previous_turn
        new_text = turn.make_new_text()
        await turn.held.prepare_saving(len(new_text))
        try:
            await self._context.histories.save(
                progress.qualify(call.request),
                progress.qualify(previous) if previous else '',
                turn.history,
                new_text,
                self._store_waiting.find_save_deadline(progress),
            )
        except store_module.StoreError as error:
            raise refusals.RefusalError(
                refusals.Reason.NOT_SAVED, str(error)
            ) from error
