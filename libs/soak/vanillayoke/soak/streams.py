"""Checks of streams that continue at another server or are resumed.

Model servers of two software versions serve side by side. A stream may only
continue at the version that began it, which the servers do not check.
"""

import random
import typing

from vanillayoke.soak import histories
from vanillayoke.soak import records
from vanillayoke.soak import violations

SOFTWARE_VERSIONS = 'v1', 'v2'
# A resumable route whose histories are kept.
KEPT_ROUTE = 'talk'
# Some callers do not name the request that began the stream.
UNNAMED_RATIO = 0.2
# With fewer resumed streams, their share says little.
MIN_RESUMED_COUNT = 12
MIN_SERVED_RATIO = 0.5
# A server with a run within this time of a request could have served it.
SERVING_SECONDS = 1.0
# Faults that break streams at a model server, with the maximum strength. They
# delay no updates of instances, so they are a family of their own.
KILL_KIND = 'stream_kill'
SERVER_KINDS = {'stream_cut': 6, KILL_KIND: 1}
# Breaks streams between an instance and its callers.
CALLER_KIND = 'stream_reset'
# Long streams, so that many are under way when one of these hits.
SLOW_KIND = 'stream_pace'
SLOW_EVENT_INTERVAL_SECONDS = 0.12
SLOW_SECONDS = 1.2
FAULT_DELAY_SECONDS = 0.6
MODEL_SERVERS = range(3)
FAULT_INTERVAL_SECONDS = 2.0
# Faults after which an instance may refuse streams that it could serve.
_FAULT_KINDS = frozenset(('kill', 'freeze', 'replace', 'isolate', 'store'))
# A stop of an instance while all others serve; other checks allow for none.
PLANNED_STOP_KIND = 'roll'
_STOP_KINDS = _FAULT_KINDS | {'term', PLANNED_STOP_KIND}


def find_origin(
    history: histories.History, request: str
) -> records.Started | None:
    """Return the run that sent the first event of a request's stream.

    Runs that broke off before their first event are repeated from the start,
    so it is the last one of those.
    """
    sent = history.sent.get(request)
    if sent is not None and sent.resumed:
        return find_origin(history, sent.resumed)
    runs = [
        run for run in history.started.get(request, ()) if not run.last_event
    ]
    return max(runs, key=lambda run: run.at, default=None)


