"""The text of streams that callers may resume, as it was sent to them.

A turn's history has all of its events, also those that the caller got with an
earlier response. Targets may send other data when they run a turn again, so
the events of that very response are needed.
"""

import collections
import hashlib
import itertools
import typing

# Of one response. What is longer can't be resumed behind this.
MAX_TEXT_BYTES = 256 * 1024
MAX_RECORD_BYTES = 2 * MAX_TEXT_BYTES
# Of all streams together; the oldest are dropped beyond this.
MAX_TOTAL_BYTES = 8 * 1024 * 1024
# Counted for a record, and for each of its events, besides their bytes.
RECORD_BYTES = 1024
EVENT_BYTES = 128


class Response(typing.NamedTuple):
    """One response of a stream.

    ``request`` is the one that it answers, ``first`` the one that began the
    stream, and ``depth`` how often it had been resumed before.
    """

    request: str
    first: str
    depth: int


class Part(typing.NamedTuple):
    """A part of a response's text; the first one has the number 0.

    ``event_id`` belongs to the event that ends with the part. It is empty if
    the event has no ID, ``None`` if the event goes on.
    """

    number: int
    data: bytes
    event_id: bytes | None


class Prefix(typing.NamedTuple):
    """What is known of the text of a response up to an event.

    ``digest`` is ``None`` if that text is not known. ``size`` is in bytes.
    """

    response: Response
    size: int = 0
    digest: bytes | None = None


def compute_digest(text: bytes) -> bytes:
    """Return what tells texts apart."""
    return hashlib.sha256(text).digest()


class _Record:
    """What is known of one response; ``size`` is in bytes."""

    def __init__(self, key: str, response: Response) -> None:
        self.response = response
        self.expires_at = 0.0
        self.size = RECORD_BYTES + len(key)
        self._text = bytearray()
        self._part_count = 0
        # Parts that arrived before an earlier one, by their numbers.
        self._early: dict[int, Part] = {}
        # The length of the text up to an event, by its ID; None if a stream
        # can't go on from it.
        self._ends: dict[bytes, int | None] = {}
        self._last_id = b''

    def add(self, part: Part) -> None:
        """Add a part; those behind a gap wait for the part that is missing."""
        size = self.size + EVENT_BYTES
        size += len(part.data) + len(part.event_id or b'')
        is_known = part.number < self._part_count or part.number in self._early
        if is_known or size > MAX_RECORD_BYTES:
            return
        self.size = size
        self._early[part.number] = part
        while self._part_count in self._early:
            self._append(self._early.pop(self._part_count))
            self._part_count += 1

    def _append(self, part: Part) -> None:
        self._text += part.data
        if part.event_id is None:
            return
        if not part.event_id:
            # A run that goes on from the last ID would send it again.
            self._ends[self._last_id] = None
        elif part.event_id in self._ends:
            self._ends[part.event_id] = None
        else:
            self._ends[part.event_id] = len(self._text)
            self._last_id = part.event_id

    def get_text(self, last_id: bytes) -> bytes | None:
        """Return the text up to an event, ``None`` if it is not known."""
        end = self._ends.get(last_id)
        return None if end is None else bytes(self._text[:end])


class StreamRecords:
    """The records of recent streams.

    A key stands for what requests ask for, in their program and session. Times
    are in seconds.
    """

    def __init__(self) -> None:
        # The least recently extended ones first.
        self._records: collections.OrderedDict[tuple[str, str], _Record] = (
            collections.OrderedDict()
        )
        self._by_key: dict[str, dict[str, _Record]] = {}
        self.total_bytes = 0

    def add(
        self,
        key: str,
        response: Response,
        part: Part,
        now: float,
        lifetime: float,
    ) -> None:
        """Add the next part of a response, and keep it for ``lifetime``."""
        responses = self._by_key.setdefault(key, {})
        record = responses.get(response.request)
        if record is None:
            record = responses[response.request] = _Record(key, response)
            self.total_bytes += record.size
        self.total_bytes -= record.size
        record.add(part)
        self.total_bytes += record.size
        record.expires_at = now + lifetime
        self._records[key, response.request] = record
        self._records.move_to_end((key, response.request))
        while self.total_bytes > MAX_TOTAL_BYTES:
            self._remove(*next(iter(self._records)))

    def list_prefixes(
        self, key: str, last_id: bytes, now: float
    ) -> list[Prefix]:
        """Return what is known of all responses up to an event."""
        prefixes = []
        for record in self._list(key, now):
            text = record.get_text(last_id)
            if text is None:
                prefixes.append(Prefix(record.response))
            else:
                digest = compute_digest(text)
                prefixes.append(Prefix(record.response, len(text), digest))
        return prefixes

    def find_text(
        self, key: str, request: str, last_id: bytes, now: float
    ) -> bytes | None:
        """Return the text of a response up to an event, if it is known."""
        for record in self._list(key, now):
            if record.response.request == request:
                return record.get_text(last_id)
        return None

    def _list(self, key: str, now: float) -> list[_Record]:
        records = self._by_key.get(key, {}).values()
        return [record for record in records if record.expires_at > now]

    def prune(self, now: float) -> None:
        """Forget the streams whose lifetime has passed."""
        expired = [
            name
            for name, record in self._records.items()
            if record.expires_at <= now
        ]
        for name in expired:
            self._remove(*name)

    def clear(self) -> None:
        """Forget all streams."""
        self._records.clear()
        self._by_key.clear()
        self.total_bytes = 0

    def _remove(self, key: str, request: str) -> None:
        record = self._records.pop((key, request))
        self.total_bytes -= record.size
        responses = self._by_key[key]
        del responses[request]
        if not responses:
            del self._by_key[key]


def list_newest(
    prefixes: typing.Iterable[Prefix], first: str = ''
) -> list[Prefix]:
    """Return the prefixes of the newest responses of each stream.

    Where ``first`` is given, only the stream that it began counts.
    """
    found = [
        prefix
        for prefix in prefixes
        if not first or prefix.response.first == first
    ]
    depths: dict[str, int] = {}
    for prefix in found:
        stream = prefix.response.first
        depths[stream] = max(depths.get(stream, 0), prefix.response.depth)
    return [
        prefix
        for prefix in found
        if prefix.response.depth == depths[prefix.response.first]
    ]


def choose(
    reports: typing.Sequence[typing.Iterable[Prefix]],
    others: typing.Iterable[Prefix],
    first: str = '',
) -> Prefix | None:
    """Return the prefix that a caller has, ``None`` if that is not certain.

    ``reports`` are of the instances that should know all streams, ``others``
    of further ones. It is certain if the former know of the same responses and
    the latter of no other, and if all texts are the same.
    """
    newest = list_newest(itertools.chain(*reports, others), first)
    names = {prefix.response for prefix in newest}
    for report in reports:
        reported = {prefix.response for prefix in list_newest(report, first)}
        if reported != names:
            return None
    known = {prefix.response: prefix for prefix in newest if prefix.digest}
    digests = {prefix.digest for prefix in newest if prefix.digest}
    if not names or known.keys() != names or len(digests) != 1:
        return None
    return max(known.values(), key=lambda prefix: prefix.response.depth)
