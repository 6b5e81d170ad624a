"""Tests of the exchange of loads between zones, and of what follows.

The deployments have three zones with two instances and two engines each.
"""

import asyncio
import itertools
from unittest import mock

import msgspec

from tests.gateway import site_fixtures
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import rendezvous
from vanillayoke.scheduling import zone_loads
from vanillayoke.testing import fixtures

ZONES = ('z1', 'z2', 'z3')
# Loads wait for at most a second, and cross the network three times.
KNOWN_SECONDS = 1.01
_DECODER = msgspec.msgpack.Decoder()

ENABLED = frozenset((messages.Feature.ZONE_BALANCING,))


async def _start(site, **settings):
    """Start a deployment with zones; ``settings`` are as in ``Settings``."""
    site.settings_changes = settings or {'enabled_features': ENABLED}
    # Starts the engines m1 and m2 and the tools in zone z1.
    await site.start(0)
    for name in ('m3', 'm4', 'm5', 'm6'):
        await site.add_target(name, zone='z2' if name < 'm5' else 'z3')
    for number in range(1, 7):
        zone = ZONES[(number - 1) // 2]
        await site.add_instance(f'i{number}', zone=zone)
        # The timers of the instances run at different moments.
        await asyncio.sleep(0.083)
    await asyncio.sleep(4.0)


def _list_zone(site, zone):
    return [
        name
        for name, instance in site.instances.items()
        if instance.settings.zone == zone
    ]


def _find_coordinator(site, zone):
    return rendezvous.find_highest(zone, _list_zone(site, zone))


def _list_engines(site, zone):
    return [
        name
        for name in site.targets
        if name.startswith('m') and site._target_zones[name] == zone
    ]


def _get_loads(site, instance):
    loads = site.instances[instance]._zone_loads
    return loads.get_loads('models', site.timers.now())


def _choose(site, instance, affinity_target=None, count=200):
    """Return the set of zones that are chosen for turns."""
    loads = site.instances[instance]._zone_loads
    return {
        loads.choose_zone('models', 'r', affinity_target, True, 0.0)
        for _ in range(count)
    }


def _occupy(site, zone, count, seconds=60.0):
    """Count requests at the engines of a zone, as if they had started."""
    for name in _list_engines(site, zone):
        for instance in site.instances.values():
            instance._load_queries.load_counts.reset(name)
    engines = itertools.cycle(_list_engines(site, zone))
    for number, engine in zip(range(count), engines, strict=False):
        target = next(
            target
            for target in site.instances['i1']._catalog.list_targets('models')
            if target.name == engine
        )
        sender = site.instances[_list_zone(site, zone)[0]]
        sender._load_queries.record_start(target, f'busy{number}', seconds)


def _record_datagrams(network):
    """Return a list of sender, receiver and data of further datagrams."""
    sent = []
    send = network.send_datagram

    def record(data, sender, receiver):
        sent.append((sender[0], receiver[0], data))
        send(data, sender, receiver)

    network.send_datagram = record
    return sent


def _list_notifications(sent, *tags):
    return [
        (sender, receiver, data)
        for sender, receiver, data in sent
        if data[:1] == b'n' and _DECODER.decode(data[1:])[0] in tags
    ]


async def test_loads_are_known_everywhere_within_a_second(case, site):
    """Decisions by older loads would send programs to zones that are full."""
    await _start(site)
    for step in range(32):
        # Another load than before, at another moment of the interval.
        count = 1 + step % 8
        await asyncio.sleep(0.037)
        _occupy(site, 'z2', count)
        await asyncio.sleep(KNOWN_SECONDS)
        for name in site.instances:
            load = _get_loads(site, name)['z2']
            with case.subTest((count, name)):
                case.assertEqual((8, count), load[:2])
                age = site.timers.now() - load.measured_at
                case.assertLess(age, KNOWN_SECONDS)


async def test_requests_beyond_the_slots_count_as_waiting(case, site):
    await _start(site)
    _occupy(site, 'z1', 12)
    await asyncio.sleep(KNOWN_SECONDS)
    load = _get_loads(site, 'i5')['z1']
    case.assertEqual((8, 8.0, 4.0, 8.0), load[:4])


async def test_unhealthy_and_leaving_engines_are_not_capacity(case, site):
    """A zone would look idle while its engines refuse connections."""
    await _start(site)
    crashed, leaving = _list_engines(site, 'z3')
    site.register(leaving, '10.8.9.9:8080', 'draining')
    # A quorum of the instances has to agree.
    for name in ('i1', 'i3', 'i5'):
        occupancy = site.instances[name]._occupancy
        for _ in range(3):
            occupancy.record_unreachable(crashed, site.timers.now())
    await asyncio.sleep(KNOWN_SECONDS)
    case.assertEqual(0, _get_loads(site, 'i1')['z3'].slots)
    case.assertEqual({'z1', 'z2'}, _choose(site, 'i5'))


async def test_loads_return_after_the_coordinator_of_a_zone_is_killed(
    case, site, network
):
    """All instances use their own view until the next one has sent."""
    await _start(site)
    _occupy(site, 'z2', 12)
    await asyncio.sleep(KNOWN_SECONDS)
    killed = _find_coordinator(site, 'z2')
    site_fixtures.kill(site, network, killed)
    [survivor] = _list_zone(site, 'z2')
    killed_at = site.timers.now()
    was_unknown = False
    while site.timers.now() < killed_at + 4.0:
        await asyncio.sleep(0.1)
        load = _get_loads(site, 'i1').get('z2')
        was_unknown |= load is None
        if load is None:
            case.assertEqual({'z2'}, _choose(site, survivor))
        else:
            age = site.timers.now() - load.measured_at
            case.assertLessEqual(age, zone_loads.MAX_AGE_SECONDS)
    for name in site.instances:
        case.assertEqual(8, _get_loads(site, name)['z2'].slots)
    age = site.timers.now() - _get_loads(site, 'i1')['z2'].measured_at
    case.assertLess(age, KNOWN_SECONDS)


async def test_targets_of_a_killed_instance_are_counted_once(
    case, site, network
):
    """Its last report and that of its successor cover the same targets."""
    await _start(site)
    for number in range(10, 16):
        await site.add_instance(f'i{number}', zone='z2')
    await asyncio.sleep(3.0)
    coordinator = _find_coordinator(site, 'z2')
    [killed, *_] = (
        name
        for engine in _list_engines(site, 'z2')
        if (name := rendezvous.find_highest(engine, _list_zone(site, 'z2')))
        != coordinator
    )
    site_fixtures.kill(site, network, killed)
    for _ in range(30):
        await asyncio.sleep(0.1)
        case.assertLessEqual(_get_loads(site, 'i1')['z2'].slots, 8)
    case.assertEqual(8, _get_loads(site, 'i1')['z2'].slots)


async def test_new_coordinator_sends_no_incomplete_sum(case, site):
    """It would report a part of the zone's capacity as all of it.

    The other instances find out about it at different times.
    """
    await _start(site)
    for number in range(7, 13):
        await site.add_target(f'm{number}', zone='z2')
    for number in range(10, 13):
        await site.add_instance(f'i{number}', zone='z2')
        await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)
    for _ in range(3):
        coordinator = _find_coordinator(site, 'z2')
        stopping = asyncio.ensure_future(site.instances[coordinator].stop())
        for _ in range(60):
            await asyncio.sleep(0.05)
            case.assertEqual(32, _get_loads(site, 'i1')['z2'].slots)
        await stopping
        del site.instances[coordinator]


