"""Child processes of a run."""

import asyncio
import os
import pathlib
import signal
import sys
import typing

import msgspec

from vanillayoke.soak import control
from vanillayoke.soak import records


class Child:
    """A process whose output goes to a file that can be polled."""

    def __init__(self, name: str, output: pathlib.Path) -> None:
        self.name = name
        self.output = output
        self._read_offset = 0
        self._process: asyncio.subprocess.Process | None = None

    @classmethod
    async def start(
        cls,
        name: str,
        folder: pathlib.Path,
        arguments: typing.Sequence[str],
        variables: dict[str, str] | None = None,
    ) -> typing.Self:
        """Start a Python process and append its output to a file."""
        child = cls(name, folder / f'{name}.log')
        with child.output.open('ab') as output:
            child._read_offset = output.tell()
            child._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=output,
                stderr=output,
                env={**os.environ, **(variables or {})},
            )
        return child

    @property
    def is_running(self) -> bool:
        """Whether the process is still running."""
        return self._process.returncode is None

    def read_peak_memory(self) -> int:
        """Return the peak resident size in bytes, 0 if it has ended."""
        if not self.is_running:
            return 0
        try:
            text = pathlib.Path(
                f'/proc/{self._process.pid}/status'
            ).read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            name, _, size = line.partition(':')
            if name == 'VmHWM':
                return int(size.split()[0]) * 1024
        return 0

    def send_command(self, command: control.Command) -> None:
        """Send a command, unless the process has ended."""
        if self.is_running:
            self._process.stdin.write(msgspec.json.encode(command) + b'\n')

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Return the exit status, negative for a signal."""
        return await self._process.wait()

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.is_running:
            # A process stopped by SIGSTOP does not notice end of input.
            self._process.send_signal(signal.SIGKILL)
        await self._process.wait()

    def read_records(self) -> list[records.Record]:
        """Return the records written since the last call."""
        with self.output.open('rb') as output:
            output.seek(self._read_offset)
            data = output.read()
        complete = data.rpartition(b'\n')[0]
        self._read_offset += len(complete) + 1 if complete else 0
        found = []
        for line in complete.splitlines():
            try:
                found.append(records.DECODER.decode(line))
            except msgspec.DecodeError:
                # Other output, such as a warning or traceback.
                continue
        return found
