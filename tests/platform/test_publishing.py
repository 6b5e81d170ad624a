"""Tests of publishing configurations under races and lost replies."""

import asyncio
import random

import msgspec

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import platform_memory
from vanillayoke.platform import attempts
from vanillayoke.platform import ports
from vanillayoke.platform import publishing
from vanillayoke.platform import retrying
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures

_SETTINGS = attempts.RetrySettings(deadline=60.0, fraction=1.0, burst=1000.0)


@fixtures.fixture
def service(loop):
    return timers.LoopTimers(loop)


@fixtures.fixture
def memory(service):
    return platform_memory.MemoryPlatform(service, random.Random(1))


@fixtures.fixture
def publisher(memory, service):
    source = random.Random(2)
    return publishing.Publisher(
        retrying.RetryingTable(memory.table, service, source, _SETTINGS),
        retrying.RetryingObjects(memory.objects, service, source, _SETTINGS),
    )


def _make_configuration(copies=1, text=''):
    return configuration.Configuration(
        models={'m': configuration.ModelSettings(minimum_copies=copies)},
        agents={'a': configuration.AgentSettings(model='m', instructions=text)}
        if text
        else {},
    )


async def _publish(publisher, author, copies=1, text='', floor=0, base=None):
    base = base or await publisher.read_current()
    made = _make_configuration(copies, text)
    draft = publishing.Draft(base, made, author, f'cfg-{author}', floor)
    return await publisher.publish(draft)


async def test_versions_count_by_one(case, publisher):
    case.assertEqual(0, (await publisher.read_current()).version)
    case.assertEqual(
        publishing.Accepted(1), await _publish(publisher, 'ann', 1)
    )
    case.assertEqual(
        publishing.Accepted(2), await _publish(publisher, 'bob', 2)
    )
    current = await publisher.read_current()
    case.assertEqual((2, 'bob'), (current.version, current.author))
    case.assertEqual(_make_configuration(2), current.configuration)


async def test_racing_operators_one_wins_and_the_other_is_told(
    case, publisher
):
    """One operator's change vanishes without a word.

    Both read version 1, both publish; the later write replaces the earlier
    one, though its author never saw it.
    """
    await _publish(publisher, 'first')
    base = await publisher.read_current()
    results = await asyncio.gather(
        *(
            _publish(publisher, name, copies, base=base)
            for copies, name in enumerate(('ann', 'bob', 'eve'), 2)
        )
    )
    won = [r for r in results if isinstance(r, publishing.Accepted)]
    lost = [r for r in results if isinstance(r, publishing.RaceLost)]
    case.assertEqual([publishing.Accepted(2)], won)
    winner = (await publisher.read_current()).author
    case.assertEqual([publishing.RaceLost(2, winner)] * 2, lost)


async def test_lost_reply_is_no_lost_race(case, memory, publisher):
    """An operator is told that somebody else was first: himself.

    The table takes the change, the reply is lost, and the repeat meets the
    row's new version.
    """
    await _publish(publisher, 'first')
    memory.faults.lost_replies = 1
    case.assertEqual(
        publishing.Accepted(2), await _publish(publisher, 'ann', 2)
    )


async def test_lost_reply_and_a_later_change_is_still_accepted(
    case, memory, publisher
):
    """An operator is told of a lost race although his change was in force.

    The reply is lost; before the row is read back, another operator has
    published on top. Only the list of changes tells.
    """
    await _publish(publisher, 'first')
    base = await publisher.read_current()
    await _publish(publisher, 'ann', 2, base=base)
    await _publish(publisher, 'bob', 3)
    again = await _publish(publisher, 'ann', 2, base=base)
    case.assertEqual(publishing.Accepted(2), again)
    case.assertEqual(3, (await publisher.read_current()).version)


async def test_store_down_publishes_nothing(case, memory, publisher):
    await _publish(publisher, 'first')
    base = await publisher.read_current()
    memory.faults.down = True
    result = await _publish(publisher, 'ann', 2, base=base)
    case.assertEqual(failures.Kind.STORE_UNAVAILABLE, result.kind)
    memory.faults.down = False
    case.assertEqual(1, (await publisher.read_current()).version)


async def test_version_goes_above_what_instances_have(case, publisher):
    """A change is accepted, but no instance ever takes it.

    The table was restored from an older copy, so that it counts from a
    version that the instances have passed long ago.
    """
    case.assertEqual(
        publishing.Accepted(42), await _publish(publisher, 'ann', floor=41)
    )


async def test_large_configuration_goes_into_an_object(
    case, memory, publisher
):
    text = 'x' * publishing.LARGEST_INLINE
    for number in range(publishing.KEPT_OBJECTS + 3):
        await _publish(publisher, f'op{number}', text=f'{text}{number}')
    current = await publisher.read_current()
    agent = current.configuration.agents['a']
    case.assertEqual(f'{text}{number}', agent.instructions)
    row = await memory.table.read(publishing.ROW_KEY)
    case.assertLess(len(row.value), 2048)
    keys = await memory.objects.list_keys(publishing.OBJECT_PREFIX)
    case.assertEqual(publishing.KEPT_OBJECTS, len(keys))


async def test_loser_leaves_no_object(case, memory, publisher):
    text = 'x' * publishing.LARGEST_INLINE
    base = await publisher.read_current()
    await _publish(publisher, 'ann', text=text, base=base)
    await _publish(publisher, 'bob', text=text, base=base)
    keys = await memory.objects.list_keys(publishing.OBJECT_PREFIX)
    case.assertEqual(['configuration/1/cfg-ann'], keys)


async def test_object_deleted_between_two_reads_is_read_anew(
    case, memory, publisher
):
    """A node that starts during many changes finds no configuration.

    It reads the row, several changes follow, the object that the row named
    is deleted, and then the node asks for it.
    """
    text = 'x' * publishing.LARGEST_INLINE
    await _publish(publisher, 'ann', text=text)
    row = await memory.table.read(publishing.ROW_KEY)
    await memory.objects.delete('configuration/1/cfg-ann')
    found = await publishing.read_published(row.value, memory.objects)
    case.assertIsNone(found)
    current = await publisher.read_current()
    case.assertEqual(failures.Kind.INTERNAL, current.kind)


async def test_damaged_row_is_reported(case, memory, publisher):
    put = ports.Put(publishing.ROW_KEY, msgspec.msgpack.encode('?'), 0)
    await memory.table.transact('w', [put])
    current = await publisher.read_current()
    case.assertEqual(failures.Kind.INTERNAL, current.kind)


load_tests = fixtures.adapt(__name__)
