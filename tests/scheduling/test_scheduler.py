"""Tests of the scheduler through its public methods."""

import random

from tests.scheduling import samples
from vanillayoke.core import failures
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import scheduler
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures


def _make_scheduler(targets, **changes) -> scheduler.Scheduler:
    sched = scheduler.Scheduler.from_config(
        configuration.PolicySettings(**changes), 'a', 'r', random.Random(1)
    )
    sched.set_targets(targets)
    return sched


@fixtures.fixture
def sched():
    return _make_scheduler(
        [samples.make_engine('e1'), samples.make_engine('e2')]
    )


def _outcome(call: str, target: str, state: str = 'answered'):
    return calls.Outcome(call, target, state, 0.5, 1200, 0, 100)


def _submit(sched, call: str, now: float, **changes) -> list:
    changes = {'accepted_at': now, 'deadline': now + 60.0} | changes
    sched.submit(samples.make_demand(call, **changes), now)
    return sched.decide(now)


def _place_one(sched, call: str, now: float, **changes) -> str:
    decisions = _submit(sched, call, now, **changes)
    placements = [d for d in decisions if isinstance(d, calls.Placement)]
    (placement,) = placements
    return placement.target


def _list_releases(decisions) -> list:
    return [d for d in decisions if isinstance(d, calls.CacheRelease)]


def test_later_turn_is_placed_on_the_engine_with_its_prefix(case, sched):
    target = _place_one(sched, 'c1', 0.0)
    sched.finish(_outcome('c1', target), 1.0)
    again = _place_one(sched, 'c2', 2.0, prefix_tokens=1300, attained=0.5)
    case.assertEqual(target, again)


def test_running_first_calls_do_not_count_as_backlog(case):
    """Programs must not be refused while engines have free slots."""
    big = samples.make_engine('big', slots=1024, cache_tokens=10**8)
    sched = _make_scheduler([big])
    sched.observe_report(samples.make_report('big', 0.0, cache_size=10**8))
    for number in range(200):
        name = f'prg-{number}'
        _place_one(sched, name, 1.0, program=name, root=name)


def test_leaving_target_gets_no_calls(case, sched):
    """A cached prefix must not attract calls to an engine that shuts down."""
    target = _place_one(sched, 'c1', 0.0)
    sched.finish(_outcome('c1', target), 1.0)
    sched.mark_leaving(target)
    sched.observe_report(samples.make_report(target, 1.5, leaving=False))
    for number in range(50):
        again = _place_one(
            sched, f'd{number}', 2.0, prefix_tokens=1300, attained=0.5
        )
        case.assertNotEqual(target, again)


def test_release_is_repeated_until_confirmed(case, sched):
    """The memory of ended programs would leak if a release were lost."""
    target = _place_one(sched, 'c1', 0.0)
    sched.finish(_outcome('c1', target), 1.0)
    sched.end('prg-1', 2.0)
    release = calls.CacheRelease(target, 'prg-1')
    case.assertEqual([release], sched.decide(2.0))
    case.assertEqual([], sched.decide(2.1))
    wake = sched.next_wake(2.1)
    case.assertLessEqual(wake, 7.0)
    case.assertEqual([release], sched.decide(wake))
    sched.release_confirmed(target, 'prg-1')
    case.assertIsNone(sched.next_wake(wake))
    case.assertEqual([], sched.decide(wake + 60.0))


def test_new_owner_releases_memory_held_by_the_previous_owner(case, sched):
    """The new owner ends a program of which it has not placed any call."""
    sched.hold('e2', 'prg-9')
    sched.end('prg-9', 1.0)
    case.assertEqual([calls.CacheRelease('e2', 'prg-9')], sched.decide(1.0))


def test_lost_cache_events_are_reconciled(case, sched):
    """The event of an eviction and the confirmation of a release are lost."""
    target = _place_one(sched, 'c1', 0.0)
    sched.finish(_outcome('c1', target), 1.0)
    sched.hold(target, 'prg-9')
    sched.end('prg-9', 1.0)
    case.assertEqual(1, len(_list_releases(sched.decide(1.0))))
    sched.observe_gap(target)
    sched.reconcile(target, {}, 0.5)
    case.assertIn('1300 of 1300 tokens cached', sched.explain('prg-1'))
    case.assertEqual(1, len(_list_releases(sched.decide(3.0))))
    sched.reconcile(target, {}, 4.0)
    case.assertIn(' 0 of 1300 tokens cached', sched.explain('prg-1'))
    case.assertEqual([], _list_releases(sched.decide(9.0)))


