"""Tests of the scheduler as a whole, through its public methods."""

import random

from tests.scheduling import samples
from vanillayoke.core import failures
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import scheduler
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures


def _make_scheduler(targets, **changes) -> scheduler.Scheduler:
    made = scheduler.Scheduler.from_config(
        configuration.PolicySettings(**changes), 'a', 'r', random.Random(1)
    )
    made.set_targets(targets)
    return made


@fixtures.fixture
def engines():
    return _make_scheduler(
        [samples.make_engine('e1'), samples.make_engine('e2')]
    )


def _outcome(call: str, target: str, state: str = 'answered'):
    return calls.Outcome(call, target, state, 0.5, 1200, 0, 100)


def _submit(engines, call: str, now: float, **changes) -> list:
    changes = {'accepted_at': now, 'deadline': now + 60.0} | changes
    engines.submit(samples.make_demand(call, **changes), now)
    return engines.decide(now)


def _place_one(engines, call: str, now: float, **changes) -> str:
    decisions = _submit(engines, call, now, **changes)
    placements = [d for d in decisions if isinstance(d, calls.Placement)]
    (placement,) = placements
    return placement.target


def _list_releases(decisions) -> list:
    return [d for d in decisions if isinstance(d, calls.CacheRelease)]


def test_later_turn_returns_to_the_engine_with_its_prefix(case, engines):
    target = _place_one(engines, 'c1', 0.0)
    engines.finish(_outcome('c1', target), 1.0)
    again = _place_one(engines, 'c2', 2.0, prefix_tokens=1300, attained=0.5)
    case.assertEqual(target, again)


def test_running_first_calls_are_no_backlog(case):
    """A program is refused as overloaded though engines are half empty.

    Many programs' first calls run, each for many seconds. None of them
    waits, so the next program can start at once.
    """
    big = samples.make_engine('big', slots=1024, cache_tokens=10**8)
    engines = _make_scheduler([big])
    engines.observe_report(samples.make_report('big', 0.0, cache_size=10**8))
    for number in range(200):
        name = f'prg-{number}'
        _place_one(engines, name, 1.0, program=name, root=name)


def test_leaving_target_gets_nothing(case, engines):
    """A program fails in the middle of a planned stop of its engine.

    The engine says that it leaves; a call of a program that lives there
    comes; it is sent there all the same and dies with the engine. Cause:
    the pull of the cached prefix won over the mark.
    """
    target = _place_one(engines, 'c1', 0.0)
    engines.finish(_outcome('c1', target), 1.0)
    engines.mark_leaving(target)
    engines.observe_report(samples.make_report(target, 1.5, leaving=False))
    for number in range(50):
        again = _place_one(
            engines, f'd{number}', 2.0, prefix_tokens=1300, attained=0.5
        )
        case.assertNotEqual(target, again)


def test_release_is_given_until_confirmed(case, engines):
    """An engine stays full of programs that ended hours ago.

    A program ends, its one release is lost with a broken connection, and
    nothing ever names the program again. Cause: a release given once.
    """
    target = _place_one(engines, 'c1', 0.0)
    engines.finish(_outcome('c1', target), 1.0)
    engines.end('prg-1', 2.0)
    release = calls.CacheRelease(target, 'prg-1')
    case.assertEqual([release], engines.decide(2.0))
    case.assertEqual([], engines.decide(2.1))
    wake = engines.next_wake(2.1)
    case.assertLessEqual(wake, 7.0)
    case.assertEqual([release], engines.decide(wake))
    engines.release_confirmed(target, 'prg-1')
    case.assertIsNone(engines.next_wake(wake))
    case.assertEqual([], engines.decide(wake + 60.0))


def test_new_owner_releases_what_the_old_one_held(case, engines):
    """Engine memory stays for good after an owner died.

    The old owner held memory for a program; the new owner ends it without
    ever having placed a call of it. Cause: only own placements are freed.
    """
    engines.hold('e2', 'prg-9')
    engines.end('prg-9', 1.0)
    case.assertEqual([calls.CacheRelease('e2', 'prg-9')], engines.decide(1.0))


def test_gapped_events_are_reconciled(case, engines):
    """A program's turns stay slow, and a release is repeated for ever.

    An eviction's event and a release's confirmation are lost; the engine's
    own list shows neither program. Cause: only events change the belief.
    """
    target = _place_one(engines, 'c1', 0.0)
    engines.finish(_outcome('c1', target), 1.0)
    engines.hold(target, 'prg-9')
    engines.end('prg-9', 1.0)
    case.assertEqual(1, len(_list_releases(engines.decide(1.0))))
    engines.observe_gap(target)
    engines.reconcile(target, {}, 0.5)
    case.assertIn('1300 of 1300 tokens cached', engines.explain('prg-1'))
    case.assertEqual(1, len(_list_releases(engines.decide(3.0))))
    engines.reconcile(target, {}, 4.0)
    case.assertIn(' 0 of 1300 tokens cached', engines.explain('prg-1'))
    case.assertEqual([], _list_releases(engines.decide(9.0)))


