"""Tests of pauses, deaths and store faults at every step of ownership."""

import asyncio

from tests.node import machines
from vanillayoke.cluster import messages
from vanillayoke.core import ids
from vanillayoke.testing import fixtures

_PAUSE = 20.0


async def _stop_all(cluster, load):
    await load.stop()
    for machine in cluster.started:
        machine.gate.open()
        await machine.kill()


async def _run_pause(case, loop, pass_number):
    """Pause the first of two instances at one await; return its passes."""
    cluster = machines.Cluster(loop)
    first = await cluster.add('one')
    second = await cluster.add('two')
    load = machines.Workload(cluster, 12)
    before = first.gate.passed
    first.gate.pause_at = before + pass_number
    first.gate.on_pause = lambda: loop.call_later(_PAUSE, first.gate.open)
    load.start(first)
    load.start(second)
    await asyncio.sleep(2.5)
    cluster.set_state('one', messages.State.FAILED)
    await asyncio.sleep(_PAUSE + 10.0)
    passed = first.gate.passed - before
    load.check_order(case)
    load.check_kept(case, first, second)
    lost = first.journal.lease.is_lost
    await _stop_all(cluster, load)
    return passed, lost


async def test_paused_holder_never_acts_behind_its_successor(case, loop):
    """An order is sent twice, by a paused instance and by its successor.

    An instance stands still at some await, its lease runs out and another
    one takes over. When it goes on, it must find that out before its next
    act; and whatever it had acknowledged must be with the successor.
    """
    fenced = 0
    for pass_number in range(1, 120, 8):
        _, lost = await _run_pause(case, loop, pass_number)
        fenced += lost
    case.assertGreater(fenced, 10)


async def test_long_outage_of_the_store_moves_nothing(case, loop):
    """All programs move, or stand still, since the store was down a minute.

    Nobody can renew in the outage. If watchers counted on through it, they
    would fence live holders as soon as the store is back.
    """
    cluster = machines.Cluster(loop)
    started = [await cluster.add(name) for name in ('one', 'two', 'three')]
    await asyncio.sleep(30.0)
    load = machines.Workload(cluster, 12)
    for machine in started:
        load.start(machine)
    await asyncio.sleep(5.0)
    owned = cluster.list_owned()
    for outage in (3.0, 5.0, 6.5, 8.0, 60.0):
        cluster.faults.down = True
        await asyncio.sleep(outage)
        cluster.faults.down = False
        await asyncio.sleep(10.0)
        case.assertEqual(owned, cluster.list_owned(), outage)
        for machine in started:
            case.assertFalse(machine.journal.lease.is_lost, outage)
    load.check_order(case)
    load.check_kept(case, *started)
    await _stop_all(cluster, load)


async def test_two_takers_share_the_shards_of_a_dead_instance(case, loop):
    cluster = machines.Cluster(loop)
    started = [await cluster.add(name) for name in ('one', 'two', 'three')]
    await asyncio.sleep(20.0)
    load = machines.Workload(cluster, 30)
    for machine in started:
        load.start(machine)
    await asyncio.sleep(10.0)
    await started[0].kill()
    died = loop.time()
    await asyncio.sleep(1.0)
    cluster.set_state('one', messages.State.FAILED)
    await asyncio.sleep(10.0)
    case.assertEqual(ids.SHARD_COUNT, sum(cluster.list_owned().values()))
    load.check_order(case)
    load.check_kept(case, *started[1:])
    for machine in started[1:]:
        for at in machine.gained_at.values():
            case.assertLess(at - died, cluster.lease.time_to_live + 2.0)
    await _stop_all(cluster, load)


async def _run_half_way(case, loop, pass_number):
    """Kill an instance, then its taker at one of the taker's awaits."""
    cluster = machines.Cluster(loop)
    first = await cluster.add('one')
    load = machines.Workload(cluster, 10, pace=0.02)
    load.start(first)
    await asyncio.sleep(3.0)
    await first.kill()
    taker = await cluster.add('two')
    cluster.set_state('one', messages.State.FAILED)
    load.start(taker)
    await machines.wait_for_fence(cluster, first)
    taker.gate.pause_at = taker.gate.passed + pass_number
    taker.gate.on_pause = taker.gate.die
    await asyncio.sleep(3.0)
    owners = [row.owner for row in await machines.read_shard_rows(cluster)]
    claimed = owners.count(taker.incarnation)
    served = len(taker.ownership.owned_shards())
    await taker.kill()
    cluster.set_state('two', messages.State.FAILED)
    third = await cluster.add('three')
    load.start(third)
    await asyncio.sleep(12.0)
    case.assertEqual(
        ids.SHARD_COUNT, len(third.ownership.owned_shards()), pass_number
    )
    load.check_order(case)
    load.check_kept(case, third)
    await _stop_all(cluster, load)
    return claimed, served


async def test_taker_that_dies_half_way_loses_nothing(case, loop):
    """A program is gone after two deaths in a row.

    The taker of a dead instance dies between claim and settlement; the next
    one must replay the dead one's journal and what the taker had written.
    """
    ends = {
        await _run_half_way(case, loop, pass_number)
        for pass_number in (3, 60, 128, 132, 136, 140, 160, 250)
    }
    whole = ids.SHARD_COUNT
    case.assertTrue(any(0 < claimed < whole for claimed, _ in ends), ends)
    case.assertTrue(any(0 < served for _, served in ends), ends)
    case.assertIn((whole, 0), ends)


async def test_lost_replies_in_a_takeover_lose_nothing(case, loop):
    """Shards stand still, or move twice, since replies were lost.

    The fence, the claims or the settlement took effect, and the taker does
    not hear of it.
    """
    for lost in (1, 2, 5, 9):
        cluster = machines.Cluster(loop)
        first = await cluster.add('one')
        load = machines.Workload(cluster, 10)
        load.start(first)
        await asyncio.sleep(3.0)
        await first.kill()
        second = await cluster.add('two')
        cluster.set_state('one', messages.State.FAILED)
        await asyncio.sleep(6.3)
        cluster.faults.lost_replies = lost
        await asyncio.sleep(15.0)
        owned = second.ownership.owned_shards()
        case.assertEqual(ids.SHARD_COUNT, len(owned), lost)
        load.check_kept(case, second)
        for program in load.programs:
            case.assertEqual(
                2, second.ownership.epoch_of(ids.find_shard(program))
            )
        await _stop_all(cluster, load)


async def test_instance_that_starts_in_an_outage_takes_nothing(case, loop):
    """Two instances act for one program after a start in an outage.

    The new instance could not read the rows, and held all shards for free.
    Its claims waited their turn while a scan got through, and were written
    with the versions that the scan had brought.
    """
    cluster = machines.Cluster(loop)
    first = await cluster.add('one')
    busy = frozenset(range(ids.SHARD_COUNT))
    first.ownership.provide_may_move(lambda shard: shard not in busy)
    cluster.faults.down = True
    second = cluster.build('two')
    starting = asyncio.ensure_future(second.start())
    loop.call_later(5.0, setattr, cluster.faults, 'down', False)
    await starting
    await asyncio.sleep(10.0)
    case.assertEqual(ids.SHARD_COUNT, len(first.ownership.owned_shards()))
    case.assertEqual(0, len(second.ownership.owned_shards()))
    for machine in (first, second):
        await machine.kill()


load_tests = fixtures.adapt(__name__)
