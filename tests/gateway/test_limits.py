"""Tests of limits across all instances of a site."""

import asyncio
import collections

from tests.gateway import site_fixtures
from vanillayoke.gateway import limit_accounts
from vanillayoke.gateway import limits as limits_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import rendezvous
from vanillayoke.scheduling import quotas
from vanillayoke.standins import calls
from vanillayoke.standins import store as store_module
from vanillayoke.testing import fixtures

WINDOW = 5.0
RATE = 4
BURST = 20
# Requests in any window: WINDOW * RATE + BURST.
LIMIT = 40
# Requests that may run beyond the limit if counts are lost.
TOLERANCE = 6
INSTANCES = ('i1', 'i2', 'i3', 'i4')


@fixtures.fixture
def limited_site(site):
    """Return a function that starts a site with a limited organisation."""

    async def start(rate=RATE, burst=BURST):
        await site.start(len(INSTANCES))
        configure(site, 2, rate, burst)
        await asyncio.sleep(0.2)
        for target in site.targets.values():
            target.service_time = 0.001
        return site

    return start


def configure(site, version, rate=RATE, burst=BURST):
    red = calls.make_organisation('red', 'red-1', rate=rate, burst=burst)
    blue = calls.make_organisation('blue', 'blue-1')
    site.configure(version, [red, blue])


def rank_coordinators(organisation='red', names=INSTANCES):
    members = [rendezvous.Peer(name, '') for name in names]
    key = limits_module.KEY_PREFIX + organisation
    ranked = rendezvous.list_highest(key, members, len(members))
    return [peer.instance for peer in ranked]


async def send(site, instance, count, pause=0.0, key='red-1', program=None):
    """Send calls in sequence; return the number of responses by status.

    Each call belongs to a program of its own unless one is given.
    """
    statuses = collections.Counter()
    for number in range(count):
        more = {'program_id': program or f'{instance}-{number}'}
        response = await site_fixtures.call_or_error(
            site, instance, 'order', key=key, **more
        )
        statuses[getattr(response, 'status', None)] += 1
        await asyncio.sleep(pause)
    return statuses


async def send_all(site, count, pause=0.0, instances=INSTANCES, program=None):
    """Send calls to each instance; return the total of each status."""
    statuses = await asyncio.gather(
        *(
            send(site, name, count, pause, program=program)
            for name in instances
        )
    )
    return sum(statuses, collections.Counter())


def find_max_runs(site, window=WINDOW):
    """Return the maximum number of runs in any window, at all targets."""
    times = sorted(
        run.started_at
        for target in site.targets.values()
        for run in target.executions
        if run.headers.get(b'x-vanillayoke-tenant') == b'red'
    )
    return max(
        (sum(start <= at < start + window for at in times) for start in times),
        default=0,
    )


async def test_organisation_below_its_limit_is_never_refused(
    case, limited_site
):
    site = await limited_site()
    statuses = await send_all(site, 7, 0.7, program='one')
    case.assertEqual({200: 28}, dict(statuses))


async def test_limit_holds_over_all_instances(case, limited_site):
    """An organisation sends many times its limit through all instances."""
    site = await limited_site()
    statuses = await send_all(site, 100, 0.1)
    case.assertGreater(statuses[429], 200)
    case.assertLessEqual(find_max_runs(site), LIMIT * 1.1)
    # The calls last for two windows.
    case.assertGreater(statuses[200], 2 * LIMIT * 0.8)


async def test_small_limit_holds_over_many_instances(case, site):
    """Instances must not admit a request each without asking."""
    names = [f'i{number}' for number in range(1, 13)]
    await site.start(len(names))
    configure(site, 2, rate=1, burst=5)
    await asyncio.sleep(0.2)
    statuses = await send_all(site, 2, 0.2, names)
    case.assertLessEqual(statuses[200], 10 + 1)


async def test_limit_does_not_affect_another_organisation(case, limited_site):
    site = await limited_site()
    await send_all(site, 30)
    statuses = await send(site, 'i1', 60, key='blue-1')
    case.assertEqual({200: 60}, dict(statuses))


async def test_refusal_states_when_to_retry(case, limited_site):
    site = await limited_site()
    await send_all(site, 30)
    response = await site.call('i1', 'order', key='red-1')
    case.assertEqual(429, response.status)
    pause = float(response.headers[b'retry-after'])
    case.assertTrue(0 < pause <= 1.0, pause)


