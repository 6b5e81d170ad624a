"""Tests of requests that wait for a slot at the coordinator of a target."""

import asyncio
import collections
import contextlib
import statistics
from unittest import mock

import msgspec

from tests.gateway import site as site_module
from tests.gateway import site_fixtures
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import slot_requests
from vanillayoke.scheduling import slot_queue
from vanillayoke.standins import calls
from vanillayoke.standins import targets as targets_module
from vanillayoke.testing import fixtures

ROUTES = [
    calls.make_route(
        'find', 'tools', 'safe', max_attempts=2, slo_ms=82, priority=0
    ),
    calls.make_route('order', 'tools', 'unsafe', slo_ms=202, priority=2),
    calls.make_route('brief', 'tools', 'unsafe', timeout_ms=300, priority=2),
    calls.make_route(
        'retry', 'tools', 'safe', max_attempts=2, timeout_ms=700, priority=9
    ),
    calls.make_route('plan', 'models', 'stream', resumable=True),
]
SERVICE_SECONDS = 0.05
SLOT_TAGS = frozenset('QOFK')
# Slots of a fake target.
SLOTS = 4


class Traffic:
    """Counts datagrams between instances by the tag of their message.

    The next ``lost`` datagrams with a tag are not delivered.
    """

    def __init__(self, network) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.sizes: collections.Counter[str] = collections.Counter()
        self.lost: collections.Counter[str] = collections.Counter()
        self._send = network.send_datagram
        network.send_datagram = self.send

    def send(self, data, sender, receiver) -> None:
        tag = _find_tag(data)
        self.counts[tag] += 1
        self.sizes[tag] += len(data)
        if self.lost[tag] > 0:
            self.lost[tag] -= 1
            return
        self._send(data, sender, receiver)

    def count_slot_messages(self) -> int:
        """Return the number of messages about slots, including the waits."""
        return sum(self.counts[tag] for tag in (*SLOT_TAGS, 'P'))

    def sum_slot_sizes(self) -> int:
        """Return the bytes of messages about slots."""
        return sum(self.sizes[tag] for tag in (*SLOT_TAGS, 'P'))


def _find_tag(data: bytes) -> str:
    if data[:1] not in (b'q', b'a', b'n'):
        return data[:1].decode()
    decoded = msgspec.msgpack.decode(data[1:])
    if data[:1] in (b'q', b'a'):
        decoded = decoded[1]
    return decoded[0]


@fixtures.fixture
def monkeypatch():
    """Set attributes until the test ends."""
    with contextlib.ExitStack() as stack:
        yield lambda owner, name, value: stack.enter_context(
            mock.patch.object(owner, name, value)
        )


@fixtures.fixture
def traffic(network):
    return Traffic(network)


async def _start(site, instances=3, is_enabled=True) -> None:
    """Start a site whose tools have a single target, t1."""
    site.settings_changes['has_overload_control'] = True
    if not is_enabled:
        site.settings_changes['disabled_features'] = frozenset(
            (messages.Feature.SLOT_QUEUE,)
        )
    await site.start(instances)
    site.configure(2, routes=ROUTES)
    _register(site, 't2', state='draining')
    site.targets['t1'].service_time = SERVICE_SECONDS
    await asyncio.sleep(0.3)


def _register(site, name, **changes) -> None:
    number = list(site.targets).index(name) + 1
    address = f'10.8.0.{number}:{site_module.TARGET_PORT}'
    site.register(name, address, **changes)


def _get_target(site, name='t1'):
    instance = next(iter(site.instances.values()))
    return instance._catalog.get_target(name)


def _find_coordinator(site, name='t1') -> str:
    target = _get_target(site, name)
    return next(
        instance
        for instance, running in site.instances.items()
        if running._load_queries.find_coordinator(target) is None
    )


def _list_others(site, name='t1') -> list[str]:
    coordinator = _find_coordinator(site, name)
    return [instance for instance in site.instances if instance != coordinator]


def _count_waiting(site, name='t1') -> int:
    return sum(
        queue.waiting_count
        for instance in site.instances.values()
        for target, queue in instance._slot_queues._queues.items()
        if target == name
    )


def _send(site, instances, count, route='order', prefix='w'):
    """Send requests to instances in turn; return their tasks."""
    return [
        asyncio.ensure_future(
            site.call(
                instances[number % len(instances)],
                route,
                request=f'{prefix}{number}',
            )
        )
        for number in range(count)
    ]


