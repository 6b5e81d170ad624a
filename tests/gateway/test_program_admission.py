"""Tests of the admission of programs on a site with too little capacity."""

import asyncio
from unittest import mock

import msgspec

from tests.gateway import site as site_module
from tests.gateway import site_fixtures
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.scheduling import zone_loads
from vanillayoke.testing import fixtures

SLOTS = 8
INSTANCES = ('i1', 'i2', 'i3')
# More than the share that is always admitted needs to admit one program.
PROGRAMS = 15


@fixtures.fixture
def controlled_site(site):
    """Return a function that starts a site with overload control."""
    make_settings = site_module.make_settings

    def make_controlled(*arguments):
        settings = make_settings(*arguments)
        return settings._replace(has_overload_control=True)

    async def start():
        with mock.patch.object(site_module, 'make_settings', make_controlled):
            await site.start(len(INSTANCES))
        for target in site.targets.values():
            target.service_time = 0.01
        return site

    return start


def set_load(site, requests, age=0.3):
    """Let all instances know of so many requests for ``SLOTS`` slots."""

    def get_loads(service, now):
        running = min(requests, SLOTS)
        load = zone_loads.ZoneLoad(
            SLOTS, running, requests - running, SLOTS, now - age
        )
        return {'z1': load} if age <= 2.0 else {}

    for instance in site.instances.values():
        instance._zone_loads.get_loads = get_loads


async def overload(site):
    """Report four requests per slot."""
    set_load(site, 4 * SLOTS)
    await asyncio.sleep(1.0)


async def send_programs(site, count=PROGRAMS, route='plan', name='new'):
    """Send first turns to all instances; return responses by program."""
    responses = {}
    for number in range(count):
        program = f'{name}{number}'
        instance = INSTANCES[number % len(INSTANCES)]
        responses[program] = await site.turn(
            instance, f'r-{program}', program=program, route=route
        )
    return responses


def list_refused(responses):
    return [
        program
        for program, response in responses.items()
        if response.status != 200
    ]


def list_refusals(site):
    return [
        fields
        for name in site.instances
        for fields in site.list_events(name, 'program_refused')
    ]


async def test_programs_without_capacity_are_refused_and_do_not_run(
    case, controlled_site
):
    site = await controlled_site()
    await overload(site)
    responses = await send_programs(site)
    refused = list_refused(responses)
    case.assertGreater(len(refused), PROGRAMS / 2)
    for program in refused:
        case.assertEqual(503, responses[program].status)
        case.assertEqual([], site.list_runs(f'r-{program}'))
        pause = float(responses[program].headers[b'retry-after'])
        # The timeout of the route is 3 s.
        case.assertTrue(0 < pause <= 1.0, pause)


async def test_refusal_is_logged_with_its_inputs(case, controlled_site):
    """An operator must be able to find the cause by the request id."""
    site = await controlled_site()
    await overload(site)
    refused = list_refused(await send_programs(site))
    entries = list_refusals(site)
    case.assertEqual(
        {f'r-{p}' for p in refused}, {e['request'] for e in entries}
    )
    entry = entries[0]
    case.assertEqual(('models', 'z1'), (entry['service'], entry['zone']))
    case.assertAlmostEqual(0.3, entry['age'], places=2)
    case.assertGreater(entry['utilisation'], 1.0)
    case.assertGreater(entry['expected'], 0.0)
    case.assertEqual(5.0, entry['limit'])
    page = site.instances['i1'].metrics.render().body.decode()
    case.assertIn('vanillayoke_programs_refused_total', page)


async def test_turns_under_way_are_never_refused(case, controlled_site):
    """Later turns reach other instances and look like first ones."""
    site = await controlled_site()
    responses = await send_programs(site, name='old')
    case.assertEqual([], list_refused(responses))
    await overload(site)
    for turn in range(1, 4):
        for number, program in enumerate(responses):
            response = await site.turn(
                INSTANCES[(number + turn) % len(INSTANCES)],
                f'r-{program}-{turn}',
                program=program,
                route='plan',
            )
            case.assertEqual(200, response.status)


