"""Tests of conditional changes to the shard rows."""

import asyncio
import random

from tests.node import machines
from vanillayoke.cluster import rows
from vanillayoke.core import ids
from vanillayoke.core import timers
from vanillayoke.node import shardtable
from vanillayoke.testing import fixtures


@fixtures.fixture
def cluster(loop):
    return machines.Cluster(loop)


def _build(cluster):
    return shardtable.ShardTable(
        cluster.platform.table,
        timers.LoopTimers(cluster.loop),
        random.Random(3),
        lambda writes: None,
    )


def _claim(owner):
    row = rows.ShardRow(owner, 1)
    return {ids.Shard(shard): row for shard in range(ids.SHARD_COUNT)}


async def test_rows_that_another_has_changed_are_left_alone(case, cluster):
    mine, theirs = _build(cluster), _build(cluster)
    await theirs.change({ids.Shard(7): rows.ShardRow('they', 1)})
    written = await mine.change(_claim('me'))
    case.assertEqual(ids.SHARD_COUNT - 1, len(written))
    case.assertEqual('they', mine.find(ids.Shard(7)).owner)


async def test_scan_lends_no_version_to_an_earlier_decision(case, cluster):
    """An instance that starts in an outage takes shards from live owners.

    It plans claims on rows that it could not read yet. While the later
    batches wait their turn a scan brings the real rows with their versions.
    """
    mine, theirs = _build(cluster), _build(cluster)
    await theirs.change(_claim('they'))
    claiming = asyncio.ensure_future(mine.change(_claim('me')))
    await asyncio.sleep(0)
    await mine.scan()
    case.assertEqual({}, await claiming)
    found = await machines.read_shard_rows(cluster)
    case.assertEqual({'they'}, {row.owner for row in found})


async def test_lost_reply_counts_as_written(case, cluster):
    mine = _build(cluster)
    cluster.faults.lost_replies = 1
    claim = {ids.Shard(1): rows.ShardRow('me', 1)}
    case.assertEqual(claim, await mine.change(claim))
    case.assertEqual('me', mine.find(ids.Shard(1)).owner)
    settled = {ids.Shard(1): rows.ShardRow('me', 2)}
    case.assertEqual(settled, await mine.change(settled))


load_tests = fixtures.adapt(__name__)