def check_versions(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Find streams with events from servers of two software versions."""
    found = []
    for request, runs in history.started.items():
        continued = [run for run in runs if run.last_event]
        origin = find_origin(history, request) if continued else None
        if origin is None or origin.at > cutoff:
            continue
        found += [
            violations.Violation(
                'one software version',
                request,
                f'began at {origin.server} ({origin.software_version}) and'
                f' continued at {run.server} ({run.software_version})',
            )
            for run in continued
            if run.software_version != origin.software_version
        ]
    return found


def check_resumptions(
    history: histories.History, cutoff: float
) -> list[violations.Violation]:
    """Report if resumed streams are served far less often than new ones.

    Only those count for which two servers of their version served and no
    fault affected the instances. Turns whose history is kept are judged by
    themselves.
    """
    groups = {is_kept: _Starts() for is_kept in (False, True)}
    for sent, answered in history.list_pairs(cutoff):
        if not sent.is_resumable or answered.gave_up:
            continue
        if _is_disturbed(history, sent, answered):
            continue
        has_begun = bool(histories.parse_events(answered.body))
        starts = groups[_is_kept(sent)]
        if not sent.resumed:
            starts.new.append(has_begun)
        elif _count_serving(history, sent) >= 2:
            starts.resumed.append(has_begun)
    return [
        violations.Violation(
            'resumed streams',
            'kept turns' if is_kept else 'all',
            f'{sum(starts.resumed)} of {len(starts.resumed)} resumed streams'
            ' continued',
        )
        for is_kept, starts in groups.items()
        if starts.are_resumed_rarely
    ]


class _Starts:
    """Whether streams began or went on, of new and of resumed ones."""

    def __init__(self) -> None:
        self.new: list[bool] = []
        self.resumed: list[bool] = []

    @property
    def are_resumed_rarely(self) -> bool:
        """Whether far fewer of the resumed ones went on."""
        if len(self.resumed) < MIN_RESUMED_COUNT or not self.new:
            return False
        bound = MIN_SERVED_RATIO * sum(self.new) / len(self.new)
        return sum(self.resumed) < bound * len(self.resumed)


def _is_kept(sent: records.Sent) -> bool:
    return sent.target.startswith(f'/{KEPT_ROUTE}/')


def _is_disturbed(
    history: histories.History,
    sent: records.Sent,
    answered: records.Answered,
) -> bool:
    """Return whether an instance may refuse a stream that it could serve.

    A kept turn is resumed only if two instances with its events are certain to
    have all of them: not after one that has stopped since the turn began, nor
    while one that is gone for good is still known.
    """
    if not (_is_kept(sent) and sent.resumed):
        return history.is_disturbed(sent.at, answered.at, _FAULT_KINDS)
    begun = history.sent.get(sent.resumed, sent)
    has_replaced = any(
        record.kind.startswith('replace') and record.at <= answered.at
        for record in history.disturbed
    )
    return has_replaced or history.is_disturbed(
        begun.at, answered.at, _STOP_KINDS
    )


def _count_serving(history: histories.History, sent: records.Sent) -> int:
    """Return how many servers of a stream's version served at the time."""
    origin = find_origin(history, sent.resumed)
    if origin is None:
        return 0
    return len(
        {
            run.server
            for runs in history.started.values()
            for run in runs
            if run.software_version == origin.software_version
            and run.service == origin.service
            and abs(run.at - sent.at) <= SERVING_SECONDS
        }
    )


def count_subjects(history: histories.History) -> dict[str, int]:
    """Count the streams that continued, and those that callers resumed."""
    resumed = [
        (sent, history.answered.get(sent.request))
        for sent in history.sent.values()
        if sent.resumed
    ]
    return {
        'streams continued by an instance': sum(
            bool(run.last_event)
            for request, runs in history.started.items()
            for run in runs
            if not _is_resumed(history, request)
        ),
        'streams resumed by callers': len(resumed),
        'of these continued': sum(
            answered is not None and answered.status == 200
            for _, answered in resumed
        ),
    }


def _is_resumed(history: histories.History, request: str) -> bool:
    sent = history.sent.get(request)
    return sent is not None and bool(sent.resumed)


def choose_software_version(number: int, incarnation: int) -> str:
    """Return the version of a server's incarnation.

    Each incarnation has the other version than the one before, so that both
    versions come and go all the time.
    """
    return SOFTWARE_VERSIONS[(number + incarnation) % len(SOFTWARE_VERSIONS)]


class StreamFault(typing.NamedTuple):
    """A fault that breaks streams; the fields are those of plans.Fault."""

    at: float
    kind: str
    subject: int
    seconds: float
    strength: float


def generate_faults(seed: int, faulty: float) -> list[StreamFault]:
    """Generate faults that break streams of slow model servers."""
    rng = random.Random(f'streams {seed}')
    faults = []
    at = rng.uniform(0.0, FAULT_INTERVAL_SECONDS)
    while at + FAULT_DELAY_SECONDS < faulty:
        faults += [
            StreamFault(
                round(at, 2),
                SLOW_KIND,
                server,
                SLOW_SECONDS,
                SLOW_EVENT_INTERVAL_SECONDS,
            )
            for server in MODEL_SERVERS
        ]
        kind = rng.choice(list(SERVER_KINDS))
        strength = round(rng.uniform(0.4, 1.0) * SERVER_KINDS[kind], 2)
        server = rng.choice(MODEL_SERVERS)
        break_at = round(at + FAULT_DELAY_SECONDS, 2)
        faults += [
            StreamFault(break_at, kind, server, 0.2, strength),
            StreamFault(break_at, CALLER_KIND, rng.randrange(1000), 0.1, 1.0),
        ]
        at += rng.uniform(0.5, 1.5) * FAULT_INTERVAL_SECONDS
    return faults


class Resumption(typing.NamedTuple):
    """What a caller holds of a stream that it resumes.

    ``begun`` is the request that brought its first event, ``last_event`` the
    number of the last one, and ``last_request`` the request that brought that.
    """

    begun: str
    last_event: int
    last_request: str = ''


def make_resumption(
    sent_resumption: Resumption | None, answered: records.Answered
) -> Resumption | None:
    """Return how to resume a broken stream, ``None`` without any event."""
    events = histories.parse_events(answered.body)
    if events:
        begun = answered.request
        if sent_resumption is not None:
            begun = sent_resumption.begun
        return Resumption(begun, events[-1][0], answered.request)
    return sent_resumption
