"""Tests of the admission of requests by an organisation's limit."""

import bisect
import heapq
import random

import hypothesis
from hypothesis import strategies

from vanillayoke.scheduling import program_statistics
from vanillayoke.scheduling import quotas
from vanillayoke.scheduling import request_windows
from vanillayoke.testing import fixtures

WINDOW = 5.0
SLICE = WINDOW / request_windows.SLICES_PER_WINDOW


def _limit(requests, tolerance=0.0, overrun=0.0):
    return quotas.Limit(requests, overrun, tolerance, WINDOW)


def _make(limit, statistics=None):
    account = quotas.Account(
        WINDOW, statistics or program_statistics.ProgramStatistics()
    )
    account.set_limit(_limit(limit), 1)
    return account


def _find_max_count(times):
    """Return the highest number of times within any window."""
    times = sorted(times)
    return max(
        (
            bisect.bisect_left(times, start + WINDOW) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )


# Pauses in seconds and numbers of programs or instances.
_REQUESTS = strategies.lists(
    strategies.tuples(strategies.floats(0.0, 0.4), strategies.integers(0, 6)),
    max_size=200,
)


_settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60
)


def test_no_window_holds_more_than_the_limit(case):
    @_settings
    @hypothesis.given(_REQUESTS, strategies.integers(1, 30))
    def check(requests, limit):
        account = _make(limit)
        now, admitted = 100.0, []
        for pause, program in requests:
            now += pause
            request = quotas.AdmissionRequest(f'p{program}', 'r')
            if (
                account.request_admission('i', request, now)
                == quotas.Admitted()
            ):
                admitted.append(now)
        case.assertLessEqual(_find_max_count(admitted), limit)

    check()


def test_limit_holds_if_all_instances_report_to_a_new_coordinator(case):
    """Coordinators fail; instances report their usage again in any order."""
    limit = 20

    @_settings
    @hypothesis.given(
        _REQUESTS, strategies.lists(strategies.integers(1, 199), max_size=3)
    )
    def check(requests, losses):
        account = _make(limit)
        now, admitted = 100.0, []
        for number, (pause, instance) in enumerate(requests):
            now += pause
            if number in losses:
                account = _make(limit)
                for at, reporter in reversed(admitted):
                    account.window.add(reporter, at, 1)
            request = quotas.AdmissionRequest(f'p{number % 7}', 'r')
            if (
                account.request_admission(f'i{instance}', request, now)
                == quotas.Admitted()
            ):
                admitted.append((now, f'i{instance}'))
        case.assertLessEqual(
            _find_max_count([at for at, _ in admitted]), limit
        )

    check()


def test_restored_counts_and_their_reports_count_once(case):
    """A new coordinator restores saved counts and gets reports on them."""
    before, after = _make(100), _make(100)
    for number in range(30):
        before.window.add(f'i{number % 3}', 10.0 + number * 0.1, 1)
    after.window.restore(before.window.list_counts())
    for number in range(30):
        if number % 3:
            after.window.add(f'i{number % 3}', 10.0 + number * 0.1, 1)
    case.assertEqual(30, after.window.count(13.0))


def test_reporter_that_reports_all_again_counts_once(case):
    account = _make(100)
    account.window.add('i1', 10.0, 5)
    account.window.add('i2', 10.0, 5)
    account.window.remove_reporter('i1')
    account.window.add('i1', 10.0, 6)
    case.assertEqual(11, account.window.count(10.0))


def test_only_running_programs_may_exceed_the_limit(case):
    account = _make(10)
    account.set_limit(_limit(10, overrun=3), 1)
    running, new = (
        quotas.AdmissionRequest('p', 'r'),
        quotas.AdmissionRequest('q', 'r'),
    )
    decisions = [
        account.request_admission('i', running, 10.0) for _ in range(14)
    ]
    case.assertEqual(13, decisions.count(quotas.Admitted()))
    case.assertIsInstance(
        account.request_admission('i', new, 10.0), quotas.Refused
    )


def test_overrun_and_lost_counts_stay_within_the_tolerance(case):
    tolerance = quotas.Tolerance(WINDOW, 0.1, 20.0)
    limit = quotas.Limit.from_rate(10.0, 50.0, tolerance)
    case.assertEqual(100.0, limit.requests)
    case.assertAlmostEqual(30.0, limit.overrun + limit.tolerance)