async def _fill(site, instances, count=14, pause=0.004):
    """Send requests one after the other, until many wait."""
    tasks = []
    for number in range(count):
        instance = instances[number % len(instances)]
        tasks += _send(site, [instance], 1, prefix=f'w{number}-')
        await asyncio.sleep(pause)
    return tasks


async def _measure(site, task) -> float:
    """Return the time until a task is done."""
    started_at = site.timers.now()
    await task
    return site.timers.now() - started_at


async def test_urgent_calls_overtake_others_that_wait(case, site):
    """A burst of one kind delayed the urgent kind as much as itself."""
    await _start(site)
    names = list(site.instances)
    tasks = await _fill(site, names, 24)
    case.assertGreater(_count_waiting(site), 8)
    urgent = await asyncio.gather(
        *(
            _measure(site, task)
            for task in _send(site, names, 4, 'find', 'urgent')
        )
    )
    order = [run.request for run in site.targets['t1'].executions]
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})
    case.assertLess(max(urgent), 3 * SERVICE_SECONDS)
    last_urgent = max(order.index(f'urgent{n}') for n in range(4))
    case.assertLess(last_urgent, 16)


async def test_hot_organisation_does_not_delay_another(case, site):
    """The slots went to whoever sent most."""
    await _start(site)
    site.configure(
        3,
        [
            calls.make_organisation('hot', 'key-hot', rate=40, burst=200),
            calls.make_organisation('calm', 'key-calm', rate=40, burst=200),
        ],
        ROUTES,
    )
    await asyncio.sleep(0.3)

    def send(number: int, organisation: str):
        return asyncio.ensure_future(
            site.call(
                f'i{1 + number % 3}',
                'order',
                request=f'{organisation}{number}',
                key=f'key-{organisation}',
            )
        )

    hot = []
    for number in range(40):
        hot.append(send(number, 'hot'))
        await asyncio.sleep(0.004)
    calm = [_measure(site, send(number, 'calm')) for number in range(6)]
    case.assertLess(max(await asyncio.gather(*calm)), 4 * SERVICE_SECONDS)
    responses = await asyncio.gather(*hot)
    case.assertEqual({200}, {response.status for response in responses})


async def test_target_queues_at_most_two_requests(case, site):
    """Requests in the target's own queue can't be overtaken."""
    await _start(site)
    site.targets['t1'].service_time = 0.02
    tasks = await _fill(site, list(site.instances), 40, 0.002)
    most = 0
    while not all(task.done() for task in tasks):
        most = max(most, site.targets['t1'].waiting)
        await asyncio.sleep(0.002)
    case.assertLessEqual(most, 2)


async def test_uncontended_requests_cause_no_message(case, site, traffic):
    """Every request would take a further round trip."""
    await _start(site)
    for number in range(6):
        await site.call(f'i{1 + number % 3}', 'order')
    case.assertEqual(0, traffic.count_slot_messages())


async def test_disabled_feature_sends_no_message(case, site, traffic):
    """Earlier deployments must be served as before."""
    await _start(site, is_enabled=False)
    tasks = await _fill(site, list(site.instances), 10)
    await asyncio.gather(*tasks)
    case.assertEqual(0, traffic.count_slot_messages())
    case.assertGreater(traffic.counts['B'], 0)


async def test_settings_enable_and_disable_the_queue_at_any_time(
    case, site, traffic
):
    """Settings are read on change; only a restart changed the queue."""
    await _start(site)
    instances = list(site.instances.values())
    for has_overload_control in (False, True, False):
        for instance in instances:
            instance.settings = instance.settings._replace(
                has_overload_control=has_overload_control
            )
        sent = traffic.count_slot_messages()
        tasks = await _fill(site, list(site.instances))
        case.assertEqual(has_overload_control, _count_waiting(site) > 0)
        responses = await asyncio.gather(*tasks)
        case.assertEqual({200}, {response.status for response in responses})
        used = traffic.count_slot_messages() > sent
        case.assertEqual(has_overload_control, used)
    case.assertEqual([{}, {}, {}], [i._slot_queues._queues for i in instances])


