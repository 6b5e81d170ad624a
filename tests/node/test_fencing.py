"""Tests of an instance that learns from peers that it was replaced."""

from tests.node import sites
from vanillayoke.testing import fixtures

_PAST_THE_LEASE = 12.0


async def test_stale_holder_learns_from_a_peer(case, site, caller):
    """A paused instance wakes and cannot reach the store.

    The others took its shards meanwhile. It would go on streaming for its
    programs until the store tells it; a peer that saw the taking tells it
    within seconds.
    """
    await sites.start_three(site)
    stale = site.instances['instance-1']
    site.platform.faults.cut_callers.add('instance-1')
    site.freeze('instance-1')
    await site.clock.sleep(_PAST_THE_LEASE)
    site.thaw('instance-1')
    await site.clock.sleep(4.0)
    case.assertTrue(stale.served.journal.lease.is_lost)
    case.assertEqual(frozenset(), stale.served.ownership.owned_shards())


load_tests = fixtures.adapt(__name__, [sites])