def test_late_eviction_event_does_not_undo_a_running_call(case, engines):
    target = _place_one(engines, 'c1', 0.0)
    engines.observe_cache(target, 'prg-1', 0, 'evicted')
    case.assertIn('1300 of 1300 tokens cached', engines.explain('prg-1'))
    engines.finish(_outcome('c1', target), 1.0)
    engines.observe_cache(target, 'prg-1', 0, 'evicted')
    case.assertIn(' 0 of 1300 tokens cached', engines.explain('prg-1'))


def test_nothing_is_kept_of_ended_programs(case, engines):
    for number in range(200):
        name = f'prg-{number}'
        target = _place_one(
            engines, f'{name}/1', number, program=name, root=name
        )
        engines.finish(_outcome(f'{name}/1', target), number)
        engines.pause(name, 'lookup', number)
        engines.end(name, number)
        for release in _list_releases(engines.decide(number)):
            engines.release_confirmed(release.target, release.program)
    engines.decide(10_000.0)
    case.assertIsNone(engines.next_wake(10_000.0))
    case.assertIn('not known', engines.explain('prg-7'))
    case.assertEqual({}, engines._forest._trees)
    view = engines._targets.get('e1')
    case.assertEqual((0, set()), (view.kept, view.own))


def test_no_target_is_refused_at_once(case, engines):
    decisions = _submit(engines, 'c1', 0.0, avoid=frozenset(('e1', 'e2')))
    (refusal,) = decisions
    case.assertEqual(failures.Kind.NO_TARGET, refusal.failure.kind)
    case.assertEqual([], engines.decide(1.0))


def _make_full(engines) -> None:
    for target in ('e1', 'e2'):
        report = samples.make_report(
            target, 0.0, running=16, waiting=60, cache_used=200_000
        )
        engines.observe_report(report)


def test_overload_is_refused_at_once_and_truthfully(case, engines):
    """A caller waits a minute only to be told that there is no room.

    Engines are full and stay so; programs queue until one cannot start
    before its deadline; it is refused when the deadline is near. Cause: the
    backlog is not looked at when a call comes.
    """
    engines.set_instances(100)
    _make_full(engines)
    refusals, waiting, sent = [], set(), set()
    for number in range(200):
        name = f'prg-{number}'
        decisions = _submit(
            engines, name, number / 100, program=name, root=name
        )
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
    later = [d.call for d in engines.decide(59.0)]
    case.assertEqual(set(), refused & set(later))
    case.assertLess(refusals[0][0], 2.0)


def test_stale_load_does_not_herd(case):
    """One engine gets every new program for two seconds, then the next.

    Twelve instances read the same report, two seconds old, that shows one
    idle engine among loaded ones; all send there. Cause: each takes the
    reported least load for the load now.
    """
    sent = {f'e{number}': 0 for number in range(5)}
    for instance in range(12):
        made = scheduler.Scheduler.from_config(
            configuration.PolicySettings(), 'a', 'r', random.Random(instance)
        )
        made.set_targets([samples.make_engine(name) for name in sent])
        made.set_instances(12)
        for name in sent:
            running = 0 if name == 'e0' else 6
            made.observe_report(
                samples.make_report(name, 0.0, running=running)
            )
        for number in range(10):
            program = f'prg-{instance}-{number}'
            target = _place_one(
                made, program, 0.1, program=program, root=program
            )
            sent[target] += 1
    case.assertEqual(120, sum(sent.values()))
    case.assertLessEqual(sent['e0'], 72)
    case.assertGreaterEqual(min(sent.values()), 6)


def test_urgent_program_starts_while_others_wait(case, engines):
    engines.set_instances(100)
    for target in ('e1', 'e2'):
        report = samples.make_report(
            target, 0.0, running=16, waiting=2, cache_used=200_000
        )
        engines.observe_report(report)
    for number in range(5):
        name = f'prg-{number}'
        _submit(engines, name, 0.0, program=name, root=name)
    (placement,) = _submit(
        engines, 'now', 0.1, program='prg-u', root='prg-u', urgent=True
    )
    case.assertEqual('now', placement.call)
    case.assertLess(placement.priority, 0)


