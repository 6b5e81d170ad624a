"""Tests of the memory for the text of turns."""

import asyncio

from vanillayoke.core import memory
from vanillayoke.gateway import refusals
from vanillayoke.gateway import text_memory
from vanillayoke.testing import fixtures

CAPACITY = 10_000_000
STEP = text_memory.STEP_BYTES


@fixtures.fixture
def account():
    return memory.Account(CAPACITY)


async def _fill(account):
    """Hold as much as large texts may, in steps; return the holder."""
    held = text_memory.TextMemory(account)
    while account.has_room(memory.Kind.HISTORIES, STEP):
        await held.add(STEP)
    return held


async def test_large_texts_wait_for_one_another(case, account):
    """The text of turns to keep grew without a bound."""
    first = await _fill(account)
    second = text_memory.TextMemory(account)
    adding = asyncio.create_task(second.add(10 * STEP))
    await asyncio.sleep(text_memory.MAX_WAIT_SECONDS / 2)
    case.assertFalse(adding.done())
    case.assertLess(account.total, CAPACITY / 2 + STEP)
    first.release()
    await adding
    second.release()
    case.assertEqual(0, account.total)


async def test_large_text_without_memory_is_refused_in_time(case, account):
    """A text that finds no memory must not wait until its deadline."""
    first = await _fill(account)
    second = text_memory.TextMemory(account)
    with case.assertRaises(refusals.RefusalError):
        async with asyncio.timeout(text_memory.MAX_WAIT_SECONDS + 0.1):
            await second.add(2 * STEP)
    second.release()
    first.release()
    case.assertEqual(0, account.total)


async def test_small_text_does_not_wait(case, account):
    """Ordinary turns must not wait behind large ones."""
    await _fill(account)
    async with asyncio.timeout(0.1):
        await text_memory.TextMemory(account).add(memory.LARGE_BYTES)


async def test_large_texts_are_saved_a_few_at_a_time(case, account):
    """The copies made while texts are saved were not counted."""
    size = CAPACITY // 8
    saved = [text_memory.TextMemory(account) for _ in range(4)]
    await saved[0].prepare_saving(size)
    others = [
        asyncio.create_task(one.prepare_saving(size)) for one in saved[1:]
    ]
    await asyncio.sleep(0.1)
    case.assertEqual([False] * 3, [one.done() for one in others])
    for number, one in enumerate(saved):
        one.release()
        await asyncio.sleep(0.1)
        done = sum(other.done() for other in others)
        case.assertEqual(min(number + 1, 3), done)
    case.assertEqual(0, account.total)


async def test_turn_that_ends_while_it_waits_holds_nothing(case, account):
    """Memory given to a turn that had just been cancelled failed another."""
    first = await _fill(account)
    second = text_memory.TextMemory(account)
    adding = asyncio.create_task(second.add(2 * STEP))
    await asyncio.sleep(0.1)
    adding.cancel()
    first.release()
    await asyncio.gather(adding, return_exceptions=True)
    second.release()
    case.assertEqual(0, account.total)
    case.assertFalse(account.is_under_pressure)


load_tests = fixtures.adapt(__name__)
