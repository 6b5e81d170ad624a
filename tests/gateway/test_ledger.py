"""Tests of an instance's account of a budget that has been spent once."""

import asyncio
import random

import msgspec

from tests.gateway import site_fixtures
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.standins import store as store_module
from vanillayoke.testing import fixtures

PROGRAM = 'new'
BUDGET = 200


async def _reserve(site, name, turn, need, budget=BUDGET):
    deadline = site.timers.now() + 1.0
    return await site.instances[name]._ledger.reserve(
        PROGRAM, budget, turn, need, deadline
    )


async def _spend_for_large_turns(case, site):
    """Grant 150 of 200 tokens, and request 100 more in the background."""
    await site.start(2)
    outcome = await _reserve(site, 'i1', 'a1', 150)
    case.assertIs(ledger_module.Outcome.GRANTED, outcome)
    ledger = site.instances['i1']._ledger
    case.assertTrue(ledger.needs_top_up(PROGRAM, BUDGET, 50))
    await ledger.top_up(PROGRAM, BUDGET, 100)
    return ledger


def _read_granted(site):
    return msgspec.msgpack.decode(site.store.list_table('budgets')[PROGRAM])[1]


async def test_smaller_turn_is_topped_up_after_a_large_one_does_not_fit(
    case, site
):
    """Each of the smaller turns would wait for the store."""
    ledger = await _spend_for_large_turns(case, site)
    case.assertFalse(ledger.needs_top_up(PROGRAM, BUDGET, 100))
    case.assertTrue(ledger.needs_top_up(PROGRAM, BUDGET, 50))
    await ledger.top_up(PROGRAM, BUDGET, 50)
    case.assertEqual(BUDGET, _read_granted(site))
    case.assertFalse(ledger.needs_top_up(PROGRAM, BUDGET, 51))


async def test_smaller_turn_gets_credit_after_a_large_one_does_not_fit(
    case, site
):
    """It would be refused during an outage although it fits the budget."""
    ledger = await _spend_for_large_turns(case, site)
    case.assertEqual(0, ledger.reserve_on_credit(PROGRAM, BUDGET, 'b', 100))
    case.assertEqual(50, ledger.reserve_on_credit(PROGRAM, BUDGET, 'c', 50))
    case.assertEqual(0, ledger.reserve_on_credit(PROGRAM, BUDGET, 'd', 1))
    await ledger.record_credit(PROGRAM)
    case.assertEqual(BUDGET, _read_granted(site))
    outcome = await _reserve(site, 'i1', 'e', 1)
    case.assertIs(ledger_module.Outcome.SPENT, outcome)


async def test_account_is_topped_up_after_the_budget_is_raised(case, site):
    ledger = await _spend_for_large_turns(case, site)
    case.assertTrue(ledger.needs_top_up(PROGRAM, 400, 100))
    case.assertEqual(100, ledger.reserve_on_credit(PROGRAM, 400, 'b', 100))


async def _return_by_another_instance(case, site):
    """Spend the budget in two instances; one returns its tokens."""
    await site.start(2)
    await _reserve(site, 'i2', 'b1', 50)
    await _reserve(site, 'i1', 'a1', 150)
    ledger = site.instances['i1']._ledger
    await ledger.top_up(PROGRAM, BUDGET, 50)
    case.assertFalse(ledger.needs_top_up(PROGRAM, BUDGET, 50))
    other = site.instances['i2']._ledger
    other.settle(PROGRAM, 'b1', 0)
    await other.return_grants(site.timers.now() + 1.0)
    case.assertEqual(150, _read_granted(site))
    return ledger


async def test_account_is_topped_up_after_tokens_were_returned(case, site):
    """Another instance returned tokens, and the row has been read since."""
    ledger = await _return_by_another_instance(case, site)
    await ledger.confirm_writes(PROGRAM)
    case.assertTrue(ledger.needs_top_up(PROGRAM, BUDGET, 50))
    await ledger.top_up(PROGRAM, BUDGET, 50)
    case.assertEqual(BUDGET, _read_granted(site))
    case.assertEqual(0, ledger.reserve_on_credit(PROGRAM, BUDGET, 'c', 51))
    outcome = await _reserve(site, 'i1', 'd', 51)
    case.assertIs(ledger_module.Outcome.SPENT, outcome)


async def test_credit_of_an_idle_program_is_recorded(case, site):
    """Credit that was forgotten unrecorded could be granted again.

    The store is away for longer than accounts of idle programs are kept.
    """
    await site.start(1)
    ledger = site.instances['i1']._ledger
    site.store.mode = store_module.Mode.RESET_CONNECTION
    case.assertEqual(50, ledger.reserve_on_credit(PROGRAM, BUDGET, 'a', 50))
    ledger.settle(PROGRAM, 'a', 50)
    await asyncio.sleep(ledger_module.ACCOUNT_IDLE_SECONDS + 10.0)
    site.store.mode = store_module.Mode.SERVE
    await asyncio.sleep(5.0)
    case.assertEqual(50, _read_granted(site))
    await asyncio.sleep(ledger_module.ACCOUNT_IDLE_SECONDS + 10.0)
    case.assertFalse(ledger.has_account(PROGRAM))


async def _run_at_random(site, ledger, program, rng):
    """Reserve, settle and top up at random; return the tokens used."""
    running, used = {}, 0
    for number in range(60):
        turn, need = f'{program}-{number}', rng.randint(5, 90)
        match rng.choice(('reserve', 'credit', 'top up', 'record', 'settle')):
            case 'reserve':
                outcome = await ledger.reserve(
                    program, BUDGET, turn, need, site.timers.now() + 0.01
                )
                if outcome is ledger_module.Outcome.GRANTED:
                    running[turn] = need
            case 'credit':
                free = ledger.try_reserve(program, turn, need)
                if free or ledger.reserve_on_credit(
                    program, BUDGET, turn, need
                ):
                    running[turn] = need
            case 'top up' if ledger.needs_top_up(program, BUDGET, need):
                await ledger.top_up(program, BUDGET, need)
            case 'record':
                await ledger.record_credit(program)
            case 'settle' if running:
                turn, need = running.popitem()
                tokens = rng.randint(0, need)
                ledger.settle(program, turn, tokens)
                used += tokens
    return used + sum(running.values())


async def test_budget_holds_with_grants_and_credit_in_any_order(case, site):
    """Turns of different sizes must not get more than the budget."""
    await site.start(1)
    ledger = site.instances['i1']._ledger
    results = [
        await _run_at_random(site, ledger, f'p{seed}', random.Random(seed))
        for seed in range(40)
    ]
    case.assertLessEqual(max(results), BUDGET)
    case.assertGreater(max(results), 0.9 * BUDGET)


load_tests = fixtures.adapt(__name__, [site_fixtures])