async def test_coordinator_that_stood_still_sends_no_incomplete_sum(
    case, site
):
    """Its zone would look small and idle, or short, to all others."""
    await _start(site)
    for name in ('m7', 'm8', 'm9'):
        await site.add_target(name, zone='z2')
    await asyncio.sleep(1.0)
    slots = _get_loads(site, 'i1')['z2'].slots
    coordinator = site.instances[_find_coordinator(site, 'z2')]
    loads = coordinator._zone_loads
    coordinator._zone_loads_timer.cancel()
    with mock.patch.object(loads, 'receive', autospec=True):
        await asyncio.sleep(zone_loads.MAX_AGE_SECONDS + 0.2)
    loads._tick()
    coordinator._zone_loads_timer = loads.start()
    for _ in range(15):
        for name in site.instances:
            known = _get_loads(site, name).get('z2')
            case.assertIn(known and known.slots, (None, slots))
        await asyncio.sleep(0.1)
    case.assertEqual(slots, _get_loads(site, 'i1')['z2'].slots)


async def test_feature_that_is_enabled_again_sends_no_incomplete_sum(
    case, site
):
    """Settings may change at any time, at one instance after the other."""
    await _start(site)
    for enabled_features in (frozenset(), ENABLED):
        for instance in site.instances.values():
            instance.settings = instance.settings._replace(
                enabled_features=enabled_features
            )
        for _ in range(30):
            await asyncio.sleep(0.1)
            for name in site.instances:
                for zone, load in _get_loads(site, name).items():
                    case.assertEqual(8, load.slots, (name, zone))
    case.assertEqual(set(ZONES), _get_loads(site, 'i1').keys())


