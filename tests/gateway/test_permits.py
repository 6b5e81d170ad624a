"""Tests of runs of suspects at targets, as coordinators permit them."""

from tests.gateway import site_fixtures
from vanillayoke.gateway import peer_messages
from vanillayoke.scheduling import quarantine
from vanillayoke.testing import fixtures


def _ask(permits, ticket, is_exclusive, time_left_ms=1000, target='t1'):
    query = peer_messages.TargetQuery(
        target, ticket, is_exclusive, time_left_ms
    )
    return permits.handle_target_query(query).is_permitted


async def _start(site):
    await site.start(1)
    return site.instances['i1']._permits


async def test_exclusive_run_has_no_suspect_beside_it(case, site):
    """One suspect would end the target under the other one."""
    permits = await _start(site)
    case.assertTrue(_ask(permits, 'a', True))
    case.assertFalse(_ask(permits, 'b', True))
    case.assertFalse(_ask(permits, 'b', False))
    case.assertTrue(_ask(permits, 'b', True, target='t2'))


async def test_other_runs_share_a_target(case, site):
    permits = await _start(site)
    case.assertTrue(_ask(permits, 'a', False))
    case.assertTrue(_ask(permits, 'b', False))
    case.assertFalse(_ask(permits, 'c', True))


async def test_target_is_free_after_a_run(case, site, clock):
    """A run ends, or the instance that has it is lost."""
    permits = await _start(site)
    _ask(permits, 'a', True)
    case.assertFalse(_ask(permits, 'a', True, 0))
    case.assertTrue(_ask(permits, 'b', True))
    await clock.sleep(1.1)
    case.assertTrue(_ask(permits, 'c', True))
    _ask(permits, 'c', True, 0)
    case.assertEqual({}, permits._target_runs)


async def test_quarantine_at_one_service_does_not_hold_up_another(
    case, site, clock
):
    """A route leads to two services; the request ends targets of both."""
    permits = await _start(site)
    now = clock.now()
    for number, service in enumerate(('a', 'a', 'a', 'b')):
        software = quarantine.Software(service, 'v1')
        end = quarantine.End(f't{number}', 1, software, now - 0.02, now)
        permits._suspects.record_end('f', end)
    case.assertTrue(await permits.request_run('f', 'x', clock.now() + 1.0))
    case.assertLess(clock.now() - now, 0.1)


async def test_waiting_for_a_permit_leaves_nothing_behind(case, site, clock):
    """The only run takes longer than another request can wait."""
    permits = await _start(site)
    now = clock.now()
    software = quarantine.Software('a', 'v1')
    permits._suspects.record_end(
        'f', quarantine.End('t1', 1, software, now - 0.02, now)
    )
    case.assertTrue(await permits.request_run('f', 'x', now + 5.0))
    case.assertFalse(await permits.request_run('f', 'y', now + 1.0))
    await clock.sleep(quarantine.RETENTION_SECONDS + 1.0)
    case.assertEqual({}, permits._changes)
    case.assertEqual({}, permits._permits)


load_tests = fixtures.adapt(__name__, [site_fixtures])
