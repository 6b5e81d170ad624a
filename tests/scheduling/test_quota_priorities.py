"""Tests of limits that are kept for more urgent kinds of programs.

The loads are those of one organisation with an urgent kind (priority 0, about
4 turns and as many tool calls) and another (priority 2, about 7 turns).
"""

import bisect
import heapq
import random
import typing

from vanillayoke.scheduling import program_starts
from vanillayoke.scheduling import program_statistics
from vanillayoke.scheduling import quotas
from vanillayoke.testing import fixtures

WINDOW = 5.0
TOLERANCE = quotas.Tolerance(WINDOW, 0.1, 2.0)
REPORT_INTERVAL_SECONDS = 0.25
SECONDS = 60.0
MAX_RETRY_RATIO = 0.32


class _Kind(typing.NamedTuple):
    priority: int
    turns: int
    turn_seconds: float
    slack: float


URGENT = _Kind(0, 4, 0.3, 0.49)
OTHER = _Kind(2, 7, 0.3, 1.13)


class _Outcome(typing.NamedTuple):
    """Shares of programs admitted in time, and the times of admission."""

    served: list[float]
    admitted: list[float]
    refused_under_way: int


def _schedule(rates, rng):
    """Return a queue of first requests; ``rates`` depends on the time."""
    queue = []
    for index, kind in enumerate((URGENT, OTHER)):
        at = 0.0
        while at < SECONDS:
            rate = rates(at)[index]
            at += rng.expovariate(rate) if rate else 0.1
            if not rate or at >= SECONDS:
                continue
            count = 2 * max(2, round(rng.gauss(kind.turns, 1)))
            name = f'p{len(queue)}'
            limit = at + kind.slack
            entry = (100 + at, name, index, count, 100 + limit, True)
            queue.append(entry)
    heapq.heapify(queue)
    return queue


def _simulate(rates, limit_rate, has_priorities=True, seed=1, fades=False):
    """Serve programs until all have ended or were given up."""
    rng = random.Random(seed)
    account = quotas.Account(
        WINDOW, program_statistics.ProgramStatistics(), fades
    )
    limit = quotas.Limit.from_rate(limit_rate, 0.0, TOLERANCE)
    account.set_limit(limit, 1)
    queue = _schedule(rates, rng)
    started, served = [0, 0], [0, 0]
    for entry in queue:
        started[entry[2]] += 1
    admitted, refused_under_way = [], 0
    is_near, asked_at = False, 0.0
    while queue:
        now, name, index, left, latest, is_first = heapq.heappop(queue)
        kind = (URGENT, OTHER)[index]
        priority = kind.priority if is_first and has_priorities else None
        is_turn = left % 2 == 0
        request = quotas.AdmissionRequest(
            name, f'r{index}' if is_turn else '', priority
        )
        if now - asked_at > REPORT_INTERVAL_SECONDS:
            is_near, asked_at = account.is_near_limit(now), now
        decision = quotas.Admitted()
        if is_near:
            decision = account.request_admission('i', request, now)
            is_near, asked_at = account.is_near_limit(now), now
        else:
            account.window.add('i', now, 1)
            account.record(request, 1, now)
        if isinstance(decision, quotas.Refused):
            if not is_first:
                refused_under_way += decision.urgent > 0
                again = now + min(0.2, decision.retry_after)
                if again < latest + 3.0:
                    entry = (again, name, index, left, latest, False)
                    heapq.heappush(queue, entry)
                continue
            time_left = latest - now + kind.turns * kind.turn_seconds
            pause = decision.retry_after * rng.uniform(0.75, 1.0)
            again = now + min(pause, MAX_RETRY_RATIO * time_left)
            if again <= latest:
                entry = (again, name, index, left, latest, True)
                heapq.heappush(queue, entry)
            continue
        admitted.append(now)
        served[index] += is_first
        if left > 1:
            again = now + rng.expovariate(2 / kind.turn_seconds)
            entry = (again, name, index, left - 1, latest, False)
            heapq.heappush(queue, entry)
    shares = [
        done / max(1, all_) for done, all_ in zip(served, started, strict=True)
    ]
    return _Outcome(shares, admitted, refused_under_way)


def _find_max_count(times):
    times = sorted(times)
    return max(
        bisect.bisect_left(times, start + WINDOW) - index
        for index, start in enumerate(times)
    )


def test_burst_of_the_less_urgent_kind_leaves_room_for_the_urgent(case):
    """The less urgent kind at 2.5 times its rate for 6 s in each 20 s."""

    def rates(at):
        return 2.0, 3.75 if at % 20 > 14 else 1.5

    urgent, other = _simulate(rates, 46.0).served
    case.assertGreater(urgent, 0.9)
    case.assertGreater(other, 0.6)
    former, _ = _simulate(rates, 46.0, has_priorities=False).served
    case.assertLess(former, 0.8)


def _compute_use(times, start, end, limit):
    """Return the mean share of a limit that is used between two times."""
    shares = []
    at = start
    while at < end:
        count = bisect.bisect(times, at) - bisect.bisect(times, at - WINDOW)
        shares.append(count / limit)
        at += 0.5
    return sum(shares) / len(shares)


