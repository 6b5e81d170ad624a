"""Tests of the order in which requests get the slots of a target."""

import collections
import heapq
import itertools
import math
import random
import statistics
import typing
from unittest import mock

from vanillayoke.scheduling import attained_service
from vanillayoke.scheduling import slot_queue
from vanillayoke.scheduling import slot_usage
from vanillayoke.testing import fixtures

SLOTS = 6
CHECK_SECONDS = 0.02
RENEWAL_SECONDS = 0.1


class Kind(typing.NamedTuple):
    """Requests of one kind and one organisation.

    ``rate`` is the number of requests a second, ``hold`` the time that each
    needs at the target, ``slack`` and ``time_limit`` what the caller allows.
    During a burst from ``burst_start`` to ``burst_end`` the rate is
    multiplied by ``burst``.
    """

    name: str
    rate: float
    hold: float
    slack: float
    time_limit: float
    organisation: str = 'a'
    weight: float = 1.0
    priority: int = 0
    is_first: bool = False
    burst: float = 1.0
    burst_start: float = 0.0
    burst_end: float = 0.0


class Result(typing.NamedTuple):
    """The waits of started requests, and the counts of others, by kind."""

    waits: dict[str, list[float]]
    in_time: collections.Counter
    refused: collections.Counter
    arrived: collections.Counter

    def get_ratio(self, kind: str) -> float:
        """Return the ratio of requests that started within their slack."""
        return self.in_time[kind] / self.arrived[kind]


class Simulation:
    """A target with a slot queue, in virtual time.

    Messages take ``delay``. The target runs ``SLOTS`` requests and queues
    others in the order of arrival.
    """

    def __init__(
        self, kinds: list[Kind], seed: int = 1, delay: float = 0.0
    ) -> None:
        self._kinds = kinds
        self._rng = random.Random(seed)
        self._delay = delay
        self.queue = slot_queue.SlotQueue(SLOTS)
        self._events: list = []
        self._sequence = itertools.count()
        self._claims: dict[str, tuple[Kind, slot_queue.Claim]] = {}
        self._running = 0
        self._at_target: collections.deque[str] = collections.deque()
        self.completed = 0
        self.result = Result(
            collections.defaultdict(list),
            collections.Counter(),
            collections.Counter(),
            collections.Counter(),
        )

    def run(self, seconds: float) -> Result:
        """Run for some time and return what happened."""
        for kind in self._kinds:
            self._push(self._rng.expovariate(kind.rate), self._arrive, kind)
        self._push(0.0, self._check, None)
        while self._events:
            now, _, action, argument = heapq.heappop(self._events)
            if now > seconds:
                break
            action(argument, now)
        return self.result

    def _push(self, at: float, action: typing.Callable, argument) -> None:
        heapq.heappush(
            self._events, (at, next(self._sequence), action, argument)
        )

    def _arrive(self, kind: Kind, now: float) -> None:
        is_burst = kind.burst_start <= now < kind.burst_end
        rate = kind.rate * (kind.burst if is_burst else 1.0)
        self._push(now + self._rng.expovariate(rate), self._arrive, kind)
        ticket = f'{next(self._sequence)}'
        claim = make_claim(
            ticket,
            now,
            organisation=kind.organisation,
            weight=kind.weight,
            priority=kind.priority,
            is_first=kind.is_first,
            slack=kind.slack,
            in_time=kind.slack,
            time_left=kind.time_limit,
        )
        self._claims[ticket] = (kind, claim)
        self.result.arrived[kind.name] += 1
        self._ask(ticket, now)

    def _ask(self, ticket: str, now: float) -> None:
        if ticket not in self._claims:
            return
        self._apply(self.queue.advance(now), now)
        if ticket not in self._claims:
            return
        claim = self._claims[ticket][1]
        outcome = self.queue.request(claim, now)
        if outcome is None:
            self._push(now + RENEWAL_SECONDS, self._ask, ticket)
        else:
            self._apply([slot_queue.Decision(claim, outcome)], now)
        self._apply(self.queue.advance(now), now)

    def _check(self, argument: None, now: float) -> None:
        self._push(now + CHECK_SECONDS, self._check, None)
        self._apply(self.queue.advance(now), now)

    def _apply(self, decisions: list, now: float) -> None:
        for claim, outcome in decisions:
            kind, _ = self._claims.pop(claim.ticket)
            if isinstance(outcome, slot_queue.Granted):
                wait = now - claim.arrived_at
                self.result.waits[kind.name].append(wait)
                self.result.in_time[kind.name] += wait <= kind.slack
                argument = (claim.request, kind)
                self._push(now + self._delay, self._start, argument)
            else:
                self.result.refused[kind.name] += 1

    def _start(self, argument: tuple[str, Kind], now: float) -> None:
        request, kind = argument
        self.queue.begin(request, kind.time_limit, now)
        self._at_target.append((request, kind))
        self._run_next(now)

    def _run_next(self, now: float) -> None:
        while self._at_target and self._running < SLOTS:
            self._running += 1
            request, kind = self._at_target.popleft()
            hold = kind.hold * self._rng.uniform(0.8, 1.2)
            self._push(now + hold, self._leave, request)

    def _leave(self, request: str, now: float) -> None:
        self._running -= 1
        self.completed += 1
        self._push(now + self._delay, self._end, request)
        self._run_next(now)

    def _end(self, request: str, now: float) -> None:
        self.queue.end(request, None, now)
        self._apply(self.queue.advance(now), now)


