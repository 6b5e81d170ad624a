"""Datagram messages between instances: requests, responses, notifications.

Structs are encoded as arrays, so the order of fields is part of the protocol.
"""

import functools

import msgspec

from vanillayoke.core import figures
from vanillayoke.scheduling import program_slack
from vanillayoke.scheduling import quotas
from vanillayoke.scheduling import zone_loads


class Reserve(msgspec.Struct, frozen=True, array_like=True, tag='R'):
    """Reserve the tokens that a turn may generate from its program's budget.

    ``need`` is the most that it may generate, ``time_left`` the program's in
    seconds. ``allow_credit`` lets the coordinator grant tokens while the store
    is unavailable. It is not set for turns whose history is kept: they can't
    go on without the store, and the credit would be lost if all instances
    ended together.
    """

    program: str
    budget: figures.Count
    turn: str
    need: figures.Count
    session: str = ''
    route: str = ''
    time_left: figures.Seconds | None = None
    allow_credit: bool = False


class Settle(msgspec.Struct, frozen=True, array_like=True, tag='S'):
    """Settle the reservation of a turn that has ended.

    ``used`` counts the tokens that it generated. ``delay`` is the time in
    seconds that it took beyond the typical duration. ``target`` is where the
    turn completed, if it did: its prompt and answer are cached there.
    """

    program: str
    turn: str
    used: figures.Count
    session: str = ''
    delay: figures.Seconds = 0.0
    target: str | None = None


class Transfer(msgspec.Struct, frozen=True, array_like=True, tag='T'):
    """Transfer unused tokens that the sender was granted to the receiver."""

    program: str
    tokens: figures.Count


class HandOver(msgspec.Struct, frozen=True, array_like=True, tag='H'):
    """Hand over the free tokens of a program to its new coordinator.

    ``requester`` is the instance that sends this and now coordinates it.
    """

    program: str
    requester: str = ''


class LoadQuery(msgspec.Struct, frozen=True, array_like=True, tag='C'):
    """Query the load of a target."""

    target: str


class Performance(msgspec.Struct, frozen=True, array_like=True):
    """How fast a target works; whole numbers make it short.

    ``contention`` was reported ``age_ms`` ago, in percent of the usual time of
    work. ``pace`` is the time for one unit of work in millionths of a second
    or of the usual time, see ``scheduling.target_load``. Both are ``None`` if
    unknown. In responses, ``silence_ms`` is the time since the coordinator was
    last notified of a request at the target.
    """

    contention: figures.Count | None
    age_ms: figures.Ordinal
    pace: figures.Ordinal | None
    silence_ms: figures.Ordinal = 0


class LoadResponse(msgspec.Struct, frozen=True, array_like=True, tag='N'):
    """The load of a target.

    ``requests`` is the estimated number of running requests,
    ``latency_ratio`` their duration relative to the typical one. ``waiting``
    counts the requests that wait for a slot at the coordinator.
    ``performance`` is ``None`` if the target does not report its contention.
    """

    requests: figures.Amount
    latency_ratio: figures.Amount
    waiting: figures.Count = 0
    performance: Performance | None = None