async def test_waits_end_when_the_queue_is_disabled(case, site):
    """The queue of a coordinator without the feature grants no slot."""
    await _start(site)
    tasks = await _fill(site, list(site.instances))
    case.assertGreater(_count_waiting(site), 4)
    for instance in site.instances.values():
        instance.settings = instance.settings._replace(
            has_overload_control=False
        )
    await asyncio.sleep(0.12)
    case.assertEqual(0, _count_waiting(site))
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})


async def test_disabled_feature_changes_no_byte_of_a_load(case, site, network):
    """Each request at each deployment queries loads."""
    await _start(site, is_enabled=False)
    sent = []
    send = network.send_datagram

    def record(data, sender, receiver):
        if _find_tag(data) == 'N':
            sent.append(msgspec.msgpack.decode(data[1:])[1])
        send(data, sender, receiver)

    network.send_datagram = record
    await asyncio.gather(*await _fill(site, list(site.instances)))
    case.assertTrue(sent)
    case.assertEqual({3}, {len(response) for response in sent})


async def test_turns_wait_for_engines(case, site):
    """A turn in the engine's own queue would preempt running ones."""
    await _start(site)
    for name in ('m1', 'm2'):
        site.targets[name].event_interval = 0.05
    tasks = []
    for number in range(14):
        tasks.append(
            asyncio.ensure_future(
                site.turn(
                    f'i{1 + number % 3}',
                    f'a{number}',
                    route='plan',
                    program=f'p{number}',
                )
            )
        )
        await asyncio.sleep(0.004)
    waiting = [site.targets[name].waiting for name in ('m1', 'm2')]
    case.assertEqual([0, 0], waiting)
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})


# Refusals


async def test_request_that_cannot_start_in_time_is_refused_at_once(
    case, site
):
    """It waited for its deadline before it was refused."""
    await _start(site)
    tasks = await _fill(site, list(site.instances), 40)
    started_at = site.timers.now()
    response = await site.call('i1', 'brief', request='x')
    case.assertLess(site.timers.now() - started_at, 0.05)
    case.assertEqual(503, response.status)
    case.assertGreater(float(response.headers[b'retry-after']), 0.05)
    await asyncio.gather(*tasks)
    case.assertEqual([], site.list_runs('x'))
    coordinator = _find_coordinator(site)
    [event] = site.list_events(coordinator, 'slot_refused')
    case.assertEqual('x', event['request'])
    case.assertGreater(event['predicted_ms'], event['left_ms'])


async def test_request_that_may_have_run_is_not_refused(case, site):
    """A refusal would say that it did not run."""
    await _start(site)
    target = site.targets['t1']
    target.service_time = 0.2
    target.faults.append(targets_module.Fault.LOSE_ANSWER)
    task = _send(site, ['i1'], 1, 'retry')[0]
    await asyncio.sleep(0.01)
    others = await _fill(site, list(site.instances), 30)
    # Others that come as late as its second attempt are refused.
    await asyncio.sleep(0.1)
    refused = _send(site, ['i1'], 1, 'brief', 'brief')[0]
    case.assertEqual(503, (await refused).status)
    case.assertEqual(200, (await task).status)
    case.assertEqual(2, len(site.list_runs('w0')))
    await asyncio.gather(*others)


# Failures


async def test_lost_coordinator_does_not_hold_requests(case, site, network):
    """The coordinator fails while requests wait for its grants."""
    await _start(site)
    coordinator, others = _find_coordinator(site), _list_others(site)
    tasks = await _fill(site, others)
    case.assertGreater(_count_waiting(site), 4)
    site_fixtures.kill(site, network, coordinator)
    started_at = site.timers.now()
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})
    # 14 requests take 0.2 s; a lost coordinator is noticed within 0.13 s.
    case.assertLess(site.timers.now() - started_at, 0.4)
    case.assertEqual(
        [1] * 14, [len(site.list_runs(f'w{n}-0')) for n in range(14)]
    )


async def test_requests_of_a_lost_instance_do_not_hold_slots(
    case, site, network
):
    """Each of its waiting requests would take a slot for a time."""
    await _start(site)
    lost, other = _list_others(site)
    started_at = site.timers.now()
    await _fill(site, [lost])
    tasks = await _fill(site, [other], 6)
    site.targets['t1'].service_time = 0.4
    queue = site.instances[_find_coordinator(site)]._slot_queues._queues['t1']
    case.assertGreater(_count_tickets(queue, lost), 0)
    site_fixtures.kill(site, network, lost)
    await asyncio.sleep(0.3)
    case.assertEqual(0, _count_tickets(queue, lost))
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})
    # Slots that the lost instance held are free after 0.3 s.
    case.assertLess(site.timers.now() - started_at, 1.5)


