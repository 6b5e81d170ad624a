"""Tests of an instance near its memory limit."""

import asyncio

from tests.gateway import site as site_module
from tests.gateway import site_fixtures
from vanillayoke.core import memory
from vanillayoke.gateway import messages
from vanillayoke.standins import calls
from vanillayoke.standins import targets
from vanillayoke.testing import fixtures

CAPACITY = 16_000_000
LIMIT = memory.OWN_BYTES + int(CAPACITY / memory.USABLE_RATIO) + 1
LARGE = 2_000_000
DISABLED = frozenset((messages.Feature.MEMORY_LIMIT,))


async def _start(site, **settings):
    site.settings_changes = {'memory_limit': LIMIT, **settings}
    await site.start(1)
    for name in ('t1', 't2'):
        _respond_with_size(site.targets[name])
    return site.instances['i1']._memory_limit.account


def _respond_with_size(target):
    """Let a request for .../x/500 be answered with 500 bytes."""
    execute = target._execute

    async def replacement(execution, fault, responder):
        size = execution.target.rpartition(b'/')[2]
        if size.isdigit():
            execution = execution._replace(body=b'#' * int(size))
        await execute(execution, fault, responder)

    target._execute = replacement


class _Caller(asyncio.Protocol):
    def __init__(self):
        self.received = bytearray()
        self.is_closed = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def connection_lost(self, error):
        self.is_closed = True


async def _connect(site):
    loop = asyncio.get_running_loop()
    host, _, port = site.instances['i1'].settings.front.rpartition(':')
    _, caller = await loop.create_connection(_Caller, host, int(port))
    return caller


async def _connect_reader(site, size, deadline_ms=3000, reads=False):
    """Return a caller that has asked for a response of a size."""
    caller = await _connect(site)
    if not reads:
        caller.transport.pause_reading()
    headers = calls.make_headers(site.make_request_id(), deadline_ms)
    lines = b''.join(b'%b: %b\r\n' % field for field in headers)
    request = b'GET /look/x/%d HTTP/1.1\r\n%b\r\n' % (size, lines)
    caller.transport.write(request)
    return caller


async def _upload(site, request):
    """Return a caller that has sent a large body in parts."""
    caller = await _connect(site)
    headers = calls.make_headers(request)
    headers.append((b'Content-Length', b'%d' % LARGE))
    lines = b''.join(b'%b: %b\r\n' % field for field in headers)
    caller.transport.write(b'POST /order/x HTTP/1.1\r\n%b\r\n' % lines)
    await asyncio.sleep(0.1)
    caller.transport.write(b'b' * LARGE)
    return caller


async def _time_call(site, route='look', **header_fields):
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    response = await site.call('i1', route, b'oak', **header_fields)
    return response, loop.time() - started_at


async def test_hundred_slow_readers_take_no_service_from_others(case, site):
    """Their responses are ten times what the instance may hold."""
    account = await _start(site)
    slow = [await _connect_reader(site, LARGE) for _ in range(100)]
    peak = 0
    for _ in range(100):
        response, seconds = await _time_call(site, 'order')
        case.assertEqual(200, response.status)
        case.assertLess(seconds, 0.1)
        for caller in slow:
            caller.transport.read_some(100)
        peak = max(peak, account.total)
    case.assertLessEqual(peak, CAPACITY)
    # Nobody who reads is disconnected.
    case.assertEqual([], site.list_events('i1', 'caller_not_reading'))


async def test_slow_readers_of_a_route_hardly_hinder_its_others(case, site):
    """Small and large responses of one route and organisation."""
    await _start(site)
    for _ in range(20):
        await _time_call(site)
    for _ in range(100):
        await _connect_reader(site, LARGE)
    results = []
    for _ in range(100):
        response, seconds = await _time_call(site)
        results.append((response.status, seconds < 0.1))
        await asyncio.sleep(0.02)
    case.assertGreaterEqual(results.count((200, True)), 95)


