"""Tests of limits that hold over all instances of a site."""

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
# In any window of five seconds: 5 x 4 + 20.
RATE = 4
BURST = 20
LIMIT = 40
# What may run beyond the limit where counts were lost.
TOLERANCE = 6
INSTANCES = ('i1', 'i2', 'i3', 'i4')


@fixtures.fixture
def shop(site):
    """Return a site with a limited organisation, once it is started."""

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


def rank_homes(organisation='red', names=INSTANCES):
    members = [rendezvous.Peer(name, '') for name in names]
    key = limits_module.KEY_PREFIX + organisation
    best = rendezvous.list_highest(key, members, len(members))
    return [one.instance for one in best]


async def send(site, instance, count, pause=0.0, key='red-1', program=None):
    """Send calls one behind another; return how often each status came.

    Each belongs to a program of its own, or all to one.
    """
    found = collections.Counter()
    for number in range(count):
        more = {'program_id': program or f'{instance}-{number}'}
        answer = await site_fixtures.call_or_error(
            site, instance, 'order', key=key, **more
        )
        found[getattr(answer, 'status', None)] += 1
        await asyncio.sleep(pause)
    return found


async def send_all(site, count, pause=0.0, instances=INSTANCES, program=None):
    """Send so many calls to each instance; return all statuses."""
    found = await asyncio.gather(
        *(send(site, one, count, pause, program=program) for one in instances)
    )
    return sum(found, collections.Counter())


def find_most(site, window=WINDOW):
    """Return the most runs in any window, from what the targets saw."""
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


async def test_organisation_far_under_its_limit_is_never_refused(case, shop):
    site = await shop()
    found = await send_all(site, 7, 0.7, program='one')
    case.assertEqual({200: 28}, dict(found))


async def test_limit_holds_over_all_instances(case, shop):
    """A hot organisation sends many times its limit through all instances."""
    site = await shop()
    found = await send_all(site, 100, 0.1)
    case.assertGreater(found[429], 200)
    case.assertLessEqual(find_most(site), LIMIT * 1.1)
    # Ten seconds hold two windows.
    case.assertGreater(found[200], 2 * LIMIT * 0.8)


async def test_small_limit_holds_over_many_instances(case, site):
    """Each instance sees too little of an organisation to know it."""
    names = [f'i{number}' for number in range(1, 13)]
    await site.start(len(names))
    configure(site, 2, rate=1, burst=5)
    await asyncio.sleep(0.2)
    found = await send_all(site, 2, 0.2, names)
    case.assertLessEqual(found[200], 10 + 1)


async def test_limit_of_one_does_not_bind_another(case, shop):
    site = await shop()
    await send_all(site, 30)
    found = await send(site, 'i1', 60, key='blue-1')
    case.assertEqual({200: 60}, dict(found))


async def test_refusal_says_when_there_is_room(case, shop):
    site = await shop()
    await send_all(site, 30)
    answer = await site.call('i1', 'order', key='red-1')
    case.assertEqual(429, answer.status)
    pause = float(answer.headers[b'retry-after'])
    case.assertTrue(0 < pause <= 1.0, pause)


async def test_program_that_has_begun_goes_first(case, shop):
    """New programs press in until the limit is used up."""
    site = await shop(rate=8, burst=40)
    begun = asyncio.ensure_future(
        send(site, 'i1', 20, 0.2, program='long-one')
    )
    await asyncio.sleep(0.5)
    others = await send_all(site, 60, 0.05, INSTANCES[1:])
    case.assertGreater(others[429], 0)
    case.assertEqual({200: 20}, dict(await begun))


async def test_begun_program_waits_for_room_and_goes_on(case, shop):
    """A program's own requests meet the limit in the middle of it."""
    site = await shop(rate=10, burst=0)
    found = await send(site, 'i1', 100, 0.08, program='long-one')
    case.assertEqual({200: 100}, dict(found))
    case.assertLessEqual(find_most(site), 50 + TOLERANCE)


async def test_next_home_does_not_give_the_same_again(case, shop, network):
    """The instance that counts the requests dies while the limit is used."""
    site = await shop()
    [home, *others] = rank_homes()
    sending = asyncio.ensure_future(send_all(site, 100, 0.1, others))
    await asyncio.sleep(2.5)
    site_fixtures.kill(site, network, home)
    found = await sending
    case.assertGreater(found[429], 0)
    case.assertLessEqual(find_most(site), LIMIT + TOLERANCE)


async def _kill_all(site, network):
    """End all instances at the same moment and start them again."""
    hosts = {name: front.settings.ip for name, front in site.instances.items()}
    for name in hosts:
        site_fixtures.kill(site, network, name)
    network.unreachable_hosts.clear()
    for name, host in hosts.items():
        await site.add_instance(name, host)
    await asyncio.sleep(1.0)


async def test_all_instances_killed_do_not_give_the_same_again(
    case, shop, network
):
    """All instances lose power at the same moment and start again."""
    site = await shop()
    await send_all(site, 20, 0.05, program='one')
    used = find_most(site)
    case.assertGreater(used, LIMIT * 0.8)
    await _kill_all(site, network)
    await send_all(site, 100, 0.05)
    case.assertLessEqual(find_most(site), LIMIT + TOLERANCE)