def _count_tickets(queue, instance) -> int:
    """Return the number of waiting requests of an instance."""
    return sum(ticket.startswith(f'{instance}/') for ticket in queue._waiting)


async def test_delayed_instance_does_not_lose_its_requests(
    case, site, monkeypatch
):
    """A coordinator without processor time can't renew its own requests."""
    await _start(site)
    monkeypatch(slot_requests, 'RENEWAL_INTERVAL_SECONDS', 1.0)
    site.targets['t1'].service_time = 0.3
    tasks = await _fill(site, list(site.instances), 12)
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})
    runs = [len(site.list_runs(f'w{number}-0')) for number in range(12)]
    case.assertEqual([1] * 12, runs)


async def test_busy_instance_does_not_bypass_the_queue(case, site):
    """The response had arrived but was not read before the time-out."""
    await _start(site)
    others = _list_others(site)
    site.targets['t1'].service_time = 0.3
    tasks = await _fill(site, others[:1], SLOTS)
    tasks += _send(site, others[:1], 8, prefix='x')
    loop = asyncio.get_running_loop()
    for _ in range(50):
        await asyncio.sleep(0.0002)
        if _count_waiting(site):
            break
    loop._virtual_selector.elapsed += 0.03
    await asyncio.sleep(0.01)
    causes = [
        event['cause']
        for event in site.list_events(others[0], 'slot_wait_abandoned')
    ]
    case.assertEqual([], causes)
    case.assertEqual(8, _count_waiting(site))
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})


async def test_partition_lets_requests_proceed(case, site, network):
    """The instance can't reach the coordinator but the target."""
    await _start(site)
    coordinator, others = _find_coordinator(site), _list_others(site)
    tasks = await _fill(site, others)
    hosts = [site.instances[n].settings.ip for n in (coordinator, others[0])]
    network.block_path(*hosts)
    started_at = site.timers.now()
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})
    case.assertLess(site.timers.now() - started_at, 0.6)


async def test_caller_that_leaves_passes_its_slot_on(case, site):
    """A slot would idle until the grant expires."""
    await _start(site)
    instance = _list_others(site)[0]
    tasks = await _fill(site, [instance], 8)
    leaving = _send(site, [instance], 4, 'find', 'gone')
    await asyncio.sleep(0.005)
    before = _count_waiting(site)
    for task in leaving:
        task.cancel()
    await asyncio.sleep(0.01)
    case.assertEqual(before - 4, _count_waiting(site))
    await asyncio.gather(*tasks)
    case.assertEqual([], site.list_runs('gone0'))
    await asyncio.sleep(0.2)
    metrics = [i.metrics for i in site.instances.values()]
    expired = [m.slot_grants_expired._collector.get({}) for m in metrics]
    case.assertEqual([0, 0, 0], expired)


async def test_lost_grant_is_requested_again(case, site, traffic):
    """The request would wait for its deadline."""
    await _start(site)
    instance = _list_others(site)[0]
    tasks = await _fill(site, [instance], 10)
    traffic.lost['O'] = 2
    started_at = site.timers.now()
    responses = await asyncio.gather(*tasks)
    case.assertEqual(0, traffic.lost['O'])
    case.assertEqual({200}, {response.status for response in responses})
    case.assertLess(site.timers.now() - started_at, 0.4)


class _SteppingTimers:
    """A clock that goes on by a millisecond whenever it is read."""

    def __init__(self, timers) -> None:
        self._timers = timers
        self._read_count = 0

    def now(self) -> float:
        self._read_count += 1
        return self._timers.now() + self._read_count / 1000

    def call_after(self, delay, callback):
        return self._timers.call_after(delay, callback)


