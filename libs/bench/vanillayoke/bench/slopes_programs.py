"""What hosted programs cost: memory in a process, replay after a takeover."""

import asyncio
import pathlib
import tempfile
import time
import typing

import aiohttp

from vanillayoke.bench import slopes_fit
from vanillayoke.bench import slopes_processes
from vanillayoke.core import ids
from vanillayoke.harness import site as sites
from vanillayoke.programs import records
from vanillayoke.programs import replay

OPENED = (0, 400, 800, 1600)
HISTORY_MEGABYTES = (0, 8, 16, 32)
REPLAYED_PROGRAMS = (500, 1000, 2000, 4000)
REPLAYED_MEGABYTES = (16, 32, 64, 128)
_CLIENT_KEY = 'slopes-client-key'
_AT_ONCE = 32
_TEXT_BYTES = 256 * 1024
_SETTLE_TIME = 2.0
_MEGABYTE = 1_000_000
_CALLS_PER_PROGRAM = 4
_SHORT_TEXT = 500
_LONG_TEXT = 100_000
_BUDGET = records.Budget(tokens=10**9, calls=10**6, seconds=1e6, money=10**12)


class Memory(typing.NamedTuple):
    """Resident bytes of an instance."""

    hosting_memory: float


class HistoryMemory(typing.NamedTuple):
    """Resident bytes of an instance."""

    history_memory: float


class ReplayTime(typing.NamedTuple):
    """Seconds to decode a segment and to apply its records."""

    replay_seconds: float


class _Client:
    """Opens programs at an instance and runs turns."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f'http://{address}/v1/programs'
        self._at_once = asyncio.Semaphore(_AT_ONCE)

    async def open(self, number: int) -> str:
        body = {'agent': 'board', 'deadline': 3600.0}
        answer = await self._post('', f'open-{number}', body)
        return answer['program']

    async def call_tool(self, program: str, key: str, size: int) -> None:
        """Add to a program's history without an engine's prefill."""
        arguments = {'article': 'o' * size}
        body = {
            'mode': 'call',
            'tool': 'stock',
            'arguments': arguments,
            'stream': False,
        }
        await self._post(f'/{program}/calls', key, body)

    async def _post(
        self, path: str, key: str, body: dict[str, typing.Any]
    ) -> typing.Any:
        headers = {
            'Authorization': f'Bearer {_CLIENT_KEY}',
            'Idempotency-Key': key,
        }
        async with self._at_once:
            async with self._session.post(
                self._base + path, json=body, headers=headers
            ) as response:
                response.raise_for_status()
                return await response.json()


async def _measure_hosting(
    deployment: sites.Site,
) -> tuple[list[tuple[float, Memory]], list[tuple[float, HistoryMemory]]]:
    one = next(iter(deployment.instances.values()))
    opened: list[str] = []
    by_count = []
    by_history = []
    async with aiohttp.ClientSession() as session:
        client = _Client(session, one.address)
        for count in OPENED:
            numbers = range(len(opened), count)
            opened += await asyncio.gather(*map(client.open, numbers))
            await asyncio.sleep(_SETTLE_TIME)
            memory = one.process.read_memory()
            by_count.append((count, Memory(memory)))
        written = 0
        for size in HISTORY_MEGABYTES:
            turns = size * _MEGABYTE // _TEXT_BYTES
            for turn in range(written, turns):
                key = f'turn-{turn}'
                await client.call_tool(opened[turn], key, _TEXT_BYTES)
            written = turns
            await asyncio.sleep(_SETTLE_TIME)
            memory = one.process.read_memory()
            by_history.append((size, HistoryMemory(memory)))
    return by_count, by_history


def measure_hosting() -> list[slopes_fit.Slope]:
    """Return an instance's memory over programs and over their history."""
    with tempfile.TemporaryDirectory() as folder:
        with sites.Site(pathlib.Path(folder)) as deployment:
            deployment.start_platform()
            deployment.start_engine('engine-1')
            deployment.start_service('supplier-1', 'supplier')
            deployment.start_service('orders-1', 'orders')
            slopes_processes.start_instances(deployment, 1)
            deployment.apply(deployment.write_configuration(_CLIENT_KEY))
            by_count, by_history = asyncio.run(_measure_hosting(deployment))
    unit = 'resident bytes'
    return [
        *slopes_fit.make_slopes(
            'programs', {'hosting_memory': unit}, by_count
        ),
        *slopes_fit.make_slopes(
            'MB of history', {'history_memory': unit}, by_history
        ),
    ]


def make_records(
    count: int, text: int, calls: int = _CALLS_PER_PROGRAM
) -> tuple[records.AnyRecord, ...]:
    """Make the records of programs that were answered some calls."""
    return tuple(
        record
        for number in range(count)
        for record in _make_program(f'prg-{number:032x}', text, calls)
    )


def _make_program(
    program: str, text: int, calls: int
) -> typing.Iterator[records.AnyRecord]:
    yield records.ProgramOpened(
        program,
        1,
        client='tkacik',
        agent='board',
        key=program,
        fingerprint='',
        budget=_BUDGET,
        deadline=1e10,
        urgent=False,
        opened_at=0.0,
    )
    for number in range(1, calls + 1):
        yield records.CallAccepted(
            program,
            1,
            number=number,
            kind=records.CallKind.MODEL,
            key=f'key-{number}',
            fingerprint='',
            idempotent=True,
            name='base',
            messages=(records.Message('user', 'o' * (text // 2)),),
        )
        yield records.CallIntended(
            program, 1, number=number, attempt=1, target='engine-1'
        )
        yield records.CallAnswered(
            program,
            1,
            number=number,
            message=records.Message('assistant', 'k' * (text // 2)),
            finish_reason='stop',
            spent=records.Spend(text // 4, 1, 0.1),
            target='engine-1',
        )


def _time_replay(made: tuple[records.AnyRecord, ...]) -> ReplayTime:
    blob = records.encode_segment(records.Segment('instance-1', 1, made))
    began = time.perf_counter()
    segment = records.decode_segment(blob)
    replay.replay([segment], range(ids.SHARD_COUNT))
    return ReplayTime(time.perf_counter() - began)


def measure_replay() -> list[slopes_fit.Slope]:
    """Return the time of replay over programs and over their history."""
    unit = {'replay_seconds': 'seconds'}
    programs_rows = [
        (count, _time_replay(make_records(count, _SHORT_TEXT)))
        for count in REPLAYED_PROGRAMS
    ]
    per_program = _CALLS_PER_PROGRAM * _LONG_TEXT
    history_rows = [
        (
            size,
            _time_replay(
                make_records(size * _MEGABYTE // per_program, _LONG_TEXT)
            ),
        )
        for size in REPLAYED_MEGABYTES
    ]
    return [
        *slopes_fit.make_slopes('programs of 4 calls', unit, programs_rows),
        *slopes_fit.make_slopes('MB of history', unit, history_rows),
    ]


def measure() -> list[slopes_fit.Slope]:
    """Return all slopes over programs and history."""
    return [*measure_hosting(), *measure_replay()]
