"""Orders from a run to its processes, a JSON line each on standard input.

What the processes see goes out as records, a line each on standard output,
which is a file that the run reads while it grows.
"""

import asyncio
import os
import sys
import time
import typing

import msgspec

from vanillayoke.soak import records


class Fail(msgspec.Struct, frozen=True, tag=True):
    """The next requests of a server fail in a way."""

    fault: str
    times: int


class Pace(msgspec.Struct, frozen=True, tag=True):
    """A model server takes so long from one event to the next, in seconds."""

    gap: float


class Store(msgspec.Struct, frozen=True, tag=True):
    """How the store treats calls from now on; ``delay`` in seconds."""

    mode: str = 'serve'
    delay: float = 0.004
    lost_replies: int = 0
    late_writes: int = 0
    forget: bool = False


class Put(msgspec.Struct, frozen=True, tag=True):
    """A row is written by the operator or a server.

    ``record`` is written to the output once the row stands.
    """

    table: str
    key: str
    content: dict[str, typing.Any] | None
    record: records.Record | None = None


class Spoil(msgspec.Struct, frozen=True, tag=True):
    """Another writer puts bytes in a row that nobody can read."""

    table: str
    key: str


class Link(msgspec.Struct, frozen=True, tag=True):
    """How the proxy treats connections to an address from now on.

    ``mode`` is one of ``links.Mode``; ``delay`` in seconds, ``rate`` in bytes
    a second where it is above 0.
    """

    address: str
    mode: str = 'pass'
    delay: float = 0.0
    rate: float = 0.0


class Forward(msgspec.Struct, frozen=True, tag=True):
    """The proxy listens at an address and connects to another one."""

    address: str
    to: str


Order = Fail | Pace | Store | Put | Spoil | Link | Forward
_DECODER = msgspec.json.Decoder(Order)


def write_record(record: records.Record) -> None:
    """Append a record to this process's output."""
    os.write(sys.stdout.fileno(), records.ENCODER.encode(record) + b'\n')


def read_now() -> float:
    """Return the time that all processes of a run share."""
    return time.monotonic()


async def read_orders() -> typing.AsyncIterator[Order]:
    """Yield the orders on standard input until it is closed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer
    )
    while line := await reader.readline():
        yield _DECODER.decode(line)