async def test_running_program_has_priority(case, limited_site):
    """New programs must not use the requests that a running one needs."""
    site = await limited_site(rate=8, burst=40)
    begun = asyncio.ensure_future(
        send(site, 'i1', 20, 0.2, program='long-one')
    )
    await asyncio.sleep(0.5)
    others = await send_all(site, 60, 0.05, INSTANCES[1:])
    case.assertGreater(others[429], 0)
    case.assertEqual({200: 20}, dict(await begun))


async def test_running_program_is_delayed_at_the_limit(case, limited_site):
    """A running program must be delayed rather than refused at the limit."""
    site = await limited_site(rate=10, burst=0)
    statuses = await send(site, 'i1', 100, 0.08, program='long-one')
    case.assertEqual({200: 100}, dict(statuses))
    case.assertLessEqual(find_max_runs(site), 50 + TOLERANCE)


async def test_limit_holds_when_the_coordinator_fails(
    case, limited_site, network
):
    """The next coordinator must not admit a full limit again.

    The coordinator fails while the limit is in use.
    """
    site = await limited_site()
    [coordinator, *others] = rank_coordinators()
    sending = asyncio.ensure_future(send_all(site, 100, 0.1, others))
    await asyncio.sleep(2.5)
    site_fixtures.kill(site, network, coordinator)
    statuses = await sending
    case.assertGreater(statuses[429], 0)
    case.assertLessEqual(find_max_runs(site), LIMIT + TOLERANCE)


async def _kill_all(site, network):
    """Kill all instances at once and start them again."""
    hosts = {
        name: instance.settings.ip for name, instance in site.instances.items()
    }
    for name in hosts:
        site_fixtures.kill(site, network, name)
    network.unreachable_hosts.clear()
    for name, host in hosts.items():
        await site.add_instance(name, host)
    await asyncio.sleep(1.0)


async def test_limit_holds_when_all_instances_are_killed(
    case, limited_site, network
):
    """Counts must survive the loss of all instances at once."""
    site = await limited_site()
    await send_all(site, 20, 0.05, program='one')
    used = find_max_runs(site)
    case.assertGreater(used, LIMIT * 0.8)
    await _kill_all(site, network)
    await send_all(site, 100, 0.05)
    case.assertLessEqual(find_max_runs(site), LIMIT + TOLERANCE)


async def test_large_limit_holds_after_all_instances_restart(
    case, site, network
):
    """Restarted instances must ask before they admit requests."""
    names = [f'i{number}' for number in range(1, 13)]
    await site.start(len(names))
    configure(site, 2, rate=50, burst=50)
    await asyncio.sleep(0.2)
    await send_all(site, 40, 0.02, names, program='one')
    case.assertGreater(find_max_runs(site), 300)
    await _kill_all(site, network)
    await send_all(site, 10, 0.0, names, program='one')
    case.assertLessEqual(find_max_runs(site), 300 * 1.1 + 2)


async def test_limit_holds_while_the_store_is_unavailable(case, limited_site):
    site = await limited_site()
    site.store.mode = store_module.Mode.UNRESPONSIVE
    await asyncio.sleep(3.0)
    statuses = await send_all(site, 100, 0.1)
    case.assertLessEqual(find_max_runs(site), LIMIT * 1.1)
    case.assertGreater(statuses[200], 2 * LIMIT * 0.8)


async def test_cut_off_instance_stays_within_its_share(
    case, limited_site, network
):
    """An instance without contact must not admit a full limit."""
    site = await limited_site()
    alone = rank_coordinators()[-1]
    for name in INSTANCES:
        if name != alone:
            network.block_path(
                site.instances[alone].settings.ip,
                site.instances[name].settings.ip,
            )
    await send_all(site, 100, 0.1)
    case.assertLessEqual(find_max_runs(site), LIMIT * 1.25)


async def test_isolated_instances_admit_a_share(case, site, network):
    """Isolated instances must not each admit a request of a small limit."""
    names = [f'i{number}' for number in range(1, 13)]
    await site.start(len(names))
    configure(site, 2, rate=1, burst=5)
    await asyncio.sleep(0.2)
    hosts = [site.instances[name].settings.ip for name in names]
    for host in hosts:
        for other in hosts:
            if host < other:
                network.block_path(host, other)
    statuses = await send_all(site, 2, 0.2, names)
    case.assertLessEqual(statuses[200], 10)


