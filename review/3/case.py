"""Credit of a coordinator cut from the store dies with it."""

import asyncio
import collections
import json
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common import fleet as fleet_module  # noqa: E402
from common import targets  # noqa: E402
from common import wire  # noqa: E402

INSTANCE_COUNT, ZONE_COUNT = 6, 3
PROGRAM_COUNT = 2
EVENT_COUNT, EVENT_TOKENS = 8, 10
TURN_TOKENS = EVENT_COUNT * EVENT_TOKENS
# In turns; the budget of a program that loops until it is stopped.
BUDGET_TURNS = 24
SUB_AGENT_COUNT = 3
THINK_SECONDS = 0.25
# In turns of the first program.
CUT_AFTER_TURNS = 9
KILL_AFTER_SECONDS = 1.5
MAX_TRIES = 3
TURN_SECONDS = 3.0


def make_configuration() -> dict:
    """Return the operator's configuration."""
    route = {
        'name': 'hunt', 'host': fleet_module.HOST_NAME, 'prefix': '/hunt/',
        'route_kind': 'stream', 'timeout_ms': 3000, 'slo_ms': 250,
        'priority': 0, 'service': 'models', 'max_attempts': 1,
        'resumable': True, 'gap_aim_ms': 150, 'session_affinity': True,
    }  # fmt: skip
    engine = {
        'slot_count': 12, 'kv_capacity': 124240,
        'tokens_per_event': EVENT_TOKENS, 'pin_ms': 4000,
    }  # fmt: skip
    return {
        'version': 1,
        'routes': [route],
        'services': [
            {'name': 'models', 'max_conns': 170, 'engine_kind': engine}
        ],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
    }  # fmt: skip


class Program:
    """A program that starts sub-agents until its budget is spent."""

    def __init__(
        self, fleet: fleet_module.Fleet, rng: random.Random, number: int
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self.name = f'program{number}'
        self.tokens = 0
        self.is_spent = False
        # Set after CUT_AFTER_TURNS.
        self.has_begun = asyncio.Event()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._count = 0

    async def run(self) -> None:
        """Run sub-agents side by side until the budget is spent."""
        while not self.is_spent:
            async with asyncio.TaskGroup() as group:
                for number in range(SUB_AGENT_COUNT):
                    group.create_task(self._run_turn(number))
            await asyncio.sleep(THINK_SECONDS)

    async def _run_turn(self, line: int) -> None:
        """Run a turn; send it again as PROTOCOL.md says."""
        for _ in range(MAX_TRIES):
            outcome = await self._try_turn(line)
            self.outcomes[outcome] += 1
            if outcome == '402':
                self.is_spent = True
            if outcome in ('whole', '402'):
                return
            await asyncio.sleep(self._rng.uniform(0.1, 0.4))

    async def _try_turn(self, line: int) -> str:
        self._count += 1
        request = f'{self.name}-{self._count}'
        instance = self._rng.choice(
            [one for one in self._fleet.instances if one.is_up]
        )
        client = wire.Client(instance.front)
        received = bytearray()
        outcome = 'broken'
        self._fleet.record.write('sent', request=request, to=instance.name)
        try:
            async with asyncio.timeout(TURN_SECONDS):
                await client.connect()
                response = await client.stream(
                    '/hunt/1', self._make_headers(request, line),
                    b'prompt', received,
                )  # fmt: skip
            outcome = str(response.status)
            if response.status == 200 and response.is_whole:
                outcome = 'whole'
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            client.close()
        events = received.count(b'\n\n') if outcome != '402' else 0
        self.tokens += events * EVENT_TOKENS
        if self.tokens >= CUT_AFTER_TURNS * TURN_TOKENS:
            self.has_begun.set()
        self._fleet.record.write(
            'answered', request=request, how=outcome, events=events,
            tokens_so_far=self.tokens,
        )  # fmt: skip
        return outcome

    def _make_headers(self, request: str, line: int) -> wire.HEADERS:
        return {
            'Host': fleet_module.HOST_NAME,
            'X-Vanillayoke-Request-Id': request,
            'X-Vanillayoke-Deadline-Ms': '3000',
            'X-Vanillayoke-Model': 'm',
            'X-Vanillayoke-Token-Usage': f'100,{TURN_TOKENS}',
            'X-Vanillayoke-Prompt-Prefix': f'5c1e07a2:80,{line + 1:08x}:20',
            'X-Vanillayoke-Program-Id': self.name,
            'X-Vanillayoke-Session-Id': f'{self.name}-{line}',
            'X-Vanillayoke-Program-Deadline-Ms': '20000',
            'X-Vanillayoke-Token-Budget': str(BUDGET_TURNS * TURN_TOKENS),
        }


async def play(fleet: fleet_module.Fleet, with_trouble: bool) -> bool:
    """Cut the first program's coordinator from the store, then kill it."""
    fleet.store.put('op', 'config', make_configuration())
    for number in range(4):
        server = targets.TargetServer(
            f's{number}', 'models', 12, 0.04, EVENT_COUNT,
            f'z{number % ZONE_COUNT + 1}',
        )  # fmt: skip
        await server.start(fleet)
    await fleet.start(INSTANCE_COUNT, ZONE_COUNT)
    await asyncio.sleep(4.0)
    rng = random.Random(5)
    programs = [Program(fleet, rng, n) for n in range(PROGRAM_COUNT)]
    running = [asyncio.create_task(one.run()) for one in programs]
    await programs[0].has_begun.wait()
    # The machines that wrote the budgets under a condition.
    writers = {
        key: machine
        for (table, key), machine in fleet.store.writers.items()
        if table == 'budgets'
    }
    fleet.record.write('writers of the budgets', writers=writers)
    machine = fleet.find(writers[programs[0].name])
    if with_trouble:
        fleet.store.silent.add(machine.name)
        fleet.record.write('cut from the store', machine=machine.name)
        await asyncio.sleep(KILL_AFTER_SECONDS)
        machine.is_up = False
        machine.signal(signal.SIGKILL)
        fleet.record.write('killed', machine=machine.name)
    async with asyncio.timeout(60.0):
        await asyncio.gather(*running)
    bound = (BUDGET_TURNS + 1) * TURN_TOKENS
    for program in programs:
        fleet.record.write(
            'program', name=program.name, tokens=program.tokens,
            bound=bound, coordinator=writers.get(program.name),
            outcomes=dict(program.outcomes),
        )  # fmt: skip
        print(
            program.name, writers.get(program.name) == machine.name,
            f'{program.tokens} tokens, bound {bound}',
            json.dumps(program.outcomes),
        )  # fmt: skip
    return all(program.tokens <= bound for program in programs)


if __name__ == '__main__':
    FOLDER = pathlib.Path(__file__).resolve().parent
    sys.exit(fleet_module.run(FOLDER, play, 100.0))
