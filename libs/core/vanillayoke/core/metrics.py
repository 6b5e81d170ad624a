"""Metrics by Prometheus's conventions, rendered by aioprometheus.

Label values come from closed lists or are limited in number, so that clients
can't make the metrics page grow without bound.
"""

import typing

import aioprometheus

from vanillayoke.core import failures

OTHER = 'other'
MAX_LABEL_VALUES = 500
MAX_LABEL_VALUE_LENGTH = 64
_PREFIX = 'vanillayoke_'
# aioprometheus does not escape label values; a quote in a client's name would
# make the whole page unparseable.
_UNSAFE = str.maketrans({'\\': '_', '"': '_', '\n': '_'})

_INFINITY = float('inf')
SHORT_BUCKETS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
    _INFINITY,
)  # fmt: skip
WAIT_BUCKETS = (
    0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0,
    _INFINITY,
)  # fmt: skip
PROGRAM_BUCKETS = (
    0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0, 600.0, 1800.0,
    _INFINITY,
)  # fmt: skip


class Label(typing.NamedTuple):
    """A label's name and its values; if none are listed, any up to a limit."""

    name: str
    values: tuple[str, ...] = ()


_CLIENT = Label('client')
_TARGET = Label('target')
_KIND = Label('kind', tuple(kind.value for kind in failures.Kind))
_OUTCOME = Label('outcome', ('finished', 'stopped', 'failed', 'cancelled'))
_CALL_KIND = Label('kind', ('model', 'tool'))
_CALL_OUTCOME = Label('outcome', ('answered', 'failed', 'unknown', 'refused'))
_WAIT_CAUSE = Label(
    'cause',
    ('queue', 'admission', 'limit', 'commit', 'owner', 'tool', 'retry'),
)
_WASTE_CAUSE = Label('cause', ('evicted', 'moved', 'lost', 'unreleased'))
_RETRIED = Label('of', ('call', 'order', 'store'))
_SERVICE = Label('service', ('table', 'objects', 'weights', 'instances'))
_TOKEN_KIND = Label('kind', ('prompt', 'cached', 'completion'))
_ORDER_KIND = Label('kind', ('load', 'unload', 'role', 'release'))
_ORDER_RESULT = Label('result', ('confirmed', 'refused', 'failed'))
_MEMBER_STATE = Label('state', ('alive', 'leaving', 'suspected', 'failed'))
_TARGET_STATE = Label('state', ('live', 'leaving', 'failed'))
_DIRECTION = Label('direction', ('sent', 'received', 'dropped'))


class _LabelSet:
    """Checks the label names and limits the label values of one metric."""

    def __init__(self, labels: tuple[Label, ...]) -> None:
        self._labels = {label.name: set(label.values) for label in labels}
        self._open = {label.name for label in labels if not label.values}

    def bound(self, given: dict[str, str]) -> dict[str, str]:
        if given.keys() != self._labels.keys():
            expected = ', '.join(self._labels) or 'none'
            raise TypeError(
                f'the labels are {expected}; given: {sorted(given)}'
            )
        return {
            name: self._bound_value(name, value)
            for name, value in given.items()
        }

    def _bound_value(self, name: str, value: str) -> str:
        values = self._labels[name]
        if value in values:
            return value
        if name not in self._open:
            return OTHER
        safe = value.translate(_UNSAFE)[:MAX_LABEL_VALUE_LENGTH]
        if safe in values:
            return safe
        if len(values) >= MAX_LABEL_VALUES:
            return OTHER
        values.add(safe)
        return safe


class Counter:
    """A count that only increases."""

    def __init__(self, registry, name: str, doc: str, *labels: Label) -> None:
        self.name = f'{_PREFIX}{name}'
        self.doc = doc
        self.labels = labels
        self._bounds = _LabelSet(labels)
        self._collector = aioprometheus.Counter(
            self.name, doc, registry=registry
        )
        _start_at_zero(self._collector, labels)

    def add(self, amount: float = 1, /, **labels: str) -> None:
        """Add to the count of these labels."""
        self._collector.add(self._bounds.bound(labels), amount)


class Gauge:
    """A value that goes up and down."""

    def __init__(self, registry, name: str, doc: str, *labels: Label) -> None:
        self.name = f'{_PREFIX}{name}'
        self.doc = doc
        self.labels = labels
        self._bounds = _LabelSet(labels)
        self._collector = aioprometheus.Gauge(
            self.name, doc, registry=registry
        )

    def set(self, value: float, /, **labels: str) -> None:
        """Set the value of these labels."""
        self._collector.set(self._bounds.bound(labels), value)

    def add(self, amount: float = 1, /, **labels: str) -> None:
        """Add to the value of these labels; the amount may be negative."""
        self._collector.add(self._bounds.bound(labels), amount)


class Histogram:
    """A distribution of seconds or sizes."""

    def __init__(
        self,
        registry,
        name: str,
        doc: str,
        buckets: tuple[float, ...],
        *labels: Label,
    ) -> None:
        self.name = f'{_PREFIX}{name}'
        self.doc = doc
        self.labels = labels
        self._bounds = _LabelSet(labels)
        self._collector = aioprometheus.Histogram(
            self.name, doc, registry=registry, buckets=buckets
        )

    def observe(self, value: float, /, **labels: str) -> None:
        """Count one value under these labels."""
        self._collector.observe(self._bounds.bound(labels), float(value))


