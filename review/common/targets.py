"""A stand-in of the users' servers."""

import asyncio
import random
import time
import typing

from common import fleet as fleet_module
from common import wire

HEARTBEAT_SECONDS = 1.2
QUEUE_FACTOR = 4


class Run(typing.NamedTuple):
    """A request that a server began to work on; ``at`` is monotonic."""

    at: float
    request: str
    target: str
    headers: wire.HEADERS
    body: bytes


class TargetServer:
    """A sound server with slots; one with ``events`` streams so many.

    Times are in seconds.
    """

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        work: float,
        events: int = 0,
        zone: str = 'z1',
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.work = work
        self.events = events
        self.zone = zone
        self.address = ''
        self.runs: list[Run] = []
        self._server = wire.Server(self._handle)
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._call_seq = 0
        self._born = int(time.time() * 1000)
        self._heartbeat: asyncio.Task | None = None
        self._record: fleet_module.Record | None = None
        # A faulty server sends this share of its responses a second time,
        # late: when the next response is expected on the connection.
        self.repeated_share = 0.0
        self.rng = random.Random(name)
        self.repeated: list[str] = []
        self._extra: dict[asyncio.StreamWriter, bytes] = {}

    async def start(self, fleet: fleet_module.Fleet) -> None:
        """Listen, and register in the store from now on."""
        self._record = fleet.record
        self.address = await self._server.listen('127.0.0.1')
        self._heartbeat = asyncio.create_task(self._register(fleet))

    async def _register(self, fleet: fleet_module.Fleet) -> None:
        while True:
            row = {
                'service': self.service, 'address': self.address,
                'zone': self.zone, 'version': 'v1',
                'slot_count': self.slots, 'state': 'ready',
                'cold_left_ms': 0, 'call_seq': self._call_seq,
                'born': self._born,
            }  # fmt: skip
            fleet.store.put('servers', self.name, row)
            self._call_seq += 1
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _handle(
        self, request: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        headers = request.headers
        name = headers.get('x-vanillayoke-request-id', '')
        extra = self._extra.pop(writer, None)
        if extra is not None:
            writer.write(extra)
        expected = headers.get('x-vanillayoke-expect-instance', '')
        if not name or (expected and expected != self.name):
            await self._reject(writer, 421 if name else 400, name)
            return True
        if self._waiting >= QUEUE_FACTOR * self.slots:
            await self._reject(writer, 503, name)
            return True
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            now = time.monotonic()
            self.runs.append(
                Run(now, name, request.target, headers, request.body)
            )
            self._record.write('ran', request=name, server=self.name)
            await asyncio.sleep(self.work)
            if self.events:
                await self._stream(request, writer, name)
            else:
                await self._answer(writer, 200, name, b'done')
        finally:
            self._running -= 1
            self._free.release()
        return True

    async def _stream(
        self, request: wire.Request, writer: asyncio.StreamWriter, name: str
    ) -> None:
        first = int(request.headers.get('last-event-id', '0'))
        fields = {
            **self._make_headers(name),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        lines = [f'{key}: {value}' for key, value in fields.items()]
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
        writer.write(head.encode())
        for number in range(first + 1, self.events + 1):
            event = f'id: {number}\ndata: {name}-{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.005)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    async def _reject(
        self, writer: asyncio.StreamWriter, status: int, name: str
    ) -> None:
        await self._answer(writer, status, name, b'')

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        name: str,
        body: bytes,
    ) -> None:
        headers = self._make_headers(name)
        if status != 200:
            del headers['X-Vanillayoke-Server-Stamp']
            headers['X-Vanillayoke-Not-Executed'] = '1'
        await wire.send_response(writer, status, headers, body)
        if self.rng.random() < self.repeated_share:
            self._extra[writer] = wire.encode_response(status, headers, body)
            self.repeated.append(name)

    def _make_headers(self, name: str) -> wire.HEADERS:
        return {
            'X-Vanillayoke-Request-Id': name,
            'X-Vanillayoke-Server-Stamp': f'{self.name}.{name}',
            'X-Vanillayoke-Server-Load': (
                f'{self._running},{self._waiting},{self.slots}'
            ),
        }