def make_claim(ticket: str, now: float, **changes) -> slot_queue.Claim:
    """Return a claim; ``slack`` and the like are relative to ``now``."""
    values = {
        'organisation': 'a',
        'weight': 1.0,
        'priority': 0,
        'is_first': False,
        'slack': 0.3,
        'in_time': 1.0,
        'time_left': 5.0,
        **changes,
    }
    return slot_queue.Claim(
        ticket,
        f'r{ticket}',
        values['organisation'],
        values['weight'],
        values['priority'],
        values['is_first'],
        now + values['slack'],
        now + values['in_time'],
        now + values['time_left'],
        now,
    )


def make_full_queue(now: float = 0.0, hold: float = 0.1):
    """Return a queue whose slots are taken, with a known time of holding."""
    queue = slot_queue.SlotQueue(SLOTS)
    queue.begin('first', 9.0, now - hold)
    queue.end('first', None, now)
    for number in range(queue.capacity):
        queue.begin(f'busy{number}', 9.0, now)
    return queue


def list_order(queue, now: float, count: int) -> list[str]:
    """Return the tickets that get the next slots, one at a time."""
    tickets = []
    for number in range(count):
        queue.end(f'busy{number}', 0, now)
        for claim, outcome in queue.advance(now):
            assert isinstance(outcome, slot_queue.Granted), outcome
            queue.begin(claim.request, 9.0, now)
            tickets.append(claim.ticket)
    return tickets


def add(case, queue, now: float, ticket: str, **changes) -> None:
    """Add a claim that has to wait."""
    claim = make_claim(ticket, now, **changes)
    case.assertIsNone(queue.request(claim, now), ticket)


# Order


def test_free_slot_is_granted_at_once(case):
    queue = slot_queue.SlotQueue(SLOTS)
    for number in range(SLOTS):
        outcome = queue.request(make_claim(str(number), 0.0), 0.0)
        case.assertIsInstance(outcome, slot_queue.Granted)
    case.assertIsNone(queue.request(make_claim('late', 0.0), 0.0))


def test_calls_with_shorter_objectives_go_first(case):
    """Two tool calls come together, with objectives of 82 and 202 ms."""
    queue = make_full_queue(hold=0.02)
    add(case, queue, 0.0, 'slow', slack=0.202)
    add(case, queue, 0.0, 'fast', slack=0.082)
    case.assertEqual(['fast', 'slow'], list_order(queue, 0.0, 2))


def test_programs_under_way_go_before_first_turns(case):
    """Work done for programs would be lost if new ones overtook them."""
    queue = make_full_queue()
    add(case, queue, 0.0, 'new', is_first=True, slack=0.1)
    add(case, queue, 0.0, 'later', slack=0.9)
    add(case, queue, 0.0, 'urgent', priority=-1, is_first=True)
    case.assertEqual(['urgent', 'later', 'new'], list_order(queue, 0.0, 3))


def test_programs_that_cannot_end_in_time_go_last(case):
    """Slots spent on them would make others late as well."""
    queue = make_full_queue()
    add(case, queue, 0.0, 'late', slack=-0.1, in_time=-0.1)
    add(case, queue, 0.0, 'other', priority=2, slack=0.4, in_time=0.4)
    # This one becomes late while it waits.
    add(case, queue, 0.0, 'tight', slack=0.05, in_time=0.05)
    case.assertEqual(['other'], list_order(queue, 0.1, 1))


# Loads