def _start_at_zero(collector, labels: tuple[Label, ...]) -> None:
    # Alert rules see no increase in a counter that first appears with the
    # value 1, so all listed label values are exported from the start.
    if len(labels) == 1:
        for value in labels[0].values:
            collector.set({labels[0].name: value}, 0)
    elif not labels:
        collector.set({}, 0)


Metric = Counter | Gauge | Histogram


class Page(typing.NamedTuple):
    """A rendered page of metrics."""

    body: bytes
    content_type: str


class Metrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._define_programs()
        self._define_calls()
        self._define_store()
        self._define_cluster()

    def _define_programs(self) -> None:
        registry = self._registry
        self.program_latency = Histogram(
            registry,
            'program_latency_seconds',
            'Time from the opening of a program to its end.',
            PROGRAM_BUCKETS,
            _CLIENT,
        )
        self.programs_ended = Counter(
            registry,
            'programs_ended_total',
            'Programs that ended, by outcome.',
            _OUTCOME,
        )
        self.programs_open = Gauge(
            registry, 'programs_open', 'Programs that this instance owns.'
        )
        self.wait = Histogram(
            registry,
            'wait_seconds',
            'Time that calls waited, by cause.',
            WAIT_BUCKETS,
            _WAIT_CAUSE,
        )
        self.wasted_cache_tokens = Counter(
            registry,
            'wasted_cache_tokens_total',
            'Cached tokens that were computed again or held for nothing.',
            _WASTE_CAUSE,
        )
        self.tokens = Counter(
            registry,
            'tokens_total',
            'Tokens that model calls used, by client.',
            _CLIENT,
            _TOKEN_KIND,
        )

    def _define_calls(self) -> None:
        registry = self._registry
        self.calls = Counter(
            registry,
            'calls_total',
            'Calls that ended, by kind and outcome.',
            _CALL_KIND,
            _CALL_OUTCOME,
        )
        self.call_latency = Histogram(
            registry,
            'call_latency_seconds',
            'Time from dispatch to answer, by target.',
            WAIT_BUCKETS,
            _TARGET,
        )
        self.refusals = Counter(
            registry,
            'refusals_total',
            'Requests refused, by error kind.',
            _KIND,
        )
        self.retries = Counter(
            registry, 'retries_total', 'Repeated attempts.', _RETRIED
        )
        self.outcomes_unknown = Counter(
            registry,
            'outcomes_unknown_total',
            'Non-idempotent calls that may or may not have run.',
        )
        self.streams = Gauge(registry, 'streams', 'Answer streams now open.')
        self.streams_cut = Counter(
            registry,
            'streams_cut_total',
            'Answer streams cut before their end.',
        )
        self.orders = Counter(
            registry,
            'orders_total',
            'Orders to targets, by kind and result.',
            _ORDER_KIND,
            _ORDER_RESULT,
        )
        self.targets = Gauge(
            registry, 'targets', 'Targets by state.', _TARGET_STATE
        )

    def _define_store(self) -> None:
        registry = self._registry
        self.commit = Histogram(
            registry,
            'commit_seconds',
            'Time to make a group of records durable.',
            SHORT_BUCKETS,
        )
        self.commit_records = Counter(
            registry, 'commit_records_total', 'Records made durable.'
        )
        self.store_writes = Counter(
            registry, 'store_writes_total', 'Writes to the table service.'
        )
        self.store_up = Gauge(
            registry,
            'store_up',
            'Whether the last request to a service of the platform worked.',
            _SERVICE,
        )
        self.lease_renewal = Histogram(
            registry,
            'lease_renewal_seconds',
            'Time that renewals of the lease took.',
            SHORT_BUCKETS,
        )
        self.lease_remaining = Gauge(
            registry,
            'lease_remaining_seconds',
            'Time until the lease runs out unless it is renewed.',
        )
        self.leases_lost = Counter(
            registry, 'leases_lost_total', 'Times that the lease was lost.'
        )

    def _define_cluster(self) -> None:
        registry = self._registry
        self.shards = Gauge(
            registry, 'shards_owned', 'Shards that this instance owns.'
        )
        self.takeovers = Counter(
            registry, 'takeovers_total', 'Failed instances taken over from.'
        )
        self.members = Gauge(
            registry, 'members', 'Instances known, by state.', _MEMBER_STATE
        )
        self.peer_messages = Counter(
            registry,
            'peer_messages_total',
            'Messages between instances.',
            _DIRECTION,
        )
        self.peer_bytes = Counter(
            registry,
            'peer_bytes_total',
            'Bytes of messages between instances.',
            _DIRECTION,
        )
        self.configuration = Gauge(
            registry,
            'configuration_version',
            'Version of the configuration in force.',
        )
        self.loop_lag = Gauge(
            registry,
            'loop_lag_seconds',
            'How late the last timer of the event loop was.',
        )
        self.draining = Gauge(
            registry, 'draining', 'Whether the instance is stopping.'
        )

    def list_metrics(self) -> list[Metric]:
        """Return all metrics, sorted by name."""
        kinds = (Counter, Gauge, Histogram)
        metrics = [
            value for value in vars(self).values() if isinstance(value, kinds)
        ]
        return sorted(metrics, key=lambda metric: metric.name)

    def render(self) -> Page:
        """Render all metrics in Prometheus's text format."""
        body, headers = aioprometheus.render(self._registry, [])
        return Page(body, headers['Content-Type'])