async def test_turns_with_a_previous_turn_are_never_refused(
    case, controlled_site
):
    site = await controlled_site()
    responses = await send_programs(site, route='chat')
    await overload(site)
    for instance in site.instances.values():
        instance._reservations.is_begun = lambda program: False
        instance._program_admission._begun.clear()
    for program in responses:
        response = await site.turn(
            'i1',
            f'r-{program}-2',
            program=program,
            route='chat',
            previous=f'r-{program}',
        )
        case.assertEqual(200, response.status)


async def test_sub_agents_and_repeated_turns_are_admitted(
    case, controlled_site
):
    site = await controlled_site()
    await send_programs(site, 1, name='old')
    await overload(site)
    for instance in INSTANCES:
        response = await site.turn(
            instance, 'r-old0', program='old0', route='plan'
        )
        case.assertEqual(200, response.status)
        response = await site.call(
            instance,
            'plan',
            request=f'sub-{instance}',
            program_id='old0',
            session_id='other',
            token_budget='1000',
            token_usage='10,40',
        )
        case.assertEqual(200, response.status)


async def test_nothing_is_refused_when_loads_are_old(case, controlled_site):
    site = await controlled_site()
    await overload(site)
    set_load(site, 4 * SLOTS, age=2.5)
    await asyncio.sleep(0.5)
    case.assertEqual([], list_refused(await send_programs(site)))


async def test_nothing_is_refused_if_the_coordinator_is_silent(
    case, controlled_site, network
):
    """It alone knows whether the turn is the first of its program."""
    site = await controlled_site()
    program = site_fixtures.find_program_with_ranking(*INSTANCES)
    await overload(site)
    coordinator = site.instances['i1'].settings.ip
    network.block_path(coordinator, site.instances['i2'].settings.ip)
    response = await site.turn('i2', 'r1', program=program, route='plan')
    case.assertEqual(200, response.status)


async def test_new_coordinator_does_not_refuse_programs_under_way(
    case, controlled_site, network
):
    """The coordinator fails, and the next one does not know its programs."""
    site = await controlled_site()
    programs = [
        name
        for number in range(100)
        if site_fixtures.rank_coordinators(name := f'old{number}', INSTANCES)[
            0
        ]
        == 'i1'
    ]
    for program in programs:
        await site.turn('i3', f'r-{program}', program=program, route='plan')
    site_fixtures.kill(site, network, 'i1')
    await asyncio.sleep(3.0)
    await overload(site)
    site.instances['i3']._program_admission._begun.clear()
    for program in programs:
        response = await site.turn(
            'i3', f'r-{program}-2', program=program, route='plan'
        )
        case.assertEqual(200, response.status)


async def test_coordinator_that_was_cut_off_does_not_refuse_programs(
    case, controlled_site, network
):
    """While it was regarded as failed, programs began at another one."""
    site = await controlled_site()
    programs = [
        name
        for number in range(200)
        if site_fixtures.rank_coordinators(name := f'old{number}', INSTANCES)
        == ['i1', 'i2', 'i3']
    ]
    hosts = [site.instances[name].settings.ip for name in INSTANCES]
    for host in hosts[1:]:
        network.block_path(hosts[0], host)
    await asyncio.sleep(4.0)
    for program in programs:
        await site.turn('i2', f'r-{program}', program=program, route='plan')
    network.restore_paths()
    await asyncio.sleep(1.0)
    await overload(site)
    eligible = site.instances['i3']._members.list_eligible()
    case.assertEqual(len(INSTANCES), len(eligible))
    for program in programs:
        response = await site.turn(
            'i3', f'r-{program}-2', program=program, route='plan'
        )
        case.assertEqual(200, response.status)


async def test_program_that_began_without_its_coordinator_is_not_refused(
    case, controlled_site, network
):
    """Its first turn reserved at the next one in the order of preference."""
    site = await controlled_site()
    programs = [
        name
        for number in range(200)
        if site_fixtures.rank_coordinators(name := f'old{number}', INSTANCES)
        == ['i1', 'i2', 'i3']
    ]
    hosts = [site.instances[name].settings.ip for name in INSTANCES]
    network.block_path(hosts[0], hosts[1])
    for program in programs:
        await site.turn('i2', f'r-{program}', program=program, route='plan')
    network.restore_paths()
    await overload(site)
    for program in programs:
        response = await site.turn(
            'i3', f'r-{program}-2', program=program, route='plan'
        )
        case.assertEqual(200, response.status)


