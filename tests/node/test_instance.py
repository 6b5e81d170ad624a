"""Tests of whole instances together, in virtual time."""

import msgspec

from tests.node import sites
from vanillayoke.core import failures
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures

_ORDER = '[[tool:stock {"sku":1}]][[tool:order {"sku":1}]][[say:200]]'


async def test_program_runs_to_its_final_answer(case, site, caller):
    await sites.start_three(site)
    opened = await caller.open('open-1')
    told = await caller.run(opened['program'], 'run-1', _ORDER)
    case.assertEqual(told.text, told.final.text)
    case.assertEqual([1], list(site.services['orders-1'].executions.values()))


async def test_program_goes_on_when_its_owner_dies(case, site, caller):
    """A designer waits for the board's answer and still gets it.

    The owner dies while the answer streams; another instance takes the
    program over, and the caller repeats its key there. The order that had
    been placed is not placed again.
    """
    await sites.start_three(site)
    opened = await caller.open('open-1')
    site.clock.call_after(0.3, lambda: site.kill(opened['instance']))
    told = await caller.run(opened['program'], 'run-1', _ORDER)
    case.assertFalse(failures.is_failure(told.final), told)
    case.assertTrue(told.failed)
    case.assertEqual(told.text, told.final.text)
    case.assertEqual([1], list(site.services['orders-1'].executions.values()))


async def test_published_policy_is_in_force(case, site, caller):
    """Operators choose another placement, and nothing changes.

    The policy of the configuration has to reach the scheduler, which was
    built before it was known.
    """
    settings = msgspec.structs.replace(
        site.describe(),
        policy=configuration.PolicySettings(placement='least_load'),
    )
    await site.publish(settings)
    started = await site.start_instance('instance-1', 'zone-a')
    await site.clock.sleep(3.0)
    opened = await caller.open('open-1')
    await caller.run(opened['program'], 'turn-1', '[[say:9]]')
    placements = started.served.dispatcher.list_placements(opened['program'])
    reasons = {one.reason for placed in placements for one in placed.weighed}
    case.assertEqual({'load'}, reasons)


load_tests = fixtures.adapt(__name__, [sites])
