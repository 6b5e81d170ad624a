"""Tests of budgets while a part of the instances can't reach the store."""

import asyncio

from tests.gateway import budget_ledgers
from tests.gateway import site as site_module
from tests.gateway import site_fixtures
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import reservations as reservations_module
from vanillayoke.testing import fixtures

# A turn at the fake targets generates as much as it may.
NEED = 40
BUDGET = 2 * NEED
STORE_HOST = site_module.STORE.partition(':')[0]


@fixtures.fixture
def cut(site, network):
    """Cut an instance from the store."""

    def cut_from_store(instance):
        host = site.instances[instance].settings.ip
        network.block_path(host, STORE_HOST)

    return cut_from_store


async def _start(site):
    """Start a site that has served a program; return its ledgers."""
    await site.start(5)
    await site.turn('i1', 'before', route='plan', program='old')
    return budget_ledgers.BudgetLedgers(site)


async def _loop(site, program, line, seconds):
    """Send turns without end, also after a 402; return the tokens received."""
    names = list(site.instances)
    end = site.timers.now() + seconds
    received = number = 0
    while site.timers.now() < end:
        number += 1
        response = await site_fixtures.try_turn(
            site,
            names[(number + line) % len(names)],
            f'{program}-{line}-{number}',
            program,
            BUDGET,
            NEED,
            'plan',
        )
        if response is not None:
            received += response.body.count(b'data:') * 10
        await asyncio.sleep(0.1)
    return received


async def _run_loops(site, program, seconds, line_count=3):
    received = await asyncio.gather(
        *(_loop(site, program, line, seconds) for line in range(line_count))
    )
    return sum(received)


async def test_credit_of_a_cut_coordinator_is_not_granted_again(
    case, site, network, cut
):
    """A program must not get one allowance from two instances.

    Its coordinator can't reach the store and gives credit. The others can,
    take the program over, and may grant one turn beyond the budget.
    """
    ledgers = await _start(site)
    program = site_fixtures.find_program_with_ranking(*site.instances)
    coordinator, *_ = site.instances
    cut(coordinator)
    received = await _run_loops(site, program, 5.0)
    network.restore_paths()
    received += await _run_loops(site, program, 3.0)
    peak = ledgers.find_peak(program)
    case.assertGreater(peak.credit, 0)
    case.assertLessEqual(peak.total, BUDGET + NEED, peak)
    case.assertLessEqual(received, BUDGET + NEED)
    case.assertGreaterEqual(received, BUDGET)


async def test_credit_of_a_cut_coordinator_counts_after_its_failure(
    case, site, network, cut
):
    """A program must not get lost credit again from the next coordinator.

    The coordinator can't reach the store, gives credit, and fails before it
    has recorded any. The next one has seen no failure of the store.
    """
    ledgers = await _start(site)
    program = site_fixtures.find_program_with_ranking(*site.instances)
    coordinator, *_ = site.instances
    cut(coordinator)
    response = await site.turn(
        'i2', 'first', b'', 'plan', program, BUDGET, NEED
    )
    case.assertEqual(200, response.status)
    case.assertEqual(NEED, ledgers.find_peak(program).credit)
    site_fixtures.kill(site, network, coordinator)
    received = NEED + await _run_loops(site, program, 5.0)
    case.assertLessEqual(ledgers.find_peak(program).total, BUDGET + NEED)
    case.assertLessEqual(received, BUDGET + NEED)
    case.assertGreaterEqual(received, BUDGET)


async def test_takeover_after_a_store_failure_withholds_nothing(case, site):
    """A program must not be told that its budget is spent too early.

    Its coordinator lives and has given no credit. Another instance takes the
    program over shortly after slow responses of the store.
    """
    await site.start(3)
    # Instances that have just joined ask for tokens beforehand.
    await asyncio.sleep(reservations_module.JOIN_PERIOD_SECONDS)
    program = site_fixtures.find_program_with_ranking(*site.instances)
    coordinator, other, _ = site.instances
    budget = 9 * NEED
    for number in range(5):
        await site.turn(
            coordinator, f'a{number}', b'', 'plan', program, budget, NEED
        )
    site.store.response_delay = 0.2
    for name in site.instances:
        await site.turn(name, f'slow-{name}', b'', 'plan', f'p-{name}')
    site.store.response_delay = 0.004
    await asyncio.sleep(1.0)
    used = 5 * NEED
    reservations = site.instances[other]._reservations
    outcome = ledger_module.Outcome.GRANTED
    while outcome is ledger_module.Outcome.GRANTED:
        request = peer_messages.Reserve(
            program, budget, f'b{used}', NEED, allow_credit=True
        )
        outcome = await reservations._reserve_from_store(
            request, site.timers.now() + 1.0
        )
        if outcome is ledger_module.Outcome.GRANTED:
            used += NEED
            settlement = peer_messages.Settle(program, request.turn, NEED)
            await reservations.settle('', settlement)
    case.assertGreaterEqual(used, budget)
    case.assertLessEqual(used, budget + NEED)


load_tests = fixtures.adapt(__name__, [site_fixtures])