async def test_older_coordinator_takes_over_from_a_younger_one(
    case, site, network
):
    """Its process started earlier, so its versions would be lower."""
    await _start(site)
    older = _find_coordinator(site, 'z2')
    names = (f'i{number}' for number in range(10, 99))
    younger = next(
        name
        for name in names
        if rendezvous.find_highest('z2', [older, name]) == name
    )
    await site.add_instance(younger, zone='z2')
    for _ in range(30):
        # No sum is sent before all instances have reported to the new one.
        await asyncio.sleep(0.1)
        case.assertEqual(8, _get_loads(site, 'i1')['z2'].slots)
    case.assertEqual(younger, _find_coordinator(site, 'z2'))
    epochs = [_get_epoch(site, 'i1', 'z2')]
    site_fixtures.kill(site, network, younger)
    await asyncio.sleep(4.0)
    case.assertIn('z2', _get_loads(site, 'i1'))
    epochs.append(_get_epoch(site, 'i1', 'z2'))
    case.assertLess(*epochs)


def _get_epoch(site, instance, zone):
    return site.instances[instance]._zone_loads._table.get_version(zone)[0]


async def test_loads_stay_known_while_a_coordinator_leaves(case, site):
    """Each release would otherwise interrupt the choice in every zone."""
    await _start(site)
    coordinator = _find_coordinator(site, 'z2')
    stopping = asyncio.ensure_future(site.instances[coordinator].stop())
    for _ in range(40):
        await asyncio.sleep(0.1)
        case.assertEqual(8, _get_loads(site, 'i1')['z2'].slots)
    await stopping


async def test_nothing_begins_beyond_a_partition(case, site, network):
    """The engines beyond it cannot be reached, although they look idle."""
    await _start(site)
    _occupy(site, 'z1', 12)
    await asyncio.sleep(KNOWN_SECONDS)
    case.assertEqual({'z1', 'z2', 'z3'}, _choose(site, 'i1'))
    beyond = [site.instances[n].settings.ip for n in _list_zone(site, 'z3')]
    others = [
        instance.settings.ip
        for instance in site.instances.values()
        if instance.settings.zone != 'z3'
    ]
    for pair in itertools.product(beyond, others):
        network.block_path(*pair)
    await asyncio.sleep(zone_loads.MAX_AGE_SECONDS + 0.5)
    for _ in range(20):
        await asyncio.sleep(0.2)
        case.assertEqual({'z1', 'z2'}, _get_loads(site, 'i1').keys())
        case.assertEqual({'z1', 'z2'}, _choose(site, 'i1'))
        case.assertEqual({'z3'}, _get_loads(site, 'i5').keys())
        # Nor do the targets of this zone come first for programs under way.
        case.assertEqual({'z1'}, _choose(site, 'i2', 'm5', 1))
    network.restore_paths()
    await asyncio.sleep(4.0)
    for name in site.instances:
        case.assertEqual(set(ZONES), _get_loads(site, name).keys())


async def test_no_message_is_sent_without_the_features(case, site, network):
    """Earlier deployments pay for no datagram that they do not use."""
    sent = _record_datagrams(network)
    await _start(site, has_overload_control=False)
    for number in range(1, 7):
        await site.turn(f'i{number}', f'r{number}', program=f'p{number}')
    case.assertTrue(sent)
    case.assertEqual([], _list_notifications(sent, 'Y', 'Z'))
    # Loads from instances that have the features change no decision.
    for zone, running in (('z1', 100.0), ('z2', 0.0)):
        _inject(site, 'i1', _make_zone_loads(zone, running))
    await asyncio.sleep(0.5)
    case.assertEqual({'z1'}, _choose(site, 'i1'))


async def test_disabled_features_send_no_message(case, site, network):
    sent = _record_datagrams(network)
    await _start(
        site,
        has_overload_control=True,
        disabled_features=frozenset(
            (
                messages.Feature.ZONE_BALANCING,
                messages.Feature.PROGRAM_ADMISSION,
            )
        ),
    )
    case.assertEqual([], _list_notifications(sent, 'Y', 'Z'))