def _request_admission(instance, count=1):
    """Request admission as another instance does; return the responses."""
    limit = quotas.Limit(10.0, 0.0, 3.0, WINDOW)
    report = peer_messages.UsageReport('red', 'x', limit, 2, pending=('p', ''))
    return [
        instance._limit_accounts.handle_request(report) for _ in range(count)
    ]


async def _await_all(responses):
    return [
        await each if asyncio.iscoroutine(each) else each for each in responses
    ]


async def test_leaving_coordinator_refers_others_to_the_next(
    case, limited_site
):
    """Two instances that admit concurrently would admit too much."""
    site = await limited_site()
    coordinator = site.instances[rank_coordinators()[0]]
    stop = asyncio.ensure_future(coordinator.stop())
    await asyncio.sleep(0.1)
    case.assertEqual(
        [peer_messages.Unavailable(False)], _request_admission(coordinator)
    )
    await stop


async def test_new_coordinator_without_counts_keeps_a_reserve(
    case, limited_site
):
    """A new coordinator must keep a reserve while it has no counts.

    It can't read the row, and no instance has reported yet.
    """
    site = await limited_site()
    site.store.mode = store_module.Mode.UNAVAILABLE
    coordinator = site.instances[rank_coordinators()[0]]
    responses = await _await_all(_request_admission(coordinator, 8))
    admitted = sum(response.refusal_reason is None for response in responses)
    case.assertLessEqual(admitted, 3)
    await asyncio.sleep(limit_accounts.SETTLING_SECONDS + 0.1)
    [response] = await _await_all(_request_admission(coordinator))
    case.assertIsNone(response.refusal_reason)


async def test_account_is_saved_after_a_failed_write(case, limited_site):
    """An account must be saved again after a failed write."""
    site = await limited_site()
    coordinator = site.instances[rank_coordinators()[0]]
    await _await_all(_request_admission(coordinator))
    site.store.mode = store_module.Mode.UNAVAILABLE
    await _await_all(_request_admission(coordinator))
    await asyncio.sleep(0.5)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(1.0)
    await _await_all(_request_admission(coordinator))
    await asyncio.sleep(0.5)
    case.assertTrue(site.store.list_table('limits'))


async def test_limit_is_available_while_all_instances_stop(case, limited_site):
    """Leaving instances must still admit calls on open connections."""
    site = await limited_site()
    stops = [asyncio.ensure_future(f.stop()) for f in site.instances.values()]
    await asyncio.sleep(0.5)
    statuses = await send(site, 'i1', LIMIT, 0.05, program='one')
    case.assertEqual({200: LIMIT}, dict(statuses))
    await asyncio.gather(*stops)


async def test_lower_limit_takes_effect_at_once(case, limited_site):
    site = await limited_site(rate=100, burst=100)
    await send_all(site, 20, 0.05)
    configure(site, 3)
    await asyncio.sleep(WINDOW)
    for target in site.targets.values():
        target.executions.clear()
    await send_all(site, 50, 0.1)
    case.assertLessEqual(find_max_runs(site), LIMIT * 1.1)


async def test_requests_that_did_not_run_are_not_counted(case, limited_site):
    """Turns refused for their budget must not count against the limit."""
    site = await limited_site()
    spent = {'budget': 10, 'max_tokens': 40, 'route': 'plan', 'key': 'red-1'}
    for number in range(60):
        response = await site.turn('i1', f't{number}', **spent)
        case.assertEqual(402, response.status)
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    statuses = await send(site, 'i2', 30, program='other')
    case.assertEqual({200: 30}, dict(statuses))


async def test_refusals_are_counted_by_organisation(case, limited_site):
    site = await limited_site()
    await send_all(site, 30)
    pages = [
        instance.metrics.render().body.decode()
        for instance in site.instances.values()
    ]
    [counted] = [
        line
        for line in pages[0].splitlines()
        if 'over_limit' in line and 'organisation=' in line
    ]
    case.assertIn('red', counted)


load_tests = fixtures.adapt(__name__, [site_fixtures])
