"""Tests of the admission of programs by the capacity of their targets.

Most run instances in a closed loop with the slots of a service. Each instance
gets the loads .3 to .7 s after they were measured, every .5 s.
"""

import bisect
import collections
import heapq
import itertools
import random
import statistics
import typing

from vanillayoke.scheduling import program_admission
from vanillayoke.scheduling import program_arrivals
from vanillayoke.scheduling import program_demand
from vanillayoke.scheduling import refused_programs
from vanillayoke.scheduling import service_capacity
from vanillayoke.scheduling import zone_loads
from vanillayoke.testing import fixtures

SLOTS = 132
INSTANCES = 22
SECONDS = 30.0
# Programs are counted from here on, when their demand has been learned.
COUNTED_FROM = 6.0
MEASURE_SECONDS = 0.5
UPDATE_SECONDS = 0.25
TURN_SECONDS = 0.2
PAUSE_SECONDS = 0.1
# A turn takes so much longer if all slots are used.
SLOWDOWN = 0.15
MAX_TRIES = 4
SERVICE = 'models'


class _Kind(typing.NamedTuple):
    """Programs of one route, with their time limits."""

    route: str
    priority: int
    turns: int
    limit_factor: float
    limit_seconds: float
    is_hot: bool = False


URGENT = _Kind('urgent', 0, 4, 1.2, 0.253)
OTHER = _Kind('other', 2, 7, 1.3, 0.503)
HOT = _Kind('urgent', 0, 4, 1.2, 0.253, is_hot=True)


class _Program:
    def __init__(self, name, kind, now, rng):
        self.name = name
        self.kind = kind
        self.turns = self.left = max(2, round(rng.gauss(kind.turns, 1)))
        self.turn_seconds = TURN_SECONDS * rng.uniform(0.75, 1.25)
        self.idle = self.turns * self.turn_seconds
        self.idle += (self.turns - 1) * PAUSE_SECONDS
        self.started_at = now
        limit = kind.limit_factor * self.idle + kind.limit_seconds
        self.deadline = now + limit
        self.tries = 0