async def test_loads_are_sent_for_targets_that_report_contention(case, site):
    """Zones are then levelled, also without overload control."""
    await _start(site, has_overload_control=False)
    for instance in site.instances.values():
        loads = instance._zone_loads
        loads._targets = loads._targets._replace(
            reports_contention=lambda service: service == 'models'
        )
    _occupy(site, 'z1', 20)
    await asyncio.sleep(KNOWN_SECONDS)
    now = site.timers.now()
    case.assertEqual(set(ZONES), _get_loads(site, 'i6').keys())
    case.assertEqual(
        {}, site.instances['i1']._zone_loads.get_loads('tools', now)
    )
    case.assertIn('z2', _choose(site, 'i1'))


async def test_admission_gets_loads_while_balancing_is_disabled(case, site):
    await _start(
        site,
        has_overload_control=True,
        disabled_features=frozenset((messages.Feature.ZONE_BALANCING,)),
    )
    _occupy(site, 'z1', 20)
    await asyncio.sleep(KNOWN_SECONDS)
    case.assertEqual(set(ZONES), _get_loads(site, 'i1').keys())
    case.assertEqual({'z1'}, _choose(site, 'i1'))


def _make_zone_loads(zone, running, version=(10**15, 1), age_ms=0):
    load = zone_loads.ServiceLoad('models', 8, running, 0.0, 8.0)
    report = zone_loads.ZoneReport(zone, version, age_ms, (load,))
    return msgspec.msgpack.encode(peer_messages.ZoneLoads((report,)))


def _inject(site, instance, data):
    site.instances[instance]._peers.receive(b'n' + data, '10.1.0.9:7380')


async def test_malformed_and_late_datagrams_are_ignored(case, site):
    """Datagrams may come from another version, or long after their time."""
    await _start(site)
    before = _get_loads(site, 'i1')
    encode = msgspec.msgpack.encode
    for data in (
        b'',
        encode(['Z']),
        encode(['Z', 3]),
        encode(['Y', 'z1', 'i2', [1], []]),
        encode(['Y', 'z1', 'i2', [1, 2], [['models', 'many', 1, 1, 1]]]),
        encode(['Z', [['z1', [10**15, 1], 0, [['models', 8]]]]]),
        _make_zone_loads('z1', float('nan')),
        _make_zone_loads('z1', -1.0),
        _make_zone_loads('z1', 1.0, version=(1, 1)),
        _make_zone_loads('z1', 1.0, age_ms=5000),
        _make_zone_loads('z1', 1.0)[:-3],
    ):
        _inject(site, 'i1', data)
        with case.subTest(data):
            case.assertEqual(before, _get_loads(site, 'i1'))
    _inject(site, 'i1', _make_zone_loads('z1', 1.0))
    case.assertEqual(1.0, _get_loads(site, 'i1')['z1'].running)


async def test_datagrams_do_not_depend_on_the_number_of_instances(
    case, site, network
):
    """An instance gets two datagrams a second, and its coordinator more."""
    await _start(site)
    for number in range(10, 16):
        await site.add_instance(f'i{number}', zone='z1')
    await asyncio.sleep(4.0)
    sent = _record_datagrams(network)
    await asyncio.sleep(4.0)
    coordinators = {_find_coordinator(site, zone) for zone in ZONES}
    for name, instance in site.instances.items():
        ip = instance.settings.ip
        received = [
            item
            for item in _list_notifications(sent, 'Y', 'Z')
            if item[1] == ip
        ]
        with case.subTest(name):
            if name not in coordinators:
                case.assertAlmostEqual(8, len(received), delta=1)
            else:
                case.assertLessEqual(
                    len(_list_notifications(received, 'Z')), 33
                )


async def test_first_turns_leave_a_zone_that_is_short(case, site):
    """Programs would wait while other zones have free slots."""
    await _start(site)
    _occupy(site, 'z1', 24)
    await asyncio.sleep(KNOWN_SECONDS)
    for number in range(40):
        response = await site.turn(
            'i1', f'r{number}', program=f'p{number}', route='plan'
        )
        case.assertEqual(200, response.status)
    zones = [
        site._target_zones[name]
        for name in _list_engines(site, 'z2') + _list_engines(site, 'z3')
        for _ in site.targets[name].executions
    ]
    case.assertGreater(zones.count('z2'), 5)
    case.assertGreater(zones.count('z3'), 5)
    page = site.instances['i1'].metrics.render().body.decode()
    case.assertIn('programs_in_other_zones_total{', page)
    case.assertIn('zone_is_short{service="models"} 1', page)
    begun = site.list_events('i1', 'program_in_other_zone')
    case.assertTrue(begun)


