"""Tests of an organisation's limit, as one place counts it."""

import bisect
import heapq
import random

import hypothesis
from hypothesis import strategies

from vanillayoke.scheduling import quotas
from vanillayoke.testing import fixtures

WINDOW = 5.0
SLICE = WINDOW / quotas.SLICES


def _limit(requests, tolerance=0.0, overrun=0.0):
    return quotas.Limit(requests, overrun, tolerance, WINDOW)


def _make(limit, needs=None):
    account = quotas.Account(WINDOW, needs or quotas.ProgramStatistics())
    account.set_limit(_limit(limit), 1)
    return account


def _find_most(times):
    """Return the most of some moments in any window."""
    times = sorted(times)
    return max(
        (
            bisect.bisect_left(times, start + WINDOW) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )


_SENDING = strategies.lists(
    strategies.tuples(strategies.floats(0.0, 0.4), strategies.integers(0, 6)),
    max_size=200,
)


_settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60
)


def test_no_window_holds_more_than_the_limit(case):
    @_settings
    @hypothesis.given(_SENDING, strategies.integers(1, 30))
    def check(sending, limit):
        account = _make(limit)
        now, admitted = 100.0, []
        for pause, program in sending:
            now += pause
            asked = quotas.AdmissionRequest(f'p{program}', 'r')
            if account.request_admission('i', asked, now) == quotas.Admitted():
                admitted.append(now)
        case.assertLessEqual(_find_most(admitted), limit)

    check()


def test_next_home_admits_no_more_if_all_tell_it_anew(case):
    """Homes are lost; the next one hears from each instance, in any order."""
    limit = 20

    @_settings
    @hypothesis.given(
        _SENDING, strategies.lists(strategies.integers(1, 199), max_size=3)
    )
    def check(sending, losses):
        account = _make(limit)
        now, admitted = 100.0, []
        for number, (pause, instance) in enumerate(sending):
            now += pause
            if number in losses:
                account = _make(limit)
                for at, reporter in reversed(admitted):
                    account.window.add(reporter, at, 1)
            asked = quotas.AdmissionRequest(f'p{number % 7}', 'r')
            if (
                account.request_admission(f'i{instance}', asked, now)
                == quotas.Admitted()
            ):
                admitted.append((now, f'i{instance}'))
        case.assertLessEqual(_find_most([at for at, _ in admitted]), limit)

    check()


def test_inherited_counts_and_their_reports_count_once(case):
    """A home reads its predecessor's row, and instances tell it their part."""
    before, after = _make(100), _make(100)
    for number in range(30):
        before.window.add(f'i{number % 3}', 10.0 + number * 0.1, 1)
    after.window.restore(before.window.list_counts())
    for number in range(30):
        if number % 3:
            after.window.add(f'i{number % 3}', 10.0 + number * 0.1, 1)
    case.assertEqual(30, after.window.count(13.0))


def test_reporter_that_tells_all_anew_counts_once(case):
    account = _make(100)
    account.window.add('i1', 10.0, 5)
    account.window.add('i2', 10.0, 5)
    account.window.remove_reporter('i1')
    account.window.add('i1', 10.0, 6)
    case.assertEqual(11, account.window.count(10.0))


def test_only_programs_that_have_begun_run_over_the_limit(case):
    account = _make(10)
    account.set_limit(_limit(10, overrun=3), 1)
    begun, new = (
        quotas.AdmissionRequest('p', 'r'),
        quotas.AdmissionRequest('q', 'r'),
    )
    found = [account.request_admission('i', begun, 10.0) for _ in range(14)]
    case.assertEqual(13, found.count(quotas.Admitted()))
    case.assertIsInstance(
        account.request_admission('i', new, 10.0), quotas.Refused
    )


def test_overrun_and_what_is_lost_stay_within_what_is_tolerated(case):
    tolerance = quotas.Tolerance(WINDOW, 0.1, 20.0)
    limit = quotas.Limit.from_rate(10.0, 50.0, tolerance)
    case.assertEqual(100.0, limit.requests)
    case.assertAlmostEqual(30.0, limit.overrun + limit.tolerance)


