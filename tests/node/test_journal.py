"""Tests of the group commit and of the lease that rides on it."""

import asyncio

from tests.node import machines
from vanillayoke.cluster import rows
from vanillayoke.core import failures
from vanillayoke.platform import ports
from vanillayoke.programs import records
from vanillayoke.testing import fixtures

_BIG = 'x' * 3000


@fixtures.fixture
def cluster(loop):
    return machines.Cluster(loop)


@fixtures.fixture
def journal(cluster):
    return cluster.build('one').journal


@fixtures.fixture
def segment_journal(cluster):
    """A journal without a tail row: each commit puts a segment first."""
    return cluster.build('one', inline_limit=0).journal


def _make(number, text=''):
    return records.CacheHeld('prg-1', 1, target=f'{number} {text}')


async def _check_kept(case, cluster, journal, count, text=''):
    expected = [_make(number, text) for number in range(count)]
    kept = await machines.read_journal(cluster, journal.incarnation)
    case.assertEqual(expected, kept)


async def _fence(cluster, journal):
    key = rows.name_instance_row(journal.incarnation)
    found = await cluster.platform.table.read(key)
    put = ports.Put(key, found.value, found.version)
    await cluster.platform.table.transact('fence', [put])


async def test_flush_makes_all_before_it_durable_in_one_write(
    case, cluster, journal
):
    await journal.start()
    await asyncio.sleep(1.0)
    writes = cluster.writes
    for number in range(100):
        journal.append([_make(number)])
    results = await asyncio.gather(*(journal.flush() for _ in range(100)))
    case.assertEqual({None}, set(results))
    case.assertEqual(1, cluster.writes - writes)
    case.assertEqual(0, journal.pending_records)
    await _check_kept(case, cluster, journal, 100)


async def test_records_survive_in_order_through_many_segments(
    case, cluster, journal
):
    await journal.start()
    for number in range(500):
        journal.append([_make(number, _BIG)])
        await asyncio.sleep(0.005)
    case.assertIsNone(await journal.flush())
    case.assertGreater(journal.row.head, 5)
    await _check_kept(case, cluster, journal, 500, _BIG)


async def test_tail_follows_the_segment_that_took_its_records(
    case, cluster, journal
):
    """A successor finds some records twice, once in the segment and once
    in the tail row, which was not written again as no record was new.
    """
    await journal.start()
    journal.append([_make(0, _BIG * 12)])
    case.assertIsNone(await journal.flush())
    await asyncio.sleep(0.007)
    journal.append([_make(1)])
    case.assertIsNone(await journal.change_row())
    await asyncio.sleep(3.0)
    case.assertEqual(1, journal.row.head)
    case.assertTrue(journal.row.tail)
    kept = await machines.read_journal(cluster, journal.incarnation)
    case.assertEqual([_make(0, _BIG * 12), _make(1)], kept)


async def test_segments_alone_keep_the_same_records(
    case, cluster, segment_journal
):
    journal = segment_journal
    await journal.start()
    for number in range(50):
        journal.append([_make(number)])
        case.assertIsNone(await journal.flush())
    case.assertFalse(journal.row.tail)
    await _check_kept(case, cluster, journal, 50)


async def test_writes_keep_to_the_share_of_the_rate(case, cluster, journal):
    journal.pacer.share_with(30)
    await journal.start()
    writes = cluster.writes
    for number in range(1000):
        journal.append([_make(number)])
        await asyncio.sleep(0.01)
    case.assertLessEqual(cluster.writes - writes, 102)


async def test_idle_lease_costs_one_write_each_third_of_its_life(
    case, cluster, journal
):
    await journal.start()
    writes = cluster.writes
    await asyncio.sleep(60.0)
    case.assertLessEqual(cluster.writes - writes, 31)
    case.assertTrue(journal.lease.may_act(cluster.loop.time()))


async def test_lost_reply_is_not_taken_for_a_fence(case, cluster, journal):
    """A healthy instance drops all its programs.

    The reply to a commit is lost after its effect. The next commit expects
    the old version, conflicts, and the instance holds that for a fence.
    """
    await journal.start()
    for number in range(10):
        cluster.faults.lost_replies = number % 3
        journal.append([_make(number)])
        case.assertIsNone(await journal.flush())
        await asyncio.sleep(2.5)
    case.assertFalse(journal.lease.is_lost)
    await _check_kept(case, cluster, journal, 10)