def test_urgent_kind_waits_less_during_bursts_of_another(case):
    """The other kind comes at 2.5 times its rate, above the capacity.

    The urgent kind has 253 ms of slack in addition to a fifth of its time.
    """
    kinds = [
        Kind('urgent', 8.0, 0.2, 0.3, 5.0),
        Kind(
            'other', 16.0, 0.25, 0.7, 5.0,
            priority=2, burst=2.5, burst_start=3.0, burst_end=13.0,
        ),
    ]  # fmt: skip
    result = Simulation(kinds).run(14.0)
    urgent = statistics.fmean(result.waits['urgent'])
    other = statistics.fmean(result.waits['other'])
    case.assertLess(urgent, 0.1)
    case.assertLess(urgent, 0.2 * other)
    case.assertGreater(result.get_ratio('urgent'), 0.97)


def test_hot_organisation_does_not_delay_others(case):
    """One of 10 organisations sends 6 times its usual load for 10 s.

    The total is 1.2 times the capacity then. The others stay below their
    shares, so nearly all their requests start within their slack.
    """
    kinds = [
        Kind(
            f'o{number}', 1.9, 0.25, 0.4, 5.0,
            organisation=f'o{number}',
            burst=6.0 if number == 0 else 1.0,
            burst_start=3.0, burst_end=13.0,
        )
        for number in range(10)
    ]  # fmt: skip
    result = Simulation(kinds).run(13.0)
    others = [result.get_ratio(f'o{number}') for number in range(1, 10)]
    case.assertGreater(statistics.fmean(others), 0.97)
    case.assertGreater(min(others), 0.85)
    case.assertLess(result.get_ratio('o0'), statistics.fmean(others))


def test_large_organisation_gets_its_due(case):
    """All organisations send twice what their share of the capacity is.

    The large one has 6 times the rate limit of each of the others.
    """
    kinds = [
        Kind('large', 28.8, 0.2, 0.5, 1.5, organisation='large', weight=6.0),
        *(
            Kind(f's{n}', 4.8, 0.2, 0.5, 1.5, organisation=f's{n}')
            for n in range(6)
        ),
    ]
    result = Simulation(kinds).run(30.0)
    served = {name: len(waits) for name, waits in result.waits.items()}
    ratio = served['large'] / sum(served.values())
    case.assertGreater(ratio, 0.42)
    case.assertLess(ratio, 0.58)


def test_no_organisation_falls_below_a_quarter_of_the_average(case):
    """Requests of the first priority alone exceed the capacity.

    One organisation has requests of the last priority only, as many as the
    others. It gets its turn by the grants that ignore priority.
    """
    kinds = [
        Kind(
            f'o{number}', 8.0, 0.2, 0.5, 1.5,
            organisation=f'o{number}', priority=2 if number == 0 else 0,
        )
        for number in range(8)
    ]  # fmt: skip
    result = Simulation(kinds).run(30.0)
    served = [len(result.waits[kind.name]) for kind in kinds]
    case.assertGreater(min(served), 0.25 * statistics.fmean(served))


def test_urgent_tool_calls_start_within_their_objective(case):
    """A service of 4 servers with 6 slots has 1.4 times its capacity to do.

    Each server has its own queue; calls of 10, 39 and 26 ms have objectives
    of 82, 202 and 152 ms.
    """
    for seed in range(2):
        kinds = [
            Kind('find', 110.0, 0.010, 0.072, 1.2),
            Kind('book', 130.0, 0.039, 0.163, 2.0, priority=2),
            Kind('cancel', 84.0, 0.026, 0.126, 1.2, priority=2),
        ]
        result = Simulation(kinds, seed, 0.001).run(6.0)
        case.assertGreater(result.get_ratio('find'), 0.98)
        waits = result.waits
        mean_waits = [statistics.fmean(waits[k.name]) for k in kinds]
        case.assertLess(mean_waits[0], 0.3 * min(mean_waits[1:]))


def test_slots_do_not_idle_for_messages_of_short_calls(case):
    """Without a spare request each slot idles for 3 ms of every 28 ms."""
    completed = {}
    for minimum in (slot_usage.MIN_IDLE_SLOTS, float(SLOTS)):
        with mock.patch.object(slot_usage, 'MIN_IDLE_SLOTS', minimum):
            kinds = [Kind('call', 480.0, 0.025, 0.1, 1.2)]
            simulation = Simulation(kinds, delay=0.0015)
            simulation.run(10.0)
        completed[minimum] = simulation.completed
    most = 10.0 * SLOTS / 0.025
    case.assertGreater(completed[slot_usage.MIN_IDLE_SLOTS], 0.96 * most)
    case.assertLess(completed[SLOTS], 0.91 * most)


def test_turns_of_engines_wait_at_the_coordinator_only(case):
    """An engine preempts a running turn for one that it queues itself."""
    case.assertEqual(SLOTS, make_full_queue(hold=0.2).capacity)


