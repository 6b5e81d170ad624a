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


def _encode_members(*members: messages.Member) -> list:
    return [
        messages.encode_update(messages.MemberUpdate(member))
        for member in members
    ]


def _notice(*members: messages.Member) -> membership_events.Received:
    return membership_events.Received(
        messages.Notice('x', _encode_members(*members))
    )


class Driver:
    """Runs the membership of one instance and records its actions."""

    def __init__(self) -> None:
        self.machine = membership.Membership(
            _make_member('me'), PROBE, random.Random(3), NOW
        )
        self.now = NOW
        self.actions: list = []

    def handle(self, event: membership_events.Event) -> list:
        actions = self.machine.decide(event, self.now)
        self.actions += actions
        return actions

    def run(self, seconds: float) -> list:
        """Advance the time; return the actions of this period."""
        start = len(self.actions)
        end = self.now + seconds
        while self.machine.next_wake() <= end:
            self.now = max(self.now, self.machine.next_wake())
            self.handle(membership_events.Ticked())
        self.now = end
        return self.actions[start:]

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


def _read_members(message: messages.Message) -> list[messages.Member]:
    return [
        update.member
        for update in messages.decode_updates(message.updates)
        if isinstance(update, messages.MemberUpdate)
    ]


def test_order_of_updates_is_total(case):
    records = [
        _make_member('a', incarnation, state)
        for incarnation in (1, 2)
        for state in State
    ]
    for record in records:
        for other in records:
            if record != other:
                case.assertNotEqual(
                    membership_table.is_newer(record, other),
                    membership_table.is_newer(other, record),
                )


def test_unacknowledged_probe_is_repeated_directly_and_indirectly(
    case, driver
):
    driver.handle(_notice(*(_make_member(name) for name in 'abc')))
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


def test_unresponsive_member_is_suspected_then_failed(case, driver):
    driver.handle(_notice(_make_member('a')))
    driver.run(3 * PROBE.interval)
    case.assertEqual(State.SUSPECTED, driver.find_state('a'))
    driver.run(PROBE.suspicion)
    case.assertEqual(State.FAILED, driver.find_state('a'))


def test_own_suspicion_is_refuted_by_a_higher_incarnation(case, driver):
    suspected = _make_member('me', 4, State.SUSPECTED)
    ping = messages.Ping(
        9, 'a', 'a:7000', 0, False, 0, 0, _encode_members(suspected)
    )
    actions = driver.handle(membership_events.Received(ping))
    case.assertIn(membership_events.Refuted(5), actions)
    [ack] = _list_sent(actions, messages.Ack)
    records = _read_members(ack.message)
    case.assertEqual(_make_member('me', 5), records[0])


def test_refuted_suspicion_does_not_end_in_failure(case, driver):
    driver.handle(_notice(_make_member('a', 1, State.SUSPECTED)))
    driver.handle(_notice(_make_member('a', 2)))
    driver.run(PROBE.interval)
    case.assertNotEqual(State.FAILED, driver.find_state('a'))


def test_suspected_member_is_sent_its_state(case, driver):
    suspected = _make_member('a', 1, State.SUSPECTED)
    driver.handle(_notice(suspected))
    [ping, *_] = _list_sent(driver.run(2 * PROBE.interval), messages.Ping)
    case.assertEqual(suspected, _read_members(ping.message)[0])


def test_reported_failure_gives_time_to_refute(case, driver):
    """Callers would be sent away from a whole healthy region.

    After a network partition has healed, the other side still reports the
    members of this side as failed.
    """
    driver.handle(_notice(_make_member('a')))
    driver.handle(_notice(_make_member('a', 1, State.FAILED)))
    case.assertEqual(State.SUSPECTED, driver.find_state('a'))


def test_restart_overrides_the_record_of_having_left(case, driver):
    """A restarted instance would get no work until its record expires.

    Its wall clock went back, so that it starts with a lower incarnation than
    it left with.
    """
    driver.handle(_notice(_make_member('a', 9, State.LEFT), _make_member('b')))
    driver.run(60)
    ping = messages.Ping(1, 'a', 'a:7000', 0, False, 0, 0, [])
    [ack] = _list_sent(
        driver.handle(membership_events.Received(ping)), messages.Ack
    )
    case.assertIn(_make_member('a', 9, State.LEFT), _read_members(ack.message))


def test_unknown_sender_is_asked_for_its_record(case, driver):
    ping = messages.Ping(1, 'b', 'b:7000', 0, False, 0, 0, [])
    actions = driver.handle(membership_events.Received(ping))
    [request] = _list_sent(actions, messages.Ping)
    case.assertTrue(request.message.introduce)
    case.assertEqual('b:7000', request.address)


def test_second_attempt_renews_the_connection_of_the_ack(case, driver):
    """A live member would repeatedly be marked as failed.

    It receives the pings, but the connection of its acks is unresponsive.
    """
    ping = messages.Ping(1, 'a', 'a:7000', 1, False, 0, 0, [])
    actions = driver.handle(membership_events.Received(ping))
    case.assertEqual(membership_events.Reconnect('a:7000'), actions[0])


