"""Tests of the membership state machine, one instance at a time."""

import random

from vanillayoke.cluster import membership
from vanillayoke.cluster import membership_events
from vanillayoke.cluster import membership_packets
from vanillayoke.cluster import membership_table
from vanillayoke.cluster import messages
from vanillayoke.settings import process
from vanillayoke.testing import fixtures

NOW = 100.0
PROBE = process.ProbeSettings()
State = messages.State


def _make_member(name: str, incarnation: int = 1, state=State.ALIVE):
    address = f'{name}:7000'
    return messages.Member(
        name, incarnation, 'z', 'r', f'{name}:8080', address, state
    )


def _news(*members: messages.Member) -> list:
    return [
        messages.encode_update(messages.MemberUpdate(member))
        for member in members
    ]


def _notice(*members: messages.Member) -> membership_events.Received:
    return membership_events.Received(messages.Notice('x', _news(*members)))


class Driver:
    """Runs one instance's membership and keeps what it did."""

    def __init__(self) -> None:
        self.machine = membership.Membership(
            _make_member('me'), PROBE, random.Random(3), NOW
        )
        self.now = NOW
        self.done: list = []

    def tell(self, event: membership_events.Event) -> list:
        actions = self.machine.decide(event, self.now)
        self.done += actions
        return actions

    def run(self, seconds: float) -> list:
        """Tick for a while; return all that was done in it."""
        start = len(self.done)
        end = self.now + seconds
        while self.machine.next_wake() <= end:
            self.now = max(self.now, self.machine.next_wake())
            self.tell(membership_events.Ticked())
        self.now = end
        return self.done[start:]

    def find_state(self, name: str) -> State | None:
        for member in self.machine.list_members():
            if member.instance == name:
                return member.state
        return None


@fixtures.fixture
def driver():
    return Driver()


def _list_sent(actions: list, kind: type) -> list[membership_events.Send]:
    return [
        action
        for action in actions
        if isinstance(action, membership_events.Send)
        and isinstance(action.message, kind)
    ]


def _read_member_news(message: messages.Message) -> list[messages.Member]:
    return [
        news.member
        for news in messages.decode_updates(message.updates)
        if isinstance(news, messages.MemberUpdate)
    ]


def test_order_of_news_is_total(case):
    records = [
        _make_member('a', incarnation, state)
        for incarnation in (1, 2)
        for state in State
    ]
    for one in records:
        for other in records:
            if one != other:
                case.assertNotEqual(
                    membership_table.is_newer(one, other),
                    membership_table.is_newer(other, one),
                )


def test_unanswered_probe_is_repeated_and_asked_of_others(case, driver):
    driver.tell(_notice(*(_make_member(name) for name in 'abc')))
    actions = driver.run(PROBE.interval + PROBE.timeout)
    pings = _list_sent(actions, messages.Ping)
    case.assertEqual([0, 1], [ping.message.attempt for ping in pings[:2]])
    reconnect = membership_events.Reconnect(pings[0].address)
    case.assertIn(reconnect, actions)
    requests = _list_sent(actions, messages.PingRequest)
    case.assertEqual(PROBE.indirect, len(requests))
    case.assertNotIn(
        pings[0].address, [request.address for request in requests]
    )


def test_member_that_does_not_answer_is_suspected_then_failed(case, driver):
    driver.tell(_notice(_make_member('a')))
    driver.run(3 * PROBE.interval)
    case.assertEqual(State.SUSPECTED, driver.find_state('a'))
    driver.run(PROBE.suspicion)
    case.assertEqual(State.FAILED, driver.find_state('a'))


def test_own_suspicion_is_refuted_by_a_higher_incarnation(case, driver):
    suspected = _make_member('me', 4, State.SUSPECTED)
    ping = messages.Ping(9, 'a', 'a:7000', 0, False, 0, 0, _news(suspected))
    actions = driver.tell(membership_events.Received(ping))
    case.assertIn(membership_events.Refuted(5), actions)
    [ack] = _list_sent(actions, messages.Ack)
    told = _read_member_news(ack.message)
    case.assertEqual(_make_member('me', 5), told[0])


