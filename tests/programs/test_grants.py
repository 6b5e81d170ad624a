"""Tests of splitting budgets into grants."""

import hypothesis
from hypothesis import strategies
import msgspec

from vanillayoke.core import decoding
from vanillayoke.core import figures
from vanillayoke.programs import grants
from vanillayoke.testing import fixtures


def test_grants_never_exceed_the_budget(case):
    """The sum of grants must not exceed the budget, for any sequence."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(1, 5000),
        strategies.lists(strategies.integers(1, 900), max_size=40),
    )
    def check(budget, needs):
        row = None
        total = 0
        for need in needs:
            grant = grants.plan_grant(row, budget, need, 'w', 0.0)
            if grant is None:
                left = budget - (row.granted if row else 0)
                case.assertGreater(need, left)
                continue
            row = grant.row
            total += grant.tokens
            case.assertGreaterEqual(grant.tokens, need)
        case.assertLessEqual(total, budget)
        case.assertEqual(total, row.granted if row else 0)

    check()


def test_allotment_never_exceeds_its_tokens(case):
    """Reservations and settlements in any order, some of them repeated."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('rs'),
                strategies.integers(0, 5),
                strategies.integers(0, 300),
            ),
            max_size=60,
        )
    )
    def check(steps):
        allotment = grants.Allotment()
        allotment.add(1000)
        in_progress = {}
        used = 0
        for step, turn, tokens in steps:
            name = f't{turn}'
            if step == 'r' and allotment.reserve(name, tokens):
                in_progress.setdefault(name, tokens)
            elif step == 's':
                spent = min(tokens, in_progress.pop(name, 0))
                allotment.settle(name, spent)
                used += spent
        case.assertLessEqual(used + allotment.reserved + allotment.free, 1000)

    check()


def test_returned_grant_can_be_granted_again(case):
    first = grants.plan_grant(None, 100, 100, 'a', 0.0)
    row = grants.plan_return(first.row, 60, 'b', 0.0)
    case.assertIsNone(grants.plan_grant(row, 100, 61, 'c', 0.0))
    case.assertEqual(60, grants.plan_grant(row, 100, 60, 'c', 0.0).tokens)


def test_lost_credit_never_exceeds_the_budget(case):
    """Grants and credit together must not exceed the budget and one turn.

    A coordinator grants tokens, gives credit and fails; the next one charges
    the maximum credit.
    """

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(1, 9000),
        strategies.integers(1, 900),
        strategies.lists(strategies.booleans(), max_size=30),
        strategies.integers(0, 30),
    )
    def check(budget, max_tokens, store_states, dies_after):
        row, owed, given, extra = None, 0, 0, 0
        for number, is_store_available in enumerate(store_states):
            if number == dies_after:
                # The next coordinator charges credit after an outage.
                extra, owed = max_tokens, 0
                if not all(store_states[:number]):
                    owed = grants.compute_charge(budget, max_tokens)
            granted = 0 if row is None else row.granted
            if is_store_available:
                base = grants.BudgetRow(budget, granted + owed, 'w', 0.0)
                grant = grants.plan_grant(
                    base, budget, max_tokens, 'w', 0.0, extra
                )
                if grant is not None:
                    row, owed = grant.row, 0
                    given += grant.tokens
            elif number < dies_after:
                tokens = grants.plan_credit(budget, granted, owed, max_tokens)
                owed += tokens
                given += tokens
        case.assertLessEqual(given, budget + max_tokens)

    check()


def test_row_of_the_largest_budget_can_be_decoded(case):
    """Tokens granted beyond it made the row of the budget unreadable."""
    budget = figures.MAX_COUNT
    row = grants.BudgetRow(budget, budget, 'w', 0.0)
    grant = grants.plan_grant(row, budget, 40, 'w', 0.0, extra=40)
    decoder = decoding.Decoder.for_msgpack(grants.BudgetRow)
    value = msgspec.msgpack.encode(grant.row)
    case.assertEqual(grant.row, decoder.decode(value))


load_tests = fixtures.adapt(__name__)
