"""Random faults while programs loop, played on whole instances.

Each step sends turns or changes what the instances can reach. Whatever
happens, no program may be issued more than its budget and one turn.
"""

import asyncio
import contextlib
import functools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.gateway import budget_ledgers
from tests.gateway import site as site_module
from tests.gateway import site_fixtures
from vanillayoke.core import timers
from vanillayoke.standins import store as store_module
from vanillayoke.testing import fixtures
from vanillayoke.testing import loops
from vanillayoke.testing import networks

STORE_HOST = site_module.STORE.partition(':')[0]
INSTANCE_COUNT = 4
MAX_INSTANCES = 6
# The budgets and the maximum of a turn, by program.
PROGRAMS = {'two': (80, 40), 'small': (70, 40), 'large': (400, 40)}
TURN_TIMEOUT_SECONDS = 4.0
TURN_PAUSE_SECONDS = 0.1
EXAMPLE_COUNT = 60
STEP_COUNT = 25

_INSTANCES = strategies.integers(0, MAX_INSTANCES - 1)
_PAUSES = strategies.sampled_from((0.02, 0.2, 0.6, 1.5, 4.0))
_STORE_MODES = strategies.sampled_from(list(store_module.Mode))


def _rule(**drawn):
    """Make a rule behind which some time passes."""

    def decorate(function):
        def step(self, pause, **arguments):
            function(self, **arguments)
            self.run(asyncio.sleep(pause))

        return stateful.rule(pause=_PAUSES, **drawn)(
            functools.wraps(function)(step)
        )

    return decorate


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Programs in a loop on a site whose parts fail."""

    def __init__(self):
        super().__init__()
        self.loop = loops.VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.network = networks.Network(self.loop)
        self.site = site_module.Site(
            timers.LoopTimers(self.loop), networks.CURRENT_HOST.set
        )
        self.number = 0
        self.program_count = 0
        self.running = set()
        self.run(self.site.start(INSTANCE_COUNT))
        self.ledgers = budget_ledgers.BudgetLedgers(self.site)
        self.run(self.site.turn('i1', 'before', route='plan', program='old'))

    def teardown(self):
        self.loop.finish()
        self.loop.close()
        asyncio.set_event_loop(None)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def pick(self, index):
        names = sorted(self.site.instances)
        return names[index % len(names)]

    def has_others(self):
        return len(self.site.instances) > 1

    @_rule(
        kind=strategies.sampled_from(sorted(PROGRAMS)),
        route=strategies.sampled_from(('plan', 'plan', 'plan', 'chat')),
        index=_INSTANCES,
        line_count=strategies.integers(1, 3),
        seconds=strategies.sampled_from((0.1, 1.0, 5.0, 10.0)),
        has_store=strategies.booleans(),
    )
    def begin_program(
        self, kind, route, index, line_count, seconds, has_store
    ):
        """Begin lines of turns that go on after a 402.

        Unless ``has_store``, the program's coordinator can't reach the store.
        """
        self.program_count += 1
        program = f'{kind}-{self.program_count}'
        if not has_store:
            names = self.site.instances
            [coordinator, *_] = site_fixtures.rank_coordinators(program, names)
            self.block_store(coordinator)
        for line in range(line_count):
            task = self.loop.create_task(
                self.send_turns(program, route, index + line, seconds)
            )
            self.running.add(task)
            task.add_done_callback(self.running.discard)

    async def send_turns(self, program, route, index, seconds):
        budget, need = PROGRAMS[program.partition('-')[0]]
        end = self.site.timers.now() + seconds
        while self.site.timers.now() < end:
            self.number += 1
            index += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TURN_TIMEOUT_SECONDS):
                    await site_fixtures.try_turn(
                        self.site,
                        self.pick(index),
                        f't{self.number}',
                        program,
                        budget,
                        need,
                        route,
                    )
            await asyncio.sleep(TURN_PAUSE_SECONDS)

    @_rule(index=_INSTANCES)
    def cut_from_store(self, index):
        self.block_store(self.pick(index))

    def block_store(self, instance):
        host = self.site.instances[instance].settings.ip
        self.network.block_path(host, STORE_HOST)

    @_rule(index=_INSTANCES, other=_INSTANCES)
    def cut_from_instance(self, index, other):
        hosts = {
            self.site.instances[self.pick(each)].settings.ip
            for each in (index, other)
        }
        if len(hosts) == 2:
            self.network.block_path(*hosts)

    @_rule()
    def heal(self):
        """End all faults of the network and the store."""
        self.network.blocked_paths.clear()
        self.site.store.mode = store_module.Mode.SERVE
        self.site.store.response_delay = 0.004

    @_rule(mode=_STORE_MODES)
    def change_store(self, mode):
        self.site.store.mode = mode

    @_rule(delay=strategies.sampled_from((0.004, 0.15, 0.6)))
    def slow_store(self, delay):
        self.site.store.response_delay = delay

    @_rule(count=strategies.integers(1, 2))
    def lose_store_replies(self, count):
        self.site.store.lost_replies = count

    @_rule(count=strategies.integers(1, 2))
    def delay_store_writes(self, count):
        self.site.store.late_writes = count

    @stateful.precondition(has_others)
    @_rule(index=_INSTANCES)
    def kill(self, index):
        site_fixtures.kill(self.site, self.network, self.pick(index))

    @stateful.precondition(has_others)
    @_rule(index=_INSTANCES)
    def stop(self, index):
        instance = self.site.instances.pop(self.pick(index))
        self.loop.create_task(instance.stop())

    @stateful.precondition(
        lambda self: len(self.site.instances) < MAX_INSTANCES
    )
    @_rule()
    def join(self):
        self.number += 1
        name = f'i{10 + self.number}'
        self.run(self.site.add_instance(name))
        self.ledgers.follow(name)

    @stateful.invariant()
    def check_budgets(self):
        for program in self.ledgers.programs:
            budget, need = PROGRAMS.get(program.split('-')[0], (1000, 40))
            peak = self.ledgers.find_peak(program)
            assert peak.total <= budget + need, (
                f'{program}: {peak}\n{self.ledgers.format_changes(program)}'
            )


def test_no_fault_makes_a_program_exceed_its_budget():
    """Whatever fails, a program gets at most its budget and one turn."""
    stateful.run_state_machine_as_test(
        BudgetMachine,
        settings=hypothesis.settings(
            derandomize=True,
            deadline=None,
            max_examples=EXAMPLE_COUNT,
            stateful_step_count=STEP_COUNT,
            phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


load_tests = fixtures.adapt(__name__, [site_fixtures])
