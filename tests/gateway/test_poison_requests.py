"""Tests that a request which ends targets is not sent to ever more of them."""

import asyncio

from tests.gateway import crashing_targets
from tests.gateway import site_fixtures
from vanillayoke.gateway import fingerprints
from vanillayoke.gateway import messages
from vanillayoke.standins import calls
from vanillayoke.testing import fixtures

MAX_ENDED_TARGETS = 3
POISON = b'poison oak'
# Five tries of a caller, each at another instance than the one before.
TRIES = ('i1', 'i2', 'i3', 'i1', 'i2')


@fixtures.fixture
def crash_site(site):
    return crashing_targets.CrashSite(site)


async def test_request_that_ends_targets_reaches_three(case, crash_site):
    """A safe request ends each target that runs it, and its caller retries."""
    await crash_site.start()
    responses = await crash_site.call(TRIES, POISON)
    case.assertEqual(len(TRIES), len(responses))
    case.assertLessEqual(crash_site.count_ends(POISON), MAX_ENDED_TARGETS)


async def test_new_callers_do_not_end_more_targets(case, crash_site):
    """Callers send the same request anew after others have given up."""
    await crash_site.start()
    for _ in range(3):
        await crash_site.call(TRIES, POISON)
        await asyncio.sleep(2.0)
    case.assertLessEqual(crash_site.count_ends(POISON), MAX_ENDED_TARGETS)


async def test_turn_that_ends_targets_reaches_three(case, crash_site):
    """A turn ends its targets, and its program sends it from its start."""
    await crash_site.start(prefix='m')
    for number, instance in enumerate(TRIES):
        try:
            await crash_site.site.turn(instance, f'a{number}', POISON)
        except Exception as error:
            case.assertIn('connection', str(error))
        await asyncio.sleep(0.2)
    case.assertLessEqual(crash_site.count_ends(POISON), MAX_ENDED_TARGETS)


async def test_knowledge_survives_its_instance(case, crash_site, network):
    """The instance at which the targets ended fails before the next try."""
    await crash_site.start()
    await crash_site.call(['i1'], POISON)
    await asyncio.sleep(0.05)
    site_fixtures.kill(crash_site.site, network, 'i1')
    await crash_site.call(['i2', 'i3', 'i2', 'i3'], POISON)
    case.assertLessEqual(crash_site.count_ends(POISON), MAX_ENDED_TARGETS)


async def test_request_in_quarantine_is_refused_at_once(case, crash_site):
    """A request that can't be served is not held until its deadline."""
    await crash_site.start()
    await crash_site.call(TRIES, POISON)
    loop = asyncio.get_running_loop()
    for instance in ('i1', 'i2', 'i3'):
        started_at = loop.time()
        response = await crash_site.site.call(instance, 'look', POISON)
        case.assertLess(loop.time() - started_at, 0.05)
        case.assertEqual(503, response.status)
        case.assertGreater(float(response.headers[b'retry-after']), 50.0)


async def test_unsafe_request_is_refused_as_not_run(case, crash_site):
    """A caller sends an order anew each time that its outcome is unknown."""
    await crash_site.start()
    statuses = []
    for instance in TRIES:
        (response,) = await crash_site.call([instance], POISON, 'order')
        statuses.append(response.status)
        await asyncio.sleep(0.05)
    case.assertEqual([502, 502, 502, 503, 503], statuses)
    case.assertEqual(MAX_ENDED_TARGETS, crash_site.count_ends(POISON))


async def test_callers_at_once_end_two_more_at_most(case, crash_site):
    """Several callers send the request before its first end is known."""
    await crash_site.start(count=12)
    for callers in (2, 4):
        body = b'%b %d' % (POISON, callers)
        await asyncio.gather(
            *(
                crash_site.call(TRIES[number % 3 :], body)
                for number in range(callers)
            )
        )
        await asyncio.sleep(2.0)
        case.assertLessEqual(
            crash_site.count_ends(body), callers + MAX_ENDED_TARGETS - 1
        )


async def test_each_part_of_a_cut_network_bounds_the_ends(
    case, crash_site, network
):
    """An instance that is cut from the others and the store knows its own."""
    await crash_site.start()
    hosts = {
        name: instance.settings.ip
        for name, instance in crash_site.site.instances.items()
    }
    for other in (hosts['i2'], hosts['i3'], '10.9.0.1'):
        network.block_path(hosts['i1'], other)
    for _ in range(4):
        await crash_site.call(['i1', 'i2'] * 3, POISON)
        await asyncio.sleep(0.5)
    case.assertLessEqual(crash_site.count_ends(POISON), 2 * MAX_ENDED_TARGETS)
    network.restore_paths()
    await asyncio.sleep(4.0)
    await crash_site.call(['i1', 'i2', 'i3'], POISON)
    case.assertLessEqual(crash_site.count_ends(POISON), 2 * MAX_ENDED_TARGETS)


