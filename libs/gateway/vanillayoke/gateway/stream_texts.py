"""The text that callers have of streams which they resume.

A turn whose history is kept is stored with all its events. Those before a
break came with another response, often of an instance that is gone. Where a
route keeps histories and its streams may be resumed, the events are therefore
replicated as the records of origins are, before the caller gets them.

They are taken only if it is certain which ones the caller has; else the stream
does not continue, and the caller begins anew.
"""

import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import memory
from vanillayoke.core import timers
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import refusals
from vanillayoke.gateway import resumptions
from vanillayoke.gateway import stream_replicas
from vanillayoke.programs import stream_records

# Of the text in one datagram.
MAX_PART_BYTES = 8 * 1024
# An instance that did not answer may have been busy for a moment.
SILENCE_RETRY_SECONDS = 0.02


class Stream(typing.NamedTuple):
    """A stream as its caller names it.

    ``replica_key`` determines the instances with records. ``content`` is the
    fingerprint of its requests, and ``first`` the one that began it, empty if
    the caller does not say.
    """

    replica_key: str
    content: str
    first: str = ''

    @property
    def key(self) -> str:
        """What the requests ask for, in their session."""
        return f'{self.replica_key}\n{self.content}'


class Resumed(typing.NamedTuple):
    """The response that a caller goes on from, and what it has of it."""

    response: stream_records.Response
    text: bytes
    last_id: bytes


class Recorder:
    """Records the text of one response, event by event."""

    def __init__(
        self, publish: typing.Callable[[stream_records.Part], None]
    ) -> None:
        self._publish = publish
        self._size = 0
        self._part_count = 0

    def add(self, data: bytes, event_id: bytes) -> None:
        """Record the text of an event; ``event_id`` is empty without one."""
        self._size += len(data)
        # The records end with the first event that is too much.
        if self._size > stream_records.MAX_TEXT_BYTES:
            return
        while len(data) > MAX_PART_BYTES:
            self._add_part(data[:MAX_PART_BYTES], None)
            data = data[MAX_PART_BYTES:]
        self._add_part(data, event_id)

    def _add_part(self, data: bytes, event_id: bytes | None) -> None:
        part = stream_records.Part(self._part_count, data, event_id)
        self._part_count += 1
        self._publish(part)


