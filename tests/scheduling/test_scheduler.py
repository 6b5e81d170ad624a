"""Tests of the scheduler as a whole, through its public methods."""

import random

from tests.scheduling import samples
from vanillayoke.core import failures
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import scheduler
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures


@fixtures.fixture
def engines():
    made = scheduler.Scheduler.from_config(
        configuration.PolicySettings(), 'a', 'r', random.Random(1)
    )
    made.set_targets([samples.make_engine('e1'), samples.make_engine('e2')])
    return made


def _outcome(call: str, target: str, state: str = 'answered'):
    return calls.Outcome(call, target, state, 0.5, 1200, 0, 100)


def _place_one(engines, call: str, now: float, **changes) -> str:
    engines.submit(samples.make_demand(call, **changes), now)
    placements = [
        decision
        for decision in engines.decide(now)
        if isinstance(decision, calls.Placement)
    ]
    (placement,) = placements
    return placement.target


def test_later_turn_returns_to_the_engine_with_its_prefix(case, engines):
    target = _place_one(engines, 'c1', 0.0)
    engines.finish(_outcome('c1', target), 1.0)
    again = _place_one(engines, 'c2', 2.0, prefix_tokens=1300, attained=0.5)
    case.assertEqual(target, again)


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
    again = _place_one(engines, 'c2', 2.0, prefix_tokens=1300, attained=0.5)
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


def test_no_target_is_refused_at_once(case, engines):
    demand = samples.make_demand('c1', avoid=frozenset(('e1', 'e2')))
    engines.submit(demand, 0.0)
    (refusal,) = engines.decide(0.0)
    case.assertEqual(failures.Kind.NO_TARGET, refusal.failure.kind)
    case.assertEqual([], engines.decide(1.0))


load_tests = fixtures.adapt(__name__)