def test_refuted_suspicion_does_not_end_in_failure(case, driver):
    driver.tell(_notice(_make_member('a', 1, State.SUSPECTED)))
    driver.tell(_notice(_make_member('a', 2)))
    driver.run(PROBE.interval)
    case.assertNotEqual(State.FAILED, driver.find_state('a'))


def test_suspected_member_is_told_so(case, driver):
    suspected = _make_member('a', 1, State.SUSPECTED)
    driver.tell(_notice(suspected))
    [ping, *_] = _list_sent(driver.run(2 * PROBE.interval), messages.Ping)
    case.assertEqual(suspected, _read_member_news(ping.message)[0])


def test_hearsay_of_a_failure_gives_time_to_refute(case, driver):
    """Callers would be sent away from a whole region for a moment.

    Two regions that were parted meet again; the other side still sends
    round that members of this side failed, which talk to us all the time.
    """
    driver.tell(_notice(_make_member('a')))
    driver.tell(_notice(_make_member('a', 1, State.FAILED)))
    case.assertEqual(State.SUSPECTED, driver.find_state('a'))


def test_restart_overrides_the_record_of_having_left(case, driver):
    """A restarted instance would get no work until its record expires.

    It left under a higher incarnation than it starts with, since its wall
    clock went back meanwhile; the others keep the record of its leaving.
    """
    driver.tell(_notice(_make_member('a', 9, State.LEFT), _make_member('b')))
    driver.run(60)
    ping = messages.Ping(1, 'a', 'a:7000', 0, False, 0, 0, [])
    [ack] = _list_sent(
        driver.tell(membership_events.Received(ping)), messages.Ack
    )
    case.assertIn(
        _make_member('a', 9, State.LEFT), _read_member_news(ack.message)
    )


def test_unknown_sender_is_asked_who_it_is(case, driver):
    ping = messages.Ping(1, 'b', 'b:7000', 0, False, 0, 0, [])
    actions = driver.tell(membership_events.Received(ping))
    [question] = _list_sent(actions, messages.Ping)
    case.assertTrue(question.message.introduce)
    case.assertEqual('b:7000', question.address)


def test_second_attempt_renews_the_connection_of_the_answer(case, driver):
    """A live member would be taken for failed, again and again.

    The connection that its acks go over fell silent; the pings arrive, and
    nothing tells the member that its answers do not.
    """
    ping = messages.Ping(1, 'a', 'a:7000', 1, False, 0, 0, [])
    actions = driver.tell(membership_events.Received(ping))
    case.assertEqual(membership_events.Reconnect('a:7000'), actions[0])


def test_relayed_ping_is_answered_to_the_asker(case, driver):
    request = messages.PingRequest(77, 'a', 'a:7000', 'b', 'b:7000', [])
    [ping] = driver.tell(membership_events.Received(request))
    case.assertEqual('b:7000', ping.address)
    ack = messages.Ack(ping.message.sequence, 'b', [])
    [answer] = driver.tell(membership_events.Received(ack))
    case.assertEqual('a:7000', answer.address)
    case.assertEqual(77, answer.message.sequence)


def test_late_tick_suspects_nobody(case, driver):
    """After a pause an instance would steer away from healthy members.

    Its process stood still for 30 s. On waking, the timer fires before the
    answers that wait in the sockets are read.
    """
    driver.tell(_notice(_make_member('a')))
    [ping, *_] = _list_sent(driver.run(PROBE.interval), messages.Ping)
    driver.tell(_notice(_make_member('b', 1, State.SUSPECTED)))
    driver.now += 30
    driver.tell(membership_events.Ticked())
    case.assertEqual(State.ALIVE, driver.find_state('a'))
    case.assertEqual(State.SUSPECTED, driver.find_state('b'))
    ack = messages.Ack(ping.message.sequence, 'a', [])
    driver.tell(membership_events.Received(ack))
    driver.run(PROBE.timeout)
    case.assertEqual(State.ALIVE, driver.find_state('a'))


def test_listed_instance_is_no_news_until_it_is_heard(case, driver):
    listed = membership_events.Listed((_make_member('a', 0),))
    driver.tell(listed)
    case.assertEqual(State.SUSPECTED, driver.find_state('a'))
    [ping, *_] = _list_sent(driver.run(PROBE.interval), messages.Ping)
    case.assertTrue(ping.message.introduce)
    told = _read_member_news(ping.message)
    case.assertEqual({'me'}, {member.instance for member in told})
    driver.tell(_notice(_make_member('a')))
    case.assertEqual(State.ALIVE, driver.find_state('a'))
    driver.tell(listed)
    case.assertEqual(State.ALIVE, driver.find_state('a'))


