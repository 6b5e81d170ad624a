"""The metrics of a gateway instance."""

import collections
import typing

import aioprometheus

from vanillayoke.cluster import messages as cluster_messages
from vanillayoke.core import decoding
from vanillayoke.core import memory
from vanillayoke.core import metrics
from vanillayoke.gateway import peers
from vanillayoke.gateway import process_states
from vanillayoke.transport import client

_KIND = metrics.Label('kind', ('safe', 'unsafe', 'stream', 'none'))
_OUTCOME = metrics.Label('outcome')
_REASON = metrics.Label('reason')
_CALL = metrics.Label('call', ('transact', 'read', 'follow', 'relay', 'probe'))
_CALL_OUTCOME = metrics.Label(
    'outcome',
    (
        'answered',
        'refused',
        'silent',
        'unreachable',
        'relayed',
        'relay_refused',
    ),
)
_TARGET = metrics.Label('target')
_EVENT_DECISION = metrics.Label('decision', ('drop', 'leave_run'))
_SERVICE = metrics.Label('service')
_VIEW = metrics.Label('view', ('coordinator', 'own'))
_ORGANISATION = metrics.Label('organisation')
# Other outcomes of requests count as failed.
_RESULTS = {
    'answered': 'answered',
    'over_limit': 'over_limit',
    'over_limit_urgent': 'over_limit',
}
_PRIORITY = metrics.Label('priority')
_SLOT_REASON = metrics.Label('reason', ('late', 'full'))
_SLOT_CAUSE = metrics.Label('cause', ('silent', 'released', 'unusable'))
_RESULT = metrics.Label('result', ('answered', 'over_limit', 'failed'))
_ZONE = metrics.Label('zone')
_HEDGE_OUTCOME = metrics.Label(
    'outcome',
    ('first', 'second', 'failed', 'cancelled', 'no_capacity', 'no_budget'),
)
_ORIGIN_SOURCE = metrics.Label(
    'source',
    ('own_record', 'peer_record', 'only_version', 'peer_version', 'unknown'),
)
_REFUSED_STATUS = metrics.Label('status')
_LISTENER = metrics.Label(
    'listener', ('callers', 'directory', 'readiness', 'metrics', 'relay')
)
_CONNECTION_STATE = metrics.Label(
    'state', ('idle', 'closing', 'reading', 'new')
)
_MEMORY_KIND = metrics.Label('kind', tuple(kind.label for kind in memory.Kind))
_MEMORY_REFUSAL = metrics.Label('kind', ('request', 'body', 'caller'))
_ENDING = metrics.Label(
    'ending', tuple(ending.value for ending in client.Ending)
)
_PROCESS_STATE = metrics.Label(
    'state', tuple(state.value for state in process_states.State)
)
_STATE = metrics.Label('state', ('alive', 'leaving', 'suspected', 'failed'))
_DATAGRAM = metrics.Label('kind', peers.KIND_NAMES)
_SOURCE = metrics.Label(
    'source',
    (
        'configuration',
        'targets',
        'instances',
        'store',
        'peers',
        'load_reports',
        'suspects',
    ),
)
_REJECTION = metrics.Label(
    'reason', tuple(reason.value for reason in decoding.Reason)
)
_TASK = metrics.Label('task')
_TABLE = metrics.Label('table', ('turns', 'budgets', 'limits'))


