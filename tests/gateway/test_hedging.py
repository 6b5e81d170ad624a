"""Tests of safe calls that are sent to a second target."""

import asyncio
import contextlib

from tests.gateway import site_fixtures
from vanillayoke.gateway import messages
from vanillayoke.scheduling import hedging
from vanillayoke.standins import calls
from vanillayoke.standins import targets
from vanillayoke.testing import fixtures

TOOLS = ('t1', 't2')
# Enough calls that the budget allows a second one.
WARM_UP_CALLS = 60


async def _start(site, instances=1, **settings):
    """Start a site whose instances have served some calls."""
    site.settings_changes = {'has_overload_control': True, **settings}
    await site.start(instances)
    for _ in range(WARM_UP_CALLS):
        await site.call('i1', 'look', method=b'GET')


def _change(site, change):
    """Let ``change`` replace how the tools execute requests.

    It is called with the number of earlier executions of the request, the
    target, and what executes it as usual with a given fault.
    """
    counts = {}

    def install(target):
        execute = target._execute

        async def replacement(execution, fault, responder):
            number = counts.get(execution.request, 0)
            counts[execution.request] = number + 1
            await change(
                number,
                target,
                lambda used=fault: execute(execution, used, responder),
            )

        target._execute = replacement

    for name in TOOLS:
        install(site.targets[name])


def _slow_first(seconds):
    async def change(number, target, execute):
        if number == 0:
            await asyncio.sleep(seconds)
        await execute()

    return change


