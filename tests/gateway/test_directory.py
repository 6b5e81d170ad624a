"""Tests of the choice of instances that callers connect to."""

from vanillayoke.cluster import messages
from vanillayoke.gateway import directory
from vanillayoke.testing import fixtures


def _make(number, zone, region='r1'):
    name = f'i{number}'
    return messages.Member(name, 1, zone, region, f'{name}:1', f'{name}:2')


def _choose(members):
    return directory.choose_addresses(members, 'r1', 'z1', lambda items: None)


def test_enough_local_instances_are_returned_alone(case):
    members = [_make(n, 'z1') for n in range(3)] + [_make(9, 'z2')]
    case.assertEqual(['i0:1', 'i1:1', 'i2:1'], _choose(members))


def test_too_few_local_instances_are_completed_from_other_zones(case):
    members = [_make(1, 'z1'), _make(2, 'z2'), _make(3, 'z9', 'r2')]
    case.assertEqual(['i1:1', 'i2:1', 'i3:1'], _choose(members))


def test_number_of_addresses_is_limited(case):
    members = [_make(n, 'z1') for n in range(200)]
    case.assertEqual(directory.MAX_ADDRESSES, len(_choose(members)))


load_tests = fixtures.adapt(__name__)
