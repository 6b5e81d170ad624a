"""Tests of the checks of requests that end servers."""

from vanillayoke.soak import histories
from vanillayoke.soak import poison
from vanillayoke.soak import records
from vanillayoke.testing import fixtures


def _make_history(*added):
    history = histories.History(records.Bounds())
    for record in added:
        history.add(record)
    return history


def _start(request, at, target=None):
    return records.Started(
        at, f's{at}', 'a', request, 'GET', target or poison.make_poison(1), ''
    )


def _try(request, at, status):
    target = poison.make_sound(1)
    sent = records.Sent(at, request, 'safe', 'i1', 'GET', target, '')
    return sent, records.Answered(at + 0.1, request, status, True, '')


def test_fourth_ended_server_is_found(case):
    """Nothing remembers that servers ended under a request."""
    runs = [_start(f'a{number}', float(number)) for number in range(4)]
    case.assertEqual([], poison.check_ends(_make_history(*runs[:3]), 100.0))
    (found,) = poison.check_ends(_make_history(*runs), 100.0)
    case.assertEqual(poison.make_poison(1), found.subject)


def test_fault_allows_as_many_ends_as_it_hides(case):
    runs = [_start(f'a{number}', float(number)) for number in range(5)]
    killed = records.Disturbed(1.5, 2.0, 'kill', 'kill_instance 7')
    found = poison.check_ends(_make_history(*runs[:4], killed), 100.0)
    case.assertEqual([], found)
    found = poison.check_ends(_make_history(*runs, killed), 100.0)
    case.assertEqual(1, len(found))
    early = records.Disturbed(-9.0, -8.0, 'kill', 'kill_all 7')
    found = poison.check_ends(_make_history(*runs, early), 100.0)
    case.assertEqual(1, len(found))


def test_end_that_no_instance_sees_does_not_count(case):
    """A caller leaves at its deadline, just before its server ends."""
    runs = [_start(f'a{number}', float(number)) for number in range(3)]
    for ran_at, count in ((12.95, 0), (12.0, 1)):
        sent = records.Sent(
            10.0, 'b', 'safe', 'i1', 'GET', poison.make_poison(1), ''
        )
        left = records.Answered(13.0, 'b', 0, False)
        history = _make_history(*runs, sent, _start('b', ran_at), left)
        case.assertEqual(count, len(poison.check_ends(history, 100.0)))


def test_sound_request_that_is_never_served_is_found(case):
    """A sound request is taken for one that ends servers."""
    tries = [
        record
        for number in range(poison.MAX_SOUND_TRIES)
        for record in _try(f'a{number}', float(number), 503)
    ]
    (found,) = poison.check_sound(_make_history(*tries), 100.0)
    case.assertEqual(poison.make_sound(1), found.subject)
    served = _try('a0', 0.0, 200)
    history = _make_history(*tries, *served)
    case.assertEqual([], poison.check_sound(history, 100.0))


load_tests = fixtures.adapt(__name__)