def test_pause_ends_when_there_is_room(case):
    account = _make(10)
    for number in range(10):
        account.request_admission(
            'i', quotas.AdmissionRequest('p', 'r'), 10.0 + number * 0.2
        )
    found = account.request_admission(
        'i', quotas.AdmissionRequest('p', 'r'), 12.0
    )
    case.assertEqual(10, found.used)
    later = 12.0 + found.retry_after
    admitted = account.request_admission(
        'i', quotas.AdmissionRequest('p', 'r'), later + SLICE
    )
    case.assertEqual(quotas.Admitted(), admitted)


def test_older_version_of_a_limit_does_not_come_back(case):
    account = _make(10)
    account.set_limit(_limit(5), 3)
    account.set_limit(_limit(50), 2)
    case.assertEqual(5, account.limit.requests)


def test_what_is_lost_without_a_trace_leaves_the_tolerance(case):
    """All instances were killed while the store is away."""
    limit = _limit(200, 40)
    reserve = quotas.get_reserve(limit, 1.0, False)
    case.assertEqual(limit.tolerance, limit.requests - reserve)
    case.assertEqual(0.0, quotas.get_reserve(limit, 1.0, True))
    case.assertEqual(0.0, quotas.get_reserve(limit, 0.2, False))


# A hot organisation: programs of some 12 requests, one every 0.15 s or so,
# begin five times as often as the limit can carry.
PROGRAM_REQUESTS = (8, 16)
PROGRAM_PAUSE = 0.15
HOT_LIMIT = 100
HOT_TIMES = 5.0
SECONDS = 60.0


def _play_hot(account, seed, is_by_request=False):
    """Return the programs ended and begun, and all admitted moments."""
    source = random.Random(seed)
    mean = sum(PROGRAM_REQUESTS) / 2
    starts = HOT_TIMES * HOT_LIMIT / WINDOW / mean
    queue, now, name = [], 100.0, 0
    while now < 100.0 + SECONDS:
        now += source.expovariate(starts)
        name += 1
        need = source.randint(*PROGRAM_REQUESTS)
        heapq.heappush(queue, (now, f'p{name}', need))
    ended, admitted = 0, []
    while queue:
        now, program, left = heapq.heappop(queue)
        if is_by_request:
            is_admitted = account.window.count(now) < HOT_LIMIT
            account.window.add('i', now, int(is_admitted))
        else:
            found = account.request_admission(
                'i', quotas.AdmissionRequest(program, 'r'), now
            )
            is_admitted = found == quotas.Admitted()
        if not is_admitted:
            continue
        admitted.append(now)
        if left == 1:
            ended += 1
            continue
        later = now + source.expovariate(1 / PROGRAM_PAUSE)
        heapq.heappush(queue, (later, program, left - 1))
    return ended, name, admitted


def test_hot_organisation_ends_the_programs_that_its_limit_carries(case):
    """Many more programs begin than the limit holds requests for."""
    ended, begun, admitted = _play_hot(_make(HOT_LIMIT), 1)
    carried = HOT_LIMIT * SECONDS / WINDOW / (sum(PROGRAM_REQUESTS) / 2)
    case.assertLessEqual(_find_most(admitted), HOT_LIMIT)
    case.assertGreater(ended, carried / 2)
    by_request, _, _ = _play_hot(_make(HOT_LIMIT), 1, is_by_request=True)
    case.assertGreater(ended, 2 * by_request)


def test_program_that_loops_leaves_room_for_others(case):
    """One program of a hot organisation never ends."""
    account = _make(HOT_LIMIT)
    now, looped = 100.0, 0
    while now < 130.0:
        now += 0.02
        found = account.request_admission(
            'i', quotas.AdmissionRequest('loop', 'r'), now
        )
        looped += found == quotas.Admitted()
        for number in range(2):
            asked = quotas.AdmissionRequest(f'p{int(now)}-{number}', 'r')
            account.request_admission('i', asked, now)
    case.assertLess(looped, 0.5 * HOT_LIMIT * 30.0 / WINDOW)


load_tests = fixtures.adapt(__name__)
