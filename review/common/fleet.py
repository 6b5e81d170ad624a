"""Starts the project's own processes and the stand-ins of a case."""

import asyncio
import json
import os
import pathlib
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import typing

from common import platform_store
from common import wire

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST_NAME = 'site.example'
SETTINGS_VARIABLE = 'VANILLAYOKE_SETTINGS'
READY_SECONDS = 30.0
# Of an instance: those of its settings, of its peers and of its metrics.
USED_PORTS = (8149, 8141, 8143, 7380, 7381, 9464)
HELD, BROKEN, NOT_RUN = 0, 1, 2
# As the sheets tell them: of tkacik-moodboard, and of mvmcha-fleet-grown.
SMALL_RULES = [
    'base',
    'drain',
    'config',
    'cost',
    'recover',
    'agent',
    'stream',
    'engine',
    'platform',
]
SMALL_BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_timeout_ms': 4000,
    'catchup_s': 4.5,
    'drain_timeout_ms': 2000,
    'grace_period_s': 8,
    'loss_slack_ms': 200,
    'config_deadline_ms': 2000,
    'rollback_slack_ms': 250,
    'skew_max_ms': 5000,
    'recovery_s': 12,
    'pass_ms': 120,
    'retry_after_s': 0,
    'deadline_s': 10,
    'settle_ms': 1000,
    'ttl_max_s': 5,
}
TENANT_RULES = [*SMALL_RULES, 'health', 'pool', 'tenants', 'quota', 'pressure']
TENANT_BOUNDS = {
    **SMALL_BOUNDS,
    'contact_ms': 4000,
    'ack_timeout_ms': 6000,
    'catchup_s': 6,
    'drain_timeout_ms': 3000,
    'config_deadline_ms': 3000,
    'skew_max_ms': 6000,
    'recovery_s': 15,
    'pass_ms': 200,
    'strict_revoke': False,
    'revoke_deadline_ms': 5000,
    'quota_window_s': 5,
    'quota_excess': 0.1,
    'quota_slack': 20,
}


class Record:
    """Writes what happens to ``record.txt``, one JSON object a line."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, event: str, **details: typing.Any) -> None:
        """Write one event."""
        line = {'at': round(self.now(), 4), 'event': event, **details}
        self._file.write(json.dumps(line) + '\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Instance:
    """One process of the project, on a loopback address of its own."""

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        rules: list[str],
        bounds: dict,
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.rules = rules
        self.bounds = bounds
        self.front = f'{ip}:8149'
        self.ready = f'{ip}:8141'
        self.directory = f'{ip}:8143'
        self.process: asyncio.subprocess.Process | None = None
        # Whether clients still try it.
        self.is_up = True

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def make_settings(self, store: str, is_first_start: bool) -> dict:
        """Return the settings as DEPLOY.md shows them."""
        return {
            'node': self.name,
            'node_role': 'gateway',
            'machine_class': 'edge',
            'serves': ['edge', 'dir'],
            'node_ip': self.ip,
            'zone': self.zone,
            'region': 'r1',
            'zones': {self.zone: 'r1'},
            'listen_addrs': {
                'front': self.front,
                'ready': self.ready,
                'control': f'{self.ip}:8144',
                'directory': self.directory,
            },
            'port_range': [7380, 7395],
            'seed_addrs': [],
            'bootstrap': is_first_start,
            'limits': {'memory_mb': 170, 'max_fds': 8200},
            'heartbeat_ms': 1200,
            'active_rules': self.rules,
            'bounds': self.bounds,
            'platform': {
                'address': store, 'form': 'table', 'writes_per_s': 800,
                'reads_per_s': 2000, 'txn_ms': 5.0, 'part_writes_s': 200,
                'row_bytes': 65536, 'across': False, 'history_s': 20,
            },
        }  # fmt: skip


class Fleet:
    """The store, the instances and what ends them."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.record = record
        self.store = platform_store.Store()
        self.instances: list[Instance] = []
        self._folder = folder
        self._stores: dict[str, str] = {}
        self._network = _choose_network()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._role = deploy['roles']['gateway']

    async def start(
        self,
        count: int,
        zones: int,
        rules: list[str] = SMALL_RULES,
        bounds: dict = SMALL_BOUNDS,
    ) -> None:
        """Start instances, and wait until all know one another."""
        for number in range(count):
            ip = f'{self._network}.{10 + number}'
            zone = f'z{number % zones + 1}'
            name = f'edge-{zone}-{number}'
            instance = Instance(name, ip, zone, rules, bounds)
            self.instances.append(instance)
            address = await self.store.listen(instance.name)
            self._stores[instance.name] = address
        for instance in self.instances:
            await self.start_process(instance, True)
        await self._wait_until_ready()

    async def start_process(
        self, instance: Instance, is_first_start: bool
    ) -> None:
        """Start the process of an instance with the deploy file's command."""
        path = self._folder / f'{instance.name}.json'
        store = self._stores[instance.name]
        settings = instance.make_settings(store, is_first_start)
        path.write_text(json.dumps(settings))
        words = shlex.split(self._role['run'])
        with (self._folder / f'{instance.name}.log').open('ab') as output:
            instance.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    SETTINGS_VARIABLE: str(path),
                    **self._role.get('env', {}),
                },
            )
        self.record.write(
            'process started',
            machine=instance.name,
            front=instance.front,
            pid=instance.process.pid,
        )

    def find(self, name: str) -> Instance:
        """Return the instance with a name."""
        return next(one for one in self.instances if one.name == name)

    async def stop(self) -> None:
        """End all processes."""
        for instance in self.instances:
            if instance.process is not None:
                instance.signal(signal.SIGCONT)
                instance.signal(signal.SIGKILL)
                await instance.process.wait()

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_SECONDS):
            while True:
                counts = [
                    len(await resolve(one.directory, one.zone, 64))
                    for one in self.instances
                ]
                ready = [await _is_ready(one) for one in self.instances]
                known = len(self.store.read('instances'))
                expected = len(self.instances)
                if all(counts) and all(ready) and known == expected:
                    return
                await asyncio.sleep(0.1)