async def test_slot_that_becomes_free_during_a_request_is_granted(case, site):
    """The request failed, as its wait had ended before it was awaited."""
    await _start(site)
    queues = site.instances[_find_coordinator(site)]._slot_queues
    waited = 0
    for number in range(6):
        queues.handle_restart('t1')
        queue = queues._queues['t1'] = slot_queue.SlotQueue(SLOTS)
        now = site.timers.now()
        for busy in range(SLOTS):
            queue.begin(f'busy{busy}', number / 1000 + 0.0005, now)
        request = peer_messages.SlotRequest(
            't1', f'w/{number}', f'w{number}', '', 1.0, 0, False, 1.0, 1.0,
            1.0, SLOTS, 0.0,
        )  # fmt: skip
        with mock.patch.object(
            queues, '_timers', _SteppingTimers(site.timers)
        ):
            response = queues.handle_request(request)
            if asyncio.iscoroutine(response):
                waited += 1
                response = await asyncio.wait_for(response, 0.1)
        case.assertIsInstance(response, peer_messages.SlotGranted, number)
    case.assertGreater(waited, 0)


async def test_lost_requests_and_cancellations_hold_no_slot(
    case, site, traffic
):
    """Any datagram may be lost."""
    await _start(site)
    instance = _list_others(site)[0]
    for tag, count in (('Q', 2), ('P', 2), ('K', 1), ('E', 2)):
        traffic.lost[tag] = count
        tasks = await _fill(site, [instance], 12)
        tasks.pop().cancel()
        responses = await asyncio.gather(*tasks)
        case.assertEqual({200}, {r.status for r in responses}, tag)
        case.assertEqual(0, traffic.lost[tag], tag)
        await asyncio.sleep(0.5)
        case.assertEqual(0, _count_waiting(site), tag)


async def test_coordinator_that_leaves_releases_requests(case, site):
    """No end of a request reaches it any more, so it would grant no slot."""
    await _start(site)
    coordinator, others = _find_coordinator(site), _list_others(site)
    tasks = await _fill(site, others)
    stopping = asyncio.ensure_future(site.instances[coordinator].stop())
    started_at = site.timers.now()
    await asyncio.sleep(0.005)
    case.assertEqual(0, _count_waiting(site))
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})
    case.assertLess(site.timers.now() - started_at, 0.4)
    await asyncio.sleep(0.5)
    case.assertIn(_find_coordinator(site), others)
    await stopping


async def test_target_that_leaves_releases_requests(case, site):
    """Requests that wait for it choose another one."""
    await _start(site)
    tasks = await _fill(site, list(site.instances))
    _register(site, 't2')
    _register(site, 't1', state='draining')
    started_at = site.timers.now()
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})
    case.assertGreater(len(site.targets['t2'].executions), 4)
    case.assertLess(site.timers.now() - started_at, 0.5)


async def test_target_that_leaves_gets_no_request_without_coordinator(
    case, site, network
):
    """A zone was cut off while its targets were replaced."""
    await _start(site)
    coordinator, others = _find_coordinator(site), _list_others(site)
    site.targets['t1'].service_time = 0.3
    tasks = await _fill(site, others[:1], SLOTS)
    tasks += _send(site, others[:1], 8, prefix='x')
    await asyncio.sleep(0.005)
    case.assertEqual(8, _count_waiting(site))
    hosts = [site.instances[n].settings.ip for n in (coordinator, others[0])]
    network.block_path(*hosts)
    # The waiting requests have been renewed, without a response.
    await asyncio.sleep(0.102)
    _register(site, 't2')
    _register(site, 't1', state='draining')
    await asyncio.sleep(0.01)
    started = len(site.targets['t1'].executions)
    case.assertEqual(SLOTS, started)
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})
    case.assertEqual(started, len(site.targets['t1'].executions))


async def test_restarted_target_releases_requests(case, site):
    """The requests that its coordinator counts do not run there any more."""
    await _start(site)
    coordinator = site.instances[_find_coordinator(site)]
    tasks = await _fill(site, list(site.instances))
    _register(site, 't1', born=2)
    await asyncio.sleep(0.01)
    causes = [
        event['cause']
        for name in site.instances
        for event in site.list_events(name, 'slot_wait_abandoned')
    ]
    case.assertIn('released', causes)
    responses = await asyncio.gather(*tasks)
    case.assertEqual({200}, {response.status for response in responses})
    await asyncio.sleep(0.5)
    load = coordinator._load_queries.load_counts.get_load('t1', 1e9)
    case.assertEqual(0, load.waiting)