async def test_zone_that_becomes_short_and_recovers_is_logged_once(case, site):
    """One line per zone, not one per instance."""
    await _start(site)
    _occupy(site, 'z1', 24)
    await asyncio.sleep(3.0)
    _occupy(site, 'z1', 0)
    await asyncio.sleep(3.0)
    for event in ('zone_short', 'zone_recovered'):
        lines = [
            line
            for name in site.instances
            for line in site.list_events(name, event)
            if line['service'] == 'models'
        ]
        with case.subTest(event):
            case.assertEqual(['z1'], [line['zone'] for line in lines])


async def test_later_turns_stay_in_the_zone_of_their_program(case, site):
    """The cache would be lost, also when the zones' loads change again."""
    await _start(site)
    for number, instance in enumerate(('i1', 'i3', 'i5', 'i2')):
        await site.turn(
            instance,
            f'a{number}',
            program='p1',
            route='chat',
            previous=f'a{number - 1}' if number else None,
        )
        await asyncio.sleep(0.3)
    engines = {
        name
        for name, t in site.targets.items()
        if t.executions and 'm' in name
    }
    case.assertEqual(1, len(engines))
    _occupy(site, 'z1', 24)
    await asyncio.sleep(KNOWN_SECONDS)
    [engine] = engines
    case.assertEqual({'z1'}, _choose(site, 'i1', engine))
    case.assertEqual({'z1'}, _choose(site, 'i5', engine))


async def test_other_zones_are_not_asked_while_a_slot_is_free(
    case, site, network
):
    """Questions and turns would cross zones although nobody has to wait."""
    await _start(site)
    # By the initial estimate, two requests slow an engine down by 25%.
    _occupy(site, 'z1', 4)
    await asyncio.sleep(KNOWN_SECONDS)
    sent = _record_datagrams(network)
    for number in range(20):
        await site.turn('i1', f'r{number}', program=f'p{number}', route='plan')
    asked = {
        _DECODER.decode(data[1:])[1][1]
        for _, _, data in sent
        if data[:1] == b'q' and _DECODER.decode(data[1:])[1][0] == 'C'
    }
    case.assertTrue(asked)
    case.assertLessEqual(asked, set(_list_engines(site, 'z1')))


async def test_sub_agents_begin_in_the_zone_of_their_program(case, site):
    """Their prompts share the program's context, which is cached there."""
    await _start(site)
    await site.turn('i3', 'a0', program='p1', route='plan')
    await asyncio.sleep(0.3)
    _occupy(site, 'z2', 7)
    await asyncio.sleep(KNOWN_SECONDS)
    for number in range(10):
        request = f's{number}'
        await site.turn(
            'i3',
            request,
            program='p1',
            route='plan',
            session_id=f'sub{number}',
        )
        [run] = site.list_runs(request)
        await asyncio.sleep(0.2)
        engines = [site.targets[name] for name in _list_engines(site, 'z2')]
        case.assertTrue(any(run in engine.executions for engine in engines))


async def test_turns_leave_a_zone_whose_engines_crashed(case, site):
    """Before the loads tell so, the own view of their health is enough."""
    await _start(site)
    for name in _list_engines(site, 'z1'):
        site.targets[name].stop()
    for number in range(20):
        response = await site.turn(
            'i1', f'r{number}', program=f'p{number}', route='plan'
        )
        case.assertEqual(200, response.status)
        await asyncio.sleep(0.1)


async def test_calls_stay_in_their_zone_while_it_is_short_of_engines(
    case, site
):
    """Only turns of programs are levelled over the zones."""
    await _start(site)
    _occupy(site, 'z1', 24)
    await asyncio.sleep(KNOWN_SECONDS)
    loads = site.instances['i1']._zone_loads
    for service in ('models', 'tools'):
        zones = {
            loads.choose_zone(service, 'r', None, False, 0.0)
            for _ in range(100)
        }
        case.assertEqual({'z1'}, zones)


async def test_calls_use_other_zones_if_their_own_has_no_target(case, site):
    """The tools are all in zone z1."""
    await _start(site)
    for number in (3, 5):
        response = await site.call(f'i{number}', 'look', method=b'GET')
        case.assertEqual(200, response.status)


load_tests = fixtures.adapt(__name__, [site_fixtures])