async def test_commit_that_lands_late_is_found(case, cluster, journal):
    """A record is in the journal twice, or the instance believes itself
    fenced, since a commit landed seconds after its sender gave up.
    """
    await journal.start()
    cluster.faults.late_requests = 1
    cluster.faults.late_by = 0.002
    for number in range(10):
        journal.append([_make(number)])
        await journal.flush()
    case.assertIsNone(await journal.flush())
    case.assertFalse(journal.lease.is_lost)
    await _check_kept(case, cluster, journal, 10)


async def test_fenced_instance_gets_no_done(case, cluster, journal):
    """A caller is told "done", and the successor knows nothing of it.

    Another instance fenced this one while it was paused, and replayed its
    journal; only then the records of the caller's turn are committed.
    """
    told = []
    journal.subscribe_lost(lambda: told.append(True))
    await journal.start()
    await _fence(cluster, journal)
    journal.append([_make(0)])
    failure = await journal.flush()
    case.assertEqual(failures.Kind.LEASE_LOST, failure.kind)
    case.assertEqual([True], told)
    case.assertFalse(journal.lease.may_act(cluster.loop.time()))
    again = await journal.flush()
    case.assertEqual(failures.Kind.LEASE_LOST, again.kind)
    case.assertEqual(
        [], await machines.read_journal(cluster, journal.incarnation)
    )


async def test_outage_fails_the_flush_and_loses_nothing(
    case, cluster, journal
):
    await journal.start()
    cluster.faults.down = True
    journal.append([_make(0)])
    begin = cluster.loop.time()
    failure = await journal.flush()
    case.assertEqual(failures.Kind.STORE_UNAVAILABLE, failure.kind)
    case.assertLess(cluster.loop.time() - begin, 5.0)
    await asyncio.sleep(30.0)
    case.assertFalse(journal.lease.may_act(cluster.loop.time()))
    journal.append([_make(1)])
    cluster.faults.down = False
    await asyncio.sleep(4.0)
    case.assertTrue(journal.lease.may_act(cluster.loop.time()))
    case.assertIsNone(await journal.flush())
    await _check_kept(case, cluster, journal, 2)


async def test_failing_object_store_does_not_cost_the_lease(
    case, cluster, journal
):
    """All instances lose their leases while only the object store is down.

    Segments cannot be put, and the renewal waits behind them.
    """
    put = cluster.platform.objects.put
    is_down = True

    async def fail_to_put(key, blob):
        await asyncio.sleep(1.0)
        return machines.DOWN if is_down else await put(key, blob)

    cluster.started[0].platform.objects.put = fail_to_put
    await journal.start()
    for number in range(100):
        journal.append([_make(number, _BIG)])
    failure = await journal.flush()
    case.assertEqual(failures.Kind.STORE_UNAVAILABLE, failure.kind)
    for _ in range(30):
        await asyncio.sleep(1.0)
        case.assertTrue(journal.lease.may_act(cluster.loop.time()))
    is_down = False
    await asyncio.sleep(5.0)
    case.assertIsNone(await journal.flush())
    await _check_kept(case, cluster, journal, 100, _BIG)


async def test_nothing_is_committed_behind_the_end(case, cluster, journal):
    """A record of the last moment is acknowledged and read by nobody.

    The row says that the instance is gone, its heirs have read the journal,
    and then one more commit gets through.
    """
    await journal.start()
    journal.append([_make(0)])
    closing = asyncio.ensure_future(journal.close())
    await asyncio.sleep(0.012)
    journal.append([_make(1)])
    late = asyncio.gather(journal.change_row(), journal.flush())
    case.assertIsNone(await closing)
    for failure in await late:
        case.assertEqual(failures.Kind.LEASE_LOST, failure.kind)
    await _check_kept(case, cluster, journal, 1)


async def test_first_write_in_doubt_is_not_repeated_for_ever(
    case, cluster, journal
):
    """An instance that all others hold for dead goes on working.

    Its first write took effect with the reply lost, and its link was cut.
    The others fenced it and cleared its row away; then it writes the row
    for the first time again.
    """
    cluster.faults.lost_replies = 1
    starting = asyncio.ensure_future(journal.start())
    await asyncio.sleep(1.0)
    cluster.faults.cut_callers.add('one')
    await asyncio.sleep(30.0)
    key = rows.name_instance_row(journal.incarnation)
    await cluster.platform.table.transact('clean', [ports.Delete(key, None)])
    cluster.faults.cut_callers.clear()
    await starting
    await asyncio.sleep(5.0)
    case.assertTrue(journal.lease.is_lost)
    case.assertIsNone(await cluster.platform.table.read(key))


load_tests = fixtures.adapt(__name__)
