"""The start of a long conversation is swept while the conversation goes on."""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common import fleet as fleet_module  # noqa: E402
from common import targets  # noqa: E402
from common import wire  # noqa: E402

INSTANCE_COUNT, ZONE_COUNT = 6, 3
PROGRAM_COUNT = 240
RETAIN_SECONDS = 10.0
# The first two turns bring large inputs, the others short ones.
LARGE_INPUT_BYTES, SMALL_INPUT_BYTES = 30_000, 200
PAUSE_SECONDS = 7.0
START_SPREAD_SECONDS = 4.0
# The final fault: all processes are killed, and start again.
KILL_AT_SECONDS = 102.0
DOWN_SECONDS = 1.0
END_AT_SECONDS = 114.0
TURN_SECONDS = 4.0
MAX_TRIES = 3


def make_configuration() -> dict:
    """Return the operator's configuration."""
    route = {
        'name': 'chat', 'host': fleet_module.HOST_NAME, 'prefix': '/chat/',
        'route_kind': 'stream', 'timeout_ms': 4000, 'slo_ms': 250,
        'priority': 1, 'service': 'models', 'max_attempts': 1,
        'retain_history': True, 'retain_s': RETAIN_SECONDS,
        'gap_aim_ms': 200, 'session_affinity': True,
    }  # fmt: skip
    engine = {
        'slot_count': 16, 'kv_capacity': 174798, 'tokens_per_event': 13,
        'pin_ms': 4000,
    }  # fmt: skip
    return {
        'version': 1,
        'routes': [route],
        'services': [
            {'name': 'models', 'max_conns': 180, 'engine_kind': engine}
        ],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
    }  # fmt: skip


class Program:
    """A conversation whose turns follow one another on a kept connection."""

    def __init__(
        self, fleet: fleet_module.Fleet, rng: random.Random, number: int
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self.name = f'program{number}'
        self.lost: list[str] = []
        self.turn_count = 0
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._client: wire.Client | None = None
        self._previous = ''
        self._answered_at = 0.0

    async def run(self) -> None:
        """Run turns until one is answered 404 or the case ends."""
        await asyncio.sleep(self._rng.uniform(0, START_SPREAD_SECONDS))
        while True:
            large = self.turn_count < 2
            size = LARGE_INPUT_BYTES if large else SMALL_INPUT_BYTES
            if not await self._run_turn(b'x' * size):
                return
            await asyncio.sleep(1.0 if large else PAUSE_SECONDS)

    async def _run_turn(self, text: bytes) -> bool:
        for _ in range(MAX_TRIES):
            request = f'{self._rng.getrandbits(64):016x}'
            age = time.monotonic() - self._answered_at
            self._fleet.record.write(
                'sent', program=self.name, request=request
            )
            outcome = await self._try_turn(request, text)
            self.outcomes[outcome] += 1
            self._fleet.record.write(
                'answered', program=self.name, request=request,
                previous=self._previous, how=outcome,
                previous_answered_s_ago=round(age, 2),
            )  # fmt: skip
            if outcome == 'whole':
                self.turn_count += 1
                self._previous = request
                self._answered_at = time.monotonic()
                return True
            if outcome == '404':
                if self._previous and age < RETAIN_SECONDS:
                    self.lost.append(request)
                return False
            await asyncio.sleep(self._rng.uniform(0.1, 0.4))
        return False

    async def _try_turn(self, request: str, text: bytes) -> str:
        received = bytearray()
        try:
            async with asyncio.timeout(TURN_SECONDS):
                if self._client is None or not self._client.is_open:
                    await self._connect()
                response = await self._client.stream(
                    '/chat/1', self._make_headers(request), text, received
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._drop()
            return 'broken'
        if response.status == 200:
            return 'whole' if response.is_whole else 'broken'
        return str(response.status)

    async def _connect(self) -> None:
        self._drop()
        instance = self._rng.choice(self._fleet.instances)
        client = wire.Client(instance.front)
        await client.connect()
        self._client = client

    def _drop(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None

    def _make_headers(self, request: str) -> wire.HEADERS:
        headers = {
            'Host': fleet_module.HOST_NAME,
            'X-Vanillayoke-Request-Id': request,
            'X-Vanillayoke-Deadline-Ms': '4000',
            'X-Vanillayoke-Model': 'm',
            'X-Vanillayoke-Token-Usage': '100,80',
            'X-Vanillayoke-Prompt-Prefix': '5c1e07a2:80,5c1e07a3:20',
            'X-Vanillayoke-Program-Id': self.name,
            'X-Vanillayoke-Session-Id': self.name,
            'X-Vanillayoke-Program-Deadline-Ms': '120000',
            'X-Vanillayoke-Token-Budget': '100000',
        }
        if self._previous:
            headers['X-Vanillayoke-Previous-Turn'] = self._previous
        return headers


async def play(fleet: fleet_module.Fleet, with_trouble: bool) -> bool:
    """Run conversations, then kill and start all processes."""
    fleet.store.put('op', 'config', make_configuration())
    for number in range(5):
        server = targets.TargetServer(
            f's{number}', 'models', 16, 0.02, 4,
            f'z{number % ZONE_COUNT + 1}',
        )  # fmt: skip
        await server.start(fleet)
    await fleet.start(INSTANCE_COUNT, ZONE_COUNT)
    rng = random.Random(11)
    programs = [Program(fleet, rng, n) for n in range(PROGRAM_COUNT)]
    running = [asyncio.create_task(one.run()) for one in programs]
    await asyncio.sleep(KILL_AT_SECONDS - fleet.record.now())
    turns = fleet.store.read('turns')
    fleet.record.write('before the fault', turns_kept=len(turns))
    if with_trouble:
        for instance in fleet.instances:
            instance.signal(signal.SIGKILL)
            await instance.process.wait()
        fleet.record.write('all processes killed')
        await asyncio.sleep(DOWN_SECONDS)
        for instance in fleet.instances:
            await fleet.start_process(instance, False)
    await asyncio.sleep(END_AT_SECONDS - fleet.record.now())
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    outcomes: collections.Counter[str] = collections.Counter()
    for program in programs:
        outcomes += program.outcomes
    lost = {one.name: one.lost for one in programs if one.lost}
    fleet.record.write('turns lost', lost=lost, outcomes=dict(outcomes))
    print(f'{len(lost)} conversations lost; {dict(outcomes)}')
    return not lost


if __name__ == '__main__':
    FOLDER = pathlib.Path(__file__).resolve().parent
    TROUBLE = sys.argv[1] != '0'
    sys.exit(fleet_module.run(FOLDER, play, TROUBLE, 118.0))
