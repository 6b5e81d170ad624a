"""Tests of release orders beside the orders of a target's giver."""

from tests.node import sites
from tests.node import test_orders
from vanillayoke.testing import fixtures


async def test_release_is_not_refused_for_its_old_epoch(case, site, caller):
    """Engine memory stays with programs that ended long ago.

    A program's owner tells the engine to free its cache. The engine checks
    epochs and has had orders from the giver of its shard, whose epochs the
    owner of the program does not know.
    """
    engine = test_orders.replace_engine(site, fencing=True)
    del site.engines['engine-2']
    tuned = test_orders.pin()
    described = test_orders.describe(site, 'checks', tuned=tuned)
    await test_orders.start(site, described)
    await test_orders.wait_until(site, lambda: 'tuned' in engine.loaded)
    case.assertGreater(engine.epoch, 0)
    opened = await caller.open('open-1')
    await caller.run(opened['program'], 'run-1', '[[say:20]]')
    case.assertIn(opened['program'], engine.batch.cache)
    await caller.end(opened['program'])
    await site.clock.sleep(15.0)
    case.assertEqual({}, engine.batch.cache)
    case.assertEqual({'base': '1', 'tuned': '1'}, engine.loaded)


load_tests = fixtures.adapt(__name__, [sites])
