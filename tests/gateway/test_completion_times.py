"""Tests of placement by expected completion time.

It is used for targets that report the contention on their machines.
"""

import asyncio

from tests.gateway import site_fixtures
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.testing import fixtures

INSTANCES = 4


async def _run_turns(site, count, concurrency, prefix='a', **settings):
    """Run turns so that ``concurrency`` are under way at any time."""
    numbers = iter(range(count))
    names = sorted(site.instances)

    async def run():
        for number in numbers:
            response = await site.turn(
                names[number % len(names)],
                f'{prefix}{number}',
                route='plan',
                program=f'p{prefix}{number}',
                **settings,
            )
            statuses.append(response.status)

    statuses = []
    await asyncio.gather(*(run() for _ in range(concurrency)))
    return statuses


async def _start(site, contention=1.0, instances=INSTANCES):
    await site.start(instances)
    for target in site.targets.values():
        target.contention = contention


def _take_counts(site, *names):
    counts = [len(site.targets[name].executions) for name in names]
    for name in names:
        site.targets[name].executions.clear()
    return counts


def _sum_choices(site, view):
    total = 0
    for instance in site.instances.values():
        page = instance.metrics.render().body.decode()
        for line in page.splitlines():
            if 'completion_choices_total{' in line and f'"{view}"' in line:
                total += int(float(line.rpartition(' ')[2]))
    return total


def _read_uncached_prompts(target):
    """Let the first turn of each session at a target take longer."""
    execute = target._execute
    sessions = set()

    async def read_and_execute(execution, fault, responder):
        session = execution.headers[b'x-vanillayoke-session-id']
        if session not in sessions:
            sessions.add(session)
            await target._work(0.02)
        await execute(execution, fault, responder)

    target._execute = read_and_execute


def _record_messages(case):
    """Record the notifications and responses that instances send."""
    sent = []
    omit_defaults = peer_messages.omit_defaults

    def record(message):
        sent.append(message)
        return omit_defaults(message)

    peer_messages.omit_defaults = record
    case.addCleanup(setattr, peer_messages, 'omit_defaults', omit_defaults)
    return sent


def _list_messages(case, sent, kind):
    """Return the messages of a kind, of which there must be some."""
    found = [message for message in sent if isinstance(message, kind)]
    case.assertGreater(len(found), 0)
    return found


async def test_engines_of_unequal_speed_get_work_by_their_speed(case, site):
    """Engines take 0.7 and 1.7 times the usual time, and are nearly full."""
    await _start(site)
    for name, speed in (('m1', 0.7), ('m2', 1.7)):
        site.targets[name].event_interval = 0.0386 * speed
    await _run_turns(site, 120, 7)
    _take_counts(site, 'm1', 'm2')
    statuses = await _run_turns(site, 160, 7, 'b')
    fast, slow = _take_counts(site, 'm1', 'm2')
    case.assertEqual({200}, set(statuses))
    case.assertGreater(fast, 1.7 * slow)
    case.assertLess(fast, 5 * slow)


async def test_idle_fast_engine_is_preferred(case, site):
    """A turn would take 2.4 times longer at the slow engine."""
    await _start(site)
    for name, speed in (('m1', 0.7), ('m2', 1.7)):
        site.targets[name].event_interval = 0.0386 * speed
    await _run_turns(site, 120, 7)
    _take_counts(site, 'm1', 'm2')
    await _run_turns(site, 40, 1, 'b')
    fast, slow = _take_counts(site, 'm1', 'm2')
    case.assertGreater(fast, 0.9 * (fast + slow))


async def test_contended_engine_is_avoided_while_the_report_is_fresh(
    case, site
):
    """The machine of one of two engines is 2.5 times slower for 600 ms."""
    await _start(site)
    for name in ('m1', 'm2'):
        site.targets[name].event_interval = 0.03
    await _run_turns(site, 60, 4)
    site.targets['m1'].contention = 2.5
    await _run_turns(site, 4, 4, 'b')
    _take_counts(site, 'm1', 'm2')
    await _run_turns(site, 8, 2, 'c')
    contended, other = _take_counts(site, 'm1', 'm2')
    case.assertLess(contended, 0.3 * other)
    site.targets['m1'].contention = 1.0
    await asyncio.sleep(1.2)
    await _run_turns(site, 40, 4, 'd')
    recovered, other = _take_counts(site, 'm1', 'm2')
    case.assertGreater(recovered, 0.5 * other)


