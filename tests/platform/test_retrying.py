"""Tests of the retrying table and object store under faults."""

import asyncio
import random

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import platform_memory
from vanillayoke.platform import attempts
from vanillayoke.platform import ports
from vanillayoke.platform import retrying
from vanillayoke.testing import fixtures

_SETTINGS = attempts.RetrySettings(deadline=60.0, fraction=1.0, burst=1000.0)


@fixtures.fixture
def service(loop):
    return timers.LoopTimers(loop)


@fixtures.fixture
def memory(service):
    return platform_memory.MemoryPlatform(service, random.Random(1))


@fixtures.fixture
def table(memory, service):
    return retrying.RetryingTable(
        memory.table, service, random.Random(2), _SETTINGS
    )


@fixtures.fixture
def objects(memory, service):
    return retrying.RetryingObjects(
        memory.objects, service, random.Random(3), _SETTINGS
    )


async def _insert(memory, key='k'):
    await memory.table.transact('first', [ports.Put(key, b'0', 0)])


async def test_lost_reply_is_settled_as_committed(case, memory, table):
    """A caller sees its own write refused and does the work again.

    The table applies the write, the reply is lost, and a plain repeat
    meets the write's own new version.
    """
    await _insert(memory)
    memory.faults.lost_replies = 1
    done = await table.transact('own', [ports.Put('k', b'1', 1)])
    case.assertEqual(ports.Committed({'k': 2}), done)
    case.assertEqual(2, memory.table.counters.writes)
    case.assertEqual(1, table.health.committed)


async def test_lost_request_is_sent_again(case, memory, table):
    await _insert(memory)
    memory.faults.lost_requests = 1
    done = await table.transact('own', [ports.Put('k', b'1', 1)])
    case.assertEqual(ports.Committed({'k': 2}), done)


async def test_request_that_arrives_after_its_repeat_is_harmless(
    case, memory, table, service
):
    """An increment is done twice, seconds apart.

    The request is held up on the network, the caller gives up, reads back,
    repeats and succeeds; then the first request arrives after all.
    """
    await _insert(memory)
    memory.faults.late_requests = 1
    memory.faults.late_by = 5.0
    done = await table.transact('own', [ports.Put('k', b'1', 1)])
    await service.sleep(10)
    case.assertEqual(ports.Committed({'k': 2}), done)
    row = await memory.table.read('k')
    case.assertEqual(2, row.version)


async def test_request_that_arrives_between_read_back_and_repeat(
    case, memory, service
):
    """A caller is told that a rival won though its own write stands.

    The first request arrives after the read-back and before the repeat,
    which is then refused by the very row that the first one wrote.
    """
    await _insert(memory)
    late = _LateTable(memory.table)
    table = retrying.RetryingTable(late, service, random.Random(2), _SETTINGS)
    done = await table.transact('own', [ports.Put('k', b'1', 1)])
    case.assertEqual(ports.Committed({'k': 2}), done)


class _LateTable(ports.TableService):
    """Holds the first transaction back until the second one comes."""

    def __init__(self, table):
        self._table = table
        self._held = None

    async def read(self, key):
        return await self._table.read(key)

    async def scan(self, prefix, after='', limit=1000):
        return await self._table.scan(prefix, after, limit)

    async def transact(self, write_id, writes):
        if self._held is None:
            self._held = (write_id, writes)
            return failures.Failure(failures.Kind.STORE_UNCERTAIN, 'held')
        await self._table.transact(*self._held)
        return await self._table.transact(write_id, writes)


async def test_rival_that_came_first_is_told(case, memory, table):
    await _insert(memory)
    memory.faults.lost_requests = 1
    own = asyncio.ensure_future(
        table.transact('own', [ports.Put('k', b'1', 1)])
    )
    await asyncio.sleep(1)
    await memory.table.transact('rival', [ports.Put('k', b'2', 1)])
    case.assertEqual(ports.Conflict('k'), await own)
    case.assertEqual(1, table.health.lost)


async def test_covered_write_is_left_unknown(case, memory, table):
    """A caller is told that its write was lost though a rival built on it.

    The write takes effect, its reply is lost, and a rival changes the row
    again before the read-back: the row no longer shows who came between.
    """
    await _insert(memory)
    memory.faults.lost_replies = 1
    own = asyncio.ensure_future(
        table.transact('own', [ports.Put('k', b'1', 1)])
    )
    await asyncio.sleep(1)
    await memory.table.transact('rival', [ports.Put('k', b'2', 2)])
    done = await own
    case.assertIs(failures.Kind.STORE_UNCERTAIN, done.kind)
    case.assertEqual(1, table.health.unknown)


async def test_unmoved_row_proves_that_a_refused_transaction_is_lost(
    case, memory, table
):
    """Two rows, and a rival that changed one of them twice."""
    await _insert(memory, 'a')
    await _insert(memory, 'b')
    memory.faults.lost_requests = 1
    writes = [ports.Put('a', b'1', 1), ports.Put('b', b'1', 1)]
    own = asyncio.ensure_future(table.transact('own', writes))
    await asyncio.sleep(1)
    await memory.table.transact('rival1', [ports.Put('a', b'2', 1)])
    await memory.table.transact('rival2', [ports.Put('a', b'3', 2)])
    case.assertEqual(ports.Conflict('a'), await own)