class _Loop:
    """Instances and slots; ``arrivals`` are pairs of a time and a kind.

    ``get_slots`` returns the number of slots at a time. Requests of more
    urgent programs are served first.
    """

    def __init__(
        self, arrivals, get_slots=lambda now: SLOTS, admits=True, seed=1
    ):
        self.rng = random.Random(seed)
        self.get_slots = get_slots
        self.admits = admits
        self.demands = [program_demand.DemandModel() for _ in range(INSTANCES)]
        self.admissions = [
            program_admission.ProgramAdmission(demand)
            for demand in self.demands
        ]
        self.loads = [{} for _ in range(INSTANCES)]
        self.refused = refused_programs.RefusedPrograms()
        self.queue = []
        self.busy = 0
        self.waiting = []
        self.count = 0
        self.results = collections.defaultdict(collections.Counter)
        self.refusals = []
        self.utilisations = []
        self.shares = []
        for number, (at, kind) in enumerate(arrivals):
            program = _Program(f'p{number}', kind, at, self.rng)
            if at >= COUNTED_FROM:
                self.results[kind]['all'] += 1
            self.push(at, self.arrive, program)
        for step in range(int(SECONDS / MEASURE_SECONDS)):
            self.push(step * MEASURE_SECONDS, self.measure)
        for step in range(int(SECONDS / UPDATE_SECONDS)):
            self.push(step * UPDATE_SECONDS, self.update)

    def push(self, at, action, *arguments):
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, action, arguments))

    def run(self):
        while self.queue:
            now, _, action, arguments = heapq.heappop(self.queue)
            action(now, *arguments)
        return self

    def share(self, kind, result='ended'):
        """Return the share of a kind's programs with a result."""
        counts = self.results[kind]
        return counts[result] / counts['all']

    def record(self, program, result):
        if program.started_at >= COUNTED_FROM:
            self.results[program.kind][result] += 1

    def arrive(self, now, program):
        if not self.admits or self.is_admitted(now, program):
            self.request(now, program)

    def is_admitted(self, now, program):
        index = self.rng.randrange(INSTANCES)
        admission = self.admissions[index]
        known = self.refused.find(program.name, now)
        new = program_demand.NewProgram(
            program.kind.route,
            program.kind.priority,
            program.deadline - now,
            program.deadline - now,
            program.kind.is_hot,
            0.0 if known is None else known.waited,
        )
        capacity = admission.update(SERVICE, self.loads[index], now)
        admission.record_arrival(SERVICE, new, now, self.rng.random())
        if not capacity.is_refusing:
            return True
        if known is not None and known.wait == 0.0:
            if admission.admit_returning(SERVICE, new, now):
                return True
        decision = admission.decide(SERVICE, new, now)
        if isinstance(decision, program_admission.Admitted):
            return True
        self.refusals.append((now, program, decision))
        due = now + decision.retry_after if decision.is_reserved else None
        self.refused.add(program.name, due, now)
        program.tries += 1
        if program.tries == MAX_TRIES:
            self.record(program, 'refused')
        else:
            self.push(now + decision.retry_after, self.arrive, program)
        return False

    def request(self, now, program):
        key = (program.kind.priority, self.count)
        bisect.insort(self.waiting, (key, program), key=lambda e: e[0])
        self.count += 1
        self.fill(now)

    def fill(self, now):
        while self.waiting and self.busy < self.get_slots(now):
            _, program = self.waiting.pop(0)
            self.busy += 1
            slowdown = 1 + SLOWDOWN * self.busy / SLOTS
            self.push(now + program.turn_seconds * slowdown, self.end, program)

    def end(self, now, program):
        self.busy -= 1
        program.left -= 1
        demand = self.rng.choice(self.demands)
        demand.learn_turn(program.kind.route, program.turn_seconds)
        if program.left:
            pause = PAUSE_SECONDS * self.rng.uniform(0.6, 1.4)
            self.push(now + pause, self.request, program)
        else:
            in_time = now <= program.deadline
            self.record(program, 'ended' if in_time else 'late')
            seconds = now - program.started_at
            for demand in self.rng.sample(self.demands, 3):
                demand.learn_program(
                    program.kind.route,
                    program.turns,
                    seconds,
                    max(0.0, seconds - program.idle),
                    program.deadline - program.started_at,
                )
        self.fill(now)

    def measure(self, now):
        slots = self.get_slots(now)
        waiting = len(self.waiting) + max(0, self.busy - slots)
        running = min(self.busy, slots)
        load = zone_loads.ZoneLoad(slots, running, waiting, slots, now)
        self.utilisations.append((now, load.utilisation))
        for index in range(INSTANCES):
            delay = self.rng.uniform(0.3, 0.7)
            self.push(now + delay, self.receive, index, load)
        self.fill(now)

    def receive(self, now, index, load):
        self.loads[index] = {'z1': load}

    def update(self, now):
        capacities = [
            admission.update(SERVICE, self.loads[index], now)
            for index, admission in enumerate(self.admissions)
        ]
        mean = statistics.fmean(capacity.share for capacity in capacities)
        self.shares.append((now, mean))


def _make_arrivals(rates, seed=1):
    """Return times and kinds; ``rates`` maps a kind to its rate at a time."""
    rng = random.Random(seed)
    arrivals = []
    for kind, get_rate in rates.items():
        at = 0.0
        while at < SECONDS:
            at += rng.expovariate(get_rate(at))
            if at < SECONDS:
                arrivals.append((at, kind))
    return sorted(arrivals, key=lambda entry: entry[0])


def _burst(rate, factor, start, end):
    return lambda at: rate * (factor if start <= at < end else 1.0)


def _always(rate):
    return _burst(rate, 1.0, 0.0, 0.0)


def test_nothing_is_refused_while_there_is_capacity(case):
    """A load of .4, and 1.7 times for 6 s."""
    rates = dict.fromkeys((URGENT, OTHER), _burst(22.5, 1.7, 12, 18))
    loop = _Loop(_make_arrivals(rates)).run()
    case.assertEqual([], loop.refusals)
    case.assertEqual(1.0, loop.share(URGENT))


