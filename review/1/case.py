"""A late second refusal passes for the answer to a request sent again."""

import asyncio
import collections
import itertools
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common import fleet as fleet_module  # noqa: E402
from common import targets  # noqa: E402
from common import wire  # noqa: E402

INSTANCE_COUNT, ZONE_COUNT = 12, 3
SERVER_COUNT, SLOT_COUNT, WORK_SECONDS = 4, 6, 0.156
# The usual rate, and that of a burst: the servers shed then.
USUAL_PER_SECOND, BURST_FACTOR, BURST_SECONDS = 144.0, 1.6, 6.0
# Of 'garble' with 'extra late' in the site file.
SHARE, PART, GARBLE_SECONDS = 0.6, 0.03, 5.0
ROUND_COUNT, PAUSE_SECONDS = 8, 3.0
DEADLINE_SECONDS = 5.0


def make_configuration() -> dict:
    """Return the operator's configuration."""
    route = {
        'name': 'fetch', 'host': fleet_module.HOST_NAME, 'prefix': '/fetch/',
        'route_kind': 'unsafe', 'timeout_ms': 5000, 'slo_ms': 600,
        'priority': 2, 'service': 'app', 'max_attempts': 1,
    }  # fmt: skip
    return {
        'version': 1,
        'routes': [route],
        'services': [{'name': 'app', 'max_conns': 110}],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
    }  # fmt: skip


class Load:
    """Sends requests that may run once only."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._rng = random.Random(3)
        self.rate = USUAL_PER_SECOND
        self.ends: dict[str, str] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send until cancelled."""
        for number in itertools.count():
            await asyncio.sleep(self._rng.expovariate(self.rate))
            task = asyncio.create_task(self._send(f'{number:016x}'))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, request: str) -> None:
        instance = self._rng.choice(self._fleet.instances)
        client = wire.Client(instance.front)
        outcome = 'no connection'
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                await client.connect()
                outcome = 'no answer'
                self._fleet.record.write(
                    'sent', request=request, to=instance.name
                )
                response = await client.send(
                    'POST',
                    '/fetch/1',
                    {
                        'Host': fleet_module.HOST_NAME,
                        'X-Vanillayoke-Request-Id': request,
                        'X-Vanillayoke-Deadline-Ms': '5000',
                    },
                    b'x' * 600,
                )
            outcome = str(response.status)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            client.close()
        self.ends[request] = outcome
        self._fleet.record.write(
            'answered', request=request, to=instance.name, how=outcome
        )


async def play(fleet: fleet_module.Fleet, with_trouble: bool) -> bool:
    """Let some servers send some of their responses twice."""
    fleet.store.put('op', 'config', make_configuration())
    servers = [
        targets.TargetServer(
            f's{number}',
            'app',
            SLOT_COUNT,
            WORK_SECONDS,
            zone=f'z{number % ZONE_COUNT + 1}',
        )  # fmt: skip
        for number in range(SERVER_COUNT)
    ]
    for server in servers:
        await server.start(fleet)
    await fleet.start(INSTANCE_COUNT, ZONE_COUNT)
    load = Load(fleet)
    sending = asyncio.create_task(load.run())
    for _ in range(ROUND_COUNT):
        await asyncio.sleep(PAUSE_SECONDS)
        load.rate = BURST_FACTOR * USUAL_PER_SECOND
        await asyncio.sleep(BURST_SECONDS - GARBLE_SECONDS)
        if with_trouble:
            for server in servers[: int(SHARE * SERVER_COUNT)]:
                server.repeated_share = PART
                fleet.record.write('faulty', server=server.name)
        await asyncio.sleep(GARBLE_SECONDS)
        for server in servers:
            server.repeated_share = 0.0
        load.rate = USUAL_PER_SECOND
        fleet.record.write('no server is faulty')
    sending.cancel()
    await asyncio.sleep(DEADLINE_SECONDS + 1.0)
    runs: collections.Counter[str] = collections.Counter()
    for server in servers:
        for run in server.runs:
            runs[run.request] += 1
        fleet.record.write('sent twice', requests=server.repeated)
    twice = [request for request, count in runs.items() if count > 1]
    false_refusals = [
        request
        for request, outcome in load.ends.items()
        if outcome in ('503', '429') and request in runs
    ]
    outcomes = collections.Counter(load.ends.values())
    fleet.record.write(
        'result', twice=twice, refused_and_ran=false_refusals,
        outcomes=dict(outcomes),
    )  # fmt: skip
    repeated = sum(len(server.repeated) for server in servers)
    print(
        f'ran twice: {twice}; refused and ran: {false_refusals};'
        f' responses sent twice: {repeated}; {dict(outcomes)}'
    )
    return not twice


if __name__ == '__main__':
    FOLDER = pathlib.Path(__file__).resolve().parent
    TROUBLE = sys.argv[1] != '0'
    sys.exit(fleet_module.run(FOLDER, play, TROUBLE, 100.0))
