"""What NNG costs a process: threads, memory, descriptors, round trips.

Run as ``python -m vanillayoke.bench.peers [COUNT ...]``; prints one JSON line
per number of peers. All ends are in this process, so the costs are those of
both ends. Threads and descriptors are read where Linux shows them.
"""

import asyncio
import json
import pathlib
import resource
import sys
import time
import typing

from vanillayoke.peers import nng

COUNTS = (1, 4, 8, 12, 24, 64)
ROUND_TRIPS = 5000
PAYLOAD = b'x' * 64
_SELF = pathlib.Path('/proc/self')


class Costs(typing.NamedTuple):
    """What the process uses now."""

    threads: int
    resident_kb: int
    descriptors: int


class Figures(typing.NamedTuple):
    """What was measured with one number of peers."""

    peers: int
    threads: int
    resident_kb: int
    descriptors: int
    round_trips_s: int
    cpu_us_per_round_trip: int
    redial_us: int


def read_costs() -> Costs:
    """Read this process's use of threads, memory and descriptors."""
    fields = dict(
        line.split(':', 1)
        for line in (_SELF / 'status').read_text().splitlines()
    )
    return Costs(
        int(fields['Threads']),
        int(fields['VmRSS'].split()[0]),
        len(list((_SELF / 'fd').iterdir())),
    )


class Echo:
    """A peer that sends back what it gets."""

    def __init__(self, loop: asyncio.AbstractEventLoop, back: str) -> None:
        self._loop = loop
        self._back = back
        self.transport = nng.NngTransport.listen(loop, '127.0.0.1:0')
        self.transport.subscribe(self._answer)

    def _answer(self, message: bytes) -> None:
        self._loop.create_task(self.transport.send(self._back, message))


async def measure(count: int) -> Figures:
    """Measure one transport with a number of peers."""
    loop = asyncio.get_running_loop()
    received: asyncio.Queue = asyncio.Queue()
    hub = nng.NngTransport.listen(loop, '127.0.0.1:0', max_connections=count)
    hub.subscribe(received.put_nowait)
    peers = [Echo(loop, hub.address) for _ in range(count)]
    addresses = [peer.transport.address for peer in peers]

    async def go_round(address: str) -> None:
        await hub.send(address, PAYLOAD)
        await received.get()

    for address in addresses:
        await go_round(address)
    began, began_cpu = time.perf_counter(), _read_cpu()
    for number in range(ROUND_TRIPS):
        await go_round(addresses[number % count])
    took = time.perf_counter() - began
    cpu = _read_cpu() - began_cpu
    costs = read_costs()
    redial = await _measure_redial(hub, addresses[0], go_round)
    for peer in peers:
        await peer.transport.close()
    await hub.close()
    return Figures(
        count,
        *costs,
        round(ROUND_TRIPS / took),
        round(cpu / ROUND_TRIPS * 1e6),
        round(redial * 1e6),
    )


async def _measure_redial(
    hub: nng.NngTransport,
    address: str,
    go_round: typing.Callable[[str], typing.Awaitable[None]],
) -> float:
    repeats = 100
    began = time.perf_counter()
    for _ in range(repeats):
        hub.forget(address)
        await go_round(address)
    return (time.perf_counter() - began) / repeats


def _read_cpu() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def main(arguments: list[str]) -> int:
    """Print the costs before NNG starts and the figures of each count."""
    before = read_costs()
    print(json.dumps({'before': before._asdict()}))
    for count in [int(argument) for argument in arguments] or COUNTS:
        print(json.dumps(asyncio.run(measure(count))._asdict()), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
