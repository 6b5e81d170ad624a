"""Tests of the programs that an instance hosts."""

from tests.node import sites
from vanillayoke.harness import virtual
from vanillayoke.testing import fixtures

_RETENTION = 100.0


async def test_ended_programs_leave_the_memory(case, site, caller):
    """An instance that serves for months does not grow without end."""
    await site.publish()
    await site.start_instance(
        'instance-1',
        virtual.ZONES[0],
        store=virtual.process.StoreSettings(retention=_RETENTION),
    )
    await site.clock.sleep(2.0)
    ended = await caller.open('open-1')
    await caller.run(ended['program'], 'turn-1', '[[child:researcher hi]]')
    await caller.end(ended['program'])
    active = await caller.open('open-2')
    hosted = site.instances['instance-1'].served.programs
    await site.clock.sleep(_RETENTION - 10)
    case.assertEqual(3, len(hosted.known))
    await site.clock.sleep(60)
    case.assertEqual([active['program']], list(hosted.known))


async def test_program_ends_at_its_deadline(case, site, caller):
    """Engine memory stays with programs whose clients went away.

    A designer closes the board and never ends the program. At the deadline
    its owner ends it, and the engine's memory is freed.
    """
    await sites.start_three(site)
    opened = await caller.open('open-1', deadline=10.0)
    await caller.run(opened['program'], 'turn-1', '[[say:20]]')
    held = [engine.batch.cache for engine in site.engines.values()]
    case.assertTrue(any(held))
    await site.clock.sleep(15.0)
    view = await caller.view(opened['program'])
    case.assertEqual('expired', view['state'])
    case.assertFalse(any(held))


load_tests = fixtures.adapt(__name__, [sites])