async def test_knowledge_survives_all_instances(case, crash_site, network):
    """All instances are lost together, and others start."""
    await crash_site.start()
    await crash_site.call(TRIES, POISON)
    await asyncio.sleep(0.2)
    for name in ('i1', 'i2', 'i3'):
        site_fixtures.kill(crash_site.site, network, name)
    for name in ('i4', 'i5'):
        await crash_site.site.add_instance(name)
    await asyncio.sleep(1.0)
    responses = await crash_site.call(['i4', 'i5'], POISON)
    case.assertEqual([503, 503], [each.status for each in responses])
    case.assertEqual(MAX_ENDED_TARGETS, crash_site.count_ends(POISON))


async def test_quarantine_ends_with_a_single_run(case, crash_site):
    """The request still ends its target; the next quarantine is longer."""
    await crash_site.start()
    await crash_site.call(TRIES, POISON)
    await asyncio.sleep(61.0)
    await asyncio.gather(
        *(crash_site.call([name] * 3, POISON) for name in ('i1', 'i2', 'i3'))
    )
    case.assertEqual(MAX_ENDED_TARGETS + 1, crash_site.count_ends(POISON))
    await asyncio.sleep(61.0)
    responses = await crash_site.call(TRIES, POISON)
    case.assertEqual({503}, {each.status for each in responses})


async def test_whole_run_clears_the_request_everywhere(case, crash_site):
    """The targets have been repaired while the request was in quarantine."""
    await crash_site.start()
    await crash_site.call(TRIES, POISON)
    for target in crash_site.targets:
        target.poison = None
    await asyncio.sleep(61.0)
    for _ in range(2):
        for name in ('i1', 'i2', 'i3'):
            responses = await crash_site.call([name], POISON)
            case.assertEqual(200, responses[0].status)
    await asyncio.sleep(0.5)
    for instance in crash_site.site.instances.values():
        case.assertEqual(0, len(instance._suspects.known))
    rows = [
        stored.value
        for (table, *_), stored in crash_site.site.store.rows.items()
        if table == 'suspects'
    ]
    case.assertEqual([None], rows)


async def test_new_software_version_gets_the_request(case, crash_site):
    """A fixed version is deployed beside the one that the request ends."""
    await crash_site.start()
    await crash_site.call(TRIES, POISON)
    fixed = await crash_site.add_target('t30', 'v2')
    fixed.poison = None
    await asyncio.sleep(0.2)
    for name in ('i1', 'i2', 'i3'):
        responses = await crash_site.call([name], POISON)
        case.assertEqual(200, responses[0].status)
    case.assertEqual(MAX_ENDED_TARGETS, crash_site.count_ends(POISON))


async def test_other_organisation_is_not_suspected(case, crash_site):
    """Two organisations send the same bytes; one's targets have ended."""
    await crash_site.start()
    crash_site.site.configure(
        2,
        [
            calls.make_organisation('north', 'key-n'),
            calls.make_organisation('south', 'key-s'),
        ],
    )
    await asyncio.sleep(0.2)
    await crash_site.call(TRIES, POISON, key='key-n')
    for target in crash_site.targets:
        target.poison = None
    response = await crash_site.site.call('i1', 'look', POISON, key='key-n')
    case.assertEqual(503, response.status)
    response = await crash_site.site.call('i1', 'look', POISON, key='key-s')
    case.assertEqual(200, response.status)


async def test_leaving_instance_learns_of_the_ends(case, crash_site):
    """A caller keeps a connection to an instance that is stopping."""
    await crash_site.start()
    stop = asyncio.ensure_future(crash_site.site.instances['i3'].stop())
    await asyncio.sleep(0.1)
    await crash_site.call(['i1'], POISON)
    await asyncio.sleep(0.05)
    responses = await crash_site.call(['i3'], POISON)
    case.assertEqual(503, responses[0].status)
    case.assertEqual(MAX_ENDED_TARGETS, crash_site.count_ends(POISON))
    await stop


