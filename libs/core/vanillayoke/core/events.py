"""The catalogue of numbered events of logs and timelines.

A number is never reused for another event. Fields contain identifiers, kinds,
numbers and reasons, but no messages, arguments, keys or other client text.
"""

import enum
import typing


class Level(enum.IntEnum):
    """The severity of an event; logs omit events below their level."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class Event(typing.NamedTuple):
    """One kind of event; ``fields`` names all that is written with it.

    ``text`` is for operators and may name fields in braces.
    """

    number: int
    name: str
    level: Level
    text: str
    fields: tuple[str, ...] = ()


class Group(typing.NamedTuple):
    """Events of one part of the system, numbered from ``first``."""

    first: int
    title: str


GROUPS = (
    Group(100, 'Process'),
    Group(200, 'Leases and shards'),
    Group(300, 'Programs'),
    Group(400, 'Calls'),
    Group(500, 'Orders to targets'),
    Group(600, 'Configuration'),
    Group(700, 'Members and targets'),
    Group(800, 'Store'),
    Group(900, 'Callers'),
    Group(1000, 'Gateway'),
)

_BY_NUMBER: dict[int, Event] = {}


def _define(
    number: int, name: str, level: Level, text: str, *fields: str
) -> Event:
    if number in _BY_NUMBER:
        raise ValueError(f'event number {number} is used twice')
    event = Event(number, name, level, text, fields)
    _BY_NUMBER[number] = event
    return event


def find_event(number: int) -> Event | None:
    """Return the event with a number, or ``None``."""
    return _BY_NUMBER.get(number)


def list_events() -> list[Event]:
    """Return all events, sorted by number."""
    return [_BY_NUMBER[number] for number in sorted(_BY_NUMBER)]


_DEBUG = Level.DEBUG
_INFO = Level.INFO
_WARNING = Level.WARNING
_ERROR = Level.ERROR

PROCESS_STARTED = _define(
    100,
    'process_started',
    _INFO,
    'The process runs version {version} in {zone}.',
    'version',
    'zone',
)
PROCESS_STOPPED = _define(
    101,
    'process_stopped',
    _INFO,
    'The process ended after {seconds} s.',
    'seconds',
)
DRAIN_STARTED = _define(
    110,
    'drain_started',
    _INFO,
    'The instance started a graceful shutdown.',
    'reason',
)
DRAIN_STREAMS_ENDED = _define(
    111,
    'drain_streams_ended',
    _INFO,
    'Streams ended; {left} were cut at the end of the grace period.',
    'left',
)
DRAIN_SHARDS_RELEASED = _define(
    112,
    'drain_shards_released',
    _INFO,
    '{count} shards were handed over.',
    'count',
)
DRAIN_ENDED = _define(
    113,
    'drain_ended',
    _INFO,
    'The drain took {seconds} s.',
    'seconds',
)
DRAIN_CLOSED = _define(
    114,
    'drain_closed',
    _INFO,
    'No more requests are accepted, {seconds} s after the start of the'
    ' shutdown; {active} connections were in use.',
    'seconds',
    'active',
)
DRAIN_REQUESTS_ENDED = _define(
    115,
    'drain_requests_ended',
    _INFO,
    'The last request ended {seconds} s after the start of the shutdown;'
    ' {interrupted} were interrupted.',
    'seconds',
    'interrupted',
)
TASK_FAILED = _define(
    120,
    'task_failed',
    _ERROR,
    'The task {task} failed: {error}.',
    'task',
    'error',
)

LEASE_GAINED = _define(
    200,
    'lease_gained',
    _INFO,
    'The instance holds lease incarnation {incarnation}.',
    'incarnation',
)
LEASE_RENEWED = _define(
    201,
    'lease_renewed',
    _DEBUG,
    'The lease was renewed in {seconds} s.',
    'seconds',
)
LEASE_LOST = _define(
    202,
    'lease_lost',
    _ERROR,
    'The lease ran out: {reason}.',
    'reason',
)
FENCED = _define(
    203,
    'fenced',
    _ERROR,
    'Another instance took over incarnation {incarnation}: {reason}.',
    'incarnation',
    'reason',
)
SHARDS_GAINED = _define(
    210,
    'shards_gained',
    _INFO,
    '{count} shards gained, {owned} owned.',
    'count',
    'owned',
)
SHARDS_LOST = _define(
    211,
    'shards_lost',
    _INFO,
    '{count} shards given up or lost, {owned} owned.',
    'count',
    'owned',
)
TAKEOVER_STARTED = _define(
    220,
    'takeover_started',
    _WARNING,
    'Taking over from {holder}, whose lease ran out.',
    'holder',
)
TAKEOVER_ENDED = _define(
    221,
    'takeover_ended',
    _WARNING,
    'Took over {programs} programs of {holder} in {seconds} s.',
    'holder',
    'programs',
    'seconds',
)
TAKEOVER_FAILED = _define(
    222,
    'takeover_failed',
    _WARNING,
    'Taking over from {holder} failed: {reason}.',
    'holder',
    'reason',
)

PROGRAM_OPENED = _define(
    300,
    'program_opened',
    _INFO,
    'A program of agent {agent} was opened.',
    'program',
    'client',
    'agent',
)
PROGRAM_ENDED = _define(
    301,
    'program_ended',
    _INFO,
    'The program ended after {seconds} s and {calls} calls.',
    'program',
    'client',
    'seconds',
    'calls',
)
PROGRAM_STOPPED = _define(
    302,
    'program_stopped',
    _WARNING,
    'The program was stopped: {reason}.',
    'program',
    'client',
    'reason',
)
PROGRAM_REPLAYED = _define(
    303,
    'program_replayed',
    _INFO,
    'The program was rebuilt from {records} records.',
    'program',
    'records',
)
BUDGET_EXHAUSTED = _define(
    304,
    'budget_exhausted',
    _WARNING,
    'The budget of the program is used up.',
    'program',
    'client',
)

CALL_ACCEPTED = _define(
    400,
    'call_accepted',
    _INFO,
    'A {kind} call was accepted.',
    'program',
    'call',
    'kind',
)
CALL_PLACED = _define(
    401,
    'call_placed',
    _INFO,
    'The call goes to {target} after {waited} s.',
    'program',
    'call',
    'target',
    'waited',
)
CALL_INTENDED = _define(
    402,
    'call_intended',
    _DEBUG,
    'The intent to send the call is durable.',
    'program',
    'call',
    'target',
)
CALL_DISPATCHED = _define(
    403,
    'call_dispatched',
    _INFO,
    'The call was sent, attempt {attempt}.',
    'program',
    'call',
    'target',
    'attempt',
)
CALL_FIRST_TEXT = _define(
    404,
    'call_first_text',
    _DEBUG,
    'The first text came after {seconds} s.',
    'program',
    'call',
    'target',
    'seconds',
)
CALL_ANSWERED = _define(
    405,
    'call_answered',
    _INFO,
    'The call was answered after {seconds} s.',
    'program',
    'call',
    'target',
    'seconds',
)
CALL_FAILED = _define(
    406,
    'call_failed',
    _WARNING,
    'The call failed with {kind}: {reason}.',
    'program',
    'call',
    'target',
    'kind',
    'reason',
)
CALL_REFUSED = _define(
    407,
    'call_refused',
    _INFO,
    'The call was refused with {kind}: {reason}.',
    'program',
    'client',
    'kind',
    'reason',
)
CALL_RETRIED = _define(
    408,
    'call_retried',
    _INFO,
    'The call is sent again in {delay} s after {kind}.',
    'program',
    'call',
    'target',
    'kind',
    'delay',
)
CALL_OUTCOME_UNKNOWN = _define(
    409,
    'call_outcome_unknown',
    _WARNING,
    'The call may have run and is not sent again.',
    'program',
    'call',
    'target',
)
CALL_CANCELLED = _define(
    410,
    'call_cancelled',
    _INFO,
    'The call was cancelled: {reason}.',
    'program',
    'call',
    'target',
    'reason',
)
CALL_COMMITTED = _define(
    411,
    'call_committed',
    _DEBUG,
    'All records up to the answer are durable.',
    'program',
    'call',
)

ORDER_GIVEN = _define(
    500,
    'order_given',
    _INFO,
    'A {kind} order was given.',
    'target',
    'kind',
    'epoch',
    'order',
)
ORDER_CONFIRMED = _define(
    501,
    'order_confirmed',
    _INFO,
    'The {kind} order was confirmed.',
    'target',
    'kind',
    'epoch',
    'order',
)
ORDER_REFUSED = _define(
    502,
    'order_refused',
    _WARNING,
    'The {kind} order failed: {reason}.',
    'target',
    'kind',
    'epoch',
    'order',
    'reason',
)
CACHE_RELEASED = _define(
    503,
    'cache_released',
    _INFO,
    "The program's cache of {tokens} tokens was released.",
    'program',
    'target',
    'tokens',
)
CACHE_RECONCILED = _define(
    504,
    'cache_reconciled',
    _WARNING,
    'Cache that no program needs was found: {tokens} tokens.',
    'target',
    'tokens',
)

CONFIGURATION_SEEN = _define(
    600,
    'configuration_seen',
    _INFO,
    'Configuration {version} was announced.',
    'version',
)
CONFIGURATION_IN_FORCE = _define(
    601,
    'configuration_in_force',
    _INFO,
    'Configuration {version} is in force.',
    'version',
)
CONFIGURATION_REFUSED = _define(
    602,
    'configuration_refused',
    _WARNING,
    'Configuration {version} was refused: {reason}.',
    'version',
    'reason',
)

MEMBER_JOINED = _define(
    700,
    'member_joined',
    _INFO,
    '{member} joined or is back.',
    'member',
    'incarnation',
)
MEMBER_SUSPECTED = _define(
    701,
    'member_suspected',
    _WARNING,
    '{member} does not answer.',
    'member',
    'incarnation',
)
MEMBER_FAILED = _define(
    702,
    'member_failed',
    _WARNING,
    '{member} is considered failed.',
    'member',
    'incarnation',
)
MEMBER_LEAVING = _define(
    703,
    'member_leaving',
    _INFO,
    '{member} is leaving.',
    'member',
    'incarnation',
)
MEMBER_LEFT = _define(
    704,
    'member_left',
    _INFO,
    '{member} has left.',
    'member',
    'incarnation',
)
SUSPICION_REFUTED = _define(
    705,
    'suspicion_refuted',
    _INFO,
    'This instance was suspected and has refuted that.',
    'incarnation',
)
TARGET_LEAVING = _define(
    720,
    'target_leaving',
    _INFO,
    'The target is leaving and gets no new work.',
    'target',
)
TARGET_FAILED = _define(
    721,
    'target_failed',
    _WARNING,
    'The target is considered failed: {reason}.',
    'target',
    'reason',
)
TARGET_RECOVERED = _define(
    722,
    'target_recovered',
    _INFO,
    'The target has recovered.',
    'target',
)

STORE_DOWN = _define(
    800,
    'store_down',
    _ERROR,
    "The platform's {service} cannot be reached: {reason}.",
    'service',
    'reason',
)
STORE_UP = _define(
    801,
    'store_up',
    _WARNING,
    "The platform's {service} is back after {seconds} s.",
    'service',
    'seconds',
)
STORE_RETRIED = _define(
    802,
    'store_retried',
    _DEBUG,
    "A request to the platform's {service} is repeated after {kind}.",
    'service',
    'kind',
    'attempt',
)
STORE_UNCERTAIN = _define(
    803,
    'store_uncertain',
    _WARNING,
    'The reply to a write was lost; its effect is read back.',
    'service',
)
COMMITTED = _define(
    804,
    'committed',
    _DEBUG,
    '{records} records were committed in {seconds} s.',
    'records',
    'seconds',
)

STREAM_CUT = _define(
    900,
    'stream_cut',
    _INFO,
    "The caller's stream was cut: {reason}.",
    'program',
    'call',
    'reason',
)
STREAM_RESUMED = _define(
    901,
    'stream_resumed',
    _INFO,
    'The caller resumed at offset {offset}.',
    'program',
    'call',
    'offset',
)
PASSED_ON = _define(
    902,
    'passed_on',
    _INFO,
    'The request was passed on to {owner}.',
    'program',
    'owner',
)
CALLER_REFUSED = _define(
    903,
    'caller_refused',
    _INFO,
    'A request was refused with {kind}.',
    'client',
    'kind',
    'reason',
)

_REQUEST_FIELDS = (
    'request',
    'organisation',
    'program',
    'previous',
    'budget',
    'most',
    'route',
    'resumes',
    'target',
    'software',
    'outcome',
    'status',
    'ending',
    'ms',
    'waited',
    'tries',
    'shed',
    'keeper',
    'left',
    'urgency',
    'first',
    'version',
    'draining',
    'detail',
)
REQUEST_ENDED = _define(
    1000,
    'request_ended',
    _INFO,
    'The request was answered with {status} by {target} in {ms} ms.',
    *_REQUEST_FIELDS,
)
REQUEST_FAILED = _define(
    1001,
    'request_failed',
    _WARNING,
    'The request ended as {outcome} with {status} after {ms} ms.',
    *_REQUEST_FIELDS,
)
REQUEST_MALFORMED = _define(
    1002,
    'request_malformed',
    _WARNING,
    'A request could not be understood: {error}.',
    'error',
)
ATTEMPT_FAILED = _define(
    1003,
    'attempt_failed',
    _WARNING,
    'The attempt at {target} failed: {error}.',
    'request',
    'target',
    'software',
    'address',
    'error',
    'tries',
)
STREAM_CONTINUED = _define(
    1006,
    'stream_continued',
    _INFO,
    'The stream continues after event {last_event} at {target} ({software}).',
    'request',
    'resumes',
    'program',
    'target',
    'software',
    'last_event',
)
CONNECTION_REFUSED = _define(
    1004,
    'connection_refused',
    _WARNING,
    'The input on a connection was rejected with {status}, {count} times '
    'since the last such line.',
    'status',
    'count',
)
HANDLER_FAILED = _define(
    1005,
    'handler_failed',
    _ERROR,
    'An unexpected error occurred (request: {request}): {error}.',
    'request',
    'error',
)
MESSAGE_REJECTED = _define(
    1009,
    'message_rejected',
    _WARNING,
    'A message from {sender} ({source}) could not be decoded: {reason}.',
    'source',
    'sender',
    'reason',
)
RESPONSE_SKIPPED = _define(
    1008,
    'response_skipped',
    _WARNING,
    'Target {target} sent a response to another request; it was ignored.',
    'request',
    'target',
    'address',
)
TASK_RESTARTED = _define(
    1007,
    'task_restarted',
    _ERROR,
    'The task {task} failed and starts again in {seconds} s: {error}.',
    'task',
    'seconds',
    'error',
)
STORE_LOST = _define(
    1010,
    'store_lost',
    _WARNING,
    'The store does not respond; its typical call took {usual_ms} ms.',
    'usual_ms',
)
STORE_REGAINED = _define(
    1011,
    'store_regained',
    _INFO,
    'The store responds again.',
)
STORE_CALL_FAILED = _define(
    1012,
    'store_call_failed',
    _WARNING,
    'A call to the store ended as {outcome} after {ms} ms.',
    'call',
    'outcome',
    'ms',
)
FIRST_START_DECIDED = _define(
    1013,
    'first_start_decided',
    _INFO,
    'The settings say that the whole system starts for the first time: {state}'
    ' by the store.',
    'state',
)
ROUTES_CHANGED = _define(
    1020,
    'routes_changed',
    _INFO,
    'Configuration {version} with {routes} routes is in force.',
    'version',
    'routes',
)
ROW_REJECTED = _define(
    1021,
    'row_rejected',
    _ERROR,
    'Row {row} of {table} could not be used ({reason}): {error}.',
    'table',
    'row',
    'reason',
    'error',
)
SERVER_CHANGED = _define(
    1022,
    'server_changed',
    _INFO,
    'Target {target} of {service} is {state} as of version {version}.',
    'target',
    'service',
    'software',
    'state',
    'version',
)
SERVER_EXPIRED = _define(
    1023,
    'server_expired',
    _INFO,
    'Target {target} did not register again after the store recovered.',
    'target',
)
SERVER_RESTARTED = _define(
    1027,
    'server_restarted',
    _INFO,
    'Target {target} restarted at {started}; its earlier state is discarded.',
    'target',
    'started',
)
PEER_CHANGED = _define(
    1030,
    'peer_changed',
    _INFO,
    'Instance {peer} at {address} is {state}, incarnation {incarnation}.',
    'peer',
    'address',
    'state',
    'incarnation',
)
SLOT_WAIT_LONG = _define(
    1035,
    'slot_wait_long',
    _INFO,
    'Request {request} of {organisation} got a slot of {target} after '
    '{seconds} s; its position was {position}.',
    'request',
    'organisation',
    'target',
    'position',
    'priority',
    'seconds',
)
SLOT_REFUSED = _define(
    1036,
    'slot_refused',
    _INFO,
    'Request {request} of {organisation} got no slot of {target} ({reason}): '
    'position {position} of {waiting}, predicted wait {predicted_ms} ms, at '
    'most {left_ms} ms left to wait.',
    'request',
    'organisation',
    'target',
    'reason',
    'position',
    'waiting',
    'slots',
    'priority',
    'hold_ms',
    'predicted_ms',
    'left_ms',
    'retry_ms',
)
SLOT_WAIT_ABANDONED = _define(
    1037,
    'slot_wait_abandoned',
    _INFO,
    'Request {request} of {organisation} stopped waiting for a slot of '
    '{target} after {ms} ms ({cause}).',
    'request',
    'organisation',
    'target',
    'cause',
    'ms',
)
LOAD_REPORT_MALFORMED = _define(
    1031,
    'load_report_malformed',
    _WARNING,
    'Target {target} of {service} in {zone} sends load reports that cannot be '
    'used.',
    'target',
    'service',
    'zone',
)
CACHE_LEFT = _define(
    1032,
    'cache_left',
    _DEBUG,
    'Request {request} of {service} goes to {target}, expected to complete in '
    '{ms} ms, instead of {cached} with its cache.',
    'request',
    'service',
    'target',
    'cached',
    'ms',
)
GATEWAY_READY = _define(
    1040,
    'gateway_ready',
    _INFO,
    'Routes and targets are known {ms} ms after the start.',
    'ms',
)
SETTINGS_CHANGED = _define(
    1041,
    'settings_changed',
    _INFO,
    'The settings file was read again ({cause}).',
    'cause',
)
SETTINGS_REJECTED = _define(
    1042,
    'settings_rejected',
    _ERROR,
    'The changed settings file could not be used: {error}.',
    'error',
)
PROGRAM_REFUSED = _define(
    1043,
    'program_refused',
    _INFO,
    'Program {program} of {organisation} was refused at its first turn '
    '{request}: {utilisation} requests per slot of {service}.',
    'request',
    'organisation',
    'program',
    'route',
    'service',
    'zone',
    'priority',
    'hot',
    'share',
    'utilisation',
    'expected',
    'limit',
    'waited',
    'age',
    'retry_after',
    'reserved',
)
LIMIT_KEPT_FOR_URGENT = _define(
    1044,
    'limit_kept_for_urgent',
    _INFO,
    'Request {request} of {organisation} with priority {priority} was refused '
    'as the limit is kept for more urgent programs: {detail}.',
    'request',
    'organisation',
    'program',
    'route',
    'priority',
    'retry_after',
    'detail',
)
TARGET_SICK = _define(
    1024,
    'target_sick',
    _WARNING,
    'Target {target} is unhealthy (episode {episode}), reported by '
    '{reporters}.',
    'target',
    'episode',
    'reporters',
)
TARGET_WELL = _define(
    1026,
    'target_well',
    _INFO,
    'Target {target} is healthy again.',
    'target',
)
BUDGET_ON_CREDIT = _define(
    1025,
    'budget_on_credit',
    _INFO,
    'Program {program} got {tokens} tokens for turn {request} on credit: the '
    'store did not respond.',
    'program',
    'request',
    'tokens',
)
BUDGET_REFUSED = _define(
    1028,
    'budget_refused',
    _WARNING,
    'Turn {request} of program {program} needs {need} tokens; {granted} of '
    '{budget} are granted, {received} of them to this instance.',
    'program',
    'request',
    'budget',
    'need',
    'granted',
    'received',
    'free',
    'reserved',
    'turns',
    'owed',
    'creditor',
    'row_age',
)
BUDGET_TAKEN_OVER = _define(
    1029,
    'budget_taken_over',
    _INFO,
    'Program {program} was taken over with {granted} of {budget} tokens '
    'granted to other instances.',
    'program',
    'granted',
    'budget',
)
BUDGET_CHANGED = _define(
    1033,
    'budget_changed',
    _INFO,
    'Account of program {program}: {change} of {tokens} tokens; {granted} of '
    '{budget} are granted in the row.',
    'program',
    'change',
    'tokens',
    'need',
    'reason',
    'budget',
    'granted',
    'version',
    'free',
    'owed',
    'creditor',
)
ZONE_SHORT = _define(
    1045,
    'zone_short',
    _WARNING,
    'Zone {zone} is short of capacity for {service}: {requests} requests at '
    '{slots} slots. {percent} % of its new programs begin in other zones.',
    'zone',
    'service',
    'requests',
    'slots',
    'percent',
)
ZONE_RECOVERED = _define(
    1046,
    'zone_recovered',
    _INFO,
    'Zone {zone} has enough capacity for {service} again: {requests} requests '
    'at {slots} slots.',
    'zone',
    'service',
    'requests',
    'slots',
)
PROGRAM_IN_OTHER_ZONE = _define(
    1047,
    'program_in_other_zone',
    _DEBUG,
    'The first turn {request} goes to zone {zone}, as the own zone is short '
    'of capacity for {service}.',
    'request',
    'service',
    'zone',
)
MEMORY_PRESSURE_ENTERED = _define(
    1050,
    'memory_pressure_entered',
    _WARNING,
    'The bytes held for others are {held} of {capacity}.',
    'held',
    'capacity',
    'connections',
    'requests',
    'expected',
    'targets',
    'responses',
    'histories',
    'heads',
    'saves',
)
MEMORY_PRESSURE_LEFT = _define(
    1051,
    'memory_pressure_left',
    _INFO,
    'The bytes held for others are {held} again after {seconds} s; {refused} '
    'requests were refused.',
    'held',
    'seconds',
    'refused',
)
CALLER_NOT_READING = _define(
    1052,
    'caller_not_reading',
    _WARNING,
    'The caller at {address} was disconnected: it has taken none of {bytes} '
    'bytes for {seconds} s, the last ones of request {request}.',
    'request',
    'address',
    'bytes',
    'seconds',
    'held',
)
BODY_REFUSED = _define(
    1053,
    'body_refused',
    _WARNING,
    'A request was refused: there was no memory for its body, which needs '
    '{bytes} bytes. It is one of {count} since the last such line.',
    'bytes',
    'held',
    'count',
)
CONNECTIONS_EVICTED = _define(
    1054,
    'connections_evicted',
    _WARNING,
    'At the listener {listener}, with {limit} connections at most, {count} '
    'were closed to make room since the last such line; the last was {state}.',
    'listener',
    'limit',
    'count',
    'state',
)
DESCRIPTOR_LIMIT_LOW = _define(
    1063,
    'descriptor_limit_low',
    _WARNING,
    'The process may open {limit} descriptors, fewer than the {settings} of '
    'its settings; callers get {callers} connections.',
    'limit',
    'settings',
    'callers',
)
CALL_HEDGED = _define(
    1055,
    'call_hedged',
    _INFO,
    'Request {request} was sent to {target} and after {delay_ms} ms also to '
    '{second}; {winner} answered.',
    'request',
    'organisation',
    'service',
    'target',
    'second',
    'winner',
    'outcome',
    'delay_ms',
)
TARGET_PROBED = _define(
    1056,
    'target_probed',
    _INFO,
    'After the attempt at {target} broke off, its process {started} is '
    '{state}.',
    'request',
    'organisation',
    'target',
    'software',
    'address',
    'started',
    'state',
    'fingerprint',
    'ran_ms',
)
RESPONSE_END_CHECKED = _define(
    1062,
    'response_end_checked',
    _INFO,
    'The response of {target} ended with its connection; its process {started}'
    ' is {state}, by {evidence}.',
    'request',
    'target',
    'address',
    'started',
    'state',
    'evidence',
    'complete',
    'ms',
)
REQUEST_SUSPECTED = _define(
    1057,
    'request_suspected',
    _WARNING,
    'The process {started} of {target} ended under request {request}.',
    'request',
    'organisation',
    'fingerprint',
    'target',
    'software',
    'started',
    'ends',
)
REQUEST_QUARANTINED = _define(
    1058,
    'request_quarantined',
    _WARNING,
    'Requests with fingerprint {fingerprint} reach no target of {service} '
    '{software} for {seconds} s: {ends} processes have ended under them.',
    'fingerprint',
    'service',
    'software',
    'ends',
    'targets',
    'last_end_age',
    'protected',
    'seconds',
)
REQUEST_ADMITTED = _define(
    1059,
    'request_admitted',
    _INFO,
    'Fingerprint {fingerprint}, with {ends} ended processes, runs once, for '
    '{ticket}.',
    'fingerprint',
    'ticket',
    'ends',
    'last_end_age',
)
REQUEST_CLEARED = _define(
    1060,
    'request_cleared',
    _INFO,
    'Fingerprint {fingerprint} is no longer suspected: {reason}.',
    'fingerprint',
    'reason',
)
RESUMPTION_DECIDED = _define(
    1061,
    'resumption_decided',
    _INFO,
    'The stream that {request} resumes began at {service} {software}, by '
    '{source}; the news of the targets was {news_ms} ms old.',
    'request',
    'resumes',
    'session',
    'service',
    'software',
    'source',
    'news_ms',
    'waited_ms',
)
EVENTS_FOUND = _define(
    1064,
    'events_found',
    _INFO,
    'The caller of {request} has {bytes} bytes of the response to {resumes}; '
    '{instances} other instances were asked.',
    'request',
    'resumes',
    'bytes',
    'instances',
)
EVENT_REPEATED = _define(
    1070,
    'event_repeated',
    _INFO,
    '{target} sent event {event_id} again; the caller gets it once.',
    'request',
    'target',
    'software',
    'last_event',
    'event_id',
)
RUN_NOT_JOINED = _define(
    1071,
    'run_not_joined',
    _WARNING,
    'The run at {target} was left: its event {event_id} does not follow event '
    '{last_event}.',
    'request',
    'target',
    'software',
    'last_event',
    'event_id',
)