async def test_contention_is_known_to_other_instances_at_once(case, site):
    """By the end of a response, the contention may be over."""
    await _start(site)
    await _run_turns(site, 20, 2)
    await asyncio.sleep(0.2)
    site.targets['m1'].contention = site.targets['m2'].contention = 2.5
    for name in ('m1', 'm2'):
        site.targets[name].event_interval = 0.2
    task = asyncio.ensure_future(_run_turns(site, 1, 1, 'b'))
    await asyncio.sleep(0.1)
    target = next(t for t in ('m1', 'm2') if site.targets[t].running)
    views = [
        instance._load_queries.handle_request(
            peer_messages.LoadQuery(target)
        ).performance
        for instance in site.instances.values()
    ]
    await task
    reported = [view.contention for view in views if view is not None]
    case.assertEqual([250], reported)


async def test_contended_server_gets_fewer_calls(case, site):
    """Unary services are covered as well: 2.5 times slower for 600 ms."""
    await _start(site)
    names = sorted(site.instances)
    for number in range(40):
        await site.call(names[number % 4], 'look', method=b'GET')
    site.targets['t1'].contention = 2.5
    for number in range(4):
        await site.call(names[number % 4], 'look', method=b'GET')
    _take_counts(site, 't1', 't2')
    for number in range(20):
        await site.call(names[number % 4], 'look', method=b'GET')
    contended, other = _take_counts(site, 't1', 't2')
    case.assertLess(contended, 0.5 * other)


async def test_slow_server_gets_fewer_calls(case, site):
    """One of two servers always takes 2.4 times as long as the other."""
    await _start(site)
    site.targets['t1'].service_time = 0.017
    site.targets['t2'].service_time = 0.007
    names = sorted(site.instances)
    for number in range(80):
        await site.call(names[number % 4], 'look', method=b'GET')
    _take_counts(site, 't1', 't2')
    for number in range(40):
        await site.call(names[number % 4], 'look', method=b'GET')
    slow, fast = _take_counts(site, 't1', 't2')
    case.assertLess(slow, 0.2 * fast)


async def test_own_view_is_used_if_the_coordinator_is_lost(
    case, site, network
):
    """The coordinators failed, which is not yet detected.

    The instance still avoids the contended engine by reports of its own.
    """
    await _start(site)
    for name in ('m1', 'm2'):
        site.targets[name].event_interval = 0.03
    await _run_turns(site, 60, 4)
    names = sorted(site.instances)
    coordinators = {
        name
        for name in names
        for target in ('m1', 'm2')
        if site.instances[name]._load_queries._find_coordinator(target, 'z1')
        is None
    }
    survivor = next(name for name in names if name not in coordinators)
    for name in names:
        if name != survivor:
            site_fixtures.kill(site, network, name)
    _take_counts(site, 'm1', 'm2')
    before = _sum_choices(site, 'own')
    site.targets['m1'].contention = 2.5
    statuses = await _run_turns(site, 4, 4, 'b')
    _take_counts(site, 'm1', 'm2')
    statuses += await _run_turns(site, 6, 2, 'c')
    contended, other = _take_counts(site, 'm1', 'm2')
    case.assertEqual({200}, set(statuses))
    case.assertGreater(_sum_choices(site, 'own'), before)
    case.assertLess(contended, other)