# Refusals


def test_request_that_cannot_start_in_time_is_refused_at_once(case):
    """It would wait for its deadline although nothing can serve it."""
    queue = make_full_queue(hold=0.1)
    for number in range(30):
        add(case, queue, 0.0, f'w{number}')
    refused = queue.request(
        make_claim('x', 0.0, priority=2, time_left=0.5), 0.0
    )
    case.assertIsInstance(refused, slot_queue.Refused)
    case.assertIs(slot_queue.Reason.LATE, refused.reason)
    case.assertEqual(30, refused.position)
    case.assertAlmostEqual(31 * 0.1 / 6, refused.predicted)
    case.assertGreater(refused.retry_after, 0.4)
    # A more urgent request with the same deadline starts in time.
    add(case, queue, 0.0, 'y', priority=-1, time_left=0.5)


def test_long_first_request_does_not_refuse_the_next_ones(case):
    """Each new coordinator refused urgent turns for seconds, at random."""
    queue = slot_queue.SlotQueue(SLOTS)
    queue.begin('long', 9.0, 0.0)
    queue.end('long', None, 3.0)
    for number in range(12):
        queue.begin(f'x{number}', 9.0, 3.0)
        queue.end(f'x{number}', None, 3.25)
    for number in range(SLOTS):
        queue.begin(f'busy{number}', 9.0, 3.25)
    claim = make_claim('y', 3.25, time_left=1.0)
    case.assertIsNone(queue.request(claim, 3.25))


def test_waiting_request_is_refused_when_its_last_start_has_passed(case):
    queue = make_full_queue(hold=0.1)
    add(case, queue, 0.0, 'x', time_left=0.3)
    case.assertEqual([], queue.advance(0.19))
    [(claim, outcome)] = queue.advance(0.21)
    case.assertEqual('x', claim.ticket)
    case.assertIsInstance(outcome, slot_queue.Refused)


def test_number_of_waiting_requests_is_bounded(case):
    """Memory would grow with the load; the last in the order gives way."""
    queue = make_full_queue(hold=0.1)
    limit = slot_queue.MAX_WAITING_PER_SLOT * SLOTS
    for number in range(limit):
        add(case, queue, 0.0, f'w{number}', priority=1, slack=0.001 * number)
    refused = queue.request(make_claim('x', 0.0, priority=2), 0.0)
    case.assertIs(slot_queue.Reason.FULL, refused.reason)
    add(case, queue, 0.0, 'urgent')
    [(claim, outcome)] = queue.advance(0.0)
    case.assertEqual(f'w{limit - 1}', claim.ticket)
    case.assertIs(slot_queue.Reason.FULL, outcome.reason)
    case.assertEqual(limit, queue.waiting_count)


# Failures


def test_grant_that_is_not_used_expires(case):
    """The instance failed, or the grant was lost."""
    queue = make_full_queue()
    add(case, queue, 0.0, 'x')
    add(case, queue, 0.0, 'y', slack=0.9)
    case.assertEqual(['x'], list_grants(queue, 'busy0', 0.0))
    case.assertEqual([], queue.advance(0.04))
    [(claim, _)] = queue.advance(0.06)
    case.assertEqual('y', claim.ticket)
    case.assertEqual(1, queue.expired_grants)


def list_grants(queue, ended: str, now: float) -> list[str]:
    """Return the tickets that are granted when a request ends."""
    queue.end(ended, 0, now)
    return [claim.ticket for claim, _ in queue.advance(now)]


def test_grant_of_a_repeated_request_is_not_counted_twice(case):
    """The datagram of the request or of the grant was duplicated or lost."""
    queue = slot_queue.SlotQueue(1)
    claim = make_claim('x', 0.0)
    for now in (0.0, 0.01, 0.02):
        case.assertIsInstance(queue.request(claim, now), slot_queue.Granted)
    case.assertEqual(1, queue.count_occupied(0.02))
    add(case, queue, 0.02, 'y')
    queue.begin('rx', 1.0, 0.03)
    queue.end('rx', None, 0.04)
    case.assertEqual(['y'], [c.ticket for c, _ in queue.advance(0.04)])


def test_cancelled_request_passes_its_slot_on(case):
    """The caller left while its request waited, or just after the grant."""
    queue = make_full_queue()
    add(case, queue, 0.0, 'x')
    add(case, queue, 0.0, 'y', slack=0.9)
    add(case, queue, 0.0, 'z', slack=1.0)
    case.assertIsNone(queue.cancel('y', 0.0))
    case.assertEqual(['x'], list_grants(queue, 'busy0', 0.0))
    case.assertEqual('x', queue.cancel('x', 0.01).ticket)
    case.assertEqual(['z'], [c.ticket for c, _ in queue.advance(0.01)])