class UsageRecord(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one program that were admitted ``age_ms`` ago.

    ``count`` is negative if it takes back requests that did not run.
    ``priority`` is that of the route if the requests may have started the
    program and priorities are used.
    """

    age_ms: figures.Ordinal
    program: str
    route: str
    count: figures.SignedCount
    priority: figures.SignedCount | None = None


class UsageReport(msgspec.Struct, frozen=True, array_like=True, tag='L'):
    """Report what a process has used of an organisation's limit.

    ``reporter`` names the process, which differs between processes of one
    instance. ``limit`` is that of ``version`` of the configuration.
    ``is_full`` says that ``records`` cover the whole window instead of what is
    unreported, and ``is_reassigned`` that earlier reports went to another
    instance. ``pending`` is the program and route of a request that waits for
    admission, ``priority`` as in ``UsageRecord``.
    """

    organisation: str
    reporter: str
    limit: quotas.Limit
    version: figures.Ordinal
    records: tuple[UsageRecord, ...] = ()
    is_full: bool = False
    is_reassigned: bool = False
    pending: tuple[str, str] | None = None
    priority: figures.SignedCount | None = None


class LimitStatus(msgspec.Struct, frozen=True, array_like=True, tag='A'):
    """The status of an organisation with regard to its limit.

    Near the limit each request needs to be admitted by the coordinator.
    ``refusal_reason`` says why the pending request was not admitted;
    ``retry_after`` is in seconds, and ``is_new_program`` says that its program
    has no earlier request. ``urgent`` requests are kept for more urgent
    programs; otherwise the request would have been admitted.
    """

    is_near_limit: bool
    refusal_reason: str | None = None
    retry_after: figures.Seconds = 0.0
    is_new_program: bool = False
    urgent: figures.Count = 0


class RequestStarted(msgspec.Struct, frozen=True, array_like=True, tag='B'):
    """A request was sent to a target, for at most ``max_duration`` seconds."""

    target: str
    request: str
    max_duration: figures.Seconds


class RequestEnded(msgspec.Struct, frozen=True, array_like=True, tag='E'):
    """A request has ended at a target.

    ``reported_count`` is the number of requests that the target reported to
    have. ``latency_ratio`` is the duration relative to the typical one of such
    requests. ``performance`` is what the response told; ``None`` if the target
    does not report its contention. A notification without a request only
    reports the performance, before the end of a response.
    """

    target: str
    request: str
    reported_count: figures.Count | None
    latency_ratio: figures.Amount | None
    performance: Performance | None = None


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag='Q'):
    """Request a slot of a target.

    ``ticket`` is unique among all waits; the request is repeated with it while
    it waits. ``slots`` is the number of slots as the requester knows it. Times
    are in seconds from now: ``slack`` until the slack is used up, ``in_time``
    until the latest start with which the program can end in time,
    ``time_left`` until the request has to be complete. ``waited`` is the time
    since the first request with this ticket.
    """

    target: str
    ticket: str
    request: str
    organisation: str
    weight: figures.Amount
    priority: figures.SignedCount
    is_first: bool
    slack: figures.Seconds
    in_time: figures.Seconds
    time_left: figures.Seconds
    slots: figures.Count
    waited: figures.Seconds


class SlotGranted(msgspec.Struct, frozen=True, array_like=True, tag='O'):
    """A slot was granted; it expires if the request does not start soon."""


class SlotRefused(msgspec.Struct, frozen=True, array_like=True, tag='F'):
    """The request can't start in time, or too many others wait.

    ``retry_after`` is the time in seconds after which there is capacity.
    ``position`` is the request's position among those that wait, and
    ``predicted`` the predicted wait in seconds.
    """

    retry_after: figures.Seconds
    reason: str
    position: figures.Count
    predicted: figures.Seconds


class SlotCancelled(msgspec.Struct, frozen=True, array_like=True, tag='K'):
    """A request no longer waits for a slot, or does not use its grant."""

    target: str
    ticket: str


class HandedOver(msgspec.Struct, frozen=True, array_like=True, tag='D'):
    """The tokens handed over; they now belong to the requester.

    ``receivers`` are the instances that earlier got tokens of the program from
    the responding instance. ``settled_creditor`` names the responding process
    if it has recorded all credit that it gave and gives no more; ``''`` says
    that it may owe some. ``was_only_coordinator`` says that no other instance
    can have given credit.
    """

    tokens: figures.Count
    receivers: tuple[str, ...] = ()
    settled_creditor: str = ''
    was_only_coordinator: bool = False


class Granted(msgspec.Struct, frozen=True, array_like=True, tag='G'):
    """A reservation was made or settled.

    ``slack`` is the remaining slack of the program, ``target`` the one that
    has cached most of the prompt; both are ``None`` if unknown.
    """

    slack: program_slack.Slack | None = None
    target: str | None = None


class BudgetExhausted(msgspec.Struct, frozen=True, array_like=True, tag='X'):
    """The remaining budget does not cover the turn."""


class Pending(msgspec.Struct, frozen=True, array_like=True, tag='P'):
    """The final response follows; it takes a call to the store or a wait."""


class Unavailable(msgspec.Struct, frozen=True, array_like=True, tag='U'):
    """The request can't be served.

    ``is_store_unavailable`` says that the store is the reason; otherwise the
    instance is stopping, or the turn was already settled.
    """

    is_store_unavailable: bool


class TargetLoads(msgspec.Struct, frozen=True, array_like=True, tag='Y'):
    """The load of those targets that the sender coordinates.

    They are in the zone of the sender. ``version`` is the start of its process
    and a counter.
    """

    zone: str
    reporter: str
    version: zone_loads.Version
    services: tuple[zone_loads.ServiceLoad, ...]


class ZoneLoads(msgspec.Struct, frozen=True, array_like=True, tag='Z'):
    """The loads of some zones."""

    zones: tuple[zone_loads.ZoneReport, ...]


class ProgramQuery(msgspec.Struct, frozen=True, array_like=True, tag='V'):
    """Ask a program's coordinator whether it has begun.

    ``is_second`` is set for the second instance in rank, where turns reserve
    if the coordinator does not respond.
    """

    program: str
    is_second: bool = False


class ProgramStatus(msgspec.Struct, frozen=True, array_like=True, tag='W'):
    """What is known of a program.

    ``is_begun`` is also set if the program may have begun. ``waited_ms`` is
    the time since it was first refused, ``wait_ms`` the time until it will be
    admitted, if that was promised.
    """

    is_begun: bool
    waited_ms: figures.Ordinal | None = None
    wait_ms: figures.Ordinal | None = None


class ProgramRefused(msgspec.Struct, frozen=True, array_like=True, tag='J'):
    """A program was refused; it will be admitted in ``wait_ms`` if given."""

    program: str
    wait_ms: figures.Ordinal | None = None


class StreamBegun(msgspec.Struct, frozen=True, array_like=True, tag='b'):
    """A caller gets the first event of a resumable stream.

    ``request`` is the one that began it, ``session`` its program and session,
    empty without a program; ``content`` is its fingerprint then. ``service``
    and ``software_version`` are its target's. It may be resumed for at most
    ``lifetime_ms``.
    """

    request: str
    session: str
    service: str
    software_version: str
    lifetime_ms: figures.Ordinal
    content: str = ''


class StreamText(msgspec.Struct, frozen=True, array_like=True, tag='x'):
    """A part of the text that a caller gets of a resumable stream.

    ``key`` stands for what the stream's requests ask for, in their session;
    the other fields are as in ``programs.stream_records``.
    """

    key: str
    request: str
    first: str
    depth: figures.Count
    number: figures.Count
    data: bytes
    event_id: bytes | None
    lifetime_ms: figures.Ordinal


class TextQuery(msgspec.Struct, frozen=True, array_like=True, tag='p'):
    """Ask for the text that a caller has who resumes a stream.

    ``first`` is the request that began the stream, empty if the caller does
    not say. The text is wanted from ``offset`` to the event ``last_id``.
    """

    key: str
    first: str
    last_id: bytes
    offset: figures.Count = 0


class KnownText(msgspec.Struct, frozen=True, array_like=True):
    """A response of a stream, and its text up to an event.

    ``digest`` is ``None`` if that text is not known.
    """

    request: str
    first: str
    depth: figures.Count
    size: figures.Count
    digest: bytes | None


class KnownTexts(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """What an instance knows of the responses to equal requests.

    ``data`` is of the first of them whose text is known.
    """

    texts: tuple[KnownText, ...]
    data: bytes


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag='q'):
    """Ask which software version began a stream that a caller resumes.

    ``request`` is the one that began it, empty if the caller does not say;
    ``session`` and ``content`` are as in ``StreamBegun``. The other fields are
    for instances of earlier releases.
    """

    request: str
    session: str
    route: str = ''
    service: str = ''
    window_ms: figures.Ordinal = 1
    content: str = ''


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True, tag='o'):
    """The service and software version that began a stream, if recorded.

    ``only_version`` is for instances of earlier releases.
    """

    origin: tuple[str, str] | None
    only_version: None = None


class VersionQuery(msgspec.Struct, frozen=True, array_like=True, tag='v'):
    """Ask which software versions streams of a route may have begun at.

    ``service`` is the only one that ``route`` leads to. Streams that began
    more than ``window_ms`` ago have ended.
    """

    route: str
    service: str
    window_ms: figures.Ordinal


class ServedVersions(msgspec.Struct, frozen=True, array_like=True, tag='w'):
    """All software versions that a service had within a window.

    ``None`` if that is not known, or could not be confirmed.
    """

    versions: tuple[str, ...] | None


class ProcessEnd(msgspec.Struct, frozen=True, array_like=True):
    """A target's process that ended ``age_ms`` ago under a request.

    ``started`` is the start of the process in milliseconds since 1970. The
    request had reached it ``ran_ms`` before its end. ``versions`` are those of
    the service's software that were deployed then, ``number`` counts the ends
    that an instance saw of one ``started``.
    """

    target: str
    started: figures.Ordinal
    service: str
    software_version: str
    age_ms: figures.Ordinal
    ran_ms: figures.Ordinal
    versions: tuple[str, ...]
    number: figures.Count


class WholeRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended whole ``age_ms`` ago at a target of some software."""

    service: str
    software_version: str
    age_ms: figures.Ordinal


class SuspectQuery(msgspec.Struct, frozen=True, array_like=True, tag='e'):
    """Ask the coordinator of a suspect whether it may run now.

    ``fingerprint`` is that of the request, ``ticket`` names the request
    among all that ask. ``ends`` and ``completed``, the last run that ended
    whole, are what the sender knows. The run lasts at most
    ``time_left_ms``; 0 only tells what is known, and that no run with this
    ticket is under way any more.
    """

    fingerprint: str
    ticket: str
    ends: tuple[ProcessEnd, ...]
    completed: WholeRun | None
    time_left_ms: figures.Ordinal


class TargetQuery(msgspec.Struct, frozen=True, array_like=True, tag='t'):
    """Ask the coordinator of a target whether a suspect may run there now.

    An exclusive run has no other suspect beside it. ``ticket`` and
    ``time_left_ms`` are as in ``SuspectQuery``; 0 ends the run.
    """

    target: str
    ticket: str
    is_exclusive: bool
    time_left_ms: figures.Ordinal


class SuspectStatus(msgspec.Struct, frozen=True, array_like=True, tag='s'):
    """What the coordinator knows of a suspect.

    ``is_permitted`` says that it may run, and no other run of it is under way.
    Otherwise the sender decides again with what it has learned. It answers a
    ``TargetQuery``, too, then without ends.
    """

    ends: tuple[ProcessEnd, ...]
    completed: WholeRun | None
    is_permitted: bool


class SuspectReport(msgspec.Struct, frozen=True, array_like=True, tag='i'):
    """What the sender knows of a suspect; fields as in ``SuspectQuery``."""

    fingerprint: str
    ends: tuple[ProcessEnd, ...]
    completed: WholeRun | None


class ConfigurationVersion(msgspec.Struct, frozen=True, array_like=True):
    """The newest version of the configuration that the sender knows.

    ``address`` is the sender's for datagrams, ``relay`` the one where it
    forwards calls to the store.
    """

    version: figures.Ordinal
    address: str
    relay: str


# The first field of each message that earlier deployments do not use. It and
# those after it are left out while they have their defaults.
_FIRST_NEW_FIELDS = {
    LoadResponse: 'waiting',
    StreamBegun: 'content',
    OriginQuery: 'content',
    RequestEnded: 'performance',
    UsageRecord: 'priority',
    UsageReport: 'priority',
    LimitStatus: 'urgent',
}


@functools.cache
def _list_new_fields(kind: type) -> list[msgspec.structs.FieldInfo]:
    """Return the new fields of a message, the last one first."""
    first = _FIRST_NEW_FIELDS.get(kind)
    fields = msgspec.structs.fields(kind)
    names = [field.name for field in fields]
    return [] if first is None else fields[names.index(first) :][::-1]


def omit_defaults(message: msgspec.Struct) -> msgspec.Struct | tuple:
    """Return what to encode instead of a message.

    A message without new fields is the same as before they existed. Structs
    that are encoded as arrays do not omit defaults by themselves.
    """
    if isinstance(message, UsageReport):
        records = tuple(omit_defaults(record) for record in message.records)
        message = msgspec.structs.replace(message, records=records)
    count = 0
    for field in _list_new_fields(type(message)):
        if getattr(message, field.name) != field.default:
            break
        count += 1
    if not count:
        return message
    values = msgspec.structs.astuple(message)
    tag = message.__struct_config__.tag
    tags = () if tag is None else (tag,)
    return (*tags, *values[:-count])


Request = (
    Reserve
    | Settle
    | Transfer
    | HandOver
    | LoadQuery
    | UsageReport
    | SlotRequest
    | ProgramQuery
    | OriginQuery
    | VersionQuery
    | TextQuery
    | SuspectQuery
    | TargetQuery
)
Response = (
    Granted
    | BudgetExhausted
    | Pending
    | Unavailable
    | HandedOver
    | LoadResponse
    | LimitStatus
    | SlotGranted
    | SlotRefused
    | ProgramStatus
    | StreamOrigin
    | ServedVersions
    | KnownTexts
    | SuspectStatus
)
# Not acknowledged. A lost one makes the load less exact for a time, or leaves
# one replica fewer of a stream's origin, of its text or of a suspect.
Notification = (
    RequestStarted
    | RequestEnded
    | SlotCancelled
    | TargetLoads
    | ZoneLoads
    | ProgramRefused
    | StreamBegun
    | StreamText
    | SuspectReport
)
