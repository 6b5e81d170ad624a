"""Commands to the processes of a run, as JSON lines on standard input.

The processes write records as JSON lines to standard output, a file that the
run polls.
"""

import asyncio
import os
import sys
import time
import typing

import msgspec

from vanillayoke.soak import records


class Fail(msgspec.Struct, frozen=True, tag=True):
    """Inject a fault into the next ``times`` requests of a server."""

    fault: str
    times: int


class Misbehave(msgspec.Struct, frozen=True, tag=True):
    """Break the protocol in the next ``times`` requests of a server."""

    hostility: str
    times: int


class Behave(msgspec.Struct, frozen=True, tag=True):
    """Drop the faults of a server that no request has met."""


class Pace(msgspec.Struct, frozen=True, tag=True):
    """Set the interval between events of a model server, in seconds."""

    gap: float


class Contend(msgspec.Struct, frozen=True, tag=True):
    """Set how much longer than usual work takes on a server's machine."""

    contention: float


class Store(msgspec.Struct, frozen=True, tag=True):
    """Set how the store handles calls; ``delay`` in seconds."""

    mode: str = 'serve'
    delay: float = 0.004
    lost_replies: int = 0
    late_writes: int = 0
    forget: bool = False


class Put(msgspec.Struct, frozen=True, tag=True):
    """Write a row, or delete it if ``content`` is ``None``.

    The store process outputs ``record`` once the row is written.
    """

    table: str
    key: str
    content: dict[str, typing.Any] | None
    record: records.Record | None = None


class Spoil(msgspec.Struct, frozen=True, tag=True):
    """Write a row that cannot be decoded, or whose JSON is nested deeply."""

    table: str
    key: str
    is_nested: bool = False


class Link(msgspec.Struct, frozen=True, tag=True):
    """Set how the proxy handles connections to an address.

    ``mode`` is a value of ``Mode`` in the module links. ``delay`` is in
    seconds, ``rate`` in bytes per second; 0 means unlimited.
    """

    address: str
    mode: str = 'pass'
    delay: float = 0.0
    rate: float = 0.0


class Forward(msgspec.Struct, frozen=True, tag=True):
    """Listen at ``address`` and connect to ``to``."""

    address: str
    to: str


Command = (
    Fail
    | Misbehave
    | Behave
    | Pace
    | Contend
    | Store
    | Put
    | Spoil
    | Link
    | Forward
)
_DECODER = msgspec.json.Decoder(Command)


def write_record(record: records.Record) -> None:
    """Write a record to standard output."""
    os.write(sys.stdout.fileno(), records.ENCODER.encode(record) + b'\n')


def read_now() -> float:
    """Return the monotonic time, which all processes share."""
    return time.monotonic()


async def read_commands() -> typing.AsyncIterator[Command]:
    """Yield commands from standard input until it is closed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer
    )
    while line := await reader.readline():
        yield _DECODER.decode(line)