def test_late_eviction_event_is_ignored_during_a_call(case, sched):
    target = _place_one(sched, 'c1', 0.0)
    sched.observe_cache(target, 'prg-1', 0, 'evicted')
    case.assertIn('1300 of 1300 tokens cached', sched.explain('prg-1'))
    sched.finish(_outcome('c1', target), 1.0)
    sched.observe_cache(target, 'prg-1', 0, 'evicted')
    case.assertIn(' 0 of 1300 tokens cached', sched.explain('prg-1'))


def test_no_state_of_ended_programs_remains(case, sched):
    for number in range(200):
        name = f'prg-{number}'
        target = _place_one(
            sched, f'{name}/1', number, program=name, root=name
        )
        sched.finish(_outcome(f'{name}/1', target), number)
        sched.pause(name, 'lookup', number)
        sched.end(name, number)
        for release in _list_releases(sched.decide(number)):
            sched.release_confirmed(release.target, release.program)
    sched.decide(10_000.0)
    case.assertIsNone(sched.next_wake(10_000.0))
    case.assertIn('not known', sched.explain('prg-7'))
    case.assertEqual({}, sched._forest._trees)
    view = sched._targets.get('e1')
    case.assertEqual((0, set()), (view.own_cache_tokens, view.own_calls))


def test_call_without_available_target_is_refused_at_once(case, sched):
    decisions = _submit(sched, 'c1', 0.0, avoid=frozenset(('e1', 'e2')))
    (refusal,) = decisions
    case.assertEqual(failures.Kind.NO_TARGET, refusal.failure.kind)
    case.assertEqual([], sched.decide(1.0))


def _make_full(sched) -> None:
    for target in ('e1', 'e2'):
        report = samples.make_report(
            target, 0.0, running=16, waiting=60, cache_used=200_000
        )
        sched.observe_report(report)


def test_calls_are_refused_at_once_under_overload(case, sched):
    """Callers must not wait until their deadline to be refused.

    Refused calls must not be sent later.
    """
    sched.set_instances(100)
    _make_full(sched)
    refusals, waiting, sent = [], set(), set()
    for number in range(200):
        name = f'prg-{number}'
        decisions = _submit(sched, name, number / 100, program=name, root=name)
        waiting.add(name)
        for decision in decisions:
            match decision:
                case calls.Refusal(call):
                    refusals.append((number / 100, decision))
                    waiting.discard(call)
                case calls.Placement(call):
                    sent.add(call)
    kinds = {refusal.failure.kind for _, refusal in refusals}
    case.assertEqual({failures.Kind.OVERLOADED}, kinds)
    case.assertTrue(all(r.failure.retry_after > 0 for _, r in refusals))
    refused = {refusal.call for _, refusal in refusals}
    case.assertEqual(set(), refused & sent)
    later = [d.call for d in sched.decide(59.0)]
    case.assertEqual(set(), refused & set(later))
    case.assertLess(refusals[0][0], 2.0)


def test_stale_reports_do_not_cause_herding(case):
    """Instances with the same old report must not all choose one engine."""
    sent = {f'e{number}': 0 for number in range(5)}
    for instance in range(12):
        sched = scheduler.Scheduler.from_config(
            configuration.PolicySettings(), 'a', 'r', random.Random(instance)
        )
        sched.set_targets([samples.make_engine(name) for name in sent])
        sched.set_instances(12)
        for name in sent:
            running = 0 if name == 'e0' else 6
            sched.observe_report(
                samples.make_report(name, 0.0, running=running)
            )
        for number in range(10):
            program = f'prg-{instance}-{number}'
            target = _place_one(
                sched, program, 0.1, program=program, root=program
            )
            sent[target] += 1
    case.assertEqual(120, sum(sent.values()))
    case.assertLessEqual(sent['e0'], 72)
    case.assertGreaterEqual(min(sent.values()), 6)


def test_urgent_program_starts_while_others_wait(case, sched):
    sched.set_instances(100)
    for target in ('e1', 'e2'):
        report = samples.make_report(
            target, 0.0, running=16, waiting=2, cache_used=200_000
        )
        sched.observe_report(report)
    for number in range(5):
        name = f'prg-{number}'
        _submit(sched, name, 0.0, program=name, root=name)
    (placement,) = _submit(
        sched, 'now', 0.1, program='prg-u', root='prg-u', urgent=True
    )
    case.assertEqual('now', placement.call)
    case.assertLess(placement.priority, 0)


