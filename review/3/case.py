"""An unreadable entry among the servers stops all instances."""

import asyncio
import collections
import itertools
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common import fleet as fleet_module  # noqa: E402
from common import targets  # noqa: E402
from common import wire  # noqa: E402

INSTANCE_COUNT, ZONE_COUNT = 6, 3
SENT_PER_SECOND = 30.0
# Bytes of another writer, far below the store's limit for a row.
FOREIGN_BYTES = b'{"a":' * 1500
ROW_BYTES = 65536
ENTRY_AT_SECONDS = 4.0
# The final fault: all processes are killed, and start again.
KILL_AT_SECONDS = 8.0
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 15.0
JUDGED_SECONDS = 8.0
DEADLINE_SECONDS = 1.5


def make_configuration() -> dict:
    """Return the operator's configuration."""
    route = {
        'name': 'look', 'host': fleet_module.HOST_NAME, 'prefix': '/look/',
        'route_kind': 'safe', 'timeout_ms': 1500, 'slo_ms': 200,
        'priority': 2, 'service': 'app', 'max_attempts': 2,
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
    """Sends requests, each on a connection of its own."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._rng = random.Random(3)
        # When each request was sent and how it was answered.
        self.ends: list[tuple[float, str]] = []
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send until cancelled."""
        for number in itertools.count():
            await asyncio.sleep(self._rng.expovariate(SENT_PER_SECOND))
            task = asyncio.create_task(self._send(f'{number:016x}'))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, request: str) -> None:
        sent_at = self._fleet.record.now()
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
                    'GET',
                    '/look/1',
                    {
                        'Host': fleet_module.HOST_NAME,
                        'X-Vanillayoke-Request-Id': request,
                        'X-Vanillayoke-Deadline-Ms': '1500',
                    },
                    b'',
                )
            outcome = str(response.status)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            client.close()
        self.ends.append((sent_at, outcome))
        self._fleet.record.write(
            'request', request=request, sent_at=round(sent_at, 3),
            to=instance.name, how=outcome,
        )  # fmt: skip

    def count(self, start: float, end: float) -> collections.Counter[str]:
        """Return how the requests sent in a period ended."""
        return collections.Counter(
            outcome for sent, outcome in self.ends if start <= sent < end
        )


async def play(fleet: fleet_module.Fleet, with_trouble: bool) -> bool:
    """Put the entry, kill all processes, and see whether they recover."""
    assert len(FOREIGN_BYTES) < ROW_BYTES
    fleet.store.put('op', 'config', make_configuration())
    for number in range(4):
        server = targets.TargetServer(
            f's{number}', 'app', 6, 0.02, zone=f'z{number % ZONE_COUNT + 1}'
        )
        await server.start(fleet)
    await fleet.start(
        INSTANCE_COUNT,
        ZONE_COUNT,
        fleet_module.TENANT_RULES,
        fleet_module.TENANT_BOUNDS,
    )
    load = Load(fleet)
    sending = asyncio.create_task(load.run())
    begun_at = fleet.record.now()
    await asyncio.sleep(ENTRY_AT_SECONDS)
    if with_trouble:
        fleet.store.put_bytes('servers', 'foreign', FOREIGN_BYTES)
        fleet.record.write('entry written', size=len(FOREIGN_BYTES))
    await asyncio.sleep(KILL_AT_SECONDS - ENTRY_AT_SECONDS)
    killed_at = fleet.record.now()
    for instance in fleet.instances:
        instance.signal(signal.SIGKILL)
        await instance.process.wait()
    fleet.record.write('all processes killed')
    await asyncio.sleep(DOWN_SECONDS)
    for instance in fleet.instances:
        await fleet.start_process(instance, False)
    back_at = fleet.record.now()
    await asyncio.sleep(RECOVERY_SECONDS + JUDGED_SECONDS)
    sending.cancel()
    await asyncio.sleep(DEADLINE_SECONDS)
    before = load.count(begun_at, killed_at - DEADLINE_SECONDS)
    since = back_at + RECOVERY_SECONDS
    after = load.count(since, since + JUDGED_SECONDS)
    fleet.record.write('counts', before=dict(before), after=dict(after))
    print(f'before the final fault {dict(before)}, after it {dict(after)}')
    share_before = before['200'] / before.total()
    share_after = after['200'] / after.total()
    return not (share_before >= 0.25 and share_after < 0.25)


if __name__ == '__main__':
    FOLDER = pathlib.Path(__file__).resolve().parent
    TROUBLE = sys.argv[1] != '0'
    sys.exit(fleet_module.run(FOLDER, play, TROUBLE, 100.0))
