"""Indexes the records of a run for the checks."""

import collections
import typing

from vanillayoke.soak import records

# Effects of a fault on an instance may last this long after its end.
FAULT_AFTERMATH_SECONDS = 3.0
# The deadline of callers' requests.
MAX_REQUEST_SECONDS = 3.0
# Kinds of faults that may keep updates from an instance.
UPDATE_BLOCKING_KINDS = frozenset(
    ('kill', 'freeze', 'link', 'store', 'server')
)
# Kinds of faults that may cut requests; others, as stops, must not.
CUTTING_KINDS = frozenset(
    (
        'kill',
        'freeze',
        'replace',
        'isolate',
        'store',
        'server',
        'link',
        'stream',
        'burst',
        'crowd',
    )
)


class History:
    """The records of a run, by request, server or kind."""

    def __init__(self, bounds: records.Bounds) -> None:
        self.bounds = bounds
        self.sent: dict[str, records.Sent] = {}
        self.answered: dict[str, records.Answered] = {}
        self.started: dict[str, list[records.Started]] = (
            collections.defaultdict(list)
        )
        self.ended: list[records.Ended] = []
        # By instance, the record with the highest peak.
        self.memory: dict[str, records.Memory] = {}
        self.probed: records.Probed | None = None
        self.leaving: dict[str, float] = {}
        self.accepted: list[records.Accepted] = []
        self.processes: list[records.Process] = []
        self.disturbed: list[records.Disturbed] = []

    def add(self, record: records.Record) -> None:
        """Add a record."""
        match record:
            case records.Sent():
                self.sent[record.request] = record
            case records.Answered():
                self.answered[record.request] = record
            case records.Started():
                self.started[record.request].append(record)
            case records.Ended():
                self.ended.append(record)
            case records.Memory():
                before = self.memory.get(record.instance, record)
                if record.peak >= before.peak:
                    self.memory[record.instance] = record
            case records.Probed():
                self.probed = record
            case records.Leaving():
                self.leaving.setdefault(record.server, record.at)
            case records.Accepted():
                self.accepted.append(record)
            case records.Process():
                self.processes.append(record)
            case records.Disturbed():
                self.disturbed.append(record)

    def list_pairs(
        self, cutoff: float
    ) -> typing.Iterator[tuple[records.Sent, records.Answered]]:
        """Yield requests that ended by ``cutoff`` with their responses."""
        for name, answered in self.answered.items():
            sent = self.sent.get(name)
            if sent is not None and answered.at <= cutoff:
                yield sent, answered

    def is_disturbed(
        self, since: float, until: float, kinds: frozenset[str]
    ) -> bool:
        """Return whether faults of these kinds affect an interval.

        A fault counts for ``FAULT_AFTERMATH_SECONDS`` after its end as well.
        """
        return any(
            record.kind.split('_')[0] in kinds
            and record.at <= until
            and record.until + FAULT_AFTERMATH_SECONDS >= since
            for record in self.disturbed
        )


def parse_events(body: str) -> list[tuple[int, str]]:
    """Return the numbers and data of the complete events in a body."""
    events = []
    for block in body.split('\n\n')[:-1]:
        number, data = 0, ''
        for line in block.split('\n'):
            name, _, value = line.partition(': ')
            if name == 'id':
                number = int(value)
            elif name == 'data':
                data = value
        events.append((number, data))
    return events


def list_events(history: History, request: str) -> list[tuple[int, str]]:
    """Return the events that a caller has after a response to a request.

    If it has resumed a stream, these include those of earlier responses.
    """
    events = parse_events(history.answered[request].body)
    sent = history.sent[request]
    if not sent.last_request:
        return events
    earlier = list_events(history, sent.last_request)
    return [event for event in earlier if event[0] <= sent.last_event] + events


def build_chain_text(history: History, turn: str) -> str:
    """Return the text of a chain up to and including a turn."""
    texts = []
    while turn:
        sent = history.sent[turn]
        events = list_events(history, turn)
        data = ''.join(f'{data}\n' for _, data in events)
        texts.append(sent.body + data)
        turn = sent.previous
    return ''.join(reversed(texts))


def parse_version(sent: records.Sent) -> int:
    """Return the version whose route a request uses.

    Returns 0 if the route doesn't belong to a version.
    """
    route = sent.target.split('/')[1]
    return int(route[1:]) if route[1:].isdigit() else 0