async def test_instance_that_starts_amid_stops_learns_of_ends(
    case, crash_site
):
    """All who know of the ends are stopping, and no longer coordinate."""
    await crash_site.start(2)
    stops = [
        asyncio.ensure_future(instance.stop())
        for instance in crash_site.site.instances.values()
    ]
    await asyncio.sleep(0.2)
    start = asyncio.ensure_future(crash_site.site.add_instance('i3'))
    await crash_site.call(['i1'], POISON)
    await start
    await asyncio.sleep(1.5)
    case.assertFalse(any(stop.done() for stop in stops))
    responses = await crash_site.call(['i3'], POISON)
    case.assertEqual(503, responses[0].status)
    await asyncio.gather(*stops)


async def test_knowledge_survives_stops_of_all_instances(case, crash_site):
    """Targets end while all instances are stopping; another one starts."""
    await crash_site.start()
    stops = [
        asyncio.ensure_future(instance.stop())
        for instance in crash_site.site.instances.values()
    ]
    await asyncio.sleep(0.5)
    await crash_site.call(['i1'], POISON)
    await asyncio.gather(*stops)
    await crash_site.site.add_instance('i4')
    await asyncio.sleep(1.0)
    responses = await crash_site.call(['i4'], POISON)
    case.assertEqual(503, responses[0].status)
    case.assertEqual(MAX_ENDED_TARGETS, crash_site.count_ends(POISON))


async def test_request_beside_others_that_end_targets_is_served(
    case, crash_site
):
    """Few targets; sound requests meet several that end theirs."""
    await crash_site.start(count=4)
    for target in crash_site.targets:
        target.service_time = 0.1
    load = asyncio.ensure_future(
        crash_site.send_load(('i1', 'i2', 'i3'), 6.0, 20.0, 0.0, tries=8)
    )
    for number in range(4):
        await crash_site.call(TRIES, b'%b %d' % (POISON, number))
        await asyncio.sleep(2.0)
    results = await load
    last_statuses = {each[-1] and each[-1].status for each in results}
    case.assertEqual({200}, last_statuses)


async def test_instance_without_store_counts_each_restart(
    case, crash_site, network
):
    """An instance that is cut off does not learn that its target restarts."""
    await crash_site.start(count=1)
    hosts = [
        crash_site.site.instances[name].settings.ip for name in ('i2', 'i3')
    ]
    for other in (*hosts, '10.9.0.1'):
        network.block_path(crash_site.site.instances['i1'].settings.ip, other)
    statuses = []
    for _ in range(5):
        (response,) = await crash_site.call(['i1'], POISON, 'order')
        statuses.append(response.status)
        await asyncio.sleep(2.0)
    case.assertEqual([502, 502, 502, 503, 503], statuses)


def _find_body(coordinators, instances):
    """Return the body of an order that these instances coordinate."""
    call = messages.Call(
        'x', calls.HOST_NAME, '/order/x', b'POST', b'/order/x', [], b'',
        None, None, 0, 0, (), None, None, None,
    )  # fmt: skip
    for number in range(1000):
        body = b'oak %d' % number
        fingerprint = fingerprints.compute(call._replace(body=body), None)
        ranking = site_fixtures.rank_coordinators(fingerprint, instances)
        if set(ranking[: len(coordinators)]) == set(coordinators):
            return body
    raise AssertionError('no body has these coordinators')


async def test_whole_run_elsewhere_speaks_for_a_request(case, crash_site):
    """Targets end together; only an instance that is not asked served it."""
    await crash_site.start()
    body = _find_body(('i1', 'i3'), ('i1', 'i2', 'i3'))
    await crash_site.call(['i2'], body, 'order')
    for target in crash_site.targets:
        target.service_time = 0.2
    tasks = [
        asyncio.ensure_future(crash_site.call(['i1'], body, 'order'))
        for _ in range(4)
    ]
    await asyncio.sleep(0.1)
    busy = [target for target in crash_site.targets if target.running]
    case.assertGreaterEqual(len(busy), MAX_ENDED_TARGETS)
    for target in busy:
        target.end()
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.05)
    (response,) = await crash_site.call(['i1'], body, 'order')
    case.assertEqual(200, response.status)


async def test_caller_that_leaves_returns_its_permit(case, crash_site):
    """The caller of a suspect's only run leaves; the next need not wait."""
    await crash_site.start(1)
    task = asyncio.ensure_future(crash_site.call(['i1'], b'oak'))
    await asyncio.sleep(0.01)
    for target in crash_site.targets:
        target.service_time = 1.0
        if target.running:
            target.end()
    await asyncio.sleep(0.2)
    (running,) = [one for one in crash_site.targets if one.running]
    task.cancel()
    await asyncio.sleep(0.05)
    running.service_time = 0.02
    for target in crash_site.targets:
        target.service_time = 0.02
    started_at = asyncio.get_running_loop().time()
    (response,) = await crash_site.call(['i1'], b'oak')
    case.assertEqual(200, response.status)
    case.assertLess(asyncio.get_running_loop().time() - started_at, 0.5)