def test_hot_large_organisation_can_use_its_limit(case):
    """Programs would be refused although the limit has room for them.

    A large organisation sends three times its usual load for 14 s. Programs
    that have ended are not known to have ended.
    """
    rate = 150.0

    def rates(at):
        factor = 3.0 if 18 < at < 32 else 1.0
        return 5.0 * factor, 5.0 * factor

    uses = []
    for fades in (False, True):
        outcome = _simulate(rates, rate, fades=fades)
        times = sorted(outcome.admitted)
        uses.append(_compute_use(times, 122.0, 132.0, rate * WINDOW))
        limit = quotas.Limit.from_rate(rate, 0.0, TOLERANCE)
        highest = limit.requests + limit.overrun
        case.assertLessEqual(_find_max_count(times), highest)
    case.assertLess(uses[0], 0.85)
    case.assertGreater(uses[1], 0.85)


def test_hot_organisation_serves_the_urgent_kind_first(case):
    """Both kinds at 6.5 times their rate for 12 s."""

    def rates(at):
        factor = 6.5 if 20 < at < 32 else 1.0
        return 1.0 * factor, 0.7 * factor

    outcome = _simulate(rates, 34.0)
    case.assertGreater(outcome.served[0], outcome.served[1] + 0.1)
    case.assertEqual(0, outcome.refused_under_way)
    former = _simulate(rates, 34.0, has_priorities=False)
    case.assertLess(former.served[0], former.served[1])


def test_constant_overload_serves_no_kind_less_than_a_less_urgent_one(case):
    """Demand of 1.4 times the limit, of which the urgent kind needs 0.4."""
    for seed in range(1, 5):
        outcome = _simulate(lambda _: (2.0, 3.0), 40.0, seed=seed)
        case.assertGreater(outcome.served[0], 0.75)
        case.assertGreater(outcome.served[0], outcome.served[1])


def test_less_urgent_kind_is_not_starved(case):
    """The urgent kind alone needs 1.6 times the limit."""
    outcome = _simulate(lambda _: (8.0, 4.0), 40.0)
    urgent, other = outcome.served
    case.assertGreater(urgent, 0.45)
    case.assertGreater(
        other, 0.5 * program_starts.MIN_ADMISSION_RATIO * urgent
    )
    case.assertLess(other, urgent)


def test_hard_bound_of_the_limit_does_not_change(case):
    """Programs under way may use the overrun, and new ones the limit."""
    limit = quotas.Limit.from_rate(40.0, 0.0, TOLERANCE)
    outcome = _simulate(lambda _: (8.0, 4.0), 40.0)
    case.assertLessEqual(
        _find_max_count(outcome.admitted), limit.requests + limit.overrun
    )


def test_whole_limit_is_open_without_urgent_programs(case):
    """Only the less urgent kind, at 1.75 times the limit."""
    kept = _simulate(lambda _: (0.0, 5.0), 40.0)
    former = _simulate(lambda _: (0.0, 5.0), 40.0, has_priorities=False)
    case.assertEqual(former, kept)


def _make_full_account(urgent_count):
    """Return an account near its limit, with recent urgent programs."""
    account = quotas.Account(WINDOW, program_statistics.ProgramStatistics())
    account.set_limit(quotas.Limit(100.0, 10.0, 5.0, WINDOW), 1)
    for number in range(urgent_count):
        request = quotas.AdmissionRequest(f'u{number}', 'r0', 0)
        account.window.add('i', 100.0, 4)
        account.record(request, 4, 100.0)
    account.record(quotas.AdmissionRequest('o', 'r2', 2), 1, 100.0)
    for at in (100.0, 100.5, 101.0):
        account.is_near_limit(at)
    return account


def test_limit_is_open_again_once_urgent_programs_have_ceased(case):
    """Urgent programs for a second, then none for a window."""
    account = _make_full_account(15)
    request = quotas.AdmissionRequest('p', 'r2', 2)
    refusal = account.request_admission('i', request, 101.0)
    case.assertGreater(refusal.urgent, 0)
    later = 101.0 + program_starts.START_RATE_SECONDS
    account.is_near_limit(later)
    decision = account.request_admission('i', request, later)
    case.assertEqual(quotas.Admitted(), decision)


def test_program_that_began_elsewhere_is_not_taken_for_a_new_one(case):
    """Its first request was admitted at once and is not reported yet."""
    account = quotas.Account(WINDOW, program_statistics.ProgramStatistics())
    account.set_limit(quotas.Limit(100.0, 10.0, 5.0, WINDOW), 1)
    for number in range(20):
        request = quotas.AdmissionRequest(f'u{number}', 'r0', 0)
        account.window.add('i', 100.0, 4)
        account.record(request, 4, 100.0)
    account.record(quotas.AdmissionRequest('o', 'r2', 2), 1, 100.0)
    case.assertTrue(account.is_near_limit(103.0))
    decision = account.request_admission(
        'i', quotas.AdmissionRequest('begun', 'r2', 2), 103.1
    )
    case.assertEqual(quotas.Admitted(), decision)


def test_program_that_asks_again_counts_once(case):
    """Refused programs return several times and would raise the demand."""
    starts = program_starts.ProgramStarts()
    for number in range(10):
        starts.add(quotas.AdmissionRequest('p', 'r', 0), number * 0.1)
    case.assertEqual([('r', 1)], list(starts.list_more_urgent(2)))
    starts.prune(program_starts.START_RATE_SECONDS)
    case.assertEqual([], list(starts.list_more_urgent(2)))


load_tests = fixtures.adapt(__name__)