async def test_responses_of_slow_readers_are_delivered(case, site):
    """Responses that do not fit wait, and are delivered when they do."""
    account = await _start(site)
    slow = [await _connect_reader(site, LARGE, 20_000) for _ in range(10)]
    await asyncio.sleep(0.2)
    case.assertLessEqual(account.total, CAPACITY)
    for _ in range(40):
        await asyncio.sleep(0.02)
        for caller in slow:
            caller.transport.read_some(LARGE // 5)
    case.assertEqual(
        [LARGE] * 10, [caller.received.count(b'#') for caller in slow]
    )


async def test_callers_that_never_read_are_disconnected(case, site):
    """They hold memory that large responses of others need."""
    account = await _start(site)
    never = [await _connect_reader(site, LARGE, 20_000) for _ in range(6)]
    await asyncio.sleep(1.0)
    case.assertTrue(account.is_under_pressure)
    await asyncio.sleep(6.0)
    case.assertFalse(account.is_under_pressure)
    [event, *_] = site.list_events('i1', 'caller_not_reading')
    case.assertGreaterEqual(event['bytes'], LARGE)
    case.assertGreaterEqual(event['seconds'], 2.0)
    case.assertIn(
        event['request'],
        [end['request'] for end in site.list_events('i1', 'request_ended')],
    )
    case.assertEqual(
        len(site.list_events('i1', 'caller_not_reading')),
        sum(caller.transport.is_closing() for caller in never),
    )
    reader = await _connect_reader(site, LARGE, reads=True)
    await asyncio.sleep(0.2)
    case.assertEqual(LARGE, reader.received.count(b'#'))
    [entered] = site.list_events('i1', 'memory_pressure_entered')
    case.assertEqual(CAPACITY, entered['capacity'])
    case.assertEqual(1, len(site.list_events('i1', 'memory_pressure_left')))


async def test_request_is_refused_before_the_limit(case, site):
    """The refusal says that it has not run, and when to come back."""
    account = await _start(site)
    account.add(memory.Kind.RESPONSES, int(0.96 * CAPACITY))
    response, _ = await _time_call(site, request='a')
    case.assertEqual(503, response.status)
    case.assertGreater(float(response.headers[b'retry-after']), 0)
    case.assertEqual([], site.list_runs('a'))
    [failed] = site.list_events('i1', 'request_failed')
    case.assertEqual('memory', failed['outcome'])
    page = site.instances['i1'].metrics.render().body
    case.assertIn(b'memory_refusals_total{kind="request"} 1', page)
    case.assertTrue(account.take_refusal())
    account.add(memory.Kind.RESPONSES, -int(0.96 * CAPACITY))
    response, _ = await _time_call(site, request='b')
    case.assertEqual(200, response.status)


async def test_route_with_large_responses_is_refused_first(case, site):
    account = await _start(site)
    for _ in range(5):
        reader = await _connect_reader(site, LARGE, reads=True)
        await asyncio.sleep(0.1)
        case.assertEqual(LARGE, reader.received.count(b'#'))
        reader.transport.abort()
    account.add(memory.Kind.RESPONSES, int(0.74 * CAPACITY))
    # One is tried, and its response waits for memory.
    tried = await _connect_reader(site, LARGE, reads=True)
    await asyncio.sleep(0.2)
    large, _ = await _time_call(site)
    other, _ = await _time_call(site, 'order')
    case.assertEqual((503, 200), (large.status, other.status))
    account.add(memory.Kind.RESPONSES, -int(0.74 * CAPACITY))
    await asyncio.sleep(0.2)
    case.assertEqual(LARGE, tried.received.count(b'#'))
    large, _ = await _time_call(site)
    case.assertEqual(200, large.status)


async def test_held_bytes_are_shown_by_kind(case, site):
    account = await _start(site)
    account.add(memory.Kind.HISTORIES, 12345)
    await asyncio.sleep(0.5)
    page = site.instances['i1'].metrics.render().body
    case.assertIn(b'memory_held_bytes{kind="histories"} 12345', page)


async def test_waiting_for_memory_is_no_failure_of_the_target(case, site):
    """A response waits until the request times out.

    The request has run. Its target must not be regarded as unhealthy.
    """
    account = await _start(site)
    account.add(memory.Kind.RESPONSES, int(0.74 * CAPACITY))
    reader = await _connect_reader(site, LARGE, reads=True)
    await asyncio.sleep(3.0)
    case.assertIn(b' 502 ', reader.received)
    case.assertEqual([], site.list_events('i1', 'attempt_failed'))
    now = site.timers.now()
    occupancy = site.instances['i1']._occupancy
    for name in ('t1', 't2'):
        case.assertFalse(occupancy.should_avoid(name, now))


async def test_large_request_body_waits_then_is_refused(case, site):
    """It waits for a second, in case that memory becomes free."""
    account = await _start(site)
    held = int(0.7 * CAPACITY)
    account.add(memory.Kind.RESPONSES, held)
    caller = await _upload(site, 'a')
    await asyncio.sleep(1.5)
    case.assertIn(b' 503 ', caller.received)
    case.assertIn(b'Retry-After', caller.received)
    case.assertEqual([], site.list_runs('a'))
    case.assertEqual(1, len(site.list_events('i1', 'body_refused')))
    asyncio.get_running_loop().call_later(
        0.5, account.add, memory.Kind.RESPONSES, -held
    )
    caller = await _upload(site, 'b')
    await asyncio.sleep(1.5)
    case.assertIn(b' 200 ', caller.received)
    case.assertEqual(b'b' * LARGE, site.list_runs('b')[0].body)


async def test_cached_histories_are_dropped_under_pressure(case, site):
    """They can be read from the store again."""
    account = await _start(site)
    await site.turn('i1', 'a1', b'hello')
    await asyncio.sleep(0.5)
    case.assertGreater(account.held[memory.Kind.HISTORIES], 0)
    account.add(memory.Kind.RESPONSES, int(0.72 * CAPACITY))
    case.assertEqual(0, account.held[memory.Kind.HISTORIES])
    response = await site.turn('i1', 'a2', b'more', previous='a1')
    case.assertEqual(200, response.status)
    [run] = site.list_runs('a2')
    case.assertTrue(run.body.startswith(b'hello'))
    case.assertTrue(run.body.endswith(b'more'))


async def test_histories_are_not_cached_under_pressure(case, site):
    """The cache would keep the pressure up, and is cleared only once."""
    account = await _start(site)
    account.add(memory.Kind.RESPONSES, int(0.72 * CAPACITY))
    await site.turn('i1', 'a1', b'hello')
    await site.turn('i1', 'a2', b'more', previous='a1')
    await asyncio.sleep(0.5)
    case.assertEqual(0, account.held[memory.Kind.HISTORIES])
    case.assertEqual(2, len(site.list_runs('a1') + site.list_runs('a2')))


async def test_account_is_empty_when_all_has_ended(case, site):
    """What is not released would refuse requests for ever."""
    account = await _start(site, has_overload_control=True)
    for name in ('t1', 't2'):
        site.targets[name].faults.extend(
            [
                targets.Fault.SHED,
                targets.Fault.LOSE_ANSWER,
                targets.Fault.TRUNCATE_ANSWER,
                targets.Fault.ERROR,
                targets.Fault.UNRESPONSIVE,
            ]
        )
    for name in ('m1', 'm2'):
        site.targets[name].faults.append(targets.Fault.TRUNCATE_ANSWER)
    readers = [await _connect_reader(site, LARGE) for _ in range(12)]
    async with asyncio.TaskGroup() as group:
        for number in range(20):
            group.create_task(site.call('i1', 'look', b'a' * 1000 * number))
            group.create_task(site.call('i1', 'order', b'b' * 1000 * number))
            for route in ('chat', 'plan'):
                group.create_task(
                    site_fixtures.try_turn(
                        site, 'i1', f'{route}{number}', f'p{number}', 1000,
                        40, route,
                    )
                )  # fmt: skip
    for caller in readers:
        caller.transport.abort()
    await asyncio.sleep(5.0)
    # Under pressure nothing was cached.
    case.assertFalse(account.is_under_pressure)
    await site.turn('i1', 'last', b'hello')
    await asyncio.sleep(0.5)
    held = {kind: size for kind, size in account.held.items() if size}
    cached = site.instances['i1']._histories._cached_bytes
    case.assertEqual({memory.Kind.HISTORIES: cached}, held)


async def test_instance_without_limit_keeps_no_account(case, site):
    case.assertIsNone(await _start(site, memory_limit=None))
    slow = [await _connect_reader(site, LARGE) for _ in range(20)]
    await asyncio.sleep(10.0)
    for caller in slow:
        caller.transport.resume_reading()
        case.assertEqual(LARGE, caller.received.count(b'#'))


async def test_disabled_feature_keeps_no_account(case, site):
    case.assertIsNone(await _start(site, disabled_features=DISABLED))
    case.assertEqual(200, (await _time_call(site))[0].status)


async def test_far_from_the_bound_nothing_changes(case, site):
    await _start(site, memory_limit=552 * 1024 * 1024)
    slow = [await _connect_reader(site, LARGE) for _ in range(100)]
    await asyncio.sleep(10.0)
    case.assertEqual([], site.list_events('i1', 'request_failed'))
    for caller in slow:
        caller.transport.resume_reading()
        case.assertEqual(LARGE, caller.received.count(b'#'))


def test_settings_of_tests_have_no_limit(case):
    """Tests of other parts must run without this one."""
    settings = site_module.make_settings('i1', '10.1.0.1')
    case.assertIsNone(settings.memory_limit)


load_tests = fixtures.adapt(__name__, [site_fixtures])
