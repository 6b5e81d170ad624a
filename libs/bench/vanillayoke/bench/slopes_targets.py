"""What following targets costs, and how large a configuration becomes."""

import json
import pathlib
import tempfile
import typing

from vanillayoke.bench import slopes_fit
from vanillayoke.bench import slopes_processes
from vanillayoke.harness import site as sites
from vanillayoke.node import feeds
from vanillayoke.settings import configuration

# An instance bounds its polls: the last counts cost the same.
COUNTS = (0, 2, 4, 32)
CONFIGURED_TARGETS = (0, 425, 850, 1700)
CONFIGURED_CLIENTS = (0, 125, 250, 500)
_SETTLE_TIME = 4.0
_IDLE_TIME = 8.0
_CLIENT_KEY = 'slopes-client-key'
_FULL_HASH = 64 * 'f'
_ADDRESS = '10.100.100.100:8000'


class TargetCost(typing.NamedTuple):
    """Cost of one instance that follows targets."""

    feed_cpu_share: float
    feed_memory: float


class ConfigurationSize(typing.NamedTuple):
    """Bytes of a published configuration."""

    configuration_bytes: float


_CPU_UNIT = {'feed_cpu_share': 'share of a core per instance'}
_MEMORY_UNIT = {'feed_memory': 'resident bytes per instance'}


def describe_engines(
    addresses: typing.Iterable[str],
) -> dict[str, dict[str, str]]:
    """Describe an engine at each address."""
    return {
        f'engine-{number:04d}': {
            'kind': 'engine',
            'address': address,
            'zone': sites.ZONES[0],
            'region': sites.REGION,
        }
        for number, address in enumerate(addresses)
    }


def _publish(deployment: sites.Site) -> None:
    folder = deployment.write_configuration(_CLIENT_KEY)
    described = describe_engines(deployment.engines.values())
    for part in folder.iterdir():
        part.unlink()
    (folder / '10-targets.json').write_text(json.dumps({'targets': described}))
    deployment.apply(folder)


def measure_feeds() -> list[slopes_fit.Slope]:
    """Return an instance's cost over polls and over followed targets."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        with sites.Site(pathlib.Path(folder)) as deployment:
            deployment.start_platform()
            slopes_processes.start_instances(deployment, 1)
            for count in COUNTS:
                for number in range(len(deployment.engines), count):
                    deployment.start_engine(f'engine-{number}')
                _publish(deployment)
                rows.append((count, _measure_following(deployment)))
    by_polls = [(count_polls(count), cost) for count, cost in rows]
    return [
        *slopes_fit.make_slopes('polls/s', _CPU_UNIT, by_polls),
        *slopes_fit.make_slopes('targets', _MEMORY_UNIT, rows),
    ]


def count_polls(local: int, distant: int = 0) -> float:
    """Return the polls a second of an instance that follows targets."""
    intervals = feeds.find_intervals(local, distant)
    return local / intervals.local + distant / intervals.distant


def _measure_following(deployment: sites.Site) -> TargetCost:
    cost = slopes_processes.measure_idle(deployment, _SETTLE_TIME, _IDLE_TIME)
    return TargetCost(cost.cpu_share, cost.memory)


def measure_configuration() -> list[slopes_fit.Slope]:
    """Return how a published configuration grows."""
    unit = {'configuration_bytes': 'bytes'}
    targets = [(n, _measure_size(n, 0)) for n in CONFIGURED_TARGETS]
    clients = [(n, _measure_size(0, n)) for n in CONFIGURED_CLIENTS]
    return [
        *slopes_fit.make_slopes('targets', unit, targets),
        *slopes_fit.make_slopes('clients', unit, clients),
    ]


def _measure_size(targets: int, clients: int) -> ConfigurationSize:
    engines = describe_engines([_ADDRESS] * targets)
    described = configuration.Configuration(
        targets={
            name: configuration.TargetSettings(**one)
            for name, one in engines.items()
        },
        clients={
            f'client-{number:03d}': configuration.ClientSettings(
                key_hashes=(_FULL_HASH,), agents=('board', 'researcher')
            )
            for number in range(clients)
        },
    )
    published = configuration.PublishedConfiguration(
        version=1, author='slopes', configuration=described
    )
    return ConfigurationSize(len(configuration.encode_published(published)))


def measure() -> list[slopes_fit.Slope]:
    """Return all slopes over targets and clients."""
    return [*measure_feeds(), *measure_configuration()]
