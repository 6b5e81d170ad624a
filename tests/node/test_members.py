"""Tests of membership at work: 24 members over a network with faults."""

from vanillayoke.bench import membership_cluster
from vanillayoke.cluster import messages
from vanillayoke.fakes import platform_memory
from vanillayoke.settings import process
from vanillayoke.testing import fixtures

State = messages.State
COUNT = 24
JOIN_BOUND = 10.0
SUSPECT_BOUND = 6.0
FAIL_BOUND = 12.0
HEAL_BOUND = 30.0
NEWS_BOUND = 5.0


async def _start(count: int = COUNT, seed: int = 11):
    cluster = membership_cluster.Cluster(seed)
    await cluster.start(count)
    joined = await cluster.wait_until(cluster.sees_all_alive, JOIN_BOUND)
    if joined is None:
        raise AssertionError('the members did not find each other')
    return cluster


def _all_hold(cluster, name: str, *states: State | None) -> bool:
    return set(cluster.list_views(name)) <= set(states)


async def test_members_started_together_find_each_other(case):
    cluster = await _start()
    await cluster.stop()


async def test_failed_member_is_noticed_by_all_within_the_bound(case):
    """Callers would be named an instance that is gone.

    A process dies without a word. The others find out by probing, suspect
    it within seconds and hold it for failed some seconds later.
    """
    cluster = await _start()
    victim = cluster.nodes[5]
    await cluster.fail(victim)
    suspected = await cluster.wait_until(
        lambda: _all_hold(cluster, victim.name, State.SUSPECTED, State.FAILED),
        SUSPECT_BOUND,
    )
    failed = await cluster.wait_until(
        lambda: _all_hold(cluster, victim.name, State.FAILED), FAIL_BOUND
    )
    case.assertIsNotNone(suspected)
    case.assertIsNotNone(failed)
    case.assertTrue(cluster.sees_all_alive())
    await cluster.stop()


async def test_leaving_and_stopping_are_known_without_suspicion(case):
    cluster = await _start()
    leaver = cluster.nodes[3]
    leaver.members.leave()
    leaving = await cluster.wait_until(
        lambda: _all_hold(cluster, leaver.name, State.LEAVING), NEWS_BOUND
    )
    cluster.nodes.remove(leaver)
    await leaver.members.stop()
    left = await cluster.wait_until(
        lambda: _all_hold(cluster, leaver.name, State.LEFT), NEWS_BOUND
    )
    case.assertIsNotNone(leaving)
    case.assertIsNotNone(left)
    await cluster.stop()


async def test_restart_under_the_same_name_is_known_again(case):
    """A replaced instance would get no work though it runs.

    An instance stops and starts again under its name; the others hold the
    record that it left, under a higher incarnation than it starts with.
    """
    cluster = await _start(6)
    leaver = cluster.nodes.pop()
    await leaver.members.stop()
    await cluster.wait_until(
        lambda: _all_hold(cluster, leaver.name, State.LEFT), NEWS_BOUND
    )
    cluster.platform.instances.remove(leaver.name)
    me = leaver.members.members()[0]
    again = cluster.add(
        process.InstanceSettings(
            name=me.instance,
            zone=me.zone,
            region=me.region,
            entry_address=me.entry_address,
            peer_address=me.peer_address,
        )
    )
    cluster.nodes.append(again)
    await again.members.start()
    back = await cluster.wait_until(cluster.sees_all_alive, JOIN_BOUND)
    case.assertIsNotNone(back)
    await cluster.stop()


async def test_one_cut_link_makes_nobody_suspected(case):
    """Two healthy instances would drop each other from routing.

    Only the link between them is cut. Others reach both, so the indirect
    probes get through.
    """
    cluster = await _start()
    one, other = cluster.nodes[0], cluster.nodes[1]
    cluster.network.cut(one.address, other.address)
    for _ in range(600):
        await cluster.timers.sleep(0.1)
        case.assertTrue(cluster.sees_all_alive())
    await cluster.stop()


async def test_silent_connection_is_replaced(case):
    """Two instances would see each other fail though both are well.

    Their open connections lose everything from now on, in both directions,
    while new connections work. There are no others to probe through.
    """
    cluster = await _start(2)
    one, other = cluster.nodes
    cluster.network.silence(one.address, other.address)
    cluster.network.silence(other.address, one.address)
    failed = await cluster.wait_until(
        lambda: State.FAILED in cluster.list_views(one.name), FAIL_BOUND
    )
    case.assertIsNone(failed)
    case.assertTrue(cluster.sees_all_alive())
    await cluster.stop()