async def test_malformed_reports_are_counted_and_not_used(case, site):
    """A target that reports a negative contention would get all work."""
    await _start(site)
    for name in ('m1', 'm2'):
        site.targets[name].event_interval = 0.03
    await _run_turns(site, 40, 4)
    _take_counts(site, 'm1', 'm2')
    site.targets['m1'].contention = -3.0
    site.targets['m1']._work = asyncio.sleep
    await _run_turns(site, 40, 4, 'b')
    wrong, other = _take_counts(site, 'm1', 'm2')
    case.assertLess(abs(wrong - other), 20)
    count, lines = 0, 0
    for name, instance in site.instances.items():
        for line in instance.metrics.render().body.decode().splitlines():
            if 'load_reports_malformed_total{' in line and '"m1"' in line:
                count += int(float(line.rpartition(' ')[2]))
        events = site.list_events(name, 'load_report_malformed')
        case.assertLessEqual(len(events), 1)
        lines += len(events)
    case.assertEqual(wrong, count)
    case.assertGreater(lines, 0)
    view = site.instances['i1']._load_queries.performance
    case.assertGreaterEqual(view.get_contention('m1', site.timers.now()), 1.0)


async def test_targets_without_contention_are_served_as_before(case, site):
    """With three figures no message and no choice changes."""
    sent = _record_messages(case)
    await site.start(INSTANCES)
    await _run_turns(site, 20, 2)
    for number in range(20):
        await site.call(f'i{1 + number % 4}', 'look', method=b'GET')
    for message in _list_messages(case, sent, peer_messages.RequestEnded):
        case.assertIsNone(message.performance)
        case.assertNotEqual('', message.request)
    for message in _list_messages(case, sent, peer_messages.LoadResponse):
        case.assertIsNone(message.performance)
    for view in ('own', 'coordinator'):
        case.assertEqual(0, _sum_choices(site, view))


async def test_disabled_feature_ignores_the_fourth_figure(case, site):
    """An experiment without the feature must not use parts of it."""
    site.settings_changes['disabled_features'] = frozenset(
        (messages.Feature.COMPLETION_TIME,)
    )
    sent = _record_messages(case)
    await _start(site, 2.5)
    await _run_turns(site, 20, 2)
    for message in _list_messages(case, sent, peer_messages.RequestEnded):
        case.assertIsNone(message.performance)
    for view in ('own', 'coordinator'):
        case.assertEqual(0, _sum_choices(site, view))


async def _run_program(site, case, program, count, first=0):
    """Run turns of one program with a prompt of 3,000 tokens."""
    history = {}
    for number in range(first, first + count):
        request = f'{program}-{number}'
        response = await site.call(
            f'i{number % 4 + 1}',
            'chat',
            request=request,
            program_id=program,
            session_id=f's-{program}',
            token_budget='1000',
            token_usage='3000,40',
            prompt_prefix='5c:800,91:2000',
            program_deadline_ms='5000',
            **history,
        )
        case.assertEqual(200, response.status)
        history = {'previous_turn': request}
        await asyncio.sleep(0.1)
    return {
        name
        for name, target in site.targets.items()
        for run in target.executions
        if run.request.startswith(f'{program}-')
    }


async def _start_engines(site):
    """Start six engines that read prompts."""
    await _start(site)
    for number in range(3, 7):
        target = await site.add_target(f'm{number}')
        target.contention = 1.0
    for number in range(1, 7):
        _read_uncached_prompts(site.targets[f'm{number}'])
    await asyncio.sleep(0.2)
    await _run_turns(site, 30, 4, 'x')


async def test_program_stays_at_its_engine_by_completion_time(case, site):
    """The prompt would be read again at another engine."""
    await _start_engines(site)
    for program in ('p1', 'p2', 'p3', 'p4'):
        engines = await _run_program(site, case, program, 6)
        case.assertEqual(1, len(engines), program)


async def test_log_says_why_a_program_left_its_engine(case, site):
    """An operator sees a prompt that was read twice."""
    await _start_engines(site)
    (engine,) = await _run_program(site, case, 'p1', 2)
    site.targets[engine].contention = 8.0
    await _run_program(site, case, 'p1', 6, first=2)
    events = [
        event
        for name in site.instances
        for event in site.list_events(name, 'cache_left')
        if event['request'].startswith('p1-')
    ]
    case.assertGreater(len(events), 0)
    case.assertEqual(engine, events[0]['cached'])
    case.assertGreater(events[0]['ms'], 0.0)


load_tests = fixtures.adapt(__name__, [site_fixtures])