async def test_unhealthy_target_releases_requests(case, site):
    """Requests would wait for a target that serves none."""
    await _start(site)
    tasks = await _fill(site, list(site.instances))
    _register(site, 't2')
    await asyncio.sleep(0.01)
    waiting = _count_waiting(site)
    site.targets['t1'].service_time = 1.0
    for instance in site.instances.values():
        for _ in range(5):
            instance._occupancy.record_unreachable('t1', site.timers.now())
    await asyncio.sleep(0.25)
    case.assertEqual(0, _count_waiting(site))
    case.assertGreaterEqual(len(site.targets['t2'].executions), waiting - 4)
    await asyncio.gather(*tasks)


async def test_long_wait_is_logged(case, site):
    """An operator has to find out why a request took long."""
    await _start(site)
    site.targets['t1'].service_time = 0.4
    tasks = await _fill(site, list(site.instances), 12)
    await asyncio.gather(*tasks)
    events = site.list_events(_find_coordinator(site), 'slot_wait_long')
    case.assertGreater(len(events), 2)
    case.assertTrue(all(event['request'] for event in events))
    case.assertGreater(events[-1]['seconds'], 0.5)


# Cost


async def test_messages_do_not_depend_on_the_number_of_instances(
    case, site, traffic
):
    """The load of the network would grow with the square of the instances."""
    costs = []
    await _start(site, 3)
    for count in (3, 12):
        for number in range(len(site.instances) + 1, count + 1):
            await site.add_instance(f'i{number}')
        await asyncio.sleep(3.0)
        before = traffic.count_slot_messages(), traffic.sum_slot_sizes()
        names = _list_others(site)
        tasks = await _fill(site, names, 40)
        await asyncio.gather(*tasks)
        costs.append(
            (
                (traffic.count_slot_messages() - before[0]) / 40,
                (traffic.sum_slot_sizes() - before[1]) / 40,
            )
        )
    # A request, two responses, and a renewal for every 0.1 s.
    case.assertLess(max(cost[0] for cost in costs), 8)
    case.assertLess(costs[1][0], 1.15 * costs[0][0])
    case.assertLess(costs[1][1], 1.15 * costs[0][1])


async def test_waits_within_the_coordinator_send_no_message(
    case, site, traffic
):
    await _start(site)
    before = traffic.count_slot_messages()
    tasks = await _fill(site, [_find_coordinator(site)])
    await asyncio.gather(*tasks)
    case.assertEqual(before, traffic.count_slot_messages())


# Weights


def test_weight_is_the_rate_limit(case):
    weights = slot_requests.OrganisationWeights()
    organisations = {
        b'1': messages.Organisation('small', 10.0),
        b'2': messages.Organisation('large', 50.0),
        b'3': messages.Organisation('large', 50.0),
        b'4': messages.Organisation('unlimited'),
    }
    configuration = messages.Configuration(
        1, (), {}, messages.CallerLimits(1, 1, 1.0, 1.0), organisations
    )
    found = [
        weights.find(organisation, configuration)
        for organisation in organisations.values()
    ]
    case.assertEqual([10.0, 50.0, 50.0, 30.0], found)
    case.assertEqual(1.0, weights.find(None, configuration))


def test_new_fields_are_left_out_only_if_all_after_them_are(case):
    """A field that is left out in between would shift the others."""

    class Message(msgspec.Struct, array_like=True, tag='N'):
        requests: float
        waiting: int = 0
        performance: float | None = None

    fields = {Message: 'waiting'}
    with mock.patch.object(peer_messages, '_FIRST_NEW_FIELDS', fields):
        for message in (
            Message(1.0),
            Message(1.0, 2),
            Message(1.0, 0, 0.5),
            Message(1.0, 2, 0.5),
        ):
            sent = msgspec.msgpack.encode(peer_messages.omit_defaults(message))
            received = msgspec.msgpack.decode(sent, type=Message)
            case.assertEqual(message, received)
        case.assertEqual(('N', 1.0), peer_messages.omit_defaults(Message(1.0)))


def test_load_response_of_an_older_instance_has_no_waiting_requests(case):
    """Instances of two versions run together while one is replaced."""
    data = msgspec.msgpack.encode(['N', 3.0, 1.0])
    response = msgspec.msgpack.decode(data, type=peer_messages.LoadResponse)
    case.assertEqual(0, response.waiting)
    case.assertEqual(3.0, statistics.fmean([response.requests]))


load_tests = fixtures.adapt(__name__, [site_fixtures])
