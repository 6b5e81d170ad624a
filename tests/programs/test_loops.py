"""Tests of runaway detection."""

from tests.programs import drivers
from vanillayoke.programs import loops
from vanillayoke.programs import records
from vanillayoke.testing import fixtures

_LIMITS = loops.RunawayLimits(
    repeats=3, window=60.0, fraction=0.2, min_calls=4
)


@fixtures.fixture
def driver():
    return drivers.Driver()


def _run_steps(driver, program, names, text='yes'):
    """Run a model that requests the named tools one after the other."""
    driver.accept(program, 'r', run='r')
    for index, name in enumerate(names):
        request = records.ToolRequest(f'c{index}', name, '{}')
        driver.intend(program)
        driver.answer(program, tools=[request], text=f'{text}{index}')
        driver.run(
            program, f't{index}', name, run='r', tool_call_id=request.id
        )
        driver.accept(program, f'm{index}', run='r', messages=())


def test_repeated_tool_step_is_a_loop(case, driver):
    """Identical tool calls are a loop even if the model's text differs."""
    program = driver.open()
    _run_steps(driver, program, ['stock', 'stock'])
    case.assertIsNone(loops.find_loop(program, 3))
    other = driver.open('other')
    _run_steps(driver, other, ['prices', 'stock', 'stock', 'stock'])
    reason = loops.find_runaway(other, _LIMITS, drivers.NOW)
    case.assertIn('1 tool', reason)


def test_cycle_of_two_steps_is_a_loop(case, driver):
    program = driver.open()
    _run_steps(driver, program, ['hold', 'free'] * 3)
    case.assertIn('2 tool', loops.find_loop(program, 3))
    case.assertIsNone(loops.find_loop(program, 4))


def test_different_steps_are_no_loop(case, driver):
    program = driver.open()
    _run_steps(driver, program, ['a', 'b', 'a', 'c', 'a', 'b', 'c', 'c'])
    case.assertIsNone(loops.find_loop(program, 3))


def test_repeated_calls_outside_a_run_are_no_loop(case, driver):
    program = driver.open()
    for index in range(5):
        driver.run(program, f'k{index}', 'stock')
    case.assertIsNone(loops.find_loop(program, 3))


def test_fast_spending_is_a_runaway(case, driver):
    program = driver.open()
    for index in range(4):
        driver.run(program, f'k{index}', 'stock')
    case.assertIn(
        'tokens', loops.find_fast_spending(program, _LIMITS, drivers.NOW)
    )
    later = drivers.NOW + 61.0
    case.assertIsNone(loops.find_fast_spending(program, _LIMITS, later))


load_tests = fixtures.adapt(__name__)