def test_ack_of_a_relayed_ping_is_forwarded(case, driver):
    request = messages.PingRequest(77, 'a', 'a:7000', 'b', 'b:7000', [])
    [ping] = driver.handle(membership_events.Received(request))
    case.assertEqual('b:7000', ping.address)
    ack = messages.Ack(ping.message.sequence, 'b', [])
    [forwarded] = driver.handle(membership_events.Received(ack))
    case.assertEqual('a:7000', forwarded.address)
    case.assertEqual(77, forwarded.message.sequence)


def test_delayed_tick_suspects_no_member(case, driver):
    """After a pause of its process an instance would suspect healthy members.

    The timer fires before the acks that wait in the sockets are read.
    """
    driver.handle(_notice(_make_member('a')))
    [ping, *_] = _list_sent(driver.run(PROBE.interval), messages.Ping)
    driver.handle(_notice(_make_member('b', 1, State.SUSPECTED)))
    driver.now += 30
    driver.handle(membership_events.Ticked())
    case.assertEqual(State.ALIVE, driver.find_state('a'))
    case.assertEqual(State.SUSPECTED, driver.find_state('b'))
    ack = messages.Ack(ping.message.sequence, 'a', [])
    driver.handle(membership_events.Received(ack))
    driver.run(PROBE.timeout)
    case.assertEqual(State.ALIVE, driver.find_state('a'))


def test_listed_instance_is_not_gossiped_until_confirmed(case, driver):
    listed = membership_events.Listed((_make_member('a', 0),))
    driver.handle(listed)
    case.assertEqual(State.SUSPECTED, driver.find_state('a'))
    [ping, *_] = _list_sent(driver.run(PROBE.interval), messages.Ping)
    case.assertTrue(ping.message.introduce)
    records = _read_members(ping.message)
    case.assertEqual({'me'}, {record.instance for record in records})
    driver.handle(_notice(_make_member('a')))
    case.assertEqual(State.ALIVE, driver.find_state('a'))
    driver.handle(listed)
    case.assertEqual(State.ALIVE, driver.find_state('a'))


def test_unresponsive_listed_instance_fails_without_suspicion(case, driver):
    driver.handle(membership_events.Listed((_make_member('a', 0),)))
    driver.run(3 * PROBE.interval)
    case.assertEqual(State.FAILED, driver.find_state('a'))


def test_failed_member_is_probed_and_dropped_when_unlisted(case, driver):
    failed = _make_member('a', 1, State.FAILED)
    driver.handle(_notice(failed))
    sent = _list_sent(driver.run(60), messages.Ping)
    case.assertTrue(sent)
    case.assertIn(failed, _read_members(sent[-1].message))
    driver.run(membership_table.FAILED_RETENTION_SECONDS + 60)
    case.assertIsNone(driver.find_state('a'))


def test_leaving_and_departing_are_announced(case, driver):
    driver.handle(_notice(_make_member('a')))
    driver.handle(membership_events.Leaving())
    case.assertEqual(State.LEAVING, driver.machine.me.state)
    actions = driver.handle(membership_events.Departed())
    [notice] = _list_sent(actions, messages.Notice)
    case.assertIn(driver.machine.me, _read_members(notice.message))
    case.assertEqual(State.LEFT, driver.machine.me.state)


def test_packets_do_not_exceed_their_budget(case, driver):
    driver.handle(
        _notice(*(_make_member(f'member-{i:04}') for i in range(500)))
    )
    for ping in _list_sent(driver.run(30), messages.Ping):
        size = len(
            messages.encode_packet(messages.Packet(1 << 56, ping.message))
        )
        case.assertLessEqual(size, membership_packets.UPDATE_BUDGET_BYTES + 60)


def test_update_is_repeated_a_limited_number_of_times(case, driver):
    driver.handle(_notice(*(_make_member(name) for name in 'abc')))
    update = messages.TargetUpdate('engine-a', messages.TargetState.FAILED, 5)
    driver.handle(membership_events.Published(update))
    sent = [
        messages.decode_updates(ping.message.updates)
        for ping in _list_sent(driver.run(60), messages.Ping)
    ]
    case.assertEqual(6, sum(update in updates for updates in sent))


def test_many_observers_of_one_failure_make_one_update(case, driver):
    """Other updates would be crowded out when a target fails.

    Every instance that uses the target reports its failure, each with another
    time.
    """

    def observe(state, observed: int) -> int:
        update = messages.TargetUpdate('engine-a', state, observed)
        return len(driver.handle(membership_events.Published(update)))

    failed = messages.TargetState.FAILED
    case.assertEqual([1, 0, 0], [observe(failed, time) for time in (5, 6, 9)])
    recovered = messages.TargetState.RECOVERED
    case.assertEqual([0, 1], [observe(recovered, time) for time in (4, 10)])


def test_older_configuration_is_ignored(case, driver):
    for version in (3, 2, 3):
        driver.handle(
            membership_events.Published(messages.ConfigurationUpdate(version))
        )
    case.assertEqual(3, driver.machine.configuration_version)
    learned = [
        action
        for action in driver.actions
        if isinstance(action, membership_events.UpdateLearned)
    ]
    case.assertEqual(1, len(learned))


def test_unknown_update_does_not_lose_the_packet(case):
    """Live members would look failed during a rolling upgrade.

    A newer version sends a kind of update that this one does not know in the
    same packet as its acks.
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
