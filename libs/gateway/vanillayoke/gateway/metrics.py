"""The metrics of a gateway instance."""

import collections
import typing

import aioprometheus

from vanillayoke.cluster import messages as cluster_messages
from vanillayoke.core import metrics
from vanillayoke.gateway import peers

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
_ORGANISATION = metrics.Label('organisation')
_RESULT = metrics.Label('result', ('answered', 'over_limit', 'failed'))
_STATE = metrics.Label('state', ('alive', 'leaving', 'suspected', 'failed'))
_DATAGRAM = metrics.Label('kind', peers.KIND_NAMES)


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
        self.sheds = metrics.Counter(
            registry,
            'sheds_total',
            'Attempts that a target refused without running the request.',
            _TARGET,
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
        self.members = metrics.Gauge(
            registry, 'gateway_members', 'Instances known, by state.', _STATE
        )
        self.datagrams_dropped = metrics.Counter(
            registry,
            'datagrams_dropped_total',
            'Datagrams received that could not be decoded, by kind.',
            _DATAGRAM,
        )
        self.lines_dropped = metrics.Gauge(
            registry,
            'log_lines_dropped',
            'Log lines left out since the start.',
        )
        self.active_requests = metrics.Gauge(
            registry, 'requests_active', 'Requests under way.'
        )

    def record_request(
        self, progress: typing.Any, outcome: str, seconds: float
    ) -> None:
        """Count a finished request."""
        route = progress.route
        kind = 'none' if route is None else route.kind.value
        self.requests.add(1, kind=kind, outcome=outcome)
        if progress.organisation is not None:
            is_result = outcome in ('answered', 'over_limit')
            self.organisation_requests.add(
                1,
                organisation=progress.organisation.name,
                result=outcome if is_result else 'failed',
            )
        self.request_latency.observe(seconds, kind=kind)
        self.queue_wait.observe(progress.queue_seconds, kind=kind)

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
