"""Tests of orderly moves: joining, leaving, rolling replacement."""

import asyncio

from tests.node import machines
from vanillayoke.cluster import messages
from vanillayoke.cluster import rows
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.testing import fixtures


@fixtures.fixture
def cluster(loop):
    return machines.Cluster(loop)


async def test_joining_instance_gets_its_share_with_the_programs(
    case, cluster
):
    first = await cluster.add('one')
    programs = machines.make_programs(30)
    for program in programs:
        first.open_program(program)
    second = await cluster.add('two')
    await asyncio.sleep(15.0)
    owned = cluster.list_owned()
    case.assertEqual(ids.SHARD_COUNT, sum(owned.values()))
    case.assertLess(abs(owned['one'] - owned['two']), 300)
    for program in programs:
        shard = ids.find_shard(program)
        holders = [
            machine
            for machine in (first, second)
            if machine.ownership.epoch_of(shard) is not None
        ]
        case.assertEqual(1, len(holders))
        case.assertIsNotNone(holders[0].programs.find(program))
    case.assertGreater(len(first.lost_at), 5)
    for program, lost_at in first.lost_at.items():
        case.assertLess(second.gained_at[program] - lost_at, 0.5)


async def test_successor_of_a_leaving_instance_need_not_wait(case, cluster):
    """Programs stand still for a whole lease at each planned stop.

    The successor cannot tell a stop from a death unless the leaving
    instance hands its shards over.
    """
    first = await cluster.add('one')
    second = await cluster.add('two')
    await asyncio.sleep(15.0)
    program = next(
        program
        for program in machines.make_programs(20)
        if ids.find_shard(program) in first.ownership.owned_shards()
    )
    first.open_program(program)
    cluster.set_state('one', messages.State.LEAVING)
    begin = cluster.loop.time()
    case.assertIsNone(await first.leave())
    row = await cluster.platform.table.read(
        rows.name_instance_row(first.incarnation)
    )
    state = rows.decode_row(row.value, rows.InstanceRow).state
    case.assertEqual(rows.InstanceState.GONE, state)
    await asyncio.sleep(2.0)
    case.assertEqual(ids.SHARD_COUNT, len(second.ownership.owned_shards()))
    case.assertLess(second.gained_at[program] - begin, 1.5)


async def test_lost_reply_to_a_handover_takes_nothing_back(case, cluster):
    """A shard goes back to an epoch that it had left behind.

    The reply to a handover was lost, and the heir has changed the row
    since. The giver reads a row that is not the one it wrote, and writes
    its handover again.
    """
    first = await cluster.add('one')
    for program in machines.make_programs(50):
        first.open_program(program)
    port = first.platform.table
    transact = port.transact

    async def lose_replies(write_id, writes):
        result = await transact(write_id, writes)
        if not writes[0].key.startswith(rows.SHARD_PREFIX):
            return result
        await asyncio.sleep(2.0)
        return failures.Failure(failures.Kind.STORE_UNCERTAIN, 'no reply')

    port.transact = lose_replies
    second = await cluster.add('two')
    # A member without a row makes the heir read all rows again and again.
    ghost = second.member._replace(instance='ghost')
    for _ in range(40):
        second.ownership.update_members([first.member, second.member, ghost])
        await asyncio.sleep(0.5)
    port.transact = transact
    await asyncio.sleep(20.0)
    found = await machines.read_shard_rows(cluster)
    theirs = [row for row in found if row.owner == second.incarnation]
    case.assertGreater(len(theirs), 1800)
    case.assertEqual({2}, {row.epoch for row in theirs})
    case.assertFalse([row for row in theirs if row.sources])


async def test_leaving_in_the_middle_of_a_handover(case, cluster):
    first = await cluster.add('one')
    programs = machines.make_programs(30)
    for program in programs:
        first.open_program(program)
    second = await cluster.add('two')
    first.ownership.subscribe_lost(lambda _: moving.set())
    moving = asyncio.Event()
    await moving.wait()
    case.assertIsNone(await first.leave())
    await asyncio.sleep(2.0)
    case.assertEqual(ids.SHARD_COUNT, len(second.ownership.owned_shards()))
    for program in programs:
        case.assertIsNotNone(second.programs.find(program))