async def _time_call(site, route='look', request='a', **header_fields):
    """Return a response and the time that it took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    response = await site.call(
        'i1', route, b'oak', request=request, **header_fields
    )
    seconds = loop.time() - started_at
    # The cancelled target notices the end of its connection.
    await asyncio.sleep(0.05)
    return response, seconds


def _list_loads(site):
    """Return the requests that the instances still count at the tools."""
    now = site.timers.now()
    return [
        (
            instance._occupancy._states[name].in_flight,
            instance._load_queries.load_counts.get_load(name, now).requests,
        )
        for instance in site.instances.values()
        for name in TOOLS
    ]


def _list_events(site, name):
    """Return all fields of the events with a name."""
    return [
        {**event['fields'], 'target': event['target']}
        for event in site.loggers['i1'].timeline.dump()['events']
        if event['name'] == name
    ]


def _get_event(case, site):
    [event] = _list_events(site, 'call_hedged')
    case.assertEqual('a', event['request'])
    case.assertEqual({*TOOLS}, {event['target'], event['second']})
    return event


async def test_slow_target_is_overtaken_by_second_call(case, site):
    """A target that usually takes 20 ms takes a second."""
    await _start(site)
    _change(site, _slow_first(1.0))
    response, seconds = await _time_call(site)
    case.assertEqual((200, b'done oak'), (response.status, response.body))
    case.assertLess(seconds, 0.25)
    event = _get_event(case, site)
    case.assertEqual(('second', event['second']),
                     (event['outcome'], event['winner']))  # fmt: skip
    first = site.targets[event['target']]
    case.assertEqual(['a'], first.cancelled)
    case.assertEqual(0, first.running)
    case.assertEqual([(0, 0)] * 2, _list_loads(site))
    [end] = [
        fields
        for fields in _list_events(site, 'request_ended')
        if fields['request'] == 'a'
    ]
    case.assertEqual((2, event['winner']), (end['tries'], end['target']))


async def test_hanging_target_is_overtaken_by_second_call(case, site):
    await _start(site)

    async def change(number, target, execute):
        await execute(targets.Fault.UNRESPONSIVE if number == 0 else None)

    _change(site, change)
    response, seconds = await _time_call(site)
    case.assertEqual(200, response.status)
    case.assertLess(seconds, 0.25)


async def test_first_call_that_ends_earlier_wins(case, site):
    """Both targets are slow; the second call is cancelled."""
    await _start(site)
    _change(site, _slow_first(0.01))
    for name in TOOLS:
        site.targets[name].service_time = 0.1
    response, _ = await _time_call(site)
    case.assertEqual(200, response.status)
    event = _get_event(case, site)
    case.assertEqual('first', event['outcome'])
    case.assertEqual(['a'], site.targets[event['second']].cancelled)
    case.assertEqual([(0, 0)] * 2, _list_loads(site))


async def test_overtaken_target_appears_slow(case, site):
    """A hanging target is overtaken, so that no call to it times out.

    If it did not appear slow, it would get half of the next calls.
    """
    await _start(site)
    for _ in range(140):
        await site.call('i1', 'look', method=b'GET')
    site.targets['t1'].service_time = 30.0
    for _ in range(30):
        response = await site.call('i1', 'look', method=b'GET')
        case.assertEqual(200, response.status)
    case.assertGreaterEqual(len(site.targets['t1'].cancelled), 1)
    case.assertLessEqual(len(site.targets['t1'].cancelled), 4)


async def test_lost_response_of_first_call_leaves_second_going(case, site):
    """The first target aborts after the second call was sent."""
    await _start(site)

    async def change(number, target, execute):
        await asyncio.sleep(0.15 if number == 0 else 0.2)
        await execute(targets.Fault.LOSE_ANSWER if number == 0 else None)

    _change(site, change)
    response, _ = await _time_call(site)
    case.assertEqual((200, b'done oak'), (response.status, response.body))
    case.assertEqual(2, len(site.list_runs('a')))


async def test_lost_response_of_second_call_leaves_first_going(case, site):
    await _start(site)

    async def change(number, target, execute):
        if number == 0:
            await asyncio.sleep(0.3)
        await execute(targets.Fault.LOSE_ANSWER if number == 1 else None)

    _change(site, change)
    response, _ = await _time_call(site)
    case.assertEqual(200, response.status)
    case.assertEqual('first', _get_event(case, site)['outcome'])
    case.assertEqual(2, len(site.list_runs('a')))


def _shed_second(site):
    """Let the tools refuse every request that another one has."""
    for name in TOOLS:
        target = site.targets[name]
        handle = target.handle

        async def refuse_second(request, responder, target=target, old=handle):
            if any(site.targets[other].running for other in TOOLS):
                target.faults.appendleft(targets.Fault.SHED)
            await old(request, responder)

        target._server.handle = refuse_second


async def test_second_target_that_sheds_changes_nothing(case, site):
    """The first call goes on, although a target has refused the request."""
    await _start(site)
    _change(site, _slow_first(0.3))
    _shed_second(site)
    response, seconds = await _time_call(site)
    case.assertEqual(200, response.status)
    case.assertGreater(seconds, 0.3)
    case.assertEqual(1, len(site.list_runs('a')))
    case.assertEqual('first', _get_event(case, site)['outcome'])


async def test_second_target_that_sheds_does_not_mean_not_run(case, site):
    """The second target refuses, and the first one hangs.

    The request may have run, so that the response must not be 503.
    """
    await _start(site)
    _change(site, _slow_first(30.0))
    _shed_second(site)
    response, _ = await _time_call(site, deadline_ms='400')
    case.assertIn(response.status, (502, 504))
    case.assertEqual([(0, 0)] * 2, _list_loads(site))


async def test_unreachable_second_target_changes_nothing(case, site, network):
    await _start(site)

    async def change(number, target, execute):
        for name in TOOLS:
            if site.targets[name] is not target:
                site.targets[name].stop()
        await asyncio.sleep(0.3)
        await execute()

    _change(site, change)
    response, seconds = await _time_call(site)
    case.assertEqual(200, response.status)
    case.assertLess(seconds, 0.4)


async def test_refusal_by_first_target_leaves_second_going(case, site):
    """The first target sheds late, when the second one has the request."""
    await _start(site)

    async def change(number, target, execute):
        if number:
            await asyncio.sleep(0.1)
        await execute()

    _change(site, change)
    for name in TOOLS:
        target = site.targets[name]
        handle = target.handle

        async def shed_first(request, responder, target=target, old=handle):
            if not any(site.targets[other].running for other in TOOLS):
                if not site.list_runs('a') and not shed:
                    shed.append(target)
                    await asyncio.sleep(0.15)
                    target.faults.appendleft(targets.Fault.SHED)
            await old(request, responder)

        target._server.handle = shed_first
    shed = []
    response, _ = await _time_call(site)
    case.assertEqual(200, response.status)
    case.assertEqual(1, len(site.list_runs('a')))
    case.assertEqual('second', _get_event(case, site)['outcome'])


async def test_both_calls_fail_as_without_hedging(case, site):
    """Both responses are lost; the outcome is unknown, not "not run"."""
    await _start(site)

    async def change(number, target, execute):
        await asyncio.sleep(0.15)
        await execute(targets.Fault.LOSE_ANSWER)

    _change(site, change)
    response, _ = await _time_call(site)
    case.assertEqual(502, response.status)
    case.assertEqual('failed', _get_event(case, site)['outcome'])
    case.assertEqual(2, len({run.headers[b'x-vanillayoke-expect-instance']
                             for run in site.list_runs('a')}))  # fmt: skip


async def test_request_that_is_not_idempotent_is_never_hedged(case, site):
    await _start(site)
    _change(site, _slow_first(1.0))
    response, seconds = await _time_call(site, 'order')
    case.assertEqual(200, response.status)
    case.assertGreater(seconds, 1.0)
    case.assertEqual(1, len(site.list_runs('a')))


async def test_route_with_one_attempt_is_not_hedged(case, site):
    site.settings_changes = {'has_overload_control': True}
    await site.start(1)
    site.configure(2, routes=[calls.make_route('look', 'tools', 'safe')])
    await asyncio.sleep(2.0)
    for _ in range(WARM_UP_CALLS):
        await site.call('i1', 'look', method=b'GET')
    _change(site, _slow_first(0.3))
    response, _ = await _time_call(site)
    case.assertEqual(200, response.status)
    case.assertEqual(1, len(site.list_runs('a')))


async def test_used_up_budget_allows_no_second_call(case, site):
    """All targets are slow, so that each call would double their load."""
    await _start(site)
    _change(site, _slow_first(0.3))
    for number in range(30):
        response, _ = await _time_call(site, request=f'b{number}')
        case.assertEqual(200, response.status)
    hedged = len(site.list_events('i1', 'call_hedged'))
    calls = WARM_UP_CALLS + 30
    case.assertGreaterEqual(hedged, 1)
    case.assertLessEqual(hedged, hedging.BUDGET_RATIO * calls)


async def test_calls_that_are_late_at_once_stay_within_the_budget(case, site):
    """A target hangs, and the choice of second targets takes some time."""
    await _start(site)
    handler = site.instances['i1']._caller_server.handle.__self__
    dispatcher = handler._unary._dispatcher
    choose = dispatcher.choose

    async def choose_later(progress, excluded):
        if progress.may_have_run:
            await asyncio.sleep(0.008)
        return await choose(progress, excluded)

    dispatcher.choose = choose_later
    _change(site, _slow_first(0.3))
    async with asyncio.TaskGroup() as group:
        for number in range(6):
            group.create_task(
                site.call('i1', 'look', method=b'GET', request=f'd{number}')
            )
    hedged = len(site.list_events('i1', 'call_hedged'))
    case.assertGreaterEqual(hedged, 1)
    case.assertLessEqual(hedged, hedging.BUDGET_RATIO * (WARM_UP_CALLS + 6))


async def test_no_second_call_without_capacity(case, site):
    """Both targets have more requests than slots, as under a burst."""
    await _start(site)
    _change(site, _slow_first(0.5))
    async with asyncio.TaskGroup() as group:
        for number in range(20):
            group.create_task(
                site.call('i1', 'look', method=b'GET', request=f'c{number}')
            )
    case.assertEqual([], site.list_events('i1', 'call_hedged'))


async def test_disconnecting_caller_ends_both_calls(case, site):
    """Neither the targets nor the load counts may keep the request."""
    await _start(site)
    _change(site, _slow_first(30.0))
    for name in TOOLS:
        site.targets[name].service_time = 30.0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.3):
            await site.call('i1', 'look', request='a')
    await asyncio.sleep(0.05)
    case.assertEqual(2, len(site.list_runs('a')))
    case.assertEqual(
        [['a'], ['a']], [site.targets[name].cancelled for name in TOOLS]
    )
    case.assertEqual([(0, 0)] * 2, _list_loads(site))
    case.assertEqual('cancelled', _get_event(case, site)['outcome'])


async def test_deadline_with_two_calls_is_not_reported_as_not_run(case, site):
    await _start(site)
    for name in TOOLS:
        site.targets[name].service_time = 30.0
    response, _ = await _time_call(site, deadline_ms='400')
    case.assertEqual(504, response.status)
    case.assertEqual(2, len(site.list_runs('a')))
    case.assertEqual([(0, 0)] * 2, _list_loads(site))


async def test_second_run_counts_against_the_limit(case, site, adjustments):
    """A request that ran at two targets used the organisation's limit twice.

    Otherwise hedging would let organisations exceed their limits.
    """
    await _start(site)
    _change(site, _slow_first(1.0))
    progresses = adjustments(site)
    await _time_call(site)
    case.assertEqual([2], [progress.max_runs for progress in progresses])


@fixtures.fixture
def adjustments():
    """Return a function that collects the progress of requests."""

    def collect(site):
        handler = site.instances['i1']._caller_server.handle.__self__
        serve = handler._unary.serve
        progresses = []

        async def record(progress, responder):
            await serve(progress, responder)
            progresses.append(progress)

        handler._unary.serve = record
        return progresses

    return collect


async def test_disabled_feature_sends_no_second_call(case, site):
    disabled = frozenset((messages.Feature.HEDGING,))
    await _start(site, disabled_features=disabled)
    _change(site, _slow_first(0.4))
    response, seconds = await _time_call(site)
    case.assertEqual(200, response.status)
    case.assertGreater(seconds, 0.4)
    case.assertEqual(1, len(site.list_runs('a')))


async def test_earlier_deployment_sends_no_second_call(case, site):
    await _start(site, has_overload_control=False)
    _change(site, _slow_first(0.4))
    await _time_call(site)
    case.assertEqual(1, len(site.list_runs('a')))


async def test_latency_is_learned_for_the_target_of_its_call(case, site):
    """The estimate of the first target would falsify that of the second."""
    await _start(site)
    for name in TOOLS:
        site.targets[name].contention = 1.0
    await site.call('i1', 'look', method=b'GET')
    handler = site.instances['i1']._caller_server.handle.__self__
    times = handler._unary._dispatcher.completion_times
    learn = times.learn_latency
    learned = []

    def record(progress, attempt, latency):
        learned.append((attempt.target.name, progress.estimate.target))
        return learn(progress, attempt, latency)

    times.learn_latency = record
    _change(site, _slow_first(1.0))
    await _time_call(site)
    event = _get_event(case, site)
    case.assertEqual([(event['second'], event['second'])], learned)


async def test_slow_choice_of_second_target_does_not_delay_first(case, site):
    """The choice waits for a slot while the first call ends."""
    await _start(site)
    handler = site.instances['i1']._caller_server.handle.__self__
    dispatcher = handler._unary._dispatcher
    choose = dispatcher.choose
    ended = []

    async def choose_slowly(progress, excluded):
        if excluded:
            try:
                await asyncio.sleep(60.0)
            finally:
                ended.append(progress)
        return await choose(progress, excluded)

    dispatcher.choose = choose_slowly
    _change(site, _slow_first(0.3))
    response, seconds = await _time_call(site)
    case.assertEqual(200, response.status)
    case.assertLess(seconds, 0.4)
    case.assertEqual(1, len(ended))


load_tests = fixtures.adapt(__name__, [site_fixtures])