def test_request_is_admitted_after_the_pause_of_a_refusal(case):
    account = _make(10)
    for number in range(10):
        account.request_admission(
            'i', quotas.AdmissionRequest('p', 'r'), 10.0 + number * 0.2
        )
    decision = account.request_admission(
        'i', quotas.AdmissionRequest('p', 'r'), 12.0
    )
    case.assertEqual(10, decision.used)
    later = 12.0 + decision.retry_after
    admitted = account.request_admission(
        'i', quotas.AdmissionRequest('p', 'r'), later + SLICE
    )
    case.assertEqual(quotas.Admitted(), admitted)


def test_older_version_of_a_limit_is_ignored(case):
    account = _make(10)
    account.set_limit(_limit(5), 3)
    account.set_limit(_limit(50), 2)
    case.assertEqual(5, account.limit.requests)


def test_reserve_covers_lost_usage_beyond_the_tolerance(case):
    """All instances were killed while the store was unavailable."""
    limit = _limit(200, 40)
    reserve = quotas.get_reserve(limit, 1.0, False)
    case.assertEqual(limit.tolerance, limit.requests - reserve)
    case.assertEqual(0.0, quotas.get_reserve(limit, 1.0, True))
    case.assertEqual(0.0, quotas.get_reserve(limit, 0.2, False))


# An overloaded organisation starts five times as many programs as its limit
# allows.
PROGRAM_REQUESTS = (8, 16)
REQUEST_INTERVAL_SECONDS = 0.15
OVERLOAD_LIMIT = 100
OVERLOAD_FACTOR = 5.0
SECONDS = 60.0


def _simulate_overload(account, seed, is_by_request=False):
    """Return the programs ended and started, and the times of admission."""
    rng = random.Random(seed)
    mean = sum(PROGRAM_REQUESTS) / 2
    start_rate = OVERLOAD_FACTOR * OVERLOAD_LIMIT / WINDOW / mean
    queue, now, name = [], 100.0, 0
    while now < 100.0 + SECONDS:
        now += rng.expovariate(start_rate)
        name += 1
        count = rng.randint(*PROGRAM_REQUESTS)
        heapq.heappush(queue, (now, f'p{name}', count))
    ended, admitted = 0, []
    while queue:
        now, program, left = heapq.heappop(queue)
        if is_by_request:
            is_admitted = account.window.count(now) < OVERLOAD_LIMIT
            account.window.add('i', now, int(is_admitted))
        else:
            decision = account.request_admission(
                'i', quotas.AdmissionRequest(program, 'r'), now
            )
            is_admitted = decision == quotas.Admitted()
        if not is_admitted:
            continue
        admitted.append(now)
        if left == 1:
            ended += 1
            continue
        later = now + rng.expovariate(1 / REQUEST_INTERVAL_SECONDS)
        heapq.heappush(queue, (later, program, left - 1))
    return ended, name, admitted


def test_overloaded_organisation_completes_programs_up_to_its_limit(case):
    """Admission by request alone would let few programs end."""
    ended, started, admitted = _simulate_overload(_make(OVERLOAD_LIMIT), 1)
    expected = OVERLOAD_LIMIT * SECONDS / WINDOW / (sum(PROGRAM_REQUESTS) / 2)
    case.assertLessEqual(_find_max_count(admitted), OVERLOAD_LIMIT)
    case.assertGreater(ended, expected / 2)
    by_request, _, _ = _simulate_overload(
        _make(OVERLOAD_LIMIT), 1, is_by_request=True
    )
    case.assertGreater(ended, 2 * by_request)


def test_program_in_an_endless_loop_does_not_use_up_the_limit(case):
    account = _make(OVERLOAD_LIMIT)
    now, looped = 100.0, 0
    while now < 130.0:
        now += 0.02
        decision = account.request_admission(
            'i', quotas.AdmissionRequest('loop', 'r'), now
        )
        looped += decision == quotas.Admitted()
        for number in range(2):
            request = quotas.AdmissionRequest(f'p{int(now)}-{number}', 'r')
            account.request_admission('i', request, now)
    case.assertLess(looped, 0.5 * OVERLOAD_LIMIT * 30.0 / WINDOW)


load_tests = fixtures.adapt(__name__)
