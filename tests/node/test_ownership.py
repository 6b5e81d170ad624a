"""Tests of claims, takeover and handover with a stand-in platform."""

import asyncio

from tests.node import machines
from vanillayoke.cluster import messages
from vanillayoke.core import ids
from vanillayoke.testing import fixtures


@fixtures.fixture
def cluster(loop):
    return machines.Cluster(loop)


async def test_first_instance_owns_all_shards_after_its_start(case, cluster):
    writes = cluster.writes
    begin = cluster.loop.time()
    first = await cluster.add('one')
    case.assertEqual(ids.SHARD_COUNT, len(first.ownership.owned_shards()))
    case.assertLess(cluster.writes - writes, 70)
    case.assertLess(cluster.loop.time() - begin, 2.0)


async def test_successor_has_the_programs_of_a_killed_instance(case, cluster):
    """A client's program is there again after its instance was killed.

    The instance dies behind a flush, without a word. Its lease runs out,
    the other instance fences it, claims its shards and replays the journal.
    """
    first = await cluster.add('one')
    programs = machines.make_programs(20)
    for program in programs:
        first.open_program(program)
        first.hold(program, 'engine-1')
    case.assertIsNone(await first.journal.flush())
    await first.kill()
    second = await cluster.add('two')
    cluster.set_state('one', messages.State.FAILED)
    await asyncio.sleep(9.0)
    case.assertEqual(ids.SHARD_COUNT, len(second.ownership.owned_shards()))
    for program in programs:
        found = second.programs.find(program)
        case.assertEqual({'engine-1'}, found.cache_targets)
        case.assertEqual(2, second.ownership.epoch_of(ids.find_shard(program)))


load_tests = fixtures.adapt(__name__)
