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


class _Coordinator:
    """Grants and credit of one instance, planned on the row that it knows."""

    def __init__(self, name, budget, is_only):
        self.name = name
        self.budget = budget
        self.is_only = is_only
        self.row = None
        self.owed = 0

    def grant(self, row, need):
        """Return the row behind a write, ``None`` if it has no room."""
        self.row = row
        known = row or grants.BudgetRow(self.budget, 0, 'w', 0.0)
        counted = msgspec.structs.replace(
            known, granted=known.granted + self.owed
        )
        extra = 0
        if not self.is_only:
            may_owe = known.creditor != grants.NO_CREDITOR
            extra = grants.compute_extra(row, self.budget, need, may_owe)
        grant = grants.plan_grant(counted, self.budget, need, 'w', 0.0, extra)
        if grant is None:
            return None
        self.owed = 0
        self.row = grant.row
        if self.is_only:
            self.row = msgspec.structs.replace(
                self.row, creditor=self.name, credit_base=self.row.granted
            )
        return grant

    def give_credit(self, need):
        granted = 0 if self.row is None else self.row.granted
        tokens = grants.plan_credit(self.budget, granted, self.owed, need)
        self.owed += tokens
        return tokens


def test_credit_never_adds_to_the_grants_of_others(case):
    """Grants and credit together must not exceed the budget and one turn.

    One coordinator gives credit on a row that may be outdated, and may fail
    at any moment; another one grants without knowing of the credit.
    """

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(1, 9000),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('grant', 'credit', 'other')),
                strategies.integers(1, 900),
            ),
            max_size=40,
        ),
    )
    def check(budget, steps):
        creditor = _Coordinator('c', budget, True)
        other = _Coordinator('o', budget, False)
        row, given, most = None, 0, 0
        for action, need in steps:
            if action == 'credit':
                tokens = creditor.give_credit(need)
                given += tokens
            else:
                author = other if action == 'other' else creditor
                grant = author.grant(row, need)
                if grant is None:
                    continue
                row = author.row
                tokens = grant.tokens
                given += tokens
            if tokens:
                most = max(most, need)
        case.assertLessEqual(given, budget + most)

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