def test_listed_instance_that_is_gone_is_failed_at_once(case, driver):
    driver.tell(membership_events.Listed((_make_member('a', 0),)))
    driver.run(3 * PROBE.interval)
    case.assertEqual(State.FAILED, driver.find_state('a'))


def test_failed_member_is_probed_on_and_forgotten_when_unlisted(case, driver):
    failed = _make_member('a', 1, State.FAILED)
    driver.tell(_notice(failed))
    sent = _list_sent(driver.run(60), messages.Ping)
    case.assertTrue(sent)
    case.assertIn(failed, _read_member_news(sent[-1].message))
    driver.run(membership_table.FAILED_RETENTION_SECONDS + 60)
    case.assertIsNone(driver.find_state('a'))


def test_leaving_and_departing_are_told(case, driver):
    driver.tell(_notice(_make_member('a')))
    driver.tell(membership_events.Leaving())
    case.assertEqual(State.LEAVING, driver.machine.me.state)
    actions = driver.tell(membership_events.Departed())
    [notice] = _list_sent(actions, messages.Notice)
    case.assertIn(driver.machine.me, _read_member_news(notice.message))
    case.assertEqual(State.LEFT, driver.machine.me.state)


def test_packets_stay_within_their_bound(case, driver):
    driver.tell(_notice(*(_make_member(f'member-{i:04}') for i in range(500))))
    for ping in _list_sent(driver.run(30), messages.Ping):
        size = len(
            messages.encode_packet(messages.Packet(1 << 56, ping.message))
        )
        case.assertLessEqual(size, membership_packets.UPDATE_BUDGET_BYTES + 60)


def test_news_is_repeated_a_bounded_number_of_times(case, driver):
    driver.tell(_notice(*(_make_member(name) for name in 'abc')))
    news = messages.TargetUpdate('engine-a', messages.TargetState.FAILED, 5)
    driver.tell(membership_events.Published(news))
    sent = [
        messages.decode_updates(ping.message.updates)
        for ping in _list_sent(driver.run(60), messages.Ping)
    ]
    case.assertEqual(6, sum(news in told for told in sent))


def test_many_observers_of_one_failure_make_one_piece_of_news(case, driver):
    """Other news would be crowded out just when much goes wrong.

    Every instance that uses a target sees it fail at about the same time
    and says so; each word of it differs in its time.
    """

    def observe(state, observed: int) -> int:
        news = messages.TargetUpdate('engine-a', state, observed)
        return len(driver.tell(membership_events.Published(news)))

    failed = messages.TargetState.FAILED
    case.assertEqual([1, 0, 0], [observe(failed, time) for time in (5, 6, 9)])
    recovered = messages.TargetState.RECOVERED
    case.assertEqual([0, 1], [observe(recovered, time) for time in (4, 10)])


def test_configuration_never_goes_back(case, driver):
    for version in (3, 2, 3):
        driver.tell(
            membership_events.Published(messages.ConfigurationUpdate(version))
        )
    case.assertEqual(3, driver.machine.configuration_version)
    heard = [
        action
        for action in driver.done
        if isinstance(action, membership_events.UpdateLearned)
    ]
    case.assertEqual(1, len(heard))


def test_unknown_news_does_not_lose_the_packet(case):
    """Live members would look failed during a rolling upgrade.

    A newer version sends a kind of news that this one does not know, in
    the same packet as its acks.
    """
    known = messages.encode_update(messages.ConfigurationUpdate(4))
    unknown = messages.encode_update(['q', 1, 2])
    packet = messages.Packet(1, messages.Ack(1, 'a', [unknown, known]))
    data = messages.encode_packet(packet)
    received = messages.decode_packet(data)
    case.assertEqual(1, received.message.sequence)
    case.assertEqual(
        [messages.ConfigurationUpdate(4)],
        messages.decode_updates(received.message.updates),
    )
    case.assertIsNone(messages.decode_packet(b'\xc1garbage'))


load_tests = fixtures.adapt(__name__)
