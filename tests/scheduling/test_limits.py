"""Tests of per-client limits over several instances."""

from vanillayoke.core import failures
from vanillayoke.scheduling import limits
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures

_INSTANCES = 12


@fixtures.fixture
def instances():
    made = []
    for _ in range(_INSTANCES):
        part = limits.ClientLimits()
        part.set_clients(
            {
                'client': configuration.ClientSettings(
                    key_hashes=(), calls_per_second=30.0, running_programs=30
                )
            }
        )
        part.set_instances(_INSTANCES)
        made.append(part)
    return made


def test_rate_overshoot_stays_within_its_bound(case, instances):
    passed = 0
    for tick in range(1000):
        for part in instances:
            passed += part.take_call('client', tick / 100) is None
    seconds = 10.0
    case.assertLessEqual(passed, 30 * seconds + _INSTANCES * 30 / _INSTANCES)
    case.assertGreaterEqual(passed, 0.95 * 30 * seconds)


def test_refused_call_is_told_when_to_come_back(case, instances):
    part = instances[0]
    failure = None
    while failure is None:
        failure = part.take_call('client', 0.0)
    case.assertEqual(failures.Kind.LIMIT_REACHED, failure.kind)
    early = part.take_call('client', failure.retry_after * 0.9)
    case.assertIsNotNone(early)
    case.assertIsNone(part.take_call('client', failure.retry_after * 1.01))


def test_running_programs_overshoot_by_less_than_the_instances(
    case, instances
):
    opened = sum(
        part.open_program('client') is None
        for part in instances
        for _ in range(10)
    )
    case.assertLessEqual(opened, 30 + _INSTANCES - 1)
    case.assertGreaterEqual(opened, 30)
    instances[0].close_program('client')
    case.assertIsNone(instances[0].open_program('client'))
    case.assertIsNotNone(instances[0].open_program('client'))


load_tests = fixtures.adapt(__name__)