async def test_ended_target_is_not_tried_again(case, crash_site):
    """Targets that have ended do not count as attempts of the route."""
    await crash_site.start(1)
    await crash_site.call(['i1'], POISON)
    errors = [
        event['error']
        for event in crash_site.site.list_events('i1', 'attempt_failed')
    ]
    case.assertEqual(MAX_ENDED_TARGETS, len(errors))
    case.assertEqual({'ConnectionLost'}, {e.split(':')[0] for e in errors})


async def test_log_leads_from_a_refusal_to_the_ends(case, crash_site):
    """An operator asks why a request was refused."""
    await crash_site.start()
    await crash_site.call(['i1'], POISON)
    await asyncio.sleep(0.1)
    await crash_site.site.call('i2', 'look', POISON, request='later')
    (failed,) = crash_site.site.list_events('i2', 'request_failed')
    case.assertEqual('quarantined', failed['outcome'])
    suspected = crash_site.site.list_events('i1', 'request_suspected')
    case.assertEqual([1, 2, 3], [each['ends'] for each in suspected])
    case.assertIn(suspected[0]['fingerprint'], failed['detail'])
    quarantined = [
        event
        for name in crash_site.site.instances
        for event in crash_site.site.list_events(name, 'request_quarantined')
    ]
    case.assertEqual({3}, {event['ends'] for event in quarantined})


def _check_load(case, crash_site, results):
    """Check that every request was served and none was in quarantine."""
    last_statuses = {each[-1] and each[-1].status for each in results}
    case.assertEqual({200}, last_statuses)
    for name in crash_site.site.instances:
        case.assertEqual(
            [], crash_site.site.list_events(name, 'request_quarantined')
        )


async def test_sound_requests_survive_ends_of_their_targets(case, crash_site):
    """Targets end one by one and together; half of all requests are equal."""
    await crash_site.start(count=12)
    load = asyncio.ensure_future(
        crash_site.send_load(('i1', 'i2', 'i3'), 8.0, 80.0, 0.5)
    )
    await asyncio.sleep(1.0)
    targets = crash_site.targets
    for target in targets[:8]:
        target.end()
        await asyncio.sleep(0.4)
    for target in targets[8:]:
        target.end()
    _check_load(case, crash_site, await load)


async def test_sound_requests_survive_waves_of_ends(case, crash_site):
    """A third of forty targets end at once, three times in a row."""
    await crash_site.start(count=40)
    for target in crash_site.targets:
        target.service_time = 0.1
    load = asyncio.ensure_future(
        crash_site.send_load(('i1', 'i2', 'i3'), 6.0, 160.0, 0.2)
    )
    await asyncio.sleep(1.0)
    for wave in range(3):
        for target in crash_site.targets[wave::3]:
            target.end()
        await asyncio.sleep(1.6)
    _check_load(case, crash_site, await load)


async def test_request_under_which_two_targets_ended_is_served(
    case, crash_site
):
    """A sound request meets two targets that end for another reason."""
    await crash_site.start()
    for target in crash_site.targets:
        target.service_time = 0.2
    task = asyncio.ensure_future(crash_site.call(['i1'], b'oak'))
    for _ in range(2):
        await asyncio.sleep(0.1)
        for target in crash_site.targets:
            if target.running:
                target.end()
    responses = await task
    case.assertEqual(200, responses[0].status)


async def test_instance_that_was_out_of_step_asks_before_a_second_run(
    case, crash_site, network
):
    """It believed that it coordinates, and that nothing else had ended.

    Its first run can't be known to be a suspect's.
    """
    await crash_site.start()
    for number in range(6):
        body = POISON + b' %d' % number
        host = crash_site.site.instances['i1'].settings.ip
        for name in ('i2', 'i3'):
            other = crash_site.site.instances[name].settings.ip
            network.block_path(host, other)
        await asyncio.sleep(3.0)
        await crash_site.call(['i2', 'i3', 'i2', 'i3'], body)
        case.assertEqual(MAX_ENDED_TARGETS, crash_site.count_ends(body))
        network.restore_paths()
        await crash_site.call(['i1', 'i1'], body)
        case.assertLessEqual(
            crash_site.count_ends(body), MAX_ENDED_TARGETS + 1
        )
        await asyncio.sleep(2.0)


load_tests = fixtures.adapt(__name__, [site_fixtures])
