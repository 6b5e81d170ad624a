"""Tests that the metrics of an instance count what they describe."""

import asyncio

from tests.gateway import site_fixtures
from vanillayoke.standins import targets
from vanillayoke.testing import fixtures


def _read(site, instance, name, **labels):
    """Return the value of a metric on an instance's page, 0 if absent."""
    page = site.instances[instance].render_metrics().body.decode()
    text = ','.join(f'{key}="{labels[key]}"' for key in sorted(labels))
    start = f'vanillayoke_{name}{{{text}}} '
    values = [
        line.removeprefix(start)
        for line in page.splitlines()
        if line.startswith(start)
    ]
    return float(values[0]) if values else 0.0


async def test_refused_attempts_are_counted_by_target(case, site):
    """An operator could not see which target has no room."""
    await site.start(1)
    for name in ('t1', 't2'):
        site.targets[name].faults.append(targets.Fault.SHED)
    for _ in range(4):
        response = await site.call('i1', 'order')
        case.assertEqual(200, response.status)
    for name in ('t1', 't2'):
        case.assertEqual(1, _read(site, 'i1', 'sheds_total', target=name))


async def test_members_are_counted_by_state(case, site, network):
    """An operator could not see that instances have failed."""
    await site.start(4)
    alive = _read(site, 'i1', 'gateway_members', state='alive')
    case.assertEqual(4, alive)
    site_fixtures.kill(site, network, 'i4')
    await asyncio.sleep(4.0)
    alive = _read(site, 'i1', 'gateway_members', state='alive')
    failed = _read(site, 'i1', 'gateway_members', state='failed')
    case.assertEqual((3, 1), (alive, failed))


async def test_malformed_requests_are_counted(case, site):
    """Requests answered with 400 were missing in all counts of requests."""
    await site.start(1)
    response = await site.call('i1', 'order', deadline_ms='soon')
    case.assertEqual(400, response.status)
    refusals = _read(
        site, 'i1', 'gateway_refusals_total', reason='bad_request'
    )
    requests = _read(
        site, 'i1', 'requests_total', kind='none', outcome='bad_request'
    )
    case.assertEqual((1, 1), (refusals, requests))


load_tests = fixtures.adapt(__name__, [site_fixtures])