def test_burst_of_the_less_urgent_kind_does_not_affect_the_urgent(case):
    """The less urgent kind at 2.5 times for 6 s: a load of 1.12."""
    rates = {URGENT: _always(30), OTHER: _burst(30, 2.5, 10, 16)}
    loop = _Loop(_make_arrivals(rates)).run()
    case.assertGreater(loop.share(URGENT), 0.99)
    case.assertGreater(loop.share(OTHER), 0.85)
    case.assertLess(loop.share(OTHER, 'late'), 0.04)


def test_longer_burst_of_the_less_urgent_kind_is_refused_in_part(case):
    """At 4 times for 6 s, a load of 1.25: otherwise 4 in 10 would be late."""
    rates = {URGENT: _always(22.5), OTHER: _burst(22.5, 4, 10, 16)}
    arrivals = _make_arrivals(rates)
    loop = _Loop(arrivals).run()
    case.assertGreater(loop.share(URGENT), 0.99)
    case.assertGreater(loop.share(OTHER), 0.8)
    case.assertLess(loop.share(OTHER, 'late'), 0.05)
    former = _Loop(arrivals, admits=False).run()
    case.assertLess(former.share(OTHER), 0.7)


def test_burst_of_all_programs(case):
    """All programs at 2.5 times for 6 s: a load of 1.44."""
    rates = dict.fromkeys((URGENT, OTHER), _burst(30, 2.5, 10, 16))
    arrivals = _make_arrivals(rates)
    loop = _Loop(arrivals).run()
    former = _Loop(arrivals, admits=False).run()
    case.assertGreater(loop.share(URGENT), 0.95)
    case.assertGreater(loop.share(OTHER), former.share(OTHER) + 0.1)
    late = former.share(OTHER, 'late')
    case.assertLess(loop.share(OTHER, 'late'), late / 4)


def test_third_of_the_engines_fails_at_the_peak_and_returns(case):
    """The load is .7 with all engines and 1.05 without a third."""

    def get_slots(now):
        return SLOTS * 2 // 3 if 12 <= now < 18 else SLOTS

    rates = dict.fromkeys((URGENT, OTHER), _always(38))
    arrivals = _make_arrivals(rates)
    loop = _Loop(arrivals, get_slots).run()
    times = [now for now, _, _ in loop.refusals]
    case.assertTrue(times)
    case.assertGreaterEqual(min(times), 12)
    # Programs are admitted again as soon as the loads are known.
    later = [now for now in times if now > 19.5]
    case.assertLess(len(later), 0.05 * len(times))
    case.assertGreater(loop.share(URGENT), 0.97)
    case.assertGreater(loop.share(OTHER), 0.9)


def test_hot_organisation_is_refused_before_others_of_its_priority(case):
    """One organisation sends 7 times its usual load for 8 s: 1.07 in all."""
    rates = {URGENT: _always(50), HOT: _burst(15, 7, 10, 18)}
    loop = _Loop(_make_arrivals(rates)).run()
    case.assertGreater(loop.share(URGENT), 0.97)
    case.assertGreater(loop.share(HOT), 0.5)
    case.assertTrue(all(p.kind is HOT for _, p, _ in loop.refusals[:20]))


def test_constant_overload_does_not_oscillate(case):
    """A load of 1.44 for 30 s."""
    rates = dict.fromkeys((URGENT, OTHER), _always(75))
    loop = _Loop(_make_arrivals(rates)).run()
    shares = [share for now, share in loop.shares if now > 8]
    utilisations = [value for now, value in loop.utilisations if now > 8]
    # There is no time at which hardly any program is admitted, and hardly one
    # at which all are.
    case.assertGreater(min(shares), 0.3)
    all_admitted = sum(share > 0.99 for share in shares)
    case.assertLess(all_admitted, 0.1 * len(shares))
    # Few slots stay idle, and few requests wait.
    case.assertGreater(min(utilisations), 0.65)
    case.assertLess(max(utilisations), 1.75)
    case.assertGreater(statistics.fmean(utilisations), 1.0)
    case.assertLess(statistics.fmean(utilisations), 1.25)
    case.assertGreater(loop.share(URGENT), 0.95)