class Metrics:
    """All metrics of one instance."""

    def __init__(self) -> None:
        self._registry = registry = aioprometheus.Registry()
        self.requests = metrics.Counter(
            registry,
            'requests_total',
            'Requests that ended, by kind of route and outcome.',
            _KIND,
            _OUTCOME,
        )
        self.request_latency = metrics.Histogram(
            registry,
            'request_seconds',
            'Time from the arrival of a request to its end.',
            metrics.WAIT_BUCKETS,
            _KIND,
        )
        self.queue_wait = metrics.Histogram(
            registry,
            'queue_wait_seconds',
            'Time that requests waited for room at a target.',
            metrics.WAIT_BUCKETS,
            _KIND,
        )
        self.response_endings = metrics.Counter(
            registry,
            'response_endings_total',
            "Targets' responses to callers, by what marked their end.",
            _ENDING,
        )
        self.refusals = metrics.Counter(
            registry,
            'gateway_refusals_total',
            'Requests that ended without an answer of a target.',
            _REASON,
        )
        self.organisation_requests = metrics.Counter(
            registry,
            'organisation_requests_total',
            'Requests that ended, by organisation and how.',
            _ORGANISATION,
            _RESULT,
        )
        self.limit_reservations = metrics.Counter(
            registry,
            'limit_kept_for_urgent_total',
            'Programs refused as the limit was kept for more urgent ones.',
            _ORGANISATION,
            _PRIORITY,
        )
        self.refused_programs = metrics.Counter(
            registry,
            'programs_refused_total',
            'First turns refused for lack of capacity.',
            _ORGANISATION,
            _SERVICE,
            _PRIORITY,
        )
        self.returned_programs = metrics.Counter(
            registry,
            'programs_returned_total',
            'Programs admitted when they returned at the time they were told.',
            _SERVICE,
        )
        self.program_share = metrics.Gauge(
            registry,
            'program_share',
            'Share of new programs that a service has capacity for.',
            _SERVICE,
        )
        self.program_utilisation = metrics.Gauge(
            registry,
            'program_utilisation',
            'Estimated requests per slot at present.',
            _SERVICE,
        )
        self.sheds = metrics.Counter(
            registry,
            'sheds_total',
            'Attempts that a target refused without running the request.',
            _TARGET,
        )
        self.skipped_responses = metrics.Counter(
            registry,
            'responses_skipped_total',
            'Responses of targets to other requests than the one under way.',
            _TARGET,
        )
        self.event_order_faults = metrics.Counter(
            registry,
            'event_order_faults_total',
            'Events of targets that do not follow the last one of the'
            ' response, by what was done.',
            _TARGET,
            _EVENT_DECISION,
        )
        self.malformed_reports = metrics.Counter(
            registry,
            'load_reports_malformed_total',
            'Load reports of targets that could not be used.',
            _TARGET,
        )
        self.completion_choices = metrics.Counter(
            registry,
            'completion_choices_total',
            'Targets chosen by expected completion time, by whose view.',
            _SERVICE,
            _VIEW,
        )
        self.store_calls = metrics.Counter(
            registry,
            'store_calls_total',
            'Calls to the store, by outcome.',
            _CALL,
            _CALL_OUTCOME,
        )
        self.store_latency = metrics.Histogram(
            registry,
            'store_call_seconds',
            'Time that calls to the store took.',
            metrics.SHORT_BUCKETS,
            _CALL,
        )
        self.connections = metrics.Counter(
            registry,
            'target_connections_total',
            'Connections opened to targets.',
        )
        self.resumed_streams = metrics.Counter(
            registry,
            'resumed_streams_total',
            'Streams that callers resumed, by where the origin was found.',
            _ORIGIN_SOURCE,
        )
        self.resumption_news_age = metrics.Histogram(
            registry,
            'resumption_news_age_seconds',
            'Age of the news of the targets when a resumption was decided on.',
            metrics.WAIT_BUCKETS,
            _ORIGIN_SOURCE,
        )
        self._define_slot_queues(registry)
        self._define_zones(registry)
        self.hedged_calls = metrics.Counter(
            registry,
            'hedged_calls_total',
            'Slow calls, by the call that won or why no second was sent.',
            _HEDGE_OUTCOME,
        )
        self._define_quarantine(registry)
        self.held_bytes = metrics.Gauge(
            registry,
            'memory_held_bytes',
            'Bytes held for others, by kind; only with a memory limit.',
            _MEMORY_KIND,
        )
        self.connections_refused = metrics.Counter(
            registry,
            'connections_refused_total',
            'Connections whose input was rejected, by status.',
            _REFUSED_STATUS,
        )
        self.connections_evicted = metrics.Counter(
            registry,
            'connections_evicted_total',
            'Connections closed to make room, by listener and their state.',
            _LISTENER,
            _CONNECTION_STATE,
        )
        self.memory_refusals = metrics.Counter(
            registry,
            'memory_refusals_total',
            'Requests, bodies and callers without memory.',
            _MEMORY_REFUSAL,
        )
        self.members = metrics.Gauge(
            registry, 'gateway_members', 'Instances known, by state.', _STATE
        )
        self.datagrams_dropped = metrics.Counter(
            registry,
            'datagrams_dropped_total',
            'Datagrams received that could not be decoded, by kind.',
            _DATAGRAM,
        )
        self.datagrams_unsent = metrics.Counter(
            registry,
            'datagrams_unsent_total',
            'Datagrams that were not sent as the socket was closed.',
        )
        self.rejected_messages = metrics.Counter(
            registry,
            'rejected_messages_total',
            'Rows, responses and datagrams that could not be decoded, by'
            ' source and reason.',
            _SOURCE,
            _REJECTION,
        )
        self.task_failures = metrics.Counter(
            registry,
            'task_failures_total',
            'Unexpected ends of long-running tasks, which start again.',
            _TASK,
        )
        self.handler_failures = metrics.Counter(
            registry,
            'handler_failures_total',
            'Requests and background tasks that ended with an unexpected'
            ' error.',
        )
        self.removed_rows = metrics.Counter(
            registry,
            'rows_removed_total',
            'Expired rows removed from the store, by table.',
            _TABLE,
        )
        self.lines_dropped = metrics.Gauge(
            registry,
            'log_lines_dropped',
            'Log lines left out since the start.',
        )
        self.active_requests = metrics.Gauge(
            registry, 'requests_active', 'Requests under way.'
        )

    def _define_slot_queues(self, registry: aioprometheus.Registry) -> None:
        self.slot_waiting = metrics.Gauge(
            registry,
            'slot_waiting',
            'Requests of this instance that wait for a slot, by service.',
            _SERVICE,
        )
        self.slot_wait = metrics.Histogram(
            registry,
            'slot_wait_seconds',
            'Time that requests waited for a slot of a target with none free.',
            metrics.WAIT_BUCKETS,
            _SERVICE,
        )
        self.slot_grants = metrics.Counter(
            registry,
            'slot_grants_total',
            'Slots granted by this instance.',
        )
        self.slot_grants_expired = metrics.Counter(
            registry,
            'slot_grants_expired_total',
            'Granted slots whose request did not start in time.',
        )
        self.slot_refusals = metrics.Counter(
            registry,
            'slot_refusals_total',
            'Requests that this instance refused a slot: they could not start '
            'in time, or too many waited.',
            _SLOT_REASON,
        )
        self.slot_waits_abandoned = metrics.Counter(
            registry,
            'slot_waits_abandoned_total',
            'Requests of this instance that stopped waiting for a slot '
            'without a decision.',
            _SLOT_CAUSE,
        )

    def _define_quarantine(self, registry: aioprometheus.Registry) -> None:
        self.broken_attempts = metrics.Counter(
            registry,
            'broken_attempts_total',
            "Attempts without a complete response, by their target's state.",
            _PROCESS_STATE,
        )
        self.checked_ends = metrics.Counter(
            registry,
            'checked_response_ends_total',
            'Responses that ended with their connection, by the state of their'
            " target's process.",
            _PROCESS_STATE,
        )
        self.suspects = metrics.Gauge(
            registry,
            'suspects',
            'Requests under which targets have ended, as known here.',
        )
        self.quarantines = metrics.Counter(
            registry,
            'quarantines_total',
            'Times that this instance put a request in quarantine.',
            _SERVICE,
        )
        self.unsaved_suspects = metrics.Counter(
            registry,
            'suspects_unsaved_total',
            'Changes of suspects that could not be written to the store.',
        )

    def _define_zones(self, registry: aioprometheus.Registry) -> None:
        self.zone_utilisation = metrics.Gauge(
            registry,
            'zone_utilisation',
            'Requests per slot of the healthy targets in a zone; NaN while '
            'the load of the zone is unknown.',
            _SERVICE,
            _ZONE,
        )
        self.zone_is_short = metrics.Gauge(
            registry,
            'zone_is_short',
            'Whether the zone of this instance is short of capacity.',
            _SERVICE,
        )
        self.programs_in_other_zones = metrics.Counter(
            registry,
            'programs_in_other_zones_total',
            'Programs that began in another zone, by this zone.',
            _SERVICE,
            _ZONE,
        )

    def record_request(
        self, progress: typing.Any, outcome: str, seconds: float
    ) -> None:
        """Count a finished request."""
        route = progress.route
        kind = 'none' if route is None else route.kind.value
        self.requests.add(1, kind=kind, outcome=outcome)
        if progress.organisation is not None:
            self.organisation_requests.add(
                1,
                organisation=progress.organisation.name,
                result=_RESULTS.get(outcome, 'failed'),
            )
        self.request_latency.observe(seconds, kind=kind)
        self.queue_wait.observe(progress.queue_seconds, kind=kind)
        if progress.ending is not None:
            self.response_endings.add(1, ending=progress.ending.value)

    def record_malformed_request(self, reason: str) -> None:
        """Count a request without a known route, organisation or deadline."""
        self.requests.add(1, kind='none', outcome=reason)
        self.refusals.add(1, reason=reason)

    def set_members(
        self, members: typing.Iterable[cluster_messages.Member]
    ) -> None:
        """Set the number of instances in each state, this one included."""
        counts = collections.Counter(
            member.state.name.lower() for member in members
        )
        for state in _STATE.values:
            self.members.set(counts[state], state=state)

    def record_store_call(
        self, call: str, outcome: str, seconds: float
    ) -> None:
        """Count a call to the store."""
        self.store_calls.add(1, call=call, outcome=outcome)
        self.store_latency.observe(seconds, call=call)

    def render(self) -> metrics.Page:
        """Render all metrics in the Prometheus text format."""
        body, headers = aioprometheus.render(self._registry, [])
        return metrics.Page(body, headers['Content-Type'])
