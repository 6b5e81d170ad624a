"""Tests of which instances callers are sent to."""

from vanillayoke.cluster import messages
from vanillayoke.gateway import directory
from vanillayoke.testing import fixtures


def _make(number, zone, region='r1'):
    name = f'i{number}'
    return messages.Member(name, 1, zone, region, f'{name}:1', f'{name}:2')


def _choose(members):
    return directory.choose_addresses(members, 'r1', 'z1', lambda items: None)


def test_enough_near_instances_are_named_alone(case):
    members = [_make(n, 'z1') for n in range(3)] + [_make(9, 'z2')]
    case.assertEqual(['i0:1', 'i1:1', 'i2:1'], _choose(members))


def test_too_few_near_ones_are_joined_by_the_next(case):
    members = [_make(1, 'z1'), _make(2, 'z2'), _make(3, 'z9', 'r2')]
    case.assertEqual(['i1:1', 'i2:1', 'i3:1'], _choose(members))


def test_answer_holds_no_more_than_callers_take(case):
    members = [_make(n, 'z1') for n in range(200)]
    case.assertEqual(directory.MAX_ADDRESSES, len(_choose(members)))


load_tests = fixtures.adapt(__name__)