def _make_load(requests, measured_at, slots=SLOTS):
    running = min(requests, slots)
    return {
        'z1': zone_loads.ZoneLoad(
            slots, running, requests - running, slots, measured_at
        )
    }


def _overload(admission, until=20.0):
    """Report an overload that grows; return the time of the last report."""
    now = 10.0
    while now < until:
        loads = _make_load(150 + 2 * (now - 10), now)
        admission.update(SERVICE, loads, now + 0.3)
        now += 0.5
    return now - 0.2


NEW = program_demand.NewProgram('urgent', 0, 3.0, 3.0)


def _decide(admission, now, program=NEW):
    admission.record_arrival(SERVICE, program, now, 0.5)
    return admission.decide(SERVICE, program, now)


def _make_admission():
    return program_admission.ProgramAdmission(program_demand.DemandModel())


def test_nothing_is_refused_when_loads_are_missing_or_old(case):
    """The coordinators of all zones are lost during an overload."""
    admission = _make_admission()
    now = _overload(admission)
    case.assertTrue(admission.get_capacity(SERVICE).is_refusing)
    for loads, at in (
        ({}, now),
        (_make_load(300, now), now + 2.1),
        (_make_load(0, now, slots=0), now),
    ):
        admission.update(SERVICE, loads, at)
        case.assertFalse(admission.get_capacity(SERVICE).is_refusing)
        decision = _decide(admission, at)
        case.assertEqual(program_admission.Admitted(), decision)


def test_overload_without_arrivals_is_no_error(case):
    """Requests of the engines' other users may fill them."""
    admission = _make_admission()
    for step in range(20):
        now = 10.0 + step / 2
        requests = max(4 * SLOTS - 40 * step, 1.2 * SLOTS)
        admission.update(SERVICE, _make_load(requests, now), now + 0.3)
    case.assertGreater(admission.get_capacity(SERVICE).share, 0.0)


def test_first_load_after_a_start_admits_in_proportion(case):
    """A new instance knows no rate of arrival yet."""
    admission = _make_admission()
    admission.update(SERVICE, _make_load(1.3 * SLOTS, 10.0), 10.3)
    share = admission.get_capacity(SERVICE).share
    case.assertGreater(share, service_capacity.MIN_SHARE)
    case.assertLess(share, 1.0)


def test_refused_programs_return_in_the_order_in_which_they_came(case):
    """45 programs a second at one instance; several are refused at once."""
    admission = _make_admission()
    now = _overload(admission)
    returns = []
    for number in range(225):
        at = now + number / 45
        loads = _make_load(180, at)
        admission.update(SERVICE, loads, at)
        decision = _decide(admission, at)
        if isinstance(decision, program_admission.Refused):
            case.assertLess(decision.retry_after, 3.0 / 3)
            if decision.is_reserved:
                returns.append(at + decision.retry_after)
    case.assertGreaterEqual(len(returns), 4)
    case.assertEqual(sorted(returns), returns)
    pauses = [later - first for first, later in itertools.pairwise(returns)]
    case.assertGreater(min(pauses), 0.02)


def test_program_that_returns_is_admitted_before_new_ones(case):
    refused = refused_programs.RefusedPrograms()
    refused.add('p', 10.4, 10.0)
    case.assertIsNone(refused.find('q', 10.1))
    case.assertAlmostEqual(0.3, refused.find('p', 10.1).wait)
    case.assertEqual(0.0, refused.find('p', 10.4).wait)
    admission = _make_admission()
    now = _overload(admission)
    admission.record_arrival(SERVICE, NEW, now, 0.0)
    case.assertTrue(admission.admit_returning(SERVICE, NEW, now))


def test_program_that_cannot_end_in_time_is_refused_at_once(case):
    """It would take capacity from others and be late."""
    demands = program_demand.DemandModel()
    for _ in range(program_demand.MIN_LEARNED_PROGRAMS):
        demands.learn_program('urgent', 4, 1.2, 0.0, 1.7)
    admission = program_admission.ProgramAdmission(demands)
    now = _overload(admission)
    late = NEW._replace(time_left=1.1, waited=0.6)
    case.assertFalse(admission.admit_returning(SERVICE, late, now))
    decision = _decide(admission, now, late)
    case.assertFalse(decision.is_reserved)
    case.assertGreater(decision.expected_seconds, 1.1)


