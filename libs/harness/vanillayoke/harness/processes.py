"""Child processes of a trial: started, signalled and always ended."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

START_TIMEOUT = 30.0
_POLL = 0.02


class ManagedProcess:
    """One process, its output in a file, ended when the trial ends."""

    def __init__(
        self, name: str, arguments: typing.Sequence[str], folder: pathlib.Path
    ) -> None:
        self.name = name
        self.output = folder / f'{name}.out'
        with self.output.open('wb') as stream:
            self._child = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=stream,
                stderr=subprocess.STDOUT,
                env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1'},
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._child.poll() is None

    def read_address(self) -> str:
        """Wait for the address that a stand-in prints as its first line."""
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            lines = self.output.read_text().splitlines()
            if lines and lines[0].startswith('{'):
                return json.loads(lines[0])['address']
            if not self.is_running:
                break
            time.sleep(_POLL)
        raise RuntimeError(f'{self.name}: {self.output.read_text()}')

    def send(self, number: signal.Signals) -> None:
        """Send a signal where the process still runs."""
        if self.is_running:
            self._child.send_signal(number)

    def kill(self) -> None:
        """End the process without notice and wait for its end."""
        self.send(signal.SIGKILL)
        self._child.wait()

    def stop(self, timeout: float) -> int | None:
        """Ask the process to end; return its exit status if it did."""
        self.send(signal.SIGTERM)
        try:
            return self._child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def wait(self, timeout: float) -> int:
        """Wait for the process to end by itself; return its status."""
        return self._child.wait(timeout)

    def read_memory(self) -> int:
        """Return the resident memory in bytes."""
        for line in self._read_proc('status').splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024
        return 0

    def read_cpu(self) -> float:
        """Return the processor time used so far, in seconds."""
        fields = self._read_proc('stat').rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def _read_proc(self, name: str) -> str:
        return pathlib.Path(f'/proc/{self.pid}/{name}').read_text()