async def test_large_limit_holds_while_nobody_knows_how_it_stands(
    case, site, network
):
    """All instances are back, and each would admit some before it asks."""
    names = [f'i{number}' for number in range(1, 13)]
    await site.start(len(names))
    configure(site, 2, rate=50, burst=50)
    await asyncio.sleep(0.2)
    await send_all(site, 40, 0.02, names, program='one')
    case.assertGreater(find_most(site), 300)
    await _kill_all(site, network)
    await send_all(site, 10, 0.0, names, program='one')
    case.assertLessEqual(find_most(site), 300 * 1.1 + 2)


async def test_limit_holds_while_the_store_is_away(case, shop):
    site = await shop()
    site.store.mode = store_module.Mode.UNRESPONSIVE
    await asyncio.sleep(3.0)
    found = await send_all(site, 100, 0.1)
    case.assertLessEqual(find_most(site), LIMIT * 1.1)
    case.assertGreater(found[200], 2 * LIMIT * 0.8)


async def test_cut_off_instance_stays_within_its_share(case, shop, network):
    """A hot organisation sends through an instance that asks nobody."""
    site = await shop()
    alone = rank_homes()[-1]
    for name in INSTANCES:
        if name != alone:
            network.block_path(
                site.instances[alone].settings.ip,
                site.instances[name].settings.ip,
            )
    await send_all(site, 100, 0.1)
    case.assertLessEqual(find_most(site), LIMIT * 1.25)


async def test_instances_that_are_all_cut_off_admit_a_share(
    case, site, network
):
    """Each reaches no other, and would admit a request of a small limit."""
    names = [f'i{number}' for number in range(1, 13)]
    await site.start(len(names))
    configure(site, 2, rate=1, burst=5)
    await asyncio.sleep(0.2)
    hosts = [site.instances[name].settings.ip for name in names]
    for one in hosts:
        for other in hosts:
            if one < other:
                network.block_path(one, other)
    found = await send_all(site, 2, 0.2, names)
    case.assertLessEqual(found[200], 10)


def _ask(front, count=1):
    """Ask a front, as another instance does; return what it answers."""
    limit = quotas.Limit(10.0, 0.0, 3.0, WINDOW)
    question = peer_messages.UsageReport(
        'red', 'x', limit, 2, pending=('p', '')
    )
    return [
        front._limit_accounts.handle_request(question) for _ in range(count)
    ]


async def _await_all(answers):
    return [await one if asyncio.iscoroutine(one) else one for one in answers]


async def test_home_that_stops_sends_others_to_the_next(case, shop):
    """Two that admit side by side admit too much."""
    site = await shop()
    home = site.instances[rank_homes()[0]]
    stop = asyncio.ensure_future(home.stop())
    await asyncio.sleep(0.1)
    case.assertEqual([peer_messages.Unavailable(False)], _ask(home))
    await stop


async def test_home_that_knows_nothing_waits_to_be_told(case, shop):
    """A new home can't read the row, and nobody has told it yet."""
    site = await shop()
    site.store.mode = store_module.Mode.UNAVAILABLE
    home = site.instances[rank_homes()[0]]
    answers = await _await_all(_ask(home, 8))
    admitted = sum(one.refusal_reason is None for one in answers)
    case.assertLessEqual(admitted, 3)
    await asyncio.sleep(limit_accounts.SETTLING_SECONDS + 0.1)
    [answer] = await _await_all(_ask(home))
    case.assertIsNone(answer.refusal_reason)


async def test_account_that_was_not_written_is_written_again(case, shop):
    """The store fails the first write of an account."""
    site = await shop()
    home = site.instances[rank_homes()[0]]
    await _await_all(_ask(home))
    site.store.mode = store_module.Mode.UNAVAILABLE
    await _await_all(_ask(home))
    await asyncio.sleep(0.5)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(1.0)
    await _await_all(_ask(home))
    await asyncio.sleep(0.5)
    case.assertTrue(site.store.list_table('limits'))


async def test_limit_stays_whole_while_all_instances_stop(case, shop):
    """All are told to stop, and serve what comes on open connections."""
    site = await shop()
    stops = [asyncio.ensure_future(f.stop()) for f in site.instances.values()]
    await asyncio.sleep(0.5)
    found = await send(site, 'i1', LIMIT, 0.05, program='one')
    case.assertEqual({200: LIMIT}, dict(found))
    await asyncio.gather(*stops)


async def test_lower_limit_binds_at_once(case, shop):
    site = await shop(rate=100, burst=100)
    await send_all(site, 20, 0.05)
    configure(site, 3)
    await asyncio.sleep(WINDOW)
    for target in site.targets.values():
        target.executions.clear()
    await send_all(site, 50, 0.1)
    case.assertLessEqual(find_most(site), LIMIT * 1.1)


async def test_requests_that_did_not_run_are_given_back(case, shop):
    """Turns are refused for their budget and use nothing of the limit."""
    site = await shop()
    spent = {'budget': 10, 'max_tokens': 40, 'route': 'plan', 'key': 'red-1'}
    for number in range(60):
        answer = await site.turn('i1', f't{number}', **spent)
        case.assertEqual(402, answer.status)
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    found = await send(site, 'i2', 30, program='other')
    case.assertEqual({200: 30}, dict(found))


async def test_refusals_are_counted_by_organisation(case, shop):
    site = await shop()
    await send_all(site, 30)
    pages = [
        front.metrics.render().body.decode()
        for front in site.instances.values()
    ]
    [counted] = [
        line
        for line in pages[0].splitlines()
        if 'over_limit' in line and 'organisation=' in line
    ]
    case.assertIn('red', counted)


load_tests = fixtures.adapt(__name__, [site_fixtures])
