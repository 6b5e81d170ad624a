"""Tests of per-client limits over several instances."""

from vanillayoke.core import failures
from vanillayoke.scheduling import limits
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures

_INSTANCE_COUNT = 12


@fixtures.fixture
def instances():
    shares = []
    for _ in range(_INSTANCE_COUNT):
        share = limits.ClientLimits()
        share.set_clients(
            {
                'client': configuration.ClientSettings(
                    key_hashes=(), calls_per_second=30.0, running_programs=30
                )
            }
        )
        share.set_instances(_INSTANCE_COUNT)
        shares.append(share)
    return shares


def test_excess_of_the_rate_stays_within_its_bound(case, instances):
    admitted = 0
    for tick in range(1000):
        for share in instances:
            admitted += share.take_call('client', tick / 100) is None
    seconds = 10.0
    case.assertLessEqual(
        admitted, 30 * seconds + _INSTANCE_COUNT * 30 / _INSTANCE_COUNT
    )
    case.assertGreaterEqual(admitted, 0.95 * 30 * seconds)


def test_refused_call_may_be_retried_after_the_given_time(case, instances):
    share = instances[0]
    failure = None
    while failure is None:
        failure = share.take_call('client', 0.0)
    case.assertEqual(failures.Kind.LIMIT_REACHED, failure.kind)
    early = share.take_call('client', failure.retry_after * 0.9)
    case.assertIsNotNone(early)
    case.assertIsNone(share.take_call('client', failure.retry_after * 1.01))


def test_excess_of_running_programs_is_below_the_number_of_instances(
    case, instances
):
    started = sum(
        share.open_program('client') is None
        for share in instances
        for _ in range(10)
    )
    case.assertLessEqual(started, 30 + _INSTANCE_COUNT - 1)
    case.assertGreaterEqual(started, 30)
    instances[0].close_program('client')
    case.assertIsNone(instances[0].open_program('client'))
    case.assertIsNotNone(instances[0].open_program('client'))


load_tests = fixtures.adapt(__name__)