class StreamTexts:
    """Records what callers get of streams, and finds what they have."""

    def __init__(
        self,
        replicas: stream_replicas.StreamReplicas,
        timer_service: timers.TimerService,
        log: logs.Logger,
        account: memory.Account | None = None,
    ) -> None:
        self._replicas = replicas
        self._timers = timer_service
        self._log = log
        self._account = account
        self._records = stream_records.StreamRecords()
        self._counted_bytes = 0

    # Recording

    def begin(
        self,
        stream: Stream,
        request: str,
        lifetime: float,
        resumed: Resumed | None = None,
    ) -> Recorder:
        """Return what records the response to a request.

        The caller may resume it for ``lifetime`` seconds after an event.
        """
        response = stream_records.Response(request, request, 0)
        if resumed is not None:
            former = resumed.response
            response = stream_records.Response(
                request, former.first, former.depth + 1
            )
        # An instance that joined later would lack the parts before.
        recipients = self._replicas.list_recipients(stream.replica_key)
        lifetime = min(lifetime, resumptions.MAX_LIFETIME_SECONDS)

        def publish(part: stream_records.Part) -> None:
            message = peer_messages.StreamText(
                stream.key, *response, *part, round(1000 * lifetime)
            )
            self.receive(message)
            self._replicas.notify(recipients, message)

        recorder = Recorder(publish)
        if resumed is not None:
            recorder.add(resumed.text, resumed.last_id)
        return recorder

    def receive(self, message: peer_messages.StreamText) -> None:
        """Record a part of a response that any instance sends."""
        # All records are dropped when the pressure begins.
        if self._account is not None and self._account.is_under_pressure:
            return
        self._records.add(
            message.key,
            stream_records.Response(
                message.request, message.first, message.depth
            ),
            stream_records.Part(
                message.number, message.data, message.event_id
            ),
            self._timers.now(),
            min(message.lifetime_ms / 1000, resumptions.MAX_LIFETIME_SECONDS)
            + resumptions.LIFETIME_MARGIN_SECONDS,
        )
        self._count()

    # Finding

    async def find(
        self, request: str, stream: Stream, last_id: bytes
    ) -> Resumed:
        """Return what the caller has of a stream that ``request`` resumes.

        Raise ``RefusalError`` if that is not certain.
        """
        query = peer_messages.TextQuery(stream.key, stream.first, last_id)
        responses = await self._query(stream, query)
        prefix = self._choose(stream, last_id, responses)
        text = await self._fetch(stream, query, prefix, responses)
        self._log.write(
            log_events.EVENTS_FOUND,
            request=request,
            resumes=prefix.response.request,
            bytes=len(text),
            instances=len(responses),
        )
        return Resumed(prefix.response, text, last_id)

    async def _query(
        self, stream: Stream, query: peer_messages.TextQuery
    ) -> dict[str, peer_messages.KnownTexts]:
        """Return the responses of other instances by their names."""
        answers = self._replicas.query(
            stream.replica_key, query, self._timers.now()
        )
        return {
            instance: response
            async for instance, response in answers
            if isinstance(response, peer_messages.KnownTexts)
        }

    def _choose(
        self,
        stream: Stream,
        last_id: bytes,
        responses: typing.Mapping[str, peer_messages.KnownTexts],
    ) -> stream_records.Prefix:
        """Return the response that the caller has up to an event."""
        replicas = self._replicas.list_replicas(stream.replica_key)
        silent = replicas - responses.keys()
        if silent:
            raise refusals.RefusalError(
                refusals.Reason.EVENTS_UNKNOWN,
                f'no response from {", ".join(sorted(silent))}',
                SILENCE_RETRY_SECONDS,
            )
        own = self._records.list_prefixes(
            stream.key, last_id, self._timers.now()
        )
        reports, others = [], []
        if self._replicas.is_replica(stream.replica_key):
            reports.append(own)
        else:
            others += own
        for instance, response in responses.items():
            prefixes = [_decode(known) for known in response.texts]
            if instance in replicas:
                reports.append(prefixes)
            else:
                others += prefixes
        prefix = stream_records.choose(reports, others, stream.first)
        if prefix is None:
            counts = ', '.join(str(len(report)) for report in reports)
            raise refusals.RefusalError(
                refusals.Reason.EVENTS_UNKNOWN,
                f'replicas know {counts} responses, others {len(others)}',
            )
        return prefix

    async def _fetch(
        self,
        stream: Stream,
        query: peer_messages.TextQuery,
        prefix: stream_records.Prefix,
        responses: typing.Mapping[str, peer_messages.KnownTexts],
    ) -> bytes:
        """Return a text that was chosen, reading on where it is long."""
        request = prefix.response.request
        text = self._records.find_text(
            query.key, request, query.last_id, self._timers.now()
        )
        if text is not None:
            return text
        text = b''
        while len(text) < prefix.size:
            if text:
                following = peer_messages.TextQuery(
                    query.key, query.first, query.last_id, len(text)
                )
                responses = await self._query(stream, following)
            data = _find_data(responses.values(), prefix.digest)
            if not data:
                break
            text += data
        if stream_records.compute_digest(text) != prefix.digest:
            raise refusals.RefusalError(
                refusals.Reason.EVENTS_UNKNOWN,
                f'{len(text)} of {prefix.size} bytes read',
                SILENCE_RETRY_SECONDS,
            )
        return text

    def handle_query(
        self, query: peer_messages.TextQuery
    ) -> peer_messages.KnownTexts:
        """Respond with what this instance knows of a stream."""
        now = self._timers.now()
        prefixes = stream_records.list_newest(
            self._records.list_prefixes(query.key, query.last_id, now),
            query.first,
        )
        data = b''
        for prefix in prefixes:
            if prefix.digest is not None:
                request = prefix.response.request
                text = self._records.find_text(
                    query.key, request, query.last_id, now
                )
                data = text[query.offset :][:MAX_PART_BYTES]
                break
        texts = tuple(
            peer_messages.KnownText(
                *prefix.response, prefix.size, prefix.digest
            )
            for prefix in prefixes
        )
        return peer_messages.KnownTexts(texts, data)

    # Memory

    def prune(self) -> None:
        """Forget streams that callers can't resume any more."""
        self._records.prune(self._timers.now())
        self._count()

    def clear(self) -> None:
        """Forget all streams; their callers begin anew after a break."""
        self._records.clear()
        self._count()

    def _count(self) -> None:
        """Account for what the records hold."""
        previous = self._counted_bytes
        self._counted_bytes = self._records.total_bytes
        if self._account is not None:
            self._account.add(
                memory.Kind.HISTORIES, self._counted_bytes - previous
            )


def _decode(known: peer_messages.KnownText) -> stream_records.Prefix:
    response = stream_records.Response(known.request, known.first, known.depth)
    return stream_records.Prefix(response, known.size, known.digest)


def _find_data(
    responses: typing.Iterable[peer_messages.KnownTexts], digest: bytes
) -> bytes:
    """Return the data of a response that is of the text with a digest."""
    for response in responses:
        known = [text.digest for text in response.texts if text.digest]
        if known and known[0] == digest:
            return response.data
    return b''