async def test_stop_that_is_asked_for_twice_loses_nothing(case, cluster):
    """All programs of an instance are gone after an orderly stop.

    An operator drained it while the machine shut it down. The second
    handover found the programs already dropped, and handed over empty
    shards before the first had stored them.
    """
    first = await cluster.add('one')
    programs = machines.make_programs(30)
    for program in programs:
        first.open_program(program)
    second = await cluster.add('two')
    await asyncio.sleep(1.0)
    await asyncio.gather(first.leave(), first.leave())
    await asyncio.sleep(2.0)
    for program in programs:
        case.assertIsNotNone(second.programs.find(program))


async def test_shard_is_handed_over_once(case, cluster):
    first = await cluster.add('one')
    first.open_program('prg-1')
    heirs = {ids.find_shard('prg-1'): ''}
    giver = first.ownership._giver
    await asyncio.gather(giver.hand_over(heirs), giver.hand_over(heirs))
    await asyncio.sleep(12.0)
    case.assertIsNotNone(first.programs.find('prg-1'))


async def test_news_of_members_does_not_end_a_stop(case, cluster):
    """A stop never ends and writes to the table without a pause.

    News of a member made the leaving instance count itself among the
    owners again: it handed shards to itself.
    """
    first = await cluster.add('one')
    second = await cluster.add('two')
    await asyncio.sleep(15.0)
    leaving = asyncio.ensure_future(first.leave())
    for _ in range(50):
        await asyncio.sleep(0.001)
        cluster.spread_members()
    case.assertIsNone(await asyncio.wait_for(leaving, 3.0))
    await asyncio.sleep(2.0)
    case.assertEqual(ids.SHARD_COUNT, len(second.ownership.owned_shards()))


async def test_last_instance_leaves_its_shards_to_anybody(case, cluster):
    first = await cluster.add('one')
    first.open_program('prg-1')
    case.assertIsNone(await first.leave())
    second = await cluster.add('two')
    await asyncio.sleep(1.0)
    case.assertEqual(ids.SHARD_COUNT, len(second.ownership.owned_shards()))
    case.assertIsNotNone(second.programs.find('prg-1'))


async def test_busy_shard_moves_when_its_call_is_over(case, cluster):
    """A long call is cut off since its shard moved to a new instance."""
    first = await cluster.add('one')
    busy = {ids.Shard(shard) for shard in range(0, ids.SHARD_COUNT, 2)}
    first.ownership.provide_may_move(lambda shard: shard not in busy)
    second = await cluster.add('two')
    await asyncio.sleep(15.0)
    case.assertEqual(set(), busy - first.ownership.owned_shards())
    case.assertGreater(len(second.ownership.owned_shards()), 800)
    busy.clear()
    await asyncio.sleep(15.0)
    case.assertGreater(len(second.ownership.owned_shards()), 1800)


async def test_rolling_replacement_keeps_all_and_fences_nobody(case, cluster):
    """Programs are lost or wait for leases while all instances are replaced.

    Every instance leaves and is started again, one behind the other, while
    programs are worked on.
    """
    names = ('one', 'two', 'three')
    load = machines.Workload(cluster, 40, pace=0.01)
    for name in names:
        load.start(await cluster.add(name))
    await asyncio.sleep(15.0)
    for name in names:
        old = next(
            machine
            for machine in cluster.started
            if machine.name == name and machine.is_up
        )
        cluster.set_state(name, messages.State.LEAVING)
        case.assertIsNone(await old.leave())
        load.start(await cluster.add(name))
        await asyncio.sleep(10.0)
    load.check_order(case)
    up = [machine for machine in cluster.started if machine.is_up]
    load.check_kept(case, *up)
    case.assertEqual(ids.SHARD_COUNT, sum(cluster.list_owned().values()))
    table = await cluster.platform.table.scan(rows.INSTANCE_PREFIX)
    states = [rows.decode_row(row.value, rows.InstanceRow) for row in table]
    case.assertFalse([state for state in states if state.fenced_by])
    await load.stop()


load_tests = fixtures.adapt(__name__)