async def test_refused_program_is_admitted_when_it_returns(
    case, controlled_site
):
    """It returns to another instance, at the time that it was told."""
    site = await controlled_site()
    await overload(site)
    loop = asyncio.get_running_loop()
    reserved = {}
    for number in range(PROGRAMS):
        program = f'p{number}'
        response = await site.turn(
            'i1', f'r{number}', program=program, route='plan'
        )
        entries = site.list_events('i1', 'program_refused')
        if response.status == 503 and entries[-1]['reserved']:
            pause = float(response.headers[b'retry-after'])
            reserved[program] = loop.time() + pause
    case.assertTrue(reserved)
    for program, due in reserved.items():
        await asyncio.sleep(max(0.0, due - loop.time()) + 0.01)
        response = await site.turn(
            'i2', f'again-{program}', program=program, route='plan'
        )
        case.assertEqual(200, response.status)


async def _run_program(site, number, turns=3):
    """Run a program; return the turns that ended, and the seconds taken."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    for turn in range(turns):
        response = await site.turn(
            INSTANCES[(number + turn) % len(INSTANCES)],
            f'p{number}-{turn}',
            program=f'p{number}',
            route='plan',
        )
        if response.status != 200:
            return turn, 0.0
        await asyncio.sleep(0.1)
    return turns, loop.time() - started_at


async def _run_programs(site):
    """Run 26 programs of .9 s a second, twice what the targets can do."""
    for target in site.targets.values():
        target.service_time = 0.2
    tasks = []
    for number in range(150):
        tasks.append(asyncio.ensure_future(_run_program(site, number)))
        await asyncio.sleep(1 / 26)
    return await asyncio.gather(*tasks)


async def test_overload_refuses_programs_instead_of_their_later_turns(
    case, controlled_site
):
    """The loads are those that the instances report to each other.

    Without admission, programs end at any turn.
    """
    site = await controlled_site()
    results = await _run_programs(site)
    case.assertEqual({0, 3}, {turns for turns, _ in results})
    seconds = sorted(seconds for turns, seconds in results if turns == 3)
    case.assertGreater(len(seconds), 50)
    case.assertLess(seconds[len(seconds) // 2], 2.2)


async def test_without_the_feature_nothing_changes(case, site):
    """Deployments without overload control must be served as before."""
    await site.start(len(INSTANCES))
    sent = []
    for instance in site.instances.values():
        notify, ask = instance._peers.notify, instance._peers.send_request

        def record_notification(address, message, notify=notify):
            sent.append(message)
            notify(address, message)

        def record_request(address, message, *more, ask=ask):
            sent.append(message)
            return ask(address, message, *more)

        instance._peers.notify = record_notification
        instance._peers.send_request = record_request
    await overload(site)
    case.assertEqual([], list_refused(await send_programs(site)))
    case.assertEqual([], list_refusals(site))
    new_kinds = peer_messages.ProgramQuery | peer_messages.ProgramRefused
    case.assertTrue(sent)
    case.assertFalse(
        [message for message in sent if isinstance(message, new_kinds)]
    )


async def test_disabled_feature_refuses_nothing(case, controlled_site):
    """Experiments disable features one by one."""
    site = await controlled_site()
    disabled = frozenset((messages.Feature.PROGRAM_ADMISSION,))
    for instance in site.instances.values():
        instance.settings = instance.settings._replace(
            disabled_features=disabled
        )
    await overload(site)
    case.assertEqual([], list_refused(await send_programs(site)))


def test_size_of_messages(case):
    """The messages are sent for each first turn while programs are refused."""
    name = 'x' * 36
    for message in (
        peer_messages.ProgramQuery(name),
        peer_messages.ProgramStatus(False, 500, 300),
        peer_messages.ProgramRefused(name, 300),
    ):
        case.assertLess(len(msgspec.msgpack.encode(message)), 50)


load_tests = fixtures.adapt(__name__, [site_fixtures])