def test_sub_agent_shares_admission_and_service_of_its_root(case, sched):
    _place_one(sched, 'c1', 0.0)
    _make_full(sched)
    child = samples.make_demand(
        'k1', program='prg-1.aa', root='prg-1', attained=5.0
    )
    sched.submit(child, 1.0)
    (placement,) = sched.decide(1.0)
    other = samples.make_demand('k2', program='prg-2', root='prg-2')
    sched.submit(other._replace(attained=0.1), 1.0)
    (second,) = sched.decide(1.0)
    case.assertLess(placement.priority, second.priority)


def test_failing_target_gets_one_probe_at_a_time(case):
    """A recovering engine must not get all waiting calls at once."""
    sched = _make_scheduler([samples.make_engine('e1')])
    for number in range(3):
        _place_one(sched, f'c{number}', 0.0, attained=1.0)
        sched.finish(_outcome(f'c{number}', 'e1', 'failed'), 0.0)
    (refusal,) = _submit(sched, 'c4', 0.1, attained=1.0)
    case.assertEqual(failures.Kind.NO_TARGET, refusal.failure.kind)
    _place_one(sched, 'c5', 2.0, attained=1.0)
    (refusal,) = _submit(sched, 'c6', 2.0, attained=1.0)
    case.assertEqual(failures.Kind.NO_TARGET, refusal.failure.kind)
    sched.finish(_outcome('c5', 'e1'), 2.5)
    _place_one(sched, 'c7', 2.6, attained=1.0)


def test_refused_calls_open_the_breaker_of_a_target(case):
    """Calls would use up their attempts while an engine restarts."""
    sched = _make_scheduler([samples.make_engine('e1')])
    for number in range(3):
        _place_one(sched, f'c{number}', 0.0, attained=1.0)
        sched.finish(_outcome(f'c{number}', 'e1', 'refused'), 0.0)
    (refusal,) = _submit(sched, 'c4', 0.1, attained=1.0)
    case.assertEqual(failures.Kind.NO_TARGET, refusal.failure.kind)


def test_cancelled_calls_do_not_open_the_breaker_of_a_target(case):
    sched = _make_scheduler([samples.make_engine('e1')])
    for number in range(9):
        _place_one(sched, f'c{number}', 0.0, attained=1.0)
        sched.finish(_outcome(f'c{number}', 'e1', 'cancelled'), 0.0)


def test_service_limit_holds_and_reserves_capacity_for_urgent_calls(case):
    sched = _make_scheduler([samples.make_service('s1')], urgent_reserve=0.25)
    placed = []
    for number in range(6):
        placed += _submit(sched, f't{number}', 0.0, model='', group='stock')
    case.assertEqual(['t0', 't1', 't2'], [p.call for p in placed])
    (urgent,) = _submit(sched, 'u', 0.0, model='', group='stock', urgent=True)
    case.assertEqual('u', urgent.call)
    sched.finish(_outcome('t0', 's1'), 1.0)
    sched.finish(_outcome('u', 's1'), 1.0)
    case.assertEqual(['t3'], [p.call for p in sched.decide(1.0)])


def test_call_after_a_withdrawn_service_call_is_placed(case):
    """The only wake-up must not go to the withdrawn call."""
    sched = _make_scheduler([samples.make_service('s1')._replace(slots=1)])
    for call in ('t0', 't1', 't2'):
        _submit(sched, call, 0.0, model='', group='stock')
    sched.withdraw('t1')
    sched.finish(_outcome('t0', 's1'), 1.0)
    case.assertEqual(['t2'], [p.call for p in sched.decide(1.0)])


def test_client_with_many_programs_does_not_starve_another(case, sched):
    sched.set_instances(12)
    _make_full(sched)
    for number in range(40):
        name = f'prg-{number}'
        _submit(sched, name, 0.0, program=name, root=name, client='loud')
    _submit(sched, 'q', 0.1, program='prg-q', root='prg-q', client='quiet')
    started = []
    for step in range(1, 6):
        for target in ('e1', 'e2'):
            sched.observe_report(samples.make_report(target, step))
        for decision in sched.decide(step):
            started.append(decision.call)
            sched.finish(_outcome(decision.call, decision.target), step + 0.1)
    case.assertIn('q', started[:4])


load_tests = fixtures.adapt(__name__)