def test_turns_under_way_do_not_count_as_programs(case):
    """A route without history does not tell them from first turns."""
    admission = _make_admission()
    for number in range(100):
        admission.record_arrival(SERVICE, NEW, number * 0.01, 0.0, False)
    other = NEW._replace(priority=2)
    for number in range(25):
        admission.record_arrival(SERVICE, other, number * 0.04, 0.0)
    first, second = admission.list_rates(SERVICE, 1.0)
    case.assertAlmostEqual(first, second, delta=0.2 * second)


def test_returning_program_of_a_kind_that_never_arrived_here(case):
    """It was refused elsewhere; while all are admitted it was an error."""
    admission = _make_admission()
    capacity = admission.get_capacity(SERVICE)
    for requests in (1.2, 0.9, 0.8):
        at = 10.0 - requests
        admission.update(SERVICE, _make_load(requests * SLOTS, at), at)
    case.assertTrue(capacity.is_refusing)
    case.assertEqual(1.0, capacity.share)
    returning = NEW._replace(waited=0.5)
    admission.record_arrival(SERVICE, returning, 9.2, 0.0)
    decision = admission.decide(SERVICE, returning, 9.2)
    case.assertIsInstance(decision, program_admission.Admitted)


def test_returning_programs_of_all_kinds_are_admitted_with_capacity(case):
    """Rounding left the share of less urgent kinds slightly below 1."""
    refused = 0
    for seed in range(50):
        rng = random.Random(seed)
        admission = _make_admission()
        capacity = admission.get_capacity(SERVICE)
        at = 8.8
        for priority in (0, 1, 2):
            program = NEW._replace(priority=priority)
            for _ in range(5):
                at += rng.uniform(0.0, 0.01)
                admission.record_arrival(SERVICE, program, at, 0.0)
        for requests in (1.2, 0.9, 0.8):
            at = 10.2 - requests
            admission.update(SERVICE, _make_load(requests * SLOTS, at), at)
        case.assertTrue(capacity.is_refusing)
        returning = NEW._replace(priority=2, waited=0.5)
        decision = admission.decide(SERVICE, returning, at)
        refused += isinstance(decision, program_admission.Refused)
    case.assertEqual(0, refused)


def _update_capacity(capacity, utilisations, seconds, now, slots=SLOTS):
    """Report a load every .5 s; yield the time of each update."""
    for utilisation in utilisations:
        now += 0.5
        loads = _make_load(utilisation * slots, now, slots)
        capacity.update(loads, seconds, now + 0.35)
        yield now
        share = capacity.get_share(program_arrivals.TARGET_UTILISATION)
        capacity.record_share(share, now + 0.35)


def test_returned_targets_are_not_mistaken_for_more_programs(case):
    """Two thirds of the targets had failed and return.

    The rate of programs is relative to the number of slots.
    """
    capacity = service_capacity.ServiceCapacity()
    times = _update_capacity(capacity, [1.2] * 100, 1.5, 0.0, SLOTS // 3)
    now = list(times)[-1]
    case.assertLess(capacity.share, 0.5)
    for _ in _update_capacity(capacity, [0.6] * 6, 1.5, now):
        case.assertFalse(capacity.is_refusing, capacity.utilisation)


def test_returning_programs_do_not_displace_new_ones_with_capacity(case):
    """Admissions of an overload were taken from new programs after it."""
    admission = _make_admission()
    capacity = admission.get_capacity(SERVICE)
    admission.record_arrival(SERVICE, NEW, 8.8, 0.0)
    for requests in (1.2, 0.9, 0.8):
        at = 10.2 - requests
        admission.update(SERVICE, _make_load(requests * SLOTS, at), at)
        case.assertTrue(admission.admit_returning(SERVICE, NEW, at))
    case.assertTrue(capacity.is_refusing)
    case.assertEqual(1.0, capacity.share)
    for _ in range(4):
        decision = _decide(admission, 9.4)
        case.assertIsInstance(decision, program_admission.Admitted)


load_tests = fixtures.adapt(__name__)