def test_requests_of_a_failed_instance_are_dropped(case):
    """Each of them would get a grant that nobody uses."""
    queue = make_full_queue()
    add(case, queue, 0.0, 'x')
    add(case, queue, 0.0, 'y')
    case.assertIsNone(queue.request(make_claim('y', 0.0), 0.2))
    [(claim, outcome)] = queue.advance(0.3)
    case.assertEqual('x', claim.ticket)
    case.assertIsInstance(outcome, slot_queue.Dropped)


def test_request_whose_end_is_lost_frees_its_slot(case):
    """Its instance failed; its deadline may be many seconds away."""
    queue = make_full_queue(hold=0.1)
    add(case, queue, 0.0, 'x')
    for step in range(5):
        queue.request(make_claim('x', 0.0), 0.1 * step)
    case.assertEqual([], queue.advance(0.55))
    [(claim, outcome)] = queue.advance(0.65)
    case.assertEqual('x', claim.ticket)
    case.assertIsInstance(outcome, slot_queue.Granted)


def test_requests_whose_ends_are_lost_are_bounded(case):
    """A partition lost the ends of all requests, each with a minute left.

    All of them were kept until their deadlines and read for each decision.
    """
    queue = make_full_queue(hold=0.1)
    for number in range(3000):
        queue.begin(f'lost{number}', 60.0, 0.01 * number)
    case.assertLess(len(queue._usage._running), 100)


def test_slots_are_freed_if_no_end_was_ever_reported(case):
    """All instances that sent requests failed before the first one ended.

    Their requests would hold the slots until their deadlines.
    """
    queue = slot_queue.SlotQueue(SLOTS)
    for number in range(SLOTS):
        queue.begin(f'lost{number}', 60.0, 0.0)
    granted_at = None
    for step in range(100):
        now = 0.1 * step
        queue.advance(now)
        claim = make_claim('x', 0.0, time_left=30.0)
        if isinstance(queue.request(claim, now), slot_queue.Granted):
            granted_at = now
            break
    case.assertIsNotNone(granted_at)
    case.assertLess(granted_at, 2.5)


def test_more_slots_serve_more_requests(case):
    queue = make_full_queue()
    for number in range(3):
        add(case, queue, 0.0, f'w{number}')
    case.assertEqual([], queue.advance(0.0))
    queue.slots = SLOTS + 2
    case.assertEqual(2, len(queue.advance(0.0)))


def test_new_coordinator_waits_for_what_the_target_reports(case):
    """It does not know the requests that its predecessor counted."""
    queue = slot_queue.SlotQueue(SLOTS)
    queue.begin('x', 9.0, 0.0)
    queue.end('x', 13, 0.1)
    case.assertIsNone(queue.request(make_claim('y', 0.1), 0.1))
    # The target serves 6 requests in 0.1 s.
    case.assertEqual([], queue.advance(0.15))
    case.assertEqual(1, len(queue.advance(0.25)))


def test_coordinator_that_stood_still_decides_again(case):
    """A slot time of 0, which was never corrected, failed each request."""
    queue = slot_queue.SlotQueue(SLOTS)
    # The notifications of a second arrive at once.
    queue.begin('x', 9.0, 1.0)
    queue.end('x', None, 1.0)
    outcome = queue.request(make_claim('y', 1.0), 1.0)
    case.assertIsInstance(outcome, slot_queue.Granted)
    for number in range(60):
        queue.begin(f'z{number}', 9.0, 2.0 + number)
        queue.end(f'z{number}', None, 2.1 + number)
    case.assertGreater(queue.hold, 0.06)


def test_service_of_long_ago_does_not_count(case):
    """An organisation would pay for a burst of a minute ago."""
    service = attained_service.AttainedService()
    for step in range(100):
        service.add('hot', 1.0, 0.2, 0.1 * step)
        service.add('other', 1.0, 0.02, 0.1 * step)
    case.assertGreater(service.get_level('hot', 1.0, 0.2, 10.0), 0)
    case.assertEqual(0, service.get_level('other', 1.0, 0.2, 10.0))
    service.add('other', 1.0, 0.2, 70.0)
    case.assertEqual(0, service.get_level('hot', 1.0, 0.2, 70.0))
    # Hours without a contended request.
    case.assertEqual(0, service.get_level('hot', 1.0, 0.2, 1e6))
    case.assertTrue(math.isfinite(service.get_share('other', 1.0, 1e6)))


load_tests = fixtures.adapt(__name__)
