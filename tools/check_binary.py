"""Run build/vanillayoke as operators do and check what they rely on.

Run after ``tools/build_binary.sh``. It prints the version, checks the
settings of an example, and serves beside a stand-in of the platform: one
process without children, which a SIGTERM ends with status 0. What the file
unpacks goes into a temporary folder. Exit status 1 names what did not hold.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = ROOT / 'build' / 'vanillayoke'
EXAMPLE = ROOT / 'examples' / 'tkacik'
_LOOPBACK = '127.0.0.1'
_PATIENCE = 20.0
_POLL = 0.1
_SERVING_TIME = 3.0


class Check(typing.NamedTuple):
    """One check, whether it held and what was seen."""

    name: str
    held: bool
    seen: str


class Binary(typing.NamedTuple):
    """The built file and the folder that it may write to."""

    path: pathlib.Path
    folder: pathlib.Path

    @property
    def environ(self) -> dict[str, str]:
        """Return an environment with no path to the work tree."""
        return {
            'PATH': os.environ['PATH'],
            'HOME': str(self.folder),
            'SHIV_ROOT': str(self.folder / 'unpacked'),
        }

    def run(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run a command to its end."""
        return subprocess.run(
            [self.path, *arguments],
            cwd=self.folder,
            env=self.environ,
            capture_output=True,
            text=True,
            timeout=_PATIENCE,
        )

    def serve(self, settings: pathlib.Path) -> subprocess.Popen:
        """Start an instance."""
        return subprocess.Popen(
            [self.path, 'serve', f'--settings={settings}'],
            cwd=self.folder,
            env=self.environ,
            stdout=subprocess.DEVNULL,
        )


def list_children(pid: int) -> list[int]:
    """Return the processes that a process's threads have started."""
    tasks = pathlib.Path(f'/proc/{pid}/task')
    return [
        int(child)
        for task in tasks.iterdir()
        for child in (task / 'children').read_text().split()
    ]


def check_command(binary: Binary, name: str, *arguments: str) -> Check:
    """Check that a command ends with status 0."""
    done = binary.run(name, *arguments)
    seen = f'status {done.returncode}: {(done.stdout + done.stderr).strip()}'
    return Check(name, done.returncode == 0, seen)


def check_gateway(binary: Binary) -> Check:
    """Check that the gateway starts and says what it lacks."""
    done = binary.run('gateway')
    held = done.returncode == 2 and 'settings file' in done.stderr
    seen = f'status {done.returncode}: {done.stderr.strip()}'
    return Check('gateway without settings', held, seen)


def check_serve(binary: Binary, platform: str) -> list[Check]:
    """Check an instance: ready, alone, and ended by a signal."""
    entry, peer = _find_free_ports(2)
    settings = binary.folder / 'process.json'
    settings.write_text(json.dumps(_describe(entry, peer, platform)))
    process = binary.serve(settings)
    try:
        ready = _wait_ready(process, entry)
        children = _watch_children(process.pid) if ready else set()
        process.send_signal(signal.SIGTERM)
        status = process.wait(_PATIENCE)
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
    return [
        Check('ready', ready, entry),
        Check('no child process', ready and not children, f'{children}'),
        Check('SIGTERM', status == 0, f'status {status}'),
    ]


def _watch_children(pid: int) -> set[int]:
    seen: set[int] = set()
    deadline = time.monotonic() + _SERVING_TIME
    while time.monotonic() < deadline:
        seen.update(list_children(pid))
        time.sleep(_POLL)
    return seen


def _wait_ready(process: subprocess.Popen, address: str) -> bool:
    deadline = time.monotonic() + _PATIENCE
    while process.poll() is None and time.monotonic() < deadline:
        try:
            with urllib.request.urlopen(f'http://{address}/readyz'):
                return True
        except OSError:
            time.sleep(_POLL)
    return False


def _describe(entry: str, peer: str, platform: str) -> dict[str, typing.Any]:
    services = ('table', 'objects', 'weights', 'instances')
    return {
        'instance': {
            'name': 'instance-1',
            'zone': 'zone-a',
            'region': 'region-1',
            'entry_address': entry,
            'peer_address': peer,
        },
        'platform': {name: f'http://{platform}' for name in services},
        'operator_key': 'check-binary-operator-key',
    }


def _find_free_ports(count: int) -> list[str]:
    opened = [socket.create_server((_LOOPBACK, 0)) for _ in range(count)]
    addresses = [f'{_LOOPBACK}:{one.getsockname()[1]}' for one in opened]
    for one in opened:
        one.close()
    return addresses


def run_checks(binary: Binary) -> list[Check]:
    """Run all checks beside a stand-in of the platform."""
    checks = [
        check_command(binary, 'version'),
        check_command(binary, 'check', str(EXAMPLE)),
        check_gateway(binary),
    ]
    stand_in = subprocess.Popen(
        [sys.executable, '-m', 'vanillayoke.fakes.platform_http'],
        stdout=subprocess.PIPE,
        text=True,
    )
    with stand_in:
        try:
            platform = json.loads(stand_in.stdout.readline())['address']
            return checks + check_serve(binary, platform)
        finally:
            stand_in.kill()


def main(arguments: list[str]) -> int:
    """Check the built file, or the one named; return 1 if a check failed."""
    path = pathlib.Path(*arguments).resolve() if arguments else BINARY
    with tempfile.TemporaryDirectory() as folder:
        checks = run_checks(Binary(path, pathlib.Path(folder)))
    for check in checks:
        word = 'ok' if check.held else 'FAILED'
        print(f'{word}: {check.name}: {check.seen}')
    return 0 if all(check.held for check in checks) else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
