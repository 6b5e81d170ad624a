"""Tests of opening programs and of budgets shared with sub-agents."""

from tests.programs import drivers
from vanillayoke.core import failures
from vanillayoke.programs import budget
from vanillayoke.programs import endings
from vanillayoke.programs import opening
from vanillayoke.programs import records
from vanillayoke.testing import fixtures

_KIND = failures.Kind
_SMALL = records.Budget(tokens=150, calls=9, seconds=99.0, money=99)


@fixtures.fixture
def driver():
    return drivers.Driver()


def test_repeated_open_returns_the_program(case, driver):
    program = driver.open()
    case.assertIs(program, driver.open())
    case.assertEqual(1, len(driver.segments))


def test_same_key_with_another_request_is_rejected(case, driver):
    program = driver.open()
    opened = drivers.make_opened(fingerprint='other')
    failure = opening.open_program(program, opened, (), drivers.NOW)
    case.assertEqual(_KIND.KEY_REUSED, failure.kind)
    opened = drivers.make_opened(client='shiretoko')
    failure = opening.open_program(program, opened, (), drivers.NOW)
    case.assertEqual(_KIND.NOT_FOUND, failure.kind)


def test_invalid_openings_are_rejected(case, driver):
    root = driver.open()
    negative = records.Budget(tokens=-1, calls=1, seconds=1.0, money=1)
    beyond = records.Budget(tokens=9999, calls=1, seconds=1.0, money=1)
    for kind, changes in (
        (_KIND.BAD_REQUEST, {'key': ''}),
        (_KIND.BAD_REQUEST, {'budget': negative}),
        (_KIND.DEADLINE_PASSED, {'deadline': drivers.NOW}),
        (_KIND.NOT_FOUND, {'parent': 'prg-absent'}),
        (_KIND.BAD_REQUEST, {'program': f'{root.id}.1'}),
    ):
        opened = drivers.make_opened(**{'key': 'k', **changes})
        failure = opening.open_program(None, opened, (), drivers.NOW)
        case.assertEqual(kind, failure.kind, changes)
    for kind, changes in (
        (_KIND.BAD_REQUEST, {'budget': beyond}),
        (_KIND.BAD_REQUEST, {'deadline': drivers.DEADLINE + 1}),
        (_KIND.NOT_FOUND, {'client': 'shiretoko'}),
    ):
        failure = driver.open('child', parent=root, **changes)
        case.assertEqual(kind, failure.kind, changes)
    driver.end(root)
    failure = driver.open('child', parent=root)
    case.assertEqual(_KIND.PROGRAM_ENDED, failure.kind)


def test_child_is_clamped_to_its_ancestors(case, driver):
    root = driver.open(budget=_SMALL)
    wide = drivers.make_opened('child', deadline=drivers.DEADLINE + 1)
    clamped = opening.clamp_child(wide, (root,))
    case.assertEqual(_SMALL, clamped.budget)
    case.assertEqual(drivers.DEADLINE, clamped.deadline)


def test_sub_agents_share_the_budgets_of_all_ancestors(case, driver):
    """Two concurrent sub-agents must not exceed their parent's budget.

    Each alone is within its own budget and the root's.
    """
    root = driver.open()
    middle = driver.open('middle', parent=root, budget=_SMALL)
    first, second = (
        driver.open(key, parent=middle, budget=_SMALL) for key in ('a', 'b')
    )
    case.assertIsInstance(driver.accept(first, 'k'), list)
    for ancestor in (root, middle):
        case.assertEqual(drivers.RESERVED, ancestor.reserved)
    rejected = driver.accept(second, 'k')
    case.assertEqual(_KIND.BUDGET_EXHAUSTED, rejected.kind)
    driver.intend(first)
    driver.answer(first)
    for ancestor in (root, middle):
        case.assertEqual(records.Spend(), ancestor.reserved)
        case.assertEqual(drivers.SPENT, ancestor.committed)
    small = records.Spend(tokens=90, calls=1)
    case.assertIsInstance(driver.accept(second, 'k2', reserved=small), list)


def test_end_includes_all_sub_agents(case, driver):
    root = driver.open()
    child = driver.open('child', parent=root)
    leaf = driver.open('leaf', parent=child)
    sibling = driver.open('sibling', parent=root)
    driver.accept(leaf, 'k')
    driver.end(child)
    active = [program.is_active for program in (root, child, leaf, sibling)]
    case.assertEqual([True, False, False, True], active)
    case.assertEqual(records.Spend(), root.reserved)


def test_child_of_an_ended_program_takes_no_calls(case, driver):
    root = driver.open()
    child = driver.open('child', parent=root)
    driver.apply(endings.end_program(root, (), 'ended', 1, drivers.NOW))
    rejected = driver.accept(child, 'k')
    case.assertEqual(_KIND.PROGRAM_ENDED, rejected.kind)


def test_child_without_its_parent_takes_no_calls(case, driver):
    """Nothing can be drawn on the budget of a root that is not in memory."""
    root = driver.open()
    child = driver.open('child', parent=root)
    del driver.programs[root.id]
    rejected = driver.accept(child, 'k')
    case.assertEqual(_KIND.PROGRAM_ENDED, rejected.kind)


def test_negative_reservation_is_rejected(case, driver):
    """A negative reservation would increase the remaining budget."""
    program = driver.open()
    rejected = driver.accept(program, 'k', reserved=records.Spend(tokens=-1))
    case.assertEqual(_KIND.BAD_REQUEST, rejected.kind)


def test_overspent_budget_allows_no_more_calls(case, driver):
    """A service may charge more than was reserved."""
    program = driver.open()
    driver.accept(program, 'k1')
    driver.answer(program, spent=records.Spend(calls=1, money=1001))
    free = records.Spend(calls=1)
    rejected = driver.accept(program, 'k2', reserved=free)
    case.assertEqual(_KIND.BUDGET_EXHAUSTED, rejected.kind)
    case.assertIn('money', rejected.reason)


def test_ledger_keys_count_once(case):
    ledger = budget.Ledger(drivers.BUDGET)
    for _ in range(2):
        ledger.reserve('p/1', drivers.RESERVED)
    case.assertEqual(900, ledger.remaining().tokens)
    for _ in range(2):
        ledger.settle('p/1', drivers.SPENT)
    ledger.reserve('p/1', drivers.RESERVED)
    case.assertEqual(940, ledger.remaining().tokens)


def test_reservation_of_a_model_call_rounds_money_up(case):
    reserved = budget.reserve_model_call(100, 1, 2.0, 10_000)
    expected = records.Spend(tokens=101, calls=1, seconds=2.0, money=2)
    case.assertEqual(expected, reserved)


load_tests = fixtures.adapt(__name__)
