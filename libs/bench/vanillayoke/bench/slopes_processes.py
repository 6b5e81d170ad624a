"""What an idle instance costs, as a process, by the number of instances.

CPU time and resident memory are read from ``/proc``, messages between the
instances from their metrics.
"""

import pathlib
import tempfile
import time
import typing
import urllib.request

from vanillayoke.bench import slopes_fit
from vanillayoke.harness import site as sites

COUNTS = (3, 6, 12, 24)
SETTLE_TIME = 6.0
IDLE_TIME = 8.0
_READY_TIMEOUT = 40.0
_POLL = 0.2
_REQUEST_TIMEOUT = 10.0
_SENT = '{direction="sent"}'
_BYTES = f'vanillayoke_peer_bytes_total{_SENT}'
_MESSAGES = f'vanillayoke_peer_messages_total{_SENT}'


class Reading(typing.NamedTuple):
    """Counters of one instance; CPU in seconds, memory in bytes."""

    cpu: float
    memory: float
    sent_bytes: float
    sent_messages: float


class Cost(typing.NamedTuple):
    """Mean cost of one instance."""

    cpu_share: float
    memory: float
    peer_bytes: float
    peer_messages: float


_UNITS = {
    'cpu_share': 'share of a core per instance',
    'memory': 'resident bytes per instance',
    'peer_bytes': 'bytes/s sent to peers per instance',
    'peer_messages': 'messages/s sent to peers per instance',
}


def parse_metrics(page: str) -> dict[str, float]:
    """Return the samples of a page in Prometheus's text format."""
    samples = {}
    for line in page.splitlines():
        if line and not line.startswith('#'):
            name, _, value = line.rpartition(' ')
            samples[name] = float(value)
    return samples


def read_metrics(address: str) -> dict[str, float]:
    """Read an instance's metrics."""
    with urllib.request.urlopen(
        f'http://{address}/metrics', timeout=_REQUEST_TIMEOUT
    ) as response:
        return parse_metrics(response.read().decode())


def read_instance(one: sites.InstanceProcess) -> Reading:
    """Read the counters of an instance."""
    samples = read_metrics(one.address)
    return Reading(
        one.process.read_cpu(),
        one.process.read_memory(),
        samples.get(_BYTES, 0.0),
        samples.get(_MESSAGES, 0.0),
    )


def start_instances(deployment: sites.Site, count: int) -> None:
    """Start instances and wait until they are ready."""
    for number in range(count):
        zone = sites.ZONES[number % len(sites.ZONES)]
        deployment.start_instance(f'instance-{number:02d}', zone)
    deadline = time.monotonic() + _READY_TIMEOUT
    addresses = [one.address for one in deployment.instances.values()]
    while not all(_is_ready(deployment, one) for one in addresses):
        if time.monotonic() > deadline:
            raise RuntimeError('the instances do not become ready in time')
        time.sleep(_POLL)


def _is_ready(deployment: sites.Site, address: str) -> bool:
    try:
        deployment.get(address, '/readyz')
    except OSError:
        return False
    return True


def measure_idle(
    deployment: sites.Site,
    settle_time: float = SETTLE_TIME,
    idle_time: float = IDLE_TIME,
) -> Cost:
    """Return what the running instances cost while nothing is asked."""
    time.sleep(settle_time)
    instances = list(deployment.instances.values())
    began = time.monotonic()
    before = [read_instance(one) for one in instances]
    time.sleep(idle_time)
    after = [read_instance(one) for one in instances]
    spent = (time.monotonic() - began) * len(instances)
    return Cost(
        _subtract(before, after, 'cpu') / spent,
        sum(one.memory for one in after) / len(instances),
        _subtract(before, after, 'sent_bytes') / spent,
        _subtract(before, after, 'sent_messages') / spent,
    )


def _subtract(
    before: typing.Sequence[Reading],
    after: typing.Sequence[Reading],
    name: str,
) -> float:
    return sum(
        getattr(late, name) - getattr(early, name)
        for early, late in zip(before, after, strict=True)
    )


def measure_one(count: int) -> Cost:
    """Measure a number of instances without targets or programs."""
    with tempfile.TemporaryDirectory() as folder:
        with sites.Site(pathlib.Path(folder)) as deployment:
            deployment.start_platform()
            start_instances(deployment, count)
            return measure_idle(deployment)


def measure(
    counts: typing.Sequence[int] = COUNTS,
) -> list[slopes_fit.Slope]:
    """Return the slopes of an instance's idle cost over instances."""
    rows = [(count, measure_one(count)) for count in counts]
    return slopes_fit.make_slopes('instances', _UNITS, rows)