async def test_lossy_links_fail_nobody(case):
    """Members would flap between failed and alive on a bad network.

    A tenth of all messages is lost for five minutes. Suspicions come up
    and must all be refuted before they become failures.
    """
    cluster = await _start()
    cluster.network.loss = 0.1
    names = [node.name for node in cluster.nodes]
    for _ in range(300):
        await cluster.timers.sleep(1.0)
        for name in names:
            case.assertNotIn(State.FAILED, cluster.list_views(name))
    cluster.network.loss = 0.0
    settled = await cluster.wait_until(cluster.sees_all_alive, JOIN_BOUND)
    case.assertIsNotNone(settled)
    await cluster.stop()


async def test_paused_member_comes_back_and_suspects_nobody(case):
    """A paused instance would come back and call all others failed.

    Its process stands still for 20 s, so the others hold it for failed. On
    waking its timers fire first, then it reads what waited in its sockets.
    """
    cluster = await _start()
    paused, *others = cluster.nodes
    paused.pause()
    await cluster.timers.sleep(20.0)
    case.assertEqual({State.FAILED}, set(cluster.list_views(paused.name)))
    paused.resume()
    for _ in range(10):
        await cluster.timers.sleep(0.1)
        for node in others:
            case.assertEqual({State.ALIVE}, set(cluster.list_views(node.name)))
    back = await cluster.wait_until(cluster.sees_all_alive, HEAL_BOUND)
    case.assertIsNotNone(back)
    await cluster.stop()


async def test_member_that_hears_nothing_gets_nobody_failed(case):
    """One bad instance would keep all others flapping for ever.

    It sends but receives nothing, so nobody answers it, as far as it can
    see; it suspects everybody and tells so with each of its probes.
    """
    cluster = await _start()
    deaf, *others = cluster.nodes
    deaf.transport.paused = True
    for _ in range(20):
        await cluster.timers.sleep(1.0)
        for node in others:
            case.assertNotIn(
                State.FAILED, cluster.list_views(node.name, others)
            )
    for _ in range(20):
        await cluster.timers.sleep(1.0)
        for node in others:
            case.assertEqual(
                {State.ALIVE}, set(cluster.list_views(node.name, others))
            )
    await cluster.stop()


async def test_parted_regions_keep_their_own_and_join_again(case):
    """A region would stop serving because the other one is away.

    Two regions lose their links for a minute. Each goes on with its own
    members and routes nothing to the other's; then the links are back.
    """
    cluster = membership_cluster.Cluster(5)
    west = await cluster.start(12)
    north = await cluster.start(12, 'hokkaido')
    await cluster.wait_until(cluster.sees_all_alive, JOIN_BOUND)
    cluster.network.cut(membership_cluster.REGION, 'hokkaido')
    parted = await cluster.wait_until(
        lambda: all(
            set(cluster.list_views(node.name, north)) == {State.FAILED}
            for node in west
        ),
        60.0,
    )
    case.assertIsNotNone(parted)
    await cluster.timers.sleep(60.0)
    for node in west:
        case.assertEqual(
            {State.ALIVE}, set(cluster.list_views(node.name, west))
        )
    cluster.network.heal()
    healed = await cluster.wait_until(cluster.sees_all_alive, HEAL_BOUND)
    case.assertIsNotNone(healed)
    await cluster.stop()


async def test_news_reaches_all_and_is_heard_once(case):
    cluster = await _start()
    heard = []
    for node in cluster.nodes:
        node.members.subscribe_news(heard.append)
    news = messages.TargetUpdate('engine-a', messages.TargetState.LEAVING, 9)
    cluster.nodes[0].members.publish_news(news)
    reached = await cluster.wait_until(lambda: len(heard) == COUNT, NEWS_BOUND)
    case.assertIsNotNone(reached)
    await cluster.timers.sleep(10)
    case.assertEqual([news] * COUNT, heard)
    await cluster.stop()


async def test_platform_outage_changes_nothing(case):
    """All instances would lose each other when the platform is away.

    The list of instances cannot be read for minutes; it only seeds
    membership and never takes a member out.
    """
    cluster = await _start(6)
    cluster.platform.set_faults(platform_memory.PlatformFaults(down=True))
    await cluster.timers.sleep(300)
    case.assertTrue(cluster.sees_all_alive())
    await cluster.stop()


async def test_list_without_a_live_member_does_not_take_it_out(case):
    cluster = await _start(4)
    cluster.platform.instances.remove(cluster.nodes[0].name)
    await cluster.timers.sleep(120)
    case.assertTrue(cluster.sees_all_alive())
    await cluster.stop()


async def test_changes_are_logged_and_subscribers_called(case):
    cluster = await _start(4)
    seen = []
    watcher = cluster.nodes[0].members
    watcher.subscribe(seen.append)
    victim = cluster.nodes[-1]
    await cluster.fail(victim)
    await cluster.wait_until(
        lambda: _all_hold(cluster, victim.name, State.FAILED), FAIL_BOUND
    )
    states = [
        member.state
        for members in seen
        for member in members
        if member.instance == victim.name
    ]
    case.assertEqual([State.SUSPECTED, State.FAILED], states)
    await cluster.stop()


load_tests = fixtures.adapt(__name__)
