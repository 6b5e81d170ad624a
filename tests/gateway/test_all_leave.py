"""All instances are told to stop at once, under programs with sub-agents.

Callers saw sub-agents refused as "budget spent" with half of the budget
unused. Instances that leave differ for a moment about who stays; tokens went
to instances that no later search asked. Each seed draws other programs and
another order of the stops; all of these were red.
"""

import asyncio
import collections
import random

from tests.gateway import site_fixtures
from vanillayoke.testing import fixtures

SEEDS = (31, 33, 37)
INSTANCES = 7
CALLERS = 24
# Tokens of a whole turn, its most.
TURN = 40
# An event of the stand-in stands for so many tokens.
EVENT = 10
# A program starts this many sub-agents at once, for so many turns each.
HELPERS = 3
HELPER_TURNS = 2
MOST_TRIES = 9
# What a home may count as granted without use, as a share of the budget.
CHARGE_SHARE = 0.25
# How long callers go on while all instances stop. Seconds.
STOPPING = 7.0


class _Callers:
    """Programs that hand work to sub-agents until they are told to end."""

    def __init__(self, site, seed):
        self._site = site
        self._source = random.Random(seed)
        self._used = collections.Counter()
        self.is_over = False
        self.is_stopped = False
        self.withheld = []

    async def run(self, number):
        for program in range(10_000):
            if self.is_over:
                return
            await self._run_program(f'p{number}-{program}')

    async def _run_program(self, program):
        source = self._source
        turns = source.randint(2, 5)
        budget = (turns + HELPERS * HELPER_TURNS) * TURN
        route = source.choice(('chat', 'plan'))
        for _ in range(turns):
            if not await self._run_turn(program, budget, route):
                return
            await asyncio.sleep(source.uniform(0, 0.1))
            if source.random() < 0.3:
                await asyncio.gather(
                    *(
                        self._help_out(program, budget, route)
                        for _ in range(HELPERS)
                    )
                )

    async def _help_out(self, program, budget, route):
        for _ in range(HELPER_TURNS):
            if not await self._run_turn(program, budget, route):
                return

    async def _run_turn(self, program, budget, route):
        for _ in range(MOST_TRIES):
            if self.is_stopped:
                return False
            answer = await self._try(program, budget, route)
            if answer in (200, 402):
                return answer == 200
            await asyncio.sleep(self._source.uniform(0.05, 0.4))
        return False

    async def _try(self, program, budget, route):
        site = self._site
        request = site.make_request_id()
        instance = self._source.choice(list(site.instances))
        # Counted at its most while it may run.
        self._used[program] += TURN
        answer = await site_fixtures.try_turn(
            site, instance, request, program, budget, TURN, route
        )
        if answer is None:
            return None
        used = answer.body.count(b'data') * EVENT
        if answer.status != 200 and site.list_runs(request):
            used = TURN
        self._used[program] += used - TURN
        if answer.status == 402:
            self._check(program, budget)
        return answer.status

    def _check(self, program, budget):
        charge = max(TURN, int(budget * CHARGE_SHARE))
        used = self._used[program]
        if used + charge + TURN <= budget:
            self.withheld.append(f'{program}: {used} of {budget} used')


async def _play(site, seed):
    """Let callers meet the stop of all; return whom a budget was kept from."""
    source = random.Random(f'stops {seed}')
    await site.start(INSTANCES)
    callers = _Callers(site, seed)
    tasks = [
        asyncio.create_task(callers.run(number)) for number in range(CALLERS)
    ]
    await asyncio.sleep(3 + source.random())
    callers.is_over = True
    stops = []
    for front in list(site.instances.values()):
        stops.append(asyncio.create_task(front.stop()))
        await asyncio.sleep(source.choice((0, 0.001, 0.003, 0.01, 0.05)))
    await asyncio.sleep(STOPPING)
    callers.is_stopped = True
    await asyncio.gather(*stops)
    for task in tasks:
        task.cancel()
    return callers.withheld


def _make_test(seed):
    async def test(case, site):
        case.assertEqual([], await _play(site, seed))

    test.__name__ = f'test_no_budget_is_withheld_{seed}'
    test.__doc__ = f'Programs and stops drawn with seed {seed}.'
    return test


for _seed in SEEDS:
    globals()[f'test_no_budget_is_withheld_{_seed}'] = _make_test(_seed)


load_tests = fixtures.adapt(__name__, [site_fixtures])
