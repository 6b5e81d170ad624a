"""Tests of route priorities in the limits of a site's organisations."""

import asyncio
from unittest import mock

import msgspec

from tests.gateway import site as site_module
from tests.gateway import site_fixtures
from tests.gateway import test_limits
from vanillayoke.gateway import peer_messages
from vanillayoke.scheduling import quotas
from vanillayoke.standins import calls
from vanillayoke.testing import fixtures

ROUTES = [
    calls.make_route('plan', 'models', 'stream', priority=0),
    calls.make_route('chat', 'models', 'stream', priority=2),
    calls.make_route('order', 'tools', 'unsafe'),
]


@fixtures.fixture
def controlled_site(site):
    """Return a site with overload control."""
    make_settings = site_module.make_settings

    def make_controlled(*arguments):
        settings = make_settings(*arguments)
        return settings._replace(has_overload_control=True)

    with mock.patch.object(site_module, 'make_settings', make_controlled):
        yield site


async def _start(site, rate=4, burst=20):
    await site.start(2)
    organisation = calls.make_organisation(
        'red', 'red-1', rate=rate, burst=burst
    )
    site.configure(2, [organisation], ROUTES)
    await asyncio.sleep(0.2)
    for target in site.targets.values():
        target.service_time = 0.001


async def _send_programs(site, route, count, pause, delay=0.0):
    """Send programs of one turn; return how many are admitted."""
    await asyncio.sleep(delay)
    admitted = 0
    for number in range(count):
        response = await site.turn(
            f'i{1 + number % 2}',
            f'{route}-{number}',
            program=f'p-{route}-{number}',
            route=route,
            key='red-1',
        )
        admitted += response.status == 200
        await asyncio.sleep(pause)
    return admitted


async def _send_both(site):
    """Send few urgent and many other programs, beyond the limit."""
    return await asyncio.gather(
        _send_programs(site, 'plan', 30, 0.5),
        _send_programs(site, 'chat', 300, 0.05),
    )


async def test_urgent_programs_are_served_before_others(case, controlled_site):
    """The less urgent kind alone sends more than twice the limit."""
    await _start(controlled_site)
    urgent, other = await _send_both(controlled_site)
    case.assertGreaterEqual(urgent, 28)
    case.assertGreater(other, 30)
    refusals = [
        fields
        for name in controlled_site.instances
        for fields in controlled_site.list_events(
            name, 'limit_kept_for_urgent'
        )
    ]
    case.assertTrue(refusals)
    case.assertEqual({2}, {fields['priority'] for fields in refusals})
    case.assertIn('more urgent', refusals[0]['detail'])


async def test_without_the_feature_priorities_are_not_used(case, site):
    """Deployments without overload control must be served as before."""
    await _start(site)
    reports = []
    for instance in site.instances.values():
        accounts = instance._limit_accounts
        handle = accounts.handle_request

        def record(report, handle=handle):
            reports.append(report)
            return handle(report)

        accounts.handle_request = record
    await _send_both(site)
    case.assertTrue(reports)
    priorities = {report.priority for report in reports}
    for report in reports:
        priorities |= {record.priority for record in report.records}
    case.assertEqual({None}, priorities)
    for name in site.instances:
        case.assertEqual([], site.list_events(name, 'limit_kept_for_urgent'))


def test_reports_of_the_former_version_are_understood(case):
    """During an update, instances of both versions report."""
    limit = quotas.Limit(10.0, 1.0, 3.0, test_limits.WINDOW)
    former = ['L', 'red', 'x', limit, 2, [[5, 'p', 'r', 1]], False, False]
    data = msgspec.msgpack.encode([*former, ['p', 'r']])
    report = msgspec.msgpack.decode(data, type=peer_messages.UsageReport)
    case.assertEqual(('p', 'r'), report.pending)
    case.assertIsNone(report.priority)
    case.assertIsNone(report.records[0].priority)
    status = msgspec.msgpack.encode(['A', True, 'full', 0.5, True])
    decoded = msgspec.msgpack.decode(status, type=peer_messages.LimitStatus)
    case.assertEqual(0, decoded.urgent)


def test_reports_without_priorities_are_those_of_the_former_version(case):
    """Each record had a field more where priorities are not used."""
    limit = quotas.Limit(10.0, 1.0, 3.0, test_limits.WINDOW)
    records = (
        peer_messages.UsageRecord(5, 'p', 'r', 1),
        peer_messages.UsageRecord(6, 'q', 'r', -1),
    )
    report = peer_messages.UsageReport('red', 'x', limit, 2, records)
    former = ['L', 'red', 'x', limit, 2]
    former += [[[5, 'p', 'r', 1], [6, 'q', 'r', -1]], False, False, None]
    sent = msgspec.msgpack.encode(peer_messages.omit_defaults(report))
    case.assertEqual(msgspec.msgpack.encode(former), sent)
    for priority in (None, 2):
        record = peer_messages.UsageRecord(7, 's', 'r', 1, 2)
        report = peer_messages.UsageReport(
            'red', 'x', limit, 2, (*records, record), priority=priority
        )
        sent = msgspec.msgpack.encode(peer_messages.omit_defaults(report))
        received = msgspec.msgpack.decode(sent, type=peer_messages.UsageReport)
        case.assertEqual(report, received)


load_tests = fixtures.adapt(__name__, [site_fixtures])
