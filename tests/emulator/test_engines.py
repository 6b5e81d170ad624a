"""Tests of the simulated engine."""

from vanillayoke.emulator import engines
from vanillayoke.emulator import scenarios
from vanillayoke.testing import fixtures

SIZES = scenarios.Engines(count=1, slots=2, queue=1, step_ms=2.0, slot_ms=0.5)


@fixtures.fixture
def engine():
    return engines.Engine('e0', 'z0', SIZES)


def _make_execution(urgency=5, work=100.0, prefill=10.0):
    return engines.Execution(None, urgency, work, prefill)


def test_single_turn_takes_the_time_of_its_tokens(case, engine):
    engine.add(_make_execution(), 0.0)
    at, _ = engine.get_next_end()
    case.assertAlmostEqual(110 * 2.5 / 1000, at)


def test_each_request_of_the_batch_slows_down_all(case, engine):
    first = _make_execution()
    engine.add(first, 0.0)
    engine.add(_make_execution(), 0.1)
    at, execution = engine.get_next_end()
    case.assertIs(first, execution)
    # 40 tokens alone, the other 70 take 3 ms each.
    case.assertAlmostEqual(0.1 + 70 * 3.0 / 1000, at)


def test_more_urgent_turn_preempts_the_least_urgent(case, engine):
    """The prompt of the preempted turn has to be processed again."""
    low, high = _make_execution(8), _make_execution(4)
    engine.add(low, 0.0)
    engine.add(_make_execution(5), 0.0)
    engine.add(high, 0.03)
    case.assertIn(high, engine.running)
    case.assertEqual([low], engine.waiting)
    case.assertAlmostEqual(110 - 10 + 10, low.left)
    case.assertEqual(1, engine.preempted)


def test_equally_urgent_turn_waits(case, engine):
    for _ in range(3):
        case.assertTrue(engine.add(_make_execution(), 0.0))
    case.assertEqual(1, len(engine.waiting))
    case.assertFalse(engine.add(_make_execution(), 0.0))


def test_next_turn_starts_when_one_leaves(case, engine):
    executions = [_make_execution() for _ in range(3)]
    for execution in executions:
        engine.add(execution, 0.0)
    engine.remove(executions[0], 0.1)
    case.assertEqual(executions[1:], engine.running)


load_tests = fixtures.adapt(__name__)
