"""Tests of keeping journals short and of clearing dead ones away."""

import asyncio

from tests.node import machines
from vanillayoke.cluster import messages
from vanillayoke.cluster import rows
from vanillayoke.core import ids
from vanillayoke.node import compaction
from vanillayoke.platform import ports
from vanillayoke.programs import records
from vanillayoke.testing import fixtures

_BIG = 'x' * 20000


@fixtures.fixture
def cluster(loop):
    return machines.Cluster(loop)


async def _write_much(machine, programs, rounds):
    for number in range(rounds):
        for program in programs:
            machine.hold(program, f'{number} {_BIG}')
            machine.release(program, f'{number} {_BIG}')
        await machine.journal.flush()


def _end(machine, program):
    epoch = machine.ownership.held_epoch(ids.find_shard(program))
    machine.programs.write(
        [
            records.ProgramEnded(
                program,
                epoch,
                reason='ended',
                ended_at=machine.timers.wall(),
            )
        ]
    )


async def _list_segments(cluster, machine):
    prefix = rows.name_segment_prefix(machine.incarnation)
    return await cluster.platform.objects.list_keys(prefix)


async def test_journal_stays_in_bounds_and_its_heir_has_all(case, cluster):
    first = await cluster.add('one')
    programs = machines.make_programs(10)
    for program in programs:
        first.open_program(program)
        first.hold(program, 'engine-1')
    await _write_much(first, programs, 60)
    await asyncio.sleep(30.0)
    keys = await _list_segments(cluster, first)
    case.assertLess(len(keys), compaction.MOST_SEGMENTS)
    case.assertLess(
        first.journal.extents.size, 2 * compaction.SMALLEST_JOURNAL
    )
    case.assertGreater(first.journal.row.base, 10)
    await first.kill()
    second = await cluster.add('two')
    cluster.set_state('one', messages.State.FAILED)
    await asyncio.sleep(9.0)
    for program in programs:
        case.assertEqual(
            {'engine-1'}, second.programs.find(program).cache_targets
        )


async def test_ended_program_leaves_the_store_when_its_time_is_over(
    case, cluster
):
    first = await cluster.add('one')
    old, kept = machines.make_programs(2)
    for program in (old, kept):
        first.open_program(program)
    _end(first, old)
    await asyncio.sleep(machines.RETENTION)
    _end(first, kept)
    busy = machines.make_programs(12)[2:]
    for program in busy:
        first.open_program(program)
    await _write_much(first, busy, 60)
    await asyncio.sleep(30.0)
    found = await machines.read_journal(cluster, first.incarnation)
    named = {record.program for record in found}
    case.assertIn(kept, named)
    case.assertNotIn(old, named)


async def test_handed_segments_stay_until_the_heir_has_read_them(
    case, cluster
):
    """The heir of a shard finds the segments deleted that hold it.

    The giver goes on writing, and compacts before the heir was able to
    read: its link to the store was cut.
    """
    first = await cluster.add('one')
    programs = machines.make_programs(40)
    for program in programs:
        first.open_program(program)
    second = cluster.build('two')
    cluster.states['two'] = messages.State.ALIVE
    await second.start()
    second.platform.objects.get = _hang
    cluster.spread_members()
    await asyncio.sleep(12.0)
    mine = [one for one in programs if first.programs.find(one) is not None]
    case.assertLess(len(mine), len(programs))
    await _write_much(first, mine, 30)
    await asyncio.sleep(20.0)
    del second.platform.objects.get
    second.gate.open()
    await asyncio.sleep(10.0)
    for program in programs:
        case.assertIsNotNone(
            first.programs.find(program) or second.programs.find(program)
        )


async def _hang(key):
    await asyncio.sleep(4.0)
    return machines.DOWN


async def test_dead_journal_is_cleared_away_once_it_is_replayed(case, cluster):
    first = await cluster.add('one')
    programs = machines.make_programs(5)
    for program in programs:
        first.open_program(program)
    await _write_much(first, programs, 10)
    await first.kill()
    second = await cluster.add('two')
    cluster.set_state('one', messages.State.FAILED)
    await asyncio.sleep(8.0)
    case.assertEqual(5, len(second.programs.known))
    await asyncio.sleep(30.0)
    case.assertEqual([], await _list_segments(cluster, first))
    for key in (
        rows.name_instance_row(first.incarnation),
        rows.name_tail_row(first.incarnation),
        rows.name_notice_row(first.incarnation),
    ):
        case.assertIsNone(await cluster.platform.table.read(key))


async def test_dead_journal_is_kept_until_it_is_replayed(case, cluster):
    """All of a dead instance's programs are lost though nothing failed for
    good: the taker could not read its journal for a while, and cleared it
    away meanwhile.
    """
    first = await cluster.add('one')
    programs = machines.make_programs(5)
    for program in programs:
        first.open_program(program)
    await _write_much(first, programs, 10)
    await first.kill()
    second = await cluster.add('two')
    second.platform.objects.get = _hang
    cluster.set_state('one', messages.State.FAILED)
    await asyncio.sleep(60.0)
    case.assertEqual(0, len(second.programs.known))
    del second.platform.objects.get
    await asyncio.sleep(15.0)
    case.assertEqual(5, len(second.programs.known))


async def test_handover_to_a_dead_instance_can_land_late(case, cluster):
    """A shard is served by nobody for ever, and says that a segment is gone.

    Its owner handed it to an instance that had just been fenced, and the
    write landed when the dead one's journal was half cleared away.
    """
    first = await cluster.add('one')
    programs = machines.make_programs(5)
    for program in programs:
        first.open_program(program)
    await _write_much(first, programs, 10)
    await first.kill()
    second = await cluster.add('two')
    cluster.set_state('one', messages.State.FAILED)
    before = len(await _list_segments(cluster, first))
    second.platform.objects.delete = _FailingDeletes(cluster, 2).delete
    await asyncio.sleep(20.0)
    case.assertEqual(5, len(second.programs.known))
    left = len(await _list_segments(cluster, first))
    case.assertEqual(before - 2, left)
    shard = ids.find_shard(programs[0])
    key = rows.name_shard_row(shard)
    late = rows.ShardRow(first.incarnation, 9)
    await cluster.platform.table.transact(
        'late', [ports.Put(key, rows.encode_row(late), None)]
    )
    await second.kill()
    third = await cluster.add('three')
    cluster.set_state('two', messages.State.FAILED)
    await asyncio.sleep(20.0)
    case.assertEqual(ids.SHARD_COUNT, len(third.ownership.owned_shards()))


class _FailingDeletes:
    def __init__(self, cluster, allowed):
        self._objects = cluster.platform.objects
        self._allowed = allowed

    async def delete(self, key):
        self._allowed -= 1
        if self._allowed < 0:
            return machines.DOWN
        return await self._objects.delete(key)


load_tests = fixtures.adapt(__name__)