def test_sub_agent_inherits_the_roots_start_and_service(case, engines):
    _place_one(engines, 'c1', 0.0)
    _make_full(engines)
    child = samples.make_demand(
        'k1', program='prg-1.aa', root='prg-1', attained=5.0
    )
    engines.submit(child, 1.0)
    (placement,) = engines.decide(1.0)
    other = samples.make_demand('k2', program='prg-2', root='prg-2')
    engines.submit(other._replace(attained=0.1), 1.0)
    (second,) = engines.decide(1.0)
    case.assertLess(placement.priority, second.priority)


def test_failing_target_gets_one_trial_at_a_time(case):
    """An engine that comes back is knocked over again.

    It fails three calls; a while later every waiting call is sent there at
    once. Cause: a pause that ends for all calls together.
    """
    made = _make_scheduler([samples.make_engine('e1')])
    for number in range(3):
        _place_one(made, f'c{number}', 0.0, attained=1.0)
        made.finish(_outcome(f'c{number}', 'e1', 'failed'), 0.0)
    (refusal,) = _submit(made, 'c4', 0.1, attained=1.0)
    case.assertEqual(failures.Kind.NO_TARGET, refusal.failure.kind)
    _place_one(made, 'c5', 2.0, attained=1.0)
    (refusal,) = _submit(made, 'c6', 2.0, attained=1.0)
    case.assertEqual(failures.Kind.NO_TARGET, refusal.failure.kind)
    made.finish(_outcome('c5', 'e1'), 2.5)
    _place_one(made, 'c7', 2.6, attained=1.0)


def test_target_that_refuses_is_left_alone_for_a_while(case):
    """Calls run out of attempts within a second of an engine's restart.

    The engine is down and refuses connections; each call is sent there at
    once as often as it may be and then fails. Cause: refusals did not count
    against the target, since the calls had not run.
    """
    made = _make_scheduler([samples.make_engine('e1')])
    for number in range(3):
        _place_one(made, f'c{number}', 0.0, attained=1.0)
        made.finish(_outcome(f'c{number}', 'e1', 'refused'), 0.0)
    (refusal,) = _submit(made, 'c4', 0.1, attained=1.0)
    case.assertEqual(failures.Kind.NO_TARGET, refusal.failure.kind)


def test_cancelled_calls_do_not_count_against_a_target(case):
    made = _make_scheduler([samples.make_engine('e1')])
    for number in range(9):
        _place_one(made, f'c{number}', 0.0, attained=1.0)
        made.finish(_outcome(f'c{number}', 'e1', 'cancelled'), 0.0)


def test_service_limit_holds_and_keeps_room_for_urgent(case):
    made = _make_scheduler([samples.make_service('s1')], urgent_reserve=0.25)
    placed = []
    for number in range(6):
        placed += _submit(made, f't{number}', 0.0, model='', group='stock')
    case.assertEqual(['t0', 't1', 't2'], [p.call for p in placed])
    (urgent,) = _submit(made, 'u', 0.0, model='', group='stock', urgent=True)
    case.assertEqual('u', urgent.call)
    made.finish(_outcome('t0', 's1'), 1.0)
    made.finish(_outcome('u', 's1'), 1.0)
    case.assertEqual(['t3'], [p.call for p in made.decide(1.0)])


def test_room_of_a_withdrawn_service_call_goes_to_the_next(case):
    """A fitter's stock question is never asked and times out.

    Three questions wait for a service with one place; the second is
    cancelled, the first answered, and the third waits on with the service
    idle. Cause: the one wake-up went to the cancelled call.
    """
    made = _make_scheduler([samples.make_service('s1')._replace(slots=1)])
    for call in ('t0', 't1', 't2'):
        _submit(made, call, 0.0, model='', group='stock')
    made.withdraw('t1')
    made.finish(_outcome('t0', 's1'), 1.0)
    case.assertEqual(['t2'], [p.call for p in made.decide(1.0)])


def test_client_that_floods_does_not_shut_out_another(case, engines):
    """One customer's programs wait behind another's thousand.

    A customer starts forty programs at once and another one a single
    program; it starts last. Cause: one queue for all clients.
    """
    engines.set_instances(12)
    _make_full(engines)
    for number in range(40):
        name = f'prg-{number}'
        _submit(engines, name, 0.0, program=name, root=name, client='loud')
    _submit(engines, 'q', 0.1, program='prg-q', root='prg-q', client='quiet')
    started = []
    for step in range(1, 6):
        for target in ('e1', 'e2'):
            engines.observe_report(samples.make_report(target, step))
        for decision in engines.decide(step):
            started.append(decision.call)
            engines.finish(
                _outcome(decision.call, decision.target), step + 0.1
            )
    case.assertIn('q', started[:4])


load_tests = fixtures.adapt(__name__)
