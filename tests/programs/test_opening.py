"""Tests of opening programs and of budgets that sub-agents share."""

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


def test_repeated_open_gives_the_program(case, driver):
    program = driver.open()
    case.assertIs(program, driver.open())
    case.assertEqual(1, len(driver.segments))


def test_same_key_with_another_request_is_refused(case, driver):
    program = driver.open()
    opened = drivers.make_opened(fingerprint='other')
    failure = opening.open_program(program, opened, (), drivers.NOW)
    case.assertEqual(_KIND.KEY_REUSED, failure.kind)
    opened = drivers.make_opened(client='shiretoko')
    failure = opening.open_program(program, opened, (), drivers.NOW)
    case.assertEqual(_KIND.NOT_FOUND, failure.kind)


def test_openings_that_cannot_be(case, driver):
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


def test_child_is_cut_to_its_ancestors(case, driver):
    root = driver.open(budget=_SMALL)
    wide = drivers.make_opened('child', deadline=drivers.DEADLINE + 1)
    cut = opening.clamp_child(wide, (root,))
    case.assertEqual(_SMALL, cut.budget)
    case.assertEqual(drivers.DEADLINE, cut.deadline)


def test_sub_agents_share_every_budget_above_them(case, driver):
    """A program spends twice its budget through its sub-agents.

    Two sub-agents of a sub-agent run at once. Each has enough left of its
    own budget and of the root's, but together they pass their parent's.
    """
    root = driver.open()
    middle = driver.open('middle', parent=root, budget=_SMALL)
    one, two = (
        driver.open(key, parent=middle, budget=_SMALL) for key in ('a', 'b')
    )
    case.assertIsInstance(driver.accept(one, 'k'), list)
    for above in (root, middle):
        case.assertEqual(drivers.RESERVED, above.reserved)
    refused = driver.accept(two, 'k')
    case.assertEqual(_KIND.BUDGET_EXHAUSTED, refused.kind)
    driver.intend(one)
    driver.answer(one)
    for above in (root, middle):
        case.assertEqual(records.Spend(), above.reserved)
        case.assertEqual(drivers.SPENT, above.committed)
    small = records.Spend(tokens=90, calls=1)
    case.assertIsInstance(driver.accept(two, 'k2', reserved=small), list)


def test_end_reaches_the_whole_tree(case, driver):
    root = driver.open()
    child = driver.open('child', parent=root)
    leaf = driver.open('leaf', parent=child)
    sibling = driver.open('sibling', parent=root)
    driver.accept(leaf, 'k')
    driver.end(child)
    active = [one.is_active for one in (root, child, leaf, sibling)]
    case.assertEqual([True, False, False, True], active)
    case.assertEqual(records.Spend(), root.reserved)


def test_child_of_an_ended_program_takes_no_calls(case, driver):
    root = driver.open()
    child = driver.open('child', parent=root)
    driver.take(endings.end_program(root, (), 'ended', 1, drivers.NOW))
    refused = driver.accept(child, 'k')
    case.assertEqual(_KIND.PROGRAM_ENDED, refused.kind)


def test_child_without_its_parent_takes_no_calls(case, driver):
    """A sub-agent spends past the root's budget.

    Its root was dropped from memory, so nothing could be drawn on it.
    """
    root = driver.open()
    child = driver.open('child', parent=root)
    del driver.known[root.id]
    refused = driver.accept(child, 'k')
    case.assertEqual(_KIND.PROGRAM_ENDED, refused.kind)


def test_negative_reservation_is_refused(case, driver):
    """A budget grows with each call, since a client asked for -1 tokens."""
    program = driver.open()
    refused = driver.accept(program, 'k', reserved=records.Spend(tokens=-1))
    case.assertEqual(_KIND.BAD_REQUEST, refused.kind)


def test_overspent_budget_takes_no_more_calls(case, driver):
    """A service that bills more than was reserved goes on being called."""
    program = driver.open()
    driver.accept(program, 'k1')
    driver.answer(program, spent=records.Spend(calls=1, money=1001))
    free = records.Spend(calls=1)
    refused = driver.accept(program, 'k2', reserved=free)
    case.assertEqual(_KIND.BUDGET_EXHAUSTED, refused.kind)
    case.assertIn('money', refused.reason)


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
