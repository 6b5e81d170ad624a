"""Tests of the desired owners of shards."""

from vanillayoke.cluster import shards
from vanillayoke.core import ids
from vanillayoke.testing import fixtures

_ZONES = {
    zone: [f'{zone}-{number}' for number in range(1, 4)]
    for zone in ('sapporo-a', 'sapporo-b', 'asahikawa', 'kushiro')
}
_ALL = [name for names in _ZONES.values() for name in names]


def _build(names):
    built = shards.ShardMap()
    built.update(names)
    return built


def _count(built, names):
    return {name: len(built.list_shards(name)) for name in names}


def test_no_member_owns_nothing(case):
    case.assertEqual('', _build([]).find_owner(ids.Shard(0)))


def test_shards_spread_evenly(case):
    counts = _count(_build(_ALL), _ALL).values()
    case.assertEqual(ids.SHARD_COUNT, sum(counts))
    case.assertLess(max(counts), 1.2 * ids.SHARD_COUNT / 12)
    case.assertGreater(min(counts), 0.8 * ids.SHARD_COUNT / 12)


def test_order_and_history_of_changes_make_no_difference(case):
    """Two instances claim and hand over one shard in turns for ever.

    They came to the same members by other ways, and their maps differ.
    """
    fresh = _build(reversed(_ALL))
    other = _build(_ALL[3:9])
    other.update(_ALL[5:])
    other.update(_ALL)
    for shard in range(ids.SHARD_COUNT):
        case.assertEqual(fresh.find_owner(shard), other.find_owner(shard))


def test_only_shards_of_a_lost_zone_move_and_all_take_some(case):
    built = _build(_ALL)
    before = [built.find_owner(shard) for shard in range(ids.SHARD_COUNT)]
    lost = set(_ZONES['kushiro'])
    moved = built.update(set(_ALL) - lost)
    gained = dict.fromkeys(set(_ALL) - lost, 0)
    for shard, owner in enumerate(before):
        if owner in lost:
            gained[built.find_owner(shard)] += 1
        else:
            case.assertEqual(owner, built.find_owner(shard))
    case.assertEqual(sum(owner in lost for owner in before), moved)
    share = moved / len(gained)
    case.assertLess(max(gained.values()), 1.35 * share)
    case.assertGreater(min(gained.values()), 0.65 * share)


def test_members_are_drawn_alike_and_only_if_accepted(case):
    built = _build(_ALL)
    other = _build(reversed(_ALL))
    others = frozenset(_ALL[1:])
    for key in _ALL:
        drawn = built.draw_members(key, 2, others.__contains__)
        again = other.draw_members(key, 2, others.__contains__)
        case.assertEqual(drawn, again)
        case.assertEqual(2, len(others.intersection(drawn)))
    case.assertEqual([], built.draw_members('x', 2, {}.__contains__))


load_tests = fixtures.adapt(__name__)
