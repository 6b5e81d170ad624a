"""A small deployment on loopback: stand-ins, instances, configuration."""

import hashlib
import json
import pathlib
import socket
import typing
import urllib.request

from vanillayoke.harness import processes

OPERATOR_KEY = 'demo-operator-key'
ZONES = ('zone-a', 'zone-b', 'zone-c')
REGION = 'region-1'
_LOOPBACK = '127.0.0.1'
_STOP_TIMEOUT = 40.0
_REQUEST_TIMEOUT = 10.0


class InstanceProcess(typing.NamedTuple):
    """A running instance and the address that callers use."""

    name: str
    address: str
    process: processes.ManagedProcess


class Site:
    """Starts the parts of a deployment and ends them all on exit."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.instances: dict[str, InstanceProcess] = {}
        self.engines: dict[str, str] = {}
        self.services: dict[str, str] = {}
        self.platform = ''
        self._groups: dict[str, str] = {}
        self._started: list[processes.ManagedProcess] = []

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exception: object) -> None:
        for process in reversed(self._started):
            process.kill()

    def start_platform(self) -> None:
        """Start the stand-in of the platform."""
        self.platform = self._start_stand_in('platform', 'platform_http')

    def start_engine(self, name: str) -> None:
        """Start a stand-in engine."""
        self.engines[name] = self._start_stand_in(name, 'engine_http')

    def start_service(self, name: str, group: str) -> None:
        """Start a stand-in service of a group."""
        self.services[name] = self._start_stand_in(name, 'service_http')
        self._groups[name] = group

    def start_instance(
        self, name: str, zone: str, **settings: typing.Any
    ) -> InstanceProcess:
        """Start an instance and list it with the platform."""
        entry, peer = _find_free_ports(2)
        self.register(name, entry, peer, zone)
        path = self.folder / f'{name}.json'
        base = f'http://{self.platform}'
        described = {
            'instance': {
                'name': name,
                'zone': zone,
                'region': REGION,
                'entry_address': entry,
                'peer_address': peer,
            },
            'platform': {
                'table': base,
                'objects': base,
                'weights': base,
                'instances': base,
            },
            'operator_key': OPERATOR_KEY,
            **settings,
        }
        path.write_text(json.dumps(described, indent=2))
        process = self._start(
            name, ['-m', 'vanillayoke.cli', 'serve', f'--settings={path}']
        )
        started = InstanceProcess(name, entry, process)
        self.instances[name] = started
        return started

    def register(self, name: str, entry: str, peer: str, zone: str) -> None:
        """List an instance with the platform."""
        self.post(
            self.platform,
            '/instances',
            {
                'instance': name,
                'peer_address': peer,
                'entry_address': entry,
                'zone': zone,
                'region': REGION,
                'leaving': False,
            },
        )

    def stop_instance(self, name: str) -> int | None:
        """Stop an instance in order; return its exit status."""
        return self.instances.pop(name).process.stop(_STOP_TIMEOUT)

    def kill_instance(self, name: str) -> None:
        """End an instance without notice."""
        self.instances.pop(name).process.kill()

    def write_configuration(self, client_key: str) -> pathlib.Path:
        """Write a settings folder that fits this site."""
        folder = self.folder / 'configuration'
        folder.mkdir(exist_ok=True)
        digest = hashlib.sha256(client_key.encode()).hexdigest()
        parts = {
            '10-targets.json': {'targets': self._describe_targets()},
            '20-models.json': {'models': {'base': {}}},
            '30-tools.json': {'tools': _TOOLS},
            '40-agents.json': {'agents': _AGENTS},
            '50-clients.json': {
                'clients': {'tkacik': {'key_hashes': [digest]}}
            },
        }
        for name, part in parts.items():
            (folder / name).write_text(json.dumps(part, indent=2))
        return folder

    def apply(self, folder: pathlib.Path) -> str:
        """Publish a folder by the command line; return what it printed."""
        return self.ask_operator(
            'apply',
            str(folder),
            f'--table=http://{self.platform}',
            f'--objects=http://{self.platform}',
        )

    def ask_operator(self, *arguments: str) -> str:
        """Run a command that asks instances; return its output."""
        key_file = self.folder / 'operator.key'
        key_file.write_text(OPERATOR_KEY)
        entries = ','.join(one.address for one in self.instances.values())
        return self.run_command(
            *arguments,
            f'--entry={entries}',
            f'--operator_key_file={key_file}',
        )

    def run_command(self, *arguments: str) -> str:
        """Run a command of vanillayoke to its end; return its output."""
        process = self._start(
            f'command-{len(self._started)}',
            ['-m', 'vanillayoke.cli', *arguments],
        )
        status = process.wait(_STOP_TIMEOUT)
        text = process.output.read_text()
        if status != 0:
            raise RuntimeError(f'{arguments[0]} gave {status}: {text}')
        return text

    def post(self, address: str, path: str, body: typing.Any) -> bytes:
        """Send JSON to a stand-in."""
        request = urllib.request.Request(
            f'http://{address}{path}',
            data=json.dumps(body).encode(),
            headers={'Content-Type': 'application/json'},
        )
        with urllib.request.urlopen(
            request, timeout=_REQUEST_TIMEOUT
        ) as response:
            return response.read()

    def get(self, address: str, path: str) -> typing.Any:
        """Read JSON from a stand-in."""
        with urllib.request.urlopen(
            f'http://{address}{path}', timeout=_REQUEST_TIMEOUT
        ) as response:
            return json.load(response)

    def _describe_targets(self) -> dict[str, typing.Any]:
        described: dict[str, typing.Any] = {}
        for index, (name, address) in enumerate(self.engines.items()):
            described[name] = {
                'kind': 'engine',
                'address': address,
                'zone': ZONES[index % len(ZONES)],
                'region': REGION,
            }
        for index, (name, address) in enumerate(self.services.items()):
            described[name] = {
                'kind': 'service',
                'address': address,
                'zone': ZONES[index % len(ZONES)],
                'region': REGION,
                'group': self._groups[name],
            }
        return described

    def _start_stand_in(self, name: str, module: str) -> str:
        process = self._start(
            name, ['-m', f'vanillayoke.fakes.{module}', f'--name={name}']
        )
        return process.read_address()

    def _start(
        self, name: str, arguments: typing.Sequence[str]
    ) -> processes.ManagedProcess:
        process = processes.ManagedProcess(name, arguments, self.folder)
        self._started.append(process)
        return process


_TOOLS = {
    'stock': {'service': 'supplier', 'path': '/stock', 'idempotent': True},
    'order': {'service': 'orders', 'path': '/order', 'idempotent': False},
}
_AGENTS = {
    'board': {
        'model': 'base',
        'instructions': 'You help an interior designer.',
        'tools': ['stock', 'order'],
        'children': ['researcher'],
    },
    'researcher': {'model': 'base', 'tools': ['stock']},
}


def decode(blob: bytes) -> typing.Any:
    """Decode a stand-in's JSON answer."""
    return json.loads(blob)


def _find_free_ports(count: int) -> list[str]:
    """Return free loopback addresses.

    The ports are held together while they are drawn, so that they differ;
    another program could still take one before it is used.
    """
    opened = [socket.create_server((_LOOPBACK, 0)) for _ in range(count)]
    addresses = [f'{_LOOPBACK}:{one.getsockname()[1]}' for one in opened]
    for one in opened:
        one.close()
    return addresses