async def test_conflict_on_an_insertion_does_not_close_a_doubt(
    case, memory, table
):
    """A caller is told that it lost, and later its write takes effect.

    Its request is held up; a repeat is refused by a row that a rival has
    inserted. Once the rival deletes that row, the first request succeeds.
    """
    await _insert(memory)
    await memory.table.transact('rival', [ports.Put('x', b'', 0)])
    memory.faults.late_requests = 1
    memory.faults.late_by = 100.0
    writes = [ports.Put('k', b'1', 1), ports.Put('x', b'', 0)]
    done = await table.transact('own', writes)
    case.assertIs(failures.Kind.STORE_UNCERTAIN, done.kind)
    await memory.table.transact('rival', [ports.Delete('x', 1)])
    await asyncio.sleep(100)
    row = await memory.table.read('k')
    case.assertEqual('own', row.write_id)


async def test_callers_do_not_come_back_at_once(case, service):
    """A store that comes back falls over under everyone's first repeat."""
    ends = set()
    for seed in range(5):
        pacer = attempts.Pacer(_SETTINGS, service, random.Random(seed))
        begin = service.now()
        await pacer.wait(pacer.begin())
        ends.add(service.now() - begin)
    case.assertEqual(5, len(ends))


async def test_outage_ends_at_the_deadline(case, loop, memory, table):
    memory.faults.down = True
    begin = loop.time()
    done = await table.transact('own', [ports.Put('k', b'1', 0)])
    case.assertIs(failures.Kind.STORE_UNAVAILABLE, done.kind)
    case.assertLessEqual(
        loop.time() - begin, _SETTINGS.deadline + memory.faults.timeout
    )
    case.assertFalse(table.health.available)
    memory.faults.down = False
    await table.read('k')
    case.assertTrue(table.health.available)


async def test_repeats_stay_within_the_budget(case, memory, service):
    """A slow store gets slower still the more its callers repeat."""
    settings = attempts.RetrySettings(fraction=0.1, burst=5.0)
    table = retrying.RetryingTable(
        memory.table, service, random.Random(2), settings
    )
    memory.faults.down = True
    for _ in range(200):
        await table.read('k')
    case.assertLessEqual(table.health.repeats, 5 + 0.1 * 200)


async def test_settling_after_the_deadline(case, memory, table, service):
    await _insert(memory)
    memory.faults.lost_replies = 1
    writes = [ports.Put('k', b'1', 1)]
    done = await table.transact('own', writes, deadline=service.now() + 1)
    case.assertIs(failures.Kind.STORE_UNCERTAIN, done.kind)
    case.assertEqual(
        ports.Committed({'k': 2}), await table.settle('own', writes)
    )


async def test_objects_survive_lost_replies(case, memory, objects):
    memory.faults.lost_replies = 2
    case.assertIsNone(await objects.put('o', b'blob'))
    case.assertEqual(b'blob', await objects.get('o'))


async def _increment(table, name, times, log):
    """Increment the counter; log what is said of each transaction."""
    for number in range(times):
        row = await table.read('n')
        write_id = f'{name}-{number}'
        value = str(int(row.value) + 1).encode()
        writes = [
            ports.Put('n', value, row.version),
            ports.Put(f'log/{write_id}', b'', 0),
        ]
        log[write_id] = await table.transact(write_id, writes)


async def _check_counter(case, memory, service, seed):
    await memory.table.transact('zero', [ports.Put('n', b'0', 0)])
    memory.faults.delay = 0.01
    memory.faults.lost_replies_share = 0.15
    memory.faults.lost_requests_share = 0.1
    memory.faults.late_requests_share = 0.15
    memory.faults.late_by = 0.02
    log = {}
    tables = {
        name: retrying.RetryingTable(
            memory.table, service, random.Random(f'{seed}{name}'), _SETTINGS
        )
        for name in 'abc'
    }
    await asyncio.gather(
        *(_increment(tables[name], name, 20, log) for name in tables)
    )
    await service.sleep(60)
    applied = {row.write_id for row in await memory.table.scan('log/')}
    for write_id, done in log.items():
        match done:
            case ports.Committed():
                case.assertIn(write_id, applied)
            case ports.Conflict():
                case.assertNotIn(write_id, applied)
    row = await memory.table.read('n')
    case.assertEqual(len(applied), int(row.value))
    return [table.health for table in tables.values()]


async def test_counter_neither_loses_nor_doubles_an_increment(case, service):
    """Three writers count one counter up; its sum is wrong at the end.

    Replies are lost before and after the write, requests arrive late, and
    the writers collide. An increment doubles where a lost reply is taken
    for a failure, and is lost where a rival's write is taken for one's own.
    """
    ends = []
    for seed in range(40):
        memory = platform_memory.MemoryPlatform(service, random.Random(seed))
        ends += await _check_counter(case, memory, service, seed)
    # Every way in which a doubt can end must have come up.
    case.assertGreater(sum(end.committed for end in ends), 0)
    case.assertGreater(sum(end.lost for end in ends), 0)
    case.assertGreater(sum(end.unknown for end in ends), 0)


load_tests = fixtures.adapt(__name__)
