"""Tests of what becomes of shard rows and of what is replayed."""

from vanillayoke.cluster import rows
from vanillayoke.cluster import takeover
from vanillayoke.core import ids
from vanillayoke.programs import records
from vanillayoke.testing import fixtures

_PROGRAM = 'prg-1'
_SHARD = ids.find_shard(_PROGRAM)


def _hold(epoch, target):
    return records.CacheHeld(_PROGRAM, epoch, target=target)


def _select(row, journals):
    selection = takeover.RecordSelection({_SHARD: row})
    for incarnation, found in journals.items():
        selection.add(incarnation, found)
    return [record.target for record in selection.list_ordered()]


def test_first_claim_has_nothing_to_replay(case):
    claim = takeover.make_claim(rows.ShardRow(), 'a')
    case.assertEqual(rows.ShardRow('a', 1, ()), claim)


def test_taker_that_dies_half_way_leaves_all_sources(case):
    row = takeover.make_claim(rows.ShardRow('dead', 4), 'taker')
    row = takeover.make_claim(row, 'next')
    expected = (rows.Source('dead', 4), rows.Source('taker', 5))
    case.assertEqual(rows.ShardRow('next', 6, expected), row)


def test_unreplayed_shard_is_passed_on_with_its_sources(case):
    claimed = takeover.make_claim(rows.ShardRow('dead', 4), 'leaving')
    passed = takeover.pass_on(claimed, 'heir')
    case.assertEqual((rows.Source('dead', 4),), passed.sources)
    case.assertEqual(6, passed.epoch)


def test_released_shard_is_claimed_with_the_extent_only(case):
    row = rows.ShardRow('old', 4)
    released = takeover.make_handover(row, '', takeover.Extent(7, 8))
    claim = takeover.make_claim(released, 'new')
    source = rows.Source('old', 4, first=7, last=8)
    case.assertEqual(rows.ShardRow('new', 5, (source,)), claim)


def test_journals_are_replayed_in_the_order_of_epochs(case):
    row = rows.ShardRow(
        'me', 6, (rows.Source('dead', 4), rows.Source('taker', 5))
    )
    found = _select(row, {'taker': [_hold(5, 'c')], 'dead': [_hold(4, 'a')]})
    case.assertEqual(['a', 'c'], found)


def test_stale_records_of_an_earlier_ownership_are_passed_over(case):
    """A program goes back to what it was hours ago, after two failures.

    Its first owner handed it over, and got it back when the second owner
    died; it died before its replay was through. Its journal still holds
    the records of its first ownership.
    """
    row = rows.ShardRow(
        'me', 6, (rows.Source('second', 4), rows.Source('first', 5))
    )
    journals = {
        'second': [_hold(4, 'new')],
        'first': [_hold(3, 'old'), _hold(5, 'newest')],
    }
    case.assertEqual(['new', 'newest'], _select(row, journals))


def test_segments_of_an_extent_are_read_below_the_base(case):
    row = rows.InstanceRow(
        name='a',
        incarnation='a-1',
        zone='',
        region='',
        entry_address='',
        peer_address='',
        base=5,
        head=9,
        tail=True,
    )
    shard = frozenset((_SHARD,))
    handed = takeover.Wanted(rows.Source('a-1', 1, 3, 4), shard)
    whole = takeover.Wanted(rows.Source('a-1', 2), shard)
    case.assertEqual([3, 4], takeover.list_segments([handed], row))
    case.assertFalse(takeover.needs_tail([handed], row))
    case.assertEqual(
        [3, 4, 5, 6, 7, 8, 9], takeover.list_segments([handed, whole], row)
    )
    case.assertTrue(takeover.needs_tail([handed, whole], row))


def test_shard_rows_survive_their_encoding(case):
    row = rows.ShardRow('a', 3, (rows.Source('b', 2, 1, 4),))
    found = rows.decode_row(rows.encode_row(row), rows.ShardRow)
    case.assertEqual(row, found)
    key = rows.name_shard_row(ids.Shard(17))
    case.assertEqual(17, rows.parse_shard_row(key))


load_tests = fixtures.adapt(__name__)