async def resolve(directory: str, zone: str, most: int = 64) -> list[str]:
    """Return the addresses that the directory names; none on a failure."""
    client = wire.Client(directory)
    try:
        async with asyncio.timeout(1.0):
            await client.connect()
            response = await client.send(
                'GET',
                f'/-/resolve?name={HOST_NAME}&region=r1&zone={zone}',
                {'Host': directory},
                b'',
            )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return []
    finally:
        client.close()
    if response.status != 200:
        return []
    return json.loads(response.body)['addresses'][:most]


async def _is_ready(instance: Instance) -> bool:
    client = wire.Client(instance.ready)
    try:
        await client.connect()
        response = await client.send(
            'GET', '/-/readyz', {'Host': instance.ready}, b''
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        client.close()
    return response.status == 200


def _choose_network() -> str:
    """Return the first three parts of free loopback addresses."""
    for attempt in range(200):
        number = (os.getpid() * 7 + attempt) % (250 * 250)
        network = f'127.{number // 250 + 1}.{number % 250 + 1}'
        if all(
            _is_free(f'{network}.{10 + last}', port)
            for last in range(16)
            for port in USED_PORTS
        ):
            return network
    raise OSError('no free loopback network')


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


Case = typing.Callable[[Fleet, bool], typing.Awaitable[bool]]


def run(
    folder: pathlib.Path,
    case: Case,
    with_trouble: bool,
    limit_seconds: float,
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, else 2.

    The case gets the fleet and whether to disrupt it, and returns whether
    the rule held.
    """
    record = Record(folder)
    record.write('case', trouble=with_trouble)
    status = asyncio.run(_run(case, record, with_trouble, limit_seconds))
    record.write('verdict', exit=status)
    record.close()
    return status


async def _run(
    case: Case, record: Record, with_trouble: bool, limit_seconds: float
) -> int:
    # An early end of the script ends its processes, too.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    with tempfile.TemporaryDirectory(prefix='review-') as folder:
        fleet = Fleet(pathlib.Path(folder), record)
        try:
            async with asyncio.timeout(limit_seconds):
                held = await case(fleet, with_trouble)
        except (Exception, asyncio.CancelledError) as error:
            record.write('could not run', error=repr(error))
            print(f'could not run: {error!r}')
            return NOT_RUN
        finally:
            await fleet.stop()
            _keep_logs(pathlib.Path(folder))
    return HELD if held else BROKEN


def _keep_logs(folder: pathlib.Path) -> None:
    """Copy the logs of the processes to where KEEP_LOGS says, if it does."""
    kept = os.environ.get('KEEP_LOGS')
    if kept:
        for path in folder.glob('*.log'):
            (pathlib.Path(kept) / path.name).write_bytes(path.read_bytes())
