"""Tests of who may have given credit that a budget's row does not count."""

import asyncio

import msgspec

from tests.gateway import site_fixtures
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.programs import grants
from vanillayoke.testing import fixtures

PROGRAM = 'new'
BUDGET = 80
NEED = 40


@fixtures.fixture
def ledger(loop, site):
    loop.run_until_complete(site.start(2))
    return site.instances['i1']._ledger


def _read_row(site):
    value = site.store.list_table('budgets')[PROGRAM]
    return msgspec.msgpack.decode(value, type=grants.BudgetRow)


async def test_promise_outlives_the_account(case, ledger):
    """Credit must not be given again because a program was idle here.

    Another instance, which relies on the promise, may go on with it.
    """
    ledger.renounce_credit(PROGRAM, True)
    await asyncio.sleep(ledger_module.ACCOUNT_IDLE_SECONDS + 10.0)
    case.assertEqual(0, ledger.reserve_on_credit(PROGRAM, BUDGET, 'a', NEED))


async def test_owed_credit_is_not_promised_away(case, ledger):
    """Others may count on a statement only once the row counts all credit."""
    ledger.reserve_on_credit(PROGRAM, BUDGET, 'a', NEED)
    ledger.renounce_credit(PROGRAM, True)
    case.assertIsNone(ledger.make_credit_statement(PROGRAM))
    await ledger.record_credit(PROGRAM)
    statement = ledger.make_credit_statement(PROGRAM)
    case.assertTrue(statement.was_only_coordinator)


async def test_repeated_request_gets_the_same_statement(case, ledger):
    """A lost response must not make another coordinator look possible."""
    ledger.renounce_credit(PROGRAM, True)
    first = ledger.make_credit_statement(PROGRAM)
    ledger.renounce_credit(PROGRAM, False)
    case.assertEqual(first, ledger.make_credit_statement(PROGRAM))


async def test_interrupted_instance_does_not_settle_credit(case, site, ledger):
    """Others may have given credit during the interruption."""
    ledger.reserve_on_credit(PROGRAM, BUDGET, 'a', NEED)
    terms = ledger_module.Terms(is_only_coordinator=False)
    await ledger.record_credit(PROGRAM, terms)
    row = _read_row(site)
    case.assertEqual(NEED, row.granted)
    case.assertEqual(grants.UNKNOWN_CREDITOR, row.creditor)


async def test_interrupted_instance_gives_no_more_credit(case, site):
    """It must not name itself as creditor while it may have been replaced."""
    await site.start(2)
    program = site_fixtures.find_program_with_ranking('i1', 'i2')
    instance = site.instances['i1']
    creditors = []
    for turn in ('a', 'b'):
        instance._ledger.reserve_on_credit(program, 10 * NEED, turn, NEED)
        instance._reservations.record_credit()
        await asyncio.sleep(0.1)
        value = site.store.list_table('budgets')[program]
        row = msgspec.msgpack.decode(value, type=grants.BudgetRow)
        creditors.append(row.creditor)
        instance._exclusivity.record_program()
        instance._exclusivity.record_interruption(site.timers.now())
    case.assertTrue(creditors[0].startswith('i1/'))
    case.assertEqual(grants.NO_CREDITOR, creditors[1])


async def test_settled_creditor_frees_what_was_kept_back(case, site, ledger):
    """One turn beyond the budget must be granted as soon as this is safe."""
    other = site.instances['i2']._ledger
    terms = ledger_module.Terms(is_only_coordinator=False)
    deadline = site.timers.now() + 1.0
    for turn in ('a', 'b'):
        await other.reserve(PROGRAM, BUDGET, turn, NEED, deadline, terms)
        other.settle(PROGRAM, turn, NEED)
    arguments = (PROGRAM, BUDGET, 'c', NEED, deadline, terms)
    case.assertIs(ledger_module.Outcome.SPENT, await other.reserve(*arguments))
    ledger.renounce_credit(PROGRAM, True)
    other.settle_credit(PROGRAM, ledger.make_credit_statement(PROGRAM))
    case.assertIs(
        ledger_module.Outcome.GRANTED, await other.reserve(*arguments)
    )
    case.assertEqual(grants.NO_CREDITOR, _read_row(site).creditor)


async def test_returned_tokens_leave_no_more_credit(case, site, ledger):
    """A creditor must not give what nobody keeps back for it.

    Others know what was granted when it last wrote the row. Tokens that they
    return later do not raise its credit.
    """
    deadline = site.timers.now() + 1.0
    for turn in ('a', 'b'):
        await ledger.reserve(PROGRAM, BUDGET, turn, NEED, deadline)
    ledger.settle(PROGRAM, 'a', 0)
    other = site.instances['i2']._ledger
    other.deposit(PROGRAM, ledger.withdraw(PROGRAM))
    await other.return_grants(deadline)
    case.assertEqual(NEED, _read_row(site).granted)
    await ledger.confirm_writes(PROGRAM)
    case.assertEqual(0, ledger.reserve_on_credit(PROGRAM, BUDGET, 'c', NEED))


load_tests = fixtures.adapt(__name__, [site_fixtures])
